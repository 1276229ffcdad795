package backend_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/backend"
	"fireflyrudder.example/fireflyrudder/internal/standin"
)

func server(t testing.TB, connections int) (*standin.Server, backend.Target) {
	t.Helper()
	s, err := standin.Start(context.Background(), standin.Config{
		Server: "a", Group: "g", Zone: "z", Listen: "127.0.0.1:0", Slots: 3, Connections: connections, User: "system",
	})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s, backend.Target{Server: "a", Address: s.Address(), Database: "db"}
}

func pool(t testing.TB, limit int) *backend.Pool {
	t.Helper()
	p := backend.NewPool(backend.Credentials{User: "system"}, "entry/statement", func() {})
	p.SetLimit(limit)
	t.Cleanup(p.Close)
	return p
}

// Guards against passing a connection to another session with an unread response, with an open transaction
// or after a cancel request.
func TestUncleanConnectionIsClosed(t *testing.T) {
	_, target := server(t, 8)
	p := pool(t, 1)
	spoil := []func(c *backend.Conn){
		func(c *backend.Conn) { c.Send(&pgproto3.Query{String: "SELECT 1"}) },
		func(c *backend.Conn) {
			c.Send(&pgproto3.Query{String: "SELECT 1"})
			c.Flush()
			c.Receive()
		},
		func(c *backend.Conn) {
			c.Send(&pgproto3.Query{String: "BEGIN"})
			c.Flush()
			for c.Status != 'T' {
				_, err := c.Receive()
				require.NoError(t, err)
			}
		},
		func(c *backend.Conn) { c.MarkUnusable() },
	}
	for i, f := range spoil {
		c, err := p.Acquire(t.Context(), target, uint64(i))
		require.NoError(t, err)
		f(c)
		p.Release(c)
		require.Zero(t, p.Usage().Open, i)
	}
	c, err := p.Acquire(t.Context(), target, 9)
	require.NoError(t, err)
	p.Release(c)
	require.Equal(t, 1, p.Usage().Idle)
}

// Guards against opening more connections than the limit, and against waits that outlast the deadline.
func TestPoolKeepsItsBudget(t *testing.T) {
	s, target := server(t, 8)
	p := pool(t, 2)
	a, err := p.Acquire(t.Context(), target, 1)
	require.NoError(t, err)
	b, err := p.Acquire(t.Context(), target, 2)
	require.NoError(t, err)
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer stop()
	_, err = p.Acquire(ctx, target, 3)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Equal(t, 2, s.Connections())
	p.SetLimit(1)
	p.Release(a)
	require.Equal(t, 1, p.Usage().Open)
	p.Release(b)
	p.SetLimit(0)
	require.Zero(t, p.Usage().Open)
	require.Equal(t, 3, p.DesiredConnections())
}

// Guards against sending a request on a connection that the server closed while it was idle.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	s, target := server(t, 8)
	p := pool(t, 1)
	c, err := p.Acquire(t.Context(), target, 1)
	require.NoError(t, err)
	p.Release(c)
	s.CloseSessions()
	time.Sleep(20 * time.Millisecond)
	again, err := p.Acquire(t.Context(), target, 1)
	require.NoError(t, err)
	require.NotSame(t, c, again)
	p.Release(again)
}
