package proxy_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/proxy"
	"fireflyrudder.example/fireflyrudder/pkg/position"
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

// primary is a fake instance that leads its group. It counts its connections and transactions.
type primary struct{ opened, begun atomic.Int32 }

func (p *primary) dial(context.Context, connpool.Target) (connpool.Conn, error) {
	p.opened.Add(1)
	return p, nil
}

func (p *primary) Exchange(_ time.Duration, statements ...operation.Statement) ([]operation.Answer, error) {
	state := operation.Idle
	if statements[0].Kind == operation.Begin {
		p.begun.Add(1)
		state = operation.Open
	}
	return []operation.Answer{{Code: operation.Done, State: state, At: position.Position{Term: 1, Offset: 1}}}, nil
}

func (p *primary) Close() {}

// TestProofsDoNotGrowWithEntryVMs guards against proofs that take the connections and slots of a primary when many
// entry VMs ask for them.
func TestProofsDoNotGrowWithEntryVMs(t *testing.T) {
	p := &primary{}
	start := time.Now()
	now := func() time.Time { return start }
	pool := connpool.New(connpool.Options{Server: "i", Dial: p.dial, Now: now, Slots: 5, Connections: 41})
	var accounts []string
	for i := range 84 {
		accounts = append(accounts, fmt.Sprintf("account-%d", i))
	}
	proxy.FetchProofs(now, pool, accounts)
	require.LessOrEqual(t, p.opened.Load(), int32(1))
	require.LessOrEqual(t, p.begun.Load(), int32(2))
}
