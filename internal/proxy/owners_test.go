package proxy_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"fireflyrudder.example/fireflyrudder/internal/placement"
	"fireflyrudder.example/fireflyrudder/internal/proxy"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// registrar is a control group that passes on the registrations of entry VMs.
type registrar struct {
	wire.ControlClient
	registered chan *wire.Registration
}

func (r *registrar) Renew(ctx context.Context, q *wire.RenewRequest, _ ...grpc.CallOption) (*wire.RenewReply, error) {
	select {
	case r.registered <- q.GetRegistration():
	case <-ctx.Done():
	}
	return nil, ctx.Err()
}

func (r *registrar) Watch(ctx context.Context, _ *wire.WatchRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[wire.Update], error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestCapacityIsReportedAndUsed guards against owners by hash alone because a capacity is lost on its way from the settings
// of one VM through the control group to another one.
func TestCapacityIsReportedAndUsed(t *testing.T) {
	capacity := placement.Capacity{Cores: 0.5, Link: 3}
	control := &registrar{registered: make(chan *wire.Registration)}
	p := proxy.New(proxy.Options{
		Now: time.Now, Process: "p", Forward: "f", Capacity: capacity, MinRenewInterval: time.Millisecond,
		Controls: func() []string { return []string{"control"} },
		Dial:     func(string) (wire.ControlClient, io.Closer, error) { return control, io.NopCloser(nil), nil },
	})
	ctx, stop := context.WithCancel(t.Context())
	go p.Run(ctx)
	registered := <-control.registered
	stop()
	other := proxy.New(proxy.Options{Now: time.Now, Controls: func() []string { return nil }})
	entries := proxy.EntryVMs(other, &wire.Update{Entered: 1, Entries: []*wire.Registration{registered}})
	require.Equal(t, []placement.EntryVM{{ID: "p", Address: "f", Capacity: capacity}}, entries)
}

// TestMovesOfOwnersAreCounted guards against moves of connections that operators cannot see.
func TestMovesOfOwnersAreCounted(t *testing.T) {
	p := proxy.New(proxy.Options{Now: time.Now, Controls: func() []string { return nil }})
	member := &wire.Member{Server: "i", Zone: "zone", Address: "127.0.0.1:1", Slots: 2}
	u := &wire.Update{Index: 1, Version: 1, Entered: 1, Full: &wire.Configuration{Version: 1, Groups: []*wire.Group{{Name: "g"}}}, Views: []*wire.View{{Group: "g", Revision: 1, Members: []*wire.Member{member}}}}
	u.Entries = []*wire.Registration{{Entry: "1", Process: "a", Forward: "a", Zone: "zone"}}
	proxy.EntryVMs(p, u)
	require.Zero(t, proxy.Moves(p), "the first owner is no move")
	proxy.EntryVMs(p, &wire.Update{Entered: 2, Gone: []string{"1"}, Since: 1, Entries: []*wire.Registration{{Entry: "2", Process: "b", Forward: "b", Zone: "zone"}}})
	require.EqualValues(t, 1, proxy.Moves(p))
}
