package failover

import (
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

func termOf(v *wire.View) position.Term { return position.Term(v.GetTerm()) }

// tick handles the timeouts and retries of the group.
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

// checkPrimary replaces the primary of a steady group if there is none, most voters cannot reach it, another
// member reports that it leads, or the primary shuts down.
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
	g.unfenceReplicas(now) // before the calls that settle departures, which need replicas that receive
	g.settleDepartures(now)
	g.prepareSuccessor(now, s)
}

// claimant returns the member that reports that it leads, and has done so for longer than a change of the
// primary takes to be recorded; empty if there is none.
func (g *platformGroup) claimant(now time.Time) ServerID {
	minAge := minClaimAge
	if g.view.GetPrimary() == "" {
		minAge = 0
	}
	for _, m := range g.view.GetMembers() {
		s := g.server(ServerID(m.GetServer()))
		// A report from before the primary was recorded, or from the time of its promotion, proves nothing.
		settled := minAge == 0 || s.lastHeard.Sub(g.steadySince) >= minAge
		if s.claimsPrimary && settled && now.Sub(s.claimedSince) >= minAge && now.Sub(s.lastHeard) < announcementTimeout {
			return ServerID(m.GetServer())
		}
	}
	return ""
}

// prepareSuccessor finds a successor for a primary that shuts down or is evacuated, and then starts a switchover.
func (g *platformGroup) prepareSuccessor(now time.Time, s *instance) {
	since, reason := s.replacedSince()
	if since.IsZero() || g.pausesEvacuation(now, s) {
		return
	}
	ready := false
	others, candidates, answered := 0, 0, 0
	for _, m := range g.view.GetMembers() {
		id := ServerID(m.GetServer())
		replica := g.server(id)
		if string(id) == g.view.GetPrimary() || !replica.shutdownSince.IsZero() {
			continue
		}
		answers := g.answersSince(now, since, m)
		if answers {
			answered++
		}
		if !g.mayFollow(id) {
			continue
		}
		others++
		if answers && !now.Before(replica.barredUntil) {
			candidates++
		}
		ready = ready || answers && replica.lag <= maxSuccessorLag
	}
	if g.syncReplicas() > 0 && (answered < g.requiredReplicas() || now.Sub(g.steadySince) < syncSwitchoverPause) {
		return // a switchover would end without a successor
	}
	if !g.coordinator.pause.mayOrder() {
		return
	}
	if s.shutdownSince.IsZero() && candidates == 0 {
		return // an evacuated primary can wait until a replica answers; one that shuts down cannot
	}
	if others > 0 && (ready || now.Sub(since) >= maxShutdownWait) {
		g.raiseTerm(now, wire.Phase_PHASE_SWITCHING, reason)
	}
}

// probePrimary requests the status of a primary that the control VM or an entry VM does not reach.
func (g *platformGroup) probePrimary(now time.Time, m *wire.Member, s *instance) {
	missed := !s.unansweredSince.IsZero() || now.Sub(s.lastHeard) >= announcementTimeout
	for _, v := range g.votes {
		missed = missed || (v.down && now.Sub(v.at) < voteTTL)
	}
	if missed && now.Sub(s.lastProbe) >= primaryProbeInterval {
		g.requestStatus(now, m)
	}
}

// primaryLost reports whether most of the voters do not reach the primary. The voters are the entry VMs that use it on
// connections of their own and the control VM, which has one vote, so that neither side decides alone at first. A
// primary may answer the status calls of the control VM and no statement, so after loneVoteSilence the entry VMs decide
// without it. With synchronous replicas, silence from before the primary was recorded says nothing: a failover fences the replicas,
// and until the fences have ended no write is answered.
func (g *platformGroup) primaryLost(now time.Time, s *instance) bool {
	if g.syncReplicas() > 0 && now.Sub(g.recordedSince) < loneVoteSilence {
		return false // it answered nothing while its replicas were fenced
	}
	unanswered := !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) >= minVoteSilence
	total, down, silent := 0, 0, 0
	for _, v := range g.votes {
		if string(v.server) != g.view.GetPrimary() || now.Sub(v.at) >= voteTTL {
			continue
		}
		total++
		if v.down {
			down++
		}
		if v.down && v.silent >= loneVoteSilence {
			silent++
		}
	}
	switch {
	case total == 0:
		return unanswered && now.Sub(s.unansweredSince) >= noVotesTimeout
	case 2*silent > total:
		return true
	case unanswered:
		return 2*(down+1) > total+1
	}
	return 2*down > total+1
}

// advanceAttempt continues the failover or switchover under a raised term.
func (g *platformGroup) advanceAttempt(now time.Time) {
	a := g.attempt
	switch {
	case a.recorded && g.member(a.target) == nil:
		g.raiseTerm(now, wire.Phase_PHASE_RAISING, "the new primary left")
	case a.recorded:
		if now.Sub(a.lastProposed) >= proposeRetryInterval {
			g.recordPrimary(now, a, a.target, 0)
		}
	case !a.grantedAt.IsZero():
		g.awaitLeader(now, a)
	case a.target != "":
		if now.Sub(a.orderedAt) >= orderTimeout+statusWait {
			g.orderUnanswered(now, a, "the order had no answer")
			return
		}
		g.keepFences(now, a)
	case a.planned:
		g.advanceSwitchover(now, a)
	default:
		g.advanceFailover(now, a)
	}
}

