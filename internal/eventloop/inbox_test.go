package eventloop_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/eventloop"
)

var errStopped = errors.New("stopped")

// Guards against an event that writes to variables of a caller that gave up.
func TestEventOfCallerWhoGaveUpNeverRuns(t *testing.T) {
	i := eventloop.New(1, nil, errStopped)
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	ran := false
	require.ErrorIs(t, i.Do(ctx, func(time.Time) { ran = true }), context.DeadlineExceeded)
	(<-i.C())(time.Now())
	require.False(t, ran)
}

// Guards against reporting an event in progress as one that does not run.
func TestEventInProgressIsWaitedFor(t *testing.T) {
	i := eventloop.New(1, nil, errStopped)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { (<-i.C())(time.Now()) }()
	ran := false
	err := i.Do(ctx, func(time.Time) {
		cancel()
		time.Sleep(5 * time.Millisecond)
		ran = true
	})
	require.NoError(t, err)
	require.True(t, ran)
}

// Guards against callers that hang once the event loop has stopped.
func TestStoppedEventLoopIsReported(t *testing.T) {
	ended := make(chan struct{})
	close(ended)
	i := eventloop.New(0, ended, errStopped)
	require.ErrorIs(t, i.Post(context.Background(), func(time.Time) {}), errStopped)
	require.ErrorIs(t, i.Do(context.Background(), func(time.Time) {}), errStopped)
}
