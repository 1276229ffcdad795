package entryvm

import (
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"fireflyrudder.example/fireflyrudder/internal/backend"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// maxHeld bounds the answers that are kept back until a commit is confirmed, in bytes.
const maxBuffered = 32 << 20

// asyncWrite is the size of a request from which it is written while answers are read: a server that
// blocks on its answers would otherwise never read the rest of the request.
const asyncWrite = 32 << 10

// positionStatus is the parameter in which a server reports the position of a commit.
const positionStatus = "group_position"

// expect is one answer that is due.
type expectedAnswer struct {
	kind     byte // message type of the request: P, B, D, E, C, or Z for ReadyForQuery
	internal bool // not for the caller
	prepared *prepared
	step     *step // of the caller; nil for what the VM added
	local    bool  // the VM answers the step itself
}

// exchange is one request on one connection. It is reused.
type exchange struct {
	session    *callerSession
	serverConn *serverConn
	conn       *backend.Conn
	// commits tells that answers from the first completion on wait for confirmation.
	mayCommit bool
	// tentative tells that the refusal of a server that is not the primary any more is not shown, since
	// the request did not run.
	hideNotPrimary bool

	expects []expectedAnswer
	next    int

	// current tells of a read of current data: its answer waits until a majority holds what it saw, since
	// a write that is lost later could be read else, and then an older value.
	currentRead bool
	buffering   bool
	buffered    []byte // encoded answers that wait for confirmation

	unconfirmedNames []*prepared // names given on this connection whose ParseComplete is due
	position         position.Position
	code             string // SQLSTATE of the first error
	fatal            bool   // the error ends the connection
	errorHidden      bool   // the error was not shown
	tag              string // last command tag shown

	wrappedStatements int // statements of the caller in a text with BEGIN and COMMIT around; 0: not wrapped
	completions       int // command tags seen

	result      *internalResult // takes the last row of the VM's own statements; nil for requests of the caller
	internalTag string          // last command tag of the VM's own statements
}

var exchanges = sync.Pool{New: func() any { return new(exchange) }}

// newExchange starts an exchange on a lane.
func newExchange(s *callerSession, sc *serverConn, commits bool) *exchange {
	x := exchanges.Get().(*exchange)
	expects, held, named := x.expects[:0], x.buffered[:0], x.unconfirmedNames[:0]
	if cap(held) > 1<<20 {
		held = nil
	}
	*x = exchange{session: s, serverConn: sc, conn: sc.conn, mayCommit: commits, expects: expects, buffered: held, unconfirmedNames: named}
	return x
}

// release gives the exchange back.
func (x *exchange) release() {
	clear(x.expects)
	clear(x.unconfirmedNames)
	x.session, x.serverConn, x.conn = nil, nil, nil
	exchanges.Put(x)
}

// query adds a simple query.
func (x *exchange) addQuery(sql string, swallow bool) error {
	x.expects = append(x.expects, expectedAnswer{kind: 'Z', internal: swallow})
	return x.conn.Send(&pgproto3.Query{String: sql})
}

// run writes the request and relays the answers. A nil error means that every answer was read.
func (x *exchange) run(size int) error {
	x.conn.ResetSent()
	x.session.setRunning(x.conn)
	defer x.session.setRunning(nil)
	if size < asyncWrite {
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

// read relays until the last answer.
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

// answerLocal runs the answers at the head that the VM gives itself.
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

// callerError is a failure to write to the caller, as opposed to one of the backend server.
type callerError struct{ error }

func (e callerError) Unwrap() error { return e.error }

// take handles one message of the server.
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
	// COPY is refused before it is sent, and nothing else belongs to the answer of a statement.
	x.conn.MarkUnusable()
	return errUnexpected
}

// completed notes a command tag.
func (x *exchange) recordTag(m *pgproto3.CommandComplete, swallow bool) {
	if swallow {
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

// collect takes a row of the VM's own statement.
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

// complete passes a message on and goes to the next answer if it ends one of the given kind. Within a
// simple query only ReadyForQuery ends the answer.
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

// settled handles ReadyForQuery. The last one ends the exchange; the session sends its own.
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

// status handles a parameter that the server reports.
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

// fail handles an error of the server.
func (x *exchange) handleError(m *pgproto3.ErrorResponse) error {
	if x.code == "" {
		x.code = m.Code
	}
	x.removeUnconfirmedNames()
	head := &x.expects[x.next]
	for x.next < len(x.expects) && x.expects[x.next].kind != 'Z' {
		x.next++ // the server skips to Sync; without one nothing more is due
	}
	if m.Severity == "FATAL" || m.Severity == "PANIC" {
		x.fatal = true // the end of the connection follows
		return nil
	}
	if m.Code == string(stateChangedResult) || m.Code == string(stateNoStatement) {
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

// confirmName notes that a name given on the connection exists.
func (x *exchange) confirmName(p *prepared) {
	for i, one := range x.unconfirmedNames {
		if one == p {
			x.unconfirmedNames = append(x.unconfirmedNames[:i], x.unconfirmedNames[i+1:]...)
			return
		}
	}
}

// forgetNames drops the names whose preparation failed or was skipped.
func (x *exchange) removeUnconfirmedNames() {
	for _, p := range x.unconfirmedNames {
		x.conn.RemovePrepared(p.key)
	}
	x.unconfirmedNames = x.unconfirmedNames[:0]
}

// emit passes a message to the caller, or keeps it back until the commit is confirmed.
func (x *exchange) emit(m pgproto3.BackendMessage) error {
	if !x.buffering {
		if err := x.session.conn.Send(m); err != nil {
			return callerError{err}
		}
		return nil
	}
	held, err := m.Encode(x.buffered)
	if err != nil {
		return err
	}
	x.buffered = held
	if len(held) > maxBuffered {
		return errAnswerTooLarge
	}
	return nil
}
