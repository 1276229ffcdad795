package controlvm_test

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/controlvm"
	"fireflyrudder.example/fireflyrudder/internal/loopback"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

func init() { log.SetHandler(discard.Default) }

// testVM is a control VM that a test starts and stops.
type testVM struct {
	t       testing.TB
	options controlvm.Options
	vm      *controlvm.VM
	cancel  context.CancelFunc
	ended   chan error
}

// newTestVM returns a control VM with free addresses that is not started.
func newTestVM(t testing.TB) *testVM {
	s := &testVM{t: t}
	s.options.Node.Zone = "zone-a"
	s.options.Control.Data = filepath.Join(t.TempDir(), "data")
	s.options.Control.Listen = loopback.Address(t)
	s.options.Control.Announce = loopback.Address(t)
	s.options.Control.Server.User = "fireflyrudder"
	t.Cleanup(s.stop)
	return s
}

// newTestVMs returns control VMs that have each other as peers. They are not started.
func newTestVMs(t *testing.T, count int) []*testVM {
	vms := make([]*testVM, count)
	peers := make([]string, count)
	for i := range vms {
		vms[i] = newTestVM(t)
		peers[i] = vms[i].options.Control.Listen
	}
	for _, s := range vms {
		s.options.Control.Peers = peers
	}
	return vms
}

func (s *testVM) start() {
	s.t.Helper()
	vm, err := controlvm.New(s.options)
	require.NoError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	s.vm, s.cancel, s.ended = vm, cancel, make(chan error, 1)
	go func() { s.ended <- vm.Run(ctx) }()
	select {
	case <-vm.Ready():
	case err := <-s.ended:
		s.ended <- err // for stop
		s.t.Fatal("the control VM ended before it was ready:", err)
	}
}

func (s *testVM) stop() {
	if s.cancel == nil {
		return
	}
	s.cancel()
	s.cancel = nil
	require.NoError(s.t, <-s.ended)
}

func addresses(vms []*testVM) []string {
	var out []string
	for _, s := range vms {
		out = append(out, s.options.Control.Listen)
	}
	return out
}

func client(t *testing.T, vms ...*testVM) (*controlvm.Client, context.Context) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	c := controlvm.NewClient(addresses(vms), nil)
	t.Cleanup(func() { cancel(); c.Close() })
	return c, ctx
}

func put(name string) []*wire.Edit {
	return []*wire.Edit{{Edit: &wire.Edit_PutAccount{PutAccount: &wire.Account{Name: name, Rate: 10, Burst: 5}}}}
}

// accept applies a change that must be accepted and returns the version that it creates.
func accept(t *testing.T, ctx context.Context, c *controlvm.Client, id string, base uint64) uint64 {
	t.Helper()
	d, err := c.Apply(ctx, &wire.Change{Id: id, Base: base, Edits: put("account-" + id)})
	require.NoError(t, err)
	require.Equal(t, wire.Verdict_VERDICT_ACCEPTED, d.Verdict, d.Remedy)
	return d.Version
}

// Guards against a single control VM that answers before it leads, loses its state on a restart, or does not
// serve the configuration, its changes and a lease to an entry VM.
func TestSingleVoter(t *testing.T) {
	s := newTestVM(t)
	s.options.SnapshotEvery = 7
	s.start()
	c, ctx := client(t, s)
	for v := range uint64(40) {
		require.Equal(t, v+1, accept(t, ctx, c, fmt.Sprint(v), v))
	}
	s.stop()
	s.start()
	again, err := c.Apply(ctx, &wire.Change{Id: "3", Base: 9, Edits: put("other")})
	require.NoError(t, err)
	require.Equal(t, wire.Verdict_VERDICT_ACCEPTED, again.Verdict, "a resend returns the first decision")
	require.EqualValues(t, 4, again.Version)

	conn, err := controlvm.Dial(s.options.Control.Listen, nil)
	require.NoError(t, err)
	defer conn.Close()
	control := wire.NewControlClient(conn)
	stream, err := control.Watch(ctx, &wire.WatchRequest{Entry: "e"})
	require.NoError(t, err)
	first, err := stream.Recv()
	require.NoError(t, err)
	require.EqualValues(t, 40, first.Version)
	require.Len(t, first.Full.Accounts, 40)
	reply, err := control.Renew(ctx, &wire.RenewRequest{Registration: &wire.Registration{Entry: "e", Name: "n"}, Sequence: 1})
	require.NoError(t, err)
	require.True(t, reply.Leader)
	require.EqualValues(t, 40, reply.Version)
	accept(t, ctx, c, "next", 40)
	next, err := stream.Recv()
	require.NoError(t, err)
	require.EqualValues(t, 41, next.Version)
	require.Nil(t, next.Full)
	require.Len(t, next.Edits, 1)
	status, err := c.Status(ctx)
	require.NoError(t, err)
	require.Len(t, status.Registrations, 1)
}
