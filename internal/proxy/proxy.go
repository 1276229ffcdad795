// Package relay is an entry VM that speaks in typed operations: sessions, transactions, routing,
// limits and retries, without a protocol. An adapter decodes the statements of callers, hands them
// to a Session and encodes the answers.
//
// One goroutine owns the control state: the configuration, the views of the groups and the leases.
// It publishes what the goroutines of the sessions read.
package proxy

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/eventloop"
	"fireflyrudder.example/fireflyrudder/internal/forward"
	"fireflyrudder.example/fireflyrudder/internal/placement"
	"fireflyrudder.example/fireflyrudder/internal/renewal"
	"fireflyrudder.example/fireflyrudder/internal/settings"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

const (
	// tick is the precision of connection limits, refreshes and idle transactions.
	tick = 50 * time.Millisecond
	// eventQueue lets other goroutines go on while the owner is busy.
	eventQueue = 256
	// timeoutDefault bounds a statement of a route that states no timeout.
	timeoutDefault = 10 * time.Second
	// idleDefault is the time after which an idle transaction ends if the configuration states none.
	idleDefault = 30 * time.Second
	// zoneWay is the way there and back between zones before an instance was measured.
	zoneWay = 11 * time.Millisecond
	// startLatency is expected of an instance before its first answer.
	startLatency = 20 * time.Millisecond
	// summaryEvery is the time between two lines with the latencies so far.
	summaryEvery = 10 * time.Second
	// keptParts is the part of an instance's connections, as a divisor, that the entry VM opens which keeps
	// them. The other half is for its successor: an instance counts the connections of a VM that lost
	// power for seconds.
	keptParts = 2
	// strayConnections are for an entry VM that does not reach the one that keeps the connections.
	strayConnections = 2
	// keptIdle and strayIdle are the times after which an unused connection is closed.
	keptIdle  = 20 * time.Second
	strayIdle = 500 * time.Millisecond
	// holdWait is the pause before a write asks again during a planned switchover.
	holdWait = 100 * time.Millisecond
)

// Options are what a Relay is made of. They do not change.
type Options struct {
	Node             settings.Node
	Process          string          // place that only one process at a time can have; empty if not known
	Forward          string          // IP:port at which other entry VMs reach this one's lanes; empty for none
	Controls         func() []string // gRPC listeners of control VMs as configured; may change
	Dial             func(address string) (wire.ControlClient, io.Closer, error)
	Server           connpool.Dialer
	Now              func() time.Time
	MinRenewInterval time.Duration // least time between two Renews
	// LeaseGrace is how long the configuration serves on after its lease ended. With 0 a VM that is cut
	// off from the control group refuses at once.
	LeaseGrace time.Duration
	Drain      Drain
}

// Drain are the times of a planned stop, counted from its start.
type Drain struct {
	Idle   time.Duration // sessions without a transaction close
	Open   time.Duration // open transactions roll back
	Finish time.Duration // everything else is cut
	// Leave is the longest wait for the control group after that. The stop takes Finish and Leave at most.
	Leave time.Duration
}

// Proxy is one entry VM.
type Proxy struct {
	options  Options
	identity string
	inbox    *eventloop.Inbox
	ctx      context.Context
	stop     context.CancelFunc
	ended    chan struct{}
	control  *renewal.Client
	credits  *renewal.Credits
	metrics  *metrics
	forward  *forward.Client
	table    atomic.Pointer[table]
	entries  atomic.Pointer[[]placement.EntryVM]
	lanes    atomic.Pointer[map[string]*connpool.Pool] // by instance
	viewed   chan struct{}                             // closed when the first views were published
	offers   renewal.ConfigLeases                      // changed by the owner goroutine only
	draining atomic.Bool
	closing  atomic.Bool // new sessions are refused

	mu       sync.Mutex
	sessions map[*Session]struct{}

	// owner goroutine only
	book   *controlstate.State
	groups map[string]*group
}

