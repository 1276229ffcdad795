package lease

import (
	"math"
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/spread"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// bucket is the token bucket of an account. The level plus the credits outstanding at holders never exceeds
// the burst, so every window admits at most burst + rate x length.
type bucket struct {
	issuer           *Issuer
	rate             float64  // credits per second
	burst            float64  // including the tolerated excess
	excess           float64  // tolerated excess; 0 without a tolerance
	evenFloat        float64  // tolerated excess divided by the number of entry VMs
	users            int      // shares in use
	level            float64  // credits that may be granted
	outstanding      float64  // sum over all shares
	unmet            float64  // sum over all shares
	queue            []*share // shares with unmet demand, the longest waiting first
	refilledAt       time.Time
	drained          bool      // the control log records that the level may be below the reserve
	drainNeeded      bool      // the last requests need credits of the reserve
	drainProposed    bool      // a change of drained is proposed to the control log
	aboveSince       time.Time // since when the level has been well above the reserve; zero if it is not
	inheritedReserve float64   // reserve left by the previous issuer; holders that have not reported do not hold it
	grantedEarly     float64   // granted while some holders had not reported
	removed          bool      // the account is no longer in the configuration
}

// share is what one holder has of one account.
type share struct {
	bucket      *bucket
	turn        float64 // fraction of a credit, different for each holder, by which its float is rounded up
	outstanding float64 // credits that the holder may still spend
	unmet       float64 // credits that it requested and did not get
	spent       float64 // total reported last
	demand      meter
	used        bool      // the holder used the account within floatIdle
	usedAt      time.Time // when it did so last
	sequence    uint64    // of the last request that listed the account
	level       float64   // Static only: level of the holder's own bucket
	refilledAt  time.Time
}

// float returns the credits that the holder keeps without demand. The floats of the holders that use the account add up
// to about the tolerated excess, also where it is less than a credit for each.
func (s *share) float() float64 {
	if !s.used {
		return 0
	}
	return min(math.Floor(s.bucket.floatPerUser()+s.turn), math.Floor(s.bucket.maxPerHolder()))
}

// floatPerUser returns the tolerated excess divided by the number of holders that use the account.
func (b *bucket) floatPerUser() float64 {
	return b.excess / float64(max(b.users, 1))
}

// setUsed records whether the holder uses the account.
func (s *share) setUsed(now time.Time, uses bool) {
	if uses {
		s.usedAt = now
	}
	used := uses || s.used && now.Sub(s.usedAt) < floatIdle
	switch {
	case used && !s.used:
		s.bucket.users++
	case !used && s.used:
		s.bucket.users--
	}
	s.used = used
}

// setOutstanding sets the credits that the holder may still spend.
func (s *share) setOutstanding(out float64) {
	s.bucket.outstanding = max(0, s.bucket.outstanding-s.outstanding+out)
	s.outstanding = out
}

// release clears a share whose holder no longer holds anything. The bucket is refilled first, while the share
// still limits its level.
func (s *share) release(now time.Time, unreported int) {
	s.bucket.refill(now, unreported)
	s.setOutstanding(0)
	s.setUnmet(0)
}

// drop releases a share that is forgotten.
func (s *share) drop(now time.Time, unreported int) {
	s.release(now, unreported)
	if s.used {
		s.used = false
		s.bucket.users--
	}
}

// setUnmet records the demand that was not granted. A share is in the queue while it is above 0.
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

// waitersAhead returns how many holders have waited longer for a credit. It stops counting at the number that
// can be served within the default deadline.
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
	if b.excess > 0 {
		return max(1, math.Ceil(b.evenFloat), b.burst/maxHeldDivisor)
	}
	return max(1, b.burst/2)
}

