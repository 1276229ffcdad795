// Package lane holds the connections of an entry VM to one backend server: who waits for them, what
// state they carry, and how many statements run at once.
package connpool

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/operation"
)

// Target names an instance and the client account for which a connection is opened.
type Target struct {
	Group   string
	Server  string
	Address string
	Account string
}

// Conn is one connection to an instance, whatever its protocol. It is used by one goroutine at a
// time; Close may be called by any.
type Conn interface {
	// Exchange sends statements and waits for all answers. After an error the connection is useless
	// and what the statements did is not known, except those whose answers are returned.
	Exchange(limit time.Duration, statements ...operation.Statement) ([]operation.Answer, error)
	Close()
}

// Dialer opens a connection. A *RefusedError tells that the instance answered.
type Dialer func(ctx context.Context, t Target) (Conn, error)

// RefusedError is the refusal of a connection by an instance. Nothing ran.
type RefusedError struct {
	Code operation.Code
}

// Error names the code.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("lane: the backend server refused the connection: %s; another one may take it", e.Code)
}

// maxPrepared bounds the prepared statements of one connection.
const maxPrepared = 64

// pooledConn is a connection with the state that it carries.
type pooledConn struct {
	conn      Conn
	account   string
	values    map[string]string
	prepared  map[string]string // name on the connection by kind and shape
	nameCount int
}

func newPooledConn(c Conn, account string) *pooledConn {
	return &pooledConn{conn: c, account: account, values: map[string]string{}, prepared: map[string]string{}}
}

// adjustCost counts the statements that bring the line to the values; a reset costs most.
func (l *pooledConn) adjustCost(values map[string]string) int {
	if l.hasForeignValues(values) {
		return len(values) + maxPrepared
	}
	n := 0
	for name, value := range values {
		if l.values[name] != value {
			n++
		}
	}
	return n
}

// hasForeignValues reports whether the line carries a value that the session never set.
func (l *pooledConn) hasForeignValues(values map[string]string) bool {
	for name := range l.values {
		if _, ok := values[name]; !ok {
			return true
		}
	}
	return false
}

// adjust returns the statements that bring the line to the values, and takes them as done.
func (l *pooledConn) adjust(values map[string]string) []operation.Statement {
	var out []operation.Statement
	if l.hasForeignValues(values) || len(l.prepared) > maxPrepared {
		out = append(out, operation.Statement{Kind: operation.Reset})
		clear(l.values)
		clear(l.prepared)
	}
	for name, value := range values {
		if have, ok := l.values[name]; !ok || have != value {
			out = append(out, operation.Statement{Kind: operation.Set, Name: name, Argument: value})
			l.values[name] = value
		}
	}
	return out
}

// prepare names an executed statement as it is prepared on the line, and returns the statement that
// prepares it there if it is not yet.
func (l *pooledConn) prepare(st *operation.Statement) []operation.Statement {
	key := strconv.FormatBool(st.ReadOnly) + " " + st.Shape
	if name, ok := l.prepared[key]; ok {
		st.Name = name
		return nil
	}
	l.nameCount++
	st.Name = "p" + strconv.Itoa(l.nameCount)
	l.prepared[key] = st.Name
	return []operation.Statement{{Kind: operation.Prepare, Name: st.Name, ReadOnly: st.ReadOnly, Argument: st.Shape}}
}
