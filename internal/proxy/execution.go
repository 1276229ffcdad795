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
	// minBackoff and maxBackoff bound the pause before a statement that did not run is retried.
	minBackoff = 8 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// execution runs one statement, with retries, until it has an answer or its deadline passes.
type execution struct {
	session        *Session
	permit         *permit
	st             operation.Statement
	deadline       time.Time
	targetDeadline time.Time // time after which the answer is late for the caller; zero for none
	attempts       int
	triedServers   []string // instances that did not run the statement
	lastAnswer     operation.Answer
	lastReason     string        // why the last attempt did not run
	reported       string        // on which report a refusal is based; empty for none
	waitRetry      time.Duration // when to come back according to a report; 0 without one
	coldRetry      time.Duration // when to come back, if lastReason is reasonCold
}

func (e *execution) now() time.Time { return e.session.proxy.options.Now() }

// remaining returns the time until the deadline.
func (e *execution) remaining() time.Duration { return e.deadline.Sub(e.now()) }

func (e *execution) connRequest(pinned bool) connRequest {
	return connRequest{account: e.permit.account.name, weight: e.permit.account.weight, read: !e.st.Writes(), pinned: pinned, priority: e.permit.route.priority}
}

// pause waits before the next attempt, or until changed closes. It returns false if the deadline would pass, or if the
// statement must not wait any longer.
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
	case <-changed:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// recordFailure records why an attempt did not run.
func (e *execution) recordFailure(a operation.Answer, reason string) {
	e.lastAnswer, e.lastReason = a, reason
}

// giveUp returns the answer to a statement that did not run before its deadline.
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
	detail := fmt.Sprintf("the statement did not run%s; come back in %s (group %s, server %s asked last, %d tries)",
		cause(reason), e.comeBack(reason), e.permit.route.group.name, t.lastServer, t.attempts) + e.reported
	if reason == reasonHome {
		detail = e.homeDetail()
	}
	return e.session.proxy.refuse(e.st.ID, code, reason, detail)
}

// runSingle runs a statement outside a transaction.
func (s *Session) runSingle(ctx context.Context, arrived time.Time, p *permit, st operation.Statement) operation.Answer {
	until := s.proxy.deadline(arrived, p.route.timeout)
	ctx, cancel := context.WithTimeout(ctx, until.Sub(arrived))
	defer cancel()
	e := &execution{session: s, permit: p, st: st, deadline: until, targetDeadline: p.targetDeadline(arrived)}
	switch {
	case st.Writes():
		return e.write(ctx)
	case p.route.maxStaleness > 0:
		return e.readAtAny(ctx)
	}
	return e.readAtPrimary(ctx)
}

