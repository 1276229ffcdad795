package proxy

import (
	"time"

	"github.com/apex/log"

	"fireflyrudder.example/fireflyrudder/internal/operation"
)

// trace accumulates where an operation spends its time, for the log line of a slow operation.
type trace struct {
	credit     time.Duration // wait for a rate credit
	proof      time.Duration // wait for a proof of the position that a read must see
	run        time.Duration // at instances, including the wait for a slot and a connection
	total      time.Duration // all statements, without pauses of the caller
	statements int
	attempts   int
	lastServer string // instance used last
}

// logSlow logs an operation that exceeded the latency target of its route.
func (p *Proxy) logSlow(op *permit, st *operation.Statement, kind string) {
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
