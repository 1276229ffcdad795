package controlstate_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

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
	c.Groups = append(c.Groups, &wire.Group{Name: "h"})
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
	u, ok := r.UpdateSince(1, before, nil)
	require.True(t, ok)
	require.Len(t, u.GetViews(), 2, "both views are sent")
	r.apply(evacuation("a", "2", false))
	u, _ = r.UpdateSince(1, before+1, nil)
	require.Empty(t, u.GetViews(), "a resent order changes no view")
	r.apply(evacuation("a", "3", true))
	r.requireMarks(t)
	for _, late := range []string{"1", "2"} {
		r.apply(evacuation("a", late, false))
		r.requireMarks(t)
	}
	r.apply(evacuation("b", "4", false))
	r.apply(evacuation("c", "5", false))
	r.requireMarks(t, "b", "c")
	r.apply(evacuation("a", "6", false))
	r.requireMarks(t, "a", "b", "c")
	r.apply(evacuation("a", "3", true))
	r.requireMarks(t, "a", "b", "c")
	r.apply(evacuation("b", "7", true))
	r.apply(evacuation("b", "8", true))
	r.requireMarks(t, "a", "c")
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
	r.apply(evacuation("a", "1", false))
	for _, e := range []*wire.Entry{
		enlistIn("g", "k", "a", 2, false), enlistIn("g", "l", "b", 2, true), // content of announcements
		enlistIn("g", "z", "a", 1, false),                                   // new
		enlistIn("h", "k", "a", 3, false),                                   // another group
		enlistIn("g", "m", "a", 2, false), enlistIn("h", "n", "b", 2, true), // another zone
		{Entry: &wire.Entry_Delist{Delist: &wire.Delist{Server: "z", Born: 1, Sequence: 1}}}, enlistIn("g", "z", "a", 2, false),
	} {
		r.apply(e)
		r.requireMarks(t, "a")
	}
	c := published(2)
	c.Groups = append(c.Groups, &wire.Group{Name: "i"})
	r.apply(&wire.Entry{Entry: &wire.Entry_Publish{Publish: c}})
	r.apply(enlistIn("i", "k", "a", 4, false))
	r.requireMarks(t, "a")
	r.apply(evacuation("a", "2", true))
	r.requireMarks(t)
}

// Guards against an admission to an evacuated zone that gets work.
func TestAdmissionInEvacuatedZone(t *testing.T) {
	r := &replica{State: controlstate.New()}
	r.apply(change("1", 0, group("g", 3)))
	r.apply(evacuation("a", "1", false))
	m := &wire.Member{Server: "x", Address: "10.0.0.1:1", Zone: "a"}
	r.apply(&wire.Entry{Entry: &wire.Entry_Admit{Admit: &wire.Admit{Group: "g", Member: m}}})
	v, _ := r.View("g")
	require.Len(t, v.GetMembers(), 1)
	r.requireMarks(t, "a")
	require.False(t, m.GetEvacuated(), "the entry of the log is shared")
}

// Guards against replicas that differ, or that take a late retry for a new order, after one restored a snapshot in the middle
// of the orders, and against a snapshot of an earlier build that cannot be restored.
func TestEvacuationSnapshot(t *testing.T) {
	for restart := range 300 {
		r, other := newZones(), newZones()
		for i := range 300 {
			e := evacuation([]string{"a", "b", "c"}[i%3], fmt.Sprint(i), i%7 < 3)
			r.apply(e)
			other.apply(e)
			if i == restart {
				var s wire.Book
				require.NoError(t, proto.Unmarshal(marshalSnapshot(t, other.State), &s))
				back, err := controlstate.Restore(&s)
				require.NoError(t, err)
				back.SetIndex(other.index)
				other.State = back
			}
		}
		for _, id := range []int{299, 44} {
			r.apply(evacuation("a", fmt.Sprint(id), true))
			other.apply(evacuation("a", fmt.Sprint(id), true))
		}
		require.Equal(t, marshalSnapshot(t, r.State), marshalSnapshot(t, other.State), "restored after order %d", restart)
		require.Len(t, r.Snapshot().GetOrders(), 256)
	}
	earlier := newZones().Snapshot()
	earlier.Evacuated, earlier.Orders = nil, nil
	back, err := controlstate.Restore(earlier)
	require.NoError(t, err)
	back.Apply(math.MaxInt64, evacuation("a", "1", false))
	require.Equal(t, []string{"a"}, back.EvacuatedZones())
	_, err = controlstate.Restore(&wire.Book{Evacuated: []string{"b", "a"}})
	require.Error(t, err)
}
