package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1200 * time.Millisecond // heartbeat_ms of a small site
	lag         = 8 * time.Millisecond    // with which replicas receive
	work        = 8 * time.Millisecond    // of a read or a write
	handshake   = 12 * time.Millisecond   // of a new connection
	promoteTime = 300 * time.Millisecond  // from an accepted order to the new lead
	maxConns    = 23
)

// entry is one commit in the log of an instance.
type entry struct {
	term, number   int
	id, item, data string
}

// instance is the stand-in for one instance of the service. Its fields are guarded by the mutex of the service.
type instance struct {
	service  *service
	id, at   string
	zone     string
	born     int64
	sequence int
	up, dark bool
	draining bool
	ended    bool
	deaf     bool // receives nothing
	held     int  // term of the PAUSE in force; 0 for none
	term     int  // newest term that it knows
	log      []entry
	listener net.Listener
	conns    map[net.Conn]bool
	role     chan struct{} // wakes the status reports
}

// service is the stand-in for one service: an instance that leads and its replicas.
type service struct {
	record *record
	name   string
	sync   int // sync_replicas

	mu        sync.Mutex
	changed   *sync.Cond
	term      int
	leader    *instance
	instances []*instance
	acked     map[string]bool // ids of commits that were acknowledged to clients
	writes    map[string]int  // how often each id took effect in the log of a leader
	lost      []string        // ids of acknowledged commits that a promoted instance lacked
	controls  []string        // addresses for status reports
}

func newService(r *record, name string, syncReplicas, term int, controls []string) *service {
	s := &service{record: r, name: name, sync: syncReplicas, term: term, acked: map[string]bool{}, writes: map[string]int{}, controls: controls}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// add starts an instance; the first one leads.
func (s *service) add(id, at, zone string) *instance {
	i := &instance{service: s, id: id, at: at, zone: zone, role: make(chan struct{}, 1)}
	s.mu.Lock()
	s.instances = append(s.instances, i)
	if s.leader == nil {
		s.leader = i
	}
	s.mu.Unlock()
	i.start()
	go i.report()
	return i
}

// run replicates until the program ends.
func (s *service) run() {
	for {
		s.mu.Lock()
		target, from := 0, s.leader
		if from.up && !from.dark {
			target = len(from.log)
		}
		s.mu.Unlock()
		time.Sleep(lag)
		s.mu.Lock()
		if from == s.leader && from.up && !from.dark {
			for _, i := range s.instances {
				if i == from || !i.up || i.dark || i.deaf || i.held > 0 || i.ended {
					continue
				}
				i.term = max(i.term, s.term)
				if len(i.log) < target && target <= len(from.log) {
					i.log = append(i.log[:len(i.log):len(i.log)], from.log[len(i.log):target]...)
				}
			}
			s.changed.Broadcast()
		}
		s.mu.Unlock()
	}
}

// start opens the listener of an instance that starts. It is a new process: its fence is gone.
func (i *instance) start() {
	s := i.service
	l, err := net.Listen("tcp", i.at)
	for n := 0; err != nil && n < 100; n++ {
		time.Sleep(20 * time.Millisecond)
		l, err = net.Listen("tcp", i.at)
	}
	if err != nil {
		fatal("listen %s: %v", i.at, err)
	}
	s.mu.Lock()
	i.born, i.sequence, i.up, i.held = now().UnixMilli(), 0, true, 0
	i.listener, i.conns = l, map[net.Conn]bool{}
	if i == s.leader {
		i.term = s.term
	}
	s.mu.Unlock()
	go i.accept(l)
	i.wake()
}

func (i *instance) wake() {
	select {
	case i.role <- struct{}{}:
	default:
	}
}

// crash ends the process of an instance.
func (i *instance) crash() {
	s := i.service
	s.mu.Lock()
	defer s.mu.Unlock()
	i.up = false
	i.listener.Close()
	for c := range i.conns {
		c.Close()
	}
	s.changed.Broadcast()
}

// restart starts a crashed instance under its id, with its log or without it.
func (i *instance) restart(keep bool) {
	s := i.service
	s.mu.Lock()
	if !keep {
		i.log, i.term = nil, 0
	}
	if i != s.leader {
		i.log = commonPrefix(i.log, s.leader.log)
	}
	s.mu.Unlock()
	i.start()
}

func commonPrefix(a, b []entry) []entry {
	n := 0
	for n < len(a) && n < len(b) && a[n].id == b[n].id && a[n].term == b[n].term {
		n++
	}
	return a[:n:n]
}

// setDark makes an instance silent, or ends that. Its process goes on.
func (i *instance) setDark(dark bool) {
	i.service.mu.Lock()
	defer i.service.mu.Unlock()
	i.dark = dark
	i.service.changed.Broadcast()
}

// lead makes an instance the primary of the next term with what it has received, and checks the rule LOST.
func (s *service) lead(i *instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !i.up || i == s.leader {
		s.record.add("promote", "%s: not carried out, it does not run or leads already", i.id)
		return
	}
	has := map[string]bool{}
	for _, e := range i.log {
		has[e.id] = true
	}
	var lost []string
	for id := range s.acked {
		if !has[id] {
			lost = append(lost, id)
		}
	}
	s.term++
	s.record.add("promote", "%s leads term %d with %d commits; %d were acknowledged; of these %d are not in its log", i.id, s.term, len(i.log), len(s.acked), len(lost))
	s.lost = append(s.lost, lost...)
	s.leader, i.term, i.held = i, s.term, 0
	for _, o := range s.instances {
		if o.up {
			o.log, o.held = commonPrefix(o.log, i.log), 0
		}
		o.wake()
	}
	s.changed.Broadcast()
}

// acknowledge records that a client got a success for a commit.
func (s *service) acknowledge(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked[id] = true
}

// positions describes the logs of all instances.
func (s *service) positions() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, i := range s.instances {
		state := "replica"
		if i == s.leader {
			state = "primary"
		}
		if !i.up {
			state += " down"
		}
		if i.dark {
			state += " dark"
		}
		if i.held > 0 {
			state += " paused"
		}
		out = append(out, fmt.Sprintf("%s %s %d", i.id, state, len(i.log)))
	}
	return strings.Join(out, ", ")
}

