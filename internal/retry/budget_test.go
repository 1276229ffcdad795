package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/retry"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
)

var start = time.Unix(1_800_000_000, 0)

// Guards R10: a write whose outcome is unknown must not run again, nor may a refused request.
func TestOnlyNotRunAndReadsAreRepeated(t *testing.T) {
	for _, policy := range []retry.Policy{retry.Budgeted, retry.Immediate} {
		b := retry.New(1, policy)
		for _, state := range []outcome.SQLState{
			outcome.NotRun, outcome.RateLimited, outcome.DeadlineUnmet, outcome.NoLease, outcome.NoPrimary, outcome.RequestIDReused,
			outcome.Unknown, outcome.InvalidKey, outcome.AccessDenied, outcome.SessionTerminated, outcome.Unsupported, outcome.InvalidParameter, "", "23505",
		} {
			_, write := b.Next(start, retry.Attempt{State: state, Sent: true, Tries: 1})
			require.Equal(t, state == outcome.NotRun || state == outcome.NoPrimary, write, state)
			_, read := b.Next(start, retry.Attempt{State: state, Sent: true, Tries: 1, Read: true})
			require.Equal(t, write || state == outcome.Unknown, read, state)
		}
	}
}

// Guards against retries that multiply the load of a server on which every statement fails.
func TestBudgetBoundsRetries(t *testing.T) {
	b := retry.New(1, retry.Budgeted)
	const requests = 10_000
	retries := 0
	for range requests {
		b.Request()
		for tries := 1; tries < 5; tries++ {
			if _, ok := b.Next(start, retry.Attempt{State: outcome.NotRun, Sent: true, Tries: tries}); !ok {
				break
			}
			retries++
		}
	}
	require.LessOrEqual(t, retries, requests/10+retry.MaxTokens)
	require.GreaterOrEqual(t, retries, requests/10-1)
}

// Guards against refusing requests that wait for a failover because others wait too.
func TestWaitingForPrimaryIsFree(t *testing.T) {
	b := retry.New(1, retry.Budgeted)
	for range 1000 {
		_, ok := b.Next(start, retry.Attempt{State: outcome.NoPrimary, Tries: 3})
		require.True(t, ok)
	}
	_, ok := b.Next(start, retry.Attempt{State: outcome.NotRun, Sent: true, Tries: 1})
	require.True(t, ok)
}

// Guards against backoff that does not grow, does not spread, or exceeds the deadline.
func TestBackoff(t *testing.T) {
	b := retry.New(1, retry.Budgeted)
	for tries := range 40 {
		low, high := time.Hour, time.Duration(0)
		for range 200 {
			pause, ok := b.Next(start, retry.Attempt{State: outcome.NoPrimary, Tries: tries})
			require.True(t, ok)
			low, high = min(low, pause), max(high, pause)
		}
		most := min(10*time.Millisecond<<min(max(tries-1, 0), 10), 320*time.Millisecond)
		require.LessOrEqual(t, high, most)
		require.GreaterOrEqual(t, low, most/2)
		require.Greater(t, high-low, most/4)
	}
	_, ok := b.Next(start, retry.Attempt{State: outcome.NoPrimary, Tries: 9, Deadline: start.Add(100 * time.Millisecond)})
	require.False(t, ok)
	_, ok = retry.New(1, retry.Immediate).Next(start, retry.Attempt{State: outcome.NotRun, Deadline: start})
	require.False(t, ok)
}

// Guards against results that differ between runs with the same seed.
func TestNextIsDeterministic(t *testing.T) {
	a, b := retry.New(9, retry.Budgeted), retry.New(9, retry.Budgeted)
	for tries := range 50 {
		attempt := retry.Attempt{State: outcome.NoPrimary, Tries: tries}
		first, _ := a.Next(start, attempt)
		second, _ := b.Next(start, attempt)
		require.Equal(t, first, second)
	}
}
