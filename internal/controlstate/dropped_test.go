package controlstate_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// droppedState is a control state with the group "g" of a, b and c in term 7, whose primary is a, and the group "h".
type droppedState struct {
	*controlstate.State
	t     *testing.T
	index uint64
}

func newDroppedState(t *testing.T) *droppedState {
	s := &droppedState{State: controlstate.New(), t: t}
	s.publish("g", "h")
	for n, server := range []string{"a", "b", "c"} {
		s.enlist("g", server, fmt.Sprintf("10.0.0.%d:1", n+1), 1)
	}
	s.apply(&wire.Entry{Entry: &wire.Entry_Raise{Raise: &wire.RaiseTerm{Group: "g", Term: 7, Phase: wire.Phase_PHASE_RAISING}}})
	s.apply(&wire.Entry{Entry: &wire.Entry_Promoted{Promoted: &wire.Promoted{Group: "g", Term: 7, Server: "a", Offset: 30}}})
	return s
}

func (s *droppedState) apply(e *wire.Entry) {
	s.index++
	s.Apply(s.index, e)
}

// publish puts a configuration with groups in force.
func (s *droppedState) publish(groups ...string) {
	c := &wire.Configuration{Version: s.Version() + 1, Document: []byte("d")}
	for _, name := range groups {
		c.Groups = append(c.Groups, &wire.Group{Name: name, Sync: 1})
	}
	s.apply(&wire.Entry{Entry: &wire.Entry_Publish{Publish: c}})
}

func (s *droppedState) enlist(group, server, address string, born uint64) {
	m := &wire.Member{Server: server, Address: address, Zone: "z-" + server, Born: born, Sequence: s.index + 1}
	s.apply(&wire.Entry{Entry: &wire.Entry_Enlist{Enlist: &wire.Enlist{Group: group, Member: m}}})
}

// restart replaces the state by one that is restored from its snapshot.
func (s *droppedState) restart() {
	restored, err := controlstate.Restore(proto.CloneOf(s.Snapshot()))
	require.NoError(s.t, err)
	restored.SetIndex(s.index)
	require.True(s.t, proto.Equal(s.Snapshot(), restored.Snapshot()))
	s.State = restored
}

// requireReturned checks the view of the group after it came back.
func (s *droppedState) requireReturned(members ...string) *wire.View {
	v, ok := s.View("g")
	require.True(s.t, ok)
	require.EqualValues(s.t, 7, v.GetTerm(), "its terms are the fencing tokens of the orders to promote")
	require.Equal(s.t, "a", v.GetPrimary())
	require.EqualValues(s.t, s.index, v.GetRevision(), "entry VMs that had forgotten it apply it")
	var servers []string
	for _, m := range v.GetMembers() {
		servers = append(servers, m.GetServer())
	}
	require.Equal(s.t, members, servers)
	return v
}

// TestGroupComesBack guards against a group that begins anew, with used terms and without the members that a failover must
// compare, after it was left out of the configuration, also with a restart in between.
func TestGroupComesBack(t *testing.T) {
	s := newDroppedState(t)
	s.enlist("g", "c", "10.0.0.3:1", 2)
	s.publish("h")
	_, ok := s.View("g")
	require.False(t, ok)
	s.restart()
	s.publish("g", "h")
	v := s.requireReturned("a", "b", "c")
	require.Len(t, v.GetDepartures(), 1)
	require.Len(t, v.GetHistory(), 1)
	s.restart()
	s.requireReturned("a", "b", "c")
	require.False(t, s.HasLeft("g"))
}

// TestDroppedGroupComesBack is TestGroupComesBack for the edits of operators.
func TestDroppedGroupComesBack(t *testing.T) {
	s := newDroppedState(t)
	change := func(e *wire.Edit) *wire.Decision {
		s.index++
		return s.Apply(s.index, &wire.Entry{Entry: &wire.Entry_Change{Change: &wire.Change{Id: fmt.Sprint(s.index), Base: s.Version(), Edits: []*wire.Edit{e}}}})
	}
	put := func(members uint32) *wire.Decision {
		return change(&wire.Edit{Edit: &wire.Edit_PutGroup{PutGroup: &wire.Group{Name: "g", Members: members, Slots: 1, Connections: 10}}})
	}
	require.Equal(t, wire.Verdict_VERDICT_ACCEPTED, change(&wire.Edit{Edit: &wire.Edit_DropGroup{DropGroup: "g"}}).GetVerdict())
	require.Equal(t, wire.Verdict_VERDICT_INVALID, put(2).GetVerdict(), "its three members still count")
	require.Equal(t, wire.Verdict_VERDICT_ACCEPTED, put(3).GetVerdict())
	s.requireReturned("a", "b", "c")
}

// TestMembersOfDroppedGroup guards against a group that comes back with instances which ended, started again, were evacuated or
// lost their addresses while it was out, as if they were those of before.
func TestMembersOfDroppedGroup(t *testing.T) {
	s := newDroppedState(t)
	s.publish("h")
	s.enlist("h", "x", "10.0.0.2:1", 5) // b is gone
	s.enlist("g", "c", "10.0.0.3:1", 2) // c has started again
	s.enlist("g", "d", "10.0.0.4:1", 1)
	s.apply(&wire.Entry{Entry: &wire.Entry_Evacuation{Evacuation: &wire.Evacuation{Zone: "z-a", Id: "1"}}})
	s.restart()
	m, group, ok := s.Member("c")
	require.True(t, ok)
	require.Equal(t, "g", group)
	require.EqualValues(t, 2, m.GetBorn())
	s.apply(&wire.Entry{Entry: &wire.Entry_Delist{Delist: &wire.Delist{Server: "d", Born: 1, Sequence: 9}}})
	s.publish("g", "h")
	v := s.requireReturned("a", "c")
	require.True(t, v.GetMembers()[0].GetEvacuated())
	require.Len(t, v.GetDepartures(), 2, "the logs of b and of the former c are gone")
}

// TestForgottenGroupsAreBounded guards against a snapshot that grows with each group that was ever configured.
func TestForgottenGroupsAreBounded(t *testing.T) {
	const kept = 4096
	s := newDroppedState(t)
	s.publish()
	var groups []string
	for n := range kept {
		groups = append(groups, fmt.Sprintf("group-%04d", n))
	}
	s.publish(groups...)
	require.True(t, s.HasLeft("g"))
	s.publish()
	require.Len(t, s.Snapshot().GetDropped(), kept)
	require.False(t, s.HasLeft("g"), "it left first")
}

// TestFormerAccountsAreRemembered guards against a client account that left the configuration and comes back as a new one, after
// a restart too, and against accounts that are remembered for good.
func TestFormerAccountsAreRemembered(t *testing.T) {
	s := &droppedState{State: controlstate.New(), t: t}
	publish := func(accounts ...*wire.Account) {
		s.apply(&wire.Entry{Entry: &wire.Entry_Publish{Publish: &wire.Configuration{Version: s.Version() + 1, Accounts: accounts}}})
	}
	var many []*wire.Account
	for n := range 1025 {
		many = append(many, &wire.Account{Name: fmt.Sprintf("account-%04d", n), Rate: 1, Burst: 1})
	}
	publish(many...)
	publish(many[1:]...)
	require.Equal(t, []string{"account-0000"}, s.FormerAccounts())
	s.restart()
	publish(many...)
	require.Empty(t, s.FormerAccounts(), "it came back")
	publish()
	require.Len(t, s.FormerAccounts(), 1024)
}
