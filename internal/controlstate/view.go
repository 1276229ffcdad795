package controlstate

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// updateView replaces the view of a group by a copy that edit has modified. The log index as revision
// grows with every change, also when a group is dropped and added again.
func (s *State) updateView(v *wire.View, edit func(*wire.View)) {
	next := &wire.View{
		Group:    v.GetGroup(),
		Term:     v.GetTerm(),
		Phase:    v.GetPhase(),
		Primary:  v.GetPrimary(),
		History:  slices.Clip(v.GetHistory()),
		Members:  v.GetMembers(),
		Revision: s.index,
	}
	edit(next)
	s.views = putNamed(s.views, next, (*wire.View).GetGroup)
}

// raise makes a greater term durable. A planned switchover needs a present primary, which stays in
// the view until the promotion so that open transactions can end on it.
func (s *State) raiseTerm(r *wire.RaiseTerm) {
	v, ok := s.View(r.GetGroup())
	if !ok || r.GetTerm() <= v.GetTerm() {
		return
	}
	planned := r.GetPhase() == wire.Phase_PHASE_SWITCHING
	if planned && (v.GetPhase() != wire.Phase_PHASE_STEADY || v.GetPrimary() == "") {
		return
	}
	s.updateView(v, func(v *wire.View) {
		v.Term = r.GetTerm()
		v.Phase = wire.Phase_PHASE_SWITCHING
		if !planned {
			v.Phase = wire.Phase_PHASE_RAISING
			v.Primary = ""
		}
	})
}

// promoted records the primary of the present term. A promotion of a lower term comes late, one
// for a term that has its primary would make a second one; both have no effect.
func (s *State) recordPrimary(p *wire.Promoted) {
	v, ok := s.View(p.GetGroup())
	if !ok || p.GetTerm() != v.GetTerm() || v.GetPhase() == wire.Phase_PHASE_STEADY {
		return
	}
	if _, member := getNamed(v.GetMembers(), p.GetServer(), (*wire.Member).GetServer); !member {
		return
	}
	s.updateView(v, func(v *wire.View) {
		v.Phase = wire.Phase_PHASE_STEADY
		v.Primary = p.GetServer()
		v.History = append(v.History, &wire.Start{Term: p.GetTerm(), Offset: p.GetOffset()})
	})
}

// admit adds a member while fewer are members than configured. Members change only while no
// failover runs, so that the promises of one term are counted over one set of members.
func (s *State) admit(a *wire.Admit) {
	v, ok := s.View(a.GetGroup())
	server := a.GetMember().GetServer()
	if !ok || server == "" || v.GetPhase() != wire.Phase_PHASE_STEADY || s.IsRetired(server) || s.groupOfMember(server) != "" {
		return
	}
	g, _ := s.Group(a.GetGroup())
	if len(v.GetMembers()) >= int(g.GetMembers()) {
		return
	}
	s.updateView(v, func(v *wire.View) {
		v.Members = putNamed(v.GetMembers(), a.GetMember(), (*wire.Member).GetServer)
	})
}

// dismiss removes a retired member. The primary is never removed: it is switched over first.
func (s *State) dismiss(d *wire.Dismiss) {
	v, ok := s.View(d.GetGroup())
	if !ok || v.GetPhase() != wire.Phase_PHASE_STEADY || v.GetPrimary() == d.GetServer() || !s.IsRetired(d.GetServer()) {
		return
	}
	members := removeNamed(v.GetMembers(), d.GetServer(), (*wire.Member).GetServer)
	if len(members) == len(v.GetMembers()) {
		return
	}
	s.updateView(v, func(v *wire.View) { v.Members = members })
}

// member returns the group that the server is a member of.
func (s *State) groupOfMember(server string) string {
	for _, v := range s.views {
		if _, ok := getNamed(v.GetMembers(), server, (*wire.Member).GetServer); ok {
			return v.GetGroup()
		}
	}
	return ""
}

// lapse notes that an entry VM holds nothing. It registers again before it gets anything.
func (s *State) markLapsed(entry string) {
	r, ok := getNamed(s.registrations, entry, (*wire.Registration).GetEntry)
	if !ok || r.GetLapsed() {
		return
	}
	r = proto.CloneOf(r)
	r.Lapsed = true
	s.registrations = putNamed(s.registrations, r, (*wire.Registration).GetEntry)
	s.registrationIndex = s.index
}

// drain notes whether a bucket may be below its reserve.
func (s *State) setDrained(d *wire.Drain) {
	s.drained = removeNamed(s.drained, d.GetAccount(), identity)
	if d.GetDrained() {
		s.drained = putNamed(s.drained, d.GetAccount(), identity)
	}
}

// register adds an entry VM. It replaces the one that had its place before: that process has ended.
func (s *State) register(r *wire.Registration) {
	if r.GetEntry() == "" {
		return
	}
	if r.GetProcess() != "" {
		s.registrations = slices.DeleteFunc(slices.Clone(s.registrations), func(o *wire.Registration) bool {
			return o.GetProcess() == r.GetProcess() && o.GetEntry() != r.GetEntry()
		})
	}
	s.registrations = putNamed(s.registrations, r, (*wire.Registration).GetEntry)
	s.registrationIndex = s.index
}

// mark sets whether a member is retired.
func (s *State) setRetired(server string, retired bool) {
	v, ok := s.View(s.groupOfMember(server))
	if !ok {
		return
	}
	m, _ := getNamed(v.GetMembers(), server, (*wire.Member).GetServer)
	if m.GetRetired() == retired {
		return
	}
	next := proto.CloneOf(m)
	next.Retired = retired
	s.updateView(v, func(v *wire.View) {
		v.Members = putNamed(v.GetMembers(), next, (*wire.Member).GetServer)
	})
}
