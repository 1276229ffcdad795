package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the small sites: slots and connections of an instance, the statements that wait for a slot, the time that a new
// connection takes, by how much replicas are behind, how long a promotion takes, and the bound for draining.
const (
	slots           = 3
	waitingLimit    = 24
	maxConnections  = 23
	handshake       = 12 * time.Millisecond
	replicationLag  = 8 * time.Millisecond
	promotionTime   = 300 * time.Millisecond
	heartbeat       = 1200 * time.Millisecond
	announceTimeout = time.Second
)

// database is a service with one primary and its replicas. It follows the pages of the users: only an order to promote
// changes the primary, and the instance that is named leads with what it had received.
type database struct {
	site    *site
	name    string
	sync    bool // a commit is acknowledged once a replica has received it
	work    func(write bool) time.Duration
	changed *sync.Cond // of mu

	mu        sync.Mutex
	leader    string
	term      int
	log       []string // ids of the commits, in the log of the leader
	instances map[string]*instance
	fence     int // highest fencing token seen
	silent    bool
	runs      []run
	lost      []string // ids of commits that a promotion rolled back
}

// run is a statement of a client that an instance ran.
type run struct {
	id, server, text string
	arrived, ended   time.Time
	first            bool // a single statement, or the first of its transaction
}

// instance is one instance of the database.
type instance struct {
	db         *database
	id, zone   string
	address    string
	listener   net.Listener
	born       int64
	sequence   int
	received   int // records of the log
	term       int // of the log that it follows
	deaf       bool
	down       bool
	draining   bool
	drainAcked time.Time
	conns      map[net.Conn]bool
	busy       int // occupied slots
	waiting    int
	gone       chan struct{}
	report     chan struct{}
}

func newDatabase(s *site, name string, work func(write bool) time.Duration) *database {
	d := &database{site: s, name: name, work: work, term: 1, instances: map[string]*instance{}}
	d.changed = sync.NewCond(&d.mu)
	return d
}

// addInstance starts an instance. The first one is the primary.
func (d *database) addInstance(zone string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(d.instances)
	i := &instance{
		db: d, id: fmt.Sprintf("i-%s%02d", d.name, n), zone: zone, born: time.Now().UnixMilli(), term: d.term, received: len(d.log),
		conns: map[net.Conn]bool{}, gone: make(chan struct{}), report: make(chan struct{}, 1),
	}
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", d.site.subnet, 101+n, d.site.ports.internal+100))
	if err != nil {
		return err
	}
	i.listener, i.address = l, l.Addr().String()
	if d.leader == "" {
		d.leader = i.id
	}
	d.instances[i.id] = i
	go i.accept(l)
	go i.announce()
	return nil
}

func (d *database) primary() *instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.instances[d.leader]
}

// replicas returns the running instances that do not lead.
func (d *database) replicas() []*instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*instance
	for _, i := range d.instances {
		if i.id != d.leader && !i.down {
			out = append(out, i)
		}
	}
	return out
}

// replicate sends the log of the leader to the replicas that receive. The caller holds the lock.
func (d *database) replicate() {
	term, end := d.term, len(d.log)
	for _, i := range d.instances {
		if i.id == d.leader || i.down || i.deaf {
			continue
		}
		time.AfterFunc(replicationLag, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			if i.down || i.deaf || d.term != term || i.id == d.leader || i.received > end && i.term == term {
				return
			}
			i.received, i.term = max(i.received, end), term
			d.changed.Broadcast()
		})
	}
}

// commit appends a record to the log of the leader and returns whether it may be acknowledged.
func (d *database) commit(i *instance, id string) bool {
	d.log = append(d.log, id)
	i.received = len(d.log)
	number, term := len(d.log), d.term
	d.replicate()
	for d.sync {
		if i.down || d.term != term {
			return false
		}
		for _, o := range d.instances {
			if o.id != i.id && o.term == term && o.received >= number {
				return !i.down
			}
		}
		d.changed.Wait()
	}
	return true
}

