package failover

import (
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// raiseTerm proposes a term above every known one. The term is sent to no server before it is durable.
func (g *group) raiseTerm(now time.Time, phase wire.Phase, reason string) {
	g.term = max(g.term, position.Term(g.view.GetTerm()))
	for _, s := range g.members {
		g.term = max(g.term, s.report.Term, s.report.Promised)
	}
	g.term++
	g.reason = reason
	g.enterStage(now, raising)
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

// retryProposal repeats a proposal that had no effect.
func (g *group) retryProposal(now time.Time) {
	if now.Sub(g.lastProposed) < proposeRetryInterval {
		return
	}
	if g.stage == recording {
		g.recordPromotion(now)
		return
	}
	if g.target != "" {
		// A planned switchover is not repeated: its requester may request it again.
		g.target = ""
		g.enterStage(now, steady)
		return
	}
	g.raiseTerm(now, wire.Phase_PHASE_RAISING, g.reason)
}

// startSwitchover starts a planned switchover to a member that is neither retired nor evacuated.
func (g *group) startSwitchover(now time.Time, target ServerID) {
	if g.stage != steady || g.primary() == "" {
		return
	}
	if target == "" {
		target = g.successor(now)
	}
	s, ok := g.servers[target]
	if !ok || !g.member(target) || target == g.primary() || s.rank() > 0 || !s.recentlyHeard(now) {
		return
	}
	g.target, g.formerPrimary, g.catchUpPolls = target, g.primary(), 0
	g.raiseTerm(now, wire.Phase_PHASE_SWITCHING, "planned switchover to "+string(target))
}

// successor returns the member with the longest log that may become primary in a planned switchover.
func (g *group) successor(now time.Time) ServerID {
	var best *server
	for _, s := range g.members {
		if s.id == g.primary() || s.rank() > 0 || !s.recentlyHeard(now) || s.report.Term != g.primaryTerm() {
			continue
		}
		if best == nil || best.report.lastPosition().Less(s.report.lastPosition()) {
			best = s
		}
	}
	if best == nil {
		return ""
	}
	return best.id
}

// drain waits until the target has the whole log of the former primary, while entry VMs queue writes.
func (g *group) drain(now time.Time) {
	g.replaceTarget(now)
	if g.target == "" {
		g.fence(now)
		return
	}
	former, target := g.servers[g.formerPrimary], g.servers[g.target]
	waited := now.Sub(g.stageStarted)
	if waited >= maxDrain {
		g.fence(now)
		return
	}
	caughtUp := waited >= minDrain && former.reportedAt.After(g.stageStarted) && target.reportedAt.After(g.stageStarted) &&
		target.report.Term == former.report.Term && target.report.Offset >= former.report.Offset
	if !caughtUp || former.report.Offset != g.drainOffset {
		g.drainOffset, g.catchUpPolls = former.report.Offset, 0
	}
	// Several consecutive checks are needed, since a single one may fall between two writes of the former
	// primary.
	if g.catchUpPolls++; caughtUp && g.catchUpPolls > requiredCatchUpPolls {
		g.fence(now)
		return
	}
	g.call(now, former, Status, 0, "", pollInterval)
	g.call(now, target, Status, 0, "", pollInterval)
}

// fence starts collecting promises for the durable term.
func (g *group) fence(now time.Time) {
	g.enterStage(now, fencing)
	clear(g.promises)
	g.majorityPromised = time.Time{}
	g.candidate = ""
	for _, s := range g.members {
		delete(s.calls, Fence)
		g.call(now, s, Fence, g.term, "", probeInterval)
	}
}

// collectPromises requests missing promises again.
func (g *group) collectPromises(now time.Time) {
	for _, s := range g.members {
		if s.report.Promised > g.term && s.recentlyHeard(now) {
			g.raiseTerm(now, wire.Phase_PHASE_RAISING, "a member has promised a higher term")
			return
		}
		if _, ok := g.promises[s.id]; !ok {
			g.call(now, s, Fence, g.term, "", probeInterval)
		}
	}
	g.choosePrimary(now)
}

// promiseReceived counts a promise. A promise of a server that is no longer a member, or for another term,
// does not count.
func (g *group) promiseReceived(now time.Time, c Call, r Report) {
	if c.Function != Fence || c.Term != g.term || r.Promised != g.term || !g.member(c.Server) {
		return
	}
	g.promises[c.Server] = r
	g.choosePrimary(now)
}

// choosePrimary calls the member with the most advanced log to promote, once a majority has promised. Among
// equal logs, the target of a switchover is preferred, then members that are neither retired nor evacuated, then the lowest name.
func (g *group) choosePrimary(now time.Time) {
	var best *server
	promised := 0
	for _, s := range g.members {
		promise, ok := g.promises[s.id]
		if !ok {
			continue
		}
		promised++
		if best == nil || g.betterCandidate(s, promise, best) {
			best = s
		}
	}
	if promised < g.quorum() {
		return
	}
	if g.majorityPromised.IsZero() {
		g.majorityPromised = now
	}
	if _, ok := g.promises[g.target]; g.target != "" && !ok && now.Sub(g.majorityPromised) < targetPromiseTimeout {
		return
	}
	g.candidate = best.id
	g.enterStage(now, promoting)
	delete(best.calls, Promote)
	g.call(now, best, Promote, g.term, "", probeInterval)
}

func (g *group) betterCandidate(s *server, r Report, best *server) bool {
	other := g.promises[best.id]
	if r.lastPosition() != other.lastPosition() {
		return other.lastPosition().Less(r.lastPosition())
	}
	if s.id == g.target || best.id == g.target {
		return s.id == g.target
	}
	return s.rank() < best.rank()
}

// retryPromotion repeats calls to the candidate, and raises a new term if the candidate does not respond. No
// other server is ever called to promote for the term.
func (g *group) retryPromotion(now time.Time) {
	s := g.servers[g.candidate]
	leads := s.report.Role == rolePrimary && s.report.Term == g.term
	if now.Sub(g.stageStarted) >= promotionTimeout && (!leads || now.Sub(s.reportedAt) >= promotionTimeout) {
		g.target = ""
		g.raiseTerm(now, wire.Phase_PHASE_RAISING, "the promoted server is unreachable or does not lead")
		return
	}
	if g.stage == promoting {
		g.call(now, s, Promote, g.term, "", probeInterval)
		return
	}
	g.call(now, s, Status, 0, "", probeInterval)
	for _, m := range g.members {
		if m.id == g.candidate {
			continue
		}
		if m.report.Term != g.term {
			g.call(now, m, Follow, g.term, s.address, probeInterval)
		}
		g.call(now, m, Status, 0, "", pollInterval)
	}
}

// promotionAnswered handles the response of the new primary and calls the other members to follow it.
func (g *group) promotionAnswered(now time.Time, c Call, r Report) {
	if c.Function != Promote || c.Term != g.term || c.Server != g.candidate || r.Role != rolePrimary || r.Term != g.term {
		return
	}
	for _, p := range r.History {
		if p.Term == g.term {
			g.start = p.Offset
		}
	}
	g.enterStage(now, confirming)
	for _, m := range g.members {
		if m.id != g.candidate {
			delete(m.calls, Follow)
			g.call(now, m, Follow, g.term, g.servers[g.candidate].address, probeInterval)
		}
	}
	g.confirmMajority(now)
}

// confirmMajority records the promotion once a majority has the log up to the start of the term. The last
// term of a replica's log is the new one only when its log has reached that start.
func (g *group) confirmMajority(now time.Time) {
	following := 0
	for _, m := range g.members {
		r := m.report
		if r.Term == g.term && r.LastTerm == g.term && r.Offset >= g.start {
			following++
		}
	}
	if following >= g.quorum() {
		g.enterStage(now, recording)
		g.recordPromotion(now)
		return
	}
	g.retryPromotion(now)
}

func (g *group) recordPromotion(now time.Time) {
	g.lastProposed = now
	g.target = ""
	g.coordinator.propose(&wire.Entry{Entry: &wire.Entry_Promoted{Promoted: &wire.Promoted{
		Group:  string(g.id),
		Term:   uint64(g.term),
		Server: string(g.candidate),
		Offset: uint64(g.start),
	}}})
}
