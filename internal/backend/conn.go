// Package backend implements the connections of an entry VM to backend servers: pools of statement
// connections within a leased connection budget, and one status link per server.
package backend

import (
	"context"
	"encoding/binary"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"fireflyrudder.example/fireflyrudder/internal/socket"
	"fireflyrudder.example/fireflyrudder/internal/watermark"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// Limits of a connection to a backend server.
const (
	// connectTimeout bounds opening a connection, which takes 12 ms in current deployments.
	connectTimeout = 2 * time.Second
	// writeTimeout bounds one write to a server that does not read.
	writeTimeout = 10 * time.Second
	// cancelTimeout bounds sending a cancel request.
	cancelTimeout = time.Second
	// maxMessage is the largest message accepted from a backend server, in bytes.
	maxMessage = 64 << 20
)

// Credentials are the proxy's own credentials, which are the same at every backend server. Nothing sent by
// a client is used to log in.
type Credentials struct {
	User     string
	Password string
}

// ServerID is the name of a backend server.
type ServerID = watermark.ServerID

// Target identifies a database of a backend server to connect to.
type Target struct {
	Server   ServerID
	Address  string // IP:port
	Database string
}

// Conn is one connection to a backend server. Only one goroutine may use it at a time, except for Cancel
// and Close.
type Conn struct {
	Target Target
	// Status is the transaction status of the last ReadyForQuery: I, T or E.
	Status byte
	// LastSession is the id of the session that used the connection last; 0 for a new connection.
	LastSession uint64
	// HasSessionState is set if statements since the last DISCARD ALL may have left session state on the
	// server.
	HasSessionState bool
	// AppliedSettings is the number of settings of LastSession that were applied to the connection.
	AppliedSettings int

	net    net.Conn
	front  *pgproto3.Frontend
	out    []byte
	pid    uint32
	secret []byte

	pending   int         // ReadyForQuery messages that are due
	unusable  atomic.Bool // the connection must be closed
	sentBytes atomic.Bool // bytes were written since the last call of ResetSent

	prepared map[string]string // statement name on the server by key
	nextName uint64            // counter for the names of prepared statements
	opened   time.Time
}

// Open connects and logs in by pgconn, and then takes over the network connection.
func Open(ctx context.Context, t Target, c Credentials, application string) (*Conn, error) {
	ctx, stop := context.WithTimeout(ctx, connectTimeout)
	defer stop()
	config, err := configuration(t, c, application)
	if err != nil {
		return nil, err
	}
	p, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, errors.Wrapf(err, "backend: connect to %s", t.Server)
	}
	if err := p.SyncConn(ctx); err != nil {
		return nil, errors.Wrapf(err, "backend: connect to %s", t.Server)
	}
	h, err := p.Hijack()
	if err != nil {
		return nil, errors.Wrapf(err, "backend: connect to %s", t.Server)
	}
	if err := h.Conn.SetDeadline(time.Time{}); err != nil {
		h.Conn.Close()
		return nil, errors.Wrapf(err, "backend: connect to %s", t.Server)
	}
	// SyncConn leaves no data unread, so a new Frontend loses nothing. The Frontend of pgconn reads through
	// a background reader, which costs a lock for each read.
	front := pgproto3.NewFrontend(h.Conn, nil)
	front.SetMaxBodyLen(maxMessage)
	return &Conn{
		Target: t, Status: h.TxStatus, net: h.Conn, front: front, pid: h.PID, secret: h.SecretKey,
		prepared: make(map[string]string), opened: time.Now(),
	}, nil
}

// configuration returns the settings for pgconn. They do not depend on the environment of the process.
func configuration(t Target, c Credentials, application string) (*pgconn.Config, error) {
	host, port, err := net.SplitHostPort(t.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "backend: address of %s", t.Server)
	}
	config, err := pgconn.ParseConfig("host=" + host + " port=" + port + " sslmode=disable")
	if err != nil {
		return nil, errors.Wrapf(err, "backend: address of %s", t.Server)
	}
	config.User = c.User
	config.Password = c.Password
	config.Database = t.Database
	config.RuntimeParams = map[string]string{"application_name": application, "client_encoding": "UTF8"}
	config.Fallbacks = nil
	return config, nil
}

