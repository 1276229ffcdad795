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

// syncReplicas returns the number of replicas that must have received a commit before it is acknowledged.
func (g *platformGroup) syncReplicas() int { return g.coordinator.syncReplicas[g.id] }

// lastPrimary returns the instance that led last, as far as is known; empty if none has.
func (g *platformGroup) lastPrimary() ServerID {
	return cmp.Or(g.led, ServerID(g.view.GetPrimary()), ServerID(g.view.GetFormer()))
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
	target := g.fencedSuccessor(now, a)
	if target != "" && g.coordinator.pause.mayOrder() {
		g.orderDurably(now, wire.Phase_PHASE_RAISING, target)
		return
	}
	g.fenceReplicas(now, a, "")
	g.reportDelay(now, a)
}

// reportDelay reports a failover that waits for replicas or for the platform. Unless it may end soon, the control log records
// that, so that entry VMs refuse at once what needs a primary.
func (g *platformGroup) reportDelay(now time.Time, a *attempt) {
	since := a.fenceStarted
	if since.IsZero() {
		since = a.started
	}
	waited := now.Sub(since)
	if waited < statusWait {
		return
	}
	fenced, required := len(g.fencedReplicas(now, a)), g.requiredReplicas()
	unreached := !g.coordinator.pause.mayOrder()
	if !a.delayed {
		a.delayed = true
		g.coordinator.effects = append(g.coordinator.effects, PromotionDelayed{
			Group: g.id, Term: position.Term(a.term), Fenced: fenced, Required: required, Unreached: unreached,
		})
	}
	expected := fenced >= required || required <= len(g.replicas()) && waited < maxSuccessorSearch
	if expected && !unreached && a.withdrawnAt.IsZero() && now.Sub(g.unledSince) < maxOpenOrder {
		return
	}
	g.stall(now, a, g.syncReplicas() > 0 && len(g.replicas())-fenced < g.syncReplicas())
}

// stall proposes to record that the failover cannot end soon, and whether the fences keep commits from being acknowledged, unless
// the control log says so already.
func (g *platformGroup) stall(now time.Time, a *attempt, held bool) {
	stall := &wire.Stall{Group: string(g.id), Term: a.term, Held: held}
	if g.syncReplicas() > 0 {
		stall.Fences = g.listFences()
	}
	recorded := g.view.GetStalled() && g.view.GetHeld() == held && (len(stall.Fences) == 0 || g.fencesAreRecorded())
	if recorded || now.Sub(a.lastStall) < proposeRetryInterval {
		return
	}
	a.lastStall = now
	g.coordinator.effects = append(g.coordinator.effects, Propose{&wire.Entry{Entry: &wire.Entry_Stall{Stall: stall}}})
}

// keepFences fences the replicas that come back while an order has no answer, so that the server that was ordered keeps all
// acknowledged commits.
func (g *platformGroup) keepFences(now time.Time, a *attempt) {
	if g.syncReplicas() == 0 {
		return
	}
	g.fenceReplicas(now, a, a.target)
	if g.open != "" {
		g.reportDelay(now, a)
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
	case target != "" && g.coversFenced(now, a, target):
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
func (g *platformGroup) coversFenced(now time.Time, a *attempt, target ServerID) bool {
	if a.receiving == "" {
		return false
	}
	fenced := g.fencedReplicas(now, a)
	fenced[target] = a.answers[target]
	return len(fenced) >= g.requiredReplicas() && a.answers[target].Offset >= g.floor() && g.hasLongestLog(target, fenced)
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
