// Package simulation_test measures the policies together in a seeded discrete-event model of one
// database group: entry VMs, three instances with slots, and the ways between them.
package simulation_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/admission"
	"fireflyrudder.example/fireflyrudder/internal/retry"
	"fireflyrudder.example/fireflyrudder/internal/route"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

const (
	entries      = 11
	instances    = 3
	sessions     = 40               // per client account
	settled      = 20 * time.Second // requests before this are not counted
	timeout      = time.Second
	rejectedWork = time.Millisecond // slot time that a statement above the connection limit costs
	jitter       = 300 * time.Microsecond
)

// Shares of the due load of eight client accounts, a few of them large.
var shares = []float64{0.25, 0.2, 0.2, 0.1, 0.1, 0.05, 0.05, 0.05}

// user holds the sizes of one user. Service time and share of reads are assumptions.
type user struct {
	name        string
	slots       int
	connections int
	between     time.Duration // one way between zones
	service     time.Duration // mean, log-normal
	reads       float64
}

var users = []user{
	{"cascadia", 3, 24, 5 * time.Millisecond, 5 * time.Millisecond, 0.85},
	{"vinokrug", 2, 36, 4 * time.Millisecond, 8 * time.Millisecond, 0.6},
}

// setup is one run.
type setup struct {
	user
	seed      uint64
	length    time.Duration
	load      float64 // of the busiest instance when replicas serve all reads
	heavy     float64 // factor on the rate of the first account from settled on
	limited   bool    // an ideal fleet-wide bucket holds accounts to 1.25 times the due rate, 0.5 s of burst
	route     route.Policy
	admission admission.Policy
	fixed     bool
	readShare float64
	retry     retry.Policy
	timeout   time.Duration                           // of requests; default timeout
	lag       func(since time.Duration) time.Duration // of both replicas
	slow      float64                                 // factor on the service times of the last replica
	dies      time.Duration                           // when the primary dies; 0 for never
	promoted  time.Duration                           // when a replica takes its place
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// request is one statement of a session.
type request struct {
	account  int
	session  *position.Position
	read     bool
	lawful   bool // a replica might serve it on arrival
	counted  bool
	arrived  time.Time
	deadline time.Time
	tries    int
	waited   time.Duration
	finished bool
}

// instance runs statements in order of arrival on its slots.
type instance struct {
	down    bool
	busy    int
	held    int // connections in use
	waiting []func()
	served  time.Duration // since settled
}

type entryVM struct {
	zone   int
	router *route.Router
	budget *retry.Budget
	queues [instances]*admission.Queue
}

// tally is what one client account saw.
type tally struct {
	due, good, refused int
	reads, writes      []time.Duration
}

// bucket is the ideal rate of one client account over the fleet.
type bucket struct {
	rate, level float64
	filled      time.Time
}

func (b *bucket) take(now time.Time) bool {
	b.level = min(b.level+b.rate*now.Sub(b.filled).Seconds(), b.rate/2)
	b.filled = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

type world struct {
	setup
	now       time.Time
	start     time.Time
	random    *rand.Rand
	callers   *rand.Rand // of the arrivals, so that all policies meet the same load
	events    events
	order     int
	instances [instances]instance
	entries   [entries]entryVM
	primary   int
	term      position.Term
	commits   []time.Time // time of each log record
	history   position.History
	tallies   []tally
	floors    [][]position.Position
	buckets   []bucket
	tries     int // at entry VMs
	rejected  int // for want of a connection
	lawful    int
	onReplica int
	recovered time.Duration // last answer above 200 ms, after the promotion
}

func simulate(s setup) *world {
	if s.timeout == 0 {
		s.timeout = timeout
	}
	w := &world{setup: s, start: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(s.seed, 1)), callers: rand.New(rand.NewPCG(s.seed, 2)), term: 1}
	w.now, w.history, w.tallies = w.start, position.History{{Term: 1}}, make([]tally, len(shares))
	for i := range w.entries {
		e := &w.entries[i]
		e.zone, e.router, e.budget = i%instances, route.New(s.seed+uint64(i), s.route), retry.New(s.seed+uint64(i), s.retry)
		for k := range e.queues {
			e.queues[k] = admission.NewWith(admission.Settings{Policy: s.admission, Slots: s.slots, Fixed: s.fixed, ReadShare: s.readShare})
		}
	}
	capacity := float64(s.slots) / s.service.Seconds()
	rate := s.load * capacity / max(1-s.reads, s.reads/2)
	for account, share := range shares {
		w.floors = append(w.floors, make([]position.Position, sessions))
		w.buckets = append(w.buckets, bucket{rate: 1.25 * rate * share, filled: w.start})
		w.arrivals(account, rate*share)
	}
	if s.heavy > 1 {
		w.at(settled, func() { w.arrivals(0, rate*shares[0]*(s.heavy-1)) })
	}
	if s.dies > 0 {
		w.at(s.dies, func() { w.instances[w.primary].down = true })
		w.at(s.promoted, w.promote)
	}
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	return w
}

func (w *world) at(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, event{w.now.Add(d), w.order, run})
}

