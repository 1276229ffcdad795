package proxy

import (
	"context"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/placement"
)

// HedgedRead reads at the first of some instances and returns the one that answered, how many reads were sent twice, and
// how many of the second ones were answered first. The answers of earlier reads took 10 ms.
func HedgedRead(ctx context.Context, dial connpool.Dialer, servers ...string) (answered string, hedged, wins int64) {
	e, g := overdueRead(dial, servers)
	p := e.session.proxy
	r := e.readHedged(ctx, g.members[0], e.st)
	if !r.ran() {
		return "", p.metrics.hedged.Value(), p.metrics.hedgeWins.Value()
	}
	return string(r.member.id), p.metrics.hedged.Value(), p.metrics.hedgeWins.Value()
}

// FailingAfterHedge reads at the first of some instances, ends the read as a session does once it has an answer, and reports
// whether the first instance counts as failing then.
func FailingAfterHedge(ctx context.Context, cancel func(), dial connpool.Dialer, servers ...string) bool {
	e, g := overdueRead(dial, servers)
	e.readHedged(ctx, g.members[0], e.st)
	cancel()
	time.Sleep(100 * time.Millisecond) // the other attempt ends
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[0].stats.Failing()
}

// overdueRead returns the execution of a read at a group of some instances. The answers of earlier reads took 10 ms.
func overdueRead(dial connpool.Dialer, servers []string) (*execution, *group) {
	p := New(Options{Now: time.Now, Controls: func() []string { return nil }})
	g := newGroup("group", p)
	for _, name := range servers {
		pool := connpool.New(connpool.Options{Server: name, Dial: dial, Now: time.Now, Slots: 2, Connections: 2})
		g.members = append(g.members, &member{id: placement.ServerID(name), pool: pool, stats: placement.NewInstanceStats(initialLatency)})
	}
	for range 64 {
		p.hedges.answered(10 * time.Millisecond)
	}
	now := time.Now()
	return &execution{
		session: OpenSession(p), st: operation.Statement{ID: "1", Kind: operation.Read}, deadline: now.Add(10 * time.Second), targetDeadline: now.Add(time.Second),
		permit: &permit{route: &route{group: g, maxStaleness: time.Second}, account: &account{name: publicAccount, weight: 1}},
	}, g
}
