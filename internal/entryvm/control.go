package entryvm

import (
	"context"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/renewal"
	"fireflyrudder.example/fireflyrudder/internal/watermark"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// host implements renewal.Host for a VM.
type host struct{ vm *VM }

// FillRequest implements renewal.Host. It adds the configuration version, the observations of primaries and the
// connection usage.
func (h host) FillRequest(ctx context.Context, r *wire.RenewRequest) []lease.Usage {
	var usages []lease.Usage
	_ = h.vm.inbox.Do(ctx, func(now time.Time) { // if it does not run, the request has none of them
		r.Version = h.vm.controlState.Version()
		for _, g := range h.vm.groups {
			r.Sights = append(r.Sights, observePrimary(now, g)...)
			usages = append(usages, connectionUsage(g)...)
		}
	})
	return usages
}

// observePrimary reports whether this VM reaches the primary of a group. Before the first answer of the primary it
// reports nothing, so that a VM that has just started does not report a primary as unreachable.
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

// connectionUsage returns the numbers of open and wanted connections per server, each including one for the status
// link.
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
func (h host) LeaseGranted(granted renewal.ConfigLease) {
	h.vm.post(func(now time.Time) { h.vm.addLease(now, granted) })
}

// WatchRequest implements renewal.Host.
func (h host) WatchRequest(ctx context.Context) (*wire.WatchRequest, bool) {
	var request *wire.WatchRequest
	err := h.vm.inbox.Do(ctx, func(time.Time) {
		request = &wire.WatchRequest{Version: h.vm.controlState.Version(), Index: h.vm.controlState.Index()}
	})
	return request, err == nil
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
