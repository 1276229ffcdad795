package failover

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// A fenced replica receives nothing more until its process ends or an instance is promoted. What it had when it was fenced is
// therefore known as long as the failover lasts, also once its process has ended. The control log keeps that with each term of the
// failover, so that another control VM holds a successor against the same logs.

// processID names one process of a server. A server that restarts has a new process.
type processID struct {
	server ServerID
	born   uint64 // announced start; 0 if not known
}

const (
	// fenceTTL is how long the answer to a call of Fence shows that the process still runs and is fenced.
	fenceTTL = time.Second
	// fenceRefresh is the time after which a fenced replica is called again, so that its answers do not get too old.
	fenceRefresh = fenceTTL / 2
)

// fencedReplica is the answer of a replica to a call of Fence.
type fencedReplica struct {
	report Report
	born   uint64 // start of its process; a restart ends the fence
	at     time.Time
}

// replicaFenced records the answer of a replica to a call of Fence. One to a call of an earlier attempt proves nothing: the
// fence may have been ended since.
func (g *platformGroup) replicaFenced(now time.Time, e CallCompleted) {
	a := g.attempt
	if a == nil || uint64(e.Call.Term) != a.term || e.Report.Role == rolePrimary {
		return
	}
	a.fenced[e.Call.Server] = fencedReplica{e.Report, e.Call.Born, now}
	if !e.Report.Busy {
		g.keepFence(processID{e.Call.Server, e.Call.Born}, e.Report.lastPosition())
	}
}

// keepFence records what a process had when it was fenced. A later answer with less is that of another process, which has not
// announced itself yet.
func (g *platformGroup) keepFence(id processID, at position.Position) {
	if id.born != 0 && g.fences[id].Less(at) {
		g.fences[id] = at
	}
}

// observeReign records the term of the instances. A higher one than before shows that an instance was promoted, which ended all
// fences. One that leads while no primary is recorded takes the place of the last one.
func (g *platformGroup) observeReign(r Report) {
	if r.Term > g.reign {
		g.reign = r.Term
		clear(g.fences)
	}
	if r.Role == rolePrimary && r.Term == g.reign && !g.steady() {
		g.led = r.Server
	}
}

// restoreFences takes over what the control log has of the fences of the present failover.
func (g *platformGroup) restoreFences() {
	g.openReign = position.Term(g.view.GetReign())
	g.reign = max(g.reign, g.openReign)
	for _, f := range g.view.GetFences() {
		at := position.Position{Term: position.Term(f.GetTerm()), Offset: position.Offset(f.GetOffset())}
		g.fences[processID{ServerID(f.GetServer()), f.GetBorn()}] = at
	}
}

// listFences returns the fences for the control log.
func (g *platformGroup) listFences() []*wire.Fenced {
	out := make([]*wire.Fenced, 0, len(g.fences))
	for id, at := range g.fences {
		out = append(out, &wire.Fenced{Server: string(id.server), Born: id.born, Term: uint64(at.Term), Offset: uint64(at.Offset)})
	}
	slices.SortFunc(out, func(x, y *wire.Fenced) int {
		return cmp.Or(cmp.Compare(x.GetServer(), y.GetServer()), cmp.Compare(x.GetBorn(), y.GetBorn()))
	})
	return out
}

// fencesAreRecorded reports whether the control log has all fences.
func (g *platformGroup) fencesAreRecorded() bool {
	return slices.EqualFunc(g.listFences(), g.view.GetFences(), func(x, y *wire.Fenced) bool { return proto.Equal(x, y) })
}

// fencedReplicas returns the reports of the replicas that are known to be fenced now.
func (g *platformGroup) fencedReplicas(now time.Time, a *attempt) map[ServerID]Report {
	out := map[ServerID]Report{}
	for _, m := range g.replicas() {
		f, ok := a.fenced[ServerID(m.GetServer())]
		if ok && f.born == m.GetBorn() && now.Sub(f.at) < fenceTTL {
			out[ServerID(m.GetServer())] = f.report
		}
	}
	return out
}

// fenceReplicas calls the replicas that are not fenced yet, whose answers get old, or whose position is not known exactly, except
// one that goes on receiving.
func (g *platformGroup) fenceReplicas(now time.Time, a *attempt, except ServerID) {
	if now.Sub(a.lastFence) < pollInterval {
		return
	}
	a.lastFence = now
	newest := position.Term(0)
	for _, r := range a.answers {
		newest = max(newest, r.Term)
	}
	fenced := g.fencedReplicas(now, a)
	for _, m := range g.replicas() {
		id := ServerID(m.GetServer())
		r, ok := fenced[id]
		known := ok && !r.Busy && now.Sub(a.fenced[id].at) < fenceRefresh
		if known || a.pending[id] || id == except {
			continue
		}
		a.pending[id] = true
		g.server(id).lastProbe = now
		fence := g.newCall(now, id, Fence)
		fence.Newest = newest
		g.coordinator.effects = append(g.coordinator.effects, fence)
	}
}

