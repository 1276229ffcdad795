package failover

import (
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// membershipChange is the change of members that is under way in a group. There is at most one at a time.
type membershipChange struct {
	server           ServerID          // empty if there is none
	dismiss          bool              // the server is removed; otherwise it is admitted
	requiredPosition position.Position // position of the primary after the change began
	positionKnown    bool              // requiredPosition is set
	caughtUp         map[ServerID]bool // servers that have reported a log up to requiredPosition
	proposed         time.Time
}

// bootstrap starts a new group: members are admitted as they announce themselves, and the first primary is
// promoted when all members have joined, or after bootstrapTimeout when a majority has.
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
	alive := 0
	for _, s := range g.members {
		if s.recentlyHeard(now) {
			alive++
		}
	}
	if alive >= g.quorum() {
		g.raiseTerm(now, wire.Phase_PHASE_RAISING, "first primary")
	}
}

func (g *group) proposeAdmission(s *server) {
	g.coordinator.propose(&wire.Entry{Entry: &wire.Entry_Admit{Admit: &wire.Admit{
		Group:  string(g.id),
		Member: &wire.Member{Server: string(s.id), Address: s.address, Zone: s.zone},
	}}})
}

// redirectReplicas calls members that do not follow the current primary to follow it.
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

// tickMembershipChange starts a change of members or continues the one under way.
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

// beginMembershipChange chooses the next change. The removal of a retired member goes before an admission.
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
			g.change = membershipChange{server: s.id, dismiss: true, caughtUp: map[ServerID]bool{}}
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
			g.change = membershipChange{server: id, caughtUp: map[ServerID]bool{}}
			return
		}
	}
}

// membershipStatusReceived records the status responses that a change of members waits for, and proposes the
// change when the required servers have caught up.
func (g *group) membershipStatusReceived(now time.Time, c Call, r Report) {
	change := &g.change
	if change.server == "" || !change.proposed.IsZero() || c.Function != Status || r.Term != g.primaryTerm() {
		return
	}
	if c.Server == g.primary() && r.Role == rolePrimary && !change.positionKnown {
		// The call may be up to CallTimeout older than the change, which dismissDelay allows for.
		change.requiredPosition = r.currentPosition()
		change.positionKnown = true
	}
	if !change.positionKnown || !r.History.Covers(r.currentPosition(), change.requiredPosition) {
		return
	}
	change.caughtUp[c.Server] = true
	if !change.dismiss && change.caughtUp[change.server] {
		change.proposed = now
		g.proposeAdmission(g.servers[change.server])
		return
	}
	if change.dismiss && g.remainingCaughtUp() {
		change.proposed = now
		g.coordinator.propose(&wire.Entry{Entry: &wire.Entry_Dismiss{Dismiss: &wire.Dismiss{
			Group: string(g.id), Server: string(change.server),
		}}})
	}
}

// remainingCaughtUp reports whether a majority of the members other than the retired one has the log up to
// requiredPosition.
func (g *group) remainingCaughtUp() bool {
	ready, remaining := 0, 0
	for _, s := range g.members {
		if s.id == g.change.server {
			continue
		}
		remaining++
		if g.change.caughtUp[s.id] {
			ready++
		}
	}
	return ready >= remaining/2+1
}

// forgetServers drops servers that are not members and have sent no report for forgetAfter.
func (g *group) forgetServers(now time.Time) {
	g.serverIDs = slices.DeleteFunc(g.serverIDs, func(id ServerID) bool {
		s := g.servers[id]
		forget := !g.member(id) && now.Sub(s.reportedAt) >= forgetAfter && g.change.server != id
		if forget {
			delete(g.servers, id)
		}
		return forget
	})
}
