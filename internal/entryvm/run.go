package entryvm

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"fireflyrudder.example/fireflyrudder/internal/caller"
	"fireflyrudder.example/fireflyrudder/internal/retry"
	"fireflyrudder.example/fireflyrudder/internal/statement"
	"fireflyrudder.example/fireflyrudder/internal/watermark"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// Faults of an exchange after which the connection is closed.
var (
	errUnexpected = errors.New("entryvm: the backend server sent a message that does not belong to the answer")
	errHeld       = errors.New("entryvm: the answer after a write is larger than 32 MB")
)

// perform runs one request and answers it.
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
	if s.gone() {
		return s.afterFailure(r)
	}
	w := &wait{session: s, deadline: s.deadlineOf(now)}
	defer w.end()
	if refusal := s.pay(w, r.charge); refusal != nil {
		return s.refuse(refusal)
	}
	s.vm.retries.request()
	if s.status != idle {
		return s.performInside(w, r)
	}
	if s.parameters.request != "" && !r.read && !r.begins() {
		return s.performOnce(w, r)
	}
	return s.performOutside(w, r)
}

// afterFailure answers requests while the transaction failed and has no connection: only its end is
// accepted.
func (s *callerSession) afterFailure(r *request) error {
	for _, kind := range r.runs {
		if kind.Kind != statement.Rollback && kind.Kind != statement.Commit {
			return s.answer(outcome.New(stateFailed, "current transaction is aborted, commands ignored until end of transaction block",
				"send ROLLBACK and run the transaction again"))
		}
	}
	if len(r.runs) == 0 {
		return s.answer(outcome.New(stateFailed, "current transaction is aborted", "send ROLLBACK"))
	}
	s.finish(false)
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
	return s.ready()
}

// sendLocal answers one extended message of a statement without rows.
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

// performInside runs a request on the connection of the open transaction.
func (s *callerSession) performInside(w *wait, r *request) error {
	if s.transaction.replica {
		if refusal := refuseOnReplica(r); refusal != nil {
			return s.refuse(refusal)
		}
	}
	l := &lane{conn: s.held, server: s.server, replica: s.transaction.replica, term: s.term}
	if r.charge > 0 { // the end of a transaction gives locks back and waits for nothing
		l.slot = s.enterContinuing(w, s.server)
		if l.slot {
			l.ticket = s.ticket.Ticket
		}
	}
	l.begun = time.Now()
	if s.transaction.request != "" && s.status == open {
		if r.ends() {
			return s.commitOnce(w, l, r)
		}
		s.transaction.digest.add(r)
	}
	x := newExchange(s, l, r.commits)
	defer x.release()
	x.tentative = !s.transaction.readOnly && r.single()
	size, err := x.send(r)
	if err == nil {
		err = x.run(size)
	}
	if err != nil || x.fatal {
		return s.lostInside(x, r, err)
	}
	if x.hidden {
		s.vm.leaveSlot(l)
		s.drop()
		if r.ends() {
			s.finish(false)
		} else {
			s.status = failed
		}
		return s.answer(rolledBack("the primary changed"))
	}
	return s.conclude(x, r)
}

func rolledBack(why string) *outcome.Error {
	return outcome.New(outcome.NotRun, why+"; the transaction rolled back", "send ROLLBACK and run the transaction again")
}

// refuseOnReplica lets only proved reads and the end of the transaction through.
func refuseOnReplica(r *request) *outcome.Error {
	for _, kind := range r.runs {
		switch kind.Kind {
		case statement.Read, statement.Show, statement.Commit, statement.Rollback, statement.Savepoint, statement.Release,
			statement.RollbackTo, statement.Empty:
		case statement.Set:
			if !kind.Local {
				return outcome.New(outcome.Unsupported, "SET is not carried in a read-only transaction", "use SET LOCAL, or SET before BEGIN")
			}
		default:
			if !kind.IsRead() {
				return outcome.New(stateReadOnly, "only reads without side effects run in a read-only transaction", "use BEGIN without READ ONLY")
			}
		}
	}
	return nil
}

// lostInside answers after the connection of an open transaction failed. Without a COMMIT sent, the
// server can only have rolled it back.
func (s *callerSession) lostInside(x *exchange, r *request, err error) error {
	var gone callerError
	if errors.As(err, &gone) {
		s.vm.leaveSlot(x.lane)
		return errEnd
	}
	s.vm.metrics.lost.Add(1)
	x.lane.lost = true
	s.vm.leaveSlot(x.lane)
	commits := r.commits && x.conn.Sent()
	s.drop()
	if commits {
		s.finish(false)
		return s.answer(unknown("the connection to the primary was lost during the commit"))
	}
	s.status = failed
	return s.answer(rolledBack("the connection to the backend server was lost"))
}

func unknown(why string) *outcome.Error {
	return outcome.New(outcome.Unknown, why+"; the outcome is not known",
		"check the data, or send the request again with the same fireflyrudder.request")
}

