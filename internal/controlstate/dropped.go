package controlstate

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// A group that leaves the configuration may come back. Its view is kept meanwhile: its terms are the fencing tokens of the orders
// to promote, so they must go on, and its members and departures are what a failover compares. The members are kept up to date
// by their announcements.

// maxDropped bounds the views that are kept of groups which left the configuration. Beyond it, the group that left first is
// forgotten. A failover policy begins a group of which no term is known above the index of the control log.
const maxDropped = 4096

// maxFormer bounds the accounts that are remembered after they left. What an account has spent matters for seconds only.
const maxFormer = 1024

// setConfiguration replaces the configuration and remembers the accounts that it does not have any more.
func (s *State) setConfiguration(c *wire.Configuration) {
	for _, a := range s.configuration.GetAccounts() {
		if _, ok := getNamed(c.GetAccounts(), a.GetName(), (*wire.Account).GetName); !ok {
			s.former = append(slices.Clip(s.former), a.GetName())
		}
	}
	s.configuration = c
	s.former = slices.DeleteFunc(slices.Clone(s.former), func(name string) bool {
		_, ok := s.Account(name)
		return ok
	})
	s.former = s.former[max(len(s.former)-maxFormer, 0):]
}

// addView adds the view of a configured group: as it was when the group left the configuration, or a new one.
func (s *State) addView(group string) {
	if _, ok := s.View(group); ok {
		return
	}
	next := &wire.View{Group: group, Revision: s.index}
	if v, ok := getNamed(s.dropped, group, (*wire.View).GetGroup); ok {
		next = s.nextView(v, func(v *wire.View) { v.Members = s.currentMarks(v.GetMembers()) })
	}
	s.dropped = removeNamed(s.dropped, group, (*wire.View).GetGroup)
	s.views = putNamed(s.views, next, (*wire.View).GetGroup)
}

// dropView keeps the view of a group that left the configuration among the dropped ones.
func (s *State) dropView(group string) {
	v, ok := s.View(group)
	if !ok {
		return
	}
	s.views = removeNamed(s.views, group, (*wire.View).GetGroup)
	s.dropped = putNamed(s.dropped, s.nextView(v, func(*wire.View) {}), (*wire.View).GetGroup)
	if len(s.dropped) > maxDropped {
		first := slices.MinFunc(s.dropped, func(a, b *wire.View) int { return cmp.Compare(a.GetRevision(), b.GetRevision()) })
		s.dropped = removeNamed(s.dropped, first.GetGroup(), (*wire.View).GetGroup)
	}
}

// currentMarks returns members with the marks that operators have set meanwhile.
func (s *State) currentMarks(members []*wire.Member) []*wire.Member {
	out := s.markedAll(members)
	for i, m := range out {
		if m.GetRetired() != s.IsRetired(m.GetServer()) {
			out[i] = proto.CloneOf(m)
			out[i].Retired = !m.GetRetired()
		}
	}
	return out
}

// HasLeft reports whether a group left the configuration and its view is kept.
func (s *State) HasLeft(group string) bool {
	_, ok := findNamed(s.dropped, group, (*wire.View).GetGroup)
	return ok
}

// knownView returns the view of a group that is or was in the configuration.
func (s *State) knownView(group string) (*wire.View, bool) {
	if v, ok := s.View(group); ok {
		return v, true
	}
	return getNamed(s.dropped, group, (*wire.View).GetGroup)
}

// allViews returns a copy of the list of views, with those of groups that left the configuration at its end.
func (s *State) allViews() []*wire.View { return slices.Concat(s.views, s.dropped) }

// viewOfMember returns the view that has an instance as a member, also one of a group that left the configuration.
func (s *State) viewOfMember(server string) (*wire.View, bool) {
	if v, ok := viewWithMember(s.views, server); ok {
		return v, true
	}
	return viewWithMember(s.dropped, server)
}

// viewWithMember returns the first of some views that has a server as a member.
func viewWithMember(views []*wire.View, server string) (*wire.View, bool) {
	for _, v := range views {
		if _, ok := findNamed(v.GetMembers(), server, (*wire.Member).GetServer); ok {
			return v, true
		}
	}
	return nil, false
}

// removeFromDropped removes a server that becomes a member of a group from one that left the configuration.
func (s *State) removeFromDropped(server string) {
	if v, ok := viewWithMember(s.dropped, server); ok {
		s.updateView(v, func(v *wire.View) { v.Members = removeNamed(v.GetMembers(), server, (*wire.Member).GetServer) })
	}
}