// advanceFailover orders a promotion once every member has answered or failed, or statusWait is over.
func (g *platformGroup) advanceFailover(now time.Time, a *attempt) {
	waited := now.Sub(a.started)
	if g.awaitsAnswers(a) && waited < statusWait {
		return
	}
	if g.syncReplicas() > 0 && g.open != "" {
		g.repeatPoll(now, a)
		g.advanceOpenOrder(now, a)
		return
	}
	if leader := g.respondingPrimary(now, a); leader != "" {
		g.recordPrimary(now, a, leader, uint64(a.answers[leader].Offset))
		return
	}
	if g.syncReplicas() > 0 {
		g.repeatPoll(now, a)
		g.advanceFence(now, a)
		return
	}
	target := g.successor(now, a, "")
	if target != "" && g.coordinator.pause.mayOrder() {
		g.promote(now, a, target)
		return
	}
	g.repeatPoll(now, a)
	if target != "" {
		g.reportDelay(now, a)
	}
}

// repeatPoll requests the status of the members again if the last requests are older than statusWait.
func (g *platformGroup) repeatPoll(now time.Time, a *attempt) {
	if now.Sub(a.lastPoll) >= statusWait {
		g.pollMembers(now)
	}
}

// awaitsAnswers reports whether a status call is under way to a member without failed calls.
func (g *platformGroup) awaitsAnswers(a *attempt) bool {
	for id := range a.pending {
		if g.server(id).unansweredSince.IsZero() {
			return true
		}
	}
	return false
}

// respondingPrimary returns the member that answered as the primary, unless it should be replaced.
func (g *platformGroup) respondingPrimary(now time.Time, a *attempt) ServerID {
	var best ServerID
	for id, r := range a.answers {
		if r.Role != rolePrimary || !g.mayStay(now, a, id) {
			continue
		}
		if best == "" || a.answers[best].Term < r.Term {
			best = id
		}
	}
	return best
}

// mayStay reports whether a member that answered as the primary may stay it: it does not shut down, and the voters reached it
// or no other member answers. With synchronous replicas it may although it shuts down, since a switchover replaces it then,
// and once no successor was found within maxSuccessorSearch. So may any primary while the platform takes no orders. An evacuated
// one may stay: a switchover replaces it, which waits for the replica, whereas a failover would lose the commits that the replica
// lacks.
func (g *platformGroup) mayStay(now time.Time, a *attempt, id ServerID) bool {
	if g.coordinator.pause.lasted(now, maxSuccessorSearch) {
		return true
	}
	avoided := id == g.avoided && len(a.answers) > 1
	if g.syncReplicas() > 0 {
		return !avoided || now.Sub(a.started) >= maxSuccessorSearch
	}
	return !avoided && g.server(id).shutdownSince.IsZero()
}

// advanceSwitchover orders a promotion once a replica has the whole log of the primary, or maxWriteHold is over.
func (g *platformGroup) advanceSwitchover(now time.Time, a *attempt) {
	if g.syncReplicas() > 0 {
		g.advanceSyncSwitchover(now, a)
		return
	}
	old := ServerID(g.view.GetPrimary())
	waited := now.Sub(a.started)
	target := g.successor(now, a, old)
	if target != "" && waited >= minWriteHold && g.caughtUp(a, old, target) {
		g.promote(now, a, target)
		return
	}
	if waited >= maxWriteHold && target != "" {
		g.promote(now, a, target)
		return
	}
	if waited >= maxWriteHold && len(a.pending) == 0 {
		g.raiseTerm(now, wire.Phase_PHASE_RAISING, "no replica answers")
		return
	}
	if now.Sub(a.lastPoll) >= pollInterval && len(a.pending) == 0 {
		g.pollMembers(now)
	}
}

// caughtUp reports whether the target has the whole log of the primary, by the answers to calls made after
// writes were held.
func (g *platformGroup) caughtUp(a *attempt, old, target ServerID) bool {
	p, ok := a.answers[old]
	if !ok || a.lastPoll.Sub(a.started) < minWriteHold || len(a.pending) > 0 {
		return false
	}
	t := a.answers[target]
	return !p.Busy && !t.Busy && t.lastPosition() == p.lastPosition()
}

// successor returns the best replica among those that answered: the lowest rank, then the longest log.
// Replicas that the platform refused lately are not chosen, nor are evacuated ones in a planned switchover.
func (g *platformGroup) successor(now time.Time, a *attempt, old ServerID) ServerID {
	var best ServerID
	ids := make([]ServerID, 0, len(a.answers))
	for id := range a.answers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if id == old || g.member(id) == nil || now.Before(g.server(id).barredUntil) || a.planned && g.evacuated(id) {
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

// rank orders candidates: 0 for those without a known problem, 1 for the avoided one, 2 for those that shut
// down, 3 for those that are evacuated.
func (g *platformGroup) rank(id ServerID) int {
	switch {
	case g.evacuated(id):
		return 3
	case !g.server(id).shutdownSince.IsZero():
		return 2
	case id == g.avoided:
		return 1
	}
	return 0
}
