package proxy_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/proxy"
)

// TestCancelledHedgeIsNoFailure guards against an instance that counts as failing because the answer of another one to a hedged
// read ended an attempt to open a connection to it.
func TestCancelledHedgeIsNoFailure(t *testing.T) {
	dial := func(ctx context.Context, target connpool.Target) (connpool.Conn, error) {
		if target.Server == "slow" {
			<-ctx.Done() // it would be open a little later
			return nil, ctx.Err()
		}
		return &primary{}, nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	require.False(t, proxy.FailingAfterHedge(ctx, cancel, dial, "slow", "idle"))
}
