package proxy

import (
	"context"
	"time"

	"github.com/apex/log"

	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/renewal"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// host is the Relay as its connection to the control group sees it.
type host struct{ relay *Proxy }

// FillRequest implements renewal.Host. Connections are not leased: the entry VM that keeps those to an
// instance is known to all.
func (h host) FillRequest(ctx context.Context, w *wire.RenewRequest) []lease.Usage {
	_ = h.relay.inbox.Do(ctx, func(now time.Time) { // without it, the request names neither
		w.Version = h.relay.book.Version()
		for _, g := range h.relay.groups {
			if s := g.sight(now); s != nil {
				w.Sights = append(w.Sights, s)
			}
		}
	})
	return nil
}

// LeaseGranted implements renewal.Host.
func (h host) LeaseGranted(o renewal.ConfigLease) {
	h.relay.post(func(now time.Time) { h.relay.offered(now, o) })
}

// WatchRequest implements renewal.Host.
func (h host) WatchRequest(ctx context.Context) (*wire.WatchRequest, bool) {
	var held *wire.WatchRequest
	err := h.relay.inbox.Do(ctx, func(time.Time) {
		b := h.relay.book
		held = &wire.WatchRequest{Version: b.Version(), Index: b.Index(), Entries: true, Entered: b.RegistrationIndex()}
	})
	return held, err == nil
}

// Update implements renewal.Host.
func (h host) Update(u *wire.Update) {
	h.relay.post(func(now time.Time) { h.relay.update(now, u) })
}

// Leased implements renewal.Host.
func (h host) Leased(now time.Time) bool { return h.relay.leased(now) }

// Renewed implements renewal.Host. It logs when the control group is lost and regained.
func (h host) Renewed(ok bool) {
	m := h.relay.metrics
	if ok {
		m.renewals.Add(1)
	} else {
		m.unrenewed.Add(1)
	}
	if m.connected.Swap(ok) != ok {
		log.WithFields(log.Fields{"event": "dependency", "dependency": "control", "reached": ok}).Warn("control group")
	}
}
