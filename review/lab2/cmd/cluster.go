package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat    = 1200 * time.Millisecond
	handshake    = 12 * time.Millisecond // that a new connection takes
	workTime     = 4 * time.Millisecond  // that a read, write or commit takes
	instanceSlot = 3
	maxConns     = 23
	transit      = 3 * time.Millisecond // of a commit to a replica
	normalLag    = 8 * time.Millisecond // until a replica applies a commit
	drainTime    = 7 * time.Second      // that an instance serves after the acknowledgement of its shutdown
)

// cluster is one service: a primary and its replicas, which share one log. Each replica has a prefix of it.
type cluster struct {
	site *site
	name string
	sync bool // a commit is acknowledged once one replica has received it

	mu        sync.Mutex
	term      int
	primary   string
	log       []entry
	instances map[string]*instance
	order     []string
}

// entry is one commit.
type entry struct {
	term   int
	at     time.Time
	acked  bool // a replica has it, where that is promised, and the answer is sent
	writes []string
}

// instance is one instance of a service.
type instance struct {
	cluster  *cluster
	id       string
	zone     string
	address  string
	listener net.Listener
	slots    chan struct{}
	born     int64

	// guarded by the cluster
	lag      time.Duration // until a commit is applied
	received int           // commits of the log
	applied  int           // commits that it has received
	deaf     bool          // it receives nothing
	paused   bool          // it receives nothing until RESUME, a promotion or its restart
	down     bool
	draining bool
	left     time.Time // when its announcement that it leaves was acknowledged; zero before
	conns    map[net.Conn]struct{}
	sequence int
}

// startCluster starts a service whose log has some commits already.
func startCluster(s *site, name string, first, commits int, sync bool) (*cluster, error) {
	c := &cluster{site: s, name: name, sync: sync, term: 1, instances: map[string]*instance{}}
	for range commits {
		c.log = append(c.log, entry{term: 1, acked: true})
	}
	for n, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if _, err := c.startInstance(fmt.Sprintf("%s.%d", s.network, first+n), zone); err != nil {
			return nil, err
		}
	}
	c.primary = c.order[0]
	s.mu.Lock()
	s.groups = append(s.groups, c)
	s.mu.Unlock()
	go c.replicate()
	for _, id := range c.order {
		go c.instances[id].announce()
	}
	return c, nil
}

// startInstance starts an instance. It does not announce itself yet.
func (c *cluster) startInstance(ip, zone string) (*instance, error) {
	return c.startInstanceAt(ip+":0", zone)
}

// startInstanceAt starts an instance at an address. It does not announce itself yet.
func (c *cluster) startInstanceAt(address, zone string) (*instance, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	i := &instance{
		cluster: c, id: fmt.Sprintf("i-%s-%d", c.name, len(c.order)+1), zone: zone, address: l.Addr().String(), listener: l,
		slots: make(chan struct{}, instanceSlot), born: time.Now().UnixMilli(), lag: normalLag, received: len(c.log), applied: len(c.log), conns: map[net.Conn]struct{}{},
	}
	c.instances[i.id] = i
	c.order = append(c.order, i.id)
	go i.accept()
	return i, nil
}

// cluster returns a service by name, or nil.
func (s *site) cluster(name string) *cluster {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.groups {
		if c.name == name {
			return c
		}
	}
	return nil
}

func (c *cluster) leads(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.primary == id
}

func (c *cluster) runs(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.instances[id]
	return i != nil && !i.down
}

// leader returns the id of the primary.
func (c *cluster) leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.primary
}

// setLag sets how late a replica applies commits.
func (c *cluster) setLag(id string, lag time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances[id].lag = lag
}

// promote makes an instance the primary of the next term. It leads with what it had received.
func (c *cluster) promote(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.instances[id]
	if i == nil || i.down || c.primary == id {
		return
	}
	c.checkPromoted(i)
	c.log = c.log[:i.received]
	c.term++
	c.primary = id
	c.site.record.printf("service %s: %s leads term %d from %d on", c.name, id, c.term, len(c.log))
	for _, other := range c.instances {
		other.paused = false
		other.received = min(other.received, len(c.log))
		other.applied = min(other.applied, other.received)
	}
	for _, other := range c.instances {
		if !other.down {
			go other.announceOnce()
		}
	}
}

