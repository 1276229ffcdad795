package entryvm

import (
	"sync"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/retry"
)

// retries makes the retry budget safe for concurrent use by session goroutines.
type retries struct {
	mu     sync.Mutex
	budget *retry.Budget
}

// countRequest counts one request, which adds its share to the budget.
func (r *retries) countRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Request()
}

// next returns the backoff before the next attempt, or false if the request must not be retried.
func (r *retries) next(now time.Time, a retry.Attempt) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Next(now, a)
}
