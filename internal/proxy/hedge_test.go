package proxy_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/proxy"
)

// silent is a connection to an instance that runs a statement and whose answer is lost.
type silent struct{ ctx context.Context }

// once dials an instance that loses the answer on its first connection only.
type once struct {
	ctx   context.Context
	dials atomic.Int32
}

func (o *once) dial(context.Context, connpool.Target) (connpool.Conn, error) {
	if o.dials.Add(1) == 1 {
		return silent{o.ctx}, nil
	}
	return &primary{}, nil
}

func (s silent) Exchange(limit time.Duration, _ ...operation.Statement) ([]operation.Answer, error) {
	select {
	case <-s.ctx.Done():
	case <-time.After(limit):
	}
	return nil, errors.New("no answer")
}

func (silent) Close() {}

// TestReadWithoutAnswerRunsElsewhere guards against a read that waits until its deadline for an answer that was lost, although
// another instance is idle.
func TestReadWithoutAnswerRunsElsewhere(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	dial := func(_ context.Context, target connpool.Target) (connpool.Conn, error) {
		if target.Server == "lost" {
			return silent{ctx}, nil
		}
		return &primary{}, nil
	}
	answered, hedged, wins := proxy.HedgedRead(t.Context(), dial, "lost", "idle")
	require.Equal(t, "idle", answered)
	require.EqualValues(t, 1, hedged)
	require.EqualValues(t, 1, wins, "the second read was answered first")
	answered, hedged, wins = proxy.HedgedRead(t.Context(), dial, "idle", "lost")
	require.Equal(t, "idle", answered)
	require.Zero(t, hedged)
	require.Zero(t, wins)
	time.AfterFunc(200*time.Millisecond, stop)
	answered, _, wins = proxy.HedgedRead(t.Context(), dial, "lost")
	require.Empty(t, answered, "there is no other instance")
	require.Zero(t, wins)
}

// TestLostAnswerOfTheOnlyInstance guards against a read that waits until its deadline for a lost answer of the only instance
// that may run it.
func TestLostAnswerOfTheOnlyInstance(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	answered, hedged, wins := proxy.HedgedRead(t.Context(), (&once{ctx: ctx}).dial, "only")
	require.Equal(t, "only", answered)
	require.EqualValues(t, 1, hedged)
	require.EqualValues(t, 1, wins, "the second read was answered first")
}

// lagging is a connection to an instance whose log is behind the position that a read must see.
type lagging struct{}

func (lagging) Exchange(time.Duration, ...operation.Statement) ([]operation.Answer, error) {
	return []operation.Answer{{Code: operation.Lagging}}, nil
}

func (lagging) Close() {}

// TestSecondReadThatDoesNotRun guards against a read that waits until its deadline for a lost answer, because the instance of
// the second read refused it at once, although a third one is idle.
func TestSecondReadThatDoesNotRun(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	time.AfterFunc(2*time.Second, stop)
	var others atomic.Int32
	dial := func(_ context.Context, target connpool.Target) (connpool.Conn, error) {
		switch {
		case target.Server == "lost":
			return silent{ctx}, nil
		case others.Add(1) == 1:
			return lagging{}, nil
		}
		return &primary{}, nil
	}
	answered, _, _ := proxy.HedgedRead(t.Context(), dial, "lost", "b", "c")
	require.Contains(t, []string{"b", "c"}, answered)
}
