// Package freshness derives from answers of primaries which position a read must see, so that its
// data is young enough. It needs no messages between entry VMs.
package freshness

import (
	"time"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

const (
	// maxProofs is the number of proofs held. With gap it covers more than the largest stated age that
	// the first users allow, 2.5 s.
	maxProofs = 64
	// minSpacing is the least time between two proofs held; newer ones replace the last one.
	minSpacing = 50 * time.Millisecond
)

// proof says that the primary's log ended at a position at a time or later. Every commit that was
// acknowledged before the time is in the log up to the position, or was lost in a failover.
type proof struct {
	sent time.Time
	at   position.Position
}

// Tracker holds what is proved of one database group. It is not safe for concurrent use.
//
// Invariant: the proofs ascend in time, and within a term in position.
type Tracker struct {
	proofs []proof
}

// Observe notes that the instance that leads the group answered a request sent at the given time, and
// that its log then ended at the position. Only an instance that proved its lead by the same
// request counts: a partitioned former primary does not know of newer commits.
func (r *Tracker) Observe(sent time.Time, at position.Position) {
	if at.IsZero() {
		return
	}
	n := len(r.proofs)
	if n == 0 {
		r.proofs = append(r.proofs, proof{sent, at})
		return
	}
	last := &r.proofs[n-1]
	switch {
	case at.Term < last.at.Term:
		return
	case at.Term == last.at.Term && !sent.After(last.sent):
		// A position read earlier may be higher, since a slow answer carries a late position. What was
		// acknowledged before the last proof is in the log up to the higher one as well.
		return
	case at.Term == last.at.Term && at.Less(last.at):
		at = last.at
	}
	if n > 1 && at.Term == last.at.Term && sent.Sub(r.proofs[n-2].sent) < minSpacing {
		*last = proof{sent, at}
		return
	}
	if n == maxProofs {
		r.proofs = append(r.proofs[:0], r.proofs[1:]...)
	}
	r.proofs = append(r.proofs, proof{sent, at})
}

// Floor returns the lowest position that is known to hold every commit acknowledged more than age
// before now. It is false if no proof is that young; then the primary must be asked first.
func (r *Tracker) Floor(now time.Time, age time.Duration) (position.Position, bool) {
	for _, p := range r.proofs {
		if now.Sub(p.sent) <= age {
			return p.at, true
		}
	}
	return position.Position{}, false
}

// EffectiveFloor returns the position that a session with the given floor must see. The floor of an earlier
// term may name a commit that was lost in a failover; any position of a later term holds all that
// survived.
func (r *Tracker) EffectiveFloor(floor position.Position) position.Position {
	for _, p := range r.proofs {
		if p.at.Term > floor.Term {
			return p.at
		}
	}
	return floor
}

// Newest returns the latest proof. It is false before the first.
func (r *Tracker) Newest() (sent time.Time, at position.Position, ok bool) {
	if len(r.proofs) == 0 {
		return time.Time{}, position.Position{}, false
	}
	last := r.proofs[len(r.proofs)-1]
	return last.sent, last.at, true
}

// Max returns the later of two positions that both must be seen.
func Max(a, b position.Position) position.Position {
	if a.Less(b) {
		return b
	}
	return a
}
