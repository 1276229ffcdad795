// Package gateway passes calls of operators and of backend servers on to the control leader, and tells entry VMs and
// spares where the leader is. It serves a control VM without a disk, which cannot be a voter of the control group.
package gateway

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fireflyrudder.example/fireflyrudder/internal/clock"
	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

const (
	// retryPause is the delay before another attempt if no leader is known or the call to it failed.
	retryPause = 50 * time.Millisecond
	// locateTimeout bounds one search for the leader. It is above a round trip between availability zones with one
	// connection to be opened.
	locateTimeout = 200 * time.Millisecond
	// attemptTimeout bounds one call to the leader, so that a call finds the next leader if this one is frozen.
	attemptTimeout = 400 * time.Millisecond
)

// ErrNoLeader is the error of a call that no leader answered before its context ended. The call may be repeated.
var ErrNoLeader = errors.WithHint(errors.New("gateway: no leader answered"), "send the call again, to any control VM")

// Options configure a Gateway.
type Options struct {
	Controls func() []string // addresses of control VMs as configured; may change
	Dial     func(address string) (wire.ControlClient, io.Closer, error)
	// DialVoter connects to a control VM that looks for the group.
	DialVoter func(address string) (wire.VoterClient, io.Closer, error)
	Address   string // of the gRPC listener of this VM
}

// Gateway calls the leader of the control group. It keeps no state of the group but the addresses of its members.
// It is safe for concurrent use.
type Gateway struct {
	options Options
	search  singleflight.Group // at most one search for the leader at a time

	mu      sync.Mutex
	leader  string   // address of the leader that answered last; empty if unknown
	failed  string   // address of the leader whose call failed last; others may still name it
	learned []string // members of the group according to the latest search
	clients map[string]wire.ControlClient
	closers []io.Closer
	contact contact
}

// New returns a Gateway that connects on the first call.
func New(options Options) *Gateway {
	return &Gateway{options: options, clients: map[string]wire.ControlClient{}}
}

// Close closes all connections.
func (g *Gateway) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.closers {
		_ = c.Close()
	}
	clear(g.clients)
	g.closers = nil
}

// Publish makes a whole configuration durable if its version is above the current one, and returns the version in
// force. A *controlstate.InvalidError means that it was rejected; after any other error the outcome is unknown.
func (g *Gateway) Publish(ctx context.Context, c *wire.Configuration) (uint64, error) {
	c, err := controlstate.Normalize(c)
	if err != nil {
		return 0, err
	}
	var reply *wire.PublishReply
	err = g.call(ctx, 0, func(ctx context.Context, leader wire.ControlClient) error {
		reply, err = leader.Publish(ctx, &wire.PublishRequest{Configuration: c})
		return err
	})
	return reply.GetVersion(), err
}

// Read returns the configuration in force.
func (g *Gateway) Read(ctx context.Context) (*wire.Configuration, error) {
	var reply *wire.ReadReply
	err := g.call(ctx, attemptTimeout, func(ctx context.Context, leader wire.ControlClient) error {
		var err error
		reply, err = leader.Read(ctx, &wire.ReadRequest{})
		return err
	})
	return reply.GetConfiguration(), err
}

// Announce records the state that a backend server announces. It returns once a change is durable.
func (g *Gateway) Announce(ctx context.Context, r *wire.AnnounceRequest) error {
	return g.call(ctx, attemptTimeout, func(ctx context.Context, leader wire.ControlClient) error {
		_, err := leader.Announce(ctx, r)
		return err
	})
}

// call calls the leader until one answers or the context ends, so a call may run more than once. limit bounds one
// attempt; 0 means that only the context does.
func (g *Gateway) call(ctx context.Context, limit time.Duration, call func(context.Context, wire.ControlClient) error) error {
	for {
		err := g.attempt(ctx, limit, call)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.CombineErrors(ErrNoLeader, err)
		case <-time.After(retryPause):
		}
	}
}

// attempt calls the leader once. A leader that fails is searched for again by the next attempt.
func (g *Gateway) attempt(ctx context.Context, limit time.Duration, call func(context.Context, wire.ControlClient) error) error {
	address, err := g.locate(ctx)
	if err != nil {
		return err
	}
	client, err := g.client(address)
	if err != nil {
		return err
	}
	if limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	if err = call(ctx, client); err != nil {
		g.forget(address)
		g.recordFailure(clock.Now())
		return err
	}
	g.recordSuccess(clock.Now(), address)
	return nil
}

// locate returns the address of the leader. It asks all known control VMs if it is unknown.
func (g *Gateway) locate(ctx context.Context) (string, error) {
	g.mu.Lock()
	known := g.leader
	g.mu.Unlock()
	if known != "" {
		return known, nil
	}
	found := g.search.DoChan("leader", func() (any, error) { return g.searchLeader() })
	select {
	case <-ctx.Done():
		return "", ctx.Err()
	case r := <-found:
		address, _ := r.Val.(string)
		return address, r.Err
	}
}

// searchLeader asks all known control VMs for the leader and returns the first one that is named. One whose call
// failed is returned only if no other is named. The search is shared by the calls that wait for it, so it has a time
// limit of its own.
func (g *Gateway) searchLeader() (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), locateTimeout)
	defer cancel()
	controls := g.controlAddresses()
	g.mu.Lock()
	failed := g.failed
	g.mu.Unlock()
	type answer struct {
		address string
		reply   *wire.LocateReply
	}
	answers := make(chan answer, len(controls))
	for _, address := range controls {
		go func() { answers <- answer{address, g.ask(ctx, address)} }()
	}
	var found answer
	answered := []string{}
	for range controls {
		a := <-answers
		if a.reply != nil {
			answered = append(answered, a.address)
		}
		if a.reply.GetLeader() == "" {
			continue
		}
		if found = a; a.reply.Leader != failed {
			break
		}
	}
	g.recordSearch(controls, answered)
	leader := found.reply.GetLeader()
	if leader == "" {
		g.recordFailure(clock.Now())
		return "", ErrNoLeader
	}
	if leader == found.address && leader != failed {
		g.recordSuccess(clock.Now(), leader)
	}
	g.learn(leader, found.reply.GetControls())
	return leader, nil
}

// ask asks one control VM for the leader. It returns nil if that one does not answer.
func (g *Gateway) ask(ctx context.Context, address string) *wire.LocateReply {
	client, err := g.client(address)
	if err != nil {
		return nil
	}
	reply, err := client.Locate(ctx, &wire.LocateRequest{})
	if status.Code(err) != codes.OK {
		return nil
	}
	return reply
}

// learn stores the leader and the members of the group.
func (g *Gateway) learn(leader string, controls []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader, g.learned = leader, controls
}

// forget makes the next call search for the leader, unless another one was found meanwhile.
func (g *Gateway) forget(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader == address {
		g.leader, g.failed = "", address
	}
}

// controlAddresses returns the configured control VMs and the members of the group according to the latest search.
func (g *Gateway) controlAddresses() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := slices.Concat(g.options.Controls(), g.learned)
	slices.Sort(all)
	return slices.Compact(all)
}

// client returns the connection to a control VM.
func (g *Gateway) client(address string) (wire.ControlClient, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known, ok := g.clients[address]; ok {
		return known, nil
	}
	fresh, closer, err := g.options.Dial(address)
	if err != nil {
		return nil, errors.Wrap(err, "gateway: control VM")
	}
	g.clients[address] = fresh
	g.closers = append(g.closers, closer)
	return fresh, nil
}
