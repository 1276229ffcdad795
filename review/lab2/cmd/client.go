package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// lastID numbers the statements of all clients.
var lastID atomic.Uint64

// session is a client's connection.
type session struct {
	site *site
	name string
	conn net.Conn
	r    *bufio.Reader
	// commits are the acknowledged commits of the session: the id of the last one by service.
	commits map[string]string
}

// answer is the answer to one statement.
type answer struct {
	rows  []string
	code  string // DONE or the code of the error
	text  string
	state string
}

// connect opens a session with a database at a machine.
func (s *site) connect(m *machine, name, database string) (*session, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, callerPort), time.Second)
	if err != nil {
		return nil, err
	}
	c := &session{site: s, name: name, conn: conn, r: bufio.NewReader(conn), commits: map[string]string{}}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "STARTUP %s key1\r\n", database); err != nil {
		conn.Close()
		return nil, err
	}
	line, err := c.line()
	if err != nil || !strings.HasPrefix(line, "READY") {
		conn.Close()
		return nil, fmt.Errorf("startup at %s: %q %w", m.name, line, errors.Join(err, errRefused))
	}
	s.record.printf("client %s opens a session with %s at %s", name, database, m.name)
	return c, nil
}

var errRefused = errors.New("not ready")

func (c *session) line() (string, error) {
	line, err := c.r.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// newID returns the id of the next statement.
func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// do sends a statement with an id and waits for its answer.
func (c *session) do(id, text string) (answer, error) {
	_ = c.conn.SetDeadline(time.Now().Add(3 * time.Second))
	c.site.record.printf("client %s sends %s %s", c.name, id, text)
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{}, err
	}
	a := answer{}
	for {
		line, err := c.line()
		if err != nil {
			c.site.record.printf("client %s gets no answer to %s: %v", c.name, id, err)
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "DONE":
			a.code = word
		case "ERR":
			a.code, a.text, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			c.site.record.printf("client %s gets %s %s to %s", c.name, a.code, a.text, id)
			return a, nil
		}
	}
}

// write runs a single write until it is acknowledged. It returns the service that committed it.
func (c *session) write() (string, error) {
	for range 100 {
		id := newID()
		a, err := c.do(id, "WRITE item1 data")
		if err != nil {
			return "", err
		}
		if a.code != "DONE" {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		for _, g := range c.site.clusters() {
			if g.end(id) > 0 {
				c.commits[g.name] = id
				return g.name, nil
			}
		}
		return "", errors.New("an acknowledged write was not committed")
	}
	return "", errors.New("no write was acknowledged")
}

// clusters returns all services.
func (s *site) clusters() []*cluster {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*cluster(nil), s.groups...)
}

// awaitReady waits until all machines are ready and serve a database.
func (s *site) awaitReady(database string, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, m := range s.machines {
		for {
			if m.ready() {
				if c, err := s.connect(m, "probe", database); err == nil {
					a, err := c.do(newID(), "READ item1")
					c.conn.Close()
					if err == nil && a.code == "DONE" {
						break
					}
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s serves nothing after %s", m.name, limit)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
