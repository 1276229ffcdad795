package failover

import (
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

func termOf(v *wire.View) position.Term { return position.Term(v.GetTerm()) }

// tick does what is due for the group.
func (g *platformGroup) tick(now time.Time) {
	if len(g.view.GetMembers()) == 0 {
		return
	}
	switch {
	case g.attempt != nil:
		g.advanceAttempt(now)
	case g.proposedTerm > g.view.GetTerm():
		if now.Sub(g.lastProposed) >= proposeRetryInterval {
			g.raiseTerm(now, wire.Phase_PHASE_RAISING, g.reason)
		}
	case !g.steady():
		g.raiseTerm(now, wire.Phase_PHASE_RAISING, "a control VM left the term unfinished")
	default:
		g.checkPrimary(now)
	}
}

// watch looks for reasons to change the primary of a steady group.
func (g *platformGroup) checkPrimary(now time.Time) {
	id := ServerID(g.view.GetPrimary())
	m := g.member(id)
	if m == nil {
		if id != "" || g.claimant(now) != "" || now.Sub(g.steadySince) >= bootstrapTimeout {
			g.raiseTerm(now, wire.Phase_PHASE_RAISING, "the group has no primary")
		}
		return
	}
	s := g.server(id)
	g.probePrimary(now, m, s)
	if g.primaryLost(now, s) {
		g.avoided = id
		g.raiseTerm(now, wire.Phase_PHASE_RAISING, "the primary is not reached")
		return
	}
	if other := g.claimant(now); other != "" && other != id && !s.claimsPrimary {
		g.raiseTerm(now, wire.Phase_PHASE_RAISING, "another instance leads")
		return
	}
	g.prepareSuccessor(now, s)
}

// claimed returns the member that says it leads, and says so for longer than a change takes to be
// recorded; empty if there is none.
func (g *platformGroup) claimant(now time.Time) ServerID {
	wait := minClaimAge
	if g.view.GetPrimary() == "" {
		wait = 0
	}
	for _, m := range g.view.GetMembers() {
		s := g.server(ServerID(m.GetServer()))
		// What was said before the primary was recorded, or while it was taking over, tells nothing.
		later := wait == 0 || s.lastHeard.Sub(g.steadySince) >= wait
		if s.claimsPrimary && later && now.Sub(s.claimedSince) >= wait && now.Sub(s.lastHeard) < announcementTimeout {
			return ServerID(m.GetServer())
		}
	}
	return ""
}

// watchLeave prepares a successor for a primary that shuts down.
func (g *platformGroup) prepareSuccessor(now time.Time, s *instance) {
	if s.shutdownSince.IsZero() {
		return
	}
	near := false
	others := 0
	for _, m := range g.view.GetMembers() {
		id := ServerID(m.GetServer())
		r := g.server(id)
		if string(id) == g.view.GetPrimary() || !r.shutdownSince.IsZero() {
			continue
		}
		others++
		if now.Sub(r.lastProbe) >= primaryProbeInterval {
			g.requestStatus(now, m)
		}
		near = near || (r.lastHeard.After(s.shutdownSince) && r.unansweredSince.IsZero() && r.lastProbe.After(s.shutdownSince) && r.lag <= maxSuccessorLag)
	}
	if others > 0 && (near || now.Sub(s.shutdownSince) >= maxShutdownWait) {
		g.raiseTerm(now, wire.Phase_PHASE_SWITCHING, "the primary shuts down")
	}
}

// probe asks a primary that somebody misses.
func (g *platformGroup) probePrimary(now time.Time, m *wire.Member, s *instance) {
	missed := !s.unansweredSince.IsZero() || now.Sub(s.lastHeard) >= announcementTimeout
	for _, v := range g.votes {
		missed = missed || (v.down && now.Sub(v.at) < voteTTL)
	}
	if missed && now.Sub(s.lastProbe) >= primaryProbeInterval {
		g.requestStatus(now, m)
	}
}

// missed reports whether most of those that see the primary miss it. The control VM has one vote,
// so that neither side alone decides.
func (g *platformGroup) primaryLost(now time.Time, s *instance) bool {
	alone := !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) >= minVoteSilence
	total, down := 1, 0
	if alone {
		down++
	}
	for _, v := range g.votes {
		if string(v.server) != g.view.GetPrimary() || now.Sub(v.at) >= voteTTL {
			continue
		}
		total++
		if v.down {
			down++
		}
	}
	if total == 1 {
		return alone && now.Sub(s.unansweredSince) >= noVotesTimeout
	}
	return 2*down > total
}

