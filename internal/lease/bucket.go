package lease

import (
	"math"
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// bucket is the ideal token bucket of an account. Level plus what is outstanding at holders never
// exceeds the burst, so every window admits at most burst + rate x length.
type bucket struct {
	issuer           *Issuer
	rate             float64  // credits per second
	burst            float64  // with the tolerated excess
	float            float64  // tolerated excess of one entry VM
	level            float64  // credits that may be granted
	outstanding      float64  // sum of out of all shares
	unmet            float64  // sum of unmet of all shares
	queue            []*share // shares with unmet, those that wait longest first
	refilledAt       time.Time
	drained          bool      // the log says that the level may be below the reserve
	drainNeeded      bool      // somebody wants what is in the reserve
	drainProposed    bool      // a change of drained is proposed
	aboveSince       time.Time // since when the level is far above the reserve; zero if it is not
	inheritedReserve float64   // reserve that the issuer before left; the holders that are not known do not have it
	grantedEarly     float64   // granted while holders were not known
	removed          bool      // the account is not in the configuration
}

// share is what one holder has of one account.
type share struct {
	bucket      *bucket
	outstanding float64 // credits that the holder may still spend
	unmet       float64 // credits that it wanted and did not get
	spent       float64 // its count at the last report
	demand      meter
	sequence    uint64  // sequence of the last request that listed the account
	level       float64 // Static only: its own bucket
	refilledAt  time.Time
}

// setOutstanding sets what the holder may still spend.
func (s *share) setOutstanding(out float64) {
	s.bucket.outstanding = max(0, s.bucket.outstanding-s.outstanding+out)
	s.outstanding = out
}

// release settles a share whose holder has nothing any more. What was earned before is added first, while
// the share still counts.
func (s *share) release(now time.Time, unknown int) {
	s.bucket.refill(now, unknown)
	s.setOutstanding(0)
	s.setUnmet(0)
}

// setUnmet notes what the holder wanted and did not get. A share is in the queue while that is above 0.
func (s *share) setUnmet(unmet float64) {
	b := s.bucket
	switch {
	case unmet > 0 && s.unmet == 0:
		b.queue = append(b.queue, s)
	case unmet == 0 && s.unmet > 0:
		at := slices.Index(b.queue, s)
		b.queue = slices.Delete(b.queue, at, at+1)
	}
	b.unmet = max(0, b.unmet-s.unmet+unmet)
	s.unmet = unmet
}

// waitersAhead returns how many holders have waited longer for a credit. It stops counting at the number
// that can be served within the default deadline.
func (s *share) waitersAhead() float64 {
	b := s.bucket
	if s.unmet == 0 {
		return float64(len(b.queue))
	}
	served := min(len(b.queue), int(b.available()+b.rate*maxWait.Seconds())+1)
	if at := slices.Index(b.queue[:served], s); at >= 0 {
		return float64(at)
	}
	return float64(served)
}

// maxPerHolder returns how many credits one entry VM may hold.
func (b *bucket) maxPerHolder() float64 {
	if b.float > 0 {
		return max(1, b.float, b.burst/maxHeldDivisor)
	}
	return max(1, b.burst/2)
}

// reserve is the level below which the issuer goes only after the log says so. Without a tolerance
// there is none.
func (b *bucket) reserve() float64 {
	if b.float == 0 {
		return 0
	}
	return b.burst / reserveDivisor
}

// available returns the credits that may be granted now.
func (b *bucket) available() float64 {
	if b.drained {
		return b.level
	}
	return max(0, b.level-b.reserve())
}

// isRefilled reports whether a drained bucket has been far above its reserve for a while.
func (b *bucket) isRefilled(now time.Time) bool {
	if !b.drained || b.reserve() == 0 || b.level < refilledLevel*b.reserve() {
		b.aboveSince = time.Time{}
		return false
	}
	if b.aboveSince.IsZero() {
		b.aboveSince = now
	}
	return now.Sub(b.aboveSince) >= refillDelay
}

// maxUnreported bounds what holders that have not reported may hold. All holders together have no more
// than the burst, less the reserve that was left.
func (b *bucket) maxUnreported(unknown int) float64 {
	reported := b.outstanding - min(b.grantedEarly, b.outstanding)
	return min(float64(unknown)*b.maxPerHolder(), max(0, b.burst-b.inheritedReserve-reported))
}

// refill adds the credits earned since the last call.
func (b *bucket) refill(now time.Time, unknown int) {
	if now.After(b.refilledAt) {
		b.level += b.rate * b.issuer.presentFraction(now) * now.Sub(b.refilledAt).Seconds()
		b.refilledAt = now
	}
	b.level = max(0, min(b.level, b.burst-b.outstanding-b.maxUnreported(unknown)))
}

// grantCredits settles the demands of a holder and grants credits. The first report to a new issuer is
// believed. Later ones are bounded by what was counted: what is no longer counted has expired at the
// holder, and its return would make grantCredits from nothing.
func (i *Issuer) grantCredits(now time.Time, h *holder, demands []*wire.Demand, first bool) []*wire.Credit {
	credits := make([]*wire.Credit, 0, len(demands))
	slab := make([]wire.Credit, len(demands)) // one allocation for all credits
	for _, d := range demands {
		b, ok := i.accounts[AccountID(d.GetAccount())]
		if !ok {
			continue
		}
		s, ok := h.shares[AccountID(d.GetAccount())]
		if !ok {
			s = &share{bucket: b, spent: d.GetSpent()}
			h.shares[AccountID(d.GetAccount())] = s
		}
		if s.sequence == h.sequence {
			continue
		}
		s.sequence = h.sequence
		b.refill(now, i.unknown)
		s.report(now, d, first)
		b.refill(now, i.unknown)
		if b.removed {
			continue
		}
		c := &slab[len(credits)]
		c.Account = d.GetAccount()
		if i.policy == Static {
			c.Amount = s.grantStatic(now, d, len(i.holders))
		} else {
			c.Amount = s.grantPooled(d)
			c.Float = b.float
			c.Retry = s.retryAfter(d.GetWant()-c.Amount, i.unknown).Milliseconds()
		}
		credits = append(credits, c)
	}
	for name, s := range h.shares {
		if s.sequence != h.sequence {
			// A holder lists every account that it holds credits of.
			s.release(now, i.unknown)
			delete(h.shares, name)
		}
	}
	return credits
}

// report settles what the holder held when it sent the request. What it neither holds nor spent
// was returned, expired or never arrived; it goes back to the bucket.
func (s *share) report(now time.Time, d *wire.Demand, first bool) {
	spent := max(0, d.GetSpent()-s.spent)
	held := max(0, d.GetHeld())
	if !first {
		held = min(held, s.outstanding)
	}
	s.spent = max(s.spent, d.GetSpent())
	s.demand.add(now, spent+d.GetWant())
	s.bucket.level += max(0, s.outstanding-held-spent)
	s.setOutstanding(held)
}

// grantPooled grants what is wanted, divided by demand if it is scarce, and a stock for the measured use
// while at least half of the bucket remains for other entry VMs.
func (s *share) grantPooled(d *wire.Demand) float64 {
	b := s.bucket
	room := max(0, b.maxPerHolder()-s.outstanding)
	want := min(max(0, d.GetWant()), room)
	others := b.unmet - s.unmet
	grant := want
	if want+others > b.available() {
		grant = s.scarceGrant(want, others)
		b.drainNeeded = !b.drained && b.reserve() > 0
	}
	if others <= epsilon && grant >= want {
		grant += s.prefetch(grant, room)
	}
	s.grant(grant)
	s.setUnmet(max(0, d.GetWant()-grant))
	return grant
}

// prefetch returns the credits beyond a grant that the holder keeps for the statements to come.
func (s *share) prefetch(grant, room float64) float64 {
	b := s.bucket
	goal, reserve := s.demand.target(), b.burst/2
	switch {
	case b.float > 0:
		goal, reserve = max(goal, b.float), prefetchLevel*b.reserve()
	case b.rate < minPrefetchRate:
		return 0
	}
	return max(0, math.Floor(min(goal-s.outstanding-grant, room-grant, b.level-grant-reserve)))
}

// scarceGrant divides a scarce level. Each holder that has waited longer is left one credit; the rest is
// granted in proportion to demand, in whole credits, since parts of a credit at several entry VMs
// admit nothing.
func (s *share) scarceGrant(want, others float64) float64 {
	level := s.bucket.available() - s.waitersAhead()
	if level < min(1, want) {
		return 0
	}
	return min(want, max(1, math.Floor(level*want/(want+others))))
}

// grant moves credits from the bucket to the holder.
func (s *share) grant(amount float64) {
	s.bucket.level -= amount
	s.bucket.outstanding += amount
	if s.bucket.issuer.unknown > 0 {
		s.bucket.grantedEarly += amount
	}
	s.outstanding += amount
}

// retryAfter advises when to ask again: when a credit is there, or, if nothing is missing, before unreported
// spending keeps the bucket from filling.
func (s *share) retryAfter(missing float64, unknown int) time.Duration {
	b := s.bucket
	if missing > epsilon {
		wait := seconds((min(1, missing) + s.waitersAhead() - b.available()) / b.rate)
		if b.outstanding-s.outstanding+b.maxUnreported(unknown) > epsilon {
			wait = min(wait, maxContendedRetry)
		}
		return max(wait, minRetry)
	}
	if s.outstanding == 0 {
		return 0
	}
	full := seconds((b.burst - b.level - b.outstanding) / b.rate)
	if full >= RenewInterval || b.level >= b.burst/2 && b.rate >= minPrefetchRate {
		return 0
	}
	return max(full, minRetry)
}

// grantStatic grants from the holder's own 1/n of rate and burst.
func (s *share) grantStatic(now time.Time, d *wire.Demand, n int) float64 {
	part := max(1, s.bucket.burst/float64(n))
	if s.refilledAt.IsZero() {
		s.refilledAt, s.level = now, part
	}
	s.level = min(part-min(part, s.outstanding), s.level+s.bucket.rate/float64(n)*now.Sub(s.refilledAt).Seconds())
	s.refilledAt = now
	grant := math.Floor(min(s.level, max(d.GetWant(), s.demand.target()-s.outstanding)))
	grant = max(0, grant)
	s.level -= grant
	s.bucket.outstanding += grant
	s.outstanding += grant
	return grant
}

// seconds converts to a duration of at least zero and at most an hour.
func seconds(x float64) time.Duration {
	return time.Duration(min(max(0, x), 3600) * float64(time.Second))
}
