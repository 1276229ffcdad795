package entryvm

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"fireflyrudder.example/fireflyrudder/internal/caller"
	"fireflyrudder.example/fireflyrudder/internal/statement"
	"fireflyrudder.example/fireflyrudder/internal/watermark"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// finishRequest completes a request whose answers were all read: it waits for the confirmation of a commit or of a
// read of current data, sends the buffered answers, and releases the connection or retains it for the open
// transaction.
func (s *callerSession) finishRequest(x *exchange, r *request) error {
	sc := x.serverConn
	before := s.status
	s.status = sc.conn.Status
	s.recordEffects(x, r)
	s.transaction.readOnly = s.transaction.readOnly || (s.status != txIdle && r.readOnly())
	group, server := s.route.group, sc.server.id
	if r.read && len(r.runs) > 0 {
		if err := s.reportServed(sc.replica); err != nil {
			s.retainOrRelease(sc, before, r)
			return err
		}
	}
	seen, err := x.readPosition()
	s.retainOrRelease(sc, before, r)
	if x.currentRead && (err != nil || !s.confirmRead(group, server, seen)) {
		s.vm.metrics.unconfirmed.Add(1)
		return s.sendError(outcome.New(outcome.NotRun, "no majority of the group confirms what was read", "send the read again"))
	}
	if !x.position.IsZero() {
		if confirmed, err := s.confirmCommit(group, server, x.position); !confirmed {
			return err
		}
	}
	if err := s.conn.SendEncoded(x.buffered); err != nil {
		return err
	}
	if !r.sync {
		s.skipping = x.code != ""
		return s.conn.Flush()
	}
	s.unsynced = false
	return s.sendReady()
}

// readPosition returns the end of the log of the server that answered a read of current data.
func (x *exchange) readPosition() (position.Position, error) {
	if !x.currentRead || x.code != "" {
		return position.Position{}, nil
	}
	at, err := x.conn.Position()
	if err != nil {
		x.conn.MarkUnusable()
	}
	return at, err
}

// confirmRead waits until a majority has stored everything up to a position. A position without a record needs no
// confirmation.
func (s *callerSession) confirmRead(g *group, server watermark.ServerID, at position.Position) bool {
	if at.Offset == 0 {
		return true
	}
	_, confirmed := s.vm.confirm(g, server, at)
	return confirmed
}

// reportServed reports to the caller which kind of server ran a read, if it changed since the last report.
func (s *callerSession) reportServed(replica bool) error {
	served := servedPrimary
	if replica {
		served = servedReplica
	}
	if s.lastServed == served {
		return nil
	}
	s.lastServed = served
	return s.conn.Send(&pgproto3.ParameterStatus{Name: caller.ParameterPrefix + parameterServed, Value: served})
}

// retainOrRelease retains the connection for the open transaction, or releases it.
func (s *callerSession) retainOrRelease(sc *serverConn, before byte, r *request) {
	switch {
	case s.status == txIdle && before == txIdle:
		s.vm.release(sc)
	case s.status == txIdle: // the transaction ended
		s.txConn, s.txServer = nil, nil
		s.vm.release(sc)
	case before == txIdle: // a transaction began; it retains the connection but not the slot
		s.vm.releaseSlot(sc)
		s.txConn, s.txServer, s.txTerm = sc.conn, sc.server, sc.term
		s.transaction.replica = sc.replica
		s.transaction.readOnly = r.readOnly()
		s.transaction.requestID, s.parameters.requestID = s.parameters.requestID, ""
	default:
		s.vm.releaseSlot(sc)
	}
}

// recordEffects records what the request changed in the state of the session.
func (s *callerSession) recordEffects(x *exchange, r *request) {
	for _, st := range r.runs {
		if st.Kind != statement.Read && st.Kind != statement.Begin && st.Kind != statement.Commit && st.Kind != statement.Rollback && st.Kind != statement.Show {
			x.conn.HasSessionState = true
		}
	}
	if x.code == "" {
		for _, st := range r.runs {
			s.recordSet(x, st)
		}
	}
	if s.status != txIdle {
		return
	}
	committed := x.tag == "COMMIT"
	if len(s.transaction.settings) > 0 && committed {
		x.conn.AppliedSettings = s.settingsRevision + len(s.transaction.settings)
	}
	s.endTransaction(committed)
}

// recordSet records a SET or RESET that succeeded.
func (s *callerSession) recordSet(x *exchange, st *statement.Statement) {
	if !isSessionSet(st) {
		return
	}
	one := setting{name: st.Name, text: st.Text}
	if s.status != txIdle {
		s.transaction.settings = append(s.transaction.settings, one)
		return
	}
	applied := x.conn.AppliedSettings == s.settingsRevision
	if st.Kind == statement.Reset {
		s.removeSetting(st.Name)
	} else {
		s.addSetting(one)
	}
	if applied {
		x.conn.AppliedSettings = s.settingsRevision
	}
}

// replaySettings applies the settings of the session to a connection that does not have them.
func (s *callerSession) replaySettings(sc *serverConn) error {
	if sc.conn.AppliedSettings == s.settingsRevision {
		return nil
	}
	if err := sc.conn.Discard(); err != nil {
		return err
	}
	for _, one := range s.settings {
		sc.conn.HasSessionState = true
		x := newExchange(s, sc, false)
		err := x.addQuery(one.text, true)
		if err == nil {
			err = x.run(0)
		}
		code := x.code
		x.release()
		if err != nil {
			return err
		}
		if code != "" {
			sc.conn.MarkUnusable()
			return errors.Newf("entryvm: replay of a setting: SQLSTATE %s", code)
		}
	}
	sc.conn.AppliedSettings = s.settingsRevision
	return nil
}

// confirmCommit waits until a majority has stored a commit and sends the caller the token of its session. It returns false if the
// caller got an error instead, or could not be sent the token.
func (s *callerSession) confirmCommit(g *group, server watermark.ServerID, at position.Position) (confirmed bool, err error) {
	floor, confirmed := s.vm.confirm(g, server, at)
	if !confirmed {
		s.vm.metrics.unconfirmed.Add(1)
		return false, s.sendError(unknownOutcome("the commit was not confirmed by a majority of the group"))
	}
	s.raiseFloor(floor)
	err = s.conn.Send(&pgproto3.ParameterStatus{Name: caller.ParameterPrefix + parameterSession, Value: s.token()})
	return err == nil, err
}
