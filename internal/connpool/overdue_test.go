package connpool_test

import (
	"context"
	"errors"
	"sync"
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

// readFor runs a read of a client account.
func readFor(t *testing.T, l *connpool.Pool, account string) error {
	h := l.NewHandle(account, 1, true)
	defer h.Release()
	_, err := h.Run(t.Context(), connpool.Limit{Until: time.Now().Add(time.Minute)}, nil, operation.Statement{Kind: operation.Read})
	return err
}

// TestLostAnswersFreeTheirSlots guards against statements that wait although the instance is idle, because the answers of
// earlier ones were lost and their slots count as taken until their deadlines, and against more than twice the statements
// that an instance runs at once, since those without an answer may be slow.
func TestLostAnswersFreeTheirSlots(t *testing.T) {
	const slots, margin = 2, 1
	i := &instance{}
	answers := lostAnswers{until: make(chan struct{}), inProgress: &atomic.Int32{}}
	dial := func(ctx context.Context, target connpool.Target) (connpool.Conn, error) {
		if target.Account == "lost" {
			return answers, nil
		}
		return i.dial(ctx, target)
	}
	l := connpool.New(connpool.Options{Server: "i", Dial: dial, Now: time.Now, Slots: slots, Connections: 16})
	run := func(account string) error { return readFor(t, l, account) }
	for range 20 {
		require.NoError(t, run("a"))
	}
	var waiting sync.WaitGroup
	lose := func(n int) {
		for range n {
			waiting.Go(func() { _ = run("lost") })
		}
	}
	lose(slots + margin)
	require.Eventually(t, func() bool { return answers.inProgress.Load() == slots+margin }, 10*time.Second, time.Millisecond)
	require.NoError(t, run("a"))
	lose(8)
	require.Eventually(t, func() bool { return answers.inProgress.Load() == 2*slots+margin }, 10*time.Second, time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	require.EqualValues(t, 2*slots+margin, answers.inProgress.Load())
	close(answers.until)
	waiting.Wait()
	require.Zero(t, l.Load().Running)
}

// lostAnswers is a connection whose answers do not come until the channel closes.
type lostAnswers struct {
	until      chan struct{}
	inProgress *atomic.Int32
}

func (c lostAnswers) Exchange(_ time.Duration, statements ...operation.Statement) ([]operation.Answer, error) {
	c.inProgress.Add(1)
	defer c.inProgress.Add(-1)
	<-c.until
	return make([]operation.Answer, len(statements)), nil
}

func (lostAnswers) Close() {}

// TestFailedDialsProveNothing guards against failed attempts to connect that count as answers: they would show that a stuck
// instance answers others, so that the slots of any number of statements there are freed.
func TestFailedDialsProveNothing(t *testing.T) {
	i := &instance{}
	lost := make(chan struct{})
	dial := func(ctx context.Context, target connpool.Target) (connpool.Conn, error) {
		switch target.Account {
		case "lost":
			return lostAnswers{lost, &atomic.Int32{}}, nil
		case "refused":
			return nil, context.DeadlineExceeded
		}
		return i.dial(ctx, target)
	}
	l := connpool.New(connpool.Options{Server: "i", Dial: dial, Now: time.Now, Slots: 2, Connections: 16})
	run := func(account string) error { return readFor(t, l, account) }
	for range 20 {
		require.NoError(t, run("a"))
	}
	var stuck sync.WaitGroup
	for range 3 {
		stuck.Go(func() { _ = run("lost") })
	}
	require.Eventually(t, func() bool { return l.Load().Running == 3 }, time.Minute, time.Millisecond)
	for range 8 {
		require.ErrorIs(t, run("refused"), connpool.ErrUnreachable)
	}
	require.Never(t, func() bool { return l.Load().Running == 0 }, 300*time.Millisecond, 10*time.Millisecond)
	close(lost)
	stuck.Wait()
}

// TestCanceledDialIsNoFailure guards against an instance that counts as silent because a caller left while a connection was
// opened, as the slower one of two reads does.
func TestCanceledDialIsNoFailure(t *testing.T) {
	dialing := make(chan struct{})
	dial := func(ctx context.Context, _ connpool.Target) (connpool.Conn, error) {
		close(dialing)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	l := connpool.New(connpool.Options{Server: "i", Dial: dial, Now: time.Now, Slots: 2, Connections: 2})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-dialing
		cancel()
	}()
	h := l.NewHandle("a", 1, true)
	defer h.Release()
	_, err := h.Run(ctx, connpool.Limit{Until: time.Now().Add(time.Minute)}, nil, operation.Statement{Kind: operation.Read})
	require.NotErrorIs(t, err, connpool.ErrUnreachable)
	require.Zero(t, l.Silence(time.Now().Add(time.Second)))
}
