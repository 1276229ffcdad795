package entryvm

import (
	"sync"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/retry"
)

// retries shares the retry budget between traffic goroutines.
type retries struct {
	mu     sync.Mutex
	budget *retry.Budget
}

// request counts one request, which earns the budget's share.
func (r *retries) countRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Request()
}

// next returns the pause before the next try, or false if there is none.
func (r *retries) next(now time.Time, a retry.Attempt) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Next(now, a)
}