// fencedSuccessor returns the replica to promote, or "" while it is not certain that one has each acknowledged commit. That of
// an open order is preferred; it need not have the longest log of all.
func (g *platformGroup) fencedSuccessor(now time.Time, a *attempt) ServerID {
	fenced := g.fencedReplicas(now, a)
	var best ServerID
	for _, m := range g.replicas() {
		id := ServerID(m.GetServer())
		if _, ok := fenced[id]; !ok || now.Before(g.server(id).barredUntil) || !g.hasAcknowledged(now, a, fenced, id) {
			continue
		}
		if id == g.open {
			return id
		}
		if g.hasLongestLog(id, fenced) && (best == "" || g.rank(id) < g.rank(best)) {
			best = id
		}
	}
	return best
}

// hasAcknowledged reports whether a fenced replica certainly has each acknowledged commit. Such a commit is at as many replicas as
// are synchronous, so the log has each one if fewer of the others, present or departed, may have something that it lacks.
func (g *platformGroup) hasAcknowledged(now time.Time, a *attempt, fenced map[ServerID]Report, candidate ServerID) bool {
	at, _ := g.fencedLog(candidate, fenced[candidate])
	if at.Offset < g.floor() {
		return false
	}
	uncovered := map[ServerID]bool{}
	for _, m := range g.replicas() {
		if !g.coversReplica(now, a, fenced, m, at) && (m.GetServer() != string(candidate) || !fenced[candidate].Busy) {
			uncovered[ServerID(m.GetServer())] = true
		}
	}
	for _, d := range g.view.GetDepartures() {
		if !g.coversDeparture(d, at) {
			uncovered[ServerID(d.GetServer())] = true
		}
	}
	for id, had := range g.fences {
		if at.Less(had) && (id.server != candidate || id.born != g.member(candidate).GetBorn()) {
			uncovered[id.server] = true
		}
	}
	return len(uncovered) < g.syncReplicas()
}

// fencedLog returns up to where the log of a fenced replica reaches, and whether that is certain: a busy one states a lower bound,
// but what it had when it was fenced before, it has still.
func (g *platformGroup) fencedLog(id ServerID, r Report) (at position.Position, exact bool) {
	at = r.lastPosition()
	if !r.Busy {
		return at, true
	}
	had, known := g.fences[processID{id, g.member(id).GetBorn()}]
	if at.Less(had) {
		at = had
	}
	return at, known
}

// coversReplica reports whether a log up to a position has all that a replica has, and had when it was fenced before.
func (g *platformGroup) coversReplica(now time.Time, a *attempt, fenced map[ServerID]Report, m *wire.Member, at position.Position) bool {
	id := processID{ServerID(m.GetServer()), m.GetBorn()}
	if at.Less(g.fences[id]) {
		return false
	}
	r, fresh := fenced[id.server]
	if !fresh {
		return g.mayHaveStayed(now, a, id)
	}
	has, exact := g.fencedLog(id.server, r)
	return exact && !at.Less(has)
}

// mayHaveStayed reports whether a process that was fenced and does not answer now counts as fenced still. It does after a while,
// in which a restart would have been announced, unless the primary answers: that may acknowledge commits through a restarted one.
func (g *platformGroup) mayHaveStayed(now time.Time, a *attempt, id processID) bool {
	_, known := g.fences[id]
	return known && now.Sub(a.fenceStarted) >= maxSuccessorSearch && a.answers[g.lastPrimary()].Role != rolePrimary
}

// coversDeparture reports whether a log up to a position has all that the departed processes of a server had.
func (g *platformGroup) coversDeparture(d *wire.Departure, at position.Position) bool {
	covers := func(born uint64) bool {
		had, known := g.fences[processID{ServerID(d.GetServer()), born}]
		return known && !at.Less(had)
	}
	return covers(d.GetBorn()) && !slices.ContainsFunc(d.GetEarlier(), func(born uint64) bool { return !covers(born) })
}

// hasLongestLog reports whether the log of a replica is certainly as long as that of each other one.
func (g *platformGroup) hasLongestLog(id ServerID, fenced map[ServerID]Report) bool {
	own, _ := g.fencedLog(id, fenced[id])
	for other, r := range fenced {
		if at, exact := g.fencedLog(other, r); other != id && (!exact || own.Less(at)) {
			return false
		}
	}
	return true
}
