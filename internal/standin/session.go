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

// notifyInterval coalesces notifications of the position.
const notifyInterval = 2 * time.Millisecond

// positionChannel is the channel of LISTEN, and positionStatus the parameter sent after a commit.
const (
	positionChannel = "group_position"
	positionStatus  = "group_position"
)

// session is one PostgreSQL connection. Its fields belong to its goroutine unless said otherwise.
type session struct {
	server      *Server
	conn        net.Conn
	reader      io.Reader
	ctx         context.Context
	cancel      context.CancelCauseFunc
	pid         uint32
	secret      []byte
	user        string
	database    string
	application string // guarded by Server.mu
	settings    map[string]string
	types       *pgtype.Map
	x           *transaction // nil outside transactions
	written     position.Position
	statements  map[string]*prepared
	portals     map[string]*portal
	skipping    bool // after an error, until Sync

	statement struct { // the running statement, for cancel requests
		sync.Mutex
		cancel context.CancelFunc
	}

	out struct { // guards the backend, which the notifier shares
		sync.Mutex
		*pgproto3.Backend
	}
	listening context.CancelFunc // stops the notifier; nil without LISTEN
	busy      bool               // in a transaction, when no notification may be sent; guarded by out
	idle      chan struct{}      // signals the end of a transaction to the notifier
}

func newSession(s *Server, conn net.Conn, r *bufio.Reader) *session {
	c := &session{
		server: s, conn: conn, reader: r, secret: make([]byte, 4), settings: map[string]string{},
		types: pgtype.NewMap(), statements: map[string]*prepared{}, portals: map[string]*portal{},
		idle: make(chan struct{}, 1),
	}
	rand.Read(c.secret)
	c.ctx, c.cancel = context.WithCancelCause(s.ctx)
	c.out.Backend = pgproto3.NewBackend(r, conn)
	return c
}

// serve runs the connection to its end.
func (c *session) serve() {
	defer c.cancel(nil)
	defer c.server.leave(c)
	defer func() {
		if c.x != nil {
			c.x.end()
		}
	}()
	if !c.start() {
		return
	}
	for {
		m, err := c.out.Receive()
		if err != nil {
			return
		}
		if c.pause(); !c.handle(m) {
			return
		}
	}
}

// pause waits as long as the hooks ask before a message is handled.
func (c *session) pause() {
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

// handle processes one message. It returns false at the end of the connection.
func (c *session) handle(m pgproto3.FrontendMessage) bool {
	c.out.Lock()
	defer c.out.Unlock()
	if c.skipping {
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
		c.query(m.String)
		return c.ready()
	case *pgproto3.Sync:
		c.skipping = false
		c.finish()
		return c.ready()
	case *pgproto3.Flush:
		return c.out.Flush() == nil
	case *pgproto3.Parse:
		err = c.parse(m)
	case *pgproto3.Bind:
		err = c.bind(m)
	case *pgproto3.Describe:
		err = c.describe(m)
	case *pgproto3.Execute:
		err = c.execute(m)
	case *pgproto3.Close:
		c.close(m)
	default:
		err = fault(stateNotSupported, "the stand-in does not support message %T", m)
	}
	if err != nil {
		c.fail(err)
		c.skipping = true
	}
	return c.ctx.Err() == nil
}

// fail reports an error and dooms the transaction.
func (c *session) fail(err error) {
	if c.x != nil {
		c.x.end()
		c.x.failed = true
		if !c.x.explicit {
			c.x = nil
		}
	}
	c.out.Send(response(err, "ERROR"))
}

// finish ends an implicit transaction. It reports an error of the commit.
func (c *session) finish() {
	if c.x == nil || c.x.explicit {
		return
	}
	if err := c.commit(); err != nil {
		c.fail(err)
	}
}

// commit ends the transaction and notes the position of its record.
func (c *session) commit() error {
	x := c.x
	c.x = nil
	p, err := x.commit()
	if !p.IsZero() {
		c.written = p
	}
	return err
}

// ready ends an exchange. It returns false if the connection is broken.
func (c *session) ready() bool {
	if !c.written.IsZero() {
		c.out.Send(&pgproto3.ParameterStatus{Name: positionStatus, Value: c.written.String()})
		c.written = position.Position{}
	}
	status := byte('I')
	if c.x != nil {
		status = 'T'
		if c.x.failed {
			status = 'E'
		}
	}
	c.out.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	c.busy = c.x != nil
	if !c.busy {
		c.portals = map[string]*portal{}
		select {
		case c.idle <- struct{}{}:
		default:
		}
	}
	return c.out.Flush() == nil && c.ctx.Err() == nil
}

// begin returns the transaction, which is implicit if none is open.
func (c *session) begin() *transaction {
	if c.x == nil {
		c.x = &transaction{server: c.server, now: time.Now().UTC().Truncate(time.Microsecond)}
	}
	return c.x
}

// context returns the context of one statement, which a cancel request ends.
func (c *session) context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.statement.Lock()
	defer c.statement.Unlock()
	c.statement.cancel = cancel
	return ctx, cancel
}

// interrupt cancels the running statement. It may be called from any goroutine.
func (c *session) interrupt() {
	c.statement.Lock()
	defer c.statement.Unlock()
	if c.statement.cancel != nil {
		c.statement.cancel()
	}
}

// listen starts the notifier.
func (c *session) listen() {
	if c.listening != nil {
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.listening = cancel
	at, _ := c.server.at()
	c.server.spawn(func() { c.notify(ctx, at) })
}

func (c *session) unlisten() {
	if c.listening != nil {
		c.listening()
		c.listening = nil
	}
}

// notify sends the position whenever it has changed, outside transactions.
func (c *session) notify(ctx context.Context, sent position.Position) {
	for ctx.Err() == nil {
		at, moved := c.server.at()
		if at == sent {
			select {
			case <-moved:
			case <-ctx.Done():
			}
			continue
		}
		if !c.tell(ctx, at) {
			select {
			case <-c.idle:
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

// tell sends one notification unless a transaction is open.
func (c *session) tell(ctx context.Context, at position.Position) bool {
	c.out.Lock()
	defer c.out.Unlock()
	if c.busy || ctx.Err() != nil {
		return false
	}
	c.out.Send(&pgproto3.NotificationResponse{PID: c.pid, Channel: positionChannel, Payload: at.String()})
	if err := c.out.Flush(); err != nil {
		c.conn.Close()
	}
	return true
}
