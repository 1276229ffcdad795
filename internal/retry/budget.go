// Package retry decides whether and when a failed request is retried.
package retry

import (
	"math/rand/v2"
	"time"

	"fireflyrudder.example/fireflyrudder/pkg/outcome"
)

// Policy selects how requests are retried.
type Policy uint8

// Policies.
const (
	// Budgeted waits with exponential backoff and jitter, and stops when the budget is used up.
	Budgeted Policy = iota
	// Immediate retries at once without a budget. It is the baseline for measurements.
	Immediate
)

const (
	// TokenRatio is the number of retry tokens that each request adds to the budget.
	TokenRatio = 0.1
	// MaxTokens is the capacity of the budget, so that a rare failure is always retried, but an outage of a
	// busy server causes few retries.
	MaxTokens = 20
	// minBackoff is about one trip between the zones and one statement; maxBackoff limits what the backoff
	// adds to a failover of about three seconds.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 320 * time.Millisecond
)

// Budget decides on retries for one entry VM. It is not safe for concurrent use.
type Budget struct {
	policy Policy
	random *rand.Rand
	tokens float64
}

// New returns a full budget. The seed determines the jitter.
func New(seed uint64, policy Policy) *Budget {
	return &Budget{policy: policy, random: rand.New(rand.NewPCG(seed, 0)), tokens: MaxTokens}
}

// Attempt describes the latest attempt of a request, which failed.
type Attempt struct {
	// State is the outcome of the attempt.
	State outcome.SQLState
	// Read means that the request is a proved read, which may be repeated after an unknown outcome.
	Read bool
	// Sent means that the attempt reached a backend server. Only such attempts use the budget: it protects
	// backend servers, and a request that waits for a primary costs them nothing.
	Sent bool
	// Tries is the number of attempts so far, at least 1.
	Tries int
	// Deadline is when the caller gives up; zero for none.
	Deadline time.Time
}

// Request adds the tokens of a new request. It is called once per request, not per attempt.
func (b *Budget) Request() {
	b.tokens = min(b.tokens+TokenRatio, MaxTokens)
}

// Next returns how long to wait before the next attempt. It returns false if the request must not be retried;
// its outcome is then that of the last attempt.
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

// retryable reports whether an attempt may be repeated: one that did not run and may succeed later, or a
// read.
func retryable(a *Attempt) bool {
	switch a.State {
	case outcome.NotRun, outcome.NoPrimary:
		return true
	case outcome.Unknown:
		return a.Read
	}
	return false
}

// backoff doubles with each attempt. Half of it is random, so that requests which failed together do not
// retry together.
func (b *Budget) backoff(tries int) time.Duration {
	pause := maxBackoff
	if tries < 6 {
		pause = min(minBackoff<<max(tries-1, 0), maxBackoff)
	}
	return pause/2 + time.Duration(b.random.Int64N(int64(pause/2)+1))
}
