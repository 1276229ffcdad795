package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"
)

// Outcomes of a request.
const (
	done    = "done"    // answered with DONE
	refused = "refused" // answered with ERR
	cut     = "cut"     // the connection ended without a complete answer
	silent  = "silent"  // no answer within the time of the client
)

// request is one statement of a client and what came of it.
type request struct {
	id, text  string
	sent, end time.Time
	outcome   string
	answer    string
}

// caller is one session of a client.
type caller struct {
	name string
	site *site
	conn net.Conn
	r    *bufio.Reader
	n    int
}

// open opens a session at an entry VM. It fails if the session is refused.
func (s *site) open(name string, m *machine, route, key string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, s.ports.callers), 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &caller{name: name, site: s, conn: conn, r: bufio.NewReader(conn)}
	conn.SetDeadline(time.Now().Add(2 * time.Second)) //nolint:errcheck // the read fails instead
	fmt.Fprintf(conn, "STARTUP %s %s\r\n", route, key)
	line, err := c.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY I") {
		conn.Close()
		return nil, fmt.Errorf("STARTUP at %s: %q %w", m.name, strings.TrimSpace(line), err)
	}
	return c, nil
}

// query sends a statement and waits for its answer.
func (c *caller) query(text string, limit time.Duration) request {
	c.n++
	q := request{id: fmt.Sprintf("%s.%d", c.name, c.n), text: text, sent: time.Now()}
	c.conn.SetDeadline(q.sent.Add(limit)) //nolint:errcheck // the read fails instead
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", q.id, text); err != nil {
		q.outcome, q.answer, q.end = cut, err.Error(), time.Now()
		c.site.record.add(c.name, "%s %s: could not be sent: %v", q.id, text, err)
		return q
	}
	var lines []string
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			q.outcome, q.answer, q.end = cut, err.Error(), time.Now()
			if errors.Is(err, os.ErrDeadlineExceeded) {
				q.outcome = silent
			}
			break
		}
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "READY ") {
			q.answer, q.end, q.outcome = strings.Join(lines, "|")+"|"+line, time.Now(), refused
			if strings.Contains(q.answer, "DONE ") {
				q.outcome = done
			}
			break
		}
		lines = append(lines, line)
	}
	c.site.record.add(c.name, "%s %s (sent %.4f): %s %s", q.id, text, c.site.record.since(q.sent), q.outcome, q.answer)
	return q
}

func (c *caller) close() { c.conn.Close() }
