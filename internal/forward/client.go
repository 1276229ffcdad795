package forward

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

const (
	// replyMargin is added to the time limit of a request for the transit of its reply.
	replyMargin = connpool.AnswerGrace + 100*time.Millisecond
	// probeAfter is the age of an unanswered request at which the peer is probed.
	probeAfter = 100 * time.Millisecond
	// probeTimeout is the time within which a peer must answer a probe. It is above one TCP retransmission.
	probeTimeout = 250 * time.Millisecond
	// probePause is the pause between probes of a peer that cannot be reached.
	probePause = 50 * time.Millisecond
	// failureBackoff is how long a peer is not used after it was unavailable.
	failureBackoff = time.Second
	// connectTimeout bounds the first attempts to open a connection; later ones get up to maxRedialDelay.
	connectTimeout = 150 * time.Millisecond
	// maxConnectWait bounds the wait of statements for a connection that is being opened. It is above two round
	// trips between zones plus the start of a VM that was restarted slightly later than this one.
	maxConnectWait = 120 * time.Millisecond
	maxRedialDelay = 500 * time.Millisecond
)

// ErrPeerLost marks errors caused by the loss of the other entry VM. They say nothing about the backend server.
var ErrPeerLost = errors.New("forward: the entry VM that keeps the connections does not answer")

// Client forwards statements to other entry VMs. It is safe for concurrent use.
type Client struct {
	now     func() time.Time
	options []grpc.DialOption
	calls   context.Context // of all requests
	abort   context.CancelFunc

	mu    sync.Mutex
	peers map[string]*peer // by address
}

// peer is the connection to another entry VM and the state of its health check.
type peer struct {
	conn   *grpc.ClientConn
	client wire.ForwardClient

	mu                sync.Mutex
	outstanding       map[*time.Time]struct{} // send times of requests without a reply
	replied           time.Time
	probeSent         time.Time // when the probe in progress was started; zero if there is none
	avoidUntil        time.Time // the peer is not used before; set when it was unavailable
	disconnectedSince time.Time // when a lookup first found no connection; zero while connected
}

// NewClient returns a Client that opens connections on demand.
func NewClient(now func() time.Time, options ...grpc.DialOption) *Client {
	c := &Client{now: now, options: options, peers: map[string]*peer{}}
	c.calls, c.abort = context.WithCancel(context.Background())
	return c
}

// Abort ends all requests, also later ones. The outcome of those in progress is unknown.
func (c *Client) Abort() { c.abort() }

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.peers {
		_ = p.conn.Close()
		delete(c.peers, address)
	}
}

// peer returns the peer at an address. A new peer connects in the background.
func (c *Client) peer(address string) (*peer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[address]; p != nil {
		return p, nil
	}
	options := append(slices.Clone(c.options), wire.ClientOptions()...)
	options = append(options,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxRedialDelay},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: keepaliveTimeout}),
	)
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, errors.Wrap(err, "forward: dial")
	}
	conn.Connect()
	p := &peer{conn: conn, client: wire.NewForwardClient(conn), outstanding: map[*time.Time]struct{}{}}
	c.peers[address] = p
	return p, nil
}

// Connect opens the connection to the entry VM at an address in the background, if there is none.
func (c *Client) Connect(address string) {
	_, _ = c.peer(address) // an address that cannot be dialed fails when it is needed
}

// Connected reports whether there is a connection to the entry VM at an address. It opens none.
func (c *Client) Connected(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	return p != nil && p.conn.GetState() == connectivity.Ready
}

// Usable reports whether statements may be forwarded to the entry VM at an address: it is connected,
// responsive, and was not unavailable within failureBackoff.
func (c *Client) Usable(address string) bool {
	p, err := c.peer(address)
	if err != nil {
		return false
	}
	if p.conn.GetState() != connectivity.Ready {
		p.conn.Connect()
		return false
	}
	return p.responsive(c.now)
}

// AwaitUsable waits like AwaitConnection and reports whether the entry VM is usable then.
func (c *Client) AwaitUsable(address string) bool {
	c.AwaitConnection(address)
	return c.Usable(address)
}

