package proxy_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/proxy"
)

// TestPriorityOfRoute guards against a priority that is lost between the configuration and the queue of an instance, and
// against its metrics in deployments that do not use it.
func TestPriorityOfRoute(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	for _, c := range []struct {
		urgency bool
		owner   net.Listener
	}{{false, nil}, {true, nil}, {true, listener}} {
		metrics := proxy.RunWithPriority(t.Context(), (&primary{}).dial, c.urgency, 3, c.owner)
		require.Equal(t, c.urgency, metrics.Get("queue_priority_3") != nil)
		require.Nil(t, metrics.Get("queue_priority_0"))
	}
}
