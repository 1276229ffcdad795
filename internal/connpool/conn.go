// Package connpool pools the connections of an entry VM to one backend server, also called an instance. It is
// independent of the protocol: a pool queues statements, bounds how many run at once, and tracks the session
// state of each connection, so that sessions can share connections.
//
// The texts of its errors start with "lane:", because they reach clients in the details of answers.
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

// Conn is one connection to an instance, independent of the protocol. It is used by one goroutine at a time,
// except for Close, which any goroutine may call.
type Conn interface {
	// Exchange sends statements and waits for all answers. After an error the connection is unusable, and the
	// outcome of the statements is unknown except for those whose answers are returned.
	Exchange(limit time.Duration, statements ...operation.Statement) ([]operation.Answer, error)
	Close()
}

// Dialer opens a connection. It returns a *RefusedError if the instance answered and refused.
type Dialer func(ctx context.Context, t Target) (Conn, error)

// RefusedError reports that an instance refused a connection. No statement ran.
type RefusedError struct {
	Code operation.Code
	Cold bool // it was refused on behalf of a cold instance; false if another entry VM reported the refusal
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Cold {
		return "lane: the backend server is cold and gets no more statements now; another one may take it"
	}
	return fmt.Sprintf("lane: the backend server refused the connection: %s; another one may take it", e.Code)
}

// maxPrepared is the number of prepared statements above which a connection is reset.
const maxPrepared = 64

// pooledConn is a connection together with its session state.
type pooledConn struct {
	conn      Conn
	account   string
	values    map[string]string
	prepared  map[string]string // name on the connection, by read-only mode and shape
	nameCount int               // names given to prepared statements so far
}

func newPooledConn(c Conn, account string) *pooledConn {
	return &pooledConn{conn: c, account: account, values: map[string]string{}, prepared: map[string]string{}}
}

// adjustCost returns the number of statements needed to apply the session values to the connection. A reset
// costs more than any number of changed values.
func (c *pooledConn) adjustCost(values map[string]string) int {
	if c.hasForeignValues(values) {
		return len(values) + maxPrepared
	}
	n := 0
	for name, value := range values {
		if c.values[name] != value {
			n++
		}
	}
	return n
}

// hasForeignValues reports whether the connection carries a value that the session never set.
func (c *pooledConn) hasForeignValues(values map[string]string) bool {
	for name := range c.values {
		if _, ok := values[name]; !ok {
			return true
		}
	}
	return false
}

// adjust returns the statements that apply the session values to the connection, and records them as applied.
func (c *pooledConn) adjust(values map[string]string) []operation.Statement {
	var out []operation.Statement
	if c.hasForeignValues(values) || len(c.prepared) > maxPrepared {
		out = append(out, operation.Statement{Kind: operation.Reset})
		clear(c.values)
		clear(c.prepared)
	}
	for name, value := range values {
		if have, ok := c.values[name]; !ok || have != value {
			out = append(out, operation.Statement{Kind: operation.Set, Name: name, Argument: value})
			c.values[name] = value
		}
	}
	return out
}

// prepare sets the name under which st is prepared on the connection. If it is not prepared there yet, it
// returns the statement that prepares it.
func (c *pooledConn) prepare(st *operation.Statement) []operation.Statement {
	key := strconv.FormatBool(st.ReadOnly) + " " + st.Shape
	if name, ok := c.prepared[key]; ok {
		st.Name = name
		return nil
	}
	c.nameCount++
	st.Name = "p" + strconv.Itoa(c.nameCount)
	c.prepared[key] = st.Name
	return []operation.Statement{{Kind: operation.Prepare, Name: st.Name, ReadOnly: st.ReadOnly, Argument: st.Shape}}
}