func (i *instance) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		i.service.mu.Lock()
		full := len(i.conns) >= maxConns
		if i.listener == l && i.up {
			i.conns[c] = true
		}
		i.service.mu.Unlock()
		go i.serve(c, full)
	}
}

// awaitLight waits while the instance is dark.
func (i *instance) awaitLight() {
	i.service.mu.Lock()
	defer i.service.mu.Unlock()
	for i.dark {
		i.service.changed.Wait()
	}
}

// session is one connection to an instance.
type session struct {
	i       *instance
	who     string
	open    bool
	reading bool
	failed  bool
	term    int
	pending []entry
	gone    bool // the other side has closed the connection
}

func (i *instance) serve(c net.Conn, full bool) {
	defer func() {
		c.Close()
		i.service.mu.Lock()
		delete(i.conns, c)
		i.service.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	i.awaitLight()
	f := strings.Fields(line)
	time.Sleep(handshake)
	switch {
	case full:
		fmt.Fprintf(c, "ERR CONNLIMIT %s\r\n", i.id)
		return
	case len(f) < 3 || f[0] != "STARTUP" || f[1] != i.service.name || len(f) > 3 && f[3] != i.id:
		fmt.Fprintf(c, "ERR MISROUTED %s\r\n", i.id)
		return
	}
	s := &session{i: i, who: f[2]}
	fmt.Fprintf(c, "READY I %s\r\n", i.position())
	lines, ended := make(chan string), make(chan struct{})
	defer close(ended)
	go s.read(r, lines, ended)
	for line := range lines {
		i.awaitLight()
		p := strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", 3)
		if len(p) < 3 || p[0] != "QUERY" {
			return
		}
		answer, ok := s.run(p[1], p[2])
		i.awaitLight()
		if !ok {
			return
		}
		state := "I"
		if s.open {
			state = "T"
		}
		if s.failed {
			state = "E"
		}
		if _, err := fmt.Fprintf(c, "%sREADY %s %s\r\n", answer, state, i.position()); err != nil {
			return
		}
	}
}

// read passes on the lines of a connection and notices its end.
func (s *session) read(r *bufio.Reader, lines chan<- string, ended <-chan struct{}) {
	defer close(lines)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			s.i.service.mu.Lock()
			s.gone = true
			s.i.service.changed.Broadcast()
			s.i.service.mu.Unlock()
			return
		}
		select {
		case lines <- line:
		case <-ended:
			return
		}
	}
}

func (i *instance) position() string {
	i.service.mu.Lock()
	defer i.service.mu.Unlock()
	return i.positionLocked()
}

func (i *instance) positionLocked() string { return fmt.Sprintf("%d.%d", i.term, len(i.log)) }

