package proxy

import (
	"context"
	"io"
	"sync"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/renewal"
	"fireflyrudder.example/fireflyrudder/internal/settings"
	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// Arrival is a statement or a new connection that arrived at an instance.
type Arrival struct {
	Server string
	At     time.Time
	Text   string
	After  position.Position // that a read must see
}

// Simulated is one entry VM with simulated time and instances that answer at once. Its group is "g", and its routes are open.
type Simulated struct {
	Now      time.Time
	Arrivals []Arrival
	Logs     map[string]position.Position // ends of the logs by server; writes extend those that are named
	Update   *wire.Update                 // the next one; Apply applies it

	mu    sync.Mutex
	proxy *Proxy
}

// NewSimulated returns a Simulated in the availability zone "zone". The entry VM is alone in it.
func NewSimulated(regions map[string]string, c *wire.Configuration, members ...*wire.Member) *Simulated {
	s := &Simulated{Now: time.Unix(1000, 0), Logs: map[string]position.Position{}}
	s.proxy = New(Options{
		Node: settings.Node{Zone: "zone"}, Process: "self", Now: s.now, Server: s.dial, LeaseGrace: time.Hour, ColdOverrun: 1.5, ColdSlack: 5, LeaveLimit: 6 * time.Second,
		Controls: func() []string { return nil }, Regions: regions,
		Dial: func(string) (wire.ControlClient, io.Closer, error) { return nil, nil, io.EOF },
	})
	s.Update = &wire.Update{
		Index: 1, Version: 1, Full: c, Entered: 1,
		Entries: []*wire.Registration{{Entry: "e", Process: "self", Forward: "127.0.0.1:1", Zone: "zone"}},
		Views:   []*wire.View{{Group: "g", Term: 1, Primary: members[0].GetServer(), Members: members, Revision: 1}},
	}
	c.Version = 1
	s.Apply()
	s.Renew()
	return s
}

func (s *Simulated) now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Now
}

// Advance lets time pass, with the periodic work of the event loop.
func (s *Simulated) Advance(d time.Duration) {
	s.mu.Lock()
	s.Now = s.Now.Add(d)
	s.mu.Unlock()
	s.proxy.updateConnectionLimits(s.now())
}

// Apply applies the update and prepares the next one, with changed views.
func (s *Simulated) Apply() {
	s.proxy.applyUpdate(s.now(), s.Update)
	s.Update.Full, s.Update.Entries = nil, nil
	s.Update.Index++
	v := s.Update.Views[0]
	s.Update.Views = []*wire.View{{Group: "g", Term: 1, Primary: v.Primary, Members: v.Members, Revision: v.Revision + 1}}
}

// Renew grants a configuration lease of 2.5 s.
func (s *Simulated) Renew() {
	s.proxy.leaseGranted(s.now(), renewal.ConfigLease{Version: 1, Until: s.now().Add(2500 * time.Millisecond)})
}

// Contact records an answer of the control group.
func (s *Simulated) Contact() { s.proxy.contact.renewed(s.now()) }

// Session opens a session on a route.
func (s *Simulated) Session(route, key string) *Session {
	session, _ := s.proxy.Open(context.Background(), Caller{Route: route, Key: key, Interrupt: func() {}, Close: func() {}})
	return session
}

// Since returns the arrivals at an instance since a time.
func (s *Simulated) Since(server string, from time.Time) []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Arrival
	for _, a := range s.Arrivals {
		if a.Server == server && !a.At.Before(from) {
			out = append(out, a)
		}
	}
	return out
}

// Settle waits until the rollbacks that run in the background have arrived.
func (s *Simulated) Settle() {
	for s.proxy.connectionsUsed() {
		time.Sleep(10 * time.Microsecond)
	}
}

// arrive records an arrival at an instance and returns the end of its log.
func (s *Simulated) arrive(server string, st operation.Statement) position.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Arrivals = append(s.Arrivals, Arrival{server, s.Now, st.Text, st.After})
	at, ok := s.Logs[server]
	if !ok {
		return position.Position{Term: 1, Offset: 1}
	}
	if st.Kind == operation.Write {
		at.Offset++
		s.Logs[server] = at
	}
	return at
}

func (s *Simulated) dial(_ context.Context, t connpool.Target) (connpool.Conn, error) {
	s.arrive(t.Server, operation.Statement{Text: "connect"})
	return &simulatedConn{s: s, server: t.Server}, nil
}

// simulatedConn is a connection to a simulated instance.
type simulatedConn struct {
	s      *Simulated
	server string
	state  operation.State
}

// Exchange implements connpool.Conn.
func (c *simulatedConn) Exchange(_ time.Duration, statements ...operation.Statement) ([]operation.Answer, error) {
	answers := make([]operation.Answer, 0, len(statements))
	for _, st := range statements {
		at := c.s.arrive(c.server, st)
		switch st.Kind {
		case operation.Begin:
			c.state = operation.Open
		case operation.Commit, operation.Rollback:
			c.state = operation.Idle
		}
		a := operation.Answer{Code: operation.Done, State: c.state, At: at}
		if at.Less(st.After) {
			a.Code = operation.Lagging
		}
		answers = append(answers, a)
	}
	return answers, nil
}

// Close implements connpool.Conn.
func (c *simulatedConn) Close() {}
