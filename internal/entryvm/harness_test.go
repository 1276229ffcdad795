package entryvm_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/backend"
	"fireflyrudder.example/fireflyrudder/internal/caller"
	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/entryvm"
	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/session"
	"fireflyrudder.example/fireflyrudder/internal/settings"
	"fireflyrudder.example/fireflyrudder/internal/standin"
	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// controlGroup serves entry VMs from a real control state and a real lease issuer, without a replicated log.
type controlGroup struct {
	wire.UnimplementedControlServer
	mu          sync.Mutex
	state       *controlstate.State
	issuer      *lease.Issuer
	index       uint64
	watchers    map[chan struct{}]bool
	unavailable bool            // Renew fails
	evacuated   map[string]bool // servers that updates mark as evacuated
	departed    []string
	updateDelay atomic.Int64 // delay of updates to entry VMs, in nanoseconds
	address     string
}

func startControl(t testing.TB) *controlGroup {
	t.Helper()
	c := &controlGroup{state: controlstate.New(), watchers: map[chan struct{}]bool{}}
	c.issuer = lease.NewIssuer(time.Now(), c.state.Configuration(), nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c.address = l.Addr().String()
	server := grpc.NewServer()
	wire.RegisterControlServer(server, c)
	go server.Serve(l)
	t.Cleanup(server.Stop)
	return c
}

// apply applies an entry as the control log would.
func (c *controlGroup) apply(t testing.TB, e *wire.Entry) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index++
	if d := c.state.Apply(c.index, e); d != nil {
		require.Equal(t, wire.Verdict_VERDICT_ACCEPTED, d.Verdict, d.Remedy)
	}
	c.issuer.Configure(time.Now(), c.state.Configuration(), c.state.Views())
	for w := range c.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// change applies edits to the current version.
func (c *controlGroup) change(t testing.TB, edits ...*wire.Edit) {
	t.Helper()
	c.mu.Lock()
	change := &wire.Change{Id: fmt.Sprint("change-", c.index), Base: c.state.Version(), Operator: "test", Edits: edits}
	c.mu.Unlock()
	c.apply(t, &wire.Entry{Entry: &wire.Entry_Change{Change: change}})
}

func (c *controlGroup) setUnavailable(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unavailable = on
}

func (c *controlGroup) departedEntries() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.departed
}

func (c *controlGroup) Renew(_ context.Context, r *wire.RenewRequest) (*wire.RenewReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unavailable {
		return nil, fmt.Errorf("silent")
	}
	if r.Leaving {
		c.departed = append(c.departed, r.Registration.Entry)
	}
	for _, end := range c.issuer.Expire(time.Now()) {
		c.issuer.Terminated(end.Entry, end.Server) // the control VM calls group_terminate first
	}
	credits, budgets := c.issuer.Renew(time.Now(), r)
	return &wire.RenewReply{
		Leader: true, Version: c.state.Version(), Sequence: r.Sequence, Lease: 2500, Expiry: 2000, Credits: credits, Budgets: budgets,
	}, nil
}

func (c *controlGroup) Watch(r *wire.WatchRequest, stream grpc.ServerStreamingServer[wire.Update]) error {
	wake := make(chan struct{}, 1)
	c.mu.Lock()
	c.watchers[wake] = true
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.watchers, wake)
		c.mu.Unlock()
	}()
	version, index := r.Version, r.Index
	for {
		time.Sleep(time.Duration(c.updateDelay.Load()))
		c.mu.Lock()
		u, ok := c.state.UpdateSince(version, index, r.Groups)
		if !ok {
			u = c.state.FullUpdate(r.Groups)
		}
		u = proto.CloneOf(u)
		for _, v := range u.GetViews() {
			for _, m := range v.GetMembers() {
				m.Evacuated = m.Evacuated || c.evacuated[m.GetServer()]
			}
		}
		c.mu.Unlock()
		if err := stream.Send(u); err != nil {
			return err
		}
		version, index = u.Version, u.Index
		select {
		case <-wake:
		case <-stream.Context().Done():
			return nil
		}
	}
}

// cluster is a control group with one database group of simulated backend servers and any number of entry VMs.
type cluster struct {
	t       testing.TB
	control *controlGroup
	servers []*standin.Server
	term    uint64
}

const (
	testKey    = "secret of the account"
	testGroup  = "class"
	testRoute  = "enroll"
	testSigner = "0123456789abcdef0123456789abcdef"
)

