package proxy

import (
	"time"

	"github.com/apex/log"

	"fireflyrudder.example/fireflyrudder/internal/operation"
)

// trace adds up where an operation spends its time, for the log line of a slow one.
type trace struct {
	credit     time.Duration // wait for a rate credit
	proof      time.Duration // wait for a proof of what a read must see
	run        time.Duration // at instances, with the wait for room there
	total      time.Duration // all statements, without the caller's pauses
	statements int
	attempts   int
	lastServer string // asked last
}

// slow logs an operation that took longer than its callers expect.
func (p *Proxy) slow(op *permit, st *operation.Statement, kind string) {
	t := &op.trace
	if op.route.targetLatency <= 0 || t.total <= op.route.targetLatency {
		return
	}
	p.metrics.slow.Add(1)
	log.WithFields(log.Fields{
		"event": "slow", "request": st.ID, "kind": kind, "route": op.route.name, "account": op.account.name, "total": t.total,
		"credit": t.credit, "proof": t.proof, "run": t.run, "statements": t.statements, "tries": t.attempts, "server": t.lastServer,
	}).Info("operation above its target")
}
