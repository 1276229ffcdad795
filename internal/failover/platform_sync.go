package failover

import (
	"cmp"
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// In a group with synchronous replicas a commit is acknowledged once the configured number of replicas, whichever they are,
// have received it. A successor is chosen among fenced replicas: these receive nothing more until a promotion. With fewer
// replicas missing than a commit needs, no further commit is acknowledged, and one of the fenced ones has each that was.

// fencedReplica is the state of a replica that receives nothing more.
type fencedReplica struct {
	report Report
	born   uint64 // start of its process; a restart ends the fence
}

// decision is the choice of a successor that becomes durable before the order.
type decision struct {
	term    uint64 // under which the successor is ordered
	members []*wire.Member
}

// syncReplicas returns the number of replicas that must have received a commit before it is acknowledged.
func (g *platformGroup) syncReplicas() int { return g.coordinator.syncReplicas[g.id] }

// lastPrimary returns the primary of the latest term that had one; empty if none had.
func (g *platformGroup) lastPrimary() ServerID {
	return ServerID(cmp.Or(g.view.GetPrimary(), g.view.GetFormer()))
}

// replicas returns the members other than the last primary.
func (g *platformGroup) replicas() []*wire.Member {
	return slices.DeleteFunc(slices.Clone(g.view.GetMembers()), func(m *wire.Member) bool {
		return ServerID(m.GetServer()) == g.lastPrimary()
	})
}

// requiredReplicas returns how many replicas must be fenced so that one of them has each acknowledged commit.
func (g *platformGroup) requiredReplicas() int {
	return max(len(g.replicas())+len(g.departures)-g.syncReplicas()+1, 1)
}

// advanceFence fences the replicas and orders the promotion of the one with the longest log, once one of them certainly has
// each acknowledged commit. Until then the group has no primary: a write would not be safe anywhere.
func (g *platformGroup) advanceFence(now time.Time, a *attempt) {
	if a.fenceStarted.IsZero() {
		a.fenceStarted = now
	}
	if target := g.fencedSuccessor(now, a); target != "" {
		g.orderDurably(now, wire.Phase_PHASE_RAISING, target)
		return
	}
	g.fenceReplicas(now, a, "")
	g.reportDelay(now, a)
}

// reportDelay reports a failover that waits for replicas. Unless it may end soon, the control log records that, so that entry VMs
// refuse at once what needs a primary.
func (g *platformGroup) reportDelay(now time.Time, a *attempt) {
	fenced, required := len(g.fencedReplicas(a)), g.requiredReplicas()
	waited := now.Sub(a.fenceStarted)
	if waited < statusWait {
		return
	}
	if !a.delayed {
		a.delayed = true
		g.coordinator.effects = append(g.coordinator.effects, PromotionDelayed{
			Group: g.id, Term: position.Term(a.term), Fenced: fenced, Required: required,
		})
	}
	soon := fenced >= required || required <= len(g.replicas()) && waited < maxSuccessorSearch
	if soon || g.view.GetStalled() || now.Sub(a.lastStall) < proposeRetryInterval {
		return
	}
	a.lastStall = now
	g.coordinator.effects = append(g.coordinator.effects, Propose{&wire.Entry{Entry: &wire.Entry_Stall{Stall: &wire.Stall{
		Group: string(g.id), Term: a.term,
	}}}})
}

// orderDurably raises the term once more with the server that is ordered under it. Another control VM that takes over orders
// the same one: an order without a response may still be carried out, and ends the fences.
func (g *platformGroup) orderDurably(now time.Time, phase wire.Phase, target ServerID) {
	g.proposeTerm(now, phase, target, "a successor has each acknowledged commit")
	g.decision = decision{term: g.proposedTerm, members: g.view.GetMembers()}
}

// orderDecided orders the server that the view names, unless a member came or restarted while the decision became durable: it
// is not fenced. A server that was evacuated meanwhile is not ordered in a switchover.
func (g *platformGroup) orderDecided(now time.Time, v *wire.View) {
	changed := !slices.Equal(g.decision.members, v.GetMembers()) || g.attempt.planned && g.evacuated(ServerID(v.GetOrdered()))
	if g.decision.term == v.GetTerm() && changed {
		g.proposeTerm(now, wire.Phase_PHASE_RAISING, "", "the members changed")
		return
	}
	g.promote(now, g.attempt, ServerID(v.GetOrdered()))
}

// fenceReplicas calls the replicas that are not fenced yet, or whose position is not known exactly, except one that goes on
// receiving.
func (g *platformGroup) fenceReplicas(now time.Time, a *attempt, except ServerID) {
	if now.Sub(a.lastFence) < pollInterval {
		return
	}
	a.lastFence = now
	newest := position.Term(0)
	for _, r := range a.answers {
		newest = max(newest, r.Term)
	}
	fenced := g.fencedReplicas(a)
	for _, m := range g.replicas() {
		id := ServerID(m.GetServer())
		if r, ok := fenced[id]; ok && !r.Busy || a.pending[id] || id == except {
			continue
		}
		a.pending[id] = true
		g.server(id).lastProbe = now
		fence := g.newCall(now, id, Fence)
		fence.Newest = newest
		g.coordinator.effects = append(g.coordinator.effects, fence)
	}
}

// keepFences fences the replicas that come back while an order has no answer, so that the server that was ordered keeps all
// acknowledged commits.
func (g *platformGroup) keepFences(now time.Time, a *attempt) {
	if g.syncReplicas() > 0 {
		g.fenceReplicas(now, a, a.target)
	}
}

// awaitLeader records the promoted server as the primary once it says that it leads, with the position from which its
// successors must go on: until they have received that much, this server may be the only one with some acknowledged commits.
func (g *platformGroup) awaitLeader(now time.Time, a *attempt) {
	if r, ok := a.answers[a.target]; ok && r.Role == rolePrimary {
		g.recordPrimary(now, a, a.target, uint64(r.Offset))
		return
	}
	if now.Sub(a.grantedAt) >= grantTimeout {
		g.proposeTerm(now, wire.Phase_PHASE_RAISING, "", "the promoted instance does not lead")
		return
	}
	m := g.member(a.target)
	if m != nil && !a.pending[a.target] && now.Sub(g.server(a.target).lastProbe) >= pollInterval {
		a.pending[a.target] = true
		g.requestStatus(now, m)
	}
}

// floor returns the position that a successor must have received, whatever the other replicas have.
func (g *platformGroup) floor() position.Offset {
	history := g.view.GetHistory()
	if len(history) == 0 {
		return 0
	}
	return position.Offset(history[len(history)-1].GetOffset())
}

// replicaFenced records the answer of a replica to a call of Fence. One to a call of an earlier attempt proves nothing: the
// fence may have been ended since.
func (g *platformGroup) replicaFenced(e CallCompleted) {
	if a := g.attempt; a != nil && uint64(e.Call.Term) == a.term {
		a.fenced[e.Call.Server] = fencedReplica{e.Report, e.Call.Born}
	}
}

// fencedReplicas returns the reports of the replicas that are fenced and have not restarted since.
func (g *platformGroup) fencedReplicas(a *attempt) map[ServerID]Report {
	out := map[ServerID]Report{}
	for _, m := range g.replicas() {
		if f, ok := a.fenced[ServerID(m.GetServer())]; ok && f.born == m.GetBorn() {
			out[ServerID(m.GetServer())] = f.report
		}
	}
	return out
}

// fencedSuccessor returns the replica to promote, or "" while it is not certain that one has each acknowledged commit.
func (g *platformGroup) fencedSuccessor(now time.Time, a *attempt) ServerID {
	fenced := g.fencedReplicas(a)
	if len(fenced) < g.requiredReplicas() {
		return ""
	}
	var best ServerID
	for _, m := range g.replicas() {
		id := ServerID(m.GetServer())
		r, ok := fenced[id]
		if !ok || r.Offset < g.floor() || now.Before(g.server(id).barredUntil) || !hasLongestLog(id, fenced) {
			continue
		}
		if best == "" || g.rank(id) < g.rank(best) {
			best = id
		}
	}
	return best
}

// hasLongestLog reports whether the log of a replica is certainly as long as that of each other one. The position of a busy
// one is a lower bound, which may be above those of the others but not below.
func hasLongestLog(id ServerID, fenced map[ServerID]Report) bool {
	own := fenced[id]
	for other, r := range fenced {
		if other != id && (r.Busy || own.lastPosition().Less(r.lastPosition())) {
			return false
		}
	}
	return true
}

// advanceSyncSwitchover orders the promotion of a replica that goes on receiving while the others are fenced. A commit is
// then acknowledged with this replica or not at all, so it has each one once it has what the fenced ones have.
func (g *platformGroup) advanceSyncSwitchover(now time.Time, a *attempt) {
	waited := now.Sub(a.started)
	if waited >= maxSyncSwitchover || a.receiving != "" && g.evacuated(a.receiving) {
		g.raiseTerm(now, wire.Phase_PHASE_RAISING, "no replica has what the others have")
		return
	}
	target := g.receivingSuccessor(now, a)
	switch {
	case target != "" && g.coversFenced(a, target):
		g.orderDurably(now, wire.Phase_PHASE_SWITCHING, target)
		return
	case target != "" && waited >= minWriteHold && (waited >= maxWriteHold || g.caughtUp(a, g.lastPrimary(), target)):
		a.receiving = target
	}
	if a.receiving != "" {
		g.fenceReplicas(now, a, target)
	}
	if now.Sub(a.lastPoll) >= pollInterval && len(a.pending) == 0 {
		g.pollMembers(now)
	}
}

// receivingSuccessor returns the replica that a switchover promotes: the one with the longest log of those that do not leave
// themselves, which stays the same once others are fenced for it.
func (g *platformGroup) receivingSuccessor(now time.Time, a *attempt) ServerID {
	if a.receiving != "" {
		return a.receiving
	}
	best := g.successor(now, a, g.lastPrimary())
	if best == "" || !g.server(best).shutdownSince.IsZero() {
		return ""
	}
	return best
}

// coversFenced reports whether the log of a replica is as long as that of each fenced one, and these are enough with it.
func (g *platformGroup) coversFenced(a *attempt, target ServerID) bool {
	if a.receiving == "" {
		return false
	}
	fenced := g.fencedReplicas(a)
	fenced[target] = a.answers[target]
	return len(fenced) >= g.requiredReplicas() && a.answers[target].Offset >= g.floor() && hasLongestLog(target, fenced)
}

// unfenceReplicas ends the fences that an attempt may have left behind. It waits until the primary itself reports that it
// leads: before, a commit that another replica acknowledged would be lost with the promotion.
func (g *platformGroup) unfenceReplicas(now time.Time) {
	if len(g.unfencing) == 0 {
		return
	}
	primary := g.server(ServerID(g.view.GetPrimary()))
	led := primary.reportedPrimary.After(g.steadySince)
	for _, m := range g.view.GetMembers() {
		id := ServerID(m.GetServer())
		switch {
		case now.Sub(g.server(id).lastProbe) < primaryProbeInterval:
		case m.GetServer() == g.view.GetPrimary() && !led:
			g.requestStatus(now, m)
		case g.unfencing[id] && led && now.Sub(g.server(id).lastHeard) < announcementTimeout:
			g.server(id).lastProbe = now
			g.coordinator.effects = append(g.coordinator.effects, g.newCall(now, id, Unfence))
		}
	}
}

// beginUnfencing marks the replicas of a steady group of a new term, or of a new coordinator, as possibly fenced.
func (g *platformGroup) beginUnfencing() {
	clear(g.unfencing)
	if g.syncReplicas() == 0 {
		return
	}
	for _, m := range g.replicas() {
		g.unfencing[ServerID(m.GetServer())] = true
	}
}
