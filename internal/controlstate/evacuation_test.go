package controlstate_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

func evacuation(zone, id string, withdrawn bool) *wire.Entry {
	return &wire.Entry{Entry: &wire.Entry_Evacuation{Evacuation: &wire.Evacuation{Zone: zone, Id: id, Withdrawn: withdrawn}}}
}

func enlistIn(group, server, zone string, sequence uint64, marked bool) *wire.Entry {
	m := &wire.Member{Server: server, Address: fmt.Sprintf("10.0.0.%d:1", server[0]), Zone: zone, Born: 1, Sequence: sequence, Evacuated: marked}
	return &wire.Entry{Entry: &wire.Entry_Enlist{Enlist: &wire.Enlist{Group: group, Member: m}}}
}

// newZones returns a state with the groups g and h, each with one member in the zones a, b and c.
func newZones() *replica {
	r := &replica{State: controlstate.New()}
	c := published(1)
	c.Groups = []*wire.Group{{Name: "g", Members: 9}, {Name: "h"}, {Name: "i"}}
	r.apply(&wire.Entry{Entry: &wire.Entry_Publish{Publish: c}})
	for i, group := range []string{"g", "h"} {
		for j, zone := range []string{"a", "b", "c"} {
			r.apply(enlistIn(group, string(rune('k'+3*i+j)), zone, 1, false))
		}
	}
	return r
}

// requireMarks requires that exactly the members of some zones are marked, and that these zones are evacuated.
func (r *replica) requireMarks(t *testing.T, zones ...string) {
	t.Helper()
	require.ElementsMatch(t, zones, r.EvacuatedZones())
	for _, v := range r.Views() {
		for _, m := range v.GetMembers() {
			require.Equal(t, r.IsEvacuated(m.GetZone()), m.GetEvacuated(), "%v", m)
		}
	}
}

// Guards against an order that reaches the members of another zone or misses a group, against a view that changes without
// a new revision, and against a retry that undoes a later order.
func TestEvacuationOrders(t *testing.T) {
	r := newZones()
	before := r.Index()
	r.apply(evacuation("a", "1", false))
	r.requireMarks(t, "a")
	u, _ := r.UpdateSince(1, before, nil)
	require.Len(t, u.GetViews(), 2, "both views are sent")
	r.apply(evacuation("a", "2", false))
	u, _ = r.UpdateSince(1, before+1, nil)
	require.Empty(t, u.GetViews(), "a resent order changes no view")
	r.apply(evacuation("a", "3", true))
	r.requireMarks(t)
	for _, o := range []struct {
		zone, id  string
		withdrawn bool
		zones     []string // evacuated after the order
	}{
		{"a", "1", false, nil}, {"a", "2", false, nil}, // late
		{"b", "4", false, []string{"b"}}, {"c", "5", false, []string{"b", "c"}}, {"a", "6", false, []string{"a", "b", "c"}},
		{"a", "3", true, []string{"a", "b", "c"}}, // late
		{"b", "7", true, []string{"a", "c"}}, {"b", "8", true, []string{"a", "c"}},
	} {
		r.apply(evacuation(o.zone, o.id, o.withdrawn))
		r.requireMarks(t, o.zones...)
	}
	for _, odd := range []*wire.Entry{evacuation("", "9", false), evacuation("\xff", "10", false), evacuation("b", "", false), evacuation("b", "\xff", false)} {
		r.apply(odd)
		r.requireMarks(t, "a", "c")
	}
	require.True(t, r.HasZone("b"))
	require.False(t, r.HasZone("d"))
}

// Guards against an announcement that sets or clears the mark of a member, and against a new member of an evacuated zone that
// gets work.
func TestAnnouncementsDoNotMoveMarks(t *testing.T) {
	r := newZones()
	admitted := &wire.Member{Server: "new", Address: "10.0.0.1:1", Zone: "a"}
	r.apply(evacuation("a", "1", false))
	for _, e := range []*wire.Entry{
		enlistIn("g", "k", "a", 2, false), enlistIn("g", "l", "b", 2, true), // content of announcements
		enlistIn("g", "z", "a", 1, false),                                   // new
		enlistIn("h", "k", "a", 3, false),                                   // another group
		enlistIn("g", "m", "a", 2, false), enlistIn("h", "n", "b", 2, true), // another zone
		{Entry: &wire.Entry_Admit{Admit: &wire.Admit{Group: "g", Member: admitted}}},
		{Entry: &wire.Entry_Delist{Delist: &wire.Delist{Server: "z", Born: 1, Sequence: 1}}}, enlistIn("g", "z", "a", 2, false),
		{Entry: &wire.Entry_Publish{Publish: published(2)}}, enlistIn("g", "n", "a", 4, false), // its group was dropped
	} {
		r.apply(e)
		r.requireMarks(t, "a")
	}
	_, _, recorded := r.Member("new")
	require.True(t, recorded)
	require.False(t, admitted.GetEvacuated(), "the entry of the log is shared")
	r.apply(evacuation("a", "2", true))
	r.requireMarks(t)
}

// Guards against a late retry that is taken for a new order after a restart, against ids that grow without bound, and against a
// snapshot of an earlier build that cannot be restored. TestStateProperties compares replicas byte for byte.
func TestEvacuationSnapshot(t *testing.T) {
	r := newZones()
	for i := range 300 {
		r.apply(evacuation("a", fmt.Sprint(i), i%2 > 0))
	}
	require.Len(t, r.Snapshot().GetOrders(), 256)
	back, err := controlstate.Restore(r.Snapshot())
	require.NoError(t, err)
	back.Apply(1000, evacuation("a", "44", false))
	require.Empty(t, back.EvacuatedZones())
	earlier := r.Snapshot()
	earlier.Evacuated, earlier.Orders = nil, nil
	back, err = controlstate.Restore(earlier)
	require.NoError(t, err)
	back.Apply(1000, evacuation("a", "44", false))
	require.Equal(t, []string{"a"}, back.EvacuatedZones())
	_, err = controlstate.Restore(&wire.Book{Evacuated: []string{"b", "a"}})
	require.Error(t, err)
}
