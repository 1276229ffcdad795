package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/placement"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

var epoch = time.Unix(1000, 0)

// TestFinderFollowsAnswers guards against writes that go to a former primary because the control group is
// unreachable.
func TestFinderFollowsAnswers(t *testing.T) {
	members := []placement.ServerID{"a", "b", "c"}
	f := placement.NewFinder()
	f.SetView(epoch, "a")
	id, _, ok := f.Primary(epoch, members)
	require.True(t, ok)
	require.Equal(t, placement.ServerID("a"), id)
	f.MarkNotPrimary(epoch, "a")
	f.MarkNotPrimary(epoch, "b")
	id, _, _ = f.Primary(epoch, members)
	require.Equal(t, placement.ServerID("c"), id)
	f.MarkPrimary(epoch, "c")
	id, _, _ = f.Primary(epoch.Add(time.Second), members)
	require.Equal(t, placement.ServerID("c"), id, "an answer is newer than the view")
	f.SetView(epoch.Add(2*time.Second), "b")
	id, _, _ = f.Primary(epoch.Add(2*time.Second), members)
	require.Equal(t, placement.ServerID("b"), id, "the view is newer than the answer")
	for _, m := range members {
		f.MarkNotPrimary(epoch.Add(2*time.Second), m)
	}
	_, retryAfter, ok := f.Primary(epoch.Add(2*time.Second), members)
	require.False(t, ok)
	require.Positive(t, retryAfter)
}

// TestReadBalancerChoosesReplicas guards against reads that load the primary while replicas are free, or that
// wait for an instance that lags or does not answer.
func TestReadBalancerChoosesReplicas(t *testing.T) {
	b := placement.NewReadBalancer(1)
	floor := position.Position{Term: 1, Offset: 10}
	group := func() []placement.Candidate {
		return []placement.Candidate{
			{Server: "a", Primary: true, Latency: 15 * time.Millisecond, Slots: 2, LastPosition: floor},
			{Server: "b", Latency: 25 * time.Millisecond, RoundTrip: 11 * time.Millisecond, Slots: 2, LastPosition: floor},
			{Server: "c", Latency: 25 * time.Millisecond, RoundTrip: 11 * time.Millisecond, Slots: 2, LastPosition: floor},
		}
	}
	counts := map[placement.ServerID]int{}
	for range 200 {
		g := group()
		counts[g[b.Choose(floor, g)].Server]++
	}
	require.Zero(t, counts["a"])
	require.Greater(t, counts["b"], 50)
	require.Greater(t, counts["c"], 50)
	g := group()
	g[1].Failing, g[2].LastPosition.Offset = true, 5
	require.Equal(t, 0, b.Choose(floor, g), "one is missing, the other lags")
	g = group()
	g[1].Waiting, g[2].Waiting = 20, 20
	require.Equal(t, 0, b.Choose(floor, g), "both replicas are full")
	g[0].Tried, g[1].Tried, g[2].Tried = true, true, true
	require.Equal(t, -1, b.Choose(floor, g))
}

// TestOwnersAreStable guards against connections that move when an entry VM of another zone comes or goes,
// and against one entry VM that owns all of them.
func TestOwnersAreStable(t *testing.T) {
	var entries []placement.EntryVM
	for i := range 12 {
		entries = append(entries, placement.EntryVM{ID: fmt.Sprint("vm", i), Address: fmt.Sprint(i), Zone: fmt.Sprint("zone", i%3)})
	}
	counts := map[string]int{}
	moved := 0
	for i := range 300 {
		server := fmt.Sprint("i-", i)
		owners := placement.Owners(server, "zone1", entries)
		require.Len(t, owners, 4)
		counts[owners[0].ID]++
		after := placement.Owners(server, "zone1", entries[:11])
		if after[0].ID != owners[0].ID {
			moved++
		}
	}
	require.Zero(t, moved, "the entry VM that left is of another zone")
	for _, n := range counts {
		require.InDelta(t, 75, n, 35)
	}
	require.Empty(t, placement.Owners("i", "elsewhere", entries))
}

// TestOwnershipIsBalanced guards against entry VMs that own the connections to several instances while others own none:
// the statements for two primaries exceed the link of a small entry VM.
func TestOwnershipIsBalanced(t *testing.T) {
	for _, size := range []struct{ vms, instances int }{{4, 3}, {29, 8}, {60, 12}, {60, 150}, {2, 3}} {
		entries, instances := zoneOf(size.vms, size.instances)
		o := placement.NewOwnership(instances, entries)
		owned := map[string]int{}
		for _, i := range instances {
			owners := o.Of(i.Server)
			others := slices.DeleteFunc(placement.Owners(i.Server, "zone", entries), func(e placement.EntryVM) bool { return e == owners[0] })
			require.Equal(t, others[:min(3, len(others))], owners[1:], "the successors follow in the order of the hash, each once")
			owned[owners[0].ID]++
		}
		for _, n := range owned {
			require.LessOrEqual(t, n, (size.instances+size.vms-1)/size.vms)
		}
	}
}

// TestOwnershipIsStable guards against connections that move to other entry VMs when one comes or goes.
func TestOwnershipIsStable(t *testing.T) {
	entries, instances := zoneOf(60, 12)
	before := placement.NewOwnership(instances, entries)
	moved := 0
	for gone := range entries {
		after := placement.NewOwnership(instances, slices.Delete(slices.Clone(entries), gone, gone+1))
		for _, i := range instances {
			if before.Of(i.Server)[0].ID != entries[gone].ID && after.Of(i.Server)[0].ID != before.Of(i.Server)[0].ID {
				moved++
			}
		}
	}
	require.LessOrEqual(t, moved, 12, "of 720 connections")
	require.Empty(t, before.Of("unknown"))
}

// zoneOf returns the entry VMs and the instances of one availability zone.
func zoneOf(vms, count int) (entries []placement.EntryVM, instances []placement.Instance) {
	for i := range vms {
		entries = append(entries, placement.EntryVM{ID: fmt.Sprint("vm", i), Address: fmt.Sprint(i), Zone: "zone"})
	}
	for i := range count {
		instances = append(instances, placement.Instance{Server: fmt.Sprint("i-", i), Zone: "zone"})
	}
	return entries, instances
}

// TestSilence guards against counting an instance as silent while it answers, or as answering while
// statements wait for it.
func TestSilence(t *testing.T) {
	s := placement.NewInstanceStats(time.Millisecond)
	require.Zero(t, s.Silence(epoch))
	s.Sent(epoch)
	require.Equal(t, time.Second, s.Silence(epoch.Add(time.Second)))
	s.Answered(epoch.Add(time.Second), epoch, position.Position{}, true)
	require.Zero(t, s.Silence(epoch.Add(2*time.Second)))
	s.Sent(epoch.Add(3 * time.Second))
	s.Failed(epoch.Add(4 * time.Second))
	require.Equal(t, time.Second, s.Silence(epoch.Add(5*time.Second)))
	require.True(t, s.Failing())
}