func (w *world) since() time.Duration { return w.now.Sub(w.start) }

// arrivals sends a Poisson stream of requests to random entry VMs.
func (w *world) arrivals(account int, rate float64) {
	pause := time.Duration(w.callers.ExpFloat64() / rate * float64(time.Second))
	w.at(pause, func() {
		if w.since() > w.length {
			return
		}
		w.arrivals(account, rate)
		r := &request{
			account: account, session: &w.floors[account][w.callers.IntN(sessions)], read: w.callers.Float64() < w.reads,
			arrived: w.now, deadline: w.now.Add(w.timeout), counted: w.since() > settled,
		}
		if r.counted {
			w.tallies[account].due++
		}
		if w.limited && !w.buckets[account].take(w.now) {
			w.refuse(r)
			return
		}
		e := &w.entries[w.callers.IntN(entries)]
		e.budget.Request()
		r.lawful = r.read && w.anyReplica(e, r)
		if r.lawful && r.counted {
			w.lawful++
		}
		w.place(e, r)
	})
}

// promote makes the first replica the primary of the next term. It holds all records.
func (w *world) promote() {
	w.primary, w.term = 1, 2
	w.history = append(w.history, position.Position{Term: 2, Offset: w.offset(0)})
}

// offset returns the log position that was reached the given time ago.
func (w *world) offset(ago time.Duration) position.Offset {
	n, _ := slices.BinarySearchFunc(w.commits, w.now.Add(-ago), func(a, b time.Time) int { return a.Compare(b) })
	return position.Offset(n)
}

func (w *world) distance(e *entryVM, server int) time.Duration {
	if e.zone == server {
		return time.Millisecond / 2
	}
	return w.between
}

// candidates returns what an entry VM knows: positions are one way old, a death is known at once.
func (w *world) candidates(e *entryVM) []route.Candidate {
	all := make([]route.Candidate, instances)
	for i := range all {
		ago := w.distance(e, i)
		if i != w.primary {
			ago += w.between
			if w.lag != nil {
				ago += w.lag(w.since())
			}
		}
		q := e.queues[i]
		all[i] = route.Candidate{
			Server: route.ServerID(rune('a' + i)), Primary: i == w.primary, Unreachable: w.instances[i].down,
			NetworkDelay: w.distance(e, i), Position: position.Position{Term: w.term, Offset: w.offset(ago)}, History: w.history,
			Slots: w.slots, Running: q.Running(), Queued: q.Waiting(),
		}
		e.router.ObservePosition(w.now, all[i].Server, all[i].Position)
	}
	return all
}

func (w *world) anyReplica(e *entryVM, r *request) bool {
	for _, c := range w.candidates(e) {
		if !c.Primary && !c.Unreachable && c.History.Covers(c.Position, *r.session) {
			return true
		}
	}
	return false
}

func (w *world) place(e *entryVM, r *request) {
	q := route.Request{
		Read: r.read, Floor: *r.session, MaxAge: route.NoMaxAge, Arrived: r.arrived, Deadline: r.deadline, Waited: r.waited,
	}
	choice := e.router.Choose(w.now, q, w.candidates(e))
	switch choice.Result {
	case route.Chosen:
		w.enqueue(e, r, choice.Index)
	case route.Wait:
		r.waited += choice.Wait
		w.at(choice.Wait, func() { w.place(e, r) })
	default:
		w.failed(e, r, outcome.NoPrimary, false)
	}
}

