package controlvm_test

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fireflyrudder.example/fireflyrudder/internal/failover"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// idlePolicy is a failover policy that does nothing.
type idlePolicy struct{}

func (idlePolicy) Step(time.Time, failover.Event) []failover.Effect { return nil }

// evacuate orders an evacuation or its end at a control VM, and again after an error, as an operator does.
func (s *testVM) evacuate(zone string, withdrawn bool) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 850*time.Millisecond)
		defer cancel()
		return s.vm.Evacuate(ctx, zone, withdrawn) == nil
	}, wait, 20*time.Millisecond)
}

// requireEvacuated requires that each control VM comes to the evacuated zones.
func requireEvacuated(t *testing.T, vms []*testVM, zones ...string) {
	t.Helper()
	for _, s := range vms {
		var dump struct{ Book struct{ Evacuated []string } }
		require.Eventually(t, func() bool {
			state, err := s.vm.Process().Dump(t.Context())
			require.NoError(t, err)
			text, err := json.Marshal(state)
			require.NoError(t, err)
			dump.Book.Evacuated = nil
			require.NoError(t, json.Unmarshal(text, &dump))
			return slices.Equal(zones, dump.Book.Evacuated)
		}, wait, 20*time.Millisecond, "%v", &dump)
	}
}

// follower returns a control VM other than the leader.
func follower(t *testing.T, vms []*testVM) *testVM {
	led := leader(t, vms)
	return vms[slices.IndexFunc(vms, func(s *testVM) bool { return s != led })]
}

// Guards against an acknowledged evacuation that is lost when all control VMs restart, from the log as well as from a snapshot.
func TestEvacuationSurvivesRestart(t *testing.T) {
	for _, every := range []uint64{0, 2} {
		vms := newTestVMs(t, 3)
		for _, s := range vms {
			s.options.SnapshotEvery = every
		}
		startAll(vms)
		follower(t, vms).evacuate("zone-a", false)
		leader(t, vms).evacuate("zone-b", false)
		follower(t, vms).evacuate("zone-c", false)
		leader(t, vms).evacuate("zone-c", true)
		for _, s := range vms {
			s.stop()
		}
		startAll(vms)
		leader(t, vms)
		requireEvacuated(t, vms, "zone-a", "zone-b")
	}
}

// Guards against an order that stays without an answer or has effect twice when the leader ends after it stored the entry and
// before the others did.
func TestLeaderLostBeforeAcknowledgement(t *testing.T) {
	vms := newTestVMs(t, 3)
	startAll(vms)
	first := leader(t, vms)
	others := slices.DeleteFunc(slices.Clone(vms), func(s *testVM) bool { return s == first })
	for _, s := range others {
		s.vm.Freeze(700 * time.Millisecond)
	}
	answered := make(chan error, 1)
	go func() { answered <- first.vm.Evacuate(t.Context(), "zone-a", false) }()
	time.Sleep(100 * time.Millisecond)
	require.Empty(t, answered, "no majority has the entry")
	first.stop()
	<-answered // either outcome is allowed
	others[0].evacuate("zone-a", false)
	requireEvacuated(t, others, "zone-a")
	others[1].evacuate("zone-a", true)
	first.start()
	requireEvacuated(t, vms)
}

// Guards against an order that waits for a frozen leader although there is another one, and against the frozen one that takes
// the order when it goes on, after a later order.
func TestLateOrderAtFrozenLeader(t *testing.T) {
	vms := newTestVMs(t, 3)
	startAll(vms)
	frozen, other := leader(t, vms), follower(t, vms)
	const freeze = 6 * time.Second
	frozen.vm.Freeze(freeze)
	started := time.Now()
	require.NoError(t, other.vm.Evacuate(t.Context(), "zone-a", false))
	require.Less(t, time.Since(started), freeze)
	require.NoError(t, other.vm.Evacuate(t.Context(), "zone-a", true))
	frozen.evacuate("zone-b", false)
	requireEvacuated(t, vms, "zone-b")
}

// Guards against an unknown zone that is taken for a known one at another control VM, and against odd zones that are stored.
func TestZonesKnownToTheGroup(t *testing.T) {
	vms := newTestVMs(t, 3)
	startAll(vms)
	s := follower(t, vms)
	c, ctx := client(t, vms...)
	for i, want := range []bool{false, true} {
		known, err := s.vm.HasZone(ctx, "zone-b")
		require.NoError(t, err)
		require.Equal(t, want, known)
		zones, err := c.Evacuate(ctx, "zone-b", i > 0)
		require.NoError(t, err)
		require.Len(t, zones, 1-i)
	}
	_, err := c.Evacuate(ctx, "", false)
	require.Equal(t, codes.InvalidArgument, status.Code(errors.UnwrapAll(err)))
	require.Error(t, s.vm.Evacuate(ctx, "zone\xff", false))
}

// Guards against an entry of the control log for each announcement of a member of an evacuated zone.
func TestEvacuatedMemberAnnouncesWithoutEntries(t *testing.T) {
	s := newTestVM(t)
	s.options.Policy = func(string) failover.Policy { return idlePolicy{} }
	s.start()
	c, ctx := client(t, s)
	require.Eventually(t, func() bool {
		_, err := s.vm.Publish(ctx, &wire.Configuration{Version: 1, Groups: []*wire.Group{{Name: "g"}}})
		return err == nil
	}, wait, 20*time.Millisecond)
	announce := func(sequence uint64, marked bool) uint64 {
		m := &wire.Member{Server: "x", Address: "127.0.0.1:1", Zone: "zone-a", Born: 1, Sequence: sequence, Evacuated: marked}
		require.NoError(t, s.vm.Announce(ctx, &wire.AnnounceRequest{Announcement: &wire.Announcement{Group: "g", Member: m}}))
		reply, err := c.Status(ctx)
		require.NoError(t, err)
		require.True(t, reply.Views[0].Members[0].Evacuated, "%v", reply.Views)
		return reply.Index
	}
	s.evacuate("zone-a", false)
	index := announce(1, false)
	for sequence := range uint64(5) {
		require.Equal(t, index, announce(sequence+2, sequence%2 > 0))
	}
}