// Send encodes a message; Flush writes it.
func (c *Conn) Send(m pgproto3.FrontendMessage) error {
	out, err := m.Encode(c.out)
	if err != nil {
		return errors.Wrap(err, "backend: encode")
	}
	c.out = out
	switch m.(type) {
	case *pgproto3.Query, *pgproto3.Sync:
		c.pending++
	}
	return nil
}

// Flush writes the encoded messages. An error makes the connection unusable.
func (c *Conn) Flush() error {
	if len(c.out) == 0 {
		return nil
	}
	if err := c.net.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		c.unusable.Store(true)
		return errors.Wrap(err, "backend: write")
	}
	n, err := c.net.Write(c.out)
	if n > 0 {
		c.sentBytes.Store(true)
	}
	if cap(c.out) > 64<<10 {
		c.out = nil
	} else {
		c.out = c.out[:0]
	}
	if err != nil {
		c.unusable.Store(true)
		return errors.Wrap(err, "backend: write")
	}
	return nil
}

// Receive returns the next message, which is valid until the next call. An error makes the connection
// unusable.
func (c *Conn) Receive() (pgproto3.BackendMessage, error) {
	m, err := c.front.Receive()
	if err != nil {
		c.unusable.Store(true)
		return nil, errors.Wrapf(err, "backend: read from %s", c.Target.Server)
	}
	switch m := m.(type) {
	case *pgproto3.ReadyForQuery:
		c.pending--
		c.Status = m.TxStatus
	case *pgproto3.ErrorResponse:
		if m.Severity == "FATAL" || m.Severity == "PANIC" {
			c.unusable.Store(true)
		}
	}
	return m, nil
}

// SetDeadline sets the read deadline. The zero time removes it.
func (c *Conn) SetDeadline(t time.Time) {
	if err := c.net.SetReadDeadline(t); err != nil {
		c.unusable.Store(true)
	}
}

// ResetSent marks the start of a new request for Sent.
func (c *Conn) ResetSent() {
	c.sentBytes.Store(false)
}

// Sent reports whether a byte of the request may have reached the server.
func (c *Conn) Sent() bool {
	return c.sentBytes.Load()
}

// MarkUnusable makes Pool.Release close the connection.
func (c *Conn) MarkUnusable() {
	c.unusable.Store(true)
}

// Reusable reports whether the connection may serve another request: all responses were read up to
// ReadyForQuery, no data waits to be written, and no transaction is open.
func (c *Conn) Reusable() bool {
	return !c.unusable.Load() && c.pending == 0 && len(c.out) == 0 && c.Status == 'I' && c.front.ReadBufferLen() == 0
}

// openAndSilent reports whether an idle connection is open and has no data to read. It consumes no data.
// Without this check, a connection that the server has closed would be noticed only after a request was
// sent on it.
func (c *Conn) openAndSilent() bool {
	return socket.Peek(c.net) == socket.Silent
}

// Close closes the network connection at once.
func (c *Conn) Close() {
	c.net.Close()
}

// assign assigns a reusable connection to a session.
func (c *Conn) assign(session uint64) {
	if c.LastSession != session {
		c.LastSession = session
		c.AppliedSettings = 0
	}
	c.ResetSent()
}

// Discard resets the session state on the server before another session uses the connection.
func (c *Conn) Discard() error {
	if !c.HasSessionState {
		return nil
	}
	c.SetDeadline(time.Now().Add(connectTimeout))
	defer c.SetDeadline(time.Time{})
	if err := c.execute("DISCARD ALL"); err != nil {
		return err
	}
	c.HasSessionState = false
	clear(c.prepared)
	return nil
}