// New returns a Relay that does not run.
func New(o Options) *Proxy {
	r := &Proxy{
		options: o, identity: renewal.NewIdentity(),
		ended: make(chan struct{}), viewed: make(chan struct{}), metrics: newMetrics(),
		sessions: map[*Session]struct{}{}, book: controlstate.New(), groups: map[string]*group{},
	}
	r.forward = forward.NewClient(o.Now)
	r.entries.Store(&[]placement.EntryVM{})
	r.lanes.Store(&map[string]*connpool.Pool{})
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.inbox = eventloop.New(eventQueue, r.ctx.Done(), errStopped)
	r.table.Store(newTable(r.book.Configuration(), nil))
	r.control = renewal.New(host{r}, renewal.Options{
		Registration: &wire.Registration{Entry: r.identity, Name: o.Node.Name, Zone: o.Node.Zone, Process: o.Process, Forward: o.Forward},
		Controls:     o.Controls, Dial: o.Dial, Now: o.Now, MinInterval: o.MinRenewInterval,
	})
	r.credits = r.control.Credits()
	return r
}

// Run serves until ctx ends, then drains.
func (r *Proxy) Run(ctx context.Context) error {
	defer r.stop()
	go r.own()
	go r.control.Run(r.ctx)
	log.WithFields(log.Fields{"event": "start", "identity": r.identity, "vm": r.options.Node.Name, "zone": r.options.Node.Zone}).Info("entry VM starts")
	<-ctx.Done()
	r.drain()
	r.control.Leave(r.options.Drain.Leave)
	r.stop()
	<-r.ended
	log.WithFields(log.Fields{"event": "stop", "identity": r.identity}).Info("entry VM stopped")
	return nil
}

// drain closes sessions as they become idle.
func (r *Proxy) drain() {
	r.draining.Store(true)
	started := r.options.Now()
	log.WithFields(log.Fields{"event": "stop", "sessions": r.count()}).Info("entry VM drains")
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for range ticker.C {
		past := r.options.Now().Sub(started)
		if past < r.options.Drain.Idle {
			continue
		}
		r.closing.Store(true)
		for _, s := range r.list() {
			s.retire(past >= r.options.Drain.Open, past >= r.options.Drain.Finish)
		}
		if r.count() == 0 || past >= r.options.Drain.Finish {
			return
		}
	}
}

// own runs the owner goroutine.
func (r *Proxy) own() {
	defer close(r.ended)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	summary := time.NewTicker(summaryEvery)
	defer summary.Stop()
	for {
		select {
		case <-summary.C:
			r.summarize()
		case <-r.ctx.Done():
			for _, g := range r.groups {
				g.close()
			}
			r.forward.Close()
			return
		case f := <-r.inbox.C():
			f(r.options.Now())
		case <-ticker.C:
			r.tend(r.options.Now())
		}
	}
}

// errStopped tells that the owner goroutine has ended.
var errStopped = errors.WithHint(errors.New("relay: the process stops"), "ask another entry VM")

// post hands an event to the owner goroutine. It does nothing once the VM has stopped.
func (r *Proxy) post(f func(now time.Time)) {
	_ = r.inbox.Post(r.ctx, f)
}

// share sets how many connections to each instance this VM may open.
func (r *Proxy) share(now time.Time) {
	entries := r.entries.Load()
	for _, g := range r.groups {
		w, _ := r.book.Group(g.name)
		g.share(now, r.options.Process, entries, int(w.GetConnections())/keptParts)
	}
}

// tend does what is due.
func (r *Proxy) tend(now time.Time) {
	r.settleAlone(now)
	r.share(now)
	for _, g := range r.groups {
		g.tend(now)
		if s := g.sight(now); s != nil && !s.Reachable {
			r.control.RenewNow() // the control group decides by what entry VMs miss
		}
	}
	idle := r.table.Load().idle
	for _, s := range r.list() {
		s.expire(now, idle)
	}
}

// update takes a message of the control group.
func (r *Proxy) update(now time.Time, u *wire.Update) {
	before := r.book.Version()
	r.book.ApplyUpdate(u)
	c := r.book.Configuration()
	configured := map[string]bool{}
	for _, w := range c.GetGroups() {
		configured[w.GetName()] = true
		if r.groups[w.GetName()] == nil {
			r.groups[w.GetName()] = newGroup(w.GetName(), r)
		}
	}
	for name, g := range r.groups {
		if !configured[name] {
			g.close()
			delete(r.groups, name)
		}
	}
	if r.book.Version() != before || u.GetFull() != nil {
		former := r.table.Load()
		r.table.Store(newTable(c, r.groups))
		r.tellLimits(former)
		r.metrics.versions.Add(1)
		log.WithFields(log.Fields{"event": "configuration", "version": r.book.Version(), "before": before, "routes": len(c.GetRoutes())}).Info("configuration applied")
	}
	r.followViews(now, c)
	if u.GetEntered() > 0 {
		r.followEntries()
	}
	r.share(now)
	r.offers.SetApplied(r.book.Version())
}

