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
