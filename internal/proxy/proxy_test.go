package proxy_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/proxy"
)

// TestStartingVMWaitsForViews guards against an entry VM that has just started and reports to the others that
// an instance has left. They would not use it for two seconds and open connections of their own.
func TestStartingVMWaitsForViews(t *testing.T) {
	r := proxy.New(proxy.Options{Now: time.Now, Controls: func() []string { return []string{"127.0.0.1:1"} }})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.Nil(t, r.Pool(ctx, "i"))
	require.Error(t, ctx.Err(), "Pool must wait for the first views")
}
