package controlstate

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// updateView replaces the view of a group, also of one that left the configuration, with a copy modified by edit. The revision
// is the log index, so it also grows when a group leaves and comes back.
func (s *State) updateView(v *wire.View, edit func(*wire.View)) {
	list := &s.views
	if _, configured := s.View(v.GetGroup()); !configured {
		list = &s.dropped
	}
	*list = putNamed(*list, s.nextView(v, edit), (*wire.View).GetGroup)
}

// nextView returns a copy of a view modified by edit, with the revision of the current entry.
func (s *State) nextView(v *wire.View, edit func(*wire.View)) *wire.View {
	next := &wire.View{
		Group:      v.GetGroup(),
		Term:       v.GetTerm(),
		Phase:      v.GetPhase(),
		Primary:    v.GetPrimary(),
		History:    slices.Clip(v.GetHistory()),
		Members:    v.GetMembers(),
		Revision:   s.index,
		Former:     v.GetFormer(),
		Ordered:    v.GetOrdered(),
		Departures: v.GetDepartures(),
		Stalled:    v.GetStalled(),
		Fences:     v.GetFences(),
		Reign:      v.GetReign(),
		Held:       v.GetHeld(),
	}
	edit(next)
	return next
}

// raiseTerm records a higher term and the primary of the term before. A planned switchover requires a current primary,
// which stays in the view until the promotion so that open transactions can finish on it. It may go on in another term once
// its successor is decided.
func (s *State) raiseTerm(r *wire.RaiseTerm) {
	v, ok := s.View(r.GetGroup())
	if !ok || r.GetTerm() <= v.GetTerm() {
		return
	}
	planned := r.GetPhase() == wire.Phase_PHASE_SWITCHING
	decided := v.GetPhase() == wire.Phase_PHASE_SWITCHING && r.GetServer() != ""
	if planned && (v.GetPhase() != wire.Phase_PHASE_STEADY && !decided || v.GetPrimary() == "") {
		return
	}
	s.updateView(v, func(v *wire.View) {
		v.Term, v.Ordered, v.Fences, v.Reign = r.GetTerm(), r.GetServer(), r.GetFences(), r.GetReign()
		v.Stalled = v.GetStalled() && r.GetStalled()
		v.Held = v.GetHeld() && v.GetStalled()
		v.Former = cmp.Or(v.GetPrimary(), v.GetFormer())
		v.Phase = wire.Phase_PHASE_SWITCHING
		if !planned {
			v.Phase = wire.Phase_PHASE_RAISING
			v.Primary = ""
		}
	})
}

// recordPrimary records the primary of the current term. A promotion for a lower term is late, and one for a
// term that already has a primary would create a second one; neither has an effect.
func (s *State) recordPrimary(p *wire.Promoted) {
	v, ok := s.View(p.GetGroup())
	if !ok || p.GetTerm() != v.GetTerm() || v.GetPhase() == wire.Phase_PHASE_STEADY {
		return
	}
	if _, member := getNamed(v.GetMembers(), p.GetServer(), (*wire.Member).GetServer); !member {
		return
	}
	s.updateView(v, func(v *wire.View) {
		v.Phase, v.Ordered, v.Stalled, v.Held, v.Fences, v.Reign = wire.Phase_PHASE_STEADY, "", false, false, nil, 0
		v.Primary = p.GetServer()
		v.History = append(v.History, &wire.Start{Term: p.GetTerm(), Offset: p.GetOffset()})
	})
}

// stall records that the failover of the current term cannot end soon. It may do so again with more fences.
func (s *State) stall(e *wire.Stall) {
	v, ok := s.View(e.GetGroup())
	if !ok || e.GetTerm() != v.GetTerm() || v.GetPhase() != wire.Phase_PHASE_RAISING {
		return
	}
	if v.GetStalled() && v.GetHeld() == e.GetHeld() && len(e.GetFences()) == 0 {
		return
	}
	s.updateView(v, func(v *wire.View) {
		v.Stalled, v.Held = true, e.GetHeld()
		if len(e.GetFences()) > 0 {
			v.Fences = e.GetFences()
		}
	})
}

// admit adds a member while the group has fewer members than configured. Membership changes only while no
// failover is running, so that the promises of one term are counted over one set of members.
func (s *State) admit(a *wire.Admit) {
	v, ok := s.View(a.GetGroup())
	server := a.GetMember().GetServer()
	if !ok || CheckMember(a.GetMember()) != nil || v.GetPhase() != wire.Phase_PHASE_STEADY || s.IsRetired(server) || s.groupOfMember(server) != "" {
		return
	}
	g, _ := s.Group(a.GetGroup())
	if len(v.GetMembers()) >= int(g.GetMembers()) {
		return
	}
	s.removeFromDropped(server)
	s.updateView(v, func(v *wire.View) {
		v.Members = putNamed(v.GetMembers(), s.marked(a.GetMember()), (*wire.Member).GetServer)
	})
}

// dismiss removes a retired member. It never removes the primary, which must be switched over first.
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

// groupOfMember returns the configured group that the server is a member of, or "".
func (s *State) groupOfMember(server string) string {
	v, _ := viewWithMember(s.views, server)
	return v.GetGroup()
}

// setDrained records whether the token bucket of an account may be below its reserve.
func (s *State) setDrained(d *wire.Drain) {
	s.drained = removeNamed(s.drained, d.GetAccount(), identity)
	if d.GetDrained() {
		s.drained = putNamed(s.drained, d.GetAccount(), identity)
	}
}

// setRetired sets whether a member is retired.
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
