package failover

import (
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// membership is the one change of members that is under way in a group.
type membership struct {
	server   ServerID // empty if there is none
	dismiss  bool     // else it is admitted
	asked    time.Time
	floor    position.Position // position of the primary after the change began
	known    bool              // the floor is known
	holds    map[ServerID]bool // servers that were seen to hold the floor
	proposed time.Time
}

// found brings up a new group: members are admitted as they announce themselves, and the first
// primary is made when all are there, or a majority after a while.
func (g *group) found(now time.Time) {
	members := g.view.GetMembers()
	if len(members) < g.configured {
		for _, id := range g.order {
			s := g.servers[id]
			if !g.member(id) && s.retired.IsZero() && s.fresh(now) && now.Sub(g.change.proposed) >= proposeAgain {
				g.change = membership{server: id, proposed: now}
				g.admit(s)
				return
			}
		}
	}
	if len(members) < g.quorum() || g.partial.IsZero() {
		g.partial = now
		return
	}
	if len(members) < g.configured && now.Sub(g.partial) < partialWait {
		return
	}
	fresh := 0
	for _, s := range g.list {
		if s.fresh(now) {
			fresh++
		}
	}
	if fresh >= g.quorum() {
		g.raise(now, wire.Phase_PHASE_RAISING, "first primary")
	}
}

func (g *group) admit(s *server) {
	g.coordinator.propose(&wire.Entry{Entry: &wire.Entry_Admit{Admit: &wire.Admit{
		Group:  string(g.id),
		Member: &wire.Member{Server: string(s.id), Address: s.address, Zone: s.zone},
	}}})
}

// rejoin tells members that do not follow the present primary to follow it.
func (g *group) rejoin(now time.Time) {
	p := g.servers[g.primary()]
	for _, s := range g.list {
		if s.id == p.id || !s.fresh(now) || s.report.Promised > g.led() {
			continue
		}
		if s.report.Term < g.led() || s.report.Role == rolePrimary {
			g.call(now, s, Follow, g.led(), p.address, proposeAgain)
		}
	}
}

// reform starts or continues one change of members.
func (g *group) reform(now time.Time) {
	if g.change.server == "" {
		g.begin(now)
	}
	if g.change.server == "" {
		return
	}
	if !g.change.proposed.IsZero() {
		if now.Sub(g.change.proposed) >= proposeAgain {
			g.change = membership{}
		}
		return
	}
	s := g.servers[g.change.server]
	if !g.change.dismiss && !s.fresh(now) || g.change.dismiss && s.retired.IsZero() {
		g.change = membership{}
		return
	}
	p := g.servers[g.primary()]
	if !g.change.known {
		g.call(now, p, Status, 0, "", probeInterval)
		return
	}
	if !g.change.dismiss {
		if s.report.Term != g.led() {
			g.call(now, s, Follow, g.led(), p.address, proposeAgain)
		}
		g.call(now, s, Status, 0, "", probeInterval)
		return
	}
	for _, m := range g.list {
		if m.id != s.id {
			g.call(now, m, Status, 0, "", probeInterval)
		}
	}
}

// begin picks the next change: the removal of a retired member goes before an admission.
func (g *group) begin(now time.Time) {
	for _, s := range g.list {
		if s.retired.IsZero() {
			continue
		}
		if s.id == g.primary() {
			if now.Sub(g.planned) >= switchBackoff {
				g.planned = now
				g.plan(now, "")
			}
			return
		}
		if now.Sub(s.retired) >= retireWait {
			g.change = membership{server: s.id, dismiss: true, asked: now, holds: map[ServerID]bool{}}
		}
		return
	}
	if len(g.order) > len(g.list) {
		g.forget(now)
	}
	if len(g.view.GetMembers()) >= g.configured {
		return
	}
	for _, id := range g.order {
		s := g.servers[id]
		if !g.member(id) && s.retired.IsZero() && s.fresh(now) {
			g.change = membership{server: id, asked: now, holds: map[ServerID]bool{}}
			return
		}
	}
}

// learned notes answers that a change of members waits for.
func (g *group) learned(now time.Time, c Call, r Report) {
	m := &g.change
	if m.server == "" || !m.proposed.IsZero() || c.Function != Status || r.Term != g.led() {
		return
	}
	if c.Server == g.primary() && r.Role == rolePrimary && !m.known {
		// The call may be up to CallTimeout older than the change, which retireWait allows for.
		m.floor = r.at()
		m.known = true
	}
	if !m.known || !r.History.Covers(r.at(), m.floor) {
		return
	}
	m.holds[c.Server] = true
	if !m.dismiss && m.holds[m.server] {
		m.proposed = now
		g.admit(g.servers[m.server])
		return
	}
	if m.dismiss && g.remaining() {
		m.proposed = now
		g.coordinator.propose(&wire.Entry{Entry: &wire.Entry_Dismiss{Dismiss: &wire.Dismiss{
			Group: string(g.id), Server: string(m.server),
		}}})
	}
}

// remaining reports whether a majority of the members without the retired one holds the floor.
func (g *group) remaining() bool {
	n, all := 0, 0
	for _, s := range g.list {
		if s.id == g.change.server {
			continue
		}
		all++
		if g.change.holds[s.id] {
			n++
		}
	}
	return n >= all/2+1
}

// forget drops servers that are no members and silent.
func (g *group) forget(now time.Time) {
	g.order = slices.DeleteFunc(g.order, func(id ServerID) bool {
		s := g.servers[id]
		gone := !g.member(id) && now.Sub(s.at) >= forgetServer && g.change.server != id
		if gone {
			delete(g.servers, id)
		}
		return gone
	})
}
