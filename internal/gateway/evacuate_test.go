package gateway_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Evacuate records the order and then loses the answer if the control VM is down.
func (c *controlVM) Evacuate(ctx context.Context, r *wire.EvacuateRequest, _ ...grpc.CallOption) (*wire.EvacuateReply, error) {
	order := r.GetEvacuation()
	c.group.change(func() {
		if order.GetId() != "" {
			c.orders = append(c.orders, order)
		}
	})
	if err := c.answer(ctx); err != nil {
		return nil, err
	}
	if order.GetId() == "" && order.GetZone() != "zone-a" {
		return nil, status.Error(codes.NotFound, "unknown")
	}
	return &wire.EvacuateReply{}, nil
}

// Guards against retries of one order under several ids, of which a late one would undo a later order, against two orders
// with one id, and against an unknown zone that is taken for a leader without an answer.
func TestEvacuationOrdersKeepTheirID(t *testing.T) {
	g := newGroup("a", "b")
	w, ctx := start(t, g, "a", "b")
	for zone, want := range map[string]bool{"zone-a": true, "zone-x": false} {
		known, err := w.HasZone(ctx, zone)
		require.NoError(t, err)
		require.Equal(t, want, known)
	}
	g.change(func() { g.leader, g.vms["a"].down, g.vms["b"].believes = "b", true, "b" })
	require.NoError(t, w.Evacuate(ctx, "zone-a", false))
	require.NoError(t, w.Evacuate(ctx, "zone-a", true))
	lost, orders := g.vms["a"].orders, g.vms["b"].orders
	require.Len(t, lost, 1)
	require.Len(t, orders, 2)
	require.Equal(t, lost[0].GetId(), orders[0].GetId())
	require.NotEqual(t, orders[0].GetId(), orders[1].GetId())
	require.True(t, orders[1].GetWithdrawn())
	require.Error(t, w.Evacuate(ctx, "\xff", false))
}
