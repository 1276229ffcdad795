package failover_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// TestRefusedOrderKeepsTheLogOfAnEvacuatedPrimary guards against the loss of acknowledged commits: after the platform refuses
// the order to the replica that has caught up, another one that lags is promoted at once although the evacuated primary
// answers, and no switchover holds writes until that replica has caught up.
func TestRefusedOrderKeepsTheLogOfAnEvacuatedPrimary(t *testing.T) {
	s := evacuationHarness(t, 0) // b lags
	s.refusedOrders = 1
	s.evacuate(true, "a")
	for len(s.orders) < 2 && s.view().GetPhase() != wire.Phase_PHASE_RAISING {
		s.run(20 * time.Millisecond)
	}
	s.run(200 * time.Millisecond) // the replica has no time to catch up
	require.NotEqual(t, "b", s.primary, "its log ends before that of the evacuated primary, which answers")
	s.offsets["b"] = 10
	s.run(10 * time.Second)
	require.NotEqual(t, "a", s.view().GetPrimary(), "the switchover is tried again")
}
