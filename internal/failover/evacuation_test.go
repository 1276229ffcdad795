package failover_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/failover"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// evacuations marks members as evacuated in views, as the control state does, and leaves the other members unchanged.
type evacuations struct {
	servers map[string]bool // by name or address
	marked  map[*wire.Member]*wire.Member
}

func newEvacuations() *evacuations {
	return &evacuations{map[string]bool{}, map[*wire.Member]*wire.Member{}}
}

func (e *evacuations) contains(m *wire.Member) bool {
	return e.servers[m.GetServer()] || e.servers[m.GetAddress()]
}

func (e *evacuations) mark(v *wire.View) *wire.View {
	if !slices.ContainsFunc(v.GetMembers(), e.contains) {
		return v
	}
	out := proto.CloneOf(v)
	for i, m := range v.GetMembers() {
		out.Members[i] = m
		if !e.contains(m) {
			continue
		}
		if e.marked[m] == nil {
			e.marked[m] = proto.CloneOf(m)
			e.marked[m].Evacuated = true
		}
		out.Members[i] = e.marked[m]
	}
	return out
}

// evacuate begins or withdraws the evacuation of instances.
func (s *platformHarness) evacuate(on bool, ids ...string) {
	for _, id := range ids {
		s.evacuations.servers[id] = on
	}
	s.step(failover.ViewApplied{View: s.evacuations.mark(s.view())})
}

// evacuationHarness returns a harness of a group with or without synchronous replicas that has the primary a.
func evacuationHarness(t *testing.T, sync uint32) *platformHarness {
	s := newPlatformHarness(t)
	if sync > 0 {
		s.configureSync(sync)
	}
	s.run(2 * time.Second)
	require.Equal(t, "a", s.view().GetPrimary())
	return s
}

// forGroups runs a test for groups without and with synchronous replicas.
func forGroups(t *testing.T, test func(t *testing.T, s *platformHarness)) {
	t.Run("async", func(t *testing.T) { test(t, evacuationHarness(t, 0)) })
	t.Run("sync", func(t *testing.T) { test(t, evacuationHarness(t, 1)) })
}

// TestEvacuatedPrimaryIsReplaced guards against an evacuated primary that stays although another member could lead, and against
// a switchover back when the evacuation is withdrawn.
func TestEvacuatedPrimaryIsReplaced(t *testing.T) {
	forGroups(t, func(t *testing.T, s *platformHarness) {
		s.evacuate(true, "a")
		s.run(3 * time.Second)
		require.Equal(t, "c", s.view().GetPrimary())
		require.Equal(t, wire.Phase_PHASE_STEADY, s.view().GetPhase())
		require.Len(t, s.orders, 1)
		s.evacuate(false, "a")
		s.run(10 * time.Second)
		require.Equal(t, "c", s.view().GetPrimary())
		require.Len(t, s.orders, 1)
	})
}

// TestNoSwitchoverToEvacuatedMember guards against a planned switchover to a member that is evacuated too, of an evacuated
// primary, of one that shuts down and by order of an operator.
func TestNoSwitchoverToEvacuatedMember(t *testing.T) {
	forGroups(t, func(t *testing.T, s *platformHarness) {
		s.evacuate(true, "a", "c")
		s.offsets["b"] = 10
		s.run(5 * time.Second)
		require.Equal(t, "b", s.view().GetPrimary(), "c would come first")
		s.evacuate(true, "b")
		term := s.view().GetTerm()
		s.run(10 * time.Second)
		require.Equal(t, "b", s.view().GetPrimary(), "all are evacuated")
		require.Equal(t, term, s.view().GetTerm(), "writes are not held for nothing")
		s.evacuate(false, "b")
		s.step(failover.SwitchoverRequested{Group: "g"})
		s.run(5 * time.Second)
		require.Equal(t, "b", s.view().GetPrimary(), "a and c are evacuated")
		s.shuttingDown["b"] = true
		s.run(5 * time.Second)
		require.Equal(t, "b", s.view().GetPrimary())
		require.Equal(t, wire.Phase_PHASE_STEADY, s.view().GetPhase())
	})
}

// TestEvacuationWaitsForReplica guards against a series of switchovers that each hold the writes of open transactions, while
// no replica outside the zone answers.
func TestEvacuationWaitsForReplica(t *testing.T) {
	forGroups(t, func(t *testing.T, s *platformHarness) {
		s.unreachable["b"], s.unreachable["c"] = true, true
		s.run(time.Second)
		term := s.view().GetTerm()
		s.evacuate(true, "a")
		s.run(10 * time.Second)
		require.Equal(t, term, s.view().GetTerm())
		s.unreachable["b"], s.unreachable["c"] = false, false
		s.run(5 * time.Second)
		require.Equal(t, "c", s.view().GetPrimary())
	})
}

// TestEvacuationRepeatsOrder guards against an evacuated primary that stays because the platform did not answer the order, and
// against terms that are raised without a pause while it refuses it.
func TestEvacuationRepeatsOrder(t *testing.T) {
	forGroups(t, func(t *testing.T, s *platformHarness) {
		s.unansweredOrders = 2
		s.evacuate(true, "a")
		s.run(6 * time.Second)
		require.Equal(t, "c", s.view().GetPrimary())
		require.Len(t, s.orders, 3)
	})
	forGroups(t, func(t *testing.T, s *platformHarness) {
		s.refusedOrders = 1 << 30
		term := s.view().GetTerm()
		s.evacuate(true, "a")
		s.run(20 * time.Second)
		require.Greater(t, len(s.orders), 3, "it is tried again")
		require.Less(t, s.view().GetTerm()-term, uint64(80))
		s.refusedOrders = 0
		s.run(10 * time.Second)
		require.NotEqual(t, "a", s.view().GetPrimary())
		require.Equal(t, wire.Phase_PHASE_STEADY, s.view().GetPhase())
	})
}

