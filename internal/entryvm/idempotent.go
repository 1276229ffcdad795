package entryvm

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"fireflyrudder.example/fireflyrudder/internal/backend"
	"fireflyrudder.example/fireflyrudder/internal/statement"
	"fireflyrudder.example/fireflyrudder/internal/watermark"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// Internal statements. The record of a request id commits in the same transaction as the request, so that either
// both are durable or neither is.
var (
	insertRecord  = internalStatement("INSERT INTO "+statement.RequestTable+" (account, id, digest, tag) VALUES ($1, $2, $3, $4)", 4)
	updateRecord  = internalStatement("UPDATE "+statement.RequestTable+" SET tag = $3 WHERE account = $1 AND id = $2", 3)
	selectRecord  = internalStatement("SELECT digest, tag FROM "+statement.RequestTable+" WHERE account = $1 AND id = $2", 2)
	beginReadOnly = internalStatement("BEGIN READ ONLY", 0)
	endReadOnly   = internalStatement("COMMIT", 0)
	selectStatus  = internalStatement("SELECT * FROM group_status()", 0)
)

const createRequestTable = "CREATE TABLE IF NOT EXISTS " + statement.RequestTable +
	" (account text NOT NULL, id text NOT NULL, digest text NOT NULL, tag text NOT NULL, PRIMARY KEY (account, id))"

// internalStatement returns a prepared statement of the VM with text parameters.
func internalStatement(sql string, parameters int) *prepared {
	p := &prepared{sql: sql, key: "own\x00" + sql}
	for range parameters {
		p.oids = append(p.oids, textOID)
	}
	return p
}

// digest identifies the statements and parameter values that a request id stands for.
type digest struct {
	hash hash.Hash
}

// addRequest adds the text of a simple query, or the statements and parameter values of extended messages.
func (d *digest) addRequest(r *request) {
	if d.hash == nil {
		d.hash = sha256.New()
	}
	if r.text != "" {
		d.addValue([]byte(r.text))
	}
	// Parse is left out: drivers prepare a statement only the first time.
	for i := range r.steps {
		switch m := r.steps[i].message.(type) {
		case *pgproto3.Bind:
			d.addValue([]byte(r.steps[i].prepared.sql))
			for _, value := range m.Parameters {
				d.addValue(value)
			}
		case *pgproto3.Execute:
			d.addValue([]byte(r.steps[i].prepared.sql))
		}
	}
}

// addValue adds one value prefixed with its length, so that the boundaries of adjacent values are unambiguous.
func (d *digest) addValue(b []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(b)))
	d.hash.Write(size[:])
	d.hash.Write(b)
}

func (d *digest) String() string {
	if d.hash == nil {
		return ""
	}
	return hex.EncodeToString(d.hash.Sum(nil))
}

// addInternal adds an internal statement with text values. Its answer is not sent to the caller.
func (x *exchange) addInternal(p *prepared, values ...string) error {
	name, err := x.ensurePrepared(p)
	if err != nil {
		return err
	}
	bind := &pgproto3.Bind{PreparedStatement: name}
	for _, value := range values {
		bind.Parameters = append(bind.Parameters, []byte(value))
	}
	x.expects = append(x.expects, expectedAnswer{kind: 'B', internal: true}, expectedAnswer{kind: 'D', internal: true},
		expectedAnswer{kind: 'E', internal: true}, expectedAnswer{kind: 'Z', internal: true})
	for _, m := range []pgproto3.FrontendMessage{bind, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{}} {
		if err := x.conn.Send(m); err != nil {
			return err
		}
	}
	return nil
}

// runInternal runs internal statements on a connection. None of their answers is sent to the caller. The result
// has the SQLSTATE of the first error and the columns and values of the last row.
func (s *callerSession) runInternal(sc *serverConn, add func(x *exchange) error) (row internalResult, err error) {
	x := newExchange(s, sc, false)
	defer x.release()
	x.result = &row
	if err = add(x); err == nil {
		err = x.run(0)
	}
	if err == nil && x.fatal {
		err = errUnexpected
	}
	row.code, row.tag, row.position = x.code, x.internalTag, x.position
	return row, err
}

// internalResult is the last row of internal statements and how they ended.
type internalResult struct {
	columns  []string
	values   []string
	code     string // SQLSTATE of the first error; empty if there was none
	tag      string // last command tag
	position position.Position
}

// performIdempotent runs a request and the insertion of its request id in one transaction, so that the request
// takes effect at most once.
func (s *callerSession) performIdempotent(w *requestWait, r *request) error {
	if refusal := refuseTransactionControl(r); refusal != nil {
		return s.sendError(refusal)
	}
	id := s.parameters.requestID
	s.parameters.requestID = ""
	var d digest
	d.addRequest(r)
	mark := s.conn.Mark()
	for {
		sc, refusal := s.acquireForWrite(w)
		if refusal != nil {
			return s.sendError(refusal)
		}
		again, err := s.attemptIdempotent(sc, r, id, d.String())
		if !again {
			return err
		}
		if !s.conn.Rewind(mark) || !s.mayRetry(w, outcome.NotRun, false, true) {
			return s.sendError(outcome.New(outcome.NotRun, "the backend server failed before the commit; the statement did not run", "send it again with the same request id"))
		}
	}
}

