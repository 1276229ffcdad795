// Package simulation_test measures the routing, admission and retry policies together in a seeded
// discrete-event simulation of one database group: entry VMs, three instances with slots, and the
// network between them.
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
	entryVMs      = 11
	instances     = 3
	sessions      = 40               // per client account
	warmUp        = 20 * time.Second // requests before this are not counted
	timeout       = time.Second
	rejectionTime = time.Millisecond // slot time spent on rejecting a statement above the connection limit
	jitter        = 300 * time.Microsecond
)

// Shares of the offered load of eight client accounts, a few of them large.
var accountShares = []float64{0.25, 0.2, 0.2, 0.1, 0.1, 0.05, 0.05, 0.05}

// deployment holds the sizes of one installation. Service time and share of reads are assumptions.
type deployment struct {
	name        string
	slots       int
	connections int
	zoneDelay   time.Duration // one way between zones
	serviceTime time.Duration // mean, log-normal
	readShare   float64
}

var deployments = []deployment{
	{"cascadia", 3, 24, 5 * time.Millisecond, 5 * time.Millisecond, 0.85},
	{"vinokrug", 2, 36, 4 * time.Millisecond, 8 * time.Millisecond, 0.6},
}

// scenario describes one run.
type scenario struct {
	deployment
	seed             uint64
	duration         time.Duration
	load             float64 // offered load of the busiest instance, relative to its slots, when replicas serve all reads
	heavyFactor      float64 // factor on the rate of the first account after warmUp
	rateLimited      bool    // an ideal fleet-wide token bucket limits accounts to 1.25 times the offered rate, 0.5 s of burst
	route            route.Policy
	admission        admission.Policy
	fixedLimit       bool // see admission.Settings.Fixed
	primaryReadShare float64
	retry            retry.Policy
	timeout          time.Duration                           // of requests; the constant timeout if zero
	lag              func(since time.Duration) time.Duration // of both replicas
	slowFactor       float64                                 // factor on the service times of the last replica
	primaryFailsAt   time.Duration                           // when the primary fails; zero means never
	promotedAt       time.Duration                           // when a replica is promoted in its place
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence
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
	account         int
	session         *position.Position // floor of the session, advanced by its writes
	read            bool
	replicaEligible bool // a replica was able to serve it on arrival
	counted         bool
	arrived         time.Time
	deadline        time.Time
	attempts        int
	waited          time.Duration // total time for which the router delayed it
	finished        bool
}

// instance is a backend server. It runs statements on its slots in order of arrival.
type instance struct {
	down        bool
	busy        int // slots in use
	connections int // in use
	waiting     []func()
	busyTime    time.Duration // slot time spent on statements after warmUp
}

type entryVM struct {
	zone   int
	router *route.Router
	budget *retry.Budget
	queues [instances]*admission.Queue
}

// accountStats counts the results of one client account.
type accountStats struct {
	sent, inTime, refused         int
	readLatencies, writeLatencies []time.Duration
}

// bucket is an ideal token bucket of one client account, shared by all entry VMs.
type bucket struct {
	rate, tokens float64
	refilled     time.Time
}

func (b *bucket) take(now time.Time) bool {
	b.tokens = min(b.tokens+b.rate*now.Sub(b.refilled).Seconds(), b.rate/2)
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

type simulation struct {
	scenario
	now                  time.Time
	start                time.Time
	random               *rand.Rand
	arrivalRandom        *rand.Rand // for the arrivals only, so that all policies receive the same load
	events               events
	sequence             int
	instances            [instances]instance
	entryVMs             [entryVMs]entryVM
	primary              int
	term                 position.Term
	commits              []time.Time // time of each log record
	history              position.History
	stats                []accountStats
	floors               [][]position.Position // by account and session
	buckets              []bucket
	attempts             int // tries that entry VMs made for counted requests
	connectionRejections int // statements rejected above the connection limit
	replicaEligible      int
	servedByReplica      int
	lastSlowAnswer       time.Duration // time from the promotion to the last answer that took more than 200 ms
}

func simulate(sc scenario) *simulation {
	if sc.timeout == 0 {
		sc.timeout = timeout
	}
	sim := &simulation{scenario: sc, start: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(sc.seed, 1)), arrivalRandom: rand.New(rand.NewPCG(sc.seed, 2)), term: 1}
	sim.now, sim.history, sim.stats = sim.start, position.History{{Term: 1}}, make([]accountStats, len(accountShares))
	for i := range sim.entryVMs {
		e := &sim.entryVMs[i]
		e.zone, e.router, e.budget = i%instances, route.New(sc.seed+uint64(i), sc.route), retry.New(sc.seed+uint64(i), sc.retry)
		for k := range e.queues {
			e.queues[k] = admission.NewWith(admission.Settings{Policy: sc.admission, Slots: sc.slots, Fixed: sc.fixedLimit, ReadShare: sc.primaryReadShare})
		}
	}
	capacity := float64(sc.slots) / sc.serviceTime.Seconds()
	rate := sc.load * capacity / max(1-sc.readShare, sc.readShare/2)
	for account, share := range accountShares {
		sim.floors = append(sim.floors, make([]position.Position, sessions))
		sim.buckets = append(sim.buckets, bucket{rate: 1.25 * rate * share, refilled: sim.start})
		sim.scheduleArrivals(account, rate*share)
	}
	if sc.heavyFactor > 1 {
		sim.schedule(warmUp, func() { sim.scheduleArrivals(0, rate*accountShares[0]*(sc.heavyFactor-1)) })
	}
	if sc.primaryFailsAt > 0 {
		sim.schedule(sc.primaryFailsAt, func() { sim.instances[sim.primary].down = true })
		sim.schedule(sc.promotedAt, sim.promote)
	}
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	return sim
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.events, event{sim.now.Add(d), sim.sequence, run})
}

