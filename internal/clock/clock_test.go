package clock_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/clock"
)

// TestNowHasNoMonotonicReading guards against differences that exclude a suspension. The time package
// uses the monotonic readings if both times have one.
func TestNowHasNoMonotonicReading(t *testing.T) {
	now := clock.Now()
	require.Equal(t, now.Round(0).String(), now.String())
	require.False(t, clock.Now().Before(now))
	require.GreaterOrEqual(t, clock.Since(now).Nanoseconds(), int64(0))
}
