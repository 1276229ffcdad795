package proxy

import (
	"context"
	"time"

	"github.com/apex/log"

	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/renewal"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// host implements renewal.Host for a Proxy.
type host struct{ proxy *Proxy }

// FillRequest implements renewal.Host. It returns no usage of connections, because connections are not
// leased: all entry VMs compute the same owner of the connections to an instance.
func (h host) FillRequest(ctx context.Context, w *wire.RenewRequest) []lease.Usage {
	_ = h.proxy.inbox.Do(ctx, func(now time.Time) { // on failure the request has neither version nor sights
		w.Version = h.proxy.state.Version()
		for _, g := range h.proxy.groups {
			if s := g.sight(now); s != nil {
				w.Sights = append(w.Sights, s)
			}
		}
	})
	return nil
}

// LeaseGranted implements renewal.Host.
func (h host) LeaseGranted(granted renewal.ConfigLease) {
	h.proxy.post(func(now time.Time) { h.proxy.leaseGranted(now, granted) })
}

// WatchRequest implements renewal.Host.
func (h host) WatchRequest(ctx context.Context) (*wire.WatchRequest, bool) {
	var request *wire.WatchRequest
	err := h.proxy.inbox.Do(ctx, func(time.Time) {
		b := h.proxy.state
		request = &wire.WatchRequest{Version: b.Version(), Index: b.Index(), Entries: true, Entered: b.RegistrationIndex(), Trusts: true, Parts: true}
	})
	return request, err == nil
}

// Update implements renewal.Host.
func (h host) Update(u *wire.Update) {
	h.proxy.post(func(now time.Time) { h.proxy.applyUpdate(now, u) })
}

// Leased implements renewal.Host.
func (h host) Leased(now time.Time) bool { return h.proxy.hasLease(now) }

// Renewed implements renewal.Host. It logs when the control group becomes unreachable or reachable again.
func (h host) Renewed(ok bool) {
	m := h.proxy.metrics
	if ok {
		m.renewals.Add(1)
		h.proxy.contact.renewed(h.proxy.options.Now())
	} else {
		m.unrenewed.Add(1)
	}
	if m.connected.Swap(ok) != ok {
		log.WithFields(log.Fields{"event": "dependency", "dependency": "control", "reached": ok}).Warn("control group")
	}
}
