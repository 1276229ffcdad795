package warmup_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fireflyrudder.example/fireflyrudder/internal/warmup"
)

const (
	overrun, slack = 1.5, 5
	start          = 12 * time.Second
	step           = 5 * time.Millisecond
)

// requireBound checks that no window of one second has more arrivals than the bound.
func requireBound(t require.TestingT, arrivals []time.Time, rate float64) {
	slices.SortFunc(arrivals, time.Time.Compare)
	first := 0
	for i, a := range arrivals {
		for a.Sub(arrivals[first]) >= time.Second {
			first++
		}
		require.LessOrEqual(t, float64(i-first+1), rate*overrun+slack, "within one second before %s", a)
	}
}

// work is a transaction of a simulated caller, or a single statement.
type work struct {
	limiter    *warmup.Limiter
	units      int
	statements int // that follow
	next       time.Time
}

// TestBoundWithinAnySecond guards against bursts at the boundary of a window, after a change of the owner and after a delay
// on the way: several entry VMs offer much more load than the instance may get, with single statements and transactions whose
// statements are not held back, and each change of the owner is known to the former one up to 2.5 s late.
func TestBoundWithinAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(4, 200).Draw(t, "rate"))
		longest := rapid.IntRange(0, 4).Draw(t, "longest")
		delay := time.Duration(rapid.IntRange(0, 200).Draw(t, "delay")) * time.Millisecond
		now := time.Unix(1000, 0)
		limiters := []*warmup.Limiter{warmup.New(overrun, slack), warmup.New(overrun, slack), warmup.New(overrun, slack)}
		for _, l := range limiters {
			l.SetCold(now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "news"))*time.Millisecond), start, start, rate)
		}
		owner, changes := 0, now
		var loses time.Time
		former := -1
		var arrivals []time.Time
		var open []*work
		for end := now.Add(start); now.Before(end); now = now.Add(step) {
			if !now.Before(changes) {
				limiters[owner].SetOwned(now, true)
				changes = now.Add(time.Duration(rapid.IntRange(4000, 7000).Draw(t, "change")) * time.Millisecond)
			}
			if changes.Sub(now) <= step { // the next owner begins now; the former one hears of it later
				if former >= 0 {
					limiters[former].SetOwned(now, false)
				}
				former, loses = owner, now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(t, "late"))*time.Millisecond)
				owner = (owner + 1) % len(limiters)
			}
			if former >= 0 && !now.Before(loses) {
				limiters[former].SetOwned(now, false)
				former = -1
			}
			delayed := now
			if delay > 0 {
				delayed = now.Truncate(delay).Add(delay) // a link that delivers in bunches
			}
			for _, l := range limiters {
				follow := rapid.IntRange(0, longest).Draw(t, "follow")
				if units, ok := l.Take(now, 3, follow); ok && l.Cold(now) {
					arrivals = append(arrivals, delayed)
					open = append(open, &work{l, l.Send(now, 1, units), follow, now.Add(30 * time.Millisecond)})
				}
			}
			open = slices.DeleteFunc(open, func(w *work) bool {
				switch {
				case now.Before(w.next):
					return false
				case w.statements == 0:
					w.limiter.Return(now, w.units)
					return true
				}
				arrivals = append(arrivals, delayed)
				w.units, w.statements, w.next = w.limiter.Send(now, 1, w.units), w.statements-1, now.Add(30*time.Millisecond)
				return false
			})
		}
		requireBound(t, arrivals, rate)
	})
}

// TestLongTransactionsLeaveNoRoomForNewWork guards against new work that is admitted beside transactions whose statements
// are not held back.
func TestLongTransactionsLeaveNoRoomForNewWork(t *testing.T) {
	now := time.Unix(1000, 0)
	l := warmup.New(overrun, slack)
	l.SetOwned(now.Add(-time.Minute), true)
	l.SetCold(now, start, start, 40)
	now = now.Add(time.Second)
	units, ok := l.Take(now, 2, 2)
	require.True(t, ok)
	var arrivals []time.Time
	for range 100 { // a transaction that sends more statements than the instance may get
		now = now.Add(40 * time.Millisecond)
		units = l.Send(now, 1, units)
		units += l.Extend(now, 3-units)
		arrivals = append(arrivals, now)
		if _, ok := l.Take(now, 4, 0); ok {
			require.Less(t, len(arrivals), 10, "new work must wait")
		}
	}
	requireBound(t, arrivals, 40)
	require.True(t, l.Blocked(now, 3))
	now = now.Add(3 * time.Second)
	l.Return(now, units)
	require.False(t, l.Blocked(now, 3), "new work gets its turn again after the transaction")
}

