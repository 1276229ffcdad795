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
	// tickInterval is the precision of connection limits, refreshes and idle transactions.
	tickInterval = 50 * time.Millisecond
	// eventQueueSize lets other goroutines go on while the owner is busy.
	eventQueueSize = 256
	// defaultTimeout bounds a statement of a route that states no timeout.
	defaultTimeout = 10 * time.Second
	// defaultIdleTimeout is the time after which an idle transaction ends if the configuration states none.
	defaultIdleTimeout = 30 * time.Second
	// initialZoneRTT is the way there and back between zones before an instance was measured.
	initialZoneRTT = 11 * time.Millisecond
	// initialLatency is expected of an instance before its first answer.
	initialLatency = 20 * time.Millisecond
	// summaryInterval is the time between two lines with the latencies so far.
	summaryInterval = 10 * time.Second
	// connectionShareDivisor is the part of an instance's connections, as a divisor, that the entry VM opens which keeps
	// them. The other half is for its successor: an instance counts the connections of a VM that lost
	// power for seconds.
	connectionShareDivisor = 2
	// fallbackConnections are for an entry VM that does not reach the one that keeps the connections.
	fallbackConnections = 2
	// ownerIdleTimeout and strayIdle are the times after which an unused connection is closed.
	ownerIdleTimeout    = 20 * time.Second
	fallbackIdleTimeout = 500 * time.Millisecond
	// switchoverRetry is the pause before a write asks again during a planned switchover.
	switchoverRetry = 100 * time.Millisecond
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
	options    Options
	identity   string
	inbox      *eventloop.Inbox
	ctx        context.Context
	stop       context.CancelFunc
	ownerDone  chan struct{}
	control    *renewal.Client
	credits    *renewal.Credits
	metrics    *metrics
	forward    *forward.Client
	config     atomic.Pointer[configSnapshot]
	entries    atomic.Pointer[[]placement.EntryVM]
	pools      atomic.Pointer[map[string]*connpool.Pool] // by instance
	viewsReady chan struct{}                             // closed when the first views were published
	leases     renewal.ConfigLeases                      // changed by the owner goroutine only
	draining   atomic.Bool
	closing    atomic.Bool // new sessions are refused

	mu       sync.Mutex
	sessions map[*Session]struct{}

	// owner goroutine only
	state  *controlstate.State
	groups map[string]*group
}

// New returns a Relay that does not run.
func New(o Options) *Proxy {
	p := &Proxy{
		options: o, identity: renewal.NewIdentity(),
		ownerDone: make(chan struct{}), viewsReady: make(chan struct{}), metrics: newMetrics(),
		sessions: map[*Session]struct{}{}, state: controlstate.New(), groups: map[string]*group{},
	}
	p.forward = forward.NewClient(o.Now)
	p.entries.Store(&[]placement.EntryVM{})
	p.pools.Store(&map[string]*connpool.Pool{})
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.inbox = eventloop.New(eventQueueSize, p.ctx.Done(), errStopped)
	p.config.Store(newConfigSnapshot(p.state.Configuration(), nil))
	p.control = renewal.New(host{p}, renewal.Options{
		Registration: &wire.Registration{Entry: p.identity, Name: o.Node.Name, Zone: o.Node.Zone, Process: o.Process, Forward: o.Forward},
		Controls:     o.Controls, Dial: o.Dial, Now: o.Now, MinInterval: o.MinRenewInterval,
	})
	p.credits = p.control.Credits()
	return p
}

// Run serves until ctx ends, then drains.
func (p *Proxy) Run(ctx context.Context) error {
	defer p.stop()
	go p.runOwner()
	go p.control.Run(p.ctx)
	log.WithFields(log.Fields{"event": "start", "identity": p.identity, "vm": p.options.Node.Name, "zone": p.options.Node.Zone}).Info("entry VM starts")
	<-ctx.Done()
	p.drain()
	p.control.Leave(p.options.Drain.Leave)
	p.stop()
	<-p.ownerDone
	log.WithFields(log.Fields{"event": "stop", "identity": p.identity}).Info("entry VM stopped")
	return nil
}

// drain closes sessions as they become idle.
func (p *Proxy) drain() {
	p.draining.Store(true)
	started := p.options.Now()
	log.WithFields(log.Fields{"event": "stop", "sessions": p.sessionCount()}).Info("entry VM drains")
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for range ticker.C {
		elapsed := p.options.Now().Sub(started)
		if elapsed < p.options.Drain.Idle {
			continue
		}
		p.closing.Store(true)
		for _, s := range p.openSessions() {
			s.shutDown(elapsed >= p.options.Drain.Open, elapsed >= p.options.Drain.Finish)
		}
		if p.sessionCount() == 0 || elapsed >= p.options.Drain.Finish {
			return
		}
	}
}

// runOwner runs the owner goroutine.
func (p *Proxy) runOwner() {
	defer close(p.ownerDone)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	summary := time.NewTicker(summaryInterval)
	defer summary.Stop()
	for {
		select {
		case <-summary.C:
			p.summarize()
		case <-p.ctx.Done():
			for _, g := range p.groups {
				g.close()
			}
			p.forward.Close()
			return
		case f := <-p.inbox.C():
			f(p.options.Now())
		case <-ticker.C:
			p.runPeriodic(p.options.Now())
		}
	}
}

// errStopped tells that the owner goroutine has ended.
var errStopped = errors.WithHint(errors.New("relay: the process stops"), "ask another entry VM")

// post hands an event to the owner goroutine. It does nothing once the VM has stopped.
func (p *Proxy) post(f func(now time.Time)) {
	_ = p.inbox.Post(p.ctx, f)
}