// setDeaf sets whether a replica receives the log.
func (d *database) setDeaf(i *instance, deaf bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i.deaf = deaf
	d.site.record.add("database", "%s deaf=%t at record %d of %d", i.id, deaf, i.received, len(d.log))
	d.replicate()
}

// crash closes the listener and all connections of an instance.
func (d *database) crash(i *instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i.down = true
	i.listener.Close()
	for c := range i.conns {
		c.Close()
	}
	d.changed.Broadcast()
	d.site.record.add("database", "%s is down, with %d records", i.id, i.received)
}

// restart brings an instance back with its log.
func (d *database) restart(i *instance) error {
	l, err := net.Listen("tcp", i.address)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	i.down, i.listener, i.born, i.sequence, i.busy, i.waiting = false, l, time.Now().UnixMilli(), 0, 0, 0
	if i.id != d.leader {
		i.received = min(i.received, len(d.log))
	}
	d.site.record.add("database", "%s is back", i.id)
	go i.accept(l)
	d.replicate()
	return nil
}

// drain makes an instance report that it leaves.
func (d *database) drain(i *instance) {
	d.mu.Lock()
	i.draining = true
	d.mu.Unlock()
	d.site.record.add("database", "%s reports draining", i.id)
	i.reportNow()
}

// leave ends an instance that drained: it says so and exits.
func (d *database) leave(i *instance) {
	close(i.gone)
	for _, m := range d.site.machines {
		if d.site.request(m, http.MethodDelete, "/instances/"+i.id, "", announceTimeout) == http.StatusOK {
			break
		}
	}
	d.crash(i)
}

func (i *instance) reportNow() {
	select {
	case i.report <- struct{}{}:
	default:
	}
}

// announce sends status reports to the control VMs until the instance is gone.
func (i *instance) announce() {
	client := &http.Client{Timeout: announceTimeout}
	for {
		i.announceOnce(client)
		select {
		case <-i.gone:
			return
		case <-i.report:
		case <-time.After(heartbeat):
		}
	}
}

func (i *instance) announceOnce(client *http.Client) {
	d := i.db
	d.mu.Lock()
	if i.down {
		d.mu.Unlock()
		return
	}
	i.sequence++
	state, role := "ready", "replica"
	if i.draining {
		state = "draining"
	}
	if d.leader == i.id {
		role = "primary"
	}
	body, err := json.Marshal(map[string]any{
		"service": d.name, "address": i.address, "zone": i.zone, "version": "v1", "slots": slots, "state": state, "cold_left_ms": 0,
		"db_role": role, "sequence": i.sequence, "born": i.born,
	})
	d.mu.Unlock()
	if err != nil {
		return
	}
	for range 4 {
		m := d.site.machines[rand.IntN(len(d.site.machines))]
		q, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/instances/%s", m.ip, d.site.ports.operator, i.id), strings.NewReader(string(body)))
		if err != nil {
			return
		}
		q.Header.Set("Content-Type", "application/json")
		a, err := client.Do(q)
		if err != nil {
			continue
		}
		a.Body.Close()
		if a.StatusCode/100 != 2 {
			continue
		}
		if state == "draining" {
			d.mu.Lock()
			if i.drainAcked.IsZero() {
				i.drainAcked = time.Now()
				d.site.record.add("database", "%s: draining acknowledged by %s", i.id, m.name)
			}
			d.mu.Unlock()
		}
		return
	}
}

// servePlatform serves the platform's API.
func (d *database) servePlatform() (*http.Server, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.200:%d", d.site.subnet, d.site.ports.platform))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", d.promote)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go server.Serve(l) //nolint:errcheck // it ends with the case
	return server, nil
}

