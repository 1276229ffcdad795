package controlstate

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// amend replaces the view of a group by a copy that edit has modified. The log index as revision
// grows with every change, also when a group is dropped and added again.
func (b *State) amend(v *wire.View, edit func(*wire.View)) {
	next := &wire.View{
		Group:    v.GetGroup(),
		Term:     v.GetTerm(),
		Phase:    v.GetPhase(),
		Primary:  v.GetPrimary(),
		History:  slices.Clip(v.GetHistory()),
		Members:  v.GetMembers(),
		Revision: b.index,
	}
	edit(next)
	b.views = put(b.views, next, (*wire.View).GetGroup)
}

// raise makes a greater term durable. A planned switchover needs a present primary, which stays in
// the view until the promotion so that open transactions can end on it.
func (b *State) raise(r *wire.RaiseTerm) {
	v, ok := b.View(r.GetGroup())
	if !ok || r.GetTerm() <= v.GetTerm() {
		return
	}
	planned := r.GetPhase() == wire.Phase_PHASE_SWITCHING
	if planned && (v.GetPhase() != wire.Phase_PHASE_STEADY || v.GetPrimary() == "") {
		return
	}
	b.amend(v, func(v *wire.View) {
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
func (b *State) promoted(p *wire.Promoted) {
	v, ok := b.View(p.GetGroup())
	if !ok || p.GetTerm() != v.GetTerm() || v.GetPhase() == wire.Phase_PHASE_STEADY {
		return
	}
	if _, member := get(v.GetMembers(), p.GetServer(), (*wire.Member).GetServer); !member {
		return
	}
	b.amend(v, func(v *wire.View) {
		v.Phase = wire.Phase_PHASE_STEADY
		v.Primary = p.GetServer()
		v.History = append(v.History, &wire.Start{Term: p.GetTerm(), Offset: p.GetOffset()})
	})
}

// admit adds a member while fewer are members than configured. Members change only while no
// failover runs, so that the promises of one term are counted over one set of members.
func (b *State) admit(a *wire.Admit) {
	v, ok := b.View(a.GetGroup())
	server := a.GetMember().GetServer()
	if !ok || server == "" || v.GetPhase() != wire.Phase_PHASE_STEADY || b.IsRetired(server) || b.member(server) != "" {
		return
	}
	g, _ := b.Group(a.GetGroup())
	if len(v.GetMembers()) >= int(g.GetMembers()) {
		return
	}
	b.amend(v, func(v *wire.View) {
		v.Members = put(v.GetMembers(), a.GetMember(), (*wire.Member).GetServer)
	})
}

// dismiss removes a retired member. The primary is never removed: it is switched over first.
func (b *State) dismiss(d *wire.Dismiss) {
	v, ok := b.View(d.GetGroup())
	if !ok || v.GetPhase() != wire.Phase_PHASE_STEADY || v.GetPrimary() == d.GetServer() || !b.IsRetired(d.GetServer()) {
		return
	}
	members := drop(v.GetMembers(), d.GetServer(), (*wire.Member).GetServer)
	if len(members) == len(v.GetMembers()) {
		return
	}
	b.amend(v, func(v *wire.View) { v.Members = members })
}

// member returns the group that the server is a member of.
func (b *State) member(server string) string {
	for _, v := range b.views {
		if _, ok := get(v.GetMembers(), server, (*wire.Member).GetServer); ok {
			return v.GetGroup()
		}
	}
	return ""
}

// lapse notes that an entry VM holds nothing. It registers again before it gets anything.
func (b *State) lapse(entry string) {
	r, ok := get(b.registrations, entry, (*wire.Registration).GetEntry)
	if !ok || r.GetLapsed() {
		return
	}
	r = proto.CloneOf(r)
	r.Lapsed = true
	b.registrations = put(b.registrations, r, (*wire.Registration).GetEntry)
	b.entered = b.index
}

// drain notes whether a bucket may be below its reserve.
func (b *State) drain(d *wire.Drain) {
	b.drained = drop(b.drained, d.GetAccount(), self)
	if d.GetDrained() {
		b.drained = put(b.drained, d.GetAccount(), self)
	}
}

// register adds an entry VM. It replaces the one that had its place before: that process has ended.
func (b *State) register(r *wire.Registration) {
	if r.GetEntry() == "" {
		return
	}
	if r.GetProcess() != "" {
		b.registrations = slices.DeleteFunc(slices.Clone(b.registrations), func(o *wire.Registration) bool {
			return o.GetProcess() == r.GetProcess() && o.GetEntry() != r.GetEntry()
		})
	}
	b.registrations = put(b.registrations, r, (*wire.Registration).GetEntry)
	b.entered = b.index
}

// mark sets whether a member is retired.
func (b *State) mark(server string, retired bool) {
	v, ok := b.View(b.member(server))
	if !ok {
		return
	}
	m, _ := get(v.GetMembers(), server, (*wire.Member).GetServer)
	if m.GetRetired() == retired {
		return
	}
	next := proto.CloneOf(m)
	next.Retired = retired
	b.amend(v, func(v *wire.View) {
		v.Members = put(v.GetMembers(), next, (*wire.Member).GetServer)
	})
}
