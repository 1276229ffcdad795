package proxy

import (
	"context"
	"io"
	"net"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/forward"
	"fireflyrudder.example/fireflyrudder/internal/settings"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// SiteVM is an entry VM of a site with several availability zones.
type SiteVM struct{ *Proxy }

// StartSiteVM starts an entry VM until ctx ends.
func StartSiteVM(ctx context.Context, l net.Listener, zone string, dial connpool.Dialer, control wire.ControlClient, evacuateTime time.Duration) *SiteVM {
	address := l.Addr().String()
	p := New(Options{
		Node: settings.Node{Zone: zone}, Process: address, Forward: address, Now: time.Now, MinRenewInterval: 10 * time.Millisecond,
		Controls: func() []string { return []string{"control"} }, Server: dial, EvacuateTime: evacuateTime, LeaseGrace: time.Minute,
		Dial: func(string) (wire.ControlClient, io.Closer, error) { return control, io.NopCloser(nil), nil },
	})
	go forward.NewServer(p, time.Now).Serve(ctx, l) //nolint:errcheck // ends with ctx
	go p.runEventLoop()
	go p.control.Run(ctx)
	context.AfterFunc(ctx, p.stop)
	return &SiteVM{p}
}

// Apply applies an update of the control group.
func (v *SiteVM) Apply(ctx context.Context, u *wire.Update) error {
	return v.inbox.Do(ctx, func(now time.Time) { v.applyUpdate(now, u) })
}

// Load returns the load of the pool of an instance.
func (v *SiteVM) Load(server string) connpool.Load { return (*v.pools.Load())[server].Load() }

// Refusals returns the refusals by reason.
func (v *SiteVM) Refusals() string { return v.metrics.reasons.String() }

// InContact reports whether the VM has been in contact with the control group for long enough to trust its updates.
func (v *SiteVM) InContact(now time.Time) bool { return v.contact.current(now).Equal(now) }

// ContactAfter returns what a VM knows at a time after Renews that were answered at some times.
func ContactAfter(now time.Time, renewed ...time.Time) time.Time {
	var c contact
	for _, t := range renewed {
		c.renewed(t)
	}
	return c.current(now)
}
