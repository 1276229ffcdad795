package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/lease"
)

// Plays one minute of a client account at twice its rate, as one entry VM experiences it: an arrival every
// 100 ms, a credit every 200 ms, a target of 150 ms. Guards against credits granted to overdue operations
// while others could still meet their target.
func TestWaitQueueServesInTimeAboveTheRate(t *testing.T) {
	const (
		arrival = 100 * time.Millisecond
		grant   = 200 * time.Millisecond
		target  = 150 * time.Millisecond
		giveUp  = 250 * time.Millisecond
	)
	q := lease.NewWaitQueue()
	arrived := map[*lease.Waiter]time.Time{}
	inTime, late := 0, 0
	for passed := time.Duration(0); passed < time.Minute; passed += 10 * time.Millisecond {
		now := epoch.Add(passed)
		for w, at := range arrived {
			if now.Sub(at) >= giveUp {
				require.True(t, q.Remove(w))
				delete(arrived, w)
			}
		}
		if passed%arrival == 0 {
			w := &lease.Waiter{Account: "a", Cost: 1, Target: now.Add(target)}
			q.Add(w)
			arrived[w] = now
		}
		if passed%grant != 0 {
			continue
		}
		credits := 1.0
		for _, s := range q.Resolve(now, spend(&credits)) {
			if now.Before(s.Target) {
				inTime++
			} else {
				late++
			}
			delete(arrived, s.Waiter)
		}
	}
	require.Equal(t, int(time.Minute/grant), inTime, "every credit serves an operation in time")
	require.Zero(t, late)
}

// spend returns a take function that spends from a number of credits.
func spend(credits *float64) func(lease.AccountID, float64) lease.Result {
	return func(_ lease.AccountID, cost float64) lease.Result {
		if *credits < cost {
			return lease.Result{Verdict: lease.Wait}
		}
		*credits -= cost
		return lease.Result{Verdict: lease.Admitted}
	}
}

// Guards against overdue operations that starve although credits are left over, and against a withdrawn
// operation that still takes one.
func TestWaitQueueServesOverdueWithLeftoverCredits(t *testing.T) {
	q := lease.NewWaitQueue()
	first := &lease.Waiter{Account: "a", Cost: 1, Target: epoch.Add(10 * time.Millisecond)}
	second := &lease.Waiter{Account: "a", Cost: 1, Target: epoch.Add(20 * time.Millisecond)}
	gone := &lease.Waiter{Account: "a", Cost: 1}
	other := &lease.Waiter{Account: "b", Cost: 1}
	for _, w := range []*lease.Waiter{first, second, gone, other} {
		q.Add(w)
	}
	require.True(t, q.Remove(gone))
	require.False(t, q.Remove(gone))
	credits := 1.0
	take := spend(&credits)
	resolved := q.Resolve(epoch.Add(time.Second), func(a lease.AccountID, cost float64) lease.Result {
		if a == "b" {
			return lease.Result{Verdict: lease.Refused, Retry: time.Second}
		}
		return take(a, cost)
	})
	require.Equal(t, []lease.Resolved{
		{Waiter: first, Result: lease.Result{Verdict: lease.Admitted}},
		{Waiter: other, Result: lease.Result{Verdict: lease.Refused, Retry: time.Second}},
	}, resolved)
	require.True(t, q.Remove(second))
}
