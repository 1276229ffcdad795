package entryvm

import (
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"fireflyrudder.example/fireflyrudder/internal/backend"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// maxBuffered bounds the size of the answers that are buffered until a commit is confirmed, in bytes.
const maxBuffered = 32 << 20

// asyncWriteSize is the size in bytes from which a request is written while answers are read. Otherwise a server that
// blocks on writing its answers would never read the rest of the request.
const asyncWriteSize = 32 << 10

// positionStatus is the parameter in which a server reports the position of a commit.
const positionStatus = "group_position"

// expectedAnswer is one answer that the server, or the VM itself, still has to give.
type expectedAnswer struct {
	kind     byte // message type of the request: P, B, D, E, C, or Z for ReadyForQuery
	internal bool // of an internal statement, so that it is not sent to the caller
	prepared *prepared
	step     *step // message of the caller; nil for messages that the VM added
	local    bool  // the VM answers the step itself
}

// exchange sends one request on one connection and relays its answers. Exchanges are pooled.
type exchange struct {
	session    *callerSession
	serverConn *serverConn
	conn       *backend.Conn
	// mayCommit reports that the request may commit, so that answers from the first CommandComplete on are buffered
	// until the commit is confirmed.
	mayCommit bool
	// hideNotPrimary reports that the read-only error of a server that is no longer the primary is not sent to the
	// caller, since the request did not run.
	hideNotPrimary bool

	expects []expectedAnswer
	next    int

	// currentRead reports a read of current data. Its answer waits until a majority has stored what it read. Otherwise
	// it could return a write that is lost later, and a later read an older value.
	currentRead bool
	buffering   bool
	buffered    []byte // encoded answers that wait for the confirmation

	unconfirmedNames []*prepared // statements named on this connection whose ParseComplete is pending
	position         position.Position
	code             string // SQLSTATE of the first error
	fatal            bool   // the error ends the connection
	errorHidden      bool   // the error was not sent to the caller
	tag              string // last command tag sent to the caller

	wrappedStatements int // number of the caller's statements in a text wrapped in BEGIN and COMMIT; 0: not wrapped
	completions       int // command tags received

	result      *internalResult // receives the last row of internal statements; nil for requests of the caller
	internalTag string          // last command tag of internal statements
}

var exchanges = sync.Pool{New: func() any { return new(exchange) }}

// newExchange returns an exchange on a connection. It must be released.
func newExchange(s *callerSession, sc *serverConn, commits bool) *exchange {
	x := exchanges.Get().(*exchange)
	expects, buffered, named := x.expects[:0], x.buffered[:0], x.unconfirmedNames[:0]
	if cap(buffered) > 1<<20 {
		buffered = nil
	}
	*x = exchange{session: s, serverConn: sc, conn: sc.conn, mayCommit: commits, expects: expects, buffered: buffered, unconfirmedNames: named}
	return x
}

// release returns the exchange to the pool.
func (x *exchange) release() {
	clear(x.expects)
	clear(x.unconfirmedNames)
	x.session, x.serverConn, x.conn = nil, nil, nil
	exchanges.Put(x)
}

// addQuery adds a simple query.
func (x *exchange) addQuery(sql string, internal bool) error {
	x.expects = append(x.expects, expectedAnswer{kind: 'Z', internal: internal})
	return x.conn.Send(&pgproto3.Query{String: sql})
}

// run writes the request and relays the answers. A nil error means that every answer was read.
func (x *exchange) run(size int) error {
	x.conn.ResetSent()
	x.session.setRunning(x.conn)
	defer x.session.setRunning(nil)
	if size < asyncWriteSize {
		if err := x.conn.Flush(); err != nil {
			return err
		}
		return x.read()
	}
	written := make(chan error, 1)
	go func() {
		err := x.conn.Flush()
		if err != nil {
			x.conn.Close() // ends the read
		}
		written <- err
	}()
	err := x.read()
	if err != nil {
		x.conn.Close() // ends the write
	}
	if w := <-written; w != nil {
		return w
	}
	return err
}

// read relays answers up to the last one.
func (x *exchange) read() error {
	if err := x.answerLocal(); err != nil {
		return err
	}
	for x.next < len(x.expects) {
		m, err := x.conn.Receive()
		if err != nil {
			return err
		}
		if err := x.handleMessage(m); err != nil {
			return err
		}
	}
	return nil
}

// answerLocal sends the next answers that the VM gives itself, up to the first that the server gives.
func (x *exchange) answerLocal() error {
	for x.next < len(x.expects) && x.expects[x.next].local {
		e := &x.expects[x.next]
		x.next++
		if err := x.session.answerStep(x, e.step); err != nil {
			return err
		}
		x.session.recordStep(e.step)
	}
	return nil
}

// callerError is an error of the connection to the caller, as opposed to one of the backend server.
type callerError struct{ error }

func (e callerError) Unwrap() error { return e.error }

// handleMessage handles one message of the server.
func (x *exchange) handleMessage(m pgproto3.BackendMessage) error {
	head := &x.expects[x.next]
	switch m := m.(type) {
	case *pgproto3.DataRow:
		if head.internal {
			x.collectRow(m)
			return nil
		}
		return x.emit(m)
	case *pgproto3.ParameterStatus:
		return x.handleParameterStatus(m)
	case *pgproto3.NotificationResponse:
		return nil
	case *pgproto3.NoticeResponse:
		if head.internal {
			return nil
		}
		return x.emit(m)
	case *pgproto3.ErrorResponse:
		return x.handleError(m)
	case *pgproto3.ReadyForQuery:
		return x.handleReady()
	case *pgproto3.ParseComplete:
		x.confirmName(head.prepared)
		return x.complete(m, 'P')
	case *pgproto3.BindComplete:
		return x.complete(m, 'B')
	case *pgproto3.CloseComplete:
		return x.complete(m, 'C')
	case *pgproto3.RowDescription:
		x.collectColumns(m)
		return x.complete(m, 'D')
	case *pgproto3.NoData:
		return x.complete(m, 'D')
	case *pgproto3.CommandComplete:
		if x.completions++; x.wrappedStatements > 0 && (x.completions == 1 || x.completions == x.wrappedStatements+2) {
			return nil // of BEGIN and COMMIT
		}
		x.recordTag(m, head.internal)
		return x.complete(m, 'E')
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return x.complete(m, 'E')
	case *pgproto3.ParameterDescription:
		if head.internal {
			return nil
		}
		return x.emit(m)
	}
	// COPY is refused before it is sent, and no other message belongs to the answer of a statement.
	x.conn.MarkUnusable()
	return errUnexpected
}

// recordTag records a command tag and starts to buffer the answers of a request that may commit.
func (x *exchange) recordTag(m *pgproto3.CommandComplete, internal bool) {
	if internal {
		if x.result != nil {
			x.internalTag = string(m.CommandTag)
		}
		return
	}
	if x.mayCommit || x.session.status != txIdle {
		x.tag = string(m.CommandTag)
	}
	x.buffering = x.buffering || x.mayCommit
}

// collectRow stores a row of an internal statement.
func (x *exchange) collectRow(m *pgproto3.DataRow) {
	if x.result == nil {
		return
	}
	x.result.values = x.result.values[:0]
	for _, value := range m.Values {
		x.result.values = append(x.result.values, string(value))
	}
}

func (x *exchange) collectColumns(m *pgproto3.RowDescription) {
	if x.result == nil {
		return
	}
	x.result.columns = x.result.columns[:0]
	for _, field := range m.Fields {
		x.result.columns = append(x.result.columns, string(field.Name))
	}
}

// complete relays a message that ends an answer of the given kind, and advances to the next answer. Within a simple
// query only ReadyForQuery ends the answer.
func (x *exchange) complete(m pgproto3.BackendMessage, kind byte) error {
	head := &x.expects[x.next]
	if !head.internal {
		if err := x.emit(m); err != nil {
			return err
		}
	}
	if head.kind == 'Z' {
		return nil
	}
	if head.kind != kind {
		x.conn.MarkUnusable()
		return errUnexpected
	}
	if head.step != nil {
		x.session.recordStep(head.step)
	}
	x.next++
	return x.answerLocal()
}

// handleReady handles ReadyForQuery. The last one ends the exchange; the session sends its own to the caller.
func (x *exchange) handleReady() error {
	for x.next < len(x.expects) && x.expects[x.next].kind != 'Z' {
		x.next++ // skipped by the server after an error
	}
	if x.next == len(x.expects) {
		x.conn.MarkUnusable()
		return errUnexpected
	}
	x.next++
	return x.answerLocal()
}

// handleParameterStatus handles a parameter that the server reports.
func (x *exchange) handleParameterStatus(m *pgproto3.ParameterStatus) error {
	if m.Name == positionStatus {
		p, err := position.Parse(m.Value)
		if err != nil {
			return err
		}
		x.position = p
		return nil
	}
	if m.Name == "application_name" || strings.HasPrefix(m.Name, "group_") {
		return nil
	}
	return x.emit(m)
}

// handleError handles an error of the server.
func (x *exchange) handleError(m *pgproto3.ErrorResponse) error {
	if x.code == "" {
		x.code = m.Code
	}
	x.removeUnconfirmedNames()
	head := &x.expects[x.next]
	for x.next < len(x.expects) && x.expects[x.next].kind != 'Z' {
		x.next++ // the server skips to Sync; without one no more answers follow
	}
	if m.Severity == "FATAL" || m.Severity == "PANIC" {
		x.fatal = true // the end of the connection follows
		return nil
	}
	if m.Code == string(stateChangedResult) || m.Code == string(stateUndefinedStatement) {
		x.conn.MarkUnusable() // a statement prepared here no longer fits its tables
	}
	if head.internal {
		return nil
	}
	if x.wrappedStatements > 0 && m.Position > int32(len(wrapPrefix)) {
		m.Position -= int32(len(wrapPrefix))
	}
	if outcome.SQLState(m.Code) == stateReadOnly && x.hideNotPrimary {
		x.errorHidden = true
		return nil
	}
	return x.emit(m)
}

// confirmName records that the statement was prepared on the connection.
func (x *exchange) confirmName(p *prepared) {
	for i, one := range x.unconfirmedNames {
		if one == p {
			x.unconfirmedNames = append(x.unconfirmedNames[:i], x.unconfirmedNames[i+1:]...)
			return
		}
	}
}

// removeUnconfirmedNames removes the names of statements whose preparation failed or was skipped.
func (x *exchange) removeUnconfirmedNames() {
	for _, p := range x.unconfirmedNames {
		x.conn.RemovePrepared(p.key)
	}
	x.unconfirmedNames = x.unconfirmedNames[:0]
}

// emit sends a message to the caller, or buffers it until the confirmation.
func (x *exchange) emit(m pgproto3.BackendMessage) error {
	if !x.buffering {
		if err := x.session.conn.Send(m); err != nil {
			return callerError{err}
		}
		return nil
	}
	encoded, err := m.Encode(x.buffered)
	if err != nil {
		return err
	}
	x.buffered = encoded
	if len(encoded) > maxBuffered {
		return errAnswerTooLarge
	}
	return nil
}
