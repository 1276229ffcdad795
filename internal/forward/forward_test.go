package forward_test

import (
	"bytes"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/forward"
	"fireflyrudder.example/fireflyrudder/internal/freshness"
	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// server is a fake backend server that records the statements it runs.
type server struct {
	mu     sync.Mutex
	opened int
	ran    []operation.Statement
	breaks bool // the next statement breaks the connection
	open   bool
}

func (s *server) dial(context.Context, connpool.Target) (connpool.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened++
	return s, nil
}

func (s *server) Exchange(_ time.Duration, statements ...operation.Statement) ([]operation.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var answers []operation.Answer
	for _, st := range statements {
		if s.breaks && st.NeedsSlot() {
			s.breaks = false
			return answers, net.ErrClosed
		}
		s.ran = append(s.ran, st)
		switch st.Kind {
		case operation.Begin:
			s.open = true
		case operation.Rollback, operation.Commit:
			s.open = false
		}
		a := operation.Answer{Rows: []string{st.Argument}, Proof: st.ID}
		if st.Kind == operation.Begin {
			a.At = position.Position{Term: 1, Offset: position.Offset(len(s.ran))}
		}
		if s.open {
			a.State = operation.Open
		}
		answers = append(answers, a)
	}
	return answers, nil
}

func (s *server) Close() {}

func (s *server) kinds() []operation.Kind {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []operation.Kind
	for _, st := range s.ran {
		out = append(out, st.Kind)
	}
	return out
}

// pools holds the pool of the instance "i".
type pools struct{ pool *connpool.Pool }

func (l pools) Pool(_ context.Context, server string) *connpool.Pool {
	if server != "i" {
		return nil
	}
	return l.pool
}

func (pools) MaxIdle() time.Duration { return 100 * time.Millisecond }

// kept is the proof of the group "g".
var kept = freshness.Proof{Sent: time.Now().Add(-time.Second), At: position.Position{Term: 2, Offset: 9}}

func (l pools) Spend(_ context.Context, r forward.SpendRequest) (lease.Result, bool) {
	switch r.Account {
	case "scarce":
		return lease.Result{Verdict: lease.Refused, Retry: time.Second}, true
	case "unknown":
		return lease.Result{}, false
	}
	return lease.Result{Verdict: lease.Admitted}, true
}

func (pools) PoolCredits(credits []forward.PooledCredit) bool {
	return slices.Equal(credits, []forward.PooledCredit{{Account: "a", Amount: 0.25}})
}

func (l pools) Proofs(_ context.Context, r forward.ProofsRequest) ([]freshness.Proof, bool) {
	if !kept.Sent.After(r.Since) {
		return nil, r.Group == "g"
	}
	return []freshness.Proof{kept}, r.Group == "g"
}

func start(t *testing.T) (*server, *forward.Client, string) {
	return startWith(t, connpool.Options{})
}

// startWith starts an entry VM with further options of its pool.
func startWith(t *testing.T, o connpool.Options) (*server, *forward.Client, string) {
	s := &server{}
	o.Group, o.Server, o.Dial, o.Now, o.Slots, o.Connections = "g", "i", s.dial, time.Now, 2, 4
	l := connpool.New(o)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = forward.NewServer(pools{l}, time.Now).Serve(ctx, listener)
	}()
	t.Cleanup(func() { stop(); <-done })
	c := forward.NewClient(time.Now)
	t.Cleanup(c.Close)
	return s, c, listener.Addr().String()
}

func limit(d time.Duration) connpool.Limit { return connpool.Limit{Until: time.Now().Add(d)} }

// TestForwardedStatements guards against a new connection for each statement, and against fields of statements
// or answers that are lost in transit.
func TestForwardedStatements(t *testing.T) {
	s, c, address := start(t)
	for range 5 {
		h, err := c.NewHandle(forward.Request{Address: address, Server: "i", Account: "a"})
		require.NoError(t, err)
		answers, err := h.Run(t.Context(), limit(5*time.Second), map[string]string{"color": "red"},
			operation.Statement{ID: "q", Kind: operation.Execute, Name: "mine", Argument: "x y", Shape: "q2c"})
		require.NoError(t, err)
		require.Equal(t, []operation.Answer{{Rows: []string{"x y"}, Proof: "q"}}, answers)
		h.Release()
	}
	require.Equal(t, 1, s.opened)
	require.Equal(t, []operation.Kind{operation.Set, operation.Prepare, operation.Execute}, s.kinds()[:3])
	require.True(t, c.Usable(address))
}

