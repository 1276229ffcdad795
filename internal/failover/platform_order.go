package failover

import (
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// The fate of an order to promote is one of three. It has an answer; or it was not accepted, so that it will never be carried out;
// or it is open: it may still be carried out, until the platform has answered one of a higher term. In a group with synchronous
// replicas the control log names the server of an open order, and none if no order is open. That is a fact about the platform and
// no choice: before each order, what the members report now decides who is ordered.

// takeOverOrder takes over from a new term of another control VM what is open, and what was fenced.
func (g *platformGroup) takeOverOrder(now time.Time, former *wire.View) {
	if g.steady() {
		g.open, g.openReign, g.led = "", 0, ""
		clear(g.fences)
		return
	}
	if former.GetPhase() == wire.Phase_PHASE_STEADY {
		g.unledSince = now
	}
	if former.GetTerm() == g.view.GetTerm() || g.view.GetTerm() == g.proposedTerm {
		return
	}
	g.open = ServerID(g.view.GetOrdered())
	g.restoreFences()
}

// decision is the choice of a successor that becomes durable before the order.
type decision struct {
	term    uint64 // under which the successor is ordered
	members []*wire.Member
}

// orderDurably raises the term once more with the server that is ordered under it. Another control VM that takes over knows that
// the order may be carried out, which ends the fences.
func (g *platformGroup) orderDurably(now time.Time, phase wire.Phase, target ServerID) {
	if g.open == "" {
		g.openReign = g.reign
	}
	g.proposeTerm(now, phase, target, "a successor has each acknowledged commit")
	g.decision = decision{term: g.proposedTerm, members: g.view.GetMembers()}
}

// orderDecided orders the server that the view names, unless a member came or restarted while the decision became durable: it
// is not fenced. A server that was evacuated meanwhile is not ordered in a switchover.
func (g *platformGroup) orderDecided(now time.Time, v *wire.View) {
	if !slices.Equal(g.decision.members, v.GetMembers()) || g.attempt.planned && g.evacuated(ServerID(v.GetOrdered())) {
		g.raiseTerm(now, wire.Phase_PHASE_RAISING, "the members changed")
		return
	}
	g.promote(now, g.attempt, ServerID(v.GetOrdered()))
}

// promote orders the platform to make the target the primary. If the target is the instance that led last, that withdraws an open
// order: it changes nothing while that instance leads or does not run, and the platform carries out no earlier order after its
// answer.
func (g *platformGroup) promote(now time.Time, a *attempt, target ServerID) {
	a.target, a.orderedAt = target, now
	a.withdrawing = g.syncReplicas() > 0 && g.open != "" && target != g.open && target == g.lastPrimary()
	order := g.newCall(now, target, Promote)
	order.Limit = orderTimeout
	g.coordinator.effects = append(g.coordinator.effects, order)
}

// orderGranted handles an order that the platform accepted. An instance of a group with synchronous replicas is recorded as the
// primary once it leads.
func (g *platformGroup) orderGranted(now time.Time, a *attempt, s *instance, r Report) {
	if g.syncReplicas() > 0 {
		a.grantedAt = now
		delete(a.answers, a.target)
		clear(g.fences)
		g.open = ""
		return
	}
	g.setClaim(now, s, true)
	s.lastHeard = now
	g.recordPrimary(now, a, a.target, uint64(r.Offset))
}

// orderRefused handles an order that the platform refused. The target is not ordered again for refusalBackoff: it does not run,
// or another control VM has ordered with a higher term.
func (g *platformGroup) orderRefused(now time.Time, s *instance, reason string) {
	s.barredUntil = now.Add(refusalBackoff)
	g.open = ""
	g.raiseTerm(now, wire.Phase_PHASE_RAISING, reason)
}

// orderNotAccepted handles an order that will never be carried out. The attempt goes on under its term if the control log says
// what is true without that order; else a new term records it. A switchover ends, since writes are held during it.
func (g *platformGroup) orderNotAccepted(now time.Time, a *attempt, reason string) {
	recorded := ""
	if g.syncReplicas() > 0 {
		recorded = string(g.open)
	}
	if a.planned || g.view.GetOrdered() != recorded {
		g.raiseTerm(now, wire.Phase_PHASE_RAISING, reason)
		return
	}
	a.target, a.orderedAt = "", time.Time{}
}

// orderUnanswered handles an order without an answer: it is open from now on. One that should have withdrawn another leaves
// that one open.
func (g *platformGroup) orderUnanswered(now time.Time, a *attempt, reason string) {
	if !a.withdrawing {
		g.open = a.target
	}
	g.raiseTerm(now, wire.Phase_PHASE_RAISING, reason)
}

// advanceOpenOrder orders a server although an earlier order may still be carried out, under a higher term. No primary is
// recorded without an answer to such an order: before, a promotion may follow.
func (g *platformGroup) advanceOpenOrder(now time.Time, a *attempt) {
	if a.fenceStarted.IsZero() {
		a.fenceStarted = now
	}
	if !a.withdrawnAt.IsZero() && now.Sub(a.withdrawnAt) >= grantTimeout {
		g.open = ""
		return
	}
	target := ServerID("")
	if a.withdrawnAt.IsZero() {
		target = g.orderOverOpen(now, a)
	}
	switch {
	case target == "" || !g.coordinator.pause.mayOrder():
		g.fenceReplicas(now, a, "")
		g.reportDelay(now, a)
	case target == g.open || target == g.lastPrimary():
		g.promote(now, a, target)
	default:
		g.orderDurably(now, wire.Phase_PHASE_RAISING, target)
	}
}

// orderOverOpen returns the server to order while an earlier order is open, or "" while that is not known: the same server again
// if it leads already, or is certain to have each acknowledged commit. Otherwise the open order is withdrawn if the last primary
// leads still, or if it would lose commits.
func (g *platformGroup) orderOverOpen(now time.Time, a *attempt) ServerID {
	best := g.fencedSuccessor(now, a)
	if best == g.open || g.openWasCarriedOut(a) {
		return g.open
	}
	waited := now.Sub(a.fenceStarted)
	_, answered := a.answers[g.open]
	switch {
	case waited < statusWait:
		return "" // the server of the open order may be the right one, once all have answered
	case a.answers[g.lastPrimary()].Role == rolePrimary:
		return g.withdrawal(now, a, best)
	case answered && (best != "" || g.outranked(now, a, g.open)):
		return g.withdrawal(now, a, best)
	case best == "" || waited < maxSuccessorSearch:
		return ""
	case g.stays(g.open):
		return g.open // it does not answer; the platform knows whether it runs
	}
	return g.withdrawal(now, a, best)
}

// withdrawal returns the last primary, the order for which withdraws the open one, unless that may have been carried out since
// the members were asked. A group that never had a primary orders the best replica.
func (g *platformGroup) withdrawal(now time.Time, a *attempt, best ServerID) ServerID {
	last := g.lastPrimary()
	if last == "" {
		return best
	}
	leads := a.answers[last].Role == rolePrimary && now.Sub(a.asked[last]) <= maxAnswerAge
	_, answers := a.answers[g.open]
	follows := !answers || now.Sub(a.asked[g.open]) <= maxAnswerAge
	if leads || follows {
		return last
	}
	if now.Sub(a.lastPoll) >= pollInterval {
		g.pollMembers(now)
	}
	return ""
}

// openWasCarriedOut reports whether the open order has taken effect: its server leads, or the instances have a higher term than
// before it and nobody is known to lead.
func (g *platformGroup) openWasCarriedOut(a *attempt) bool {
	if r, ok := a.answers[g.open]; ok && r.Role == rolePrimary {
		return true
	}
	return g.led == "" && g.openReign > 0 && g.reign > g.openReign && a.answers[g.lastPrimary()].Role != rolePrimary
}

// stays reports whether a server is a member whose process was fenced in this failover.
func (g *platformGroup) stays(id ServerID) bool {
	m := g.member(id)
	_, known := g.fences[processID{id, m.GetBorn()}]
	return m != nil && known
}

// outranked reports whether a server answers as a replica and a log is known that is longer than its own.
func (g *platformGroup) outranked(now time.Time, a *attempt, id ServerID) bool {
	own, ok := g.fencedReplicas(now, a)[id]
	if !ok || own.Busy {
		return false
	}
	for _, at := range g.fences {
		if own.lastPosition().Less(at) {
			return true
		}
	}
	return false
}

// awaitLeader records the promoted server as the primary once it says that it leads, with the position from which its
// successors must go on: until they have received that much, this server may be the only one with some acknowledged commits.
func (g *platformGroup) awaitLeader(now time.Time, a *attempt) {
	if r, ok := a.answers[a.target]; ok && r.Role == rolePrimary {
		g.recordPrimary(now, a, a.target, uint64(r.Offset))
		return
	}
	if now.Sub(a.grantedAt) >= grantTimeout {
		g.raiseTerm(now, wire.Phase_PHASE_RAISING, "the promoted instance does not lead")
		return
	}
	m := g.member(a.target)
	if m != nil && !a.pending[a.target] && now.Sub(g.server(a.target).lastProbe) >= pollInterval {
		a.pending[a.target] = true
		g.requestStatus(now, m)
	}
}
