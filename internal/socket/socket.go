// Package socket looks at the receiving side of a TCP connection without consuming data.
package socket

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// State is what waits on the receiving side of a connection.
type State int

// States of the receiving side.
const (
	Silent   State = iota // open, with nothing to read
	Readable              // data waits
	Closed                // the other side has closed or reset the connection, and no data waits
)

// Peek returns the state of the receiving side of a connection. A connection that is not a TCP connection counts as
// silent. Data that a buffered reader holds already is not seen.
func Peek(conn net.Conn) State {
	t, ok := conn.(syscall.Conn)
	if !ok {
		return Silent
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
		return Closed
	}
	return state
}

func peek(fd int) State {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
		return Silent
	case err == nil && n > 0:
		return Readable
	}
	return Closed
}
