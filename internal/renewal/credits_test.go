package renewal_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/renewal"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// TestWaitersServedWhileDisconnected guards against operations that time out in the queue of an entry VM
// without a control group although its share of the rate accumulates the next credit a few milliseconds after
// they arrive.
func TestWaitersServedWhileDisconnected(t *testing.T) {
	now := time.Unix(1000, 0)
	c := renewal.NewCredits(func() {})
	request := &wire.RenewRequest{Sequence: 1}
	renewal.FillRequest(c, now, request, nil)
	renewal.ApplyReply(c, now, now, &wire.RenewReply{Leader: true, Sequence: 1})
	part := func(a lease.AccountID) lease.DisconnectedShare { return lease.NewDisconnectedShare(a, 20, 0, 1) }

	now = now.Add(time.Second)
	require.True(t, c.TakeDisconnected(now, "a", part("a"), 1))
	require.False(t, c.TakeDisconnected(now, "a", part("a"), 1))
	result, waiter := c.TakeOrQueue(now, "a", 1, now.Add(150*time.Millisecond))
	require.Equal(t, lease.Wait, result.Verdict)
	c.ServeDisconnected(now.Add(10*time.Millisecond), part)
	require.Empty(t, waiter.Result)
	c.ServeDisconnected(now.Add(60*time.Millisecond), part)
	require.Len(t, waiter.Result, 1)
	require.Equal(t, lease.Admitted, (<-waiter.Result).Verdict)
}