// advance goes on with a raised term.
func (g *platformGroup) advanceAttempt(now time.Time) {
	a := g.attempt
	switch {
	case a.recorded:
		if now.Sub(a.lastProposed) >= proposeRetryInterval {
			g.recordPrimary(now, a, a.target, 0)
		}
	case a.target != "":
		if now.Sub(a.orderedAt) >= orderTimeout+statusWait {
			g.raiseTerm(now, wire.Phase_PHASE_RAISING, "the order had no answer")
		}
	case a.planned:
		g.advanceSwitchover(now, a)
	default:
		g.advanceFailover(now, a)
	}
}

// advanceFailover orders once every member has answered, failed, or had its time.
func (g *platformGroup) advanceFailover(now time.Time, a *attempt) {
	waited := now.Sub(a.started)
	if g.awaitsAnswers(a) && waited < statusWait {
		return
	}
	if leader := g.respondingPrimary(a); leader != "" {
		g.recordPrimary(now, a, leader, uint64(a.answers[leader].Offset))
		return
	}
	if target := g.successor(now, a, ""); target != "" {
		g.promote(now, a, target)
		return
	}
	if now.Sub(a.lastPoll) >= statusWait {
		g.pollMembers(now)
	}
}

// expects reports whether a member that is not missed owes an answer.
func (g *platformGroup) awaitsAnswers(a *attempt) bool {
	for id := range a.pending {
		if g.server(id).unansweredSince.IsZero() {
			return true
		}
	}
	return false
}

// leading returns the member that answered as the primary, unless it shuts down or most entry VMs
// miss it while another member answers.
func (g *platformGroup) respondingPrimary(a *attempt) ServerID {
	var best ServerID
	for id, r := range a.answers {
		if r.Role != rolePrimary || !g.server(id).shutdownSince.IsZero() || (id == g.avoided && len(a.answers) > 1) {
			continue
		}
		if best == "" || a.answers[best].Term < r.Term {
			best = id
		}
	}
	return best
}

// advancePlanned orders when a replica holds everything that the primary had.
func (g *platformGroup) advanceSwitchover(now time.Time, a *attempt) {
	old := ServerID(g.view.GetPrimary())
	held := now.Sub(a.started)
	target := g.successor(now, a, old)
	if target != "" && held >= minWriteHold && g.caughtUp(a, old, target) {
		g.promote(now, a, target)
		return
	}
	if held >= maxWriteHold && target != "" {
		g.promote(now, a, target)
		return
	}
	if held >= maxWriteHold && len(a.pending) == 0 {
		g.raiseTerm(now, wire.Phase_PHASE_RAISING, "no replica answers")
		return
	}
	if now.Sub(a.lastPoll) >= pollInterval && len(a.pending) == 0 {
		g.pollMembers(now)
	}
}

// level reports whether the target has the log of the primary, by answers to calls made after
// writes were held.
func (g *platformGroup) caughtUp(a *attempt, old, target ServerID) bool {
	p, ok := a.answers[old]
	if !ok || a.lastPoll.Sub(a.started) < minWriteHold || len(a.pending) > 0 {
		return false
	}
	t := a.answers[target]
	return t.lastPosition() == p.lastPosition()
}

// successor returns the replica with the longest log among those that answered. One that shuts down
// or was barred goes last.
func (g *platformGroup) successor(now time.Time, a *attempt, old ServerID) ServerID {
	var best ServerID
	ids := make([]ServerID, 0, len(a.answers))
	for id := range a.answers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if id == old || g.member(id) == nil || now.Before(g.server(id).barredUntil) {
			continue
		}
		if best == "" || g.prefers(a, id, best) {
			best = id
		}
	}
	return best
}

// prefers reports whether id is a better successor than best.
func (g *platformGroup) prefers(a *attempt, id, best ServerID) bool {
	x, y := g.rank(id), g.rank(best)
	if x != y {
		return x < y
	}
	first, second := a.answers[id], a.answers[best]
	return second.lastPosition().Less(first.lastPosition())
}

// rank orders members by their standing: those that stay, those that entry VMs miss, those that leave.
func (g *platformGroup) rank(id ServerID) int {
	switch {
	case !g.server(id).shutdownSince.IsZero():
		return 2
	case id == g.avoided:
		return 1
	}
	return 0
}

// promote orders the platform to move the lead.
func (g *platformGroup) promote(now time.Time, a *attempt, target ServerID) {
	a.target, a.orderedAt = target, now
	m := g.member(target)
	g.policy.effects = append(g.policy.effects, Call{
		Group: g.id, Server: target, Address: m.GetAddress(), Function: Promote, Term: termOf(g.view), Limit: orderTimeout,
	})
}
