package standin

import (
	"bufio"
	"context"
	"crypto/rand"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// notifyInterval is the minimum time between two position notifications on a connection. Changes in between
// are coalesced.
const notifyInterval = 2 * time.Millisecond

// positionChannel is the channel for LISTEN. positionStatus is the ParameterStatus sent after a commit.
const (
	positionChannel = "group_position"
	positionStatus  = "group_position"
)

// session is one PostgreSQL connection. Its fields are accessed only by its goroutine unless stated
// otherwise.
type session struct {
	server          *Server
	conn            net.Conn
	reader          io.Reader
	ctx             context.Context
	cancel          context.CancelCauseFunc
	pid             uint32
	secret          []byte
	user            string
	database        string
	applicationName string // guarded by Server.mu
	settings        map[string]string
	typeMap         *pgtype.Map
	tx              *transaction // nil outside transactions
	commitPosition  position.Position
	statements      map[string]*preparedStatement
	portals         map[string]*portal
	skipUntilSync   bool // ignore messages until Sync, after an error in the extended protocol

	statement struct { // cancels the running statement on a cancel request
		sync.Mutex
		cancel context.CancelFunc
	}

	proto struct { // guards sending, which the notifier does as well
		sync.Mutex
		*pgproto3.Backend
	}
	stopNotifier     context.CancelFunc // stops the notifier; nil without LISTEN
	inTransaction    bool               // no notification may be sent; guarded by proto
	transactionEnded chan struct{}      // wakes the notifier
}

func newSession(s *Server, conn net.Conn, r *bufio.Reader) *session {
	c := &session{
		server: s, conn: conn, reader: r, secret: make([]byte, 4), settings: map[string]string{},
		typeMap: pgtype.NewMap(), statements: map[string]*preparedStatement{}, portals: map[string]*portal{},
		transactionEnded: make(chan struct{}, 1),
	}
	rand.Read(c.secret)
	c.ctx, c.cancel = context.WithCancelCause(s.ctx)
	c.proto.Backend = pgproto3.NewBackend(r, conn)
	return c
}

// serve handles messages until the connection ends.
func (c *session) serve() {
	defer c.cancel(nil)
	defer c.server.unregister(c)
	defer func() {
		if c.tx != nil {
			c.tx.release()
		}
	}()
	if !c.startup() {
		return
	}
	for {
		m, err := c.proto.Receive()
		if err != nil {
			return
		}
		if c.delay(); !c.handle(m) {
			return
		}
	}
}

// delay waits for the message delay that the hooks set.
func (c *session) delay() {
	d := time.Duration(c.server.hooks.delay.Load())
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}

// handle processes one message. It returns false if the connection is to be closed.
func (c *session) handle(m pgproto3.FrontendMessage) bool {
	c.proto.Lock()
	defer c.proto.Unlock()
	if c.skipUntilSync {
		switch m.(type) {
		case *pgproto3.Sync, *pgproto3.Terminate:
		default:
			return true
		}
	}
	var err error
	switch m := m.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Query:
		c.handleQuery(m.String)
		return c.sendReady()
	case *pgproto3.Sync:
		c.skipUntilSync = false
		c.finishImplicit()
		return c.sendReady()
	case *pgproto3.Flush:
		return c.proto.Flush() == nil
	case *pgproto3.Parse:
		err = c.handleParse(m)
	case *pgproto3.Bind:
		err = c.handleBind(m)
	case *pgproto3.Describe:
		err = c.handleDescribe(m)
	case *pgproto3.Execute:
		err = c.handleExecute(m)
	case *pgproto3.Close:
		c.handleClose(m)
	default:
		err = sqlErrorf(stateNotSupported, "the stand-in does not support message %T", m)
	}
	if err != nil {
		c.reportError(err)
		c.skipUntilSync = true
	}
	return c.ctx.Err() == nil
}

// reportError sends an error and aborts the transaction. An explicit one stays open as failed.
func (c *session) reportError(err error) {
	if c.tx != nil {
		c.tx.release()
		c.tx.failed = true
		if !c.tx.explicit {
			c.tx = nil
		}
	}
	c.proto.Send(errorResponse(err, "ERROR"))
}

// finishImplicit commits an implicit transaction and sends an error if that fails.
func (c *session) finishImplicit() {
	if c.tx == nil || c.tx.explicit {
		return
	}
	if err := c.commit(); err != nil {
		c.reportError(err)
	}
}

// commit commits the transaction and stores its position, which is reported by sendReady.
func (c *session) commit() error {
	tx := c.tx
	c.tx = nil
	p, err := tx.commit()
	if !p.IsZero() {
		c.commitPosition = p
	}
	return err
}

// sendReady sends the position of the last commit, unless it was sent before, and ReadyForQuery. It returns
// false if the connection is to be closed.
func (c *session) sendReady() bool {
	if !c.commitPosition.IsZero() {
		c.proto.Send(&pgproto3.ParameterStatus{Name: positionStatus, Value: c.commitPosition.String()})
		c.commitPosition = position.Position{}
	}
	status := byte('I')
	if c.tx != nil {
		status = 'T'
		if c.tx.failed {
			status = 'E'
		}
	}
	c.proto.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	c.inTransaction = c.tx != nil
	if !c.inTransaction {
		c.portals = map[string]*portal{}
		select {
		case c.transactionEnded <- struct{}{}:
		default:
		}
	}
	return c.proto.Flush() == nil && c.ctx.Err() == nil
}

// ensureTransaction returns the open transaction. If there is none, it opens an implicit one.
func (c *session) ensureTransaction() *transaction {
	if c.tx == nil {
		c.tx = &transaction{server: c.server, now: time.Now().UTC().Truncate(time.Microsecond)}
	}
	return c.tx
}

// statementContext returns a context for one statement, which a cancel request cancels.
func (c *session) statementContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.statement.Lock()
	defer c.statement.Unlock()
	c.statement.cancel = cancel
	return ctx, cancel
}

// cancelStatement cancels the running statement. It may be called from any goroutine.
func (c *session) cancelStatement() {
	c.statement.Lock()
	defer c.statement.Unlock()
	if c.statement.cancel != nil {
		c.statement.cancel()
	}
}

// listen starts the notifier.
func (c *session) listen() {
	if c.stopNotifier != nil {
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.stopNotifier = cancel
	at, _ := c.server.currentPosition()
	c.server.spawn(func() { c.notifyLoop(ctx, at) })
}

func (c *session) unlisten() {
	if c.stopNotifier != nil {
		c.stopNotifier()
		c.stopNotifier = nil
	}
}

// notifyLoop sends the position whenever it has changed, but not while a transaction is open.
func (c *session) notifyLoop(ctx context.Context, sent position.Position) {
	for ctx.Err() == nil {
		at, changed := c.server.currentPosition()
		if at == sent {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		if !c.sendNotification(ctx, at) {
			select {
			case <-c.transactionEnded:
			case <-ctx.Done():
			}
			continue
		}
		sent = at
		timer := time.NewTimer(notifyInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// sendNotification sends one notification. It returns false if a transaction is open or ctx is done.
func (c *session) sendNotification(ctx context.Context, at position.Position) bool {
	c.proto.Lock()
	defer c.proto.Unlock()
	if c.inTransaction || ctx.Err() != nil {
		return false
	}
	c.proto.Send(&pgproto3.NotificationResponse{PID: c.pid, Channel: positionChannel, Payload: at.String()})
	if err := c.proto.Flush(); err != nil {
		c.conn.Close()
	}
	return true
}
