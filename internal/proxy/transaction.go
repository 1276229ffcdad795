package proxy

import (
	"context"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/operation"
)

// transaction is an open transaction of a session. Its connection is acquired with the first statement, so
// that a caller that pauses before it occupies none.
type transaction struct {
	permit          *permit
	readOnly        bool
	conn            *serverConn // nil before the first statement
	primaryProvedAt time.Time   // when the request was sent by which the instance proved that it leads; zero for read-only transactions
	wrote           bool
	lastUsed        time.Time // end of the last statement
}

// handleInTransaction handles a statement of the open transaction.
func (s *Session) handleInTransaction(ctx context.Context, st operation.Statement) operation.Answer {
	arrived := s.proxy.options.Now()
	t := s.tx
	defer func() { t.lastUsed = s.proxy.options.Now() }()
	switch st.Kind {
	case operation.Rollback:
		s.rollback()
		return operation.Answer{Code: operation.Done}
	case operation.Begin:
		s.fail("a transaction is open already")
		return operation.Answer{Code: operation.Malformed, Detail: s.abortReason, State: operation.Failed}
	}
	if refusal := s.refuseEvacuated(arrived, &st); refusal != nil {
		return *refusal
	}
	if refusal := s.refuseWithdrawnKey(&st); refusal != nil {
		return *refusal
	}
	if !s.resolve(&st) {
		s.fail("no statement of that name is prepared")
		return operation.Answer{Code: operation.NoStatement, Detail: st.Name, State: operation.Failed}
	}
	until := s.proxy.deadline(arrived, t.permit.route.timeout)
	ctx, cancel := context.WithTimeout(ctx, until.Sub(arrived))
	defer cancel()
	e := &execution{session: s, permit: t.permit, st: st, deadline: until, targetDeadline: t.permit.targetDeadline(arrived)}
	a := s.runInTransaction(ctx, e)
	took := s.proxy.options.Now().Sub(arrived)
	s.proxy.observe(&st, a, took)
	t.permit.trace.total += took
	t.permit.trace.statements++
	if s.tx == nil {
		s.proxy.logSlow(t.permit, &st, "transaction")
	}
	return a
}

// refuseWithdrawnKey rolls the open transaction back if the key of the session is not that of its client account any more, and
// returns the answer to its statement. The route of a transaction stays that with which it began.
func (s *Session) refuseWithdrawnKey(st *operation.Statement) *operation.Answer {
	p := s.tx.permit
	if owner, valid := s.proxy.config.Load().keys[s.key]; valid && owner == p.account.name || p.route.public {
		return nil
	}
	a := s.proxy.refuse(st.ID, operation.NoAccess, reasonKey, "the key is not valid any more; the transaction was rolled back")
	s.fail(a.Detail)
	if st.Kind == operation.Commit {
		s.failed = false
		a.Code = operation.Aborted
		return &a
	}
	a.State = operation.Failed
	return &a
}

// runInTransaction runs a statement on the connection of the transaction.
func (s *Session) runInTransaction(ctx context.Context, e *execution) operation.Answer {
	t := s.tx
	if t.readOnly && e.st.Writes() {
		s.fail("a read-only transaction takes no write")
		return operation.Answer{Code: operation.ReadOnly, Detail: s.abortReason, State: operation.Failed}
	}
	for {
		sent := e.now()
		answers, err := s.runOnConn(ctx, e)
		if t.conn == nil {
			a := e.giveUp()
			s.fail(a.Detail)
			a.State = operation.Failed
			return a
		}
		if err != nil {
			return s.handleConnLoss(e, err)
		}
		a := answers[len(answers)-1]
		if a.Code == operation.Busy && a.State == operation.Open && e.pause(ctx, e.backoff(), nil) {
			continue
		}
		return s.handleAnswer(e, sent, a)
	}
}

// runOnConn runs the statement on the connection of the transaction. The first statement also begins the
// transaction at an instance; conn stays nil if no instance did so in time.
func (s *Session) runOnConn(ctx context.Context, e *execution) ([]operation.Answer, error) {
	t := s.tx
	for t.conn == nil {
		m, begin, ok := e.beginTarget(ctx, t)
		if !ok {
			return nil, nil
		}
		answers, err := e.begin(ctx, t, m, begin)
		if t.conn != nil {
			return answers, err
		}
		if !e.prepareRetry(ctx, m, answers, err) {
			return nil, nil
		}
	}
	return e.run(ctx, t.conn, e.st)
}

