package proxy

import (
	"context"
	"expvar"
	"io"
	"net"
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/forward"
	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/placement"
	"fireflyrudder.example/fireflyrudder/internal/settings"
	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// FetchProofs requests a proof from the instance of a pool for each client account, as entry VMs do that served
// them last.
func FetchProofs(now func() time.Time, pool *connpool.Pool, accounts []string) {
	id := placement.ServerID(pool.Server())
	g := &group{
		now: now, finder: placement.NewFinder(), forward: forward.NewClient(now), primary: pool.Server(), viewChanged: make(chan struct{}),
		owner:       func(*group, *member) string { return "" },
		proofKeeper: func(time.Time) string { return "" },
		members:     []*member{{id: id, pool: pool, stats: placement.NewInstanceStats(initialLatency)}},
		ids:         []placement.ServerID{id},
	}
	g.finder.SetView(now(), id)
	for _, account := range accounts {
		g.recentAccount = account
		g.queryProof()
	}
}

// OpenSession opens a session of a caller that does not react to Interrupt.
func OpenSession(p *Proxy) *Session {
	s := &Session{proxy: p, interrupt: func() {}}
	s.close = s.Close
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions[s] = struct{}{}
	return s
}

// ZoneVM is an entry VM of a test that uses one group.
type ZoneVM struct {
	proxy    *Proxy
	group    *group
	listener net.Listener
}

// Silence ends the VM's server for other entry VMs.
func (z *ZoneVM) Silence() { z.listener.Close() }

// StartZone starts the entry VMs of one availability zone, one for each listener, until ctx ends. The instance of their
// group is in another zone, so that each has connections of its own to it; see UseOwner. control is the control group.
func StartZone(ctx context.Context, listeners []net.Listener, dial connpool.Dialer, control wire.ControlClient) []*ZoneVM {
	var vms []*ZoneVM
	var entries []placement.EntryVM
	for _, l := range listeners {
		address := l.Addr().String()
		entries = append(entries, placement.EntryVM{ID: address, Address: address, Zone: "zone"})
		p := New(Options{
			Node: settings.Node{Zone: "zone"}, Process: address, Forward: address, Now: time.Now, MinRenewInterval: 10 * time.Millisecond,
			Controls: func() []string { return []string{"control"} },
			Dial:     func(string) (wire.ControlClient, io.Closer, error) { return control, io.NopCloser(nil), nil },
		})
		g := newGroup("group", p)
		pool := connpool.New(connpool.Options{Server: "i", Dial: dial, Now: time.Now, Slots: 2, Connections: 2})
		g.members = []*member{{id: "i", pool: pool, stats: placement.NewInstanceStats(initialLatency)}}
		g.ids, g.primary = []placement.ServerID{"i"}, "i"
		g.finder.SetView(time.Now(), "i")
		p.pools.Store(&map[string]*connpool.Pool{"i": pool})
		close(p.viewsReady)
		p.served.Store(&map[string]*group{"group": g})
		vms = append(vms, &ZoneVM{p, g, l})
		go forward.NewServer(p, time.Now).Serve(ctx, l) //nolint:errcheck // ends with ctx
	}
	for _, vm := range vms {
		vm.proxy.entries.Store(&entries)
		context.AfterFunc(ctx, vm.proxy.forward.Close)
	}
	return vms
}

// Disconnectable lets the VM serve for a minute without an issuer. Call it before Renew.
func (z *ZoneVM) Disconnectable() { z.proxy.options.LeaseGrace = time.Minute }

// Renew makes the VM renew its credits of client accounts until ctx ends.
func (z *ZoneVM) Renew(ctx context.Context, accounts ...*wire.Account) {
	z.proxy.config.Store(newConfigSnapshot(&wire.Configuration{Accounts: accounts}, nil))
	go z.proxy.runEventLoop()
	go z.proxy.control.Run(ctx)
	context.AfterFunc(ctx, z.proxy.stop)
}

// AwaitCreditKeepers waits until the VM has credits answered and is connected to those that may keep the credits of an
// account.
func (z *ZoneVM) AwaitCreditKeepers(account string) {
	for !z.proxy.credits.Answered(time.Now()) {
		time.Sleep(time.Millisecond)
	}
	for _, e := range z.proxy.creditKeeper(lease.AccountID(account)).candidates("zone", z.proxy.entries.Load()) {
		if e.ID != z.proxy.options.Process {
			z.awaitUsable(e.Address)
		}
	}
}

// KeepsCredits reports whether the VM is the keeper of the credits of an account.
func (z *ZoneVM) KeepsCredits(account string) bool {
	first := z.proxy.creditKeeper(lease.AccountID(account)).candidates("zone", z.proxy.entries.Load())[0]
	return first.ID == z.proxy.options.Process
}

// Admit takes a credit of an account for an operation.
func (z *ZoneVM) Admit(ctx context.Context, name string) bool {
	a := z.proxy.config.Load().accounts[name]
	return z.proxy.takeCredit(ctx, time.Now(), a, time.Time{}).Verdict == lease.Admitted
}

// WarmUp runs the periodic work for connections to other entry VMs.
func (z *ZoneVM) WarmUp(now time.Time) {
	if address := z.proxy.warm.next(now, z.proxy.ownership.Load(), z.proxy.neededPeers); address != "" {
		z.proxy.forward.Connect(address)
	}
}

// OpenAhead runs the periodic work for connections to instances.
func (z *ZoneVM) OpenAhead(now time.Time) { z.proxy.openAhead(now) }

// SetAccounts sets the client accounts and uses the group.
func (z *ZoneVM) SetAccounts(accounts ...*wire.Account) {
	z.proxy.config.Store(newConfigSnapshot(&wire.Configuration{Accounts: accounts}, nil))
	z.proxy.groups["group"] = z.group
}

// Open returns the number of open connections to the instance.
func (z *ZoneVM) Open() int { return z.group.members[0].pool.Load().Open }

// ConnectedTo reports whether the VM is connected to another one.
func (z *ZoneVM) ConnectedTo(other *ZoneVM) bool {
	return z.proxy.forward.Connected(other.proxy.options.Process)
}

// AwaitKeeper waits until the VM is connected to the entry VM that keeps the proofs, if that is another one.
func (z *ZoneVM) AwaitKeeper() {
	first := z.group.keeper.candidates("zone", z.proxy.entries.Load())[0]
	if first.ID != z.proxy.options.Process {
		z.awaitUsable(first.Address)
	}
}

// awaitUsable waits until another entry VM can be used, also if that takes longer than the product waits for a connection.
func (z *ZoneVM) awaitUsable(address string) {
	for !z.proxy.forward.AwaitUsable(address) {
		time.Sleep(time.Millisecond)
	}
}

// Floor returns the position that a read of data of the given age must see.
func (z *ZoneVM) Floor(ctx context.Context, age time.Duration) (position.Position, bool) {
	return z.group.floor(ctx, "account", age, position.Position{})
}

// Refresh runs the periodic work for proofs.
func (z *ZoneVM) Refresh(now time.Time) { z.group.refreshProof(now) }

// ReportsPrimary reports whether the VM reports to the control group on the primary.
func (z *ZoneVM) ReportsPrimary(now time.Time) bool { return z.group.sight(now) != nil }

// UseOwner moves the instance to the zone of the VM, so that one entry VM of the zone owns the connections to it.
func (z *ZoneVM) UseOwner() {
	z.group.members[0].zone = "zone"
	z.proxy.ownership.Store(placement.NewOwnership(z.group.instances(), *z.proxy.entries.Load()))
}

// RunPeriodic runs the periodic work of the event loop of a VM that reaches the control group, and returns the time until
// it is due again.
func (z *ZoneVM) RunPeriodic(now time.Time) time.Duration {
	z.proxy.metrics.connected.Store(true)
	return z.proxy.runPeriodic(now)
}

// ChangeEntries replaces the list of entry VMs and computes the owners again.
func (z *ZoneVM) ChangeEntries() {
	entries := slices.Clone(*z.proxy.entries.Load())
	entries[0].Address += "x"
	z.proxy.entries.Store(&entries)
	z.proxy.updateOwnership()
	z.proxy.ownership.Load().Of("group-00")
}

// KeepsOwnership reports whether an update finds the assignment of connections in force, which then is not computed again.
func (z *ZoneVM) KeepsOwnership() bool {
	before := z.proxy.ownership.Load()
	z.proxy.updateOwnership()
	return z.proxy.ownership.Load() == before
}

// AddGroup adds a group with an instance in the zone of the VM.
func (z *ZoneVM) AddGroup(name string) {
	g := newGroup(name, z.proxy)
	id := placement.ServerID(name)
	pool := connpool.New(connpool.Options{Server: name, Now: time.Now, Slots: 2, Connections: 2})
	g.members = []*member{{id: id, zone: "zone", pool: pool, stats: placement.NewInstanceStats(initialLatency)}}
	g.ids = []placement.ServerID{id}
	z.proxy.groups[name] = g
}

// OwnerRank returns the place of the VM among those that may own the connections to the instance.
func (z *ZoneVM) OwnerRank() int {
	return slices.IndexFunc(z.proxy.ownership.Load().Of("i"), func(e placement.EntryVM) bool { return e.ID == z.proxy.options.Process })
}

// Write runs a write at the instance.
func (z *ZoneVM) Write(ctx context.Context) error {
	h := z.group.newConn(z.group.members[0], connRequest{account: "account", weight: 1})
	defer h.Release()
	_, err := h.Run(ctx, connpool.Limit{Until: time.Now().Add(time.Second)}, nil, operation.Statement{ID: "1", Kind: operation.Write})
	return err
}

// LimitConnections sets how many connections the VM may open to an instance that accepts a number of them, for a number
// of client accounts.
func (z *ZoneVM) LimitConnections(accepted, accounts int) {
	z.group.setConnectionLimits(time.Now(), z.proxy.options.Process, z.proxy.ownership.Load(), connectionLimits(accepted, accounts))
}

// maxOpenWait is longer than opening a connection takes on a busy machine: an attempt that runs into it shows the limit.
const maxOpenWait = 2 * time.Second

// ConnectionLimit returns how many connections the VM opens to an instance that accepts a number of them, for a number
// of client accounts.
func (z *ZoneVM) ConnectionLimit(ctx context.Context, accepted, accounts int) int {
	z.LimitConnections(accepted, accounts)
	opened := 0
	for range accepted {
		h := z.group.members[0].pool.NewHandle("account", 1, false)
		if _, err := h.Run(ctx, connpool.Limit{Until: time.Now().Add(maxOpenWait)}, nil, operation.Statement{Kind: operation.Begin}, operation.Statement{ID: "1", Kind: operation.Write}); err != nil {
			return opened
		}
		opened++
	}
	return opened
}

// EntryVMs applies an update and returns the entry VMs that may own connections then.
func EntryVMs(p *Proxy, u *wire.Update) []placement.EntryVM {
	p.applyUpdate(p.options.Now(), u)
	return *p.entries.Load()
}

// Moves returns the number of moves of owners that were counted.
func Moves(p *Proxy) int64 { return p.metrics.moves.Value() }

// RunWithPriority runs a write on a route with a priority at the instance of a dialer, and returns the metrics of the VM
// that owns the connections: the same one, or another one behind a listener.
func RunWithPriority(ctx context.Context, dial connpool.Dialer, urgency bool, priority uint32, owner net.Listener) *expvar.Map {
	p := New(Options{Server: dial, Now: time.Now, Urgency: urgency, Controls: func() []string { return nil }})
	g := newGroup("group", p)
	m := &member{id: "i", pool: p.newPool(g, &wire.Member{Server: "i", Slots: 2}), stats: placement.NewInstanceStats(initialLatency)}
	metrics := p.metrics
	if owner != nil {
		other := New(p.options)
		other.pools.Store(&map[string]*connpool.Pool{"i": other.newPool(g, &wire.Member{Server: "i", Slots: 2})})
		close(other.viewsReady)
		go forward.NewServer(other, time.Now).Serve(ctx, owner) //nolint:errcheck // ends with ctx
		(&ZoneVM{proxy: p}).awaitUsable(owner.Addr().String())
		g.owner = func(*group, *member) string { return owner.Addr().String() }
		metrics = other.metrics
	}
	t := newConfigSnapshot(&wire.Configuration{Routes: []*wire.Route{{Name: "r", Group: "group", Priority: priority}}}, map[string]*group{"group": g})
	e := &execution{
		session: &Session{proxy: p}, permit: &permit{route: t.routes["r"], account: &account{name: "account", weight: 1}},
		st: operation.Statement{ID: "1", Kind: operation.Write}, deadline: time.Now().Add(time.Minute),
	}
	_, _, _ = e.runAt(ctx, m, e.st)
	return metrics.all
}
