// Package freshness determines which log position a read must reach so that its data is no older than a
// stated age. It uses only the replies of primaries and needs no messages between entry VMs.
//
// Package watermark asks a majority of the instances instead. That also gives the age of each instance's data
// and confirms commits.
package freshness

import (
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

const (
	// maxProofs is the number of proofs stored. With minSpacing they cover more than the largest stated age
	// that the first users allow, 2.5 s.
	maxProofs = 64
	// minSpacing is the least time between two stored proofs; newer ones replace the last one.
	minSpacing = 50 * time.Millisecond
)

// Proof states that the primary's log ended at a position at a given time or later. Every commit acknowledged
// before that time is in the log up to the position, or was lost in a failover.
type Proof struct {
	Sent time.Time
	At   position.Position
}

// Tracker stores the proofs of one database group. It is not safe for concurrent use.
//
// Invariant: the proofs ascend in time, and within a term in position.
type Tracker struct {
	proofs []Proof
}

// Observe records that the primary of the group answered a request sent at the given time and that its log
// then ended at the position. Only an instance that proved its lead by the same request counts: a partitioned
// former primary does not have newer commits.
func (t *Tracker) Observe(sent time.Time, at position.Position) {
	if at.IsZero() {
		return
	}
	n := len(t.proofs)
	if n == 0 {
		t.proofs = append(t.proofs, Proof{sent, at})
		return
	}
	last := &t.proofs[n-1]
	switch {
	case at.Term < last.At.Term:
		return
	case at.Term == last.At.Term && !sent.After(last.Sent):
		// A position read earlier may be higher, since a slow reply carries a late position. Everything
		// acknowledged before the last proof is in the log up to the higher one as well.
		return
	case at.Term == last.At.Term && at.Less(last.At):
		at = last.At
	}
	if n > 1 && at.Term == last.At.Term && sent.Sub(t.proofs[n-2].Sent) < minSpacing {
		*last = Proof{sent, at}
		return
	}
	if n == maxProofs {
		t.proofs = append(t.proofs[:0], t.proofs[1:]...)
	}
	t.proofs = append(t.proofs, Proof{sent, at})
}

// Floor returns the lowest position that is known to include every commit acknowledged more than age before
// now. It returns false if no proof is that recent; the primary must be queried first.
func (t *Tracker) Floor(now time.Time, age time.Duration) (position.Position, bool) {
	for _, p := range t.proofs {
		if now.Sub(p.Sent) <= age {
			return p.At, true
		}
	}
	return position.Position{}, false
}

// EffectiveFloor returns the position that a session with the given floor must reach. A floor of an earlier
// term may refer to a commit that was lost in a failover; any position of a later term includes all that
// survived.
func (t *Tracker) EffectiveFloor(floor position.Position) position.Position {
	for _, p := range t.proofs {
		if p.At.Term > floor.Term {
			return p.At
		}
	}
	return floor
}

// Newest returns the latest proof. It returns false before the first.
func (t *Tracker) Newest() (sent time.Time, at position.Position, ok bool) {
	if len(t.proofs) == 0 {
		return time.Time{}, position.Position{}, false
	}
	last := t.proofs[len(t.proofs)-1]
	return last.Sent, last.At, true
}

// Since returns the proofs that are newer than a time, in ascending order.
func (t *Tracker) Since(after time.Time) []Proof {
	for i, p := range t.proofs {
		if p.Sent.After(after) {
			return slices.Clone(t.proofs[i:])
		}
	}
	return nil
}

// Max returns the later of two positions.
func Max(a, b position.Position) position.Position {
	if a.Less(b) {
		return b
	}
	return a
}
