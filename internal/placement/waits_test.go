package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/placement"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

func after(n int) time.Time { return epoch.Add(time.Duration(n) * time.Millisecond) }

// TestOutdatedReportsAreNotUsed guards against statements that are refused after the load has gone, because no later reply
// has come.
func TestOutdatedReportsAreNotUsed(t *testing.T) {
	var w placement.Waits
	_, ok := w.Expected(epoch, "a", 0)
	require.False(t, ok)
	w.Observe(epoch, "a", nil)
	_, ok = w.Latest(epoch, 0)
	require.False(t, ok, "an owner of an earlier build reports none")
	w.Observe(epoch, "a", []time.Duration{100 * time.Millisecond, time.Second})
	wait, ok := w.Expected(after(60), "a", 0)
	require.True(t, ok)
	require.Equal(t, 40*time.Millisecond, wait, "the time since the report has passed")
	wait, _ = w.Expected(after(120), "a", 0)
	require.Zero(t, wait)
	wait, _ = w.Expected(after(60), "a", 5)
	require.Equal(t, 940*time.Millisecond, wait, "the least urgent one reported")
	_, ok = w.Expected(after(250), "a", 0)
	require.False(t, ok)
	_, ok = w.Expected(after(60), "b", 0)
	require.False(t, ok, "nothing is known of another account")
	_, ok = w.Latest(after(60), 0)
	require.True(t, ok)
	w.Forget()
	_, ok = w.Latest(after(60), 0)
	require.False(t, ok)
}

// TestShortestNeedsAllInstances guards against a statement that is refused while an instance is free or unknown.
func TestShortestNeedsAllInstances(t *testing.T) {
	var busy, free, unknown placement.Waits
	busy.Observe(epoch, "a", []time.Duration{time.Second})
	free.Observe(epoch, "a", []time.Duration{0})
	wait, age, ok := placement.Shortest(after(10), []*placement.Waits{&busy, &free}, "a", 0)
	require.True(t, ok)
	require.Zero(t, wait)
	require.Equal(t, 10*time.Millisecond, age)
	_, _, ok = placement.Shortest(after(10), []*placement.Waits{&busy, &unknown}, "a", 0)
	require.False(t, ok)
	_, _, ok = placement.Shortest(after(10), nil, "a", 0)
	require.False(t, ok)
}

// TestCallersReturnSpread guards against callers that were refused together and all return at once, or that are sent away
// for longer than the load lasts.
func TestCallersReturnSpread(t *testing.T) {
	for _, c := range []struct{ wait, least int }{{0, 20}, {5, 20}, {300, 300}, {60_000, 1000}} {
		least := time.Duration(c.least) * time.Millisecond
		wait := time.Duration(c.wait) * time.Millisecond
		require.Equal(t, least, placement.RetryAfter(wait, 0))
		require.Equal(t, least+least/4, placement.RetryAfter(wait, 0.5))
		require.Equal(t, least+least/2, placement.RetryAfter(wait, 1))
	}
}

// TestReportsAreBounded guards against memory that grows with the number of client accounts ever served.
func TestReportsAreBounded(t *testing.T) {
	var w placement.Waits
	for i := range 10_000 {
		w.Observe(after(i), fmt.Sprint(i), []time.Duration{0})
		require.LessOrEqual(t, placement.Reports(&w), 600)
	}
}

// TestReadsGoWhereTheWaitIsShortest guards against reads that wait at one instance while another one, which was slow a
// moment ago, is free.
func TestReadsGoWhereTheWaitIsShortest(t *testing.T) {
	b := placement.NewReadBalancer(1)
	candidates := []placement.Candidate{
		{Server: "a", Latency: 20 * time.Millisecond, Service: 15 * time.Millisecond, Wait: 200 * time.Millisecond, WaitKnown: true, Slots: 4},
		{Server: "b", Latency: 250 * time.Millisecond, Service: 15 * time.Millisecond, WaitKnown: true, Slots: 4},
	}
	require.Equal(t, 1, b.Choose(position.Position{}, candidates))
	candidates[0].WaitKnown, candidates[1].WaitKnown = false, false
	require.Equal(t, 0, b.Choose(position.Position{}, candidates), "without reports the latencies decide")
}

// TestServiceExcludesWait guards against an instance that counts as slow because of a queue that has gone.
func TestServiceExcludesWait(t *testing.T) {
	s := placement.NewInstanceStats(time.Millisecond)
	var c placement.Candidate
	s.Waits.Observe(epoch, "a", []time.Duration{50 * time.Millisecond})
	s.Expect(epoch, "a", 0, &c)
	require.False(t, c.WaitKnown, "the time of its work is not known")
	for range 20 {
		s.Served(12 * time.Millisecond)
	}
	s.Expect(epoch, "b", 0, &c)
	require.Equal(t, placement.Candidate{Wait: 50 * time.Millisecond, Service: 12 * time.Millisecond, WaitKnown: true}, c)
}