// TestPriorityReachesTheOwner guards against statements whose priority is lost when they are forwarded, in or outside a
// transaction.
func TestPriorityReachesTheOwner(t *testing.T) {
	for _, pinned := range []bool{false, true} {
		priorities := make(chan uint8, 1)
		_, c, address := startWith(t, connpool.Options{
			Urgency: true, ObserveQueue: func(priority uint8, _ connpool.QueueOutcome, _ time.Duration) { priorities <- priority },
		})
		h, err := c.NewHandle(forward.Request{Address: address, Server: "i", Account: "a", Pinned: pinned, Priority: 2})
		require.NoError(t, err)
		_, err = h.Run(t.Context(), limit(5*time.Second), nil, operation.Statement{ID: "w", Kind: operation.Write})
		require.NoError(t, err)
		require.EqualValues(t, 2, <-priorities)
		h.Release()
	}
}

// TestStreamEndRollsBack guards against a transaction that stays open after its caller released the handle.
func TestStreamEndRollsBack(t *testing.T) {
	s, c, address := start(t)
	h, err := c.NewHandle(forward.Request{Address: address, Server: "i", Account: "a", Pinned: true})
	require.NoError(t, err)
	_, err = h.Run(t.Context(), limit(5*time.Second), nil, operation.Statement{Kind: operation.Begin}, operation.Statement{Kind: operation.Write})
	require.NoError(t, err)
	h.Release()
	require.Eventually(t, func() bool {
		kinds := s.kinds()
		return kinds[len(kinds)-1] == operation.Rollback
	}, 5*time.Second, time.Millisecond)
}

// TestIdleTransactionOfVanishedVMEnds guards against a transaction that keeps its connection and its locks because the
// entry VM of its caller has vanished or is frozen.
func TestIdleTransactionOfVanishedVMEnds(t *testing.T) {
	s, c, address := start(t)
	h, err := c.NewHandle(forward.Request{Address: address, Server: "i", Account: "a", Pinned: true})
	require.NoError(t, err)
	defer h.Release()
	_, err = h.Run(t.Context(), limit(5*time.Second), nil, operation.Statement{Kind: operation.Begin}, operation.Statement{Kind: operation.Write})
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		kinds := s.kinds()
		return kinds[len(kinds)-1] == operation.Rollback
	}, 5*time.Second, time.Millisecond)
}

// countingListener counts the bytes that arrive on its connections.
type countingListener struct {
	net.Listener
	arrived *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.arrived}, err
}

type countingConn struct {
	net.Conn
	arrived *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.arrived.Add(int64(n))
	return n, err
}

// TestIdleConnectionsAreSilent guards against probes on idle connections: with hundreds of entry VMs each has hundreds of
// these.
func TestIdleConnectionsAreSilent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var arrived atomic.Int64
	go forward.NewServer(pools{}, time.Now).Serve(t.Context(), countingListener{listener, &arrived}) //nolint:errcheck // ends with the test
	c := forward.NewClient(time.Now)
	t.Cleanup(c.Close)
	address := listener.Addr().String()
	c.Connect(address)
	c.AwaitConnection(address)
	time.Sleep(500 * time.Millisecond)
	before := arrived.Load()
	time.Sleep(5 * time.Second)
	require.Equal(t, before, arrived.Load())
}

// recordingListener records what arrives on its connections.
type recordingListener struct {
	net.Listener
	mu      sync.Mutex
	arrived bytes.Buffer
}

func (l *recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return recordingConn{c, l}, err
}

type recordingConn struct {
	net.Conn
	listener *recordingListener
}

func (c recordingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.arrived.Write(b[:n])
	return n, err
}

// TestCallsCauseNoPings guards against a ping for each message, by which gRPC measures the bandwidth unless windows are
// fixed: it doubles the packets and wake-ups of the many small calls between entry VMs.
func TestCallsCauseNoPings(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	recorded := &recordingListener{Listener: listener}
	go forward.NewServer(pools{}, time.Now).Serve(t.Context(), recorded) //nolint:errcheck // ends with the test
	c := forward.NewClient(time.Now)
	t.Cleanup(c.Close)
	address := listener.Addr().String()
	c.AwaitConnection(address)
	for range 20 {
		_, err := c.Spend(t.Context(), address, forward.SpendRequest{Account: "a", Limit: time.Second})
		require.NoError(t, err)
	}
	recorded.mu.Lock()
	defer recorded.mu.Unlock()
	recorded.arrived.Next(len(http2.ClientPreface))
	framer := http2.NewFramer(nil, &recorded.arrived)
	pings := 0
	for {
		f, err := framer.ReadFrame()
		if err != nil {
			break
		}
		if f.Header().Type == http2.FramePing {
			pings++
		}
	}
	require.Zero(t, pings)
}