// performOutside runs a request that may open a transaction.
func (s *callerSession) performOutside(w *wait, r *request) error {
	mark := s.conn.Mark()
	for {
		l, refusal := s.laneFor(w, r)
		if refusal != nil {
			return s.answer(refusal)
		}
		if s.parameters.request != "" && r.begins() && !l.replica && !s.ensureRecords(l) {
			if s.mayRetry(w, outcome.NotRun, false, true) {
				continue
			}
			return s.answer(outcome.New(outcome.NotRun, "the table of request ids could not be made; the statement did not run", "send it again"))
		}
		again, err := s.attempt(w, l, r, mark)
		if !again {
			return err
		}
	}
}

// laneFor takes a lane for a request outside a transaction.
func (s *callerSession) laneFor(w *wait, r *request) (*lane, *outcome.Error) {
	if r.read || r.beginsReadOnly() {
		return s.readLane(w)
	}
	return s.writeLane(w)
}

// attempt runs a request once. again tells that it did not run, or was a read of which the caller saw
// nothing, and may be tried anew.
func (s *callerSession) attempt(w *wait, l *lane, r *request, mark caller.Mark) (again bool, err error) {
	if err := s.replay(l); err != nil {
		s.vm.leaveLane(l)
		if s.mayRetry(w, outcome.NotRun, r.read, true) {
			return true, nil
		}
		return false, s.answer(outcome.New(outcome.NotRun, "the settings of the session could not be applied; the statement did not run", "send it again"))
	}
	x := newExchange(s, l, r.commits)
	x.current = r.read && len(r.runs) > 0 && !r.begins() && s.parameters.ageOn(s.route) == 0
	x.holding = x.current
	defer x.release()
	x.tentative = !r.read && !r.readOnly() && r.single()
	size, err := x.sendWrapped(r)
	if err == nil {
		err = x.run(size)
	}
	if err != nil || x.fatal {
		return s.lostOutside(w, x, r, mark, err)
	}
	if l.replica && l.conn.Status != idle && !r.beginsReadOnly() {
		// An error left the read-only transaction open.
		if _, err := s.side(l, func(x *exchange) error { return x.query("ROLLBACK", true) }); err != nil {
			l.conn.MarkUnusable()
		}
	}
	if x.hidden { // the server was not the primary any more and ran nothing
		s.vm.leaveLane(l)
		if s.conn.Rewind(mark) && s.mayRetry(w, outcome.NotRun, false, true) {
			return true, nil
		}
		return false, s.answer(outcome.New(outcome.NotRun, "the primary changed; the statement did not run", "send it again"))
	}
	return false, s.conclude(x, r)
}

// mayRetry asks the retry budget and waits out the pause. It returns false if the request must not
// be tried again.
func (s *callerSession) mayRetry(w *wait, state outcome.SQLState, read, sent bool) bool {
	w.tries++
	pause, ok := s.vm.retries.next(time.Now(), retry.Attempt{State: state, Read: read, Sent: sent, Tries: w.tries, Deadline: w.deadline})
	if !ok {
		return false
	}
	s.vm.metrics.retries.Add(1)
	return w.until(nil, pause)
}

// lostOutside answers after the connection failed outside an explicit transaction.
func (s *callerSession) lostOutside(w *wait, x *exchange, r *request, mark caller.Mark, err error) (bool, error) {
	l := x.lane
	sent := l.conn.Sent()
	l.conn.MarkUnusable()
	l.lost = true
	s.vm.leaveLane(l)
	var gone callerError
	if errors.As(err, &gone) {
		return false, errEnd
	}
	s.vm.metrics.lost.Add(1)
	clear := s.conn.Rewind(mark)
	switch {
	case errors.Is(err, errHeld):
		return false, s.answer(unknown("the answer after a write is larger than 32 MB"))
	case !sent || r.read:
		state := outcome.Unknown
		if !sent {
			state = outcome.NotRun
		}
		if clear && s.mayRetry(w, state, r.read, sent) {
			return true, nil
		}
		if !sent {
			return false, s.answer(outcome.New(outcome.NotRun, "the connection to the backend server was lost; the statement did not run", "send it again"))
		}
		return false, s.answer(outcome.New(outcome.Unknown, "the connection to the backend server was lost while it answered", "send the read again"))
	case !r.commits:
		return false, s.answer(outcome.New(outcome.NotRun, "the connection to the backend server was lost; the transaction rolled back", "run the transaction again"))
	}
	return false, s.answer(unknown("the connection to the primary was lost while the statement ran"))
}

