package renewal_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"fireflyrudder.example/fireflyrudder/internal/renewal"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// watched is a fake control VM that counts its open streams by role.
type watched struct {
	wire.ControlClient
	updates chan *wire.Update // sent on streams that carry updates
	marks   chan *wire.Update // sent on the others
	broken  chan struct{}     // closed to end its streams

	mu       sync.Mutex
	carrying int
	marking  int
}

func (w *watched) Renew(ctx context.Context, _ *wire.RenewRequest, _ ...grpc.CallOption) (*wire.RenewReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (w *watched) Watch(ctx context.Context, r *wire.WatchRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[wire.Update], error) {
	s := &updateStream{ctx: ctx, updates: w.updates, broken: w.broken}
	count := &w.carrying
	if r.GetMarks() {
		s.updates, count = w.marks, &w.marking
	}
	w.add(count, 1)
	context.AfterFunc(ctx, func() { w.add(count, -1) })
	return s, nil
}

func (w *watched) add(count *int, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*count += n
}

// roles returns the number of open streams that carry updates, and of the others.
func (w *watched) roles() (carrying, marking int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.carrying, w.marking
}

// updateStream is a stream of a watched.
type updateStream struct {
	grpc.ClientStream
	ctx     context.Context
	updates chan *wire.Update
	broken  chan struct{}
}

func (s *updateStream) Recv() (*wire.Update, error) {
	select {
	case u := <-s.updates:
		return u, nil
	case <-s.broken:
		return nil, errors.New("the control VM ends")
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

// follower is an entry VM that records the newest version it was sent.
type follower struct {
	idle
	mu  sync.Mutex
	has *wire.WatchRequest
}

func (f *follower) WatchRequest(context.Context) (*wire.WatchRequest, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &wire.WatchRequest{Version: f.has.GetVersion(), Index: f.has.GetIndex(), Entered: f.has.GetEntered()}, true
}

func (f *follower) Update(u *wire.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.has = &wire.WatchRequest{Version: u.GetVersion(), Index: u.GetIndex(), Entered: u.GetEntered()}
}

// startFollower starts the client of an entry VM with two control VMs. It returns the one of the carrier first.
func startFollower(t *testing.T) (carrier, other *watched) {
	controls := map[string]*watched{}
	for _, name := range []string{"a", "b"} {
		controls[name] = &watched{updates: make(chan *wire.Update), marks: make(chan *wire.Update), broken: make(chan struct{})}
	}
	client := renewal.New(&follower{}, renewal.Options{
		Registration: &wire.Registration{Entry: "e"}, Controls: func() []string { return []string{"a", "b"} }, Now: time.Now, MinInterval: time.Second,
		Dial: func(address string) (wire.ControlClient, io.Closer, error) {
			return controls[address], io.NopCloser(nil), nil
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go client.Run(ctx)
	a, b := controls["a"], controls["b"]
	require.Eventually(t, func() bool {
		carryingA, markingA := a.roles()
		carryingB, markingB := b.roles()
		return carryingA+carryingB == 1 && markingA+markingB == 1
	}, 5*time.Second, time.Millisecond, "one stream carries the updates, the other only their versions")
	if n, _ := a.roles(); n == 1 {
		return a, b
	}
	return b, a
}

// requireCarrier waits until the only stream that carries updates is one of w.
func requireCarrier(t *testing.T, w, other *watched) {
	require.Eventually(t, func() bool {
		carries, _ := w.roles()
		former, _ := other.roles()
		return carries == 1 && former == 0
	}, 5*time.Second, time.Millisecond)
}

// TestSilentCarrierIsReplaced guards against an entry VM that misses updates because the control VM that carries them is
// frozen, which looks like one without updates.
func TestSilentCarrierIsReplaced(t *testing.T) {
	for name, mark := range map[string]*wire.Update{
		"configuration": {Mark: true, Version: 7},
		"view":          {Mark: true, Index: 30},
		"registrations": {Mark: true, Entered: 30},
	} {
		t.Run(name, func(t *testing.T) {
			carrier, other := startFollower(t)
			other.marks <- mark
			requireCarrier(t, other, carrier)
		})
	}
}

// TestMarkedUpdateInTime guards against streams that change their roles although the carrier is well.
func TestMarkedUpdateInTime(t *testing.T) {
	carrier, other := startFollower(t)
	for version := range uint64(8) {
		u := &wire.Update{Version: version + 1, Index: 10 * version, Entered: version}
		other.marks <- &wire.Update{Mark: true, Version: u.Version, Index: u.Index, Entered: u.Entered}
		carrier.updates <- u
		time.Sleep(300 * time.Millisecond)
	}
	requireCarrier(t, carrier, other)
}

// TestLostCarrierIsReplacedAtOnce guards against a time without updates after a control VM has ended.
func TestLostCarrierIsReplacedAtOnce(t *testing.T) {
	carrier, other := startFollower(t)
	close(carrier.broken)
	requireCarrier(t, other, carrier)
}
