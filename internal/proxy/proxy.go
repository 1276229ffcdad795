// Package proxy implements the protocol-independent part of an entry VM: sessions, transactions, routing,
// rate limits and retries of typed operations. An adapter decodes the statements of callers, passes them to a
// Session and encodes the answers.
//
// An instance is one backend server of a database group. A Proxy runs the statements for an instance on its
// own connection pool (package connpool), or forwards them to the entry VM that owns the connections to that
// instance (package forward).
//
// One goroutine, the event loop, owns the control state: the configuration, the views of the groups and the
// leases. It publishes immutable copies to the goroutines of the sessions.
//
// A proof is the log position of an instance that led its group at a known time. It gives a read the minimum
// position that it must see.
//
// Some texts start with "relay:", because they leave the process.
package proxy

import (
	"cmp"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/eventloop"
	"fireflyrudder.example/fireflyrudder/internal/forward"
	"fireflyrudder.example/fireflyrudder/internal/placement"
	"fireflyrudder.example/fireflyrudder/internal/renewal"
	"fireflyrudder.example/fireflyrudder/internal/settings"
	"fireflyrudder.example/fireflyrudder/internal/traffic"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

const (
	// tickInterval is the granularity of connection limits, proof refreshes and idle timeouts. An entry VM that neither
	// uses connections of its own nor keeps proofs uses idleTickInterval: waking up costs a small VM more than the work.
	tickInterval     = 50 * time.Millisecond
	idleTickInterval = 200 * time.Millisecond
	// eventQueueSize is large enough that other goroutines need not wait while the event loop is busy.
	eventQueueSize = 256
	// defaultTimeout bounds a statement on a route without a configured timeout.
	defaultTimeout = 10 * time.Second
	// defaultIdleTimeout ends an idle transaction if the configuration sets no timeout.
	defaultIdleTimeout = 30 * time.Second
	// initialZoneRTT is the round-trip time assumed to an instance in another zone.
	initialZoneRTT = 11 * time.Millisecond
	// initialLatency is the latency assumed for an instance before its first answer.
	initialLatency = 20 * time.Millisecond
	// summaryInterval is the time between two log lines that summarize the latencies.
	summaryInterval = 10 * time.Second
	// minOwnerShare and maxOwnerShare bound the share of an instance's connections that the entry VM which owns them may
	// open, as parts. Between them it is one for each client account: a connection belongs to one account, so with
	// fewer, many statements wait for a new one. The rest is for the other entry VMs while the owner does not answer: an
	// instance keeps counting the connections of a VM that lost power for some seconds.
	minOwnerShare, maxOwnerShare = 0.5, 0.75
	// fallbackConnections is the limit of an entry VM that does not own the connections to an instance. It uses
	// them while it cannot reach the owner.
	fallbackConnections = 2
	// ownerIdleTimeout and fallbackIdleTimeout are the times after which an idle connection is closed, at the
	// owner and at other entry VMs.
	ownerIdleTimeout    = 50 * time.Second
	fallbackIdleTimeout = 500 * time.Millisecond
	// switchoverRetry is the pause before a write is retried during a planned switchover.
	switchoverRetry = 100 * time.Millisecond
)

// Options configure a Proxy. They are immutable.
type Options struct {
	Node             settings.Node
	Process          string          // address that only one process at a time can use, which identifies it; empty if unknown
	Forward          string          // IP:port at which other entry VMs forward statements to this one; empty for none
	Controls         func() []string // gRPC listeners of control VMs as configured; may change
	Dial             func(address string) (wire.ControlClient, io.Closer, error)
	Server           connpool.Dialer
	Now              func() time.Time
	MinRenewInterval time.Duration // minimum time between two Renews
	// LeaseGrace is how long the configuration remains usable after its lease expired. With 0, a VM that is cut
	// off from the control group refuses operations as soon as the lease expires.
	LeaseGrace time.Duration
	// LeaveLimit is how long new work may go to an instance after it announced that it leaves; 0 for no limit.
	LeaveLimit time.Duration
	// EvacuateTime is how long after the order the instances of an evacuated availability zone may get statements; 0 for
	// DefaultEvacuateTime.
	EvacuateTime time.Duration
	// Wall is the clock with which control VMs state when an instance began to leave; nil if they do not.
	Wall  func() time.Time
	Drain Drain
	// Capacity is what counts of this VM for ownership of connections. If any entry VM reports none, owners are chosen by hash
	// alone.
	Capacity placement.Capacity
	// Waits makes the owners of connections report how long statements wait, and the other entry VMs use it.
	Waits bool
	// Urgency orders the statements that wait for an instance by the priority of their routes.
	Urgency bool
	// ColdOverrun and ColdSlack bound the statements that arrive at a cold instance within any one second: the rate of its
	// group times ColdOverrun plus ColdSlack.
	ColdOverrun, ColdSlack float64
	// Regions are the regions of the availability zones; empty if they are not known.
	Regions map[string]string
	// Traffic counts what this VM exchanges with other VMs; nil for a Meter of its own.
	Traffic *traffic.Meter
}

// Proxy is the protocol-independent part of one entry VM.
type Proxy struct {
	options       Options
	identity      string
	inbox         *eventloop.Inbox
	ctx           context.Context
	stop          context.CancelFunc
	eventLoopDone chan struct{}
	control       *renewal.Client
	credits       *renewal.Credits
	metrics       *metrics
	forward       *forward.Client
	config        atomic.Pointer[configSnapshot]
	entries       atomic.Pointer[[]placement.EntryVM]
	pools         atomic.Pointer[map[string]*connpool.Pool] // by instance
	ownership     atomic.Pointer[placement.Ownership]
	served        atomic.Pointer[map[string]*group] // by name
	viewsReady    chan struct{}                     // closed when the pools of the first views are published
	creditVMs     keeperVMs                         // entry VMs of this zone that keep credits
	hedges        hedger                            // of reads
	creditKeepers sync.Map                          // choices of the credit keeper (*zoneKeeper) by lease.AccountID
	leases        renewal.ConfigLeases              // modified only by the event loop
	stopStarted   atomic.Pointer[time.Time]         // start of the planned stop; nil before
	statements    context.Context                   // ends when statements must not wait any longer, because the VM stops
	interrupt     context.CancelFunc                // ends statements
	contact       contact
	endedByZone   zoneCounts // transactions that evacuations ended since they were last logged

	mu       sync.Mutex
	sessions map[*Session]struct{}

	// accessed only by the event loop
	state   *controlstate.State
	groups  map[string]*group
	warm    warmUp
	counted *placement.Ownership // whose moves of owners are counted
	shares  sharePool

	evacuations evacuations
}

// New returns a Proxy. Run starts it.
func New(o Options) *Proxy {
	p := &Proxy{
		options: o, identity: renewal.NewIdentity(),
		eventLoopDone: make(chan struct{}), viewsReady: make(chan struct{}), metrics: newMetrics(),
		sessions: map[*Session]struct{}{}, state: controlstate.New(), groups: map[string]*group{}, evacuations: evacuations{},
		shares: sharePool{refused: map[string]time.Time{}},
	}
	p.options.EvacuateTime = cmp.Or(o.EvacuateTime, DefaultEvacuateTime)
	if p.options.Traffic == nil {
		p.options.Traffic = traffic.NewMeter()
	}
	if p.options.Wall == nil {
		p.options.Wall = func() time.Time { return time.Time{} }
	}
	p.options.Traffic.Publish(p.metrics.all)
	p.forward = forward.NewClient(o.Now, grpc.WithStatsHandler(p.options.Traffic))
	p.entries.Store(&[]placement.EntryVM{})
	p.counted = placement.NewOwnership(nil, nil)
	p.ownership.Store(p.counted)
	p.pools.Store(&map[string]*connpool.Pool{})
	p.served.Store(&map[string]*group{})
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.statements, p.interrupt = context.WithCancel(p.ctx)
	p.inbox = eventloop.New(eventQueueSize, p.ctx.Done(), errStopped)
	p.config.Store(newConfigSnapshot(p.state.Configuration(), nil))
	p.control = renewal.New(host{p}, renewal.Options{
		Registration: &wire.Registration{Entry: p.identity, Name: o.Node.Name, Zone: o.Node.Zone, Process: o.Process, Forward: o.Forward, Cores: o.Capacity.Cores, Link: o.Capacity.Link},
		Controls:     o.Controls, Dial: o.Dial, Now: o.Now, MinInterval: o.MinRenewInterval,
	})
	p.credits = p.control.Credits()
	return p
}

// Run serves until ctx ends, then drains the sessions and leaves the control group.
func (p *Proxy) Run(ctx context.Context) error {
	defer p.stop()
	go p.runEventLoop()
	go p.control.Run(p.ctx)
	log.WithFields(log.Fields{"event": "start", "identity": p.identity, "vm": p.options.Node.Name, "zone": p.options.Node.Zone}).Info("entry VM starts")
	<-ctx.Done()
	p.drain()
	p.control.Leave(p.options.Drain.Leave)
	p.stop()
	<-p.eventLoopDone
	log.WithFields(log.Fields{"event": "stop", "identity": p.identity}).Info("entry VM stopped")
	return nil
}

// runEventLoop runs the event loop until the Proxy stops.
func (p *Proxy) runEventLoop() {
	defer close(p.eventLoopDone)
	tick := time.NewTimer(tickInterval)
	defer tick.Stop()
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
		case <-tick.C:
			tick.Reset(p.runPeriodic(p.options.Now()))
		}
	}
}