func (sim *simulation) elapsed() time.Duration { return sim.now.Sub(sim.start) }

// scheduleArrivals sends a Poisson stream of requests of an account to random entry VMs.
func (sim *simulation) scheduleArrivals(account int, rate float64) {
	pause := time.Duration(sim.arrivalRandom.ExpFloat64() / rate * float64(time.Second))
	sim.schedule(pause, func() {
		if sim.elapsed() > sim.duration {
			return
		}
		sim.scheduleArrivals(account, rate)
		r := &request{
			account: account, session: &sim.floors[account][sim.arrivalRandom.IntN(sessions)], read: sim.arrivalRandom.Float64() < sim.readShare,
			arrived: sim.now, deadline: sim.now.Add(sim.timeout), counted: sim.elapsed() > warmUp,
		}
		if r.counted {
			sim.stats[account].sent++
		}
		if sim.rateLimited && !sim.buckets[account].take(sim.now) {
			sim.refuse(r)
			return
		}
		e := &sim.entryVMs[sim.arrivalRandom.IntN(entryVMs)]
		e.budget.Request()
		r.replicaEligible = r.read && sim.anyReplica(e, r)
		if r.replicaEligible && r.counted {
			sim.replicaEligible++
		}
		sim.dispatch(e, r)
	})
}

// promote makes the first replica the primary of the next term. It has all log records.
func (sim *simulation) promote() {
	sim.primary, sim.term = 1, 2
	sim.history = append(sim.history, position.Position{Term: 2, Offset: sim.offset(0)})
}

// offset returns the log position that was reached the given time ago.
func (sim *simulation) offset(ago time.Duration) position.Offset {
	n, _ := slices.BinarySearchFunc(sim.commits, sim.now.Add(-ago), func(a, b time.Time) int { return a.Compare(b) })
	return position.Offset(n)
}

func (sim *simulation) baseDelay(e *entryVM, server int) time.Duration {
	if e.zone == server {
		return time.Millisecond / 2
	}
	return sim.zoneDelay
}

// candidates returns the view of an entry VM: positions are as old as the one-way network delay, the
// failure of an instance is visible at once.
func (sim *simulation) candidates(e *entryVM) []route.Candidate {
	all := make([]route.Candidate, instances)
	for i := range all {
		ago := sim.baseDelay(e, i)
		if i != sim.primary {
			ago += sim.zoneDelay
			if sim.lag != nil {
				ago += sim.lag(sim.elapsed())
			}
		}
		q := e.queues[i]
		all[i] = route.Candidate{
			Server: route.ServerID(rune('a' + i)), Primary: i == sim.primary, Unreachable: sim.instances[i].down,
			NetworkDelay: sim.baseDelay(e, i), Position: position.Position{Term: sim.term, Offset: sim.offset(ago)}, History: sim.history,
			Slots: sim.slots, Running: q.Running(), Queued: q.Waiting(),
		}
		e.router.ObservePosition(sim.now, all[i].Server, all[i].Position)
	}
	return all
}

func (sim *simulation) anyReplica(e *entryVM, r *request) bool {
	for _, c := range sim.candidates(e) {
		if !c.Primary && !c.Unreachable && c.History.Covers(c.Position, *r.session) {
			return true
		}
	}
	return false
}

func (sim *simulation) dispatch(e *entryVM, r *request) {
	q := route.Request{
		Read: r.read, Floor: *r.session, MaxAge: route.NoMaxAge, Arrived: r.arrived, Deadline: r.deadline, Waited: r.waited,
	}
	choice := e.router.Choose(sim.now, q, sim.candidates(e))
	switch choice.Result {
	case route.Chosen:
		sim.enqueue(e, r, choice.Index)
	case route.Wait:
		r.waited += choice.Wait
		sim.schedule(choice.Wait, func() { sim.dispatch(e, r) })
	default:
		sim.retryOrRefuse(e, r, outcome.NoPrimary, false)
	}
}