// promote handles an order: a token below one that was seen is refused, as is an instance that is not running.
func (d *database) promote(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service, ID string
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, err := strconv.Atoi(r.Header.Get("X-Fencing-Token"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	if d.silent {
		d.mu.Unlock()
		d.site.record.add("platform", "promote %s token %d holder %s: no answer, not carried out", body.ID, token, r.Header.Get("X-Duty-Holder"))
		<-r.Context().Done()
		return
	}
	defer d.mu.Unlock()
	i := d.instances[body.ID]
	status := http.StatusOK
	if token < d.fence || i == nil || i.down {
		status = http.StatusConflict
	}
	d.fence = max(d.fence, token)
	d.site.record.add("platform", "promote %s token %d holder %s: %d", body.ID, token, r.Header.Get("X-Duty-Holder"), status)
	if status == http.StatusOK && body.ID != d.leader {
		time.AfterFunc(promotionTime, func() { d.lead(i) })
	}
	w.WriteHeader(status)
}

// lead makes an instance the primary of the next term, with what it has received.
func (d *database) lead(i *instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader == i.id || i.down {
		return
	}
	d.site.record.add("database", "%s leads term %d with %d of %d records", i.id, d.term+1, i.received, len(d.log))
	d.lost = append(d.lost, d.log[i.received:]...)
	d.leader, d.log = i.id, append([]string{}, d.log[:i.received]...)
	d.term++
	for _, o := range d.instances {
		o.received = min(o.received, len(d.log))
	}
	i.term = d.term
	d.changed.Broadcast()
	d.replicate()
	for _, o := range d.instances {
		o.reportNow()
	}
}

func (i *instance) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go i.serve(c)
	}
}

// session is one connection to an instance.
type session struct {
	i        *instance
	open     bool // in a transaction
	plain    bool // the transaction may write
	failed   bool
	ran      bool // a statement of the transaction ran
	term     int  // in which the transaction began
	writes   []string
	prepared map[string]string // mode by name
}

func (i *instance) serve(c net.Conn) {
	d := i.db
	defer c.Close()
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	f := strings.Split(strings.TrimSuffix(line, "\r\n"), " ")
	if len(f) < 3 || f[0] != "STARTUP" || f[1] != d.name || len(f) > 3 && f[3] != i.id {
		fmt.Fprintf(c, "ERR MISROUTED %s\r\n", i.id)
		return
	}
	time.Sleep(handshake)
	d.mu.Lock()
	full := len(i.conns) >= maxConnections
	if !full {
		i.conns[c] = true
	}
	d.mu.Unlock()
	if full {
		fmt.Fprintf(c, "ERR CONNLIMIT %s\r\n", i.id)
		return
	}
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(i.conns, c)
	}()
	s := &session{i: i, prepared: map[string]string{}}
	fmt.Fprintf(c, "%s", s.ready())
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		f := strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", 3)
		if len(f) < 3 || f[0] != "QUERY" {
			return
		}
		body := s.handle(f[1], f[2])
		if body == "" {
			return
		}
		if _, err := c.Write([]byte(body + s.ready())); err != nil {
			return
		}
	}
}

func (s *session) ready() string {
	d := s.i.db
	d.mu.Lock()
	defer d.mu.Unlock()
	state := "I"
	switch {
	case s.failed:
		state = "E"
	case s.open:
		state = "T"
	}
	return fmt.Sprintf("READY %s %d.%d\r\n", state, s.i.term, s.i.received)
}

// occupy takes a slot. It returns false if there is none: a STATUS does not wait for one, and not more than waitingLimit
// statements wait.
func (i *instance) occupy(status bool) bool {
	d := i.db
	d.mu.Lock()
	defer d.mu.Unlock()
	if i.busy >= slots && (status || i.waiting >= waitingLimit) {
		return false
	}
	i.waiting++
	for i.busy >= slots && !i.down {
		d.changed.Wait()
	}
	i.waiting--
	i.busy++
	return true
}

func (i *instance) release() {
	d := i.db
	d.mu.Lock()
	defer d.mu.Unlock()
	i.busy = max(i.busy-1, 0)
	d.changed.Broadcast()
}