// TestLoadReturnsWithTheWarmth guards against a rate that stays low, or that does not begin low.
func TestLoadReturnsWithTheWarmth(t *testing.T) {
	const rate = 80
	now := time.Unix(1000, 0)
	l := warmup.New(overrun, slack)
	l.SetOwned(now.Add(-time.Minute), true)
	l.SetCold(now, start, start, rate)
	served := make([]int, 12)
	for n := 0; n < int(start/step); n++ {
		if units, ok := l.Take(now, 1, 0); ok {
			served[n*int(step)/int(time.Second)]++
			l.Send(now, 1, units)
		}
		now = now.Add(step)
	}
	require.InDelta(t, rate/4, served[0], 5)
	require.InDelta(t, rate, served[11], 8)
	require.True(t, slices.IsSorted(served), served)
	require.False(t, l.Cold(now))
	for range 1000 {
		_, ok := l.Take(now, 9, 9)
		require.True(t, ok, "a warm instance has no limit")
	}
}

// TestOnlyASettledOwnerSends guards against two entry VMs that both send as owners.
func TestOnlyASettledOwnerSends(t *testing.T) {
	now := time.Unix(1000, 0)
	l := warmup.New(overrun, slack)
	l.SetCold(now, start, start, 40)
	take := func(after time.Duration) bool {
		now = now.Add(after)
		_, ok := l.Take(now, 1, 0)
		return ok
	}
	require.False(t, take(time.Second), "not the owner")
	l.SetOwned(now, true)
	require.False(t, take(2900*time.Millisecond), "owner for less than 3 s")
	require.False(t, take(100*time.Millisecond), "nothing accrues before, as the former owner may just have used its burst")
	require.True(t, take(300*time.Millisecond))
	l.SetOwned(now, false)
	require.False(t, take(time.Second))
	require.Positive(t, l.Retry(now, 1))
}

// TestDelayedStatementsKeepTheBound guards against a rate without room for the network: statements sent in 1.25 s arrive within
// one second, after a pause in which units have accrued.
func TestDelayedStatementsKeepTheBound(t *testing.T) {
	const rate = 80
	now := time.Unix(1000, 0)
	l := warmup.New(overrun, slack)
	l.SetOwned(now.Add(-time.Minute), true)
	l.SetCold(now, time.Hour, 1000*time.Hour, rate)
	now = now.Add(time.Minute)
	sent := 0
	for range 250 {
		if units, ok := l.Take(now, 1, 0); ok {
			l.Send(now, 1, units)
			sent++
		}
		now = now.Add(step)
	}
	require.LessOrEqual(t, float64(sent), rate*overrun+slack)
	require.Greater(t, sent, rate)
}

// TestReservedUnitsCount guards against new work that uses the rate a second time while the units of an idle transaction wait
// to be spent, and against statements beyond their units that are forgotten.
func TestReservedUnitsCount(t *testing.T) {
	now := time.Unix(1000, 0)
	l := warmup.New(overrun, slack)
	l.SetOwned(now.Add(-time.Minute), true)
	l.SetCold(now, 1000*time.Hour, 1000*time.Hour, 20) // 5 statements a second and 10 at once
	now = now.Add(time.Minute)
	units, ok := l.Take(now, 4, 6)
	require.True(t, ok)
	require.Equal(t, 10, units)
	now = now.Add(time.Minute)
	require.True(t, l.Blocked(now, 1), "10 may be sent at any time")
	require.Zero(t, l.Send(now, 20, units))
	now = now.Add(2 * time.Second)
	require.True(t, l.Blocked(now, 1), "10 statements without units take 2 s")
	now = now.Add(300 * time.Millisecond)
	require.False(t, l.Blocked(now, 1))
}

// TestNoLimitWithoutRate guards against limits where none is configured.
func TestNoLimitWithoutRate(t *testing.T) {
	now := time.Unix(1000, 0)
	l := warmup.New(overrun, slack)
	l.SetCold(now, start, start, 0)
	_, ok := l.Take(now, 100, 100)
	require.True(t, ok)
	require.Zero(t, l.Retry(now, 1))
}
