package entryvm

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"fireflyrudder.example/fireflyrudder/internal/caller"
	"fireflyrudder.example/fireflyrudder/internal/retry"
	"fireflyrudder.example/fireflyrudder/internal/statement"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
)

// Errors of an exchange after which the connection is closed.
var (
	errUnexpected     = errors.New("entryvm: the backend server sent a message that does not belong to the answer")
	errAnswerTooLarge = errors.New("entryvm: the answer after a write is larger than 32 MB")
)

// perform runs one request and sends its answer.
func (s *callerSession) perform(r *request) error {
	now := time.Now()
	s.vm.metrics.statements.Add(1)
	refusal, fatal := s.authorize(now)
	if fatal {
		s.conn.Fatal(refusal)
		return errEnd
	}
	if refusal != nil {
		return s.refuse(refusal)
	}
	if s.transactionLost() {
		return s.afterFailure(r)
	}
	w := &requestWait{session: s, deadline: s.deadlineOf(now)}
	defer w.release()
	if refusal := s.takeCredits(w, r.cost); refusal != nil {
		return s.refuse(refusal)
	}
	s.vm.retries.countRequest()
	if s.status != txIdle {
		return s.performInTransaction(w, r)
	}
	if s.parameters.requestID != "" && !r.read && !r.isBegin() {
		return s.performIdempotent(w, r)
	}
	return s.performOutsideTransaction(w, r)
}

// afterFailure answers requests in a failed transaction without a connection. Only the end of the transaction is
// accepted.
func (s *callerSession) afterFailure(r *request) error {
	for _, st := range r.runs {
		if st.Kind != statement.Rollback && st.Kind != statement.Commit {
			return s.sendError(outcome.New(stateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block",
				"send ROLLBACK and run the transaction again"))
		}
	}
	if len(r.runs) == 0 {
		return s.sendError(outcome.New(stateFailedTransaction, "current transaction is aborted", "send ROLLBACK"))
	}
	s.endTransaction(false)
	for _, one := range r.steps {
		if err := s.sendLocal(one, "ROLLBACK"); err != nil {
			return err
		}
	}
	if len(r.steps) == 0 {
		if err := s.conn.Send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")}); err != nil {
			return err
		}
	}
	return s.sendReady()
}

