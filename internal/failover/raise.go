package failover

import (
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// raise proposes a term above every one that is known. Nobody hears of it before it is durable.
func (g *group) raise(now time.Time, phase wire.Phase, reason string) {
	g.term = max(g.term, position.Term(g.view.GetTerm()))
	for _, s := range g.list {
		g.term = max(g.term, s.report.Term, s.report.Promised)
	}
	g.term++
	g.reason = reason
	g.enter(now, raising)
	g.proposeTerm(phase)
}

func (g *group) proposeTerm(phase wire.Phase) {
	g.coordinator.propose(&wire.Entry{Entry: &wire.Entry_Raise{Raise: &wire.RaiseTerm{
		Group:  string(g.id),
		Term:   uint64(g.term),
		Reason: g.reason + " (" + g.coordinator.id + ")",
		Phase:  phase,
	}}})
}

// again repeats a proposal that had no effect.
func (g *group) again(now time.Time) {
	if now.Sub(g.proposed) < proposeAgain {
		return
	}
	if g.stage == recording {
		g.record(now)
		return
	}
	if g.target != "" {
		// A planned switchover is not repeated: whoever asked for it asks again.
		g.target = ""
		g.enter(now, steady)
		return
	}
	g.raise(now, wire.Phase_PHASE_RAISING, g.reason)
}

// plan starts a planned switchover to a member that is not retired.
func (g *group) plan(now time.Time, to ServerID) {
	if g.stage != steady || g.primary() == "" {
		return
	}
	if to == "" {
		to = g.successor(now)
	}
	s, ok := g.servers[to]
	if !ok || !g.member(to) || to == g.primary() || !s.retired.IsZero() || !s.fresh(now) {
		return
	}
	g.target, g.former, g.settled = to, g.primary(), 0
	g.raise(now, wire.Phase_PHASE_SWITCHING, "planned switchover to "+string(to))
}

// successor returns the most advanced member that may take over a planned switchover.
func (g *group) successor(now time.Time) ServerID {
	var best *server
	for _, s := range g.list {
		if s.id == g.primary() || !s.retired.IsZero() || !s.fresh(now) || s.report.Term != g.led() {
			continue
		}
		if best == nil || best.report.last().Less(s.report.last()) {
			best = s
		}
	}
	if best == nil {
		return ""
	}
	return best.id
}

// drain waits until the target holds all that the former primary has, while entry VMs queue writes.
func (g *group) drain(now time.Time) {
	former, target := g.servers[g.former], g.servers[g.target]
	waited := now.Sub(g.since)
	if waited >= drainMost {
		g.fence(now)
		return
	}
	level := waited >= drainLeast && former.at.After(g.since) && target.at.After(g.since) &&
		target.report.Term == former.report.Term && target.report.Offset >= former.report.Offset
	if !level || former.report.Offset != g.start {
		g.start, g.settled = former.report.Offset, 0
	}
	// Several polls in a row, since one may have seen the former primary between two writes.
	if g.settled++; level && g.settled > settledPolls {
		g.fence(now)
		return
	}
	g.call(now, former, Status, 0, "", pollInterval)
	g.call(now, target, Status, 0, "", pollInterval)
}

// fence starts to collect promises for the durable term.
func (g *group) fence(now time.Time) {
	g.enter(now, fencing)
	clear(g.promises)
	g.majority = time.Time{}
	g.chosen = ""
	for _, s := range g.list {
		delete(s.calls, Fence)
		g.call(now, s, Fence, g.term, "", probeInterval)
	}
}

// collect asks again for missing promises.
func (g *group) collect(now time.Time) {
	for _, s := range g.list {
		if s.report.Promised > g.term && s.fresh(now) {
			g.raise(now, wire.Phase_PHASE_RAISING, "a member has promised a higher term")
			return
		}
		if _, ok := g.promises[s.id]; !ok {
			g.call(now, s, Fence, g.term, "", probeInterval)
		}
	}
	g.choose(now)
}

// promised counts a promise. A promise of a former set of members or another term does not count.
func (g *group) promised(now time.Time, c Call, r Report) {
	if c.Function != Fence || c.Term != g.term || r.Promised != g.term || !g.member(c.Server) {
		return
	}
	g.promises[c.Server] = r
	g.choose(now)
}

// choose calls the most advanced member to promote, once a majority has promised. Of equals, the
// target of a switchover goes first, then members that are not retired, then names.
func (g *group) choose(now time.Time) {
	var best *server
	votes := 0
	for _, s := range g.list {
		r, ok := g.promises[s.id]
		if !ok {
			continue
		}
		votes++
		if best == nil || g.better(s, r, best) {
			best = s
		}
	}
	if votes < g.quorum() {
		return
	}
	if g.majority.IsZero() {
		g.majority = now
	}
	if _, ok := g.promises[g.target]; g.target != "" && !ok && now.Sub(g.majority) < targetWait {
		return
	}
	g.chosen = best.id
	g.enter(now, promoting)
	delete(best.calls, Promote)
	g.call(now, best, Promote, g.term, "", probeInterval)
}

func (g *group) better(s *server, r Report, best *server) bool {
	other := g.promises[best.id]
	if r.last() != other.last() {
		return other.last().Less(r.last())
	}
	if s.id == g.target || best.id == g.target {
		return s.id == g.target
	}
	return s.retired.IsZero() && !best.retired.IsZero()
}

// attempt repeats calls to the server that is promoted, and gives the term up if it is silent. Only
// this server is ever called to promote for the term.
func (g *group) attempt(now time.Time) {
	s := g.servers[g.chosen]
	leads := s.report.Role == rolePrimary && s.report.Term == g.term
	if now.Sub(g.since) >= attemptSilence && (!leads || now.Sub(s.at) >= attemptSilence) {
		g.target = ""
		g.raise(now, wire.Phase_PHASE_RAISING, "the promoted server is unreachable or does not lead")
		return
	}
	if g.stage == promoting {
		g.call(now, s, Promote, g.term, "", probeInterval)
		return
	}
	g.call(now, s, Status, 0, "", probeInterval)
	for _, m := range g.list {
		if m.id == g.chosen {
			continue
		}
		if m.report.Term != g.term {
			g.call(now, m, Follow, g.term, s.address, probeInterval)
		}
		g.call(now, m, Status, 0, "", pollInterval)
	}
}

// promoted takes over the answer of the new primary and tells the others to follow it.
func (g *group) promoted(now time.Time, c Call, r Report) {
	if c.Function != Promote || c.Term != g.term || c.Server != g.chosen || r.Role != rolePrimary || r.Term != g.term {
		return
	}
	for _, p := range r.History {
		if p.Term == g.term {
			g.start = p.Offset
		}
	}
	g.enter(now, confirming)
	for _, m := range g.list {
		if m.id != g.chosen {
			delete(m.calls, Follow)
			g.call(now, m, Follow, g.term, g.servers[g.chosen].address, probeInterval)
		}
	}
	g.confirm(now)
}

// confirm records the promotion once a majority holds the start of the term. The last term of a
// replica's log is the new one only when its log has reached that start.
func (g *group) confirm(now time.Time) {
	n := 0
	for _, m := range g.list {
		r := m.report
		if r.Term == g.term && r.LastTerm == g.term && r.Offset >= g.start {
			n++
		}
	}
	if n >= g.quorum() {
		g.enter(now, recording)
		g.record(now)
		return
	}
	g.attempt(now)
}

func (g *group) record(now time.Time) {
	g.proposed = now
	g.target = ""
	g.coordinator.propose(&wire.Entry{Entry: &wire.Entry_Promoted{Promoted: &wire.Promoted{
		Group:  string(g.id),
		Term:   uint64(g.term),
		Server: string(g.chosen),
		Offset: uint64(g.start),
	}}})
}
