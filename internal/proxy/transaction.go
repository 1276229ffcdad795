package proxy

import (
	"context"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/operation"
)

// transaction is an open transaction of a session. Its connection is taken with the first statement,
// so that the pause before that takes none.
type transaction struct {
	permit   *permit
	readOnly bool
	held     *way      // nil before the first statement
	led      time.Time // when the instance proved that it leads; zero for read-only transactions
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
	}
	if !s.resolve(&st) {
		s.fail("no statement of that name is prepared")
		return operation.Answer{Code: operation.NoStatement, Detail: st.Name, State: operation.Failed}
	}
	ctx, cancel := context.WithTimeout(ctx, t.permit.route.timeout)
	defer cancel()
	e := &effort{session: s, permit: t.permit, st: st, until: arrived.Add(t.permit.route.timeout), target: t.permit.lateAt(arrived)}
	a := s.inside(ctx, e)
	took := s.relay.options.Now().Sub(arrived)
	s.relay.observe(&st, a, took)
	t.permit.trace.total += took
	t.permit.trace.statements++
	if s.tx == nil {
		s.relay.slow(t.permit, &st, "transaction")
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
	for {
		sent := e.now()
		answers, err := s.step(ctx, e)
		if t.held == nil {
			a := e.givenUp()
			s.fail(a.Detail)
			a.State = operation.Failed
			return a
		}
		if err != nil {
			return s.breaks(e, err)
		}
		a := answers[len(answers)-1]
		if a.Code == operation.Busy && a.State == operation.Open && e.pause(ctx, e.backoff(), nil) {
			continue
		}
		return s.settle(e, sent, a)
	}
}

// step runs the statement on the connection of the transaction. The first one begins it at an
// instance; held stays nil if none began it in time.
func (s *Session) step(ctx context.Context, e *effort) ([]operation.Answer, error) {
	t := s.tx
	for t.held == nil {
		m, begin, ok := e.beginAt(ctx, t)
		if !ok {
			return nil, nil
		}
		answers, err := e.open(ctx, t, m, begin)
		if t.held != nil {
			return answers, err
		}
		if !e.again(ctx, m, answers, err) {
			return nil, nil
		}
	}
	return e.run(ctx, t.held, e.st)
}

// open begins the transaction at an instance and runs its first statement. It sets held if the
// instance began it.
func (e *effort) open(ctx context.Context, t *transaction, m *member, begin operation.Statement) ([]operation.Answer, error) {
	g := e.permit.route.group
	h := g.way(m, e.ask(true))
	sent := e.now()
	answers, err := e.run(ctx, h, begin, e.st)
	if !begin.ReadOnly {
		g.judge(m, sent, answers, err)
	}
	if len(answers) == 0 || answers[0].Code != operation.Done {
		h.Release()
		return answers, err
	}
	t.held = h
	if !begin.ReadOnly {
		t.led = sent
	}
	return answers, err
}

// beginAt returns the instance and the statement that begin the transaction.
func (e *effort) beginAt(ctx context.Context, t *transaction) (*member, operation.Statement, bool) {
	begin := operation.Statement{Kind: operation.Begin}
	if !t.readOnly || t.permit.route.age == 0 {
		m, ok := e.primary(ctx)
		return m, begin, ok
	}
	m, floor, ok := e.reader(ctx)
	begin.ReadOnly, begin.After = true, floor
	return m, begin, ok
}

// breaks answers when the connection of the transaction broke. Only a commit that was sent may have
// taken effect.
func (s *Session) breaks(e *effort, err error) operation.Answer {
	reason := reasonLink
	if isLost(err) {
		e.permit.route.group.lost(s.tx.held.Server())
	} else {
		reason = reasonLate
	}
	s.fail("the transaction is rolled back: " + err.Error())
	if e.st.Kind != operation.Commit {
		a := s.relay.refuse(e.st.ID, operation.Aborted, reason, s.aborts)
		a.State = operation.Failed
		return a
	}
	s.failed = false
	if isUnknown(err) {
		return e.inDoubt()
	}
	return s.relay.refuse(e.st.ID, operation.Aborted, reason, s.aborts)
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
		e.committed(t.held.member, sent, a)
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

// abandon ends the transaction at the instance, if one is open there.
func (s *Session) abandon() {
	t := s.tx
	s.tx = nil
	if t != nil && t.held != nil {
		t.held.Release()
	}
}
