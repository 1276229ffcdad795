package proxy

import (
	"context"
	"expvar"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/operation"
)

// UseWaits enables reports of expected waits.
func (z *ZoneVM) UseWaits() { z.proxy.options.Waits, z.group.waits = true, true }

// peerRunner is an entry VM that owns the connections to an instance, with the outcome of the next statement.
type peerRunner struct {
	waits []time.Duration
	err   error
}

func (r peerRunner) Run(context.Context, connpool.Limit, map[string]string, ...operation.Statement) ([]operation.Answer, error) {
	return nil, r.err
}

func (r peerRunner) Prove(context.Context, connpool.Limit, time.Duration) (connpool.Proof, error) {
	return connpool.Proof{}, r.err
}

func (r peerRunner) Release() {}

func (r peerRunner) Waits() []time.Duration { return r.waits }

// Forward records the outcome of a write for an account that another entry VM handled, with the waits that it reported.
func (z *ZoneVM) Forward(ctx context.Context, account string, waits []time.Duration, err error) {
	c := &serverConn{
		runner: peerRunner{waits, err}, group: z.group, member: z.group.members[0], request: connRequest{account: account}, peerAddress: "owner",
	}
	_, _ = c.Run(ctx, connpool.Limit{}, nil, operation.Statement{Kind: operation.Write})
}

// KnowsWaits reports whether the VM keeps a fresh report for the instance.
func (z *ZoneVM) KnowsWaits() bool {
	_, ok := z.group.members[0].stats.Waits.Latest(z.proxy.options.Now(), 0)
	return ok
}

// Run runs a statement of a session on a route for current data.
func (z *ZoneVM) Run(ctx context.Context, name string, st operation.Statement, timeout time.Duration) operation.Answer {
	p := &permit{route: &route{group: z.group, timeout: timeout}, account: &account{name: name, weight: 1}}
	return OpenSession(z.proxy).runSingle(ctx, z.proxy.options.Now(), p, st)
}

// RunAged runs a read that may see data of the given age.
func (z *ZoneVM) RunAged(ctx context.Context, name string, age, timeout time.Duration) operation.Answer {
	p := &permit{route: &route{group: z.group, timeout: timeout, maxStaleness: age}, account: &account{name: name, weight: 1}}
	return OpenSession(z.proxy).runSingle(ctx, z.proxy.options.Now(), p, operation.Statement{ID: "1", Kind: operation.Read})
}

// EarlyRefusals returns the number of statements refused by reports.
func (z *ZoneVM) EarlyRefusals() (sum int64) {
	z.proxy.metrics.early.Do(func(kv expvar.KeyValue) { sum += kv.Value.(*expvar.Int).Value() })
	return sum
}
