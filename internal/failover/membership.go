package failover

import (
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// membership is the one change of members that is under way in a group.
type membershipChange struct {
	server           ServerID // empty if there is none
	dismiss          bool     // else it is admitted
	started          time.Time
	requiredPosition position.Position // position of the primary after the change began
	positionKnown    bool              // the floor is known
	caughtUp         map[ServerID]bool // servers that were seen to hold the floor
	proposed         time.Time
}

// found brings up a new group: members are admitted as they announce themselves, and the first
// primary is made when all are there, or a majority after a while.
func (g *group) bootstrap(now time.Time) {
	members := g.view.GetMembers()
	if len(members) < g.configured {
		for _, id := range g.serverIDs {
			s := g.servers[id]
			if !g.member(id) && s.retired.IsZero() && s.recentlyHeard(now) && now.Sub(g.change.proposed) >= proposeRetryInterval {
				g.change = membershipChange{server: id, proposed: now}
				g.proposeAdmission(s)
				return
			}
		}
	}
	if len(members) < g.quorum() || g.majorityJoined.IsZero() {
		g.majorityJoined = now
		return
	}
	if len(members) < g.configured && now.Sub(g.majorityJoined) < bootstrapTimeout {
		return
	}
	fresh := 0
	for _, s := range g.members {
		if s.recentlyHeard(now) {
			fresh++
		}
	}
	if fresh >= g.quorum() {
		g.raiseTerm(now, wire.Phase_PHASE_RAISING, "first primary")
	}
}

func (g *group) proposeAdmission(s *server) {
	g.coordinator.propose(&wire.Entry{Entry: &wire.Entry_Admit{Admit: &wire.Admit{
		Group:  string(g.id),
		Member: &wire.Member{Server: string(s.id), Address: s.address, Zone: s.zone},
	}}})
}

// rejoin tells members that do not follow the present primary to follow it.
func (g *group) redirectReplicas(now time.Time) {
	p := g.servers[g.primary()]
	for _, s := range g.members {
		if s.id == p.id || !s.recentlyHeard(now) || s.report.Promised > g.primaryTerm() {
			continue
		}
		if s.report.Term < g.primaryTerm() || s.report.Role == rolePrimary {
			g.call(now, s, Follow, g.primaryTerm(), p.address, proposeRetryInterval)
		}
	}
}

// reform starts or continues one change of members.
func (g *group) tickMembershipChange(now time.Time) {
	if g.change.server == "" {
		g.beginMembershipChange(now)
	}
	if g.change.server == "" {
		return
	}
	if !g.change.proposed.IsZero() {
		if now.Sub(g.change.proposed) >= proposeRetryInterval {
			g.change = membershipChange{}
		}
		return
	}
	s := g.servers[g.change.server]
	if !g.change.dismiss && !s.recentlyHeard(now) || g.change.dismiss && s.retired.IsZero() {
		g.change = membershipChange{}
		return
	}
	p := g.servers[g.primary()]
	if !g.change.positionKnown {
		g.call(now, p, Status, 0, "", probeInterval)
		return
	}
	if !g.change.dismiss {
		if s.report.Term != g.primaryTerm() {
			g.call(now, s, Follow, g.primaryTerm(), p.address, proposeRetryInterval)
		}
		g.call(now, s, Status, 0, "", probeInterval)
		return
	}
	for _, m := range g.members {
		if m.id != s.id {
			g.call(now, m, Status, 0, "", probeInterval)
		}
	}
}

// begin picks the next change: the removal of a retired member goes before an admission.
func (g *group) beginMembershipChange(now time.Time) {
	for _, s := range g.members {
		if s.retired.IsZero() {
			continue
		}
		if s.id == g.primary() {
			if now.Sub(g.lastSwitchover) >= switchoverBackoff {
				g.lastSwitchover = now
				g.startSwitchover(now, "")
			}
			return
		}
		if now.Sub(s.retired) >= dismissDelay {
			g.change = membershipChange{server: s.id, dismiss: true, started: now, caughtUp: map[ServerID]bool{}}
		}
		return
	}
	if len(g.serverIDs) > len(g.members) {
		g.forgetServers(now)
	}
	if len(g.view.GetMembers()) >= g.configured {
		return
	}
	for _, id := range g.serverIDs {
		s := g.servers[id]
		if !g.member(id) && s.retired.IsZero() && s.recentlyHeard(now) {
			g.change = membershipChange{server: id, started: now, caughtUp: map[ServerID]bool{}}
			return
		}
	}
}

// learned notes answers that a change of members waits for.
func (g *group) membershipStatusReceived(now time.Time, c Call, r Report) {
	m := &g.change
	if m.server == "" || !m.proposed.IsZero() || c.Function != Status || r.Term != g.primaryTerm() {
		return
	}
	if c.Server == g.primary() && r.Role == rolePrimary && !m.positionKnown {
		// The call may be up to CallTimeout older than the change, which retireWait allows for.
		m.requiredPosition = r.currentPosition()
		m.positionKnown = true
	}
	if !m.positionKnown || !r.History.Covers(r.currentPosition(), m.requiredPosition) {
		return
	}
	m.caughtUp[c.Server] = true
	if !m.dismiss && m.caughtUp[m.server] {
		m.proposed = now
		g.proposeAdmission(g.servers[m.server])
		return
	}
	if m.dismiss && g.remainingCaughtUp() {
		m.proposed = now
		g.coordinator.propose(&wire.Entry{Entry: &wire.Entry_Dismiss{Dismiss: &wire.Dismiss{
			Group: string(g.id), Server: string(m.server),
		}}})
	}
}

// remaining reports whether a majority of the members without the retired one holds the floor.
func (g *group) remainingCaughtUp() bool {
	n, all := 0, 0
	for _, s := range g.members {
		if s.id == g.change.server {
			continue
		}
		all++
		if g.change.caughtUp[s.id] {
			n++
		}
	}
	return n >= all/2+1
}

// forget drops servers that are no members and silent.
func (g *group) forgetServers(now time.Time) {
	g.serverIDs = slices.DeleteFunc(g.serverIDs, func(id ServerID) bool {
		s := g.servers[id]
		gone := !g.member(id) && now.Sub(s.reportedAt) >= forgetAfter && g.change.server != id
		if gone {
			delete(g.servers, id)
		}
		return gone
	})
}