// AwaitConnection waits until the entry VM at an address is connected or the attempt fails. It returns at once
// if the connection has been missing for longer than maxConnectWait.
func (c *Client) AwaitConnection(address string) {
	p, err := c.peer(address)
	if err != nil {
		return
	}
	left := p.remainingConnectWait(c.now())
	if left <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	for state := p.conn.GetState(); state != connectivity.Ready && state != connectivity.TransientFailure; state = p.conn.GetState() {
		if !p.conn.WaitForStateChange(ctx, state) {
			return
		}
	}
}

// remainingConnectWait returns how long statements should still wait for the connection to open. It starts
// connecting when it first finds no connection.
func (p *peer) remainingConnectWait(now time.Time) time.Duration {
	state := p.conn.GetState()
	p.mu.Lock()
	defer p.mu.Unlock()
	if state == connectivity.Ready {
		p.disconnectedSince = time.Time{}
		return 0
	}
	if p.disconnectedSince.IsZero() {
		p.disconnectedSince = now
		p.conn.Connect()
	}
	return maxConnectWait - now.Sub(p.disconnectedSince)
}

// responsive reports whether the peer replies. An old request alone proves nothing, because the instance may be
// busy; it only starts a probe of the peer.
func (p *peer) responsive(clock func() time.Time) bool {
	now := clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case now.Before(p.avoidUntil):
		return false
	case !p.probeSent.IsZero():
		return now.Sub(p.probeSent) < probeTimeout
	case now.Sub(p.replied) < probeAfter:
		return true
	}
	for sent := range p.outstanding {
		if now.Sub(*sent) >= probeAfter {
			p.probeSent = now
			go p.probe(clock)
			break
		}
	}
	return true
}

// probe sends empty requests until the peer answers one or the connection is closed.
func (p *peer) probe(clock func() time.Time) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), failureBackoff)
		_, err := p.client.Run(ctx, &wire.ForwardRequest{})
		cancel()
		if err == nil || p.conn.GetState() == connectivity.Shutdown {
			break
		}
		time.Sleep(probePause)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probeSent, p.replied = time.Time{}, clock()
}

// track records the start of a request. The returned function records its end.
func (p *peer) track(now func() time.Time) func(err error) {
	sent := now()
	p.mu.Lock()
	p.outstanding[&sent] = struct{}{}
	p.mu.Unlock()
	return func(err error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.outstanding, &sent)
		switch status.Code(err) {
		case codes.OK:
			p.replied = now()
		case codes.Unavailable:
			p.avoidUntil = now().Add(failureBackoff)
		}
	}
}

// Request identifies the backend server and client account that statements are for.
type Request struct {
	Address string // of the entry VM that runs the statements
	Server  string
	Account string
	Weight  float64
	Read    bool
	Pinned  bool // the connection is kept between calls of Run
	// Priority is the urgency of the route, 0 being the most urgent.
	Priority uint32
}

// Load is the number of statements that the other entry VM runs and queues for the backend server.
type Load struct {
	Running, Waiting int
}

// Handle runs statements on a connection owned by another entry VM. It is used by one goroutine at a time.
type Handle struct {
	client  *Client
	request Request
	peer    *peer
	stream  wire.Forward_HoldClient // nil before the first statement, and if the request is not pinned
	cancel  context.CancelFunc
	broken  bool
	load    Load
	waits   []time.Duration
}

// NewHandle returns a Handle. The caller must call Release.
func (c *Client) NewHandle(r Request) (*Handle, error) {
	p, err := c.peer(r.Address)
	if err != nil {
		return nil, err
	}
	return &Handle{client: c, request: r, peer: p}, nil
}

// Load returns the load of the other entry VM as of the last reply.
func (h *Handle) Load() Load { return h.load }

// Waits returns the expected waits of further statements of the client account as of the last reply; nil if it has none.
func (h *Handle) Waits() []time.Duration { return h.waits }