// conclude confirms a commit, shows what was kept back and gives the lane back or keeps it for the
// open transaction.
func (s *callerSession) conclude(x *exchange, r *request) error {
	l := x.lane
	before := s.status
	s.status = l.conn.Status
	s.note(x, r)
	s.transaction.readOnly = s.transaction.readOnly || (s.status != idle && r.readOnly())
	group, server := s.route.group, l.server.id
	if r.read && len(r.runs) > 0 {
		if err := s.tellServed(l.replica); err != nil {
			s.hold(l, before, r)
			return err
		}
	}
	seen, err := x.seen()
	s.hold(l, before, r)
	if x.current && (err != nil || !s.settled(group, server, seen)) {
		s.vm.metrics.unconfirmed.Add(1)
		return s.answer(outcome.New(outcome.NotRun, "no majority of the group confirms what was read", "send the read again"))
	}
	if !x.position.IsZero() {
		floor, held := s.vm.confirm(group, server, x.position)
		if !held {
			s.vm.metrics.unconfirmed.Add(1)
			return s.answer(unknown("the commit was not confirmed by a majority of the group"))
		}
		s.raise(floor)
		if err := s.conn.Send(&pgproto3.ParameterStatus{Name: caller.ParameterPrefix + parameterSession, Value: s.token()}); err != nil {
			return err
		}
	}
	if err := s.conn.SendEncoded(x.held); err != nil {
		return err
	}
	if !r.sync {
		s.skipping = x.code != ""
		return s.conn.Flush()
	}
	s.unsynced = false
	return s.ready()
}

// seen returns the end of the log of the server that answered a read of current data.
func (x *exchange) seen() (position.Position, error) {
	if !x.current || x.code != "" {
		return position.Position{}, nil
	}
	at, err := x.conn.Position()
	if err != nil {
		x.conn.MarkUnusable()
	}
	return at, err
}

// settled waits until a majority holds everything up to a position. A position without a record
// needs no confirmation.
func (s *callerSession) settled(g *group, server watermark.ServerID, at position.Position) bool {
	if at.Offset == 0 {
		return true
	}
	_, held := s.vm.confirm(g, server, at)
	return held
}

// tellServed reports which kind of server ran a read, if it is not what was reported last.
func (s *callerSession) tellServed(replica bool) error {
	served := servedPrimary
	if replica {
		served = servedReplica
	}
	if s.served == served {
		return nil
	}
	s.served = served
	return s.conn.Send(&pgproto3.ParameterStatus{Name: caller.ParameterPrefix + parameterServed, Value: served})
}

// hold keeps the lane for the open transaction or gives it back.
func (s *callerSession) hold(l *lane, before byte, r *request) {
	switch {
	case s.status == idle && before == idle:
		s.vm.leaveLane(l)
	case s.status == idle: // the transaction ended
		s.held, s.server = nil, nil
		s.vm.leaveLane(l)
	case before == idle: // a transaction began; it keeps the connection but not the slot
		s.vm.leaveSlot(l)
		s.held, s.server, s.term = l.conn, l.server, l.term
		s.transaction.replica = l.replica
		s.transaction.readOnly = r.readOnly()
		s.transaction.request, s.parameters.request = s.parameters.request, ""
	default:
		s.vm.leaveSlot(l)
	}
}

// note takes over what the request changed in the session.
func (s *callerSession) note(x *exchange, r *request) {
	for _, kind := range r.runs {
		if kind.Kind != statement.Read && kind.Kind != statement.Begin && kind.Kind != statement.Commit && kind.Kind != statement.Rollback && kind.Kind != statement.Show {
			x.conn.HasSessionState = true
		}
	}
	if x.code == "" {
		for _, kind := range r.runs {
			s.noteSet(x, kind)
		}
	}
	if s.status != idle {
		return
	}
	committed := x.tag == "COMMIT"
	if len(s.transaction.settings) > 0 && committed {
		x.conn.AppliedSettings = s.revision + len(s.transaction.settings)
	}
	s.finish(committed)
}

// noteSet notes a SET or RESET that succeeded.
func (s *callerSession) noteSet(x *exchange, kind *statement.Statement) {
	if !sessionSet(kind) {
		return
	}
	one := setting{name: kind.Name, text: kind.Text}
	if s.status != idle {
		s.transaction.settings = append(s.transaction.settings, one)
		return
	}
	applied := x.conn.AppliedSettings == s.revision
	if kind.Kind == statement.Reset {
		s.forget(kind.Name)
	} else {
		s.keep(one)
	}
	if applied {
		x.conn.AppliedSettings = s.revision
	}
}

// replay brings the settings of the session to a connection that does not have them.
func (s *callerSession) replay(l *lane) error {
	if l.conn.AppliedSettings == s.revision {
		return nil
	}
	if err := l.conn.Discard(); err != nil {
		return err
	}
	for _, one := range s.settings {
		l.conn.HasSessionState = true
		x := newExchange(s, l, false)
		err := x.query(one.text, true)
		if err == nil {
			err = x.run(0)
		}
		code := x.code
		x.release()
		if err != nil {
			return err
		}
		if code != "" {
			l.conn.MarkUnusable()
			return errors.Newf("entryvm: replay of a setting: SQLSTATE %s", code)
		}
	}
	l.conn.AppliedSettings = s.revision
	return nil
}