// begin begins the transaction at an instance and runs its first statement. It sets conn if the instance
// began the transaction.
func (e *execution) begin(ctx context.Context, t *transaction, m *member, begin operation.Statement) ([]operation.Answer, error) {
	g := e.permit.route.group
	h := g.newConn(m, e.connRequest(true))
	sent := e.now()
	answers, err := e.run(ctx, h, begin, e.st)
	if !begin.ReadOnly {
		g.recordPrimaryAnswer(m, sent, answers, err)
	}
	if len(answers) == 0 || answers[0].Code != operation.Done {
		h.Release()
		return answers, err
	}
	t.conn = h
	if !begin.ReadOnly {
		t.primaryProvedAt = sent
	}
	return answers, err
}

// beginTarget returns the instance at which to begin the transaction and the statement that begins it.
func (e *execution) beginTarget(ctx context.Context, t *transaction) (*member, operation.Statement, bool) {
	begin := operation.Statement{Kind: operation.Begin}
	if !t.readOnly || t.permit.route.maxStaleness == 0 {
		m, ok := e.awaitPrimary(ctx)
		return m, begin, ok
	}
	m, floor, ok := e.awaitReadTarget(ctx)
	begin.ReadOnly, begin.After = true, floor
	return m, begin, ok
}

// handleConnLoss returns the answer after the connection of the transaction failed. Only a commit that was
// sent may have taken effect.
func (s *Session) handleConnLoss(e *execution, err error) operation.Answer {
	reason := reasonLink
	if isUnreachable(err) {
		e.permit.route.group.recordUnreachable(s.tx.conn.Server())
	} else {
		reason = connLossReason(err)
	}
	s.fail("the transaction is rolled back: " + err.Error())
	if e.st.Kind != operation.Commit {
		a := s.proxy.refuse(e.st.ID, operation.Aborted, reason, s.abortReason)
		a.State = operation.Failed
		return a
	}
	s.failed = false
	if isOutcomeUnknown(err) {
		return e.inDoubt()
	}
	return s.proxy.refuse(e.st.ID, operation.Aborted, reason, s.abortReason)
}

// handleAnswer updates the transaction by the answer of the instance and returns the answer for the caller.
func (s *Session) handleAnswer(e *execution, sent time.Time, a operation.Answer) operation.Answer {
	t := s.tx
	t.wrote = t.wrote || e.st.Writes()
	if a.Code == operation.ReadOnly && !t.readOnly {
		t.permit.route.group.recordNotPrimary(t.conn.Server())
	}
	if e.st.Kind == operation.Commit {
		return s.finishCommit(e, sent, a)
	}
	if a.Code == operation.Done {
		a.State = operation.Open
		return a
	}
	s.fail("the backend server refused a statement: " + a.Code.String())
	a.State = operation.Failed
	return s.proxy.logFailure(e.st.ID, a)
}

// finishCommit ends the transaction after the answer to its commit.
func (s *Session) finishCommit(e *execution, sent time.Time, a operation.Answer) operation.Answer {
	t := s.tx
	if a.Code != operation.Done {
		s.fail("")
		s.failed = false
		a.State = operation.Idle
		return s.proxy.logFailure(e.st.ID, a)
	}
	if !t.primaryProvedAt.IsZero() && t.wrote {
		e.recordCommit(t.conn.member, sent, a)
	}
	s.proxy.metrics.commits.Add(1)
	t.conn.Release()
	s.tx = nil
	a.State = operation.Idle
	return a
}

// fail rolls the transaction back and keeps the reason until the caller ends the transaction.
func (s *Session) fail(why string) {
	s.rollback()
	s.failed, s.abortReason = true, why
}

// rollback ends the open transaction and releases its connection, which rolls it back at the instance.
func (s *Session) rollback() {
	t := s.tx
	s.tx = nil
	if t != nil && t.conn != nil {
		t.conn.Release()
	}
}