func (sim *simulation) enqueue(e *entryVM, r *request, server int) {
	t := admission.Ticket{
		Account: admission.AccountID(rune('a' + r.account)), Weight: accountShares[r.account], Read: r.read, Deadline: r.deadline, Tag: r,
	}
	place, result := e.queues[server].Push(sim.now, t)
	if result != admission.Waiting {
		sim.refuse(r)
		return
	}
	sim.schedule(r.deadline.Sub(sim.now), func() {
		if e.queues[server].Cancel(place) {
			sim.refuse(r)
		}
	})
	sim.dispatchQueued(e, server)
}

func (sim *simulation) dispatchQueued(e *entryVM, server int) {
	for {
		t, result := e.queues[server].Pop(sim.now)
		switch result {
		case admission.None:
			return
		case admission.Late:
			sim.refuse(t.Tag.(*request))
		default:
			sim.send(e, t, server)
		}
	}
}

func (sim *simulation) send(e *entryVM, t admission.Ticket, server int) {
	r, sent := t.Tag.(*request), sim.now
	r.attempts++
	if r.counted {
		sim.attempts++
	}
	answer := func(state outcome.SQLState) {
		sim.schedule(sim.networkDelay(e, server), func() {
			e.queues[server].Done(sim.now, t, sim.now.Sub(sent), state != "")
			e.router.Observe(sim.now, route.ServerID(rune('a'+server)), sim.baseDelay(e, server), sim.now.Sub(sent), state != "")
			if state == "" {
				sim.finish(r, server)
			} else {
				sim.retryOrRefuse(e, r, state, true)
			}
			sim.dispatchQueued(e, server)
		})
	}
	sim.schedule(sim.networkDelay(e, server), func() { sim.instances[server].receive(sim, server, r, answer) })
}

func (sim *simulation) networkDelay(e *entryVM, server int) time.Duration {
	return sim.baseDelay(e, server) + time.Duration(sim.random.ExpFloat64()*float64(jitter))
}

// receive runs a statement, or rejects it if the instance is down or has no connection left.
func (i *instance) receive(sim *simulation, server int, r *request, answer func(outcome.SQLState)) {
	if i.down {
		answer(outcome.NotRun)
		return
	}
	slotTime, state := sim.drawServiceTime(server), outcome.SQLState("")
	if i.connections++; i.connections > sim.connections {
		sim.connectionRejections++
		slotTime, state = rejectionTime, outcome.NotRun
	}
	i.waiting = append(i.waiting, func() {
		i.busy++
		sim.schedule(slotTime, func() {
			i.busy--
			i.connections--
			if sim.elapsed() > warmUp && sim.elapsed() <= sim.duration {
				i.busyTime += slotTime
			}
			if state == "" && !r.read && !i.down {
				sim.commits = append(sim.commits, sim.now)
				*r.session = position.Position{Term: sim.term, Offset: position.Offset(len(sim.commits))}
			}
			answer(state)
			i.next(sim)
		})
	})
	i.next(sim)
}

func (i *instance) next(sim *simulation) {
	for i.busy < sim.slots && len(i.waiting) > 0 {
		run := i.waiting[0]
		i.waiting = i.waiting[1:]
		run()
	}
}

// drawServiceTime returns a random service time from a log-normal distribution.
func (sim *simulation) drawServiceTime(server int) time.Duration {
	const sigma = 0.6
	x := math.Exp(sim.random.NormFloat64()*sigma-sigma*sigma/2) * float64(sim.serviceTime)
	if server == instances-1 && sim.slowFactor > 0 {
		x *= sim.slowFactor
	}
	return time.Duration(x)
}

func (sim *simulation) retryOrRefuse(e *entryVM, r *request, state outcome.SQLState, sent bool) {
	pause, ok := e.budget.Next(sim.now, retry.Attempt{State: state, Read: r.read, Sent: sent, Tries: max(r.attempts, 1), Deadline: r.deadline})
	if !ok {
		sim.refuse(r)
		return
	}
	r.attempts++
	if r.counted {
		sim.attempts++
	}
	// A try takes an entry VM at least 1 ms, so that immediate retries end at the deadline.
	sim.schedule(max(pause, time.Millisecond), func() { sim.dispatch(e, r) })
}

func (sim *simulation) refuse(r *request) {
	if r.counted && !r.finished {
		sim.stats[r.account].refused++
	}
	r.finished = true
}

func (sim *simulation) finish(r *request, server int) {
	if r.finished {
		return
	}
	r.finished = true
	if !r.counted {
		return
	}
	t := &sim.stats[r.account]
	latency := sim.now.Sub(r.arrived)
	if sim.promotedAt > 0 && latency > 200*time.Millisecond {
		sim.lastSlowAnswer = sim.elapsed() - sim.promotedAt
	}
	if r.read {
		t.readLatencies = append(t.readLatencies, latency)
	} else {
		t.writeLatencies = append(t.writeLatencies, latency)
	}
	if !sim.now.After(r.deadline) {
		t.inTime++
	}
	if r.replicaEligible && server != sim.primary {
		sim.servedByReplica++
	}
}

func (a *accountStats) latencies() []time.Duration {
	return slices.Concat(a.readLatencies, a.writeLatencies)
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[int(q*float64(len(sorted)-1))]
}