// tellLimits logs the client accounts whose limits changed.
func (r *Proxy) tellLimits(former *table) {
	t := r.table.Load()
	for name, a := range t.accounts {
		before := former.accounts[name]
		if before == nil || before.rate == a.rate && before.burst == a.burst {
			continue
		}
		log.WithFields(log.Fields{
			"event": "limit", "account": name, "rate": a.rate, "burst": a.burst, "before": before.rate, "version": t.version,
		}).Info("limit of a client account changed")
	}
}

// followEntries takes over the entry VMs that may keep connections.
func (r *Proxy) followEntries() {
	var entries []placement.EntryVM
	for _, e := range r.book.Registrations() {
		if e.GetLapsed() {
			continue
		}
		entries = append(entries, placement.EntryVM{ID: e.GetProcess(), Address: e.GetForward(), Zone: e.GetZone()})
	}
	r.entries.Store(&entries)
	log.WithFields(log.Fields{"event": "entries", "count": len(entries), "index": r.book.RegistrationIndex()}).Info("entry VMs changed")
}

// followViews brings the groups up to their views.
func (r *Proxy) followViews(now time.Time, c *wire.Configuration) {
	retired := map[string]bool{}
	for _, name := range c.GetRetired() {
		retired[name] = true
	}
	for _, v := range r.book.Views() {
		g := r.groups[v.GetGroup()]
		if g == nil || g.revision == v.GetRevision() {
			continue
		}
		g.revision = v.GetRevision()
		g.follow(now, v, retired, func(m *wire.Member) *connpool.Pool { return r.open(g, m) })
		log.WithFields(log.Fields{
			"event": "view", "group": g.name, "term": v.GetTerm(), "phase": v.GetPhase().String(), "primary": v.GetPrimary(),
			"members": len(v.GetMembers()), "revision": v.GetRevision(),
		}).Info("view changed")
		r.control.RenewNow()
	}
	r.publishLanes()
}

// publishLanes shows the lanes to other entry VMs.
func (r *Proxy) publishLanes() {
	lanes := map[string]*connpool.Pool{}
	for _, g := range r.groups {
		for _, l := range g.lanes() {
			lanes[l.Server()] = l
		}
	}
	r.lanes.Store(&lanes)
	select {
	case <-r.viewed:
	default:
		if len(lanes) > 0 {
			close(r.viewed)
		}
	}
}

// open returns the lane of an instance.
func (r *Proxy) open(g *group, m *wire.Member) *connpool.Pool {
	return connpool.New(connpool.Options{
		Group: g.name, Server: m.GetServer(), Address: m.GetAddress(), Dial: r.options.Server, Now: r.options.Now,
		Slots: int(m.GetSlots()), Connections: strayConnections,
	})
}

// distance returns the way to an instance and back.
func (r *Proxy) distance(zone string) time.Duration {
	if zone == r.options.Node.Zone {
		return 0
	}
	return zoneWay
}

// offered takes a configuration lease.
func (r *Proxy) offered(now time.Time, o renewal.ConfigLease) {
	if r.offers.Add(now, o, r.book.Version()) {
		r.control.ReopenStreams()
	}
}

// leased reports whether the configuration may be used.
func (r *Proxy) leased(now time.Time) bool {
	until := r.offers.Until()
	return !until.IsZero() && now.Before(until.Add(r.options.LeaseGrace))
}

// Ready reports why the VM does not serve, or nil.
func (r *Proxy) Ready(context.Context) error {
	switch {
	case r.draining.Load():
		return errors.New("relay: the entry VM shuts down; connect to another one")
	case !r.leased(r.options.Now()):
		return errors.New("relay: no configuration lease; no control VM answers")
	}
	return nil
}

// list returns the open sessions.
func (r *Proxy) list() []*Session {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*Session, 0, len(r.sessions))
	for s := range r.sessions {
		out = append(out, s)
	}
	return out
}

func (r *Proxy) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.sessions)
}
