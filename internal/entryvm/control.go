package entryvm

import (
	"context"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/renewal"
	"fireflyrudder.example/fireflyrudder/internal/watermark"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// host is the VM as its connection to the control group sees it.
type host struct{ vm *VM }

// FillRequest asks the owner goroutine for version, sights and use of connections.
func (h host) FillRequest(ctx context.Context, r *wire.RenewRequest) []lease.Usage {
	var usages []lease.Usage
	_ = h.vm.inbox.Do(ctx, func(now time.Time) { // without it, the request names neither
		r.Version = h.vm.controlState.Version()
		for _, g := range h.vm.groups {
			r.Sights = append(r.Sights, observePrimary(now, g)...)
			usages = append(usages, connectionUsage(g)...)
		}
	})
	return usages
}

// sight tells what this VM sees of the primary of a group. Nothing is told before the first answer
// that could have come, so that a VM that just started does not call a primary unreachable.
func observePrimary(now time.Time, g *group) []*wire.Sight {
	primary := g.view.GetPrimary()
	if primary == "" {
		return nil
	}
	for _, m := range g.watermarks.Members() {
		if string(m.Server) != primary || !m.Known {
			continue
		}
		silent := now.Sub(m.LastAnswer)
		return []*wire.Sight{{
			Group: g.name, Term: g.view.GetTerm(), Server: primary,
			Reachable: m.Linked && silent < 5*watermark.Interval, Silent: silent.Milliseconds(),
		}}
	}
	return nil
}

// uses tells the connections that are open and wanted, one of each for the status link.
func connectionUsage(g *group) []lease.Usage {
	usages := make([]lease.Usage, 0, len(g.servers))
	for id, s := range g.servers {
		u := s.pool.Usage()
		usages = append(usages, lease.Usage{
			Server: lease.ServerID(id),
			Open:   u.Open + 1,
			Want:   s.pool.DesiredConnections() + 1,
		})
	}
	return usages
}

// LeaseGranted implements renewal.Host.
func (h host) LeaseGranted(o renewal.ConfigLease) {
	h.vm.post(func(now time.Time) { h.vm.addLease(now, o) })
}

// WatchRequest implements renewal.Host.
func (h host) WatchRequest(ctx context.Context) (*wire.WatchRequest, bool) {
	var held *wire.WatchRequest
	err := h.vm.inbox.Do(ctx, func(time.Time) {
		held = &wire.WatchRequest{Version: h.vm.controlState.Version(), Index: h.vm.controlState.Index()}
	})
	return held, err == nil
}

// Update implements renewal.Host.
func (h host) Update(u *wire.Update) {
	h.vm.post(func(now time.Time) { h.vm.applyUpdate(now, u) })
}

// Leased implements renewal.Host.
func (h host) Leased(now time.Time) bool { return h.vm.leased(now) }

// Renewed implements renewal.Host.
func (h host) Renewed(ok bool) {
	if ok {
		h.vm.metrics.renewals.Add(1)
		return
	}
	h.vm.metrics.renewFailed.Add(1)
}