func newCluster(t testing.TB, servers int, change func(i int, c *standin.Config)) *cluster {
	t.Helper()
	cl := &cluster{t: t, control: startControl(t)}
	verifier, err := caller.NewVerifier(testKey, "salt of the test", 4096)
	require.NoError(t, err)
	keys := []*wire.Key{{Name: "main", Verifier: verifier}, {Name: "second", Verifier: verifier}}
	cl.control.change(t,
		&wire.Edit{Edit: &wire.Edit_PutGroup{PutGroup: &wire.Group{Name: testGroup, Members: uint32(servers), Slots: 3, Connections: 24}}},
		&wire.Edit{Edit: &wire.Edit_PutAccount{PutAccount: &wire.Account{Name: "tide", Rate: 1e6, Burst: 1e6, Keys: keys}}},
		&wire.Edit{Edit: &wire.Edit_PutAccount{PutAccount: &wire.Account{Name: "slow", Rate: 1, Burst: 2, Keys: keys}}},
		&wire.Edit{Edit: &wire.Edit_PutRoute{PutRoute: &wire.Route{Name: testRoute, Group: testGroup, Database: "db", Accounts: []string{"tide", "slow"}, Age: 10_000}}},
		&wire.Edit{Edit: &wire.Edit_PutRoute{PutRoute: &wire.Route{Name: "current", Group: testGroup, Database: "db", Accounts: []string{"tide"}}}},
		&wire.Edit{Edit: &wire.Edit_PutRoute{PutRoute: &wire.Route{Name: "open", Group: testGroup, Database: "db", Open: true, Age: 10_000}}},
	)
	for i := range servers {
		c := standin.Config{Server: string(rune('a' + i)), Group: testGroup, Zone: "zone-a", Listen: "127.0.0.1:0", Slots: 3, Connections: 24, User: "system"}
		if change != nil {
			change(i, &c)
		}
		s, err := standin.Start(context.Background(), c)
		require.NoError(t, err)
		t.Cleanup(s.Close)
		cl.servers = append(cl.servers, s)
		member := &wire.Member{Server: c.Server, Address: s.Address(), Zone: c.Zone}
		cl.control.apply(t, &wire.Entry{Entry: &wire.Entry_Admit{Admit: &wire.Admit{Group: testGroup, Member: member}}})
	}
	cl.promote(0)
	return cl
}

// promote makes a server the primary of the next term. Like the control group it promotes no server that lacks a
// record which another server has.
func (cl *cluster) promote(primary int) {
	cl.t.Helper()
	require.Eventually(cl.t, func() bool {
		for _, s := range cl.servers {
			if s.Status().Offset > cl.servers[primary].Status().Offset {
				return false
			}
		}
		return true
	}, 5*time.Second, time.Millisecond, "the successor gets the log")
	cl.raiseTerm()
	cl.finishFailover(primary, nil)
}

// raiseTerm raises the term of the group in the control state.
func (cl *cluster) raiseTerm() {
	cl.t.Helper()
	cl.term++
	cl.control.apply(cl.t, &wire.Entry{Entry: &wire.Entry_Raise{Raise: &wire.RaiseTerm{Group: testGroup, Term: cl.term, Phase: wire.Phase_PHASE_RAISING}}})
}

// finishFailover fences the servers, promotes one and makes the others follow it, except those in except.
func (cl *cluster) finishFailover(primary int, except map[int]bool) {
	cl.t.Helper()
	for i, s := range cl.servers {
		if !except[i] {
			_, err := s.Fence(position.Term(cl.term))
			require.NoError(cl.t, err)
		}
	}
	status, err := cl.servers[primary].Promote(position.Term(cl.term))
	require.NoError(cl.t, err)
	cl.control.apply(cl.t, &wire.Entry{Entry: &wire.Entry_Promoted{Promoted: &wire.Promoted{
		Group: testGroup, Term: cl.term, Server: string(rune('a' + primary)), Offset: uint64(status.Offset)}}})
	for i, s := range cl.servers {
		if i != primary && !except[i] {
			_, err := s.Follow(context.Background(), position.Term(cl.term), cl.servers[primary].Address())
			require.NoError(cl.t, err)
		}
	}
}

// entry is a running entry VM.
type entry struct {
	*entryvm.VM
	stop  context.CancelFunc
	ended chan struct{}
}

func (cl *cluster) startEntry(change func(*entryvm.Options)) *entry {
	cl.t.Helper()
	signer, err := session.NewSigner([]byte(testSigner))
	require.NoError(cl.t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(cl.t, err)
	o := entryvm.Options{
		Node:        settings.Node{Name: "entry", Zone: "zone-a"},
		Entry:       &settings.Entry{Controls: []string{cl.control.address}, Drain: 5 * time.Second, Wait: 5 * time.Second},
		Credentials: backend.Credentials{User: "system"},
		Signer:      signer,
		Listener:    l,
		Dial:        dialControl,
	}
	if change != nil {
		change(&o)
	}
	vm, err := entryvm.New(o)
	require.NoError(cl.t, err)
	ctx, stop := context.WithCancel(context.Background())
	e := &entry{VM: vm, stop: stop, ended: make(chan struct{})}
	go func() {
		defer close(e.ended)
		vm.Run(ctx)
	}()
	cl.t.Cleanup(func() {
		stop()
		<-e.ended
	})
	require.Eventually(cl.t, func() bool { return vm.Ready(ctx) == nil }, 10*time.Second, 5*time.Millisecond)
	return e
}

func dialControl(address string) (wire.ControlClient, io.Closer, error) {
	c, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, nil, err
	}
	return wire.NewControlClient(c), c, nil
}

func (e *entry) dial(ctx context.Context, user, password, route string, change func(*pgx.ConnConfig)) (*pgx.Conn, error) {
	c, err := pgx.ParseConfig("postgres://" + e.Address() + "/?sslmode=disable")
	if err != nil {
		return nil, err
	}
	c.User, c.Password, c.Database = user, password, route
	if change != nil {
		change(c)
	}
	return pgx.ConnectConfig(ctx, c)
}

// connect opens a connection of the account tide.
func (e *entry) connect(t testing.TB, change func(*pgx.ConnConfig)) *pgx.Conn {
	t.Helper()
	c, err := e.dial(context.Background(), "tide", testKey, testRoute, change)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}