// reserve is the level below which the issuer grants only after the control log has recorded the bucket as
// drained. Without a tolerance there is none.
func (b *bucket) reserve() float64 {
	if b.excess == 0 {
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

// isRefilled reports whether a drained bucket has been well above its reserve for refillDelay.
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

// maxUnreported bounds the credits of holders that have not reported. All holders together have at most the
// burst less the inherited reserve.
func (b *bucket) maxUnreported(unreported int) float64 {
	reported := b.outstanding - min(b.grantedEarly, b.outstanding)
	return min(float64(unreported)*b.maxPerHolder(), max(0, b.burst-b.inheritedReserve-reported))
}

// refill adds the credits earned since the last call.
func (b *bucket) refill(now time.Time, unreported int) {
	if now.After(b.refilledAt) {
		b.level += b.rate * b.issuer.presentFraction(now) * now.Sub(b.refilledAt).Seconds()
		b.refilledAt = now
	}
	b.level = max(0, min(b.level, b.burst-b.outstanding-b.maxUnreported(unreported)))
}

// grantCredits accounts for the demands of a holder and grants credits. The first report to a new issuer is
// accepted as it is. Later ones are limited to what the issuer still counts as outstanding: the rest has
// expired at the holder, and accepting its return would create credits from nothing.
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
			s = &share{bucket: b, turn: spread.Fraction(d.GetAccount(), string(h.id)), spent: d.GetSpent()}
			h.shares[AccountID(d.GetAccount())] = s
		}
		if s.sequence == h.sequence {
			continue
		}
		s.sequence = h.sequence
		b.refill(now, i.unreported)
		s.report(now, d, first)
		b.refill(now, i.unreported)
		if b.removed {
			continue
		}
		c := &slab[len(credits)]
		c.Account = d.GetAccount()
		if i.policy == Static {
			c.Amount = s.grantStatic(now, d, len(i.holders))
		} else {
			c.Amount = s.grantPooled(d)
			c.Float = s.float()
			c.Retry = s.retryAfter(d.GetWant()-c.Amount, i.unreported).Milliseconds()
		}
		credits = append(credits, c)
	}
	for name, s := range h.shares {
		if s.sequence == h.sequence {
			continue
		}
		// A holder lists every account that it has credits of.
		s.release(now, i.unreported)
		if s.setUsed(now, false); !s.used {
			delete(h.shares, name)
		}
	}
	return credits
}

// report accounts for what the holder had when it sent the request. Credits that it neither holds nor spent
// were returned, expired or never arrived; they go back to the bucket.
func (s *share) report(now time.Time, d *wire.Demand, first bool) {
	spent := max(0, d.GetSpent()-s.spent)
	held := max(0, d.GetHeld())
	if !first {
		held = min(held, s.outstanding)
	}
	s.spent = max(s.spent, d.GetSpent())
	s.demand.add(now, spent+d.GetWant())
	s.setUsed(now, spent+d.GetWant() > 0)
	s.bucket.level += max(0, s.outstanding-held-spent)
	s.setOutstanding(held)
}

// grantPooled grants the requested credits, in proportion to demand if they are scarce. If no other holder
// waits, it adds a prefetch.
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

// prefetch returns the credits beyond a grant that the holder receives for its next statements, by its
// measured demand. For other entry VMs it leaves half of the bucket or, with a tolerance, prefetchLevel times
// the reserve.
func (s *share) prefetch(grant, room float64) float64 {
	b := s.bucket
	goal, reserve := s.demand.target(), b.burst/2
	switch {
	case b.floatPerUser() >= 1:
		goal, reserve = max(goal, s.float()), prefetchLevel*b.reserve()
	case s.float() > 0:
		goal, reserve = s.float(), prefetchLevel*b.reserve()
	case b.rate < minPrefetchRate:
		return 0
	}
	return max(0, math.Floor(min(goal-s.outstanding-grant, room-grant, b.level-grant-reserve)))
}

// scarceGrant divides a scarce level. One credit is left for each holder that has waited longer; the rest is
// granted in proportion to demand, in whole credits, since fractions of a credit at several entry VMs admit
// nothing.
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
	if s.bucket.issuer.unreported > 0 {
		s.bucket.grantedEarly += amount
	}
	s.outstanding += amount
}

// retryAfter returns the advised time until the next request: when a credit is available, or, if no demand is
// unmet, before unreported spending keeps the bucket from filling.
func (s *share) retryAfter(missing float64, unreported int) time.Duration {
	b := s.bucket
	if missing > epsilon {
		wait := seconds((min(1, missing) + s.waitersAhead() - b.available()) / b.rate)
		if b.outstanding-s.outstanding+b.maxUnreported(unreported) > epsilon {
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

// seconds converts to a duration between zero and one hour.
func seconds(x float64) time.Duration {
	return time.Duration(min(max(0, x), 3600) * float64(time.Second))
}
