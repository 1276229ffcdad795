package proxy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/placement"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// applyUpdate applies an update from the control group.
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
	p.updateWarmUp(now, c)
	p.applyViews(now, c)
	if u.GetEntered() > 0 {
		p.updateEntryVMs()
	}
	lease := p.leases.Until()
	p.leases.SetApplied(p.state.Version())
	p.restartColdOwnership(now, lease)
	p.updateConnectionLimits(now)
}

// logLimitChanges logs the client accounts whose limits differ from the former configuration.
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

// updateEntryVMs stores the entry VMs that may own connections.
func (p *Proxy) updateEntryVMs() {
	var entries []placement.EntryVM
	for _, e := range p.state.Registrations() {
		if e.GetLapsed() {
			continue
		}
		entries = append(entries, placement.EntryVM{
			ID: e.GetProcess(), Address: e.GetForward(), Zone: e.GetZone(), Capacity: placement.Capacity{Cores: e.GetCores(), Link: e.GetLink()},
		})
	}
	if !slices.Equal(entries, *p.entries.Load()) {
		p.entries.Store(&entries)
		p.updateOwnership()
	}
	log.WithFields(log.Fields{"event": "entries", "count": len(entries), "index": p.state.RegistrationIndex()}).Info("entry VMs changed")
}

// updateOwnership assigns the connections to the known instances to the known entry VMs, if either have changed. Most views
// change neither, and the computation takes a small VM some milliseconds.
func (p *Proxy) updateOwnership() {
	var instances []placement.Instance
	for _, g := range p.groups {
		instances = append(instances, g.instances()...)
	}
	slices.SortFunc(instances, func(a, b placement.Instance) int { return cmp.Compare(a.Server, b.Server) })
	if o := p.ownership.Load(); !o.IsOf(instances, *p.entries.Load()) {
		p.ownership.Store(placement.NewOwnership(instances, *p.entries.Load()))
	}
}

// countMoves counts and logs the instances whose connections have another owner since the last call.
func (p *Proxy) countMoves(o *placement.Ownership) {
	if o == p.counted {
		return
	}
	if moved := o.Moved(p.counted); moved > 0 {
		p.metrics.moves.Add(int64(moved))
		log.WithFields(log.Fields{"event": "owners", "moved": moved, "entries": len(*p.entries.Load())}).Info("owners of connections changed")
	}
	p.counted = o
}

// applyViews applies the changed views to their groups.
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
		g.applyView(now, controlstate.UsableView(v), retired, func(m *wire.Member) *connpool.Pool { return p.newPool(g, m) })
		log.WithFields(log.Fields{
			"event": "view", "group": g.name, "term": v.GetTerm(), "phase": v.GetPhase().String(), "primary": v.GetPrimary(),
			"members": len(v.GetMembers()), "revision": v.GetRevision(),
		}).Info("view changed")
		p.control.RenewNow()
	}
	p.updateEvacuations()
	p.publishPools()
}

// publishPools makes the connection pools and the groups available to other entry VMs.
func (p *Proxy) publishPools() {
	pools := map[string]*connpool.Pool{}
	served := maps.Clone(p.groups)
	for _, g := range p.groups {
		for _, pool := range g.pools() {
			pools[pool.Server()] = pool
		}
	}
	p.pools.Store(&pools)
	p.served.Store(&served)
	p.updateOwnership()
	select {
	case <-p.viewsReady:
	default:
		if len(pools) > 0 {
			close(p.viewsReady)
		}
	}
}

// newPool returns a connection pool for an instance.
func (p *Proxy) newPool(g *group, m *wire.Member) *connpool.Pool {
	return connpool.New(connpool.Options{
		Group: g.name, Server: m.GetServer(), Address: m.GetAddress(), Dial: p.options.Server, Now: p.options.Now,
		Slots: int(m.GetSlots()), Connections: fallbackConnections, Observe: p.metrics.observeStage,
		Waits: p.options.Waits, Urgency: p.options.Urgency, ObserveQueue: p.metrics.observeQueue,
	})
}
