package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/lane"
	"fireflyrudder.example/fireflyrudder/internal/operation"
)

// endTimeout bounds the rollback of a transaction, which takes no slot.
const endTimeout = time.Second

// transaction is an open transaction of a session. Its connection is taken with the first statement,
// so that the pause before that takes none.
type transaction struct {
	permit   *permit
	readOnly bool
	held     *lane.Held // nil before the first statement
	led      time.Time  // when the instance proved that it leads; zero for read-only transactions
	wrote    bool
	used     time.Time // end of the last statement
}

// handleOpen runs a statement of the open transaction.
func (s *Session) handleOpen(ctx context.Context, st operation.Statement) operation.Answer {
	arrived := s.relay.options.Now()
	t := s.tx
	defer func() { t.used = s.relay.options.Now() }()
	switch st.Kind {
	case operation.Rollback:
		s.abandon()
		return operation.Answer{Code: operation.Done}
	case operation.Begin:
		s.fail("a transaction is open already")
		return operation.Answer{Code: operation.Malformed, Detail: s.aborts, State: operation.Failed}
	case operation.Execute:
		shape, ok := s.prepared[st.Name]
		if !ok {
			s.fail("no statement of that name is prepared")
			return operation.Answer{Code: operation.NoStatement, Detail: st.Name, State: operation.Failed}
		}
		st.ReadOnly = shape.ReadOnly
	}
	ctx, cancel := context.WithTimeout(ctx, t.permit.route.timeout)
	defer cancel()
	e := &effort{session: s, permit: t.permit, st: st, until: arrived.Add(t.permit.route.timeout)}
	a := s.inside(ctx, e)
	took := s.relay.options.Now().Sub(arrived)
	s.relay.observe(&st, a, took)
	t.permit.trace.total += took
	t.permit.trace.statements++
	if s.tx == nil {
		s.relay.slow(t.permit, &st, &t.permit.trace, "transaction")
	}
	return a
}

// inside runs a statement on the connection of the transaction.
func (s *Session) inside(ctx context.Context, e *effort) operation.Answer {
	t := s.tx
	if t.readOnly && e.st.Writes() {
		s.fail("a read-only transaction takes no write")
		return operation.Answer{Code: operation.ReadOnly, Detail: s.aborts, State: operation.Failed}
	}
	if t.held == nil && !e.open(ctx, t) {
		a := e.givenUp()
		s.fail(a.Detail)
		a.State = operation.Failed
		return a
	}
	for {
		sent := e.now()
		a, err := e.run(t.held, e.st)
		if err != nil {
			return s.breaks(e, err)
		}
		if a.Code == operation.NoStatement {
			t.held.Forget()
		}
		again := a.Code == operation.Busy || a.Code == operation.NoStatement
		if again && a.State == operation.Open && e.pause(ctx, e.backoff(), nil) {
			continue
		}
		return s.settle(e, sent, a)
	}
}

// open begins the transaction at an instance.
func (e *effort) open(ctx context.Context, t *transaction) bool {
	for {
		var h *lane.Held
		var ok bool
		begin := operation.Statement{Kind: operation.Begin}
		anywhere := t.readOnly && t.permit.route.age > 0
		if anywhere {
			h, begin.After, ok = e.acquireReader(ctx)
			begin.ReadOnly = true
		} else {
			h, ok = e.acquirePrimary(ctx)
		}
		if !ok {
			return false
		}
		sent := e.now()
		if _, ok := e.begin(h, begin); ok {
			t.held = h
			if !anywhere {
				t.led = sent
			}
			return true
		}
		if h.Broken() {
			e.tried = append(e.tried, h.Server())
		}
		h.Release()
		if !e.pause(ctx, e.readPause(), nil) {
			return false
		}
	}
}

// breaks answers when the connection of the transaction broke. Only a commit that was sent may have
// taken effect.
func (s *Session) breaks(e *effort, err error) operation.Answer {
	unsent := errors.Is(err, errNotSent)
	e.lose(s.tx.held)
	s.fail("the connection to the backend server broke; the transaction is rolled back")
	if e.st.Kind != operation.Commit {
		a := s.relay.refuse(e.st.ID, operation.Aborted, reasonLink, s.aborts)
		a.State = operation.Failed
		return a
	}
	s.failed = false
	if unsent {
		return s.relay.refuse(e.st.ID, operation.Aborted, reasonLink, s.aborts)
	}
	return e.inDoubt()
}

// settle takes over the answer of the instance.
func (s *Session) settle(e *effort, sent time.Time, a operation.Answer) operation.Answer {
	t := s.tx
	t.wrote = t.wrote || e.st.Writes()
	if a.Code == operation.ReadOnly && !t.readOnly {
		t.permit.route.group.refused(t.held.Server())
	}
	if e.st.Kind == operation.Commit {
		return s.ended(e, sent, a)
	}
	if a.Code == operation.Done {
		a.State = operation.Open
		return a
	}
	s.fail("the backend server refused a statement: " + a.Code.String())
	a.State = operation.Failed
	return s.relay.passed(e.st.ID, a)
}

// ended answers a commit.
func (s *Session) ended(e *effort, sent time.Time, a operation.Answer) operation.Answer {
	t := s.tx
	if a.Code != operation.Done {
		s.fail("")
		s.failed = false
		a.State = operation.Idle
		return s.relay.passed(e.st.ID, a)
	}
	if !t.led.IsZero() && t.wrote {
		e.committed(t.held, sent, a)
	}
	s.relay.metrics.commits.Add(1)
	t.held.Release()
	s.tx = nil
	a.State = operation.Idle
	return a
}

// fail rolls the transaction back and remembers why, until the caller ends it.
func (s *Session) fail(why string) {
	s.abandon()
	s.failed, s.aborts = true, why
}

// abandon ends the transaction at the instance, if one is open there. A connection that does not
// confirm the rollback is closed, which rolls back as well.
func (s *Session) abandon() {
	t := s.tx
	s.tx = nil
	if t == nil || t.held == nil {
		return
	}
	h := t.held
	if h.Broken() {
		h.Release()
		return
	}
	go func() {
		answers, err := h.Exchange(endTimeout, operation.Statement{Kind: operation.Rollback})
		if err == nil && (answers[0].Code != operation.Done || answers[0].State != operation.Idle) {
			h.Break()
		}
		h.Release()
	}()
}
