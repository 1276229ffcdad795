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
	tries      int
	server     string // asked last
}

// slow logs an operation that took longer than its callers expect.
func (r *Proxy) slow(p *permit, st *operation.Statement, kind string) {
	t := &p.trace
	if p.route.target <= 0 || t.total <= p.route.target {
		return
	}
	r.metrics.slow.Add(1)
	log.WithFields(log.Fields{
		"event": "slow", "request": st.ID, "kind": kind, "route": p.route.name, "account": p.account.name, "total": t.total,
		"credit": t.credit, "proof": t.proof, "run": t.run, "statements": t.statements, "tries": t.tries, "server": t.server,
	}).Info("operation above its target")
}
