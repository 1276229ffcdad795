package entryvm

import (
	"context"
	"crypto/subtle"
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"fireflyrudder.example/fireflyrudder/internal/backend"
	"fireflyrudder.example/fireflyrudder/internal/caller"
	"fireflyrudder.example/fireflyrudder/internal/session"
	"fireflyrudder.example/fireflyrudder/internal/slots"
	"fireflyrudder.example/fireflyrudder/internal/statement"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// Transaction status as reported by ReadyForQuery.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

// callerSession is the session of one caller connection. Its fields are used by the session's goroutine only, unless
// noted otherwise.
type callerSession struct {
	vm        *VM
	conn      *caller.Conn
	id        uint64 // identifies the session to connection pools
	pid       uint32
	secretKey uint32       // secret that cancel requests must carry
	route     *callerRoute // as of the last statement
	floor     floor

	parameters       parameters
	statements       map[string]*prepared // by the name that the caller chose
	portals          map[string]*prepared // of the open transaction
	settings         []setting            // of SET, replayed on each connection
	settingsRevision int                  // counts changes of settings
	lastServed       string               // kind of server last reported for a read

	status      byte          // I, T or E
	txConn      *backend.Conn // connection of the open transaction
	txServer    *serverState  // server of txConn
	txTerm      position.Term // term of the group when the transaction began
	transaction transactionState

	pending      []step // extended messages since the last Sync
	pendingBytes int    // size of pending
	skipping     bool   // messages are skipped until Sync, after an error that was answered on Flush
	flushing     bool   // the request ended with Flush, so that its answer has no ReadyForQuery
	unsynced     bool   // the server of txConn expects a Sync

	// closeReason is the error with which the session must close as soon as it may; nil if it need not close.
	closeReason atomic.Pointer[outcome.Error]
	// closeNow reports that the session closes without waiting for the end of the open transaction.
	closeNow atomic.Bool

	ticket *slots.Ticket // admission ticket; nil before the first statement

	mu      sync.Mutex
	running *backend.Conn      // connection to which cancel requests are sent; guarded by mu
	waiting context.CancelFunc // cancels the wait for credits, slots and servers; guarded by mu
	phase   phase              // guarded by mu
}

// Parameter status that reports to callers which kind of server ran their last read.
const (
	parameterServed = "served"
	servedReplica   = "replica"
	servedPrimary   = "primary"
)

// phase determines whether another goroutine may interrupt the session.
type phase uint8

const (
	phaseIdle          phase = iota // waits for a message, without an open transaction or pending messages
	phaseInTransaction              // waits for a message, with an open transaction or pending messages
	phaseBusy                       // handles a message
)

// transactionState is the state of the open transaction.
type transactionState struct {
	readOnly  bool      // declared, as by BEGIN READ ONLY
	settings  []setting // of SET within the transaction; they become settings of the session if it commits
	replica   bool      // runs on a replica
	requestID string    // request id of the transaction; empty if it has none
	digest    digest    // of the statements; maintained only with a request id
}

// setting is a run-time parameter that the caller set for its session.
type setting struct {
	name string // lower case
	text string // statement that sets it
}

// prepared is a prepared statement of the caller, or an internal one.
type prepared struct {
	sql       string
	oids      []uint32
	key       string // identifies text and parameter types on a pooled connection
	statement *statement.Statement
	refusal   *outcome.Error // set if the statement is not supported
}

// floor is the lowest position whose data reads of the session must include, in the group of its route.
type floor struct {
	session   *session.Session
	pending   chan position.Position // receives the result of the majority round in progress; nil if none is awaited
	known     bool
	fromToken bool // the floors come from a session token
}

// startupParameters are sent to every caller after authentication. The version is that of the supported SQL dialect
// and protocol.
var startupParameters = [][2]string{
	{"server_version", "16.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"IntervalStyle", "postgres"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
	{"is_superuser", "off"},
}

// newSession returns the session of an authenticated caller.
func newSession(vm *VM, c *caller.Conn, r *callerRoute) *callerSession {
	return &callerSession{vm: vm, conn: c, route: r, status: txIdle, parameters: parameters{deadline: vm.options.Entry.Wait}}
}

// completeStartup sends the messages that complete the startup.
func (s *callerSession) completeStartup() error {
	for _, p := range startupParameters {
		if err := s.conn.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]}); err != nil {
			return err
		}
	}
	var secret [4]byte
	binary.BigEndian.PutUint32(secret[:], s.secretKey)
	if err := s.conn.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: secret[:]}); err != nil {
		return err
	}
	return s.sendReady()
}

