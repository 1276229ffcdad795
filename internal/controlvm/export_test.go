package controlvm

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/controllog"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// PostgresClient exposes the calls to backend servers to tests.
type PostgresClient struct{ b *postgresClient }

// NewPostgresClient returns a client for tests.
func NewPostgresClient(user string) *PostgresClient {
	return &PostgresClient{newPostgresClient(user, "", "test", newMetrics())}
}

// Close closes all connections.
func (b *PostgresClient) Close() { b.b.Close() }

// Fence returns the role and the position that the instance reports with its promise.
func (b *PostgresClient) Fence(ctx context.Context, address string, term uint64) (role string, pos uint64, err error) {
	i, err := b.b.fence(ctx, address, term)
	return i.Role, i.Pos, err
}

// Promote returns the role and the history that the instance reports.
func (b *PostgresClient) Promote(ctx context.Context, address string, term uint64) (role, history string, err error) {
	i, err := b.b.promote(ctx, address, term)
	return i.Role, i.History.String(), err
}

// Follow returns the role that the instance reports.
func (b *PostgresClient) Follow(ctx context.Context, address string, term uint64, primary string) (string, error) {
	i, err := b.b.follow(ctx, address, term, primary)
	return i.Role, err
}

// Status returns the name of the primary that the instance reports.
func (b *PostgresClient) Status(ctx context.Context, address string) (string, error) {
	i, err := b.b.status(ctx, address)
	return i.Primary, err
}

// Terminate closes the connections of an entry VM.
func (b *PostgresClient) Terminate(ctx context.Context, address, entry string) error {
	return b.b.Terminate(ctx, address, entry)
}

// PromisedHigher exposes promisedHigher to tests.
var PromisedHigher = promisedHigher

// Freeze blocks the event loop to simulate a frozen process. Events and messages are queued meanwhile.
func (vm *VM) Freeze(d time.Duration) {
	_ = vm.inbox.Post(context.Background(), func(time.Time) { time.Sleep(d) })
}

// CallSizes returns the sizes in bytes of the calls that deliver messages to one address.
func CallSizes(messages []*wire.VoterMessage) []int {
	o := newOutbox(nil, newMetrics())
	for _, m := range messages {
		o.enqueue(controllog.Send{Address: "vm", Message: m})
	}
	var sizes []int
	q := o.queues["vm"]
	if q == nil {
		return nil
	}
	for call := o.dequeue(q); len(call) > 0; call = o.dequeue(q) {
		sizes = append(sizes, proto.Size(&wire.DeliverRequest{Messages: call}))
	}
	return sizes
}

// ColdRecord simulates what a control leader records of the warm-up of one instance.
type ColdRecord struct {
	Known   *wire.Member // as in the control log
	Entries int          // written to the control log
	warmth  *warmth
}

// ChangeLeader makes another control VM the leader.
func (c *ColdRecord) ChangeLeader() { c.warmth = newWarmth() }

// Announce handles an announcement at the leader. Its entry is lost if the leader fails before it is durable.
func (c *ColdRecord) Announce(now time.Time, m *wire.Member, lost bool) {
	if sameMember(m, c.Known) && c.warmth.matches(now, m, c.Known) {
		return
	}
	c.warmth.record(now, m)
	if !lost {
		c.Known = m
		c.Entries++
	}
}
