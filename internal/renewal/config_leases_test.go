package renewal_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/renewal"
)

// TestLeaseCountsOnceApplied guards against an entry VM that serves with an older version than that of its
// lease.
func TestLeaseCountsOnceApplied(t *testing.T) {
	now := time.Unix(1000, 0)
	var leases renewal.ConfigLeases
	require.False(t, leases.Add(now, renewal.ConfigLease{Version: 5, Until: now.Add(time.Second)}, 5))
	require.Equal(t, now.Add(time.Second), leases.Until())
	require.False(t, leases.Add(now, renewal.ConfigLease{Version: 6, Until: now.Add(2 * time.Second)}, 5))
	require.Equal(t, now.Add(time.Second), leases.Until(), "version 6 is not applied")
	later := now.Add(700 * time.Millisecond)
	require.True(t, leases.Add(later, renewal.ConfigLease{Version: 6, Until: now.Add(3 * time.Second)}, 5), "the version does not arrive")
	leases.SetApplied(6)
	require.Equal(t, now.Add(3*time.Second), leases.Until())
}