// write runs a write at the primary. It is retried only if it certainly did not run.
func (e *execution) write(ctx context.Context) operation.Answer {
	for {
		m, ok := e.awaitPrimary(ctx)
		if !ok {
			return e.giveUp()
		}
		answers, sent, err := e.runAt(ctx, m, e.st)
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

// inDoubt returns the answer if it is unknown whether a write took effect.
func (e *execution) inDoubt() operation.Answer {
	code := operation.InDoubt
	if e.remaining() <= 0 {
		code = operation.TimedOut
	}
	return e.session.proxy.refuse(e.st.ID, code, reasonLink, "the outcome is not known; look before doing it again")
}

// recordCommit records the position of a write that took effect, as a proof and as a floor of the session in the group.
func (e *execution) recordCommit(m *member, sent time.Time, a operation.Answer) {
	if a.Code != operation.Done || a.At.IsZero() {
		return
	}
	e.permit.route.group.recordPrimary(sent, string(m.id), a.At)
	e.session.floors.Raise(e.permit.route.group.sessionID(), a.At)
}

// run runs statements on a connection with the session values.
func (e *execution) run(ctx context.Context, h runner, statements ...operation.Statement) ([]operation.Answer, error) {
	sent := e.now()
	answers, err := h.Run(ctx, connpool.Limit{Until: e.deadline, Target: e.targetDeadline}, e.session.values, statements...)
	e.permit.trace.run += e.now().Sub(sent)
	return answers, err
}

// runAt runs statements on a connection to an instance, which is released afterwards. sent is not later than they were sent.
func (e *execution) runAt(ctx context.Context, m *member, statements ...operation.Statement) (answers []operation.Answer, sent time.Time, err error) {
	h := e.permit.route.group.newConn(m, e.connRequest(false))
	defer h.Release()
	sent = e.now()
	answers, err = e.run(ctx, h, statements...)
	return answers, sent, err
}

// prepareRetry records why an attempt did not run and waits before the next one. It returns false if another
// attempt is pointless.
func (e *execution) prepareRetry(ctx context.Context, m *member, answers []operation.Answer, err error) bool {
	g := e.permit.route.group
	e.permit.trace.lastServer = string(m.id)
	var refused *connpool.RefusedError
	switch {
	case len(answers) > 0 && answers[len(answers)-1].Code.NotRun():
		e.recordNotRun(m, answers[len(answers)-1])
	case m.isColdRefusal(e.now(), err):
		e.recordCold(m)
	case errors.As(err, &refused):
		e.recordFailure(operation.Answer{Code: refused.Code}, reasonFull)
		e.triedServers = append(e.triedServers, string(m.id))
	case errors.Is(err, connpool.ErrEvacuated):
		// The view that this VM applied meanwhile leaves the instance out of the next choice.
		e.recordFailure(operation.Answer{Code: operation.Busy}, reasonEvacuated)
		return e.pause(ctx, 0, nil)
	case errors.Is(err, connpool.ErrClosed):
		// The entry VM that owned the connections shuts down; retry with another one at once.
		e.recordFailure(operation.Answer{Code: operation.Busy}, reasonLeft)
		return e.pause(ctx, 0, nil)
	case isUnreachable(err):
		g.recordUnreachable(string(m.id))
		e.recordFailure(operation.Answer{Code: operation.Busy}, reasonLink)
		e.triedServers = append(e.triedServers, string(m.id))
	case errors.Is(err, forward.ErrPeerLost):
		// Only reads get here; retry with another entry VM.
		e.recordFailure(operation.Answer{Code: operation.Busy}, reasonPeer)
	default:
		e.recordFailure(operation.Answer{Code: operation.Busy}, reasonLate)
		return false
	}
	return e.pause(ctx, e.backoff(), nil)
}

// recordNotRun records why an instance did not run a statement.
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

// awaitPrimary waits for an instance to use as the primary. It returns false if the deadline would pass, or at once if the
// primary leaves and has no successor yet, if a failover is stalled, or if all members are evacuated: nobody knows when there
// will be one.
func (e *execution) awaitPrimary(ctx context.Context) (*member, bool) {
	for {
		if e.lastReason == reasonCold {
			return nil, false // no other instance could run it
		}
		g := e.permit.route.group
		m, wait, changed := g.primaryTarget(e.now(), true)
		if m != nil && !e.runsAt(m) {
			e.refuseHome("primary")
			return nil, false
		}
		if m != nil {
			return m, !e.cannotWait(m)
		}
		e.recordFailure(operation.Answer{Code: operation.Busy}, g.missingPrimaryReason())
		if g.allEvacuated() || g.isRefusing() || g.primaryIsLeaving(e.now()) || !e.pause(ctx, wait, changed) {
			return nil, false
		}
	}
}

// readAtPrimary reads current data in a read-write transaction, which begins only at an instance that leads.
func (e *execution) readAtPrimary(ctx context.Context) operation.Answer {
	g := e.permit.route.group
	for {
		m, ok := e.awaitPrimary(ctx)
		if !ok {
			return e.giveUp()
		}
		r := e.readHedged(ctx, m, operation.Statement{Kind: operation.Begin}, e.st)
		g.recordPrimaryAnswer(m, r.sent, r.answers, r.err)
		if r.ran() {
			e.session.proxy.metrics.primary.Add(1)
			a := r.answers[1]
			a.State = operation.Idle
			return a
		}
		if !e.prepareRetry(ctx, m, r.answers, r.err) {
			return e.giveUp()
		}
	}
}

// readAtAny reads at any instance whose log has reached the position that the session must see.
func (e *execution) readAtAny(ctx context.Context) operation.Answer {
	g := e.permit.route.group
	for {
		m, floor, ok := e.awaitReadTarget(ctx)
		if !ok {
			return e.giveUp()
		}
		st := e.st
		st.After = floor
		r := e.readHedged(ctx, m, st)
		if r.ran() {
			e.session.proxy.countRead(g, string(r.member.id))
			return r.answers[0]
		}
		if !e.prepareRetry(ctx, r.member, r.answers, r.err) {
			return e.giveUp()
		}
	}
}

// backoff returns the pause after an attempt that did not run. It is zero while other instances remain to be
// tried.
func (e *execution) backoff() time.Duration {
	if n := len(e.triedServers); n > 0 && n < 3 && e.lastReason != reasonPrimary {
		return 0
	}
	return min(minBackoff<<min(e.attempts, 5), maxBackoff)
}

// awaitReadTarget waits for an instance that may serve the read, and returns it with the minimum log position
// that the read must see.
func (e *execution) awaitReadTarget(ctx context.Context) (*member, position.Position, bool) {
	g := e.permit.route.group
	for {
		if g.allEvacuated() {
			e.recordFailure(operation.Answer{Code: operation.Busy}, reasonEvacuated)
			return nil, position.Position{}, false
		}
		if e.hasHomes() && g.allOutside(e.runsAt) {
			e.refuseHome("instance")
			return nil, position.Position{}, false
		}
		if e.cannotWait(nil) {
			return nil, position.Position{}, false
		}
		started := e.now()
		floor, ok := g.floor(ctx, e.permit.account.name, e.permit.route.maxStaleness, e.session.floors.Floor(g.sessionID()))
		took := e.now().Sub(started)
		e.session.proxy.metrics.proofs.Add(took)
		e.permit.trace.proof += took
		if !ok {
			e.recordFailure(operation.Answer{Code: operation.Busy}, g.missingPrimaryReason())
			return nil, floor, false
		}
		if m := g.readTarget(e.now(), floor, e.triedServers, e.connRequest(false), e.runsAt); m != nil {
			return m, floor, true
		}
		if g.onlyCold(e.now(), e.runsAt) {
			e.refuseCold()
			return nil, floor, false
		}
		e.triedServers = e.triedServers[:0]
		if !e.pause(ctx, maxBackoff/4, nil) {
			return nil, floor, false
		}
	}
}