// checkPromoted checks that an instance which is promoted has all acknowledged commits, where that was promised. The caller
// holds the lock.
func (c *cluster) checkPromoted(i *instance) {
	for n := i.received; c.sync && n < len(c.log); n++ {
		if c.log[n].acked {
			c.site.record.breakRule("LOST: %s is promoted in %s with %d commits and lacks the acknowledged commit %v at %d.%d",
				i.id, c.name, i.received, c.log[n].writes, c.log[n].term, n+1)
		}
	}
}

// replicate passes commits to the replicas, which apply them later.
func (c *cluster) replicate() {
	for range time.Tick(time.Millisecond) {
		c.replicateOnce(time.Now())
	}
}

func (c *cluster) replicateOnce(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	source := c.instances[c.primary]
	for _, i := range c.instances {
		hears := !i.down && !i.deaf && !i.paused && !source.down
		for i == source && i.received < len(c.log) || hears && i.received < len(c.log) && now.Sub(c.log[i.received].at) >= transit {
			i.received++
		}
		for i.applied < i.received && (i == source || now.Sub(c.log[i.applied].at) >= i.lag) {
			i.applied++
		}
	}
}

// announce reports the state of the instance until it ends.
func (i *instance) announce() {
	for {
		i.announceOnce()
		time.Sleep(heartbeat)
		i.cluster.mu.Lock()
		down := i.down
		i.cluster.mu.Unlock()
		if down {
			return
		}
	}
}

// announceOnce reports the state of the instance once. It returns whether that was acknowledged.
func (i *instance) announceOnce() bool {
	c := i.cluster
	c.mu.Lock()
	i.sequence++
	role, state := "replica", "ready"
	if c.primary == i.id {
		role = "primary"
	}
	if i.draining {
		state = "draining"
	}
	body, err := json.Marshal(object{
		"service": c.name, "address": i.address, "zone": i.zone, "version": "v1", "slots": instanceSlot, "state": state, "cold_left_ms": 0,
		"db_role": role, "sequence": i.sequence, "born": i.born,
	})
	first := i.sequence
	c.mu.Unlock()
	if err != nil {
		return false
	}
	status, _, machine := c.site.call(first, http.MethodPut, "/instances/"+i.id, body)
	if state == "draining" {
		c.site.record.printf("instance %s announces that it leaves: %d from %s", i.id, status, machine)
	}
	return status == http.StatusOK
}

// leave ends the instance as planned: it announces its shutdown, serves on for a while, and reports its end.
func (i *instance) leave(serve time.Duration) {
	i.cluster.mu.Lock()
	i.draining = true
	i.cluster.mu.Unlock()
	if i.announceOnce() {
		i.cluster.mu.Lock()
		i.left = time.Now()
		i.cluster.mu.Unlock()
	}
	time.Sleep(serve)
	status, _, _ := i.cluster.site.call(0, http.MethodDelete, "/instances/"+i.id, nil)
	i.cluster.site.record.printf("instance %s reports its end: %d", i.id, status)
	i.stop()
}

// crash ends the instance at once and starts it again after some time, at the same address and under the same id. Its log is kept
// or lost.
func (i *instance) crash(down time.Duration, keeps bool) error {
	i.stop()
	c := i.cluster
	c.site.record.printf("instance %s crashes", i.id)
	time.Sleep(down)
	l, err := net.Listen("tcp", i.address)
	if err != nil {
		return err
	}
	c.mu.Lock()
	i.listener, i.down, i.paused, i.deaf = l, false, false, false
	i.born, i.sequence = time.Now().UnixMilli(), 0
	if !keeps {
		i.received, i.applied = 0, 0
	}
	c.site.record.printf("instance %s is back with %d commits", i.id, i.received)
	c.mu.Unlock()
	go i.accept()
	go i.announce()
	return nil
}

// stop ends the instance at once.
func (i *instance) stop() {
	i.cluster.mu.Lock()
	defer i.cluster.mu.Unlock()
	i.down = true
	i.listener.Close()
	for conn := range i.conns {
		conn.Close()
	}
}

