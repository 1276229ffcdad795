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
	// againFirst and againMost bound the pause before a statement that did not run is sent again.
	againFirst = 8 * time.Millisecond
	againMost  = 100 * time.Millisecond
)

// effort is the work on one statement until it has an answer or its time is over.
type effort struct {
	session *Session
	permit  *permit
	st      operation.Statement
	until   time.Time
	target  time.Time // when the answer is late for the caller; zero for none
	tries   int
	tried   []string // instances that refused a read
	last    operation.Answer
	reason  string // why the last try did not run
}

func (e *effort) now() time.Time { return e.session.relay.options.Now() }

// left returns the time that is left.
func (e *effort) left() time.Duration { return e.until.Sub(e.now()) }

func (e *effort) ask(hold bool) ask {
	return ask{account: e.permit.account.name, weight: e.permit.account.weight, read: !e.st.Writes(), hold: hold}
}

// pause waits before the next try, or until the channel closes. It is false if the time is over.
func (e *effort) pause(ctx context.Context, wait time.Duration, changed <-chan struct{}) bool {
	e.tries++
	e.permit.trace.tries++
	e.session.relay.metrics.retries.Add(1)
	if e.left() <= wait {
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

// note keeps why a try did not run.
func (e *effort) note(a operation.Answer, reason string) {
	e.last, e.reason = a, reason
}

// givenUp is the answer to a statement that did not run in its time.
func (e *effort) givenUp() operation.Answer {
	code := e.last.Code
	if code == operation.Done || code == operation.NoStatement {
		code = operation.Busy
	}
	reason := e.reason
	if reason == "" {
		reason = reasonLate
	}
	t := &e.permit.trace
	detail := fmt.Sprintf("the statement did not run; come back in %s (group %s, server %s asked last, %d tries)",
		comeBack(reason), e.permit.route.group.name, t.server, t.tries)
	return e.session.relay.refuse(e.st.ID, code, reason, detail)
}

// single runs a statement outside a transaction.
func (s *Session) single(ctx context.Context, arrived time.Time, p *permit, st operation.Statement) operation.Answer {
	until := arrived.Add(p.route.timeout)
	ctx, cancel := context.WithTimeout(ctx, p.route.timeout)
	defer cancel()
	e := &effort{session: s, permit: p, st: st, until: until, target: p.lateAt(arrived)}
	switch {
	case st.Writes():
		return e.write(ctx)
	case p.route.age > 0:
		return e.readAny(ctx)
	}
	return e.readCurrent(ctx)
}

// write runs a write at the primary. It is sent again only if it certainly did not run.
func (e *effort) write(ctx context.Context) operation.Answer {
	for {
		m, ok := e.primary(ctx)
		if !ok {
			return e.givenUp()
		}
		h := e.permit.route.group.way(m, e.ask(false))
		sent := e.now()
		answers, err := e.run(ctx, h, e.st)
		h.Release()
		if len(answers) > 0 && !answers[0].Code.NotRun() {
			e.committed(m, sent, answers[0])
			return answers[0]
		}
		if isUnknown(err) {
			if isLost(err) {
				e.permit.route.group.lost(string(m.id))
			}
			return e.inDoubt()
		}
		if !e.again(ctx, m, answers, err) {
			return e.givenUp()
		}
	}
}

// inDoubt is the answer when it is not known whether a write took effect.
func (e *effort) inDoubt() operation.Answer {
	code := operation.InDoubt
	if e.left() <= 0 {
		code = operation.TimedOut
	}
	return e.session.relay.refuse(e.st.ID, code, reasonLink, "the outcome is not known; look before doing it again")
}

// committed notes a write that took effect.
func (e *effort) committed(m *member, sent time.Time, a operation.Answer) {
	if a.Code != operation.Done || a.At.IsZero() {
		return
	}
	e.permit.route.group.proved(sent, string(m.id), a.At)
	e.session.floor = a.At
}

// run sends statements on a connection in the state of the session.
func (e *effort) run(ctx context.Context, h holder, statements ...operation.Statement) ([]operation.Answer, error) {
	sent := e.now()
	answers, err := h.Run(ctx, connpool.Limit{Until: e.until, Target: e.target}, e.session.values, statements...)
	e.permit.trace.run += e.now().Sub(sent)
	return answers, err
}

// again notes why a try did not run and waits before the next one. It is false if there is no use in
// another try.
func (e *effort) again(ctx context.Context, m *member, answers []operation.Answer, err error) bool {
	g := e.permit.route.group
	e.permit.trace.server = string(m.id)
	var refused *connpool.RefusedError
	switch {
	case len(answers) > 0 && answers[len(answers)-1].Code.NotRun():
		e.notRun(m, answers[len(answers)-1])
	case errors.As(err, &refused):
		e.note(operation.Answer{Code: refused.Code}, reasonFull)
		e.tried = append(e.tried, string(m.id))
	case errors.Is(err, connpool.ErrClosed):
		// The entry VM that kept the connections left; another one is asked at once.
		e.note(operation.Answer{Code: operation.Busy}, reasonLeft)
		return e.pause(ctx, 0, nil)
	case isLost(err):
		g.lost(string(m.id))
		e.note(operation.Answer{Code: operation.Busy}, reasonLink)
		e.tried = append(e.tried, string(m.id))
	case errors.Is(err, forward.ErrPeerLost):
		// Only reads come here; another entry VM is asked.
		e.note(operation.Answer{Code: operation.Busy}, reasonPeer)
	default:
		e.note(operation.Answer{Code: operation.Busy}, reasonLate)
		return false
	}
	return e.pause(ctx, e.backoff(), nil)
}

// notRun notes why an instance did not run a statement.
func (e *effort) notRun(m *member, a operation.Answer) {
	switch a.Code {
	case operation.ReadOnly:
		e.permit.route.group.refused(string(m.id))
		e.note(a, reasonPrimary)
	case operation.Lagging:
		e.tried = append(e.tried, string(m.id))
		e.note(a, reasonLag)
	default:
		e.tried = append(e.tried, string(m.id))
		e.note(a, reasonFull)
	}
}

// primary waits for an instance to ask as the primary. It is false if the time is over.
func (e *effort) primary(ctx context.Context) (*member, bool) {
	for {
		m, wait, changed := e.permit.route.group.lead(e.now(), true)
		if m != nil {
			return m, true
		}
		e.note(operation.Answer{Code: operation.Busy}, reasonPrimary)
		if !e.pause(ctx, wait, changed) {
			return nil, false
		}
	}
}

// readCurrent reads at an instance that proves by a plain transaction that it leads.
func (e *effort) readCurrent(ctx context.Context) operation.Answer {
	g := e.permit.route.group
	for {
		m, ok := e.primary(ctx)
		if !ok {
			return e.givenUp()
		}
		h := g.way(m, e.ask(false))
		sent := e.now()
		answers, err := e.run(ctx, h, operation.Statement{Kind: operation.Begin}, e.st)
		h.Release()
		g.judge(m, sent, answers, err)
		if len(answers) == 2 && !answers[1].Code.NotRun() {
			e.session.relay.metrics.primary.Add(1)
			a := answers[1]
			a.State = operation.Idle
			return a
		}
		if !e.again(ctx, m, answers, err) {
			return e.givenUp()
		}
	}
}

// readAny reads at any instance that holds what the session must see.
func (e *effort) readAny(ctx context.Context) operation.Answer {
	g := e.permit.route.group
	for {
		m, floor, ok := e.reader(ctx)
		if !ok {
			return e.givenUp()
		}
		st := e.st
		st.After = floor
		h := g.way(m, e.ask(false))
		answers, err := e.run(ctx, h, st)
		h.Release()
		if len(answers) > 0 && !answers[0].Code.NotRun() {
			e.session.relay.countRead(g, string(m.id))
			return answers[0]
		}
		if !e.again(ctx, m, answers, err) {
			return e.givenUp()
		}
	}
}

// backoff is the pause after a try that did not run. It is short while another instance is left to ask.
func (e *effort) backoff() time.Duration {
	if n := len(e.tried); n > 0 && n < 3 && e.reason != reasonPrimary {
		return 0
	}
	return min(againFirst<<min(e.tries, 5), againMost)
}

// reader waits for an instance that may serve the read, and returns what it must hold.
func (e *effort) reader(ctx context.Context) (*member, position.Position, bool) {
	g := e.permit.route.group
	for {
		asked := e.now()
		floor, ok := g.floor(ctx, e.permit.account.name, e.permit.route.age, e.session.floor)
		took := e.now().Sub(asked)
		e.session.relay.metrics.proofs.Add(took)
		e.permit.trace.proof += took
		if !ok {
			e.note(operation.Answer{Code: operation.Busy}, reasonPrimary)
			return nil, floor, false
		}
		if m := g.choose(e.now(), floor, e.tried); m != nil {
			return m, floor, true
		}
		e.tried = e.tried[:0]
		if !e.pause(ctx, againMost/4, nil) {
			return nil, floor, false
		}
	}
}
