// Package retry decides whether and when a request is tried again.
package retry

import (
	"math/rand/v2"
	"time"

	"fireflyrudder.example/fireflyrudder/pkg/outcome"
)

// Policy says how requests are tried again.
type Policy uint8

// Policies.
const (
	// Budgeted waits with exponential backoff and jitter, and stops when the budget is used up.
	Budgeted Policy = iota
	// Immediate tries again at once without a budget. It is the baseline of measurements.
	Immediate
)

const (
	// TokenRatio is the number of retries per request that the budget earns.
	TokenRatio = 0.1
	// MaxTokens is the largest number of retries saved up, so that a rare failure is always retried, but
	// an outage of a busy server is met with few retries.
	MaxTokens = 20
	// minBackoff is about one way between the zones and one statement; lastPause bounds what the
	// backoff adds to a failover of about three seconds.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 320 * time.Millisecond
)

// Budget decides on retries for one entry VM. It is not safe for concurrent use.
type Budget struct {
	policy Policy
	random *rand.Rand
	tokens float64
}

// New returns a full budget. The seed decides the jitter.
func New(seed uint64, policy Policy) *Budget {
	return &Budget{policy: policy, random: rand.New(rand.NewPCG(seed, 0)), tokens: MaxTokens}
}

// Attempt is a try that failed.
type Attempt struct {
	// State is the outcome of the try.
	State outcome.SQLState
	// Read says that the request is a proved read, which may be repeated after an unknown outcome.
	Read bool
	// Sent says that the try reached a backend server. Only such tries use up the budget: it protects
	// backend servers, and a request that waits for a primary costs them nothing.
	Sent bool
	// Tries is the number of tries so far, at least 1.
	Tries int
	// Deadline is when the caller gives up; zero for none.
	Deadline time.Time
}

// Request earns the budget's share for a new request. It is called once per request, not per try.
func (b *Budget) Request() {
	b.tokens = min(b.tokens+TokenRatio, MaxTokens)
}

// Next returns how long to wait before the next try. It returns false when the request must not be
// tried again; its outcome is then the one of the last try.
func (b *Budget) Next(now time.Time, a Attempt) (time.Duration, bool) {
	if !retryable(&a) {
		return 0, false
	}
	if b.policy == Immediate {
		return 0, a.Deadline.IsZero() || now.Before(a.Deadline)
	}
	pause := b.backoff(a.Tries)
	if !a.Deadline.IsZero() && !now.Add(pause).Before(a.Deadline) {
		return 0, false
	}
	if !a.Sent {
		return pause, true
	}
	if b.tokens < 1 {
		return 0, false
	}
	b.tokens--
	return pause, true
}

// retryable admits tries that did not run, if a later one can end otherwise, and reads.
func retryable(a *Attempt) bool {
	switch a.State {
	case outcome.NotRun, outcome.NoPrimary:
		return true
	case outcome.Unknown:
		return a.Read
	}
	return false
}

// backoff doubles with each try. Half of it is random, so that requests which failed together do not
// come back together.
func (b *Budget) backoff(tries int) time.Duration {
	pause := maxBackoff
	if tries < 6 {
		pause = min(minBackoff<<max(tries-1, 0), maxBackoff)
	}
	return pause/2 + time.Duration(b.random.Int64N(int64(pause/2)+1))
}