func (w *world) enqueue(e *entryVM, r *request, server int) {
	t := admission.Ticket{
		Account: admission.AccountID(rune('a' + r.account)), Weight: shares[r.account], Read: r.read, Deadline: r.deadline, Tag: r,
	}
	place, result := e.queues[server].Push(w.now, t)
	if result != admission.Waiting {
		w.refuse(r)
		return
	}
	w.at(r.deadline.Sub(w.now), func() {
		if e.queues[server].Cancel(place) {
			w.refuse(r)
		}
	})
	w.pump(e, server)
}

func (w *world) pump(e *entryVM, server int) {
	for {
		t, result := e.queues[server].Pop(w.now)
		switch result {
		case admission.None:
			return
		case admission.Late:
			w.refuse(t.Tag.(*request))
		default:
			w.send(e, t, server)
		}
	}
}

func (w *world) send(e *entryVM, t admission.Ticket, server int) {
	r, sent := t.Tag.(*request), w.now
	r.tries++
	if r.counted {
		w.tries++
	}
	answer := func(state outcome.SQLState) {
		w.at(w.way(e, server), func() {
			e.queues[server].Done(w.now, t, w.now.Sub(sent), state != "")
			e.router.Observe(w.now, route.ServerID(rune('a'+server)), w.distance(e, server), w.now.Sub(sent), state != "")
			if state == "" {
				w.finish(r, server)
			} else {
				w.failed(e, r, state, true)
			}
			w.pump(e, server)
		})
	}
	w.at(w.way(e, server), func() { w.instances[server].receive(w, server, r, answer) })
}

func (w *world) way(e *entryVM, server int) time.Duration {
	return w.distance(e, server) + time.Duration(w.random.ExpFloat64()*float64(jitter))
}

// receive runs a statement, or rejects it when the instance is dead or has no connection left.
func (i *instance) receive(w *world, server int, r *request, answer func(outcome.SQLState)) {
	if i.down {
		answer(outcome.NotRun)
		return
	}
	work, state := w.work(server), outcome.SQLState("")
	if i.held++; i.held > w.connections {
		w.rejected++
		work, state = rejectedWork, outcome.NotRun
	}
	i.waiting = append(i.waiting, func() {
		i.busy++
		w.at(work, func() {
			i.busy--
			i.held--
			if w.since() > settled && w.since() <= w.length {
				i.served += work
			}
			if state == "" && !r.read && !i.down {
				w.commits = append(w.commits, w.now)
				*r.session = position.Position{Term: w.term, Offset: position.Offset(len(w.commits))}
			}
			answer(state)
			i.next(w)
		})
	})
	i.next(w)
}

func (i *instance) next(w *world) {
	for i.busy < w.slots && len(i.waiting) > 0 {
		run := i.waiting[0]
		i.waiting = i.waiting[1:]
		run()
	}
}

// work draws a log-normal service time.
func (w *world) work(server int) time.Duration {
	const sigma = 0.6
	x := math.Exp(w.random.NormFloat64()*sigma-sigma*sigma/2) * float64(w.service)
	if server == instances-1 && w.slow > 0 {
		x *= w.slow
	}
	return time.Duration(x)
}

func (w *world) failed(e *entryVM, r *request, state outcome.SQLState, sent bool) {
	pause, ok := e.budget.Next(w.now, retry.Attempt{State: state, Read: r.read, Sent: sent, Tries: max(r.tries, 1), Deadline: r.deadline})
	if !ok {
		w.refuse(r)
		return
	}
	r.tries++
	if r.counted {
		w.tries++
	}
	// A try costs an entry VM at least this much, so that immediate retries end.
	w.at(max(pause, time.Millisecond), func() { w.place(e, r) })
}

func (w *world) refuse(r *request) {
	if r.counted && !r.finished {
		w.tallies[r.account].refused++
	}
	r.finished = true
}

func (w *world) finish(r *request, server int) {
	if r.finished {
		return
	}
	r.finished = true
	if !r.counted {
		return
	}
	t := &w.tallies[r.account]
	latency := w.now.Sub(r.arrived)
	if w.promoted > 0 && latency > 200*time.Millisecond {
		w.recovered = w.since() - w.promoted
	}
	if r.read {
		t.reads = append(t.reads, latency)
	} else {
		t.writes = append(t.writes, latency)
	}
	if !w.now.After(r.deadline) {
		t.good++
	}
	if r.lawful && server != w.primary {
		w.onReplica++
	}
}

func (t *tally) all() []time.Duration {
	return slices.Concat(t.reads, t.writes)
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[int(q*float64(len(sorted)-1))]
}
