// Package warmup limits the statements that an entry VM sends to an instance that has just started, or has just returned to
// service, and is slow for a while. It uses neither a clock nor the network.
package warmup

import (
	"math"
	"sync"
	"time"
)

const (
	// startShare is the part of the configured rate that an instance gets when it begins to warm up.
	startShare = 0.25
	// jitter is by how much statements may be delayed more than those sent after them. Those sent in one second and the jitter
	// before it may arrive within one second.
	jitter = 250 * time.Millisecond
	// minBurst is the least number of units that can be available at once.
	minBurst = 1
	// OwnerSettle is the time from the beginning of an ownership to the first unit. The former owner has received the change
	// by then, or its configuration lease has expired.
	OwnerSettle = 3 * time.Second
)

// Limiter decides how many statements an entry VM may send to a cold instance. Each takes one unit. New work takes its units
// before it is sent; statements of work that has begun are never held back, and those beyond the units of that work reduce
// what new work gets. It is safe for concurrent use.
//
// Invariant: while no more is sent than was taken, at most Rate + burst units are spent within any one second, and
// Rate * (1 + jitter) + burst is at most the bound.
type Limiter struct {
	overrun, slack float64 // the bound on arrivals within any one second is the configured rate times overrun plus slack

	mu       sync.Mutex
	rate     float64       // statements a second, as configured; 0 for no limit
	start    time.Duration // from cold to warm
	until    time.Time     // the instance is warm from this time on
	owned    bool          // this entry VM owns the connections to the instance
	from     time.Time     // no units before this time
	level    float64       // units available at the time at; negative after statements that were not held back
	at       time.Time
	reserved int // units taken, but not spent
}

// New returns a Limiter of a warm instance, whose bound within any one second is the configured rate times overrun plus slack.
func New(overrun, slack float64) *Limiter {
	return &Limiter{overrun: max(overrun, 1), slack: max(slack, 0)}
}

// SetCold sets for how long the instance stays cold, how long it takes to warm up, and the rate when it is about to be warm,
// in statements a second. It is warm if left or rate are 0.
func (l *Limiter) SetCold(now time.Time, left, start time.Duration, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cold(now) {
		l.refill(now)
	} else {
		l.level, l.at = 0, now
	}
	l.rate, l.start, l.until = max(rate, 0), max(start, left), now.Add(left)
}

// SetRate sets the configured rate of an instance and how long it takes to warm up, without a change of when it is warm.
func (l *Limiter) SetRate(now time.Time, start time.Duration, rate float64) {
	l.mu.Lock()
	left := l.until.Sub(now)
	l.mu.Unlock()
	l.SetCold(now, left, start, rate)
}

// SetOwned sets whether this entry VM owns the connections to the instance. Others get no units.
func (l *Limiter) SetOwned(now time.Time, owned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if owned && !l.owned {
		l.level, l.from = 0, now.Add(OwnerSettle)
	}
	l.owned = owned
}

// Cold reports whether the instance is cold.
func (l *Limiter) Cold(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold(now)
}

// Usable reports whether units that were taken may be spent on new work.
func (l *Limiter) Usable(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.cold(now) || l.usable(now)
}

// Rate returns the statements a second that the instance may get, over all entry VMs.
func (l *Limiter) Rate(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.permitted(now)
}

// Take takes units for new work: need for its first statements, and reserve for those that may follow. It returns false if
// they are not available, and the work must not begin. A warm instance needs no units.
func (l *Limiter) Take(now time.Time, need, reserve int) (units int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cold(now) {
		return 0, true
	}
	l.refill(now)
	units = l.wanted(need + reserve)
	if !l.usable(now) || l.level < float64(units) {
		return 0, false
	}
	l.level -= float64(units)
	l.reserved += units
	return units, true
}

// Extend takes up to n units for work that has begun, and returns how many are available. As new work needs several at once,
// work that has begun is served first.
func (l *Limiter) Extend(now time.Time, n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cold(now) || !l.usable(now) {
		return 0
	}
	l.refill(now)
	units := min(n, int(math.Floor(max(l.level, 0))))
	l.level -= float64(units)
	l.reserved += units
	return units
}

// Send records n statements that are sent for work with a number of units, and returns the units that are left.
func (l *Limiter) Send(now time.Time, n, units int) (left int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	spent := min(n, units)
	l.reserved = max(l.reserved-spent, 0)
	if l.cold(now) {
		l.refill(now)
		l.level -= float64(n - spent)
	}
	return units - spent
}

// Return gives back units that were not spent.
func (l *Limiter) Return(now time.Time, units int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	units = min(units, l.reserved)
	l.reserved -= units
	l.level = min(l.level+float64(units), l.capacity())
}

// Blocked reports whether this entry VM owns the connections to a cold instance and has no n units for new work.
func (l *Limiter) Blocked(now time.Time, n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cold(now) || !l.owned {
		return false
	}
	l.refill(now)
	return !l.usable(now) || l.level < float64(l.wanted(n))
}

// Retry returns after which time n units for new work may be available. An entry VM that does not own the connections does
// not know what is taken, and states how long the instance takes for n units.
func (l *Limiter) Retry(now time.Time, n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cold(now) {
		return 0
	}
	l.refill(now)
	missing, wait := float64(l.wanted(n)), time.Duration(0)
	if l.owned {
		missing = max(missing-l.level, 0)
		wait = max(l.from.Sub(now), 0)
	}
	wait += time.Duration(missing / l.permitted(now) * float64(time.Second))
	return min(wait, l.until.Sub(now))
}

func (l *Limiter) cold(now time.Time) bool { return l.rate > 0 && now.Before(l.until) }

// usable reports whether units may be taken at all.
func (l *Limiter) usable(now time.Time) bool { return l.owned && !now.Before(l.from) }

// permitted returns the permitted rate. It grows linearly as the instance warms up.
func (l *Limiter) permitted(now time.Time) float64 {
	if !l.cold(now) {
		return math.Inf(1)
	}
	progress := min(max(1-l.until.Sub(now).Seconds()/l.start.Seconds(), 0), 1)
	top := min(l.rate, (l.bound()-l.burst())/(1+jitter.Seconds()))
	return max(top, l.rate*startShare/2) * (startShare + (1-startShare)*progress)
}

// bound returns how many statements may arrive within any one second.
func (l *Limiter) bound() float64 { return l.rate*l.overrun + l.slack }

// burst returns how many units can be available at once: what the bound leaves beside the rate.
func (l *Limiter) burst() float64 { return max(l.bound()-l.rate*(1+jitter.Seconds()), minBurst) }

// capacity returns the largest level. Units that are taken and not spent may be spent later, beside the level.
func (l *Limiter) capacity() float64 { return l.burst() - float64(l.reserved) }

// wanted returns how many units new work takes: not more than can be available at once.
func (l *Limiter) wanted(n int) int { return min(n, int(l.burst())) }

// refill adds the units since the last call. The rate only grows, so the one at the beginning gives no unit too many.
func (l *Limiter) refill(now time.Time) {
	since := l.at
	if l.from.After(since) {
		since = l.from
	}
	if elapsed := now.Sub(since); elapsed > 0 && l.cold(since) {
		l.level = max(min(l.level+elapsed.Seconds()*l.permitted(since), l.capacity()), min(l.level, 0))
	}
	if now.After(l.at) {
		l.at = now
	}
}
