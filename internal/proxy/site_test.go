package proxy_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/proxy"
	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// leaseControl is a control group that grants configuration leases only.
type leaseControl struct {
	wire.ControlClient
	cut atomic.Bool // it does not answer
}

func (c *leaseControl) Renew(_ context.Context, r *wire.RenewRequest, _ ...grpc.CallOption) (*wire.RenewReply, error) {
	if c.cut.Load() {
		return nil, context.DeadlineExceeded
	}
	return &wire.RenewReply{Leader: true, Sequence: r.GetSequence(), Lease: 2500, Term: 1, Members: 1, Version: r.GetVersion()}, nil
}

func (*leaseControl) Watch(ctx context.Context, _ *wire.WatchRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[wire.Update], error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// site is a set of database groups with an instance in each of the zones a, b and c, whose entry VMs know only the views that
// the test gives them. The instance of group g in zone a is g-a.
type site struct {
	t         *testing.T
	mu        sync.Mutex
	groups    []string
	leaders   map[string]string // zone of the primary, by group
	evacuated map[string]bool   // by zone
	stalled   bool              // a failover waits for instances that do not answer
	revision  uint64
	work      time.Duration // of a statement that needs a slot
	control   leaseControl
	arrivals  []arrival
	vms       []*proxy.SiteVM
	entries   []*wire.Registration
}

// arrival is a statement that reached an instance.
type arrival struct {
	server, zone string
	kind         operation.Kind
	at           time.Time
}

func newSite(t *testing.T, groups int, evacuateTime time.Duration, vmZones ...string) *site {
	s := &site{t: t, leaders: map[string]string{}, evacuated: map[string]bool{}, work: time.Millisecond}
	for i := range groups {
		s.groups = append(s.groups, fmt.Sprint("g", i))
		s.leaders[s.groups[i]] = "a"
	}
	for _, zone := range vmZones {
		s.addVM(zone, evacuateTime)
	}
	s.publish(s.vms...)
	for _, vm := range s.vms {
		require.Eventually(t, func() bool { return vm.InContact(time.Now()) }, 10*time.Second, 10*time.Millisecond)
	}
	return s
}

// addVM starts an entry VM that has no views yet.
func (s *site) addVM(zone string, evacuateTime time.Duration) *proxy.SiteVM {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	ctx, stop := context.WithCancel(context.Background())
	s.t.Cleanup(stop)
	vm := proxy.StartSiteVM(ctx, l, zone, s.dial, &s.control, evacuateTime)
	s.vms = append(s.vms, vm)
	address := l.Addr().String()
	s.entries = append(s.entries, &wire.Registration{Entry: address, Process: address, Forward: address, Zone: zone})
	return vm
}

// publish gives the present views to entry VMs.
func (s *site) publish(vms ...*proxy.SiteVM) {
	s.mu.Lock()
	s.revision++
	u := &wire.Update{Index: s.revision, Version: 1, Full: &wire.Configuration{Version: 1}, Entries: s.entries, Entered: 1}
	for _, g := range s.groups {
		u.Full.Groups = append(u.Full.Groups, &wire.Group{Name: g, Connections: 40})
		u.Full.Routes = append(u.Full.Routes,
			&wire.Route{Name: g, Group: g, Open: true, Timeout: 2000}, &wire.Route{Name: g + "-old", Group: g, Open: true, Timeout: 2000, Age: 2000})
		v := &wire.View{Group: g, Term: 1, Primary: g + "-" + s.leaders[g], Revision: s.revision}
		if s.stalled {
			v.Primary, v.Phase, v.Stalled = "", wire.Phase_PHASE_RAISING, true
		}
		for i, zone := range []string{"a", "b", "c"} {
			v.Members = append(v.Members, &wire.Member{
				Server: g + "-" + zone, Address: fmt.Sprintf("10.0.%s.%d:1", g[1:], i+1), Zone: zone, Born: 1, Sequence: 1, Slots: 3, Evacuated: s.evacuated[zone],
			})
		}
		u.Views = append(u.Views, v)
	}
	s.mu.Unlock()
	for _, vm := range vms {
		require.NoError(s.t, vm.Apply(s.t.Context(), u))
	}
}

// evacuate begins or withdraws the evacuation of zones and returns the time.
func (s *site) evacuate(on bool, zones ...string) time.Time {
	s.mu.Lock()
	for _, z := range zones {
		s.evacuated[z] = on
	}
	s.mu.Unlock()
	at := time.Now()
	s.publish(s.vms...)
	return at
}

// lead makes the instances of a zone the primaries of the groups led in another one.
func (s *site) lead(from, to string) {
	s.mu.Lock()
	for g, zone := range s.leaders {
		if zone == from {
			s.leaders[g] = to
		}
	}
	s.mu.Unlock()
	s.publish(s.vms...)
}

// reached returns the statements that reached the instances of a zone in a period, without rollbacks.
func (s *site) reached(zone string, from, to time.Time) []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []arrival
	for _, a := range s.arrivals {
		if a.zone == zone && a.kind != operation.Rollback && !a.at.Before(from) && a.at.Before(to) {
			out = append(out, a)
		}
	}
	return out
}

func (s *site) open(vm *proxy.SiteVM, route string) *proxy.Session {
	session, a := vm.Open(s.t.Context(), proxy.Caller{Route: route, Interrupt: func() {}, Close: func() {}})
	require.NotNil(s.t, session, a.Detail)
	return session
}

func (s *site) dial(_ context.Context, target connpool.Target) (connpool.Conn, error) {
	return &siteConn{site: s, group: target.Group, server: target.Server, zone: target.Server[len(target.Server)-1:]}, nil
}

// siteConn is a connection to an instance of a site.
type siteConn struct {
	site                *site
	group, server, zone string
	state               operation.State
}

func (c *siteConn) Exchange(_ time.Duration, statements ...operation.Statement) ([]operation.Answer, error) {
	var out []operation.Answer
	for _, st := range statements {
		out = append(out, c.run(&st))
	}
	return out, nil
}

func (c *siteConn) run(st *operation.Statement) operation.Answer {
	s := c.site
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{c.server, c.zone, st.Kind, time.Now()})
	leads, work := s.leaders[c.group] == c.zone, s.work
	s.mu.Unlock()
	if st.NeedsSlot() {
		time.Sleep(work)
	}
	a := operation.Answer{Code: operation.Done, At: position.Position{Term: 1, Offset: 1}}
	switch {
	case st.NeedsPrimary() && !leads:
		a.Code = operation.ReadOnly
	case st.Kind == operation.Begin:
		c.state = operation.Open
	case st.Kind == operation.Commit || st.Kind == operation.Rollback:
		c.state = operation.Idle
	}
	a.State = c.state
	return a
}

func (c *siteConn) Close() {}