func (i *instance) accept() {
	for {
		conn, err := i.listener.Accept()
		if err != nil {
			return
		}
		go i.serve(conn)
	}
}

// connection is one connection to an instance.
type connection struct {
	instance *instance
	open     bool
	reading  bool
	failed   bool
	term     int
	writes   []string
	unacked  int // commit of this connection that waits for a replica; 0 for none
}

func (i *instance) serve(conn net.Conn) {
	c := i.cluster
	defer conn.Close()
	c.mu.Lock()
	full := len(i.conns) >= maxConns
	if !full {
		i.conns[conn] = struct{}{}
	}
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(i.conns, conn)
	}()
	r := bufio.NewReader(conn)
	s := &connection{instance: i}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSuffix(line, "\r\n")
		reply := ""
		switch {
		case full:
			reply = "ERR CONNLIMIT " + i.id + "\r\n"
		case strings.HasPrefix(line, "STARTUP "):
			reply = s.startup(strings.Fields(line))
		default:
			reply = s.query(line)
		}
		if reply == "" {
			return
		}
		if _, err := conn.Write([]byte(reply)); err != nil {
			return
		}
	}
}

func (s *connection) startup(fields []string) string {
	i := s.instance
	i.slots <- struct{}{}
	time.Sleep(handshake)
	<-i.slots
	if len(fields) < 3 || fields[1] != i.cluster.name || len(fields) > 3 && fields[3] != i.id {
		return "ERR MISROUTED " + i.id + "\r\n"
	}
	return s.ready()
}

// ready returns the line that ends each answer.
func (s *connection) ready() string {
	c := s.instance.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	state := "I"
	switch {
	case s.failed:
		state = "E"
	case s.open:
		state = "T"
	}
	return fmt.Sprintf("READY %s %s\r\n", state, s.position())
}

// position returns the end of the log of the instance. The caller holds the lock of the cluster.
func (s *connection) position() string {
	i := s.instance
	c := i.cluster
	end := i.applied
	if c.primary == i.id {
		end = len(c.log)
	}
	return fmt.Sprintf("%d.%d", i.termAt(end), end)
}

// termAt returns the term of the log of the instance at its end.
func (i *instance) termAt(end int) int {
	c := i.cluster
	if c.primary == i.id || end >= len(c.log) {
		return c.term
	}
	if end == 0 {
		return 1
	}
	return c.log[end-1].term
}

// query handles one statement and returns the whole answer.
func (s *connection) query(line string) string {
	parts := strings.SplitN(line, " ", 3)
	if len(parts) < 3 || parts[0] != "QUERY" {
		return ""
	}
	id, text := parts[1], parts[2]
	word, rest, _ := strings.Cut(text, " ")
	after := ""
	if word == "AFTER" {
		after, text, _ = strings.Cut(rest, " ")
		word, rest, _ = strings.Cut(text, " ")
	}
	if word == "READ" || word == "WRITE" || word == "COMMIT" || word == "STATUS" {
		s.instance.slots <- struct{}{}
		time.Sleep(workTime)
		defer func() { <-s.instance.slots }()
	}
	body := s.run(id, word, rest, after)
	if s.unacked > 0 && !s.awaitReplica() {
		return "" // it has crashed or does not lead any more
	}
	return body + s.ready()
}

// awaitReplica waits until a replica has received the commit of this connection, if the service promises that. It returns false
// if the instance ends or does not lead any more.
func (s *connection) awaitReplica() bool {
	i, at := s.instance, s.unacked
	s.unacked = 0
	for term := i.cluster.currentTerm(); ; time.Sleep(time.Millisecond) {
		if done, leads := i.acknowledge(at, term); done || !leads {
			return done
		}
	}
}

func (c *cluster) currentTerm() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}

// acknowledge acknowledges a commit of a term if it may be.
func (i *instance) acknowledge(at, term int) (done, leads bool) {
	c := i.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if i.down || c.primary != i.id || c.term != term {
		return false, false
	}
	for _, other := range c.instances {
		if !c.sync || other != i && !other.down && other.received >= at {
			c.log[at-1].acked = true
			return true, true
		}
	}
	return false, true
}