// TestEvacuationDuringFailover guards against a failover to a member whose zone is evacuated meanwhile although another one may
// lead, and against one that finds no primary because all others are evacuated. That one is replaced later.
func TestEvacuationDuringFailover(t *testing.T) {
	forGroups(t, func(t *testing.T, s *platformHarness) {
		s.offsets["b"] = 10
		s.unreachable = map[string]bool{"a": true, "b": true, "c": true}
		s.votes = map[string]bool{"e1": false, "e2": false, "e3": false}
		s.run(time.Second)
		require.Equal(t, wire.Phase_PHASE_RAISING, s.view().GetPhase())
		require.Empty(t, s.orders)
		s.evacuate(true, "c")
		s.unreachable["b"], s.unreachable["c"] = false, false
		s.run(3 * time.Second)
		require.Equal(t, "b", s.view().GetPrimary())

		s.unreachable["a"], s.unreachable["b"] = false, true
		s.evacuate(true, "a")
		s.votes = nil
		s.run(10 * time.Second)
		require.Contains(t, []string{"a", "c"}, s.view().GetPrimary(), "evacuated members lead if no other can")
		s.unreachable["b"] = false
		s.run(10 * time.Second)
		require.Equal(t, "b", s.view().GetPrimary())
	})
}

// awaitSwitchover runs until a switchover is under way.
func (s *platformHarness) awaitSwitchover() {
	for range 250 {
		if s.view().GetPhase() == wire.Phase_PHASE_SWITCHING {
			return
		}
		s.run(20 * time.Millisecond)
	}
	require.Fail(s.t, "no switchover begins")
}

// TestEvacuationDuringSwitchover guards against a switchover that ends at a member whose zone is evacuated before the order, and
// against one that fails when the reason for it is withdrawn.
func TestEvacuationDuringSwitchover(t *testing.T) {
	forGroups(t, func(t *testing.T, s *platformHarness) {
		s.offsets["b"] = 10
		s.busy["a"] = true // it states no position that shows who has caught up
		s.evacuate(true, "a")
		s.awaitSwitchover()
		s.evacuate(true, "c")
		s.busy["a"] = false
		s.run(3 * time.Second)
		require.Equal(t, "b", s.view().GetPrimary())
	})
	forGroups(t, func(t *testing.T, s *platformHarness) {
		s.busy["a"] = true
		s.evacuate(true, "a")
		s.awaitSwitchover()
		s.evacuate(false, "a")
		s.busy["a"] = false
		s.run(3 * time.Second)
		require.Equal(t, wire.Phase_PHASE_STEADY, s.view().GetPhase())
		before := len(s.orders)
		s.run(10 * time.Second)
		require.Len(t, s.orders, before)
	})
}

// TestEvacuationKeepsMembers guards against a Coordinator that dismisses evacuated members, that leaves an evacuated primary in
// place, that promotes another evacuated one, or that moves the primary back.
func TestEvacuationKeepsMembers(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(t, seed, 3, 4)
		s.awaitWrites()
		s.run(time.Second)
		old := s.primary()
		at := slices.Index(s.instances, old)
		var members []string
		for _, m := range s.view.GetMembers() {
			members = append(members, m.GetServer())
		}
		var other *instance // a second evacuated member
		for i := range s.instances {
			if x := s.instances[(at+1+i)%len(s.instances)]; x != old && slices.Contains(members, x.id) {
				other = x
				break
			}
		}
		s.gap = 0
		s.evacuations.servers[old.id], s.evacuations.servers[other.id] = true, true
		s.notify()
		s.run(6 * time.Second)
		next := s.primary()
		require.NotEqual(t, old, next, "seed %d", seed)
		require.NotEqual(t, other, next, "seed %d", seed)
		require.LessOrEqual(t, s.gap, time.Second, "seed %d", seed)
		raised := s.raised
		clear(s.evacuations.servers)
		s.notify()
		s.run(10 * time.Second)
		require.Equal(t, next, s.primary())
		require.Equal(t, raised, s.raised)
		var after []string
		for _, m := range s.view.GetMembers() {
			after = append(after, m.GetServer())
		}
		require.Equal(t, members, after)
	}
}

// requireEvacuation evacuates the primary and requires that another member leads.
func (s *syncSimulation) requireEvacuation() {
	address := s.instance(s.leader).address
	s.evacuations.servers[address] = true
	s.applyView()
	s.run(8*time.Second, false)
	require.NotEqual(s.t, address, s.instance(s.leader).address, "an evacuated primary is replaced")
	require.Equal(s.t, s.leader, s.view().GetPrimary())
	require.Equal(s.t, wire.Phase_PHASE_STEADY, s.view().GetPhase())
}

// applyView passes the view to the policy.
func (s *syncSimulation) applyView() {
	s.step(failover.ViewApplied{View: s.evacuations.mark(s.view())})
}