// handle runs a statement and returns its answer without READY, or "" to close the connection.
func (s *session) handle(id, text string) string {
	arrived := time.Now()
	i := s.i
	d := i.db
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		at, statement, _ := strings.Cut(rest, " ")
		var term, number int
		fmt.Sscanf(at, "%d.%d", &term, &number) //nolint:errcheck // a bad position is 0.0
		d.mu.Lock()
		lacks := i.term < term || i.term == term && i.received < number
		d.mu.Unlock()
		if lacks {
			return "ERR LAGGING " + i.id + "\r\n"
		}
		text = statement
	}
	word, rest, _ := strings.Cut(text, " ")
	if s.failed && word != "ROLLBACK" && word != "COMMIT" {
		return "ERR MALFORMED the transaction failed\r\n"
	}
	done := "DONE -\r\n"
	switch word {
	case "BEGIN":
		d.mu.Lock()
		defer d.mu.Unlock()
		if rest == "" && d.leader != i.id {
			return "ERR READONLY " + i.id + "\r\n"
		}
		s.open, s.plain, s.ran, s.term, s.writes = true, rest == "", false, d.term, nil
		return done
	case "ROLLBACK":
		s.open, s.failed, s.writes = false, false, nil
		return done
	case "RESET":
		s.prepared = map[string]string{}
		return done
	case "SET", "DEALLOC", "PAUSE", "RESUME", "DEMOTE":
		return done
	case "PREPARE":
		name, mode, _ := strings.Cut(rest, " ")
		s.prepared[name], _, _ = strings.Cut(mode, " ")
		return done
	case "STATUS":
		return s.status()
	case "EXECUTE":
		name, item, _ := strings.Cut(rest, " ")
		if word = s.prepared[name]; word == "" {
			return "ERR NOSTMT " + name + "\r\n"
		}
		rest = item
	}
	return s.data(arrived, id, text, word, rest)
}

func (s *session) status() string {
	i := s.i
	d := i.db
	if !i.occupy(true) {
		d.site.record.add("database", "%s answers BUSY to STATUS: all slots are taken", i.id)
		return "ERR BUSY " + i.id + "\r\n"
	}
	defer i.release()
	time.Sleep(time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	role := "replica"
	if d.leader == i.id {
		role = "primary"
	}
	d.site.record.add("database", "%s answers STATUS: %s %d.%d", i.id, role, i.term, i.received)
	return fmt.Sprintf("ROW %s %d %d.%d 0 0 %d %d\r\nDONE -\r\n", role, i.term, i.term, i.received, i.busy, len(i.conns))
}

// data runs a READ, WRITE or COMMIT, which need a slot.
func (s *session) data(arrived time.Time, id, text, word, rest string) string {
	i := s.i
	d := i.db
	if word != "READ" && word != "WRITE" && word != "COMMIT" {
		return "ERR MALFORMED " + word + "\r\n"
	}
	if !i.occupy(false) {
		return "ERR BUSY " + i.id + "\r\n"
	}
	defer i.release()
	d.mu.Lock()
	led := d.leader == i.id && (!s.open || s.term == d.term)
	d.mu.Unlock()
	if !led && (word == "WRITE" || s.open && s.plain && (word == "READ" || len(s.writes) > 0)) {
		s.failed = s.open
		return "ERR READONLY " + i.id + "\r\n"
	}
	first := !s.ran
	s.ran = s.open
	d.site.record.add("database", "%s runs %s %s", i.id, id, text)
	time.Sleep(d.work(word != "READ"))
	d.mu.Lock()
	defer d.mu.Unlock()
	if i.down {
		return ""
	}
	if word == "WRITE" {
		s.writes = append(s.writes, id)
	}
	if word == "COMMIT" || word == "WRITE" && !s.open {
		if len(s.writes) > 0 && (d.leader != i.id || s.open && s.term != d.term) {
			s.open, s.writes = false, nil
			return "ERR READONLY " + i.id + "\r\n"
		}
		for _, w := range s.writes {
			if !d.commit(i, w) {
				return ""
			}
		}
		s.open, s.writes = false, nil
	}
	d.runs = append(d.runs, run{id: id, server: i.id, text: text, arrived: arrived, ended: time.Now(), first: first})
	row := ""
	if word == "READ" {
		row = "ROW " + rest + "\r\n"
	}
	return row + "DONE mac." + i.id + "." + id + "\r\n"
}
