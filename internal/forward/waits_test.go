package forward_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/forward"
	"fireflyrudder.example/fireflyrudder/internal/operation"
)

// TestRepliesStateWaits guards against expected waits that are lost between the owner and the entry VM of the caller, and
// against replies that grow where no one uses them.
func TestRepliesStateWaits(t *testing.T) {
	for _, on := range []bool{false, true} {
		s := &server{}
		pool := connpool.New(connpool.Options{Server: "i", Dial: s.dial, Now: time.Now, Slots: 2, Connections: 4, Waits: on})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		served := make(chan error)
		go func() { served <- forward.NewServer(pools{pool}, time.Now).Serve(ctx, listener) }()
		c := forward.NewClient(time.Now)
		c.AwaitConnection(listener.Addr().String())
		for n := range 20 {
			h, err := c.NewHandle(forward.Request{Address: listener.Addr().String(), Server: "i", Account: "a"})
			require.NoError(t, err)
			_, err = h.Run(t.Context(), limit(5*time.Second), nil, operation.Statement{Kind: operation.Write})
			require.NoError(t, err)
			if known := on && n >= 15; known {
				require.Equal(t, []time.Duration{0}, h.Waits(), "a slot is free")
			} else {
				require.Empty(t, h.Waits())
			}
		}
		c.Close()
		stop()
		<-served
	}
}
