// Package caller is the server side of the PostgreSQL protocol, version 3.0, towards callers:
// startup, TLS, SCRAM-SHA-256, bounded messages and bounded waits for slow readers.
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

// flushSize is the amount of encoded answers that is written at once, in bytes. Larger buffers did
// not raise the throughput of the row benchmark.
const flushSize = 16 << 10

// buffers holds encoding buffers, so that idle callers hold none.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, flushSize+4096)
	return &b
}}

// Conn is a connection of one caller after its startup. One goroutine sends and receives;
// Interrupt and Close may be called from any.
type Conn struct {
	net          net.Conn
	in           *pgproto3.Backend
	out          *[]byte // encoded messages that are not written; nil when there are none
	writeTimeout time.Duration
	interrupted  atomic.Bool
	flushes      uint64 // writes begun

	// Startup is what the caller asked for. It does not change.
	Startup Startup
}

// Receive returns the next message, which is valid until the next call. A message above the bound
// and a malformed one are errors after which the connection must be closed.
func (c *Conn) Receive() (pgproto3.FrontendMessage, error) {
	return c.in.Receive()
}

// Send encodes a message. It writes to the network only when enough is waiting.
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

// SendEncoded passes on messages that are encoded already.
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

// Flush writes what Send encoded. A caller that does not read within the write timeout gets an error
// and must be closed, because it holds a connection of a backend server meanwhile.
func (c *Conn) Flush() error {
	if c.out == nil {
		return nil
	}
	err := c.write()
	releaseBuffer(c.out)
	c.out = nil
	return err
}

// write sends the buffer and empties it.
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

// releaseBuffer gives an encoding buffer back unless one large message made it grow.
func releaseBuffer(b *[]byte) {
	if cap(*b) > 8*flushSize {
		return
	}
	*b = (*b)[:0]
	buffers.Put(b)
}

// Interrupt ends a Receive that waits for a message, and every later one. The caller's goroutine
// learns it by Interrupted.
func (c *Conn) Interrupt() {
	c.interrupted.Store(true)
	c.net.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // fails only on a closed connection
}

// Interrupted reports whether Interrupt was called.
func (c *Conn) Interrupted() bool {
	return c.interrupted.Load()
}

// Resume undoes Interrupt. A message that was received in part is not lost.
func (c *Conn) Resume() {
	c.interrupted.Store(false)
	c.net.SetReadDeadline(time.Time{}) //nolint:errcheck // fails only on a closed connection
}

// Mark returns a place in the answer for Rewind.
func (c *Conn) Mark() Mark {
	m := Mark{flushes: c.flushes}
	if c.out != nil {
		m.size = len(*c.out)
	}
	return m
}

// Mark is a place in the answer.
type Mark struct {
	flushes uint64
	size    int
}

// Rewind drops what was sent since the mark. It returns false and changes nothing if the caller may
// have seen a part of it.
func (c *Conn) Rewind(m Mark) bool {
	if m.flushes != c.flushes {
		return false
	}
	if c.out != nil {
		*c.out = (*c.out)[:m.size]
	}
	return true
}

// Close ends the connection at once.
func (c *Conn) Close() {
	c.net.Close()
}

// ErrorResponse builds the message that shows an outcome to the caller.
func ErrorResponse(severity string, o *outcome.Error) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                string(o.State),
		Message:             o.Message,
		Hint:                o.Remedy,
	}
}

// Fatal shows the outcome and closes the connection.
func (c *Conn) Fatal(o *outcome.Error) {
	if c.Send(ErrorResponse("FATAL", o)) == nil {
		c.Flush() //nolint:errcheck // the connection closes in any case
	}
	c.Close()
}
