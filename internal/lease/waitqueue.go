package lease

import (
	"maps"
	"slices"
	"time"
)

// WaitQueue orders the operations of an entry VM that wait for rate credits. While a client account exceeds
// its rate, order of arrival would grant each operation its credit only after its target. Operations that can
// still meet their target therefore go first, the newest before the older ones; the remaining credits go to
// the overdue ones, the oldest first. It is not safe for concurrent use.
type WaitQueue struct {
	accounts map[AccountID][]*Waiter // in order of arrival
}

// Waiter is an operation in a WaitQueue.
type Waiter struct {
	Account AccountID
	Cost    float64
	Target  time.Time // when its answer becomes late for the caller; zero for never
}

// Resolved is an operation that no longer waits.
type Resolved struct {
	*Waiter
	Result Result
}

// NewWaitQueue returns an empty WaitQueue.
func NewWaitQueue() *WaitQueue {
	return &WaitQueue{accounts: map[AccountID][]*Waiter{}}
}

// Add appends an operation for which Take returned Wait.
func (q *WaitQueue) Add(w *Waiter) {
	q.accounts[w.Account] = append(q.accounts[w.Account], w)
}

// Remove withdraws an operation whose caller gave up. It returns false if the operation was resolved before.
func (q *WaitQueue) Remove(w *Waiter) bool {
	at := slices.Index(q.accounts[w.Account], w)
	if at < 0 {
		return false
	}
	q.keep(w.Account, slices.Delete(q.accounts[w.Account], at, at+1))
	return true
}

// keep replaces the waiting operations of an account.
func (q *WaitQueue) keep(account AccountID, waiters []*Waiter) {
	if len(waiters) == 0 {
		delete(q.accounts, account)
		return
	}
	q.accounts[account] = waiters
}

// Resolve calls take for each operation after a grant and returns the operations that were admitted or
// refused.
func (q *WaitQueue) Resolve(now time.Time, take func(account AccountID, cost float64) Result) []Resolved {
	var resolved []Resolved
	for _, account := range slices.Sorted(maps.Keys(q.accounts)) {
		waiters := q.accounts[account]
		done := map[*Waiter]bool{}
		for _, w := range inOrder(now, waiters) {
			result := take(account, w.Cost)
			if result.Verdict == Wait {
				continue
			}
			done[w] = true
			resolved = append(resolved, Resolved{w, result})
		}
		q.keep(account, slices.DeleteFunc(waiters, func(w *Waiter) bool { return done[w] }))
	}
	return resolved
}

// inOrder returns the operations in the order in which they are offered credits.
func inOrder(now time.Time, waiters []*Waiter) []*Waiter {
	order := make([]*Waiter, 0, len(waiters))
	for i := len(waiters) - 1; i >= 0; i-- {
		if w := waiters[i]; w.Target.IsZero() || now.Before(w.Target) {
			order = append(order, w)
		}
	}
	for _, w := range waiters {
		if !w.Target.IsZero() && !now.Before(w.Target) {
			order = append(order, w)
		}
	}
	return order
}
