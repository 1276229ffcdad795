package proxy

import (
	"context"
	"net"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/forward"
	"fireflyrudder.example/fireflyrudder/internal/placement"
	"fireflyrudder.example/fireflyrudder/internal/settings"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// FetchProofs requests a proof from the instance of a pool for each client account, as entry VMs do that served
// them last.
func FetchProofs(now func() time.Time, pool *connpool.Pool, accounts []string) {
	id := placement.ServerID(pool.Server())
	g := &group{
		now: now, finder: placement.NewFinder(), forward: forward.NewClient(now), primary: pool.Server(), viewChanged: make(chan struct{}),
		preferredOwner: func(*member) string { return "" },
		usableOwner:    func(*member, time.Time) string { return "" },
		proofKeeper:    func(*group, time.Time) string { return "" },
		members:        []*member{{id: id, pool: pool, stats: placement.NewInstanceStats(initialLatency)}},
		ids:            []placement.ServerID{id},
	}
	g.finder.SetView(now(), id)
	for _, account := range accounts {
		g.recentAccount = account
		g.queryProof()
	}
}

// ZoneVM is an entry VM of a test that uses one group.
type ZoneVM struct {
	proxy *Proxy
	group *group
}

// StartZone starts the entry VMs of one availability zone, one for each listener, until ctx ends. Each has connections
// of its own to the instance of a group.
func StartZone(ctx context.Context, listeners []net.Listener, dial connpool.Dialer) []*ZoneVM {
	var vms []*ZoneVM
	var entries []placement.EntryVM
	for _, l := range listeners {
		address := l.Addr().String()
		entries = append(entries, placement.EntryVM{ID: address, Address: address, Zone: "zone"})
		p := New(Options{Node: settings.Node{Zone: "zone"}, Process: address, Forward: address, Now: time.Now, Controls: func() []string { return nil }})
		g := newGroup("group", p)
		g.usableOwner = func(*member, time.Time) string { return "" }
		g.preferredOwner = func(*member) string { return "" }
		pool := connpool.New(connpool.Options{Server: "i", Dial: dial, Now: time.Now, Slots: 2, Connections: 2})
		g.members = []*member{{id: "i", pool: pool, stats: placement.NewInstanceStats(initialLatency)}}
		g.ids, g.primary = []placement.ServerID{"i"}, "i"
		g.finder.SetView(time.Now(), "i")
		p.served.Store(&map[string]*group{"group": g})
		vms = append(vms, &ZoneVM{p, g})
		go forward.NewServer(p, time.Now).Serve(ctx, l) //nolint:errcheck // ends with ctx
	}
	for _, vm := range vms {
		vm.proxy.entries.Store(&entries)
		context.AfterFunc(ctx, vm.proxy.forward.Close)
	}
	return vms
}

// AwaitKeeper waits until the VM is connected to the entry VM that keeps the proofs, if that is another one.
func (z *ZoneVM) AwaitKeeper() {
	first := z.group.keeperCandidates("zone", z.proxy.entries.Load())[0]
	if first.ID != z.proxy.options.Process {
		z.proxy.forward.AwaitConnection(first.Address)
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
