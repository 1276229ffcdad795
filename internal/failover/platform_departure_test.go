package failover_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// enlist records an announcement of an instance.
func (s *platformHarness) enlist(group, server, address string, born uint64, leaving bool) {
	s.apply(&wire.Entry{Entry: &wire.Entry_Enlist{Enlist: &wire.Enlist{
		Group: group, Member: &wire.Member{Server: server, Address: address, Born: born, Sequence: s.index, Leaving: leaving},
	}}})
}

// newSyncHarness returns a group with one synchronous replica. Of its replicas, b has each acknowledged commit and c lacks some.
func newSyncHarness(t *testing.T) *platformHarness {
	s := newPlatformHarness(t)
	s.apply(&wire.Entry{Entry: &wire.Entry_Publish{Publish: &wire.Configuration{Version: 2, Groups: []*wire.Group{{Name: "g", Sync: 1}, {Name: "h"}}}}})
	s.offsets["a"], s.offsets["b"], s.offsets["c"] = 3, 3, 3
	s.run(2 * time.Second)
	s.offsets["a"], s.offsets["b"] = 10, 10
	s.run(time.Second)
	return s
}

// losePrimary makes the primary unreachable.
func (s *platformHarness) losePrimary() {
	s.unreachable["a"] = true
	s.votes = map[string]bool{"e1": false, "e2": false, "e3": false}
	s.run(5 * time.Second)
}

// requireWaits checks that a failover waits for the primary: its own log is the only one with each acknowledged commit.
func (s *platformHarness) requireWaits(t *testing.T) {
	s.losePrimary()
	require.Empty(t, s.orders, "the log of b is gone, and c lacks commits that b had acknowledged")
	require.True(t, s.view().GetStalled(), "entry VMs are told that nothing can be written")
	s.unreachable["a"] = false
	s.votes = map[string]bool{"e1": true, "e2": true, "e3": true}
	s.run(3 * time.Second)
	require.Equal(t, "a", s.view().GetPrimary())
	require.False(t, s.view().GetStalled())
	s.offsets["c"] = 10
	s.run(3 * time.Second)
	require.Empty(t, s.view().GetDepartures(), "c has received all that b had")
	s.losePrimary()
	require.Equal(t, "c", s.view().GetPrimary())
}

// TestReusedAddressKeepsDeparture guards against a failover that needs one replica less since the address or the id of a lost
// replica is in use again, and that then loses the commits that only this replica had acknowledged.
func TestReusedAddressKeepsDeparture(t *testing.T) {
	b := simulatedAddress("b")
	for name, reuse := range map[string]func(s *platformHarness){
		"address, by another group": func(s *platformHarness) { s.enlist("h", "x", b, 2, false) },
		"id, by another group":      func(s *platformHarness) { s.enlist("h", "b", "10.0.9.9:1", 2, false) },
		"address, by its own group": func(s *platformHarness) {
			s.members = []string{"a", "c", "d"}
			s.enlist("g", "d", b, 2, false)
		},
		"address, by its own group, as it crashed while it left": func(s *platformHarness) {
			s.members = []string{"a", "c", "d"}
			s.enlist("g", "b", b, 1, true)
			s.enlist("g", "d", b, 2, false)
		},
		"address after its planned end, by another group and then its own": func(s *platformHarness) {
			s.members = []string{"a", "c", "d"}
			s.apply(&wire.Entry{Entry: &wire.Entry_Delist{Delist: &wire.Delist{Server: "b", Born: 1, Sequence: 1}}})
			s.enlist("h", "x", b, 2, false)
			s.enlist("g", "d", b, 3, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSyncHarness(t)
			s.unreachable["b"] = true
			reuse(s)
			s.requireWaits(t)
		})
	}
}

// TestSuccessorTakesOverLog guards against a failover that goes on waiting for a replica that left as planned, although the
// instance at its address has its log.
func TestSuccessorTakesOverLog(t *testing.T) {
	s := newSyncHarness(t)
	s.apply(&wire.Entry{Entry: &wire.Entry_Delist{Delist: &wire.Delist{Server: "b", Born: 1, Sequence: 1}}})
	s.members, s.offsets["d"] = []string{"a", "c", "d"}, 10
	s.enlist("g", "d", simulatedAddress("b"), 2, false)
	require.Empty(t, s.view().GetDepartures())
	s.losePrimary()
	require.Equal(t, "d", s.view().GetPrimary())
}

// TestRestartedReplicaDeparts guards against a failover that counts a replica which started again under its id, and holds
// nothing of before, as if it still had its log.
func TestRestartedReplicaDeparts(t *testing.T) {
	s := newSyncHarness(t)
	s.offsets["b"] = 0
	s.enlist("g", "b", simulatedAddress("b"), 2, false)
	s.requireWaits(t)
}

// TestFailoverStallsForSilentReplicas guards against callers that wait for their deadlines while a failover waits for replicas
// that do not answer, and against refusals during one that ends soon.
func TestFailoverStallsForSilentReplicas(t *testing.T) {
	s := newSyncHarness(t)
	s.unreachable["a"], s.unreachable["b"] = true, true
	s.votes = map[string]bool{"e1": false, "e2": false, "e3": false}
	s.run(900 * time.Millisecond)
	require.Equal(t, wire.Phase_PHASE_RAISING, s.view().GetPhase())
	require.False(t, s.view().GetStalled())
	s.run(2 * time.Second)
	require.True(t, s.view().GetStalled())
	s.unreachable["b"] = false
	s.run(2 * time.Second)
	require.Equal(t, "b", s.view().GetPrimary())
	require.False(t, s.view().GetStalled())
}

// TestOperatorAcceptsLoss guards against a group that stays without a primary for good: the primary and a replica are lost, and
// an operator gives up what only these two may have had.
func TestOperatorAcceptsLoss(t *testing.T) {
	s := newSyncHarness(t)
	s.unreachable["b"] = true
	s.enlist("h", "x", simulatedAddress("b"), 2, false)
	s.losePrimary()
	require.True(t, s.view().GetStalled())
	s.publish("g", "h")
	s.run(3 * time.Second)
	require.Equal(t, "c", s.view().GetPrimary())
	require.False(t, s.view().GetStalled())
	require.Empty(t, s.view().GetDepartures())
}