// status returns the answer to STATUS. The caller holds the lock of the cluster.
func (i *instance) status() string {
	role := "replica"
	if i.cluster.primary == i.id {
		role = "primary"
	}
	term := i.termAt(i.received)
	return fmt.Sprintf("ROW %s %d %d.%d 0 %d %d %d\r\nDONE -\r\n", role, term, term, i.received, i.lag.Milliseconds(), len(i.slots), len(i.conns))
}

// lacks reports whether the log of the instance lacks a position. The caller holds the lock of the cluster.
func (s *connection) lacks(after string) bool {
	if after == "" {
		return false
	}
	var term, number, ownTerm, own int
	if _, err := fmt.Sscanf(after, "%d.%d", &term, &number); err != nil {
		return true
	}
	if _, err := fmt.Sscanf(s.position(), "%d.%d", &ownTerm, &own); err != nil {
		return true
	}
	return ownTerm < term || ownTerm == term && own < number
}

func (s *connection) run(id, word, rest, after string) string {
	i := s.instance
	c := i.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	leads := c.primary == i.id
	if word == "ROLLBACK" {
		s.open, s.failed, s.writes = false, false, nil
		return "DONE -\r\n"
	}
	if s.failed {
		return "ERR MALFORMED the transaction failed\r\n"
	}
	if s.open && !s.reading && (!leads || s.term != c.term) {
		s.failed = true
		return "ERR READONLY " + i.id + "\r\n"
	}
	if s.lacks(after) {
		return "ERR LAGGING " + i.id + "\r\n"
	}
	done := fmt.Sprintf("DONE mac.%s.%s\r\n", i.id, id)
	switch word {
	case "BEGIN":
		if rest == "" && !leads {
			return "ERR READONLY " + i.id + "\r\n"
		}
		s.open, s.reading, s.term, s.writes = true, rest == "READ", c.term, nil
		return "DONE -\r\n"
	case "SET", "RESET", "PREPARE", "DEALLOC":
		return "DONE -\r\n"
	case "PAUSE", "RESUME":
		if leads {
			return "ERR MALFORMED " + i.id + " leads\r\n"
		}
		i.paused = word == "PAUSE"
		c.site.record.printf("instance %s: %s %s with %d commits", i.id, word, rest, i.received)
		return i.status()
	case "STATUS":
		return i.status()
	case "READ":
		c.site.record.printf("instance %s runs %s READ %s after %q with log %s", i.id, id, rest, after, s.position())
		c.site.ran(c, i, id, s)
		return "ROW value\r\n" + done
	case "WRITE":
		if !leads {
			return "ERR READONLY " + i.id + "\r\n"
		}
		s.writes = append(s.writes, id)
		c.site.written(i, id)
		if s.open {
			return done
		}
		s.commit(id)
		return done
	case "COMMIT":
		if len(s.writes) > 0 {
			s.commit(id)
		}
		s.open = false
		return done
	}
	return "ERR MALFORMED " + word + "\r\n"
}

// commit adds a commit to the log. The caller holds the lock of the cluster.
func (s *connection) commit(id string) {
	c := s.instance.cluster
	c.log = append(c.log, entry{term: c.term, at: time.Now(), writes: s.writes})
	s.writes = nil
	s.unacked = len(c.log)
	c.instances[c.primary].received = len(c.log)
	c.site.record.printf("instance %s commits %s at %d.%d", s.instance.id, id, c.term, len(c.log))
}

// end returns the position of the log that a statement with an id committed, or 0.
func (c *cluster) end(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := len(c.log) - 1; n >= 0; n-- {
		for _, w := range c.log[n].writes {
			if w == id {
				return n + 1
			}
		}
	}
	return 0
}

// visible returns the number of commits in the log of the instance that a read sees. The caller holds the lock of the cluster.
func (i *instance) visible() int {
	if i.cluster.primary == i.id {
		return len(i.cluster.log)
	}
	return i.applied
}

// ready asks a machine whether it is ready.
func (m *machine) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/ready", m.ip, readinessPort), nil)
	if err != nil {
		return false
	}
	answer, err := m.site.client.Do(q)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
