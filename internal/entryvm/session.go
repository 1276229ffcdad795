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

// Transaction status as ReadyForQuery shows it.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

// callerSession is one caller connection. Its fields belong to its goroutine unless said otherwise.
type callerSession struct {
	vm        *VM
	conn      *caller.Conn
	id        uint64 // owner of pooled connections
	pid       uint32
	secretKey uint32       // secret for cancel requests
	route     *callerRoute // as of the last statement
	floor     floor

	parameters       parameters
	statements       map[string]*prepared // by the caller's name
	portals          map[string]*prepared // of the open transaction
	settings         []setting            // SET of the session, replayed on each connection
	settingsRevision int                  // counts changes of settings
	lastServed       string               // kind of server reported last for a read

	status      byte          // I, T or E
	txConn      *backend.Conn // connection of the open transaction
	txServer    *serverState  // where held goes
	txTerm      position.Term // of the group when the transaction began
	transaction transactionState

	pending      []step // extended messages since the last Sync
	pendingBytes int    // size of pending
	skipping     bool   // after an error that Flush showed, until Sync
	flushing     bool   // the request ends with Flush, so that its answer has no ReadyForQuery
	unsynced     bool   // the held connection awaits a Sync

	// closing is why the session is to end as soon as it may; nil while it need not.
	closeReason atomic.Pointer[outcome.Error]
	// atOnce tells that closing does not wait for the open transaction.
	closeNow atomic.Bool

	ticket *slots.Ticket // for slots; nil before the first statement

	mu      sync.Mutex
	running *backend.Conn      // what a cancel request reaches; guarded by mu
	waiting context.CancelFunc // ends the wait for credits, slots and servers; guarded by mu
	phase   phase              // guarded by mu
}

// Parameter status that tells callers which kind of server ran their last read.
const (
	parameterServed = "served"
	servedReplica   = "replica"
	servedPrimary   = "primary"
)

// phase tells the owner goroutine whether the session may be interrupted.
type phase uint8

const (
	phaseIdle phase = iota // between statements, outside transactions
	phaseInTransaction
	phaseBusy
)

// transactionState is what the open transaction did so far.
type transactionState struct {
	readOnly  bool      // stated by BEGIN READ ONLY
	settings  []setting // SET within the transaction; kept if it commits
	replica   bool      // runs on a replica
	requestID string    // request id that the transaction carries
	digest    digest    // of the statements of a transaction with a request id
}

// setting is a run-time parameter that the caller set for its session.
type setting struct {
	name string // lower case
	text string // statement that sets it
}

// prepared is a statement as the caller prepared it.
type prepared struct {
	sql     string
	oids    []uint32
	key     string // identifies text and types on a pooled connection
	kind    *statement.Statement
	refusal *outcome.Error // set if the statement is not carried
}

// floor is the floor of the session in the group of its route.
type floor struct {
	session *session.Session
	pending chan position.Position // answer of the round that started at connect; nil once known
	known   bool
	token   bool // the floors come from a token
}

// greeting is what every caller is told after authentication. The version is that of the SQL dialect
// and protocol that is carried.
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

// newSession prepares a session after the startup.
func newSession(vm *VM, c *caller.Conn, r *callerRoute) *callerSession {
	return &callerSession{vm: vm, conn: c, route: r, status: txIdle, parameters: parameters{deadline: vm.options.Entry.Wait}}
}

// greet completes the startup.
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

// ready tells the caller that the next request may come.
func (s *callerSession) sendReady() error {
	if err := s.conn.Send(&pgproto3.ReadyForQuery{TxStatus: s.status}); err != nil {
		return err
	}
	return s.conn.Flush()
}

// serve runs the session until the caller or the VM ends it.
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

// explain tells the caller of a fault in its messages.
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

// enter sets the phase.
func (s *callerSession) setPhase(p phase) {
	s.mu.Lock()
	s.phase = p
	s.mu.Unlock()
}

// rest sets the phase after a statement.
func (s *callerSession) updatePhase() {
	if s.status == txIdle && len(s.pending) == 0 {
		s.setPhase(phaseIdle)
	} else {
		s.setPhase(phaseInTransaction)
	}
}

// leave ends the session if it is to close and may. Nothing of a request that was not read yet ran.
func (s *callerSession) closeIfRequested() bool {
	why := s.closeReason.Load()
	if why == nil || (s.status != txIdle && !s.closeNow.Load()) {
		return false
	}
	s.conn.Fatal(why)
	return true
}

// interrupted handles the end of a wait that the owner goroutine interrupted. It reports whether
// the session goes on, perhaps only to leave.
func (s *callerSession) resumeInterrupted() bool {
	if !s.conn.Interrupted() {
		return false
	}
	s.conn.Resume()
	return true
}

// shut asks the session to close. Without force an open transaction may end first.
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

// abort ends the session at once, in the middle of a statement if need be.
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

// end gives back what the session holds. An open transaction rolls back with its connection.
func (s *callerSession) close() {
	s.closeTxConn()
	s.abandonFloor()
	s.conn.Close()
	s.vm.sessions.remove(s)
}

// drop gives up the held connection. Whatever is open on it rolls back at the server.
func (s *callerSession) closeTxConn() {
	if s.txConn == nil {
		return
	}
	s.setRunning(nil)
	s.txConn.MarkUnusable()
	s.txServer.pool.Release(s.txConn)
	s.txConn, s.txServer = nil, nil
}

// settle sets what a cancel request reaches. It waits for a cancel request in delivery, which is
// therefore delivered before the connection serves anything else.
func (s *callerSession) setRunning(c *backend.Conn) {
	s.mu.Lock()
	s.running = c
	s.mu.Unlock()
}

// cancel handles a cancel request. A connection that one was sent to is closed at the end of its
// transaction, since the server may act on it late.
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

// handle processes one message. An error ends the session.
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
		return nil // left over from a COPY that was refused
	case *pgproto3.FunctionCall:
		return s.refuse(outcome.New(outcome.Unsupported, "function calls by message are not carried", "use SELECT"))
	}
	s.conn.Fatal(outcome.New(outcome.ProtocolViolation, "unexpected message", "use a driver for protocol 3.0"))
	return errEnd
}

// errEnd ends a session without a fault of the VM.
var errEnd = errors.New("entryvm: the session ended")

// refuse answers a request with an outcome. Within a transaction it rolls back, as an error does.
func (s *callerSession) refuse(o *outcome.Error) error {
	s.failTransaction()
	return s.sendError(o)
}

// answer shows an outcome and the state of the transaction.
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

// fail rolls an open transaction back. The caller sees a failed transaction until it ends it.
func (s *callerSession) failTransaction() {
	if s.status == txIdle {
		return
	}
	s.closeTxConn()
	s.status = txFailed
}

// gone reports whether the transaction failed and has no connection any more.
func (s *callerSession) transactionLost() bool {
	return s.status != txIdle && s.txConn == nil
}

// finish forgets the transaction that ended.
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

// keep notes a SET for replay on other connections.
func (s *callerSession) addSetting(one setting) {
	s.removeSetting(one.name)
	s.settings = append(s.settings, one)
}

// forget drops the SETs of one parameter, or of all.
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

// isNetwork reports whether an error is the end of the connection and not a fault in a message.
func isNetwork(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &network)
}

// deadlineOf returns the time until which the statement may wait.
func (s *callerSession) deadlineOf(now time.Time) time.Time {
	return now.Add(s.parameters.deadline)
}
