// Package lane holds the connections of an entry VM to one backend server: who waits for them, what
// state they carry, and how the server answers.
package lane

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

// RefusedError is the refusal of a connection by an instance.
type RefusedError struct {
	Code operation.Code
}

// Error names the code.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("lane: the backend server refused the connection: %s; another one may take it", e.Code)
}

// maxPrepared bounds the prepared statements of one connection.
const maxPrepared = 64

// Profile is the state that a session expects of a connection.
type Profile struct {
	Values map[string]string
}

// line is a connection with the state that it carries.
type line struct {
	conn     Conn
	account  string
	values   map[string]string
	prepared map[string]string // name on the connection by kind and shape
	named    int
}

func newLine(c Conn, account string) *line {
	return &line{conn: c, account: account, values: map[string]string{}, prepared: map[string]string{}}
}

// distance counts the statements that bring the line to a profile; a reset costs most.
func (l *line) distance(p *Profile) int {
	n := 0
	for name := range l.values {
		if _, ok := p.Values[name]; !ok {
			return len(p.Values) + maxPrepared
		}
	}
	for name, value := range p.Values {
		if l.values[name] != value {
			n++
		}
	}
	return n
}

// adjust returns the statements that bring the line to a profile, and takes them as done.
func (l *line) adjust(p *Profile) []operation.Statement {
	var out []operation.Statement
	foreign := false
	for name := range l.values {
		if _, ok := p.Values[name]; !ok {
			foreign = true
		}
	}
	if foreign || len(l.prepared) > maxPrepared {
		out = append(out, operation.Statement{Kind: operation.Reset})
		clear(l.values)
		clear(l.prepared)
	}
	for name, value := range p.Values {
		if have, ok := l.values[name]; !ok || have != value {
			out = append(out, operation.Statement{Kind: operation.Set, Name: name, Argument: value})
			l.values[name] = value
		}
	}
	return out
}

// Shape is what a session prepared under a name.
type Shape struct {
	ReadOnly bool
	Text     string
}

// key tells shapes apart.
func (s Shape) key() string {
	return strconv.FormatBool(s.ReadOnly) + " " + s.Text
}

// prepare returns the name of a shape on the line, and the statement that prepares it there if it
// is not yet.
func (l *line) prepare(s Shape) (name string, first []operation.Statement) {
	if name, ok := l.prepared[s.key()]; ok {
		return name, nil
	}
	l.named++
	name = "p" + strconv.Itoa(l.named)
	l.prepared[s.key()] = name
	return name, []operation.Statement{{Kind: operation.Prepare, Name: name, ReadOnly: s.ReadOnly, Argument: s.Text}}
}
