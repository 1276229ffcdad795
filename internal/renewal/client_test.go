package renewal_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/renewal"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// control is a fake control VM that returns the replies in order and repeats the last one. It sends no updates.
type control struct {
	wire.ControlClient
	replies []*wire.RenewReply

	mu   sync.Mutex
	ages []int64
	done chan struct{} // closed after the last reply was sent twice
}

func (c *control) Renew(_ context.Context, r *wire.RenewRequest, _ ...grpc.CallOption) (*wire.RenewReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.ages)
	c.ages = append(c.ages, r.GetRegistration().GetAge())
	reply := c.replies[min(n, len(c.replies)-1)]
	reply.Sequence = r.Sequence
	if n == len(c.replies) {
		close(c.done)
	}
	return reply, nil
}

func (c *control) Watch(ctx context.Context, _ *wire.WatchRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[wire.Update], error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// idle is an entry VM without traffic.
type idle struct{}

func (idle) FillRequest(context.Context, *wire.RenewRequest) []lease.Usage { return nil }
func (idle) LeaseGranted(renewal.ConfigLease)                              {}
func (idle) WatchRequest(context.Context) (*wire.WatchRequest, bool) {
	return &wire.WatchRequest{}, true
}
func (idle) Update(*wire.Update)   {}
func (idle) Leased(time.Time) bool { return false }
func (idle) Renewed(bool)          {}

// TestAgeGrowsUntilLeaderAnswers guards against an entry VM that reports the age of its first attempt when a
// leader registers it much later. After a restart of all VMs, the time without any admission counts toward
// the credits.
func TestAgeGrowsUntilLeaderAnswers(t *testing.T) {
	c := &control{replies: []*wire.RenewReply{{}, {Leader: true, Term: 3}}, done: make(chan struct{})}
	var mu sync.Mutex
	now := time.Unix(1000, 0)
	clock := func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		now = now.Add(200 * time.Millisecond)
		return now
	}
	client := renewal.New(idle{}, renewal.Options{
		Registration: &wire.Registration{Entry: "e"}, Controls: func() []string { return []string{"c"} }, Now: clock, MinInterval: renewal.DefaultMinInterval,
		Dial: func(string) (wire.ControlClient, io.Closer, error) { return c, io.NopCloser(nil), nil },
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go client.Run(ctx)
	<-c.done
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Greater(t, c.ages[1], c.ages[0])
	require.Equal(t, c.ages[1], c.ages[2], "a registration must not change once a leader has received it")
}

// TestRenewsMayFollowInShortBursts guards against operations that wait for the whole minimum interval after a
// start, and against an entry VM that renews without pause under varying demand.
func TestRenewsMayFollowInShortBursts(t *testing.T) {
	const long, maxWait = 100 * time.Millisecond, 500 * time.Millisecond
	now := time.Unix(1000, 0)
	client := renewal.New(idle{}, renewal.Options{
		Controls: func() []string { return []string{"c"} }, Now: func() time.Time { return now }, MinInterval: long,
	})
	for range 3 {
		require.Equal(t, renewal.DefaultMinInterval, renewal.MinPause(client, now, maxWait))
		renewal.SpendToken(client, renewal.DefaultMinInterval, maxWait)
	}
	require.Equal(t, long, renewal.MinPause(client, now, maxWait))
	renewal.SpendToken(client, long, maxWait)
	now = now.Add(2 * time.Second)
	require.Equal(t, renewal.DefaultMinInterval, renewal.MinPause(client, now, maxWait))
	renewal.SpendToken(client, maxWait, maxWait)
	require.Equal(t, renewal.DefaultMinInterval, renewal.MinPause(client, now, maxWait), "a Renew after the minimum interval must not take a token")
}
