// Package caller implements the server side of the PostgreSQL protocol, version 3.0, for SQL clients, which
// this project calls callers: startup, TLS, SCRAM-SHA-256 authentication, a limit of the message size and
// write timeouts for clients that do not read.
package caller

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"fireflyrudder.example/fireflyrudder/pkg/outcome"
)

// flushSize is the size of the encoded messages in bytes above which they are written to the network. Larger
// buffers did not increase the throughput of the row benchmark.
const flushSize = 16 << 10

// buffers is a pool of encoding buffers, so that idle connections use no buffer memory.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, flushSize+4096)
	return &b
}}

// Conn is a connection of one client after its startup. Only one goroutine may send and receive. Interrupt
// and Close may be called from any goroutine.
type Conn struct {
	net          net.Conn
	in           *pgproto3.Backend
	out          *[]byte // encoded messages that are not written yet; nil if there are none
	writeTimeout time.Duration
	interrupted  atomic.Bool
	flushes      uint64 // number of writes started

	// Startup contains the parameters that the client connected with. It does not change.
	Startup Startup
}

// Receive returns the next message, which is valid until the next call. A message above the size limit or a
// malformed message is an error after which the connection must be closed.
func (c *Conn) Receive() (pgproto3.FrontendMessage, error) {
	return c.in.Receive()
}

// Send encodes a message. It writes to the network only when flushSize bytes are buffered.
func (c *Conn) Send(m pgproto3.BackendMessage) error {
	if c.out == nil {
		c.out = buffers.Get().(*[]byte)
	}
	b, err := m.Encode(*c.out)
	if err != nil {
		return errors.Wrap(err, "caller: encode")
	}
	*c.out = b
	if len(b) >= flushSize {
		return c.write()
	}
	return nil
}

// SendEncoded sends messages that are already encoded.
func (c *Conn) SendEncoded(b []byte) error {
	if c.out == nil {
		c.out = buffers.Get().(*[]byte)
	}
	*c.out = append(*c.out, b...)
	if len(*c.out) >= flushSize {
		return c.write()
	}
	return nil
}

// Flush writes the buffered messages. It returns an error if the client does not read within the write
// timeout. The connection must then be closed, because a client that does not read blocks a connection to a
// backend server.
func (c *Conn) Flush() error {
	if c.out == nil {
		return nil
	}
	err := c.write()
	releaseBuffer(c.out)
	c.out = nil
	return err
}

// write writes the buffer to the network and empties it.
func (c *Conn) write() error {
	if len(*c.out) == 0 {
		return nil
	}
	c.flushes++
	if err := c.net.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return errors.Wrap(err, "caller: write")
	}
	_, err := c.net.Write(*c.out)
	*c.out = (*c.out)[:0]
	return errors.Wrap(err, "caller: write")
}

// releaseBuffer returns an encoding buffer to the pool, unless a large message made it grow.
func releaseBuffer(b *[]byte) {
	if cap(*b) > 8*flushSize {
		return
	}
	*b = (*b)[:0]
	buffers.Put(b)
}

// Interrupt makes a waiting Receive and every later one fail until Resume is called. Interrupted
// distinguishes such a failure from others.
func (c *Conn) Interrupt() {
	c.interrupted.Store(true)
	c.net.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // fails only on a closed connection
}

// Interrupted reports whether Interrupt was called.
func (c *Conn) Interrupted() bool {
	return c.interrupted.Load()
}

// Resume cancels the effect of Interrupt. A partially received message is not lost.
func (c *Conn) Resume() {
	c.interrupted.Store(false)
	c.net.SetReadDeadline(time.Time{}) //nolint:errcheck // fails only on a closed connection
}

// Mark returns the current position in the sent messages for Rewind.
func (c *Conn) Mark() Mark {
	m := Mark{flushes: c.flushes}
	if c.out != nil {
		m.size = len(*c.out)
	}
	return m
}

// Mark is a position in the sent messages.
type Mark struct {
	flushes uint64
	size    int
}

// Rewind drops the messages sent since the mark. It returns false and drops nothing if the client may have
// received a part of them.
func (c *Conn) Rewind(m Mark) bool {
	if m.flushes != c.flushes {
		return false
	}
	if c.out != nil {
		*c.out = (*c.out)[:m.size]
	}
	return true
}

// Close closes the network connection at once.
func (c *Conn) Close() {
	c.net.Close()
}

// ErrorResponse returns the message that reports an outcome to the client.
func ErrorResponse(severity string, o *outcome.Error) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                string(o.State),
		Message:             o.Message,
		Hint:                o.Remedy,
	}
}

// Fatal reports the outcome to the client and closes the connection.
func (c *Conn) Fatal(o *outcome.Error) {
	if c.Send(ErrorResponse("FATAL", o)) == nil {
		c.Flush() //nolint:errcheck // the connection closes in any case
	}
	c.Close()
}
