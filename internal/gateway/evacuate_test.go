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
	known, err := w.HasZone(ctx, "zone-a")
	require.NoError(t, err)
	require.True(t, known)
	known, err = w.HasZone(ctx, "zone-x")
	require.NoError(t, err)
	require.False(t, known)
	g.change(func() { g.leader, g.vms["a"].down, g.vms["b"].believes = "b", true, "b" })
	require.NoError(t, w.Evacuate(ctx, "zone-a", false))
	first, retried := g.vms["a"].orders, g.vms["b"].orders
	require.Len(t, first, 1)
	require.Len(t, retried, 1)
	require.Equal(t, first[0].GetId(), retried[0].GetId())
	require.NoError(t, w.Evacuate(ctx, "zone-a", true))
	require.NotEqual(t, retried[0].GetId(), g.vms["b"].orders[1].GetId())
	require.True(t, g.vms["b"].orders[1].GetWithdrawn())
	require.Error(t, w.Evacuate(ctx, "\xff", false))
}