// TestOutcomes guards against a statement with unknown outcome that is reported as not run.
func TestOutcomes(t *testing.T) {
	s, c, address := start(t)
	run := func(server string) error {
		h, err := c.NewHandle(forward.Request{Address: address, Server: server, Account: "a"})
		require.NoError(t, err)
		defer h.Release()
		_, err = h.Run(t.Context(), limit(2*time.Second), nil, operation.Statement{Kind: operation.Write})
		return err
	}
	require.ErrorIs(t, run("other"), connpool.ErrClosed)
	s.breaks = true
	require.ErrorIs(t, run("i"), connpool.ErrConnectionLost)
	require.NoError(t, run("i"))
	h, err := c.NewHandle(forward.Request{Address: "127.0.0.1:1", Server: "i", Account: "a"})
	require.NoError(t, err)
	_, err = h.Run(t.Context(), limit(time.Second), nil, operation.Statement{Kind: operation.Write})
	require.ErrorIs(t, err, connpool.ErrConnectionLost)
	require.True(t, errors.Is(err, forward.ErrPeerLost), "the error must be attributed to the peer")
}

// TestSharedProofIsDated guards against a proof that counts as newer than the statement that gave it. Reads would miss
// commits that were acknowledged in between.
func TestSharedProofIsDated(t *testing.T) {
	s, c, address := start(t)
	prove := func(maxAge time.Duration) connpool.Proof {
		h, err := c.NewHandle(forward.Request{Address: address, Server: "i", Account: "a"})
		require.NoError(t, err)
		defer h.Release()
		proof, err := h.Prove(t.Context(), limit(5*time.Second), maxAge)
		require.NoError(t, err)
		return proof
	}
	first := prove(time.Minute)
	answered := time.Now()
	time.Sleep(20 * time.Millisecond)
	shared := prove(time.Minute)
	require.Equal(t, first.Answer.At, shared.Answer.At)
	require.True(t, shared.Sent.Before(answered), "it dates from the first request")
	own := prove(time.Microsecond)
	require.NotEqual(t, first.Answer.At, own.Answer.At, "the shared proof is too old")
	begun := 0
	for _, kind := range s.kinds() {
		if kind == operation.Begin {
			begun++
		}
	}
	require.Equal(t, 2, begun)
}

// TestKeptProofsAreDated guards against a kept proof that counts as newer than it is, one that is sent again, and an
// entry VM that does not serve the group and seems to have no proofs.
func TestKeptProofsAreDated(t *testing.T) {
	_, c, address := start(t)
	proofs, err := c.Proofs(t.Context(), address, forward.ProofsRequest{Group: "g"})
	require.NoError(t, err)
	require.Len(t, proofs, 1)
	require.Equal(t, kept.At, proofs[0].At)
	require.False(t, proofs[0].Sent.After(kept.Sent))
	require.WithinDuration(t, kept.Sent, proofs[0].Sent, time.Second)
	proofs, err = c.Proofs(t.Context(), address, forward.ProofsRequest{Group: "g", Since: time.Now()})
	require.NoError(t, err)
	require.Empty(t, proofs)
	_, err = c.Proofs(t.Context(), address, forward.ProofsRequest{Group: "other"})
	require.ErrorIs(t, err, forward.ErrNoProofs)
}

// TestHandOverTellsTheOutcome guards against credits that are given to an entry VM that does not take them.
func TestHandOverTellsTheOutcome(t *testing.T) {
	_, c, address := start(t)
	pooled, err := c.HandOver(t.Context(), address, []forward.PooledCredit{{Account: "a", Amount: 0.25}})
	require.NoError(t, err)
	require.True(t, pooled)
	pooled, err = c.HandOver(t.Context(), address, nil)
	require.NoError(t, err)
	require.False(t, pooled)
	_, err = c.HandOver(t.Context(), "127.0.0.1:1", nil)
	require.True(t, errors.Is(err, forward.ErrPeerLost))
}

// TestSpendTellsTheOutcome guards against a refused or unknown credit being taken for a spent one.
func TestSpendTellsTheOutcome(t *testing.T) {
	_, c, address := start(t)
	spend := func(account lease.AccountID) (lease.Result, error) {
		return c.Spend(t.Context(), address, forward.SpendRequest{Account: account, Limit: time.Second})
	}
	result, err := spend("a")
	require.NoError(t, err)
	require.Equal(t, lease.Admitted, result.Verdict)
	result, err = spend("scarce")
	require.NoError(t, err)
	require.Equal(t, lease.Result{Verdict: lease.Refused, Retry: time.Second}, result)
	_, err = spend("unknown")
	require.True(t, errors.Is(err, forward.ErrNoCredits))
	_, err = c.Spend(t.Context(), "127.0.0.1:1", forward.SpendRequest{Account: "a"})
	require.True(t, errors.Is(err, forward.ErrPeerLost))
}
