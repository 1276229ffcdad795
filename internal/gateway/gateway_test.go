package gateway_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fireflyrudder.example/fireflyrudder/internal/gateway"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// group simulates the control VMs of a group, by address.
type group struct {
	mu     sync.Mutex
	vms    map[string]*controlVM
	leader string
}

// controlVM is one simulated control VM.
type controlVM struct {
	wire.ControlClient
	group     *group
	address   string
	frozen    bool   // answers nothing
	down      bool   // refuses connections
	believes  string // leader that it names; empty for the real one
	announced int
	orders    []*wire.Evacuation
}

func newGroup(addresses ...string) *group {
	g := &group{vms: map[string]*controlVM{}, leader: addresses[0]}
	for _, a := range addresses {
		g.vms[a] = &controlVM{group: g, address: a}
	}
	return g
}

func (g *group) dial(address string) (wire.ControlClient, io.Closer, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.vms[address], io.NopCloser(nil), nil
}

// change applies a fault while no call is answered.
func (g *group) change(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

// answer waits for the end of ctx if the control VM is frozen.
func (c *controlVM) answer(ctx context.Context) error {
	c.group.mu.Lock()
	frozen, down := c.frozen, c.down
	c.group.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return status.FromContextError(ctx.Err()).Err()
	}
	if down {
		return status.Error(codes.Unavailable, "connection refused")
	}
	return nil
}

func (c *controlVM) Locate(ctx context.Context, _ *wire.LocateRequest, _ ...grpc.CallOption) (*wire.LocateReply, error) {
	if err := c.answer(ctx); err != nil {
		return nil, err
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	reply := &wire.LocateReply{Leader: c.group.leader}
	if c.believes != "" {
		reply.Leader = c.believes
	}
	for a := range c.group.vms {
		reply.Controls = append(reply.Controls, a)
	}
	return reply, nil
}

func (c *controlVM) Announce(ctx context.Context, _ *wire.AnnounceRequest, _ ...grpc.CallOption) (*wire.AnnounceReply, error) {
	if err := c.answer(ctx); err != nil {
		return nil, err
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if c.group.leader != c.address {
		return nil, status.Error(codes.FailedPrecondition, "not the leader")
	}
	c.announced++
	return &wire.AnnounceReply{}, nil
}

func start(t *testing.T, g *group, controls ...string) (*gateway.Gateway, context.Context) {
	w := gateway.New(gateway.Options{Controls: func() []string { return controls }, Dial: g.dial})
	t.Cleanup(w.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	return w, ctx
}

// Guards against calls that fail while another control VM leads: after a change of the leader, with a frozen leader
// and with a control VM that names a leader of the past.
func TestCallsReachTheLeader(t *testing.T) {
	g := newGroup("a", "b", "c")
	w, ctx := start(t, g, "a", "b", "c")
	require.NoError(t, w.Announce(ctx, &wire.AnnounceRequest{}))
	require.Equal(t, 1, g.vms["a"].announced)
	g.change(func() { g.leader, g.vms["c"].believes = "b", "a" })
	require.NoError(t, w.Announce(ctx, &wire.AnnounceRequest{}))
	require.Equal(t, 1, g.vms["b"].announced)
	g.change(func() { g.leader, g.vms["b"].frozen = "c", true })
	g.change(func() { g.vms["c"].believes = "" })
	require.NoError(t, w.Announce(ctx, &wire.AnnounceRequest{}))
	require.Equal(t, 1, g.vms["c"].announced)
}

// Guards against a gateway that knows only the control VMs of its settings, which may all have been replaced.
func TestMembersAreLearned(t *testing.T) {
	g := newGroup("a", "b", "c", "d")
	w, ctx := start(t, g, "a")
	require.NoError(t, w.Announce(ctx, &wire.AnnounceRequest{}))
	g.change(func() { g.leader, g.vms["a"].down = "d", true })
	require.NoError(t, w.Announce(ctx, &wire.AnnounceRequest{}))
	require.Equal(t, 1, g.vms["d"].announced)
}

// Guards against a call that waits beyond its context or reports success while no leader answers.
func TestNoLeader(t *testing.T) {
	g := newGroup("a", "b")
	g.vms["a"].frozen, g.vms["b"].down = true, true
	w, _ := start(t, g, "a", "b")
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := w.Read(ctx)
	require.ErrorIs(t, err, gateway.ErrNoLeader)
}
