package connpool_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/operation"
)

// stuckConn is a connection to an instance that stops answering.
type stuckConn struct {
	stuck   *atomic.Bool
	release <-chan struct{}
}

func (c stuckConn) Exchange(_ time.Duration, statements ...operation.Statement) ([]operation.Answer, error) {
	if c.stuck.Load() {
		<-c.release
		return nil, errors.New("no answer")
	}
	return make([]operation.Answer, len(statements)), nil
}

func (stuckConn) Close() {}

// TestStatementsThatWereNotSentProveNoAnswer guards against statements without a connection that count as answers of an instance
// that answers nothing: the slots of those in progress are then freed beyond the number of slots.
func TestStatementsThatWereNotSentProveNoAnswer(t *testing.T) {
	const slots = 2
	var stuck atomic.Bool
	release := make(chan struct{})
	defer close(release)
	dial := func(context.Context, connpool.Target) (connpool.Conn, error) {
		if stuck.Load() {
			return nil, errors.New("unreachable")
		}
		return stuckConn{&stuck, release}, nil
	}
	p := connpool.New(connpool.Options{Server: "i", Dial: dial, Now: time.Now, Slots: slots, Connections: 100})
	run := func(h *connpool.Handle) error {
		_, err := h.Run(t.Context(), connpool.Limit{Until: time.Now().Add(3 * time.Second)}, nil, operation.Statement{Kind: operation.Read})
		return err
	}
	for range 32 {
		h := p.NewHandle("a", 1, true)
		require.NoError(t, run(h))
		h.Release()
	}
	var idle []*connpool.Handle
	for range 12 { // opens connections before the instance is stuck
		h := p.NewHandle("a", 1, true)
		require.NoError(t, run(h))
		idle = append(idle, h)
	}
	for _, h := range idle {
		h.Release()
	}
	stuck.Store(true)
	for range 12 {
		go func() {
			h := p.NewHandle("a", 1, true)
			_ = run(h)
			h.Release()
		}()
		// Statements of another client account find no idle connection and cannot open one.
		for range 20 {
			h := p.NewHandle("b", 1, true)
			_, err := h.Run(t.Context(), connpool.Limit{Until: time.Now().Add(20 * time.Millisecond)}, nil, operation.Statement{Kind: operation.Read})
			require.Error(t, err)
			h.Release()
			time.Sleep(5 * time.Millisecond)
		}
	}
	load := p.Load()
	const margin = 1 // of the slots of the pool
	require.LessOrEqual(t, load.Open-load.Idle, slots+margin+slots, "in progress, with those whose slots are freed without proof")
}

// TestSlotsOfConnectionsBeingOpened guards against statements whose connection is still being opened and that count as lost: the
// instance then opens many connections at once, and runs their statements beyond its slots.
func TestSlotsOfConnectionsBeingOpened(t *testing.T) {
	const slots, margin = 2, 1
	var opening, most atomic.Int32
	i := &instance{}
	dial := func(ctx context.Context, target connpool.Target) (connpool.Conn, error) {
		if target.Account == "fast" {
			return i.dial(ctx, target)
		}
		n := opening.Add(1)
		defer opening.Add(-1)
		for now := most.Load(); n > now && !most.CompareAndSwap(now, n); now = most.Load() {
		}
		time.Sleep(300 * time.Millisecond)
		return i.dial(ctx, target)
	}
	p := connpool.New(connpool.Options{Server: "i", Dial: dial, Now: time.Now, Slots: slots, Connections: 100})
	run := func(account string) error {
		h := p.NewHandle(account, 1, true)
		defer h.Release()
		_, err := h.Run(t.Context(), connpool.Limit{Until: time.Now().Add(3 * time.Second)}, nil, operation.Statement{Kind: operation.Read})
		return err
	}
	for range 32 {
		require.NoError(t, run("fast"))
	}
	done := make(chan error, 12)
	for n := range 12 {
		go func() { done <- run(string(rune('a' + n))) }()
		for range 10 {
			go func() { _ = run("fast") }()
			time.Sleep(3 * time.Millisecond)
		}
	}
	for range 12 {
		require.NoError(t, <-done)
	}
	require.LessOrEqual(t, int(most.Load()), slots+margin)
}
