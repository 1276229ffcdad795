package failover

import (
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

func termOf(v *wire.View) position.Term { return position.Term(v.GetTerm()) }

// tick does what is due for the group.
func (g *orderedGroup) tick(now time.Time) {
	if len(g.view.GetMembers()) == 0 {
		return
	}
	switch {
	case g.attempt != nil:
		g.advance(now)
	case g.raised > g.view.GetTerm():
		if now.Sub(g.asked) >= proposeAgain {
			g.raise(now, wire.Phase_PHASE_RAISING, g.reason)
		}
	case !g.steady():
		g.raise(now, wire.Phase_PHASE_RAISING, "a control VM left the term unfinished")
	default:
		g.watch(now)
	}
}

// watch looks for reasons to change the primary of a steady group.
func (g *orderedGroup) watch(now time.Time) {
	id := ServerID(g.view.GetPrimary())
	m := g.member(id)
	if m == nil {
		if id != "" || g.claimed(now) != "" || now.Sub(g.cleared) >= partialWait {
			g.raise(now, wire.Phase_PHASE_RAISING, "the group has no primary")
		}
		return
	}
	s := g.server(id)
	g.probe(now, m, s)
	if g.missed(now, s) {
		g.avoid = id
		g.raise(now, wire.Phase_PHASE_RAISING, "the primary is not reached")
		return
	}
	if other := g.claimed(now); other != "" && other != id && !s.claims {
		g.raise(now, wire.Phase_PHASE_RAISING, "another instance leads")
		return
	}
	g.watchLeave(now, s)
}

// claimed returns the member that says it leads, and says so for longer than a change takes to be
// recorded; empty if there is none.
func (g *orderedGroup) claimed(now time.Time) ServerID {
	wait := claimWait
	if g.view.GetPrimary() == "" {
		wait = 0
	}
	for _, m := range g.view.GetMembers() {
		s := g.server(ServerID(m.GetServer()))
		// What was said before the primary was recorded, or while it was taking over, tells nothing.
		later := wait == 0 || s.heard.Sub(g.cleared) >= wait
		if s.claims && later && now.Sub(s.since) >= wait && now.Sub(s.heard) < beatSilence {
			return ServerID(m.GetServer())
		}
	}
	return ""
}

// watchLeave prepares a successor for a primary that shuts down.
func (g *orderedGroup) watchLeave(now time.Time, s *instance) {
	if s.leaving.IsZero() {
		return
	}
	near := false
	others := 0
	for _, m := range g.view.GetMembers() {
		id := ServerID(m.GetServer())
		r := g.server(id)
		if string(id) == g.view.GetPrimary() || !r.leaving.IsZero() {
			continue
		}
		others++
		if now.Sub(r.probed) >= orderProbe {
			g.ask(now, m)
		}
		near = near || (r.heard.After(s.leaving) && r.missing.IsZero() && r.probed.After(s.leaving) && r.lag <= readyLag)
	}
	if others > 0 && (near || now.Sub(s.leaving) >= leaveMost) {
		g.raise(now, wire.Phase_PHASE_SWITCHING, "the primary shuts down")
	}
}

// probe asks a primary that somebody misses.
func (g *orderedGroup) probe(now time.Time, m *wire.Member, s *instance) {
	missed := !s.missing.IsZero() || now.Sub(s.heard) >= beatSilence
	for _, v := range g.votes {
		missed = missed || (v.down && now.Sub(v.at) < voteAge)
	}
	if missed && now.Sub(s.probed) >= orderProbe {
		g.ask(now, m)
	}
}

// missed reports whether most of those that see the primary miss it. The control VM has one vote,
// so that neither side alone decides.
func (g *orderedGroup) missed(now time.Time, s *instance) bool {
	alone := !s.missing.IsZero() && now.Sub(s.missing) >= voteSilence
	total, down := 1, 0
	if alone {
		down++
	}
	for _, v := range g.votes {
		if string(v.server) != g.view.GetPrimary() || now.Sub(v.at) >= voteAge {
			continue
		}
		total++
		if v.down {
			down++
		}
	}
	if total == 1 {
		return alone && now.Sub(s.missing) >= aloneSilence
	}
	return 2*down > total
}

// advance goes on with a raised term.
func (g *orderedGroup) advance(now time.Time) {
	a := g.attempt
	switch {
	case a.done:
		if now.Sub(a.retried) >= proposeAgain {
			g.record(now, a, a.target, 0)
		}
	case a.target != "":
		if now.Sub(a.ordered) >= orderWait+askWait {
			g.raise(now, wire.Phase_PHASE_RAISING, "the order had no answer")
		}
	case a.planned:
		g.advancePlanned(now, a)
	default:
		g.advanceFailover(now, a)
	}
}

// advanceFailover orders once every member has answered, failed, or had its time.
func (g *orderedGroup) advanceFailover(now time.Time, a *attempt) {
	waited := now.Sub(a.started)
	if g.expects(a) && waited < askWait {
		return
	}
	if leader := g.leading(a); leader != "" {
		g.record(now, a, leader, uint64(a.found[leader].Offset))
		return
	}
	if target := g.successor(now, a, ""); target != "" {
		g.promote(now, a, target)
		return
	}
	if now.Sub(a.polled) >= askWait {
		g.poll(now)
	}
}

// expects reports whether a member that is not missed owes an answer.
func (g *orderedGroup) expects(a *attempt) bool {
	for id := range a.pending {
		if g.server(id).missing.IsZero() {
			return true
		}
	}
	return false
}

// leading returns the member that answered as the primary, unless it shuts down or most entry VMs
// miss it while another member answers.
func (g *orderedGroup) leading(a *attempt) ServerID {
	var best ServerID
	for id, r := range a.found {
		if r.Role != rolePrimary || !g.server(id).leaving.IsZero() || (id == g.avoid && len(a.found) > 1) {
			continue
		}
		if best == "" || a.found[best].Term < r.Term {
			best = id
		}
	}
	return best
}

// advancePlanned orders when a replica holds everything that the primary had.
func (g *orderedGroup) advancePlanned(now time.Time, a *attempt) {
	old := ServerID(g.view.GetPrimary())
	held := now.Sub(a.started)
	target := g.successor(now, a, old)
	if target != "" && held >= holdLeast && g.level(a, old, target) {
		g.promote(now, a, target)
		return
	}
	if held >= holdMost && target != "" {
		g.promote(now, a, target)
		return
	}
	if held >= holdMost && len(a.pending) == 0 {
		g.raise(now, wire.Phase_PHASE_RAISING, "no replica answers")
		return
	}
	if now.Sub(a.polled) >= pollInterval && len(a.pending) == 0 {
		g.poll(now)
	}
}

// level reports whether the target has the log of the primary, by answers to calls made after
// writes were held.
func (g *orderedGroup) level(a *attempt, old, target ServerID) bool {
	p, ok := a.found[old]
	if !ok || a.polled.Sub(a.started) < holdLeast || len(a.pending) > 0 {
		return false
	}
	t := a.found[target]
	return t.last() == p.last()
}

// successor returns the replica with the longest log among those that answered. One that shuts down
// or was barred goes last.
func (g *orderedGroup) successor(now time.Time, a *attempt, old ServerID) ServerID {
	var best ServerID
	ids := make([]ServerID, 0, len(a.found))
	for id := range a.found {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if id == old || g.member(id) == nil || now.Before(g.server(id).barred) {
			continue
		}
		if best == "" || g.prefers(a, id, best) {
			best = id
		}
	}
	return best
}

// prefers reports whether id is a better successor than best.
func (g *orderedGroup) prefers(a *attempt, id, best ServerID) bool {
	x, y := g.rank(id), g.rank(best)
	if x != y {
		return x < y
	}
	first, second := a.found[id], a.found[best]
	return second.last().Less(first.last())
}

// rank orders members by their standing: those that stay, those that entry VMs miss, those that leave.
func (g *orderedGroup) rank(id ServerID) int {
	switch {
	case !g.server(id).leaving.IsZero():
		return 2
	case id == g.avoid:
		return 1
	}
	return 0
}

// promote orders the platform to move the lead.
func (g *orderedGroup) promote(now time.Time, a *attempt, target ServerID) {
	a.target, a.ordered = target, now
	m := g.member(target)
	g.policy.made = append(g.policy.made, Call{
		Group: g.id, Server: target, Address: m.GetAddress(), Function: Promote, Term: termOf(g.view), Limit: orderWait,
	})
}
