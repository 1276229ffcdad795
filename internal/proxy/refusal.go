package proxy

import (
	"time"

	"github.com/apex/log"

	"fireflyrudder.example/fireflyrudder/internal/operation"
)

// Reasons for refusals, as written to logs and counters.
const (
	reasonLease   = "lease"   // no configuration lease
	reasonRoute   = "route"   // unknown route
	reasonKey     = "key"     // unknown key
	reasonRate    = "rate"    // the client account is above its rate
	reasonPrimary = "primary" // no instance leads the group
	reasonHome    = "home"    // no instance is in a region in which the statement may run
	reasonCold    = "cold"    // the instance has just started and gets no more statements now
	reasonLag     = "lag"     // no instance has reached the position that the session must see
	reasonFull    = "full"    // the instance accepts no more connections or statements
	reasonLink    = "link"    // the instance did not answer
	reasonPeer    = "peer"    // the entry VM that owns the connections did not answer
	reasonLeft    = "left"    // the pool is closed: the instance left, or the owner of its connections shuts down
	reasonLate    = "late"    // the statement did not run or was not answered in time
	reasonStop    = "stop"    // the entry VM shuts down
	reasonGone    = "gone"    // the caller left before the statement began
	reasonSyntax  = "syntax"  // the statement cannot be parsed
	// reasonEvacuated: the availability zone of the instance is evacuated.
	reasonEvacuated = "evacuated"
	// reasonStalled: no instance leads the group, and a failover waits for instances or for the platform.
	reasonStalled = "stalled"
)

// retryAfter returns the recommended time before a caller retries.
func retryAfter(reason string) time.Duration {
	switch reason {
	case reasonPrimary, reasonStalled, reasonLink, reasonHome, reasonEvacuated:
		return time.Second
	case reasonLag:
		return 500 * time.Millisecond
	}
	return 100 * time.Millisecond
}

// cause returns the cause of a refusal that its reason alone explains, for the text of the answer.
func cause(reason string) string {
	switch reason {
	case reasonEvacuated:
		return ": the availability zone is evacuated"
	case reasonStalled:
		return ": the primary is lost, and cannot be replaced safely yet"
	}
	return ""
}

// refuse counts and logs a refusal by this VM and returns the answer.
func (p *Proxy) refuse(id string, code operation.Code, reason, detail string) operation.Answer {
	p.metrics.reasons.Add(reason, 1)
	log.WithFields(log.Fields{
		"event": "refusal", "request": id, "code": code.String(), "reason": reason, "detail": detail, "version": p.config.Load().version,
	}).Info("statement refused")
	return operation.Answer{Code: code, Detail: detail}
}

// CountAbandoned counts and logs a statement that does not run because its caller has left.
func (p *Proxy) CountAbandoned(id string) {
	p.metrics.reasons.Add(reasonGone, 1)
	log.WithFields(log.Fields{"event": "refusal", "request": id, "reason": reasonGone}).Info("statement of a caller who left dropped")
}

// logFailure logs an unsuccessful answer of an instance and returns it.
func (p *Proxy) logFailure(id string, a operation.Answer) operation.Answer {
	log.WithFields(log.Fields{"event": "answer", "request": id, "code": a.Code.String(), "detail": a.Detail}).Info("statement failed at the backend server")
	return a
}

// summarize logs latencies and refusals since the start of the process.
func (p *Proxy) summarize() {
	m := p.metrics
	fields := log.Fields{
		"event": "summary", "sessions": m.sessions.Value(), "credit": m.waits.Summary(), "proof": m.proofs.Summary(),
		"read": m.reads.Summary(), "change": m.changes.Summary(), "retries": m.retries.Value(), "refusals": m.reasons.String(),
	}
	fields["sent"], fields["received"] = p.options.Traffic.Summary()
	for stage, name := range stageNames {
		fields[name] = m.stages[stage].Summary()
	}
	log.WithFields(fields).Info("summary")
}

// observe records the latency of a successful statement.
func (p *Proxy) observe(st *operation.Statement, a operation.Answer, elapsed time.Duration) {
	switch {
	case a.Code != operation.Done:
	case st.Writes() || st.Kind == operation.Commit:
		p.metrics.writes.Add(1)
		p.metrics.changes.Add(elapsed)
	default:
		p.metrics.reads.Add(elapsed)
	}
}

// countRead counts a read by the role of the instance that served it.
func (p *Proxy) countRead(g *group, server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary == server {
		p.metrics.primary.Add(1)
		return
	}
	p.metrics.replica.Add(1)
}