// run runs one statement. It returns false if the connection ends without an answer.
func (s *session) run(id, text string) (string, bool) {
	i, sv := s.i, s.i.service
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		at, statement, _ := strings.Cut(rest, " ")
		term, number, _ := strings.Cut(at, ".")
		t, _ := strconv.Atoi(term)
		n, _ := strconv.Atoi(number)
		sv.mu.Lock()
		lags := t > i.term || n > len(i.log)
		sv.mu.Unlock()
		if lags {
			return "ERR LAGGING " + i.id + "\r\n", true
		}
		text = statement
	}
	word, rest, _ := strings.Cut(text, " ")
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if !i.up {
		return "", false
	}
	leads := sv.leader == i
	if s.open && !s.reading && (!leads || s.term != sv.term) && word != "ROLLBACK" {
		s.failed = true
		return "ERR READONLY " + i.id + "\r\n", true
	}
	switch word {
	case "STATUS":
		return i.status(), true
	case "PAUSE":
		if t, _ := strconv.Atoi(rest); !leads && t > i.term {
			i.held = t
		}
		sv.record.add("order", "PAUSE %s at %s by %s: %s", rest, i.id, s.who, i.positionLocked())
		return i.status(), true
	case "RESUME":
		i.held = 0
		sv.record.add("order", "RESUME at %s by %s", i.id, s.who)
		return i.status(), true
	case "BEGIN":
		if rest == "" && !leads {
			return "ERR READONLY " + i.id + "\r\n", true
		}
		s.open, s.reading, s.failed, s.term, s.pending = true, rest == "READ", false, sv.term, nil
	case "ROLLBACK":
		s.open, s.failed, s.pending = false, false, nil
	case "READ":
		sv.mu.Unlock()
		time.Sleep(work)
		sv.mu.Lock()
		row := "none"
		for _, e := range i.log {
			if e.item == rest {
				row = e.data
			}
		}
		return "ROW " + row + "\r\nDONE " + mac(i, id) + "\r\n", true
	case "WRITE":
		if !leads {
			return "ERR READONLY " + i.id + "\r\n", true
		}
		sv.mu.Unlock()
		time.Sleep(work)
		sv.mu.Lock()
		item, data, _ := strings.Cut(rest, " ")
		s.pending = append(s.pending, entry{id: id, item: item, data: data})
		if !s.open {
			return s.commit(id)
		}
		return "DONE " + mac(i, id) + "\r\n", true
	case "COMMIT":
		s.open = false
		return s.commit(id)
	case "SET", "RESET", "PREPARE", "DEALLOC":
	default:
		return "ERR MALFORMED " + word + "\r\n", true
	}
	return "DONE -\r\n", true
}

// status returns the row that STATUS, PAUSE and RESUME answer. The mutex is held.
func (i *instance) status() string {
	role := "replica"
	if i.service.leader == i {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\nDONE -\r\n", role, i.term, i.positionLocked(), i.held, len(i.conns))
}

// commit appends what the session wrote and waits until enough replicas have received it. The mutex is held.
func (s *session) commit(id string) (string, bool) {
	i, sv := s.i, s.i.service
	pending := s.pending
	s.pending = nil
	if sv.leader != i || !i.up {
		return "ERR READONLY " + i.id + "\r\n", true
	}
	term := sv.term
	for _, e := range pending {
		e.term, e.number = term, len(i.log)+1
		i.log = append(i.log, e)
		sv.writes[e.id]++
	}
	number := len(i.log)
	for sv.leader == i && i.up && sv.term == term && !s.gone {
		received := 0
		for _, o := range sv.instances {
			if o != i && len(o.log) >= number {
				received++
			}
		}
		if received >= sv.sync && !i.dark {
			return "DONE " + mac(i, id) + "\r\n", true
		}
		sv.changed.Wait()
	}
	return "", false
}

func mac(i *instance, id string) string { return "7." + i.id + "." + id }

// report sends the status reports of an instance.
func (i *instance) report() {
	client := &http.Client{Timeout: time.Second}
	tick := time.NewTicker(heartbeat)
	for n := 0; ; {
		select {
		case <-i.role:
		case <-tick.C:
		}
		for range i.service.controls {
			body, ok := i.body()
			if !ok {
				break
			}
			q, err := http.NewRequest(http.MethodPut, "http://"+i.service.controls[n%len(i.service.controls)]+"/instances/"+i.id, bytes.NewReader(body))
			if err != nil {
				fatal("report: %v", err)
			}
			q.Header.Set("Content-Type", "application/json")
			a, err := client.Do(q)
			if err == nil {
				a.Body.Close()
				i.service.record.add("report", "%s: %s: %d", i.id, body, a.StatusCode)
				if a.StatusCode/100 == 2 {
					break
				}
			}
			n++
		}
	}
}

// body returns the next status report, or false if the instance sends none now.
func (i *instance) body() ([]byte, bool) {
	i.service.mu.Lock()
	defer i.service.mu.Unlock()
	if !i.up || i.dark || i.ended {
		return nil, false
	}
	i.sequence++
	role, state := "replica", "ready"
	if i.service.leader == i {
		role = "primary"
	}
	if i.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": i.service.name, "address": i.at, "zone": i.zone, "version": "v1", "slots": 3, "state": state, "cold_left_ms": 0,
		"db_role": role, "sequence": i.sequence, "born": i.born,
	})
	return body, err == nil
}
