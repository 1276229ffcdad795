package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

var queries atomic.Int64

// caller is the stand-in for one client: a session that is opened again after its end.
type caller struct {
	record  *record
	service *service
	at      string // frontend address
	route   string
	conn    net.Conn
	r       *bufio.Reader
}

func (c *caller) open() bool {
	conn, err := net.DialTimeout("tcp", c.at, time.Second)
	if err != nil {
		return false
	}
	conn.SetDeadline(now().Add(2 * time.Second)) //nolint:errcheck // the read fails instead
	r := bufio.NewReader(conn)
	fmt.Fprintf(conn, "STARTUP %s secret1\r\n", c.route)
	line, err := r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		conn.Close()
		return false
	}
	c.conn, c.r = conn, r
	return true
}

func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// query sends a statement and returns its id and the line that ends its answer, or "" if the connection failed.
func (c *caller) query(text string) (id, answer string) {
	id = fmt.Sprintf("q%08d", queries.Add(1))
	if c.conn == nil && !c.open() {
		return id, ""
	}
	c.conn.SetDeadline(now().Add(2 * time.Second)) //nolint:errcheck // the read fails instead
	fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text)
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			c.close()
			return id, ""
		}
		line = strings.TrimSuffix(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "DONE"), strings.HasPrefix(line, "ERR"):
			answer = line
		case strings.HasPrefix(line, "READY"):
			if !strings.HasPrefix(line, "READY I") {
				c.close()
			}
			return id, answer
		}
	}
}

// write sends single writes until the channel closes. A write is one attempt of its own; none is sent again.
func (c *caller) write(stop <-chan struct{}, pause time.Duration) {
	defer c.close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		id, answer := c.query(fmt.Sprintf("WRITE seat%d %s", n%50, "d"+fmt.Sprint(n)))
		if strings.HasPrefix(answer, "DONE 7.") {
			c.service.acknowledge(id)
		}
		c.record.add("client", "%s at %s: WRITE: %s", id, c.at, answer)
	}
}
