package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/lane"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

const (
	// againFirst and againMost bound the pause before a statement that did not run is sent again.
	againFirst = 8 * time.Millisecond
	againMost  = 100 * time.Millisecond
)

// errTimeout tells that the time of a statement is over.
var errTimeout = errors.New("relay: the time of the statement is over")

// effort is the work on one statement until it has an answer or its time is over.
type effort struct {
	session *Session
	permit  *permit
	st      operation.Statement
	until   time.Time
	tries   int
	tried   []string // instances that refused a read
	last    operation.Answer
	reason  string // why the last try did not run
}

func (e *effort) now() time.Time { return e.session.relay.options.Now() }

// left returns the time that is left.
func (e *effort) left() time.Duration { return e.until.Sub(e.now()) }

func (e *effort) ticket() lane.Ticket {
	return lane.Ticket{
		Account: e.permit.account.name, Weight: e.permit.account.weight, Read: !e.st.Writes(), Deadline: e.until,
	}
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

// backoff is the pause after a try that did not run.
func (e *effort) backoff() time.Duration {
	return min(againFirst<<min(e.tries, 5), againMost)
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
	return e.session.relay.refuse(e.st.ID, code, reason, "the statement did not run; come back in "+comeBack(reason).String())
}

// single runs a statement outside a transaction.
func (s *Session) single(ctx context.Context, arrived time.Time, p *permit, st operation.Statement) operation.Answer {
	until := arrived.Add(p.route.timeout)
	ctx, cancel := context.WithTimeout(ctx, p.route.timeout)
	defer cancel()
	e := &effort{session: s, permit: p, st: st, until: until}
	switch {
	case st.Writes():
		return e.write(ctx)
	case p.route.age > 0:
		return e.readAny(ctx)
	}
	return e.readCurrent(ctx)
}

// write runs a write at the primary. It is sent again only after an answer that it did not run.
func (e *effort) write(ctx context.Context) operation.Answer {
	for {
		h, ok := e.acquirePrimary(ctx)
		if !ok {
			return e.givenUp()
		}
		sent := e.now()
		a, err := e.run(h, e.st)
		switch {
		case errors.Is(err, errNotSent):
			e.note(operation.Answer{Code: operation.Busy}, reasonLink)
		case err != nil:
			h.Release()
			e.lose(h)
			return e.inDoubt()
		case a.Code.NotRun():
			e.notRun(h, a)
		default:
			h.Release()
			e.committed(h, sent, a)
			return a
		}
		h.Release()
		if !e.pause(ctx, e.backoff(), nil) {
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

// lose notes that an instance did not answer.
func (e *effort) lose(h *lane.Held) {
	e.permit.route.group.lost(h.Server())
}

// committed notes a write that took effect.
func (e *effort) committed(h *lane.Held, sent time.Time, a operation.Answer) {
	if a.Code != operation.Done || a.At.IsZero() {
		return
	}
	e.permit.route.group.proved(sent, h.Server(), a.At)
	e.session.floor = a.At
}

// notRun notes why an instance did not run a statement.
func (e *effort) notRun(h *lane.Held, a operation.Answer) {
	switch a.Code {
	case operation.ReadOnly:
		e.permit.route.group.refused(h.Server())
		e.note(a, reasonPrimary)
	case operation.Lagging:
		e.tried = append(e.tried, h.Server())
		e.note(a, reasonLag)
	case operation.NoStatement:
		h.Forget()
		e.note(a, reasonFull)
	default:
		e.tried = append(e.tried, h.Server())
		e.note(a, reasonFull)
	}
}

// errNotSent tells that nothing of the statement was sent.
var errNotSent = errors.New("relay: the statement was not sent")

// run sends a statement on a connection in the state of the session.
func (e *effort) run(h *lane.Held, st operation.Statement) (operation.Answer, error) {
	sent := e.now()
	defer func() { e.permit.trace.run += e.now().Sub(sent) }()
	if err := h.Adjust(); err != nil {
		return operation.Answer{}, errors.CombineErrors(errNotSent, err)
	}
	return e.session.send(h, e.left(), st)
}

// send sends a statement, after the preparation that it needs.
func (s *Session) send(h *lane.Held, limit time.Duration, st operation.Statement, after ...operation.Statement) (operation.Answer, error) {
	if limit <= 0 {
		return operation.Answer{}, errors.CombineErrors(errNotSent, errTimeout)
	}
	var first []operation.Statement
	if st.Kind == operation.Execute {
		st.Name, first = h.Prepare(s.prepared[st.Name])
	}
	all := append(append(first, st), after...)
	answers, err := h.Exchange(limit, all...)
	if len(answers) > len(first) {
		return answers[len(first)], nil // the answer is there, whatever became of the rest
	}
	if err == nil {
		err = errors.New("relay: the backend server left an answer out")
	}
	return operation.Answer{}, err
}

// acquirePrimary waits for a connection to the primary. It is false if the time is over.
func (e *effort) acquirePrimary(ctx context.Context) (*lane.Held, bool) {
	g := e.permit.route.group
	for {
		l, wait, changed := g.lead(e.now(), true)
		if l == nil {
			e.note(operation.Answer{Code: operation.Busy}, reasonPrimary)
			if !e.pause(ctx, wait, changed) {
				return nil, false
			}
			continue
		}
		h, err := e.acquire(ctx, l)
		if err == nil {
			return h, true
		}
		g.noteAcquire(l.Server(), err)
		if !e.refusedLane(ctx, err) {
			return nil, false
		}
	}
}

// acquire waits for a connection of a lane.
func (e *effort) acquire(ctx context.Context, l *lane.Lane) (*lane.Held, error) {
	asked := e.now()
	h, err := l.Acquire(ctx, e.ticket(), &e.session.profile)
	took := e.now().Sub(asked)
	e.session.relay.metrics.lanes.Add(took)
	e.permit.trace.lane += took
	e.permit.trace.server = l.Server()
	return h, err
}

// refusedLane notes why a lane gave no connection and waits. It is false if there is no use in
// another try.
func (e *effort) refusedLane(ctx context.Context, err error) bool {
	var refused *lane.RefusedError
	switch {
	case errors.As(err, &refused):
		e.note(operation.Answer{Code: refused.Code}, reasonFull)
	case isUnreached(err):
		e.note(operation.Answer{Code: operation.Busy}, reasonLink)
	case errors.Is(err, lane.ErrClosed):
		e.note(operation.Answer{Code: operation.Busy}, reasonLeft)
	default:
		e.note(operation.Answer{Code: operation.Busy}, reasonLate)
		return false
	}
	return e.pause(ctx, e.backoff(), nil)
}

// readCurrent reads at an instance that proves in the same transaction that it leads.
func (e *effort) readCurrent(ctx context.Context) operation.Answer {
	for {
		h, ok := e.acquirePrimary(ctx)
		if !ok {
			return e.givenUp()
		}
		a, done := e.readLed(h)
		h.Release()
		if done {
			e.session.relay.metrics.primary.Add(1)
			return a
		}
		if !e.pause(ctx, e.backoff(), nil) {
			return e.givenUp()
		}
	}
}

// readLed begins a plain transaction, which only the primary does, and reads in it.
func (e *effort) readLed(h *lane.Held) (operation.Answer, bool) {
	if begun, ok := e.begin(h, operation.Statement{Kind: operation.Begin}); !ok || begun.Code != operation.Done {
		return operation.Answer{}, false
	}
	a, err := e.session.send(h, e.left(), e.st, operation.Statement{Kind: operation.Rollback})
	switch {
	case err != nil:
		e.lose(h)
		e.note(operation.Answer{Code: operation.Busy}, reasonLink)
		return operation.Answer{}, false
	case a.Code.NotRun():
		e.notRun(h, a)
		return operation.Answer{}, false
	}
	a.State = operation.Idle
	return a, true
}

// begin begins a transaction at an instance. It is false if nothing was begun; the reason is noted.
func (e *effort) begin(h *lane.Held, st operation.Statement) (operation.Answer, bool) {
	if err := h.Adjust(); err != nil {
		e.lose(h)
		e.note(operation.Answer{Code: operation.Busy}, reasonLink)
		return operation.Answer{}, false
	}
	sent := e.now()
	limit := e.left()
	if limit <= 0 {
		return operation.Answer{}, false
	}
	answers, err := h.Exchange(limit, st)
	switch {
	case err != nil:
		e.lose(h)
		e.note(operation.Answer{Code: operation.Busy}, reasonLink)
		return operation.Answer{}, false
	case answers[0].Code != operation.Done:
		e.notRun(h, answers[0])
		return operation.Answer{}, false
	}
	if !st.ReadOnly {
		e.permit.route.group.proved(sent, h.Server(), answers[0].At)
	}
	return answers[0], true
}

// readAny reads at any instance that holds what the session must see.
func (e *effort) readAny(ctx context.Context) operation.Answer {
	for {
		h, floor, ok := e.acquireReader(ctx)
		if !ok {
			return e.givenUp()
		}
		st := e.st
		st.After = floor
		a, err := e.run(h, st)
		switch {
		case err != nil:
			e.tried = append(e.tried, h.Server())
			e.note(operation.Answer{Code: operation.Busy}, reasonLink)
		case a.Code.NotRun():
			e.notRun(h, a)
		default:
			h.Release()
			e.session.relay.countRead(e.permit.route.group, h.Server())
			return a
		}
		h.Release()
		if !e.pause(ctx, e.readPause(), nil) {
			return e.givenUp()
		}
	}
}

// readPause is short while another instance is left to ask.
func (e *effort) readPause() time.Duration {
	if len(e.tried) < 2 {
		return 0
	}
	return e.backoff()
}

// acquireReader waits for a connection to an instance that may serve the read.
func (e *effort) acquireReader(ctx context.Context) (*lane.Held, position.Position, bool) {
	g := e.permit.route.group
	for {
		asked := e.now()
		floor, ok := g.floor(ctx, e.permit.route.age, e.session.floor)
		took := e.now().Sub(asked)
		e.session.relay.metrics.proofs.Add(took)
		e.permit.trace.proof += took
		if !ok {
			e.note(operation.Answer{Code: operation.Busy}, reasonPrimary)
			return nil, floor, false
		}
		l := g.choose(e.now(), floor, e.permit.account.name, e.tried)
		if l == nil {
			e.tried = e.tried[:0]
			if !e.pause(ctx, e.backoff(), nil) {
				return nil, floor, false
			}
			continue
		}
		h, err := e.acquire(ctx, l)
		if err == nil {
			return h, floor, true
		}
		e.tried = append(e.tried, l.Server())
		if !e.refusedLane(ctx, err) {
			return nil, floor, false
		}
	}
}