// refuseTransactionControl refuses requests that cannot run in a transaction which the VM controls.
func refuseTransactionControl(r *request) *outcome.Error {
	for _, st := range r.runs {
		for i := range st.Parts {
			switch st.Parts[i].Kind {
			case statement.Begin, statement.Commit, statement.Rollback:
				return outcome.New(outcome.Unsupported, "a request id is not carried with BEGIN, COMMIT or ROLLBACK among other statements",
					"send BEGIN, the statements and COMMIT one by one")
			}
		}
	}
	return nil
}

// attemptIdempotent makes one attempt: it inserts the record, runs the request and commits. again reports that
// nothing can have committed.
func (s *callerSession) attemptIdempotent(sc *serverConn, r *request, id, sum string) (again bool, err error) {
	if s.replaySettings(sc) != nil {
		s.vm.release(sc)
		return true, nil
	}
	if !s.ensureRequestTable(sc) {
		return true, nil
	}
	account := s.conn.Startup.Account
	row, err := s.runInternal(sc, func(x *exchange) error {
		if err := x.addQuery("BEGIN", true); err != nil {
			return err
		}
		return x.addInternal(insertRecord, account, id, sum, "")
	})
	sc.conn.HasSessionState = true
	switch {
	case err != nil, outcome.SQLState(row.code) == stateReadOnly:
		s.discardConn(sc)
		return true, nil
	case outcome.SQLState(row.code) == stateUniqueViolation:
		return s.answerDuplicate(sc, r, id, sum)
	case outcome.SQLState(row.code) == stateUndefinedTable:
		s.forgetRequestTable()
		s.discardConn(sc)
		return true, nil
	case row.code != "":
		s.discardConn(sc)
		return false, s.sendError(outcome.New(outcome.NotRun, "the request id could not be recorded (SQLSTATE "+row.code+"); the statement did not run", "send it again"))
	}
	return s.runRecorded(sc, r, id)
}

// discardConn releases the connection marked as unusable, so that an open transaction on it rolls back.
func (s *callerSession) discardConn(sc *serverConn) {
	sc.conn.MarkUnusable()
	s.vm.release(sc)
}

// ensureRequestTable creates the table of request ids on the first use of a database. It returns false if it failed
// and discarded the connection, so that another attempt is needed.
func (s *callerSession) ensureRequestTable(sc *serverConn) bool {
	key := requestTableKey{group: s.route.group, database: s.route.database}
	if _, known := s.vm.requestTables.Load(key); known {
		return true
	}
	row, err := s.runInternal(sc, func(x *exchange) error { return x.addQuery(createRequestTable, true) })
	if err != nil || row.code != "" {
		s.discardConn(sc)
		return false
	}
	s.vm.requestTables.Store(key, struct{}{})
	return true
}

// requestTableKey identifies a database that has the table of request ids.
type requestTableKey struct {
	group    *group
	database string
}

// forgetRequestTable removes the record that the database has the table, for instance after a failover that lost
// its creation.
func (s *callerSession) forgetRequestTable() {
	s.vm.requestTables.Delete(requestTableKey{group: s.route.group, database: s.route.database})
}

// runRecorded runs the request after its record was inserted, and commits both. again reports that nothing can have
// committed.
func (s *callerSession) runRecorded(sc *serverConn, r *request, id string) (again bool, err error) {
	x := newExchange(s, sc, true)
	defer x.release()
	x.hideNotPrimary = true
	size, err := x.send(r)
	if err == nil {
		err = x.run(size)
	}
	var callerErr callerError
	switch {
	case errors.As(err, &callerErr):
		s.discardConn(sc)
		return false, errEnd
	case err != nil, x.fatal, x.errorHidden:
		s.discardConn(sc)
		return true, nil
	case sc.conn.Status != txOpen:
		// The statement failed and its error was sent to the caller, or it ended the transaction itself.
		s.discardConn(sc)
		if x.code == "" {
			return false, s.sendError(unknownOutcome("the statement ended the transaction of its request id"))
		}
		if err := s.conn.SendEncoded(x.buffered); err != nil {
			return false, err
		}
		return false, s.sendReady()
	}
	account := s.conn.Startup.Account
	row, err := s.runInternal(sc, func(y *exchange) error {
		if err := y.addInternal(updateRecord, account, id, x.tag); err != nil {
			return err
		}
		return y.addQuery("COMMIT", true)
	})
	if err != nil {
		s.discardConn(sc)
		return false, s.sendError(unknownOutcome("the connection to the primary was lost during the commit"))
	}
	if row.code != "" || row.tag != "COMMIT" {
		s.discardConn(sc)
		return false, s.sendError(outcome.New(outcome.NotRun, "the commit was refused (SQLSTATE "+row.code+"); nothing was changed", "send it again with the same request id"))
	}
	group, server := s.route.group, sc.server.id
	s.vm.release(sc)
	return false, s.acknowledge(group, server, row.position, x.buffered)
}