// execute runs a command that returns no rows. A connection on which it fails is not used again.
func (c *Conn) execute(command string) error {
	if err := c.Send(&pgproto3.Query{String: command}); err != nil {
		return err
	}
	if err := c.Flush(); err != nil {
		return err
	}
	for {
		m, err := c.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			c.unusable.Store(true)
			return errors.Newf("backend: %s on %s: %s", command, c.Target.Server, m.Message)
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

// Position returns the end of the log of the backend server, with the term that the server follows. Outside
// a transaction, data read earlier on this connection is at or below this position.
func (c *Conn) Position() (position.Position, error) {
	c.SetDeadline(time.Now().Add(connectTimeout))
	defer c.SetDeadline(time.Time{})
	if err := c.Send(&pgproto3.Query{String: "SELECT * FROM group_status()"}); err != nil {
		return position.Position{}, err
	}
	if err := c.Flush(); err != nil {
		return position.Position{}, err
	}
	var columns []string
	var report watermark.Report
	var failure error
	for {
		m, err := c.Receive()
		if err != nil {
			return position.Position{}, err
		}
		switch m := m.(type) {
		case *pgproto3.RowDescription:
			columns = columnNames(columns, m)
		case *pgproto3.DataRow:
			report, failure = parseReport(columns, m.Values)
		case *pgproto3.ErrorResponse:
			failure = errors.Newf("backend: group_status on %s: %s", c.Target.Server, m.Message)
		case *pgproto3.ReadyForQuery:
			return position.Position{Term: report.Follows, Offset: report.At.Offset}, failure
		}
	}
}

// maxPrepared is the number of prepared statements above which a connection is reset before its next use.
const maxPrepared = 256

// PreparedName returns the name of the prepared statement for key on this connection, if there is one.
func (c *Conn) PreparedName(key string) (string, bool) {
	name, ok := c.prepared[key]
	return name, ok
}

// AddPrepared returns a new statement name and records it for key.
func (c *Conn) AddPrepared(key string) string {
	c.nextName++
	name := "fr" + base36(c.nextName)
	c.prepared[key] = name
	if len(c.prepared) > maxPrepared {
		c.HasSessionState = true
		c.LastSession = 0
	}
	return name
}

// RemovePrepared removes the statement for key after its preparation failed.
func (c *Conn) RemovePrepared(key string) {
	delete(c.prepared, key)
}

// Cancel requests the cancellation of the statement that runs on the connection. The server may process the
// request later, so the caller must not let another session use the connection afterwards.
func (c *Conn) Cancel(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	var d net.Dialer
	n, err := d.DialContext(ctx, "tcp", c.Target.Address)
	if err != nil {
		return errors.Wrap(err, "backend: cancel")
	}
	defer n.Close()
	if deadline, ok := ctx.Deadline(); ok {
		if err := n.SetDeadline(deadline); err != nil {
			return errors.Wrap(err, "backend: cancel")
		}
	}
	b, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return errors.Wrap(err, "backend: cancel")
	}
	if _, err := n.Write(b); err != nil {
		return errors.Wrap(err, "backend: cancel")
	}
	// The server closes the connection once it has processed the request.
	var end [1]byte
	n.Read(end[:]) //nolint:errcheck // only the end of the connection matters
	return nil
}

// BackendKey returns the process id and the first 32 bits of the secret key, for state dumps and tests.
func (c *Conn) BackendKey() (pid, secret uint32) {
	if len(c.secret) >= 4 {
		secret = binary.BigEndian.Uint32(c.secret)
	}
	return c.pid, secret
}

// base36 returns n in base 36 with the lowest digit first.
func base36(n uint64) string {
	var b strings.Builder
	const digits = "0123456789abcdefghijklmnopqrstuvwxyz"
	for {
		b.WriteByte(digits[n%36])
		n /= 36
		if n == 0 {
			return b.String()
		}
	}
}