// updateConnectionLimits sets how many connections to each instance this VM may open.
func (p *Proxy) updateConnectionLimits(now time.Time) {
	entries := p.entries.Load()
	for _, g := range p.groups {
		w, _ := p.state.Group(g.name)
		g.setConnectionLimits(now, p.options.Process, entries, int(w.GetConnections())/connectionShareDivisor)
	}
}

// runPeriodic does what is due.
func (p *Proxy) runPeriodic(now time.Time) {
	p.serveDisconnected(now)
	p.updateConnectionLimits(now)
	for _, g := range p.groups {
		g.refreshProof(now)
		if s := g.sight(now); s != nil && !s.Reachable {
			p.control.RenewNow() // the control group decides by what entry VMs miss
		}
	}
	idle := p.config.Load().idle
	for _, s := range p.openSessions() {
		s.expireIdle(now, idle)
	}
}

// applyUpdate takes a message of the control group.
func (p *Proxy) applyUpdate(now time.Time, u *wire.Update) {
	before := p.state.Version()
	p.state.ApplyUpdate(u)
	c := p.state.Configuration()
	configured := map[string]bool{}
	for _, w := range c.GetGroups() {
		configured[w.GetName()] = true
		if p.groups[w.GetName()] == nil {
			p.groups[w.GetName()] = newGroup(w.GetName(), p)
		}
	}
	for name, g := range p.groups {
		if !configured[name] {
			g.close()
			delete(p.groups, name)
		}
	}
	if p.state.Version() != before || u.GetFull() != nil {
		former := p.config.Load()
		p.config.Store(newConfigSnapshot(c, p.groups))
		p.logLimitChanges(former)
		p.metrics.versions.Add(1)
		log.WithFields(log.Fields{"event": "configuration", "version": p.state.Version(), "before": before, "routes": len(c.GetRoutes())}).Info("configuration applied")
	}
	p.applyViews(now, c)
	if u.GetEntered() > 0 {
		p.updateEntryVMs()
	}
	p.updateConnectionLimits(now)
	p.leases.SetApplied(p.state.Version())
}

// logLimitChanges logs the client accounts whose limits changed.
func (p *Proxy) logLimitChanges(former *configSnapshot) {
	t := p.config.Load()
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

// updateEntryVMs takes over the entry VMs that may keep connections.
func (p *Proxy) updateEntryVMs() {
	var entries []placement.EntryVM
	for _, e := range p.state.Registrations() {
		if e.GetLapsed() {
			continue
		}
		entries = append(entries, placement.EntryVM{ID: e.GetProcess(), Address: e.GetForward(), Zone: e.GetZone()})
	}
	p.entries.Store(&entries)
	log.WithFields(log.Fields{"event": "entries", "count": len(entries), "index": p.state.RegistrationIndex()}).Info("entry VMs changed")
}

// applyViews brings the groups up to their views.
func (p *Proxy) applyViews(now time.Time, c *wire.Configuration) {
	retired := map[string]bool{}
	for _, name := range c.GetRetired() {
		retired[name] = true
	}
	for _, v := range p.state.Views() {
		g := p.groups[v.GetGroup()]
		if g == nil || g.revision == v.GetRevision() {
			continue
		}
		g.revision = v.GetRevision()
		g.applyView(now, v, retired, func(m *wire.Member) *connpool.Pool { return p.newPool(g, m) })
		log.WithFields(log.Fields{
			"event": "view", "group": g.name, "term": v.GetTerm(), "phase": v.GetPhase().String(), "primary": v.GetPrimary(),
			"members": len(v.GetMembers()), "revision": v.GetRevision(),
		}).Info("view changed")
		p.control.RenewNow()
	}
	p.publishPools()
}

// publishPools shows the lanes to other entry VMs.
func (p *Proxy) publishPools() {
	pools := map[string]*connpool.Pool{}
	for _, g := range p.groups {
		for _, l := range g.pools() {
			pools[l.Server()] = l
		}
	}
	p.pools.Store(&pools)
	select {
	case <-p.viewsReady:
	default:
		if len(pools) > 0 {
			close(p.viewsReady)
		}
	}
}

// newPool returns the lane of an instance.
func (p *Proxy) newPool(g *group, m *wire.Member) *connpool.Pool {
	return connpool.New(connpool.Options{
		Group: g.name, Server: m.GetServer(), Address: m.GetAddress(), Dial: p.options.Server, Now: p.options.Now,
		Slots: int(m.GetSlots()), Connections: fallbackConnections,
	})
}

// zoneRTT returns the way to an instance and back.
func (p *Proxy) zoneRTT(zone string) time.Duration {
	if zone == p.options.Node.Zone {
		return 0
	}
	return initialZoneRTT
}

// leaseGranted takes a configuration lease.
func (p *Proxy) leaseGranted(now time.Time, granted renewal.ConfigLease) {
	if p.leases.Add(now, granted, p.state.Version()) {
		p.control.ReopenStreams()
	}
}

// hasLease reports whether the configuration may be used.
func (p *Proxy) hasLease(now time.Time) bool {
	until := p.leases.Until()
	return !until.IsZero() && now.Before(until.Add(p.options.LeaseGrace))
}

// Ready reports why the VM does not serve, or nil.
func (p *Proxy) Ready(context.Context) error {
	switch {
	case p.draining.Load():
		return errors.New("relay: the entry VM shuts down; connect to another one")
	case !p.hasLease(p.options.Now()):
		return errors.New("relay: no configuration lease; no control VM answers")
	}
	return nil
}

// openSessions returns the open sessions.
func (p *Proxy) openSessions() []*Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*Session, 0, len(p.sessions))
	for s := range p.sessions {
		out = append(out, s)
	}
	return out
}

func (p *Proxy) sessionCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions)
}
