package controlstate

import (
	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// keepDifference stores the edits that lead from the current configuration to its successor, for deltas. If edits
// cannot express the difference, later deltas start at the successor.
func (s *State) keepDifference(c *wire.Configuration) {
	d := newDraft(s)
	d.trusted = true
	for _, e := range difference(s.configuration, c) {
		d.apply(e)
	}
	d.next.Version, d.next.Change, d.next.Document = c.GetVersion(), c.GetChange(), c.GetDocument()
	if s.Version() == 0 || !proto.Equal(d.next, c) {
		s.baseVersion, s.edits = c.GetVersion(), nil
		return
	}
	s.keepEdits(c.GetVersion(), d.edits)
}

// difference returns the edits that lead from one configuration to another.
func difference(from, to *wire.Configuration) []*wire.Edit {
	var edits []*wire.Edit
	add := func(e *wire.Edit) { edits = append(edits, e) }
	eachChange(from.GetAccounts(), to.GetAccounts(), func(name string, replaced bool, a *wire.Account) {
		if a == nil || replaced && len(a.GetKeys()) == 0 { // an account without keys would keep the former ones
			add(&wire.Edit{Edit: &wire.Edit_DropAccount{DropAccount: name}})
		}
		if a != nil {
			add(&wire.Edit{Edit: &wire.Edit_PutAccount{PutAccount: a}})
		}
	})
	eachChange(from.GetGroups(), to.GetGroups(), func(name string, _ bool, g *wire.Group) {
		if g == nil {
			add(&wire.Edit{Edit: &wire.Edit_DropGroup{DropGroup: name}})
			return
		}
		add(&wire.Edit{Edit: &wire.Edit_PutGroup{PutGroup: g}})
	})
	eachChange(from.GetRoutes(), to.GetRoutes(), func(name string, _ bool, r *wire.Route) {
		if r == nil {
			add(&wire.Edit{Edit: &wire.Edit_DropRoute{DropRoute: name}})
			return
		}
		add(&wire.Edit{Edit: &wire.Edit_PutRoute{PutRoute: r}})
	})
	return edits
}

// eachChange calls change for each name with another value in the second of two sorted lists: with the new value
// and whether there was an old one, or with the zero value if the name is gone.
func eachChange[T interface {
	comparable
	named
	proto.Message
}](from, to []T, change func(name string, replaced bool, value T)) {
	var none T
	for _, old := range from {
		if _, ok := getNamed(to, old.GetName(), T.GetName); !ok {
			change(old.GetName(), true, none)
		}
	}
	for _, value := range to {
		old, ok := getNamed(from, value.GetName(), T.GetName)
		if !ok || !proto.Equal(old, value) {
			change(value.GetName(), ok, value)
		}
	}
}