// acknowledge sends a buffered answer once a majority has stored the commit.
func (s *callerSession) acknowledge(g *group, server watermark.ServerID, at position.Position, answer []byte) error {
	if confirmed, err := s.confirmCommit(g, server, at); !confirmed {
		return err
	}
	if err := s.conn.SendEncoded(answer); err != nil {
		return err
	}
	return s.sendReady()
}

// answerDuplicate answers a request whose id is already recorded with the outcome of the first run. again reports
// that the record or the position of the primary could not be read.
func (s *callerSession) answerDuplicate(sc *serverConn, r *request, id, sum string) (again bool, err error) {
	account := s.conn.Startup.Account
	row, err := s.runInternal(sc, func(x *exchange) error {
		if err := x.addQuery("ROLLBACK", true); err != nil {
			return err
		}
		return x.addInternal(selectRecord, account, id)
	})
	if err != nil || row.code != "" || len(row.values) != 2 {
		s.discardConn(sc) // the first run may have rolled back meanwhile
		return true, nil
	}
	first, tag := row.values[0], row.values[1]
	// The record may be on the primary only. Its position is unknown but no higher than the current end of the
	// primary's log, so confirmation of that position covers the record.
	row, err = s.runInternal(sc, func(x *exchange) error { return x.addInternal(selectStatus) })
	group, server := s.route.group, sc.server.id
	s.vm.release(sc)
	if err != nil || row.code != "" {
		return true, nil
	}
	at, err := backend.ParsePosition(row.columns, row.values)
	if err != nil {
		return true, nil
	}
	if first != sum {
		return false, s.sendError(outcome.New(outcome.RequestIDReused, "the request id belongs to another statement; this one did not run", "use a new request id"))
	}
	s.vm.metrics.duplicates.Add(1)
	x := newExchange(s, sc, false)
	defer x.release()
	x.buffering = true
	if err := x.sendRecorded(r, tag); err != nil {
		return false, err
	}
	return false, s.acknowledge(group, server, at, x.buffered)
}

// sendRecorded answers a request that ran earlier, with its recorded command tag. Its rows are not stored.
func (x *exchange) sendRecorded(r *request, tag string) error {
	for i := range r.steps {
		var m pgproto3.BackendMessage
		switch d := r.steps[i].message.(type) {
		case *pgproto3.Parse:
			m = &pgproto3.ParseComplete{}
		case *pgproto3.Bind:
			m = &pgproto3.BindComplete{}
		case *pgproto3.Close:
			m = &pgproto3.CloseComplete{}
		case *pgproto3.Describe:
			if d.ObjectType == 'S' {
				if err := x.emit(&pgproto3.ParameterDescription{ParameterOIDs: r.steps[i].prepared.oids}); err != nil {
					return err
				}
			}
			m = &pgproto3.NoData{}
		case *pgproto3.Execute:
			m = &pgproto3.CommandComplete{CommandTag: []byte(tag)}
		}
		if err := x.emit(m); err != nil {
			return err
		}
		x.session.recordStep(&r.steps[i])
	}
	if r.text == "" {
		return nil
	}
	return x.emit(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// commitRecorded commits a transaction with a request id: it inserts the record, then sends COMMIT.
func (s *callerSession) commitRecorded(w *requestWait, sc *serverConn, r *request) error {
	account, id, sum := s.conn.Startup.Account, s.transaction.requestID, s.transaction.digest.String()
	row, err := s.runInternal(sc, func(x *exchange) error { return x.addInternal(insertRecord, account, id, sum, "COMMIT") })
	sc.conn.HasSessionState = true
	switch {
	case err != nil || outcome.SQLState(row.code) == stateReadOnly:
		s.failTransaction()
		return s.sendError(rolledBack("the connection to the backend server was lost before the commit"))
	case outcome.SQLState(row.code) == stateUniqueViolation:
		return s.answerDuplicateCommit(sc, r, id, sum)
	case outcome.SQLState(row.code) == stateUndefinedTable:
		s.forgetRequestTable()
		s.failTransaction()
		return s.sendError(rolledBack("the table of request ids was missing"))
	case row.code != "":
		s.failTransaction()
		return s.sendError(rolledBack("the request id could not be recorded (SQLSTATE " + row.code + ")"))
	}
	s.transaction.requestID = ""
	return s.performInTransaction(w, r)
}

// answerDuplicateCommit answers the COMMIT of a transaction that an earlier run committed. This run rolls back.
func (s *callerSession) answerDuplicateCommit(sc *serverConn, r *request, id, sum string) error {
	s.txConn, s.txServer = nil, nil
	s.endTransaction(false)
	again, err := s.answerDuplicate(sc, r, id, sum)
	if again {
		return s.sendError(unknownOutcome("the record of the request id could not be read"))
	}
	return err
}
