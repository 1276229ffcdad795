package forward

import (
	"cmp"
	"context"
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
	// replyMargin is added to the limit of a request for the way of its reply.
	replyMargin = connpool.AnswerGrace + 100*time.Millisecond
	// probeAfter is the age of a request without a reply at which the entry VM is asked whether it answers.
	probeAfter = 100 * time.Millisecond
	// probeTimeout is how long it may take to say so. It is above a retransmission of TCP.
	probeTimeout = 250 * time.Millisecond
	// probePause is the pause before an entry VM that is out of reach is asked again.
	probePause = 50 * time.Millisecond
	// failureBackoff is how long an entry VM that failed is left out.
	failureBackoff = time.Second
	// connectTimeout bounds the first attempts to open a connection; later ones get up to redialMost.
	connectTimeout = 150 * time.Millisecond
	// maxConnectWait bounds the wait of statements for a connection that is being opened. It is above two ways
	// between zones and the start of a VM that was restarted a moment later.
	maxConnectWait = 120 * time.Millisecond
	maxRedialDelay = 500 * time.Millisecond
)

// ErrPeerLost marks the loss of the other entry VM, which tells nothing of the backend server.
var ErrPeerLost = errors.New("forward: the entry VM that keeps the connections does not answer")

// Client sends statements to other entry VMs. It is safe for concurrent use.
type Client struct {
	now func() time.Time

	mu    sync.Mutex
	peers map[string]*peer // by address
}

// peer is another entry VM.
type peer struct {
	conn   *grpc.ClientConn
	client wire.ForwardClient

	mu                sync.Mutex
	outstanding       map[*time.Time]struct{} // send times of requests without a reply
	replied           time.Time
	probeSent         time.Time // when the ping in progress was sent; zero if there is none
	avoidUntil        time.Time // not used before
	disconnectedSince time.Time // since when there is no connection, as far as it was asked for; zero with one
}

// NewClient returns a Client without connections.
func NewClient(now func() time.Time) *Client {
	return &Client{now: now, peers: map[string]*peer{}}
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.peers {
		_ = p.conn.Close()
		delete(c.peers, address)
	}
}

// peer returns the peer at an address. It connects in the background.
func (c *Client) peer(address string) (*peer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[address]; p != nil {
		return p, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxRedialDelay},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: keepaliveTimeout}),
	)
	if err != nil {
		return nil, errors.Wrap(err, "forward: dial")
	}
	conn.Connect()
	p := &peer{conn: conn, client: wire.NewForwardClient(conn), outstanding: map[*time.Time]struct{}{}}
	c.peers[address] = p
	return p, nil
}

// Usable reports whether statements may be sent to the entry VM at an address: it is connected,
// answers, and did not fail a short while ago.
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

// AwaitConnection waits until the entry VM at an address is connected, if the connection has been opening for a short
// time only.
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

// remainingConnectWait returns how long the remainingConnectWait of the connection is still worth waiting for.
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

// responsive reports whether the peer replies. A request may take long because its instance is busy, so
// the peer is asked once one is old.
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

// probe asks the peer whether it answers, and asks again while it does not.
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

// track notes a request. The returned function notes its end.
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

// Request names what statements are for.
type Request struct {
	Address string // of the entry VM
	Server  string
	Account string
	Weight  float64
	Read    bool
	Pinned  bool // the connection is kept between calls of Run
}

// Load is how busy the other entry VM is with the backend server.
type Load struct {
	Running, Waiting int
}

// Handle runs statements on a connection of another entry VM. It is used by one goroutine at a time.
type Handle struct {
	client  *Client
	request Request
	peer    *peer
	stream  wire.Forward_HoldClient // nil before the first statement, and without Hold
	cancel  context.CancelFunc
	broken  bool
	load    Load
}

// NewHandle returns a holder. It must be given back by Release.
func (c *Client) NewHandle(r Request) (*Handle, error) {
	p, err := c.peer(r.Address)
	if err != nil {
		return nil, err
	}
	return &Handle{client: c, request: r, peer: p}, nil
}

// Load returns how busy the other entry VM was at the last reply.
func (h *Handle) Load() Load { return h.load }

// Run runs statements as connpool.Held.Run does.
func (h *Handle) Run(ctx context.Context, l connpool.Limit, values map[string]string, statements ...operation.Statement) ([]operation.Answer, error) {
	now := h.client.now()
	limit := l.Until.Sub(now)
	if limit <= 0 {
		return nil, connpool.ErrQueueTimeout
	}
	request := &wire.ForwardRequest{
		Server: h.request.Server, Account: h.request.Account, Weight: h.request.Weight, Read: h.request.Read,
		Limit: limit.Microseconds(), Values: values, Steps: encodeSteps(statements),
	}
	if !l.Target.IsZero() {
		request.Target = cmp.Or(l.Target.Sub(now).Microseconds(), -1) // 0 on the wire states no target
	}
	ended := h.peer.track(h.client.now)
	reply, err := h.call(ctx, limit+replyMargin, request)
	ended(err)
	if err != nil {
		h.broken = true
		return nil, errors.Mark(errors.CombineErrors(connpool.ErrConnectionLost, err), ErrPeerLost)
	}
	h.load = Load{Running: int(reply.GetRunning()), Waiting: int(reply.GetWaiting())}
	err = decodeFailure(reply)
	h.broken = h.broken || errors.Is(err, connpool.ErrConnectionLost) || errors.Is(err, connpool.ErrAnswerTimeout) || errors.Is(err, connpool.ErrNotSent)
	return decodeAnswers(reply.GetResults()), err
}

func (h *Handle) call(ctx context.Context, limit time.Duration, r *wire.ForwardRequest) (*wire.ForwardReply, error) {
	if !h.request.Pinned {
		// The other side keeps the limit and tells whether the statement ran, so it is waited for.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
		defer cancel()
		return h.peer.client.Run(ctx, r)
	}
	if h.stream == nil {
		ctx, cancel := context.WithCancel(context.Background())
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

// Release gives the connection back. A transaction that is still open is rolled back.
func (h *Handle) Release() {
	if h.stream == nil {
		return
	}
	_ = h.stream.CloseSend() // a stream that failed has ended already
	if h.broken {
		h.cancel()
		return
	}
	go h.drain()
}

// drain lets the stream end by itself, so that the other side releases the connection in order.
func (h *Handle) drain() {
	defer time.AfterFunc(streamEndTimeout, h.cancel).Stop()
	for {
		if _, err := h.stream.Recv(); err != nil {
			h.cancel()
			return
		}
	}
}

// streamEndTimeout bounds the end of a stream.
const streamEndTimeout = time.Second