// sendLocal answers one extended message of a statement that returns no rows.
func (s *callerSession) sendLocal(one step, tag string) error {
	switch one.message.(type) {
	case *pgproto3.Parse:
		return s.conn.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		return s.conn.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		return s.conn.Send(&pgproto3.NoData{})
	case *pgproto3.Close:
		return s.conn.Send(&pgproto3.CloseComplete{})
	}
	return s.conn.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// performInTransaction runs a request on the connection of the open transaction.
func (s *callerSession) performInTransaction(w *requestWait, r *request) error {
	if s.transaction.replica {
		if refusal := refuseOnReplica(r); refusal != nil {
			return s.refuse(refusal)
		}
	}
	sc := &serverConn{conn: s.txConn, server: s.txServer, replica: s.transaction.replica, term: s.txTerm}
	if r.cost > 0 { // the end of a transaction releases locks and needs no slot
		sc.slot = s.acquireTransactionSlot(w, s.txServer)
		if sc.slot {
			sc.ticket = s.ticket.Ticket
		}
	}
	sc.begun = time.Now()
	if s.transaction.requestID != "" && s.status == txOpen {
		if r.isCommit() {
			return s.commitRecorded(w, sc, r)
		}
		s.transaction.digest.addRequest(r)
	}
	x := newExchange(s, sc, r.mayCommit)
	defer x.release()
	x.hideNotPrimary = !s.transaction.readOnly && r.isSingle()
	size, err := x.send(r)
	if err == nil {
		err = x.run(size)
	}
	if err != nil || x.fatal {
		return s.lostInTransaction(x, r, err)
	}
	if x.errorHidden {
		s.vm.releaseSlot(sc)
		s.closeTxConn()
		if r.isCommit() {
			s.endTransaction(false)
		} else {
			s.status = txFailed
		}
		return s.sendError(rolledBack("the primary changed"))
	}
	return s.finishRequest(x, r)
}

func rolledBack(why string) *outcome.Error {
	return outcome.New(outcome.NotRun, why+"; the transaction rolled back", "send ROLLBACK and run the transaction again")
}

// refuseOnReplica refuses what may not run in a transaction on a replica: all but statements classified as reads,
// SET LOCAL, savepoints and the end of the transaction.
func refuseOnReplica(r *request) *outcome.Error {
	for _, st := range r.runs {
		switch st.Kind {
		case statement.Read, statement.Show, statement.Commit, statement.Rollback, statement.Savepoint, statement.Release,
			statement.RollbackTo, statement.Empty:
		case statement.Set:
			if !st.Local {
				return outcome.New(outcome.Unsupported, "SET is not carried in a read-only transaction", "use SET LOCAL, or SET before BEGIN")
			}
		default:
			if !st.IsRead() {
				return outcome.New(stateReadOnly, "only reads without side effects run in a read-only transaction", "use BEGIN without READ ONLY")
			}
		}
	}
	return nil
}

// lostInTransaction answers after the connection of an open transaction failed. If no COMMIT was sent, the server
// can only have rolled the transaction back.
func (s *callerSession) lostInTransaction(x *exchange, r *request, err error) error {
	var callerErr callerError
	if errors.As(err, &callerErr) {
		s.vm.releaseSlot(x.serverConn)
		return errEnd
	}
	s.vm.metrics.lostConns.Add(1)
	x.serverConn.lost = true
	s.vm.releaseSlot(x.serverConn)
	commits := r.mayCommit && x.conn.Sent()
	s.closeTxConn()
	if commits {
		s.endTransaction(false)
		return s.sendError(unknownOutcome("the connection to the primary was lost during the commit"))
	}
	s.status = txFailed
	return s.sendError(rolledBack("the connection to the backend server was lost"))
}

func unknownOutcome(why string) *outcome.Error {
	return outcome.New(outcome.Unknown, why+"; the outcome is not known",
		"check the data, or send the request again with the same fireflyrudder.request")
}

// performOutsideTransaction runs a request while no transaction is open. The request may open one.
func (s *callerSession) performOutsideTransaction(w *requestWait, r *request) error {
	mark := s.conn.Mark()
	for {
		sc, refusal := s.acquireFor(w, r)
		if refusal != nil {
			return s.sendError(refusal)
		}
		if s.parameters.requestID != "" && r.isBegin() && !sc.replica && !s.ensureRequestTable(sc) {
			if s.mayRetry(w, outcome.NotRun, false, true) {
				continue
			}
			return s.sendError(outcome.New(outcome.NotRun, "the table of request ids could not be made; the statement did not run", "send it again"))
		}
		again, err := s.attempt(w, sc, r, mark)
		if !again {
			return err
		}
	}
}

// acquireFor waits for a connection and a slot for a request outside a transaction.
func (s *callerSession) acquireFor(w *requestWait, r *request) (*serverConn, *outcome.Error) {
	if r.read || r.isBeginReadOnly() {
		return s.acquireForRead(w)
	}
	return s.acquireForWrite(w)
}

// attempt makes one attempt to run a request. again reports that the request did not run, or was a read of which
// nothing was sent to the caller, and may be retried.
func (s *callerSession) attempt(w *requestWait, sc *serverConn, r *request, mark caller.Mark) (again bool, err error) {
	if err := s.replaySettings(sc); err != nil {
		s.vm.release(sc)
		if s.mayRetry(w, outcome.NotRun, r.read, true) {
			return true, nil
		}
		return false, s.sendError(outcome.New(outcome.NotRun, "the settings of the session could not be applied; the statement did not run", "send it again"))
	}
	x := newExchange(s, sc, r.mayCommit)
	x.currentRead = r.read && len(r.runs) > 0 && !r.isBegin() && s.parameters.ageFor(s.route) == 0
	x.buffering = x.currentRead
	defer x.release()
	x.hideNotPrimary = !r.read && !r.readOnly() && r.isSingle()
	size, err := x.sendWrapped(r)
	if err == nil {
		err = x.run(size)
	}
	if err != nil || x.fatal {
		return s.lostOutsideTransaction(w, x, r, mark, err)
	}
	if sc.replica && sc.conn.Status != txIdle && !r.isBeginReadOnly() {
		// An error left the read-only transaction open.
		if _, err := s.runInternal(sc, func(x *exchange) error { return x.addQuery("ROLLBACK", true) }); err != nil {
			sc.conn.MarkUnusable()
		}
	}
	if x.errorHidden { // the server is no longer the primary and ran nothing
		s.vm.release(sc)
		if s.conn.Rewind(mark) && s.mayRetry(w, outcome.NotRun, false, true) {
			return true, nil
		}
		return false, s.sendError(outcome.New(outcome.NotRun, "the primary changed; the statement did not run", "send it again"))
	}
	return false, s.finishRequest(x, r)
}

// mayRetry checks the retry budget and waits for the backoff. It returns false if the request must not be retried.
func (s *callerSession) mayRetry(w *requestWait, state outcome.SQLState, read, sent bool) bool {
	w.tries++
	pause, ok := s.vm.retries.next(time.Now(), retry.Attempt{State: state, Read: read, Sent: sent, Tries: w.tries, Deadline: w.deadline})
	if !ok {
		return false
	}
	s.vm.metrics.retries.Add(1)
	return w.waitFor(nil, pause)
}

// lostOutsideTransaction answers or retries after the connection failed outside an explicit transaction.
func (s *callerSession) lostOutsideTransaction(w *requestWait, x *exchange, r *request, mark caller.Mark, err error) (bool, error) {
	sc := x.serverConn
	sent := sc.conn.Sent()
	sc.conn.MarkUnusable()
	sc.lost = true
	s.vm.release(sc)
	var callerErr callerError
	if errors.As(err, &callerErr) {
		return false, errEnd
	}
	s.vm.metrics.lostConns.Add(1)
	rewound := s.conn.Rewind(mark)
	switch {
	case errors.Is(err, errAnswerTooLarge):
		return false, s.sendError(unknownOutcome("the answer after a write is larger than 32 MB"))
	case !sent || r.read:
		state := outcome.Unknown
		if !sent {
			state = outcome.NotRun
		}
		if rewound && s.mayRetry(w, state, r.read, sent) {
			return true, nil
		}
		if !sent {
			return false, s.sendError(outcome.New(outcome.NotRun, "the connection to the backend server was lost; the statement did not run", "send it again"))
		}
		return false, s.sendError(outcome.New(outcome.Unknown, "the connection to the backend server was lost while it answered", "send the read again"))
	case !r.mayCommit:
		return false, s.sendError(outcome.New(outcome.NotRun, "the connection to the backend server was lost; the transaction rolled back", "run the transaction again"))
	}
	return false, s.sendError(unknownOutcome("the connection to the primary was lost while the statement ran"))
}
