package proxy

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/forward"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

const (
	// minBackoff and againMost bound the pause before a statement that did not run is sent again.
	minBackoff = 8 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// execution is the work on one statement until it has an answer or its time is over.
type execution struct {
	session        *Session
	permit         *permit
	st             operation.Statement
	deadline       time.Time
	targetDeadline time.Time // when the answer is late for the caller; zero for none
	attempts       int
	triedServers   []string // instances that refused a read
	lastAnswer     operation.Answer
	lastReason     string // why the last try did not run
}

func (e *execution) now() time.Time { return e.session.proxy.options.Now() }

// remaining returns the time that is left.
func (e *execution) remaining() time.Duration { return e.deadline.Sub(e.now()) }

func (e *execution) connRequest(hold bool) connRequest {
	return connRequest{account: e.permit.account.name, weight: e.permit.account.weight, read: !e.st.Writes(), pinned: hold}
}

// pause waits before the next try, or until the channel closes. It is false if the time is over.
func (e *execution) pause(ctx context.Context, wait time.Duration, changed <-chan struct{}) bool {
	e.attempts++
	e.permit.trace.attempts++
	e.session.proxy.metrics.retries.Add(1)
	if e.remaining() <= wait {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// recordFailure keeps why a try did not run.
func (e *execution) recordFailure(a operation.Answer, reason string) {
	e.lastAnswer, e.lastReason = a, reason
}

// giveUp is the answer to a statement that did not run in its time.
func (e *execution) giveUp() operation.Answer {
	code := e.lastAnswer.Code
	if code == operation.Done || code == operation.NoStatement {
		code = operation.Busy
	}
	reason := e.lastReason
	if reason == "" {
		reason = reasonLate
	}
	t := &e.permit.trace
	detail := fmt.Sprintf("the statement did not run; come back in %s (group %s, server %s asked last, %d tries)",
		retryAfter(reason), e.permit.route.group.name, t.lastServer, t.attempts)
	return e.session.proxy.refuse(e.st.ID, code, reason, detail)
}

// runSingle runs a statement outside a transaction.
func (s *Session) runSingle(ctx context.Context, arrived time.Time, p *permit, st operation.Statement) operation.Answer {
	until := arrived.Add(p.route.timeout)
	ctx, cancel := context.WithTimeout(ctx, p.route.timeout)
	defer cancel()
	e := &execution{session: s, permit: p, st: st, deadline: until, targetDeadline: p.targetDeadline(arrived)}
	switch {
	case st.Writes():
		return e.write(ctx)
	case p.route.maxStaleness > 0:
		return e.readAtReplica(ctx)
	}
	return e.readAtPrimary(ctx)
}

// write runs a write at the primary. It is sent again only if it certainly did not run.
func (e *execution) write(ctx context.Context) operation.Answer {
	for {
		m, ok := e.awaitPrimary(ctx)
		if !ok {
			return e.giveUp()
		}
		h := e.permit.route.group.newConn(m, e.connRequest(false))
		sent := e.now()
		answers, err := e.run(ctx, h, e.st)
		h.Release()
		if len(answers) > 0 && !answers[0].Code.NotRun() {
			e.recordCommit(m, sent, answers[0])
			return answers[0]
		}
		if isOutcomeUnknown(err) {
			if isUnreachable(err) {
				e.permit.route.group.recordUnreachable(string(m.id))
			}
			return e.inDoubt()
		}
		if !e.prepareRetry(ctx, m, answers, err) {
			return e.giveUp()
		}
	}
}

// inDoubt is the answer when it is not known whether a write took effect.
func (e *execution) inDoubt() operation.Answer {
	code := operation.InDoubt
	if e.remaining() <= 0 {
		code = operation.TimedOut
	}
	return e.session.proxy.refuse(e.st.ID, code, reasonLink, "the outcome is not known; look before doing it again")
}

// recordCommit notes a write that took effect.
func (e *execution) recordCommit(m *member, sent time.Time, a operation.Answer) {
	if a.Code != operation.Done || a.At.IsZero() {
		return
	}
	e.permit.route.group.recordPrimary(sent, string(m.id), a.At)
	e.session.floor = a.At
}

// run sends statements on a connection in the state of the session.
func (e *execution) run(ctx context.Context, h runner, statements ...operation.Statement) ([]operation.Answer, error) {
	sent := e.now()
	answers, err := h.Run(ctx, connpool.Limit{Until: e.deadline, Target: e.targetDeadline}, e.session.values, statements...)
	e.permit.trace.run += e.now().Sub(sent)
	return answers, err
}

// prepareRetry notes why a try did not run and waits before the next one. It is false if there is no use in
// another try.
func (e *execution) prepareRetry(ctx context.Context, m *member, answers []operation.Answer, err error) bool {
	g := e.permit.route.group
	e.permit.trace.lastServer = string(m.id)
	var refused *connpool.RefusedError
	switch {
	case len(answers) > 0 && answers[len(answers)-1].Code.NotRun():
		e.recordNotRun(m, answers[len(answers)-1])
	case errors.As(err, &refused):
		e.recordFailure(operation.Answer{Code: refused.Code}, reasonFull)
		e.triedServers = append(e.triedServers, string(m.id))
	case errors.Is(err, connpool.ErrClosed):
		// The entry VM that kept the connections left; another one is asked at once.
		e.recordFailure(operation.Answer{Code: operation.Busy}, reasonLeft)
		return e.pause(ctx, 0, nil)
	case isUnreachable(err):
		g.recordUnreachable(string(m.id))
		e.recordFailure(operation.Answer{Code: operation.Busy}, reasonLink)
		e.triedServers = append(e.triedServers, string(m.id))
	case errors.Is(err, forward.ErrPeerLost):
		// Only reads come here; another entry VM is asked.
		e.recordFailure(operation.Answer{Code: operation.Busy}, reasonPeer)
	default:
		e.recordFailure(operation.Answer{Code: operation.Busy}, reasonLate)
		return false
	}
	return e.pause(ctx, e.backoff(), nil)
}

// recordNotRun notes why an instance did not run a statement.
func (e *execution) recordNotRun(m *member, a operation.Answer) {
	switch a.Code {
	case operation.ReadOnly:
		e.permit.route.group.recordNotPrimary(string(m.id))
		e.recordFailure(a, reasonPrimary)
	case operation.Lagging:
		e.triedServers = append(e.triedServers, string(m.id))
		e.recordFailure(a, reasonLag)
	default:
		e.triedServers = append(e.triedServers, string(m.id))
		e.recordFailure(a, reasonFull)
	}
}

// awaitPrimary waits for an instance to ask as the primary. It is false if the time is over.
func (e *execution) awaitPrimary(ctx context.Context) (*member, bool) {
	for {
		m, wait, changed := e.permit.route.group.primaryTarget(e.now(), true)
		if m != nil {
			return m, true
		}
		e.recordFailure(operation.Answer{Code: operation.Busy}, reasonPrimary)
		if !e.pause(ctx, wait, changed) {
			return nil, false
		}
	}
}

// readAtPrimary reads at an instance that proves by a plain transaction that it leads.
func (e *execution) readAtPrimary(ctx context.Context) operation.Answer {
	g := e.permit.route.group
	for {
		m, ok := e.awaitPrimary(ctx)
		if !ok {
			return e.giveUp()
		}
		h := g.newConn(m, e.connRequest(false))
		sent := e.now()
		answers, err := e.run(ctx, h, operation.Statement{Kind: operation.Begin}, e.st)
		h.Release()
		g.recordPrimaryAnswer(m, sent, answers, err)
		if len(answers) == 2 && !answers[1].Code.NotRun() {
			e.session.proxy.metrics.primary.Add(1)
			a := answers[1]
			a.State = operation.Idle
			return a
		}
		if !e.prepareRetry(ctx, m, answers, err) {
			return e.giveUp()
		}
	}
}

// readAtReplica reads at any instance that holds what the session must see.
func (e *execution) readAtReplica(ctx context.Context) operation.Answer {
	g := e.permit.route.group
	for {
		m, floor, ok := e.awaitReadTarget(ctx)
		if !ok {
			return e.giveUp()
		}
		st := e.st
		st.After = floor
		h := g.newConn(m, e.connRequest(false))
		answers, err := e.run(ctx, h, st)
		h.Release()
		if len(answers) > 0 && !answers[0].Code.NotRun() {
			e.session.proxy.countRead(g, string(m.id))
			return answers[0]
		}
		if !e.prepareRetry(ctx, m, answers, err) {
			return e.giveUp()
		}
	}
}

// backoff is the pause after a try that did not run. It is short while another instance is left to ask.
func (e *execution) backoff() time.Duration {
	if n := len(e.triedServers); n > 0 && n < 3 && e.lastReason != reasonPrimary {
		return 0
	}
	return min(minBackoff<<min(e.attempts, 5), maxBackoff)
}

// awaitReadTarget waits for an instance that may serve the read, and returns what it must hold.
func (e *execution) awaitReadTarget(ctx context.Context) (*member, position.Position, bool) {
	g := e.permit.route.group
	for {
		asked := e.now()
		floor, ok := g.floor(ctx, e.permit.account.name, e.permit.route.maxStaleness, e.session.floor)
		took := e.now().Sub(asked)
		e.session.proxy.metrics.proofs.Add(took)
		e.permit.trace.proof += took
		if !ok {
			e.recordFailure(operation.Answer{Code: operation.Busy}, reasonPrimary)
			return nil, floor, false
		}
		if m := g.readTarget(e.now(), floor, e.triedServers); m != nil {
			return m, floor, true
		}
		e.triedServers = e.triedServers[:0]
		if !e.pause(ctx, maxBackoff/4, nil) {
			return nil, floor, false
		}
	}
}