// sendReady sends ReadyForQuery with the transaction status.
func (s *callerSession) sendReady() error {
	if err := s.conn.Send(&pgproto3.ReadyForQuery{TxStatus: s.status}); err != nil {
		return err
	}
	return s.conn.Flush()
}

// serve handles messages until the caller or the VM ends the session.
func (s *callerSession) serve() {
	defer s.close()
	if s.completeStartup() != nil {
		return
	}
	for {
		if s.closeIfRequested() {
			return
		}
		m, err := s.conn.Receive()
		if err != nil {
			if s.resumeInterrupted() {
				continue
			}
			s.reportReceiveError(err)
			return
		}
		s.setPhase(phaseBusy)
		if err := s.handle(m); err != nil {
			return
		}
		s.updatePhase()
	}
}

// reportReceiveError sends a fatal error for a protocol violation by the caller. A lost connection is not reported.
func (s *callerSession) reportReceiveError(err error) {
	var large *pgproto3.ExceededMaxBodyLenErr
	switch {
	case errors.As(err, &large):
		s.conn.Fatal(outcome.New(outcome.ProtocolViolation, "the message is larger than "+strconv.Itoa(large.MaxExpectedBodyLen)+" bytes",
			"send the data in several statements"))
	case !isNetwork(err):
		s.conn.Fatal(outcome.New(outcome.ProtocolViolation, err.Error(), "use a driver for protocol 3.0"))
	}
}

func (s *callerSession) setPhase(p phase) {
	s.mu.Lock()
	s.phase = p
	s.mu.Unlock()
}

// updatePhase sets the phase after a message was handled.
func (s *callerSession) updatePhase() {
	if s.status == txIdle && len(s.pending) == 0 {
		s.setPhase(phaseIdle)
	} else {
		s.setPhase(phaseInTransaction)
	}
}

// closeIfRequested closes the session if that was requested and is allowed now. A request that has not been read yet
// has not run. One of which a part was read may complete, like an open transaction.
func (s *callerSession) closeIfRequested() bool {
	why := s.closeReason.Load()
	open := s.status != txIdle || len(s.pending) > 0
	if why == nil || (open && !s.closeNow.Load()) {
		return false
	}
	s.conn.Fatal(why)
	return true
}

// resumeInterrupted handles a receive that requestClose interrupted. It reports whether the session goes on, if only
// to close.
func (s *callerSession) resumeInterrupted() bool {
	if !s.conn.Interrupted() {
		return false
	}
	s.conn.Resume()
	return true
}

// requestClose requests that the session closes. Without force an open transaction or a request of which a part was read
// may end first.
func (s *callerSession) requestClose(why *outcome.Error, force bool) {
	s.closeReason.Store(why)
	if force {
		s.closeNow.Store(true)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == phaseIdle || (force && s.phase == phaseInTransaction) {
		s.conn.Interrupt()
	}
}

// abort ends the session immediately, even in the middle of a statement.
func (s *callerSession) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running != nil {
		s.running.Close()
	}
	if s.waiting != nil {
		s.waiting()
	}
	s.conn.Close()
}

// close releases the resources of the session. An open transaction rolls back with its connection.
func (s *callerSession) close() {
	s.closeTxConn()
	s.abandonFloor()
	s.conn.Close()
	s.vm.sessions.remove(s)
}

// closeTxConn releases the connection of the open transaction marked as unusable, so that the transaction rolls back
// at the server.
func (s *callerSession) closeTxConn() {
	if s.txConn == nil {
		return
	}
	s.setRunning(nil)
	s.txConn.MarkUnusable()
	s.txServer.pool.Release(s.txConn)
	s.txConn, s.txServer = nil, nil
}

