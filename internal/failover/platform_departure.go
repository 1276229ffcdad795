package failover

import (
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// departure is the end of a replica that may have been the only one to receive a commit. It counts as a replica that cannot be
// fenced, until an instance takes over its log or enough of the others have what it may have acknowledged.
type departure struct {
	since    time.Time         // when it became known, or the group steady again
	floor    position.Position // position of the primary after since; zero until it is known
	proposed time.Time         // when its end was last proposed to be settled; zero before
}

// forgetPositions discards the positions of members that have started since the former view, also those stated in a failover: these
// have their logs no more.
func (g *platformGroup) forgetPositions(former *wire.View) {
	born := map[string]uint64{}
	for _, m := range former.GetMembers() {
		born[m.GetServer()] = m.GetBorn()
	}
	for _, m := range g.view.GetMembers() {
		if before, known := born[m.GetServer()]; !known || before != m.GetBorn() {
			g.forgetPosition(ServerID(m.GetServer()))
		}
	}
}

func (g *platformGroup) forgetPosition(id ServerID) {
	g.server(id).position = position.Position{}
	for _, a := range []*attempt{g.attempt, g.previous} {
		if a != nil {
			delete(a.answers, id)
		}
	}
}

// updateDepartures takes over the departures from the view.
func (g *platformGroup) updateDepartures(now time.Time) {
	present := map[processID]bool{}
	for _, w := range g.view.GetDepartures() {
		id := processID{ServerID(w.GetServer()), w.GetBorn()}
		present[id] = true
		if g.departures[id] == nil {
			g.departures[id] = &departure{since: now}
		}
	}
	for id := range g.departures {
		if !present[id] {
			delete(g.departures, id)
		}
	}
}

// restartDepartures discards the positions that departures were compared with: these are of an earlier term.
func (g *platformGroup) restartDepartures(now time.Time) {
	for _, d := range g.departures {
		d.since, d.floor = now, position.Position{}
	}
}

// settleDepartures settles the departures that are not needed any more, and requests the positions of a steady group for the
// others.
func (g *platformGroup) settleDepartures(now time.Time) {
	for _, w := range g.view.GetDepartures() {
		g.settleDeparture(now, processID{ServerID(w.GetServer()), w.GetBorn()})
	}
	if len(g.departures) == 0 {
		return
	}
	for _, m := range g.view.GetMembers() {
		if now.Sub(g.server(ServerID(m.GetServer())).lastProbe) >= primaryProbeInterval {
			g.requestStatus(now, m)
		}
	}
}

// settleDeparture proposes to settle a departure once enough replicas have what the primary had after it.
func (g *platformGroup) settleDeparture(now time.Time, id processID) {
	d := g.departures[id]
	held := !d.floor.IsZero() && g.holders(d.floor) >= g.syncReplicas()
	if !held && g.syncReplicas() > 0 || now.Sub(d.proposed) < proposeRetryInterval {
		return
	}
	d.proposed = now
	g.coordinator.effects = append(g.coordinator.effects, Propose{&wire.Entry{Entry: &wire.Entry_Settle{Settle: &wire.Settle{
		Group: string(g.id), Server: string(id.server), Born: id.born,
	}}}})
}

// observePosition records the position of a member of a steady group. That of the primary bounds what the replicas that have
// ended before may have acknowledged. An answer of a process that has ended since proves nothing.
func (g *platformGroup) observePosition(e CallCompleted) {
	r := e.Report
	m := g.member(r.Server)
	if !g.steady() || m == nil || m.GetBorn() != e.Call.Born {
		return
	}
	s := g.server(r.Server)
	s.position = r.lastPosition()
	if r.Role != rolePrimary || r.Busy || string(r.Server) != g.view.GetPrimary() {
		return
	}
	for _, d := range g.departures {
		if d.floor.IsZero() && !e.Call.Sent.Before(d.since) {
			d.floor = s.position
		}
	}
}

// holders returns the number of replicas that have received a position of the current term of the instances.
func (g *platformGroup) holders(floor position.Position) int {
	n := 0
	for _, m := range g.replicas() {
		if at := g.server(ServerID(m.GetServer())).position; at.Term == floor.Term && !at.Less(floor) {
			n++
		}
	}
	return n
}
