package lease

import (
	"maps"
	"slices"
	"time"
)

// WaitQueue orders the operations of an entry VM that wait for rate credits. It answers the load of a client
// account that asks for more than its rate: in order of arrival, each operation would get its credit when
// its answer is late already. The latest arrival goes first of those whose answers can be in time; the
// others take what is left, the oldest first. It is not safe for concurrent use.
type WaitQueue struct {
	accounts map[AccountID][]*Waiter // in order of arrival
}

// Waiter is an operation in a Line.
type Waiter struct {
	Account AccountID
	Cost    float64
	Target  time.Time // when its answer is late for the caller; zero for never
}

// Resolved is an operation that need not wait any more.
type Resolved struct {
	*Waiter
	Result Result
}

// NewWaitQueue returns a Line without operations.
func NewWaitQueue() *WaitQueue {
	return &WaitQueue{accounts: map[AccountID][]*Waiter{}}
}

// Add appends an operation that was told to wait.
func (l *WaitQueue) Add(w *Waiter) {
	l.accounts[w.Account] = append(l.accounts[w.Account], w)
}

// Remove takes back an operation that gives up. It is false if the operation was settled before.
func (l *WaitQueue) Remove(w *Waiter) bool {
	at := slices.Index(l.accounts[w.Account], w)
	if at < 0 {
		return false
	}
	l.keep(w.Account, slices.Delete(l.accounts[w.Account], at, at+1))
	return true
}

// keep replaces the operations of an account.
func (l *WaitQueue) keep(account AccountID, waiters []*Waiter) {
	if len(waiters) == 0 {
		delete(l.accounts, account)
		return
	}
	l.accounts[account] = waiters
}

// Resolve asks for the credits of each operation after a grant, and returns those that got an answer.
func (l *WaitQueue) Resolve(now time.Time, take func(account AccountID, cost float64) Result) []Resolved {
	var settled []Resolved
	for _, account := range slices.Sorted(maps.Keys(l.accounts)) {
		waiters := l.accounts[account]
		done := map[*Waiter]bool{}
		for _, w := range inOrder(now, waiters) {
			result := take(account, w.Cost)
			if result.Verdict == Wait {
				continue
			}
			done[w] = true
			settled = append(settled, Resolved{w, result})
		}
		l.keep(account, slices.DeleteFunc(waiters, func(w *Waiter) bool { return done[w] }))
	}
	return settled
}

// inOrder returns the operations in the order in which they get credits.
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