// Run runs statements like connpool.Handle.Run.
func (h *Handle) Run(_ context.Context, l connpool.Limit, values map[string]string, statements ...operation.Statement) ([]operation.Answer, error) {
	now := h.client.now()
	limit := l.Until.Sub(now)
	if limit <= 0 {
		return nil, connpool.ErrQueueTimeout
	}
	request := &wire.ForwardRequest{
		Server: h.request.Server, Account: h.request.Account, Weight: h.request.Weight, Read: h.request.Read,
		Limit: limit.Microseconds(), Values: values, Steps: encodeSteps(statements), Priority: h.request.Priority,
	}
	if !l.Target.IsZero() {
		request.Target = cmp.Or(l.Target.Sub(now).Microseconds(), -1) // 0 on the wire states no target
	}
	reply, err := h.exchange(limit, request)
	if err != nil {
		return nil, err
	}
	err = decodeFailure(reply)
	h.broken = h.broken || errors.Is(err, connpool.ErrConnectionLost) || errors.Is(err, connpool.ErrAnswerTimeout) || errors.Is(err, connpool.ErrNotSent)
	return decodeAnswers(reply.GetResults()), err
}

// Prove requests a proof like connpool.Handle.Prove. Sent is not later than the statement was sent.
func (h *Handle) Prove(_ context.Context, l connpool.Limit, maxAge time.Duration) (connpool.Proof, error) {
	now := h.client.now()
	limit := l.Until.Sub(now)
	if limit <= 0 {
		return connpool.Proof{}, connpool.ErrQueueTimeout
	}
	// An entry VM of an earlier build ignores the age and begins a transaction.
	begin := encodeSteps([]operation.Statement{{Kind: operation.Begin}})
	reply, err := h.exchange(limit, &wire.ForwardRequest{
		Server: h.request.Server, Account: h.request.Account, Limit: limit.Microseconds(), Steps: begin, ProofAge: max(maxAge.Microseconds(), 1),
	})
	if err != nil {
		return connpool.Proof{}, err
	}
	if err := decodeFailure(reply); err != nil {
		return connpool.Proof{}, err
	}
	answers := decodeAnswers(reply.GetResults())
	if len(answers) == 0 {
		return connpool.Proof{}, errors.Mark(connpool.ErrConnectionLost, ErrPeerLost)
	}
	return connpool.Proof{Sent: now.Add(-time.Duration(reply.GetProofAge()) * time.Microsecond), Answer: answers[0]}, nil
}

// exchange sends a request and waits for its reply.
func (h *Handle) exchange(limit time.Duration, r *wire.ForwardRequest) (*wire.ForwardReply, error) {
	ended := h.peer.track(h.client.now)
	reply, err := h.call(limit+replyMargin, r)
	ended(err)
	if err != nil {
		h.broken = true
		return nil, errors.Mark(errors.CombineErrors(connpool.ErrConnectionLost, err), ErrPeerLost)
	}
	h.waits = decodeWaits(reply.GetWaits())
	h.load = Load{Running: int(reply.GetRunning()), Waiting: int(reply.GetWaiting())}
	return reply, nil
}

func (h *Handle) call(limit time.Duration, r *wire.ForwardRequest) (*wire.ForwardReply, error) {
	if !h.request.Pinned {
		// The server enforces the limit and reports whether the statement ran, so only Abort ends the wait for its reply.
		ctx, cancel := context.WithTimeout(h.client.calls, limit)
		defer cancel()
		return h.peer.client.Run(ctx, r)
	}
	if h.stream == nil {
		ctx, cancel := context.WithCancel(h.client.calls)
		stream, err := h.peer.client.Hold(ctx)
		if err != nil {
			cancel()
			return nil, err
		}
		h.stream, h.cancel = stream, cancel
	}
	stop := time.AfterFunc(limit, h.cancel)
	defer stop.Stop()
	if err := h.stream.Send(r); err != nil {
		return nil, err
	}
	return h.stream.Recv()
}

// Release ends the use of the connection. The other entry VM rolls back a transaction that is still open.
func (h *Handle) Release() {
	if h.stream == nil {
		return
	}
	_ = h.stream.CloseSend() // a stream that failed has already ended
	if h.broken {
		h.cancel()
		return
	}
	go h.drain()
}

// drain reads until the server ends the stream, so that it can release the connection in order.
func (h *Handle) drain() {
	defer time.AfterFunc(streamEndTimeout, h.cancel).Stop()
	for {
		if _, err := h.stream.Recv(); err != nil {
			h.cancel()
			return
		}
	}
}

// streamEndTimeout bounds the wait for the end of a stream.
const streamEndTimeout = time.Second