// errStopped reports that the event loop has ended.
var errStopped = errors.WithHint(errors.New("relay: the process stops"), "ask another entry VM")

// post queues a function for the event loop. It does nothing once the VM has stopped.
func (p *Proxy) post(f func(now time.Time)) {
	_ = p.inbox.Post(p.ctx, f)
}

// updateConnectionLimits sets how many connections to each instance this VM may open.
func (p *Proxy) updateConnectionLimits(now time.Time) {
	ownership := p.ownership.Load()
	p.countMoves(ownership)
	accounts := len(p.config.Load().accounts)
	for _, g := range p.groups {
		w, _ := p.state.Group(g.name)
		g.setConnectionLimits(now, p.options.Process, ownership, connectionLimits(int(w.GetConnections()), accounts))
		g.updateColdOwners(now, p.options.Process, ownership)
	}
}

// runPeriodic runs the periodic work of the event loop and returns the time until it is due again.
func (p *Proxy) runPeriodic(now time.Time) time.Duration {
	p.serveDisconnected(now)
	p.handOverShares(now)
	p.updateConnectionLimits(now)
	busy := !p.metrics.connected.Load()
	for _, g := range p.groups {
		busy = g.refreshProof(now) || busy
		s := g.sight(now)
		if s != nil && !s.Reachable {
			p.control.RenewNow() // the control group detects a failed primary by the reports of entry VMs
		}
		busy = busy || s != nil
	}
	busy = p.openAhead(now) || busy
	if address := p.warm.next(now, p.ownership.Load(), p.neededPeers); address != "" {
		p.forward.Connect(address)
	}
	idle := p.config.Load().idle
	for _, s := range p.openSessions() {
		s.expireIdle(now, idle)
	}
	p.enforceEvacuations(now)
	if busy || p.warm.pendingWork() {
		return tickInterval
	}
	return idleTickInterval
}

// zoneRTT returns the round-trip time assumed to an instance in a zone.
func (p *Proxy) zoneRTT(zone string) time.Duration {
	if zone == p.options.Node.Zone {
		return 0
	}
	return initialZoneRTT
}

// leaseGranted stores a configuration lease.
func (p *Proxy) leaseGranted(now time.Time, granted renewal.ConfigLease) {
	lease := p.leases.Until()
	if p.leases.Add(now, granted, p.state.Version()) {
		p.control.ReopenStreams()
	}
	p.restartColdOwnership(now, lease)
}

// hasLease reports whether the configuration may be used: its lease, extended by LeaseGrace, has not expired.
func (p *Proxy) hasLease(now time.Time) bool {
	until := p.leases.Until()
	return !until.IsZero() && now.Before(until.Add(p.options.LeaseGrace))
}

// Statements returns the context in which adapters handle statements. It ends when the VM stops and they must not wait any
// longer. Attempts in progress go on until they are answered, or until Drain.Answer.
func (p *Proxy) Statements() context.Context { return p.statements }

// Ready returns nil if the VM accepts sessions, or the reason why it does not.
func (p *Proxy) Ready(context.Context) error {
	switch {
	case p.stopStarted.Load() != nil:
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
