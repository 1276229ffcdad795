package failover

import (
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// evacuationRetryPause is the least time between the beginnings of two switchovers away from an evacuated primary: writes are
// held during each, and one that ends without a successor is likely to do so again at once.
const evacuationRetryPause = 2 * time.Second

// evacuated reports whether the availability zone of a member is evacuated.
func (g *platformGroup) evacuated(id ServerID) bool { return g.member(id).GetEvacuated() }

// updateEvacuations records since when the members are evacuated.
func (g *platformGroup) updateEvacuations(now time.Time) {
	for _, m := range g.view.GetMembers() {
		s := g.server(ServerID(m.GetServer()))
		switch {
		case !m.GetEvacuated():
			s.evacuatedSince = time.Time{}
		case s.evacuatedSince.IsZero():
			s.evacuatedSince = now
		}
	}
}

// replacedSince returns since when a primary is to be replaced in a planned switchover, and why: it shuts down, or it is
// evacuated. It is the zero time if it is neither.
func (s *instance) replacedSince() (since time.Time, reason string) {
	if s.shutdownSince.IsZero() || !s.evacuatedSince.IsZero() && s.evacuatedSince.Before(s.shutdownSince) {
		return s.evacuatedSince, "the zone of the primary is evacuated"
	}
	return s.shutdownSince, "the primary shuts down"
}

// mayFollow reports whether a member may become the primary in a planned switchover: it neither shuts down nor is evacuated.
func (g *platformGroup) mayFollow(id ServerID) bool {
	return g.server(id).shutdownSince.IsZero() && !g.evacuated(id)
}

// pausesEvacuation reports whether a switchover away from an evacuated primary that does not shut down must wait, because the
// last one began a moment ago.
func (g *platformGroup) pausesEvacuation(now time.Time, s *instance) bool {
	p := g.previous
	return s.shutdownSince.IsZero() && p != nil && p.planned && now.Sub(p.started) < evacuationRetryPause
}

// answersSince reports whether a replica has answered since the primary is to be replaced, and requests its status.
func (g *platformGroup) answersSince(now, since time.Time, m *wire.Member) bool {
	id := ServerID(m.GetServer())
	replica := g.server(id)
	if now.Sub(replica.lastProbe) >= primaryProbeInterval {
		g.requestStatus(now, m)
	}
	return !g.unfencing[id] && replica.lastHeard.After(since) && replica.unansweredSince.IsZero() && replica.lastProbe.After(since)
}