// setRunning sets the connection to which cancel requests are sent. It waits for a cancel request that is being
// delivered, so that the delivery completes before the connection serves anything else.
func (s *callerSession) setRunning(c *backend.Conn) {
	s.mu.Lock()
	s.running = c
	s.mu.Unlock()
}

// cancel handles a cancel request. A connection to which one was sent is closed at the end of its transaction, since
// the server may act on the request late.
func (s *callerSession) cancel(ctx context.Context, secret uint32) {
	var a, b [4]byte
	binary.BigEndian.PutUint32(a[:], secret)
	binary.BigEndian.PutUint32(b[:], s.secretKey)
	if subtle.ConstantTimeCompare(a[:], b[:]) != 1 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running != nil {
		s.running.MarkUnusable()
		s.running.Cancel(ctx) //nolint:errcheck // cancel requests have no answer
		return
	}
	if s.waiting != nil {
		s.waiting()
	}
}

// handle handles one message. An error ends the session.
func (s *callerSession) handle(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Query:
		if len(s.pending) > 0 { // a simple query also ends a sequence of extended messages
			if err := s.handleExtended(false); err != nil {
				return err
			}
		}
		return s.handleSimple(m.String)
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		return s.collect(m)
	case *pgproto3.Flush:
		return s.handleExtended(false)
	case *pgproto3.Sync:
		return s.handleExtended(true)
	case *pgproto3.Terminate:
		return errEnd
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // remaining messages of a COPY that was refused
	case *pgproto3.FunctionCall:
		return s.refuse(outcome.New(outcome.Unsupported, "function calls by message are not carried", "use SELECT"))
	}
	s.conn.Fatal(outcome.New(outcome.ProtocolViolation, "unexpected message", "use a driver for protocol 3.0"))
	return errEnd
}

// errEnd ends a session without an error of the VM.
var errEnd = errors.New("entryvm: the session ended")

// refuse answers a request with an error. An open transaction rolls back, as after an error of the server.
func (s *callerSession) refuse(o *outcome.Error) error {
	s.failTransaction()
	return s.sendError(o)
}

// sendError sends an error and the transaction status.
func (s *callerSession) sendError(o *outcome.Error) error {
	s.vm.metrics.outcomes.Add(string(o.State), 1)
	if err := s.conn.Send(caller.ErrorResponse("ERROR", o)); err != nil {
		return err
	}
	if s.flushing {
		s.skipping = true
		return s.conn.Flush()
	}
	return s.sendReady()
}

// failTransaction rolls back an open transaction. To the caller it is a failed transaction until the caller ends it.
func (s *callerSession) failTransaction() {
	if s.status == txIdle {
		return
	}
	s.closeTxConn()
	s.status = txFailed
}

// transactionLost reports whether the transaction failed and no longer has a connection.
func (s *callerSession) transactionLost() bool {
	return s.status != txIdle && s.txConn == nil
}

// endTransaction resets the transaction state. If the transaction committed, its settings become those of the
// session.
func (s *callerSession) endTransaction(committed bool) {
	if committed {
		for _, one := range s.transaction.settings {
			s.addSetting(one)
		}
	}
	s.status = txIdle
	s.transaction = transactionState{}
	s.portals = nil
}

// addSetting records a SET for replay on other connections.
func (s *callerSession) addSetting(one setting) {
	s.removeSetting(one.name)
	s.settings = append(s.settings, one)
}

// removeSetting removes the recorded SET of one parameter, or of all.
func (s *callerSession) removeSetting(name string) {
	s.settingsRevision++
	kept := make([]setting, 0, len(s.settings)+1)
	for _, one := range s.settings {
		if one.name != name && name != statement.All {
			kept = append(kept, one)
		}
	}
	s.settings = kept
}

// isNetwork reports whether an error is that of a lost connection and not of an invalid message.
func isNetwork(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &network)
}

// deadlineOf returns the time until which the statement may wait.
func (s *callerSession) deadlineOf(now time.Time) time.Time {
	return now.Add(s.parameters.deadline)
}
