package failover_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/failover"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// publish puts a configuration with groups in force.
func (s *platformHarness) publish(groups ...string) {
	c := &wire.Configuration{Version: s.state.Version() + 1}
	for _, name := range groups {
		c.Groups = append(c.Groups, &wire.Group{Name: name})
	}
	s.apply(&wire.Entry{Entry: &wire.Entry_Publish{Publish: c}})
}

// lead makes another control VM the leader.
func (s *platformHarness) lead() {
	s.policy = failover.NewPlatformCoordinator()
	s.step(failover.ConfigurationApplied{Groups: s.state.Configuration().GetGroups()})
	for _, v := range s.state.Views() {
		s.step(failover.ViewApplied{View: s.evacuations.mark(v)})
	}
}

// release replaces a primary that shuts down.
func (s *platformHarness) release(primary, successor string) {
	s.shuttingDown[primary] = true
	s.run(3 * time.Second)
	require.Equal(s.t, successor, s.view().GetPrimary())
}

// returnGroup replaces the primary of a group, leaves the group out of the configuration and names it again under another control
// leader, and replaces its primary once more. It returns the orders.
func (s *platformHarness) returnGroup(whileOut func()) []failover.Call {
	s.run(2 * time.Second)
	s.release("a", "c")
	s.publish()
	whileOut()
	s.publish("g")
	s.lead()
	for _, id := range s.members {
		s.enlist("g", id, simulatedAddress(id), 1, false)
	}
	s.shuttingDown["a"] = false
	s.run(2 * time.Second)
	s.offsets["a"] = s.offsets["c"]
	s.release("c", "a")
	return s.orders
}

// TestReturnedGroupUsesNewTerms guards against orders with a fencing token that another control VM used for the same group before
// it left the configuration and came back.
func TestReturnedGroupUsesNewTerms(t *testing.T) {
	orders := newPlatformHarness(t).returnGroup(func() {})
	require.Len(t, orders, 2)
	require.Greater(t, orders[1].Term, orders[0].Term)
}

// TestForgottenGroupUsesNewTerms is TestReturnedGroupUsesNewTerms for a control log of an earlier build, which kept nothing of a
// group that had left the configuration.
func TestForgottenGroupUsesNewTerms(t *testing.T) {
	s := newPlatformHarness(t)
	orders := s.returnGroup(func() {
		snapshot := s.state.Snapshot()
		snapshot.Dropped = nil
		restored, err := controlstate.Restore(snapshot)
		require.NoError(t, err)
		restored.SetIndex(s.index)
		s.state = restored
	})
	require.Len(t, orders, 2)
	require.Greater(t, orders[1].Term, orders[0].Term)
}
