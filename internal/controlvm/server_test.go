package controlvm_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/controlvm"
	"fireflyrudder.example/fireflyrudder/internal/standin"
)

// instances starts stand-in backend servers of one group.
func instances(t *testing.T, announce []string, names ...string) []*standin.Server {
	ctx, cancel := context.WithCancel(context.Background())
	var out []*standin.Server
	for _, name := range names {
		s, err := standin.Start(ctx, standin.Config{
			Server: name, Group: "main", Zone: "zone-" + name, Listen: "127.0.0.1:0", Announce: announce,
			Slots: 3, Connections: 24, User: "fireflyrudder",
		})
		require.NoError(t, err)
		t.Cleanup(func() { s.Close() })
		out = append(out, s)
	}
	t.Cleanup(cancel)
	return out
}

// Guards against calls that backend servers do not support, and against treating a rejection as an
// unreachable server.
func TestServerCalls(t *testing.T) {
	servers := instances(t, nil, "a", "b")
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	b := controlvm.NewPostgresClient("fireflyrudder")
	defer b.Close()
	first, second := servers[0].Address(), servers[1].Address()
	role, pos, err := b.Fence(ctx, first, 4)
	require.NoError(t, err)
	require.Equal(t, "fenced", role)
	require.Zero(t, pos)
	_, _, err = b.Fence(ctx, first, 3)
	require.True(t, controlvm.PromisedHigher(err), "%v", err)
	role, history, err := b.Promote(ctx, first, 4)
	require.NoError(t, err)
	require.Equal(t, "primary", role)
	require.Equal(t, "4/0", history)
	role, err = b.Follow(ctx, second, 4, first)
	require.NoError(t, err)
	require.Equal(t, "replica", role)
	primary, err := b.Status(ctx, second)
	require.NoError(t, err)
	require.Equal(t, "a", primary)

	caller, err := pgx.Connect(ctx, "postgres://fireflyrudder@"+first+"/main?sslmode=disable&application_name=e1/statement")
	require.NoError(t, err)
	defer caller.Close(ctx)
	require.NoError(t, b.Terminate(ctx, first, "e1"))
	require.Error(t, caller.Ping(ctx))

	servers[0].Close()
	_, err = b.Status(ctx, first)
	require.Error(t, err)
	require.False(t, controlvm.PromisedHigher(err))
}

// Guards against a frozen instance that blocks calls for longer than their timeout.
func TestFrozenServer(t *testing.T) {
	servers := instances(t, nil, "a")
	servers[0].Hooks().SetDelay(time.Hour)
	b := controlvm.NewPostgresClient("fireflyrudder")
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	_, err := b.Status(ctx, servers[0].Address())
	require.ErrorIs(t, err, context.DeadlineExceeded)
	servers[0].Hooks().SetDelay(0)
}
