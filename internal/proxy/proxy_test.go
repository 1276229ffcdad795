package proxy_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/proxy"
	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// TestStartingVMWaitsForViews guards against an entry VM that has just started and reports to the others that
// an instance has left. They would not use it for two seconds and open connections of their own.
func TestStartingVMWaitsForViews(t *testing.T) {
	r := proxy.New(proxy.Options{Now: time.Now, Controls: func() []string { return []string{"127.0.0.1:1"} }})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.Nil(t, r.Pool(ctx, "i"))
	require.Error(t, ctx.Err(), "Pool must wait for the first views")
}

// primary is a fake instance that leads its group. It counts its connections and transactions.
type primary struct{ opened, begun atomic.Int32 }

func (p *primary) dial(context.Context, connpool.Target) (connpool.Conn, error) {
	p.opened.Add(1)
	return p, nil
}

func (p *primary) Exchange(_ time.Duration, statements ...operation.Statement) ([]operation.Answer, error) {
	state := operation.Idle
	if statements[0].Kind == operation.Begin {
		p.begun.Add(1)
		state = operation.Open
	}
	return []operation.Answer{{Code: operation.Done, State: state, At: position.Position{Term: 1, Offset: 1}}}, nil
}

func (p *primary) Close() {}

// TestProofsDoNotGrowWithEntryVMs guards against proofs that take the connections and slots of a primary when many
// entry VMs ask for them.
func TestProofsDoNotGrowWithEntryVMs(t *testing.T) {
	p := &primary{}
	start := time.Now()
	now := func() time.Time { return start }
	pool := connpool.New(connpool.Options{Server: "i", Dial: p.dial, Now: now, Slots: 5, Connections: 41})
	var accounts []string
	for i := range 84 {
		accounts = append(accounts, fmt.Sprintf("account-%d", i))
	}
	proxy.FetchProofs(now, pool, accounts)
	require.LessOrEqual(t, p.opened.Load(), int32(1))
	require.LessOrEqual(t, p.begun.Load(), int32(2))
}

// TestNoProofWithoutClientAccount guards against a proof that is asked for between the choice of the primary and the first
// statement: an instance refuses a connection without a client account, and the owner of its connections is avoided for that.
func TestNoProofWithoutClientAccount(t *testing.T) {
	p := &primary{}
	pool := connpool.New(connpool.Options{Group: "g", Server: "i", Dial: p.dial, Now: time.Now, Slots: 3, Connections: 2})
	proxy.FetchProofs(time.Now, pool, []string{""})
	require.Zero(t, p.opened.Load())
	proxy.FetchProofs(time.Now, pool, []string{"tide"})
	require.EqualValues(t, 1, p.opened.Load())
}

// TestProofsOfAZoneAreShared guards against statements for proofs that grow with the number of entry VMs: at 300 entry
// VMs they filled the link of the one that owns the connections to a primary.
func TestProofsOfAZoneAreShared(t *testing.T) {
	p := &primary{}
	vms := startZone(t, p, 12)
	for _, vm := range vms {
		vm.AwaitKeeper()
	}
	for range 3 {
		for _, vm := range vms {
			at, ok := vm.Floor(t.Context(), 1500*time.Millisecond)
			require.True(t, ok)
			require.Equal(t, position.Position{Term: 1, Offset: 1}, at)
			vm.Refresh(time.Now())
		}
		time.Sleep(450 * time.Millisecond)
	}
	require.LessOrEqual(t, p.begun.Load(), int32(6), "one entry VM queries the primary for all")
}

// TestReadsDoNotNeedTheKeeper guards against reads that fail while the entry VM that keeps the proofs is not connected.
func TestReadsDoNotNeedTheKeeper(t *testing.T) {
	p := &primary{}
	vms := startZone(t, p, 3)
	for _, vm := range vms {
		_, ok := vm.Floor(t.Context(), time.Second)
		require.True(t, ok, "without a connection to the keeper the primary is queried")
	}
}

// TestOnlyObserversReport guards against entry VMs that report a primary as reachable although no statement of theirs
// has shown that: with proofs kept by few, they would outvote those that miss it.
func TestOnlyObserversReport(t *testing.T) {
	vms := startZone(t, &primary{}, 2)
	require.False(t, vms[0].ReportsPrimary(time.Now()))
	require.False(t, vms[1].ReportsPrimary(time.Now()))
	for _, vm := range vms {
		vm.AwaitKeeper()
		_, ok := vm.Floor(t.Context(), time.Second)
		require.True(t, ok)
	}
	now := time.Now()
	require.NotEqual(t, vms[0].ReportsPrimary(now), vms[1].ReportsPrimary(now), "the keeper has queried the primary, the other has not")
	require.False(t, vms[0].ReportsPrimary(now.Add(time.Minute)))
	require.False(t, vms[1].ReportsPrimary(now.Add(time.Minute)))
}

// TestStatementsMeetAtTheSuccessor guards against entry VMs that each open connections of their own while the owner of
// the connections to an instance does not answer: those of 300 entry VMs exceed its connection limit.
func TestStatementsMeetAtTheSuccessor(t *testing.T) {
	p := &primary{}
	vms := startZone(t, p, 12)
	for _, vm := range vms {
		vm.UseOwner()
	}
	silenceOwner(t, vms)
	for range 3 {
		for _, vm := range vms {
			if vm.OwnerRank() > 0 {
				require.NoError(t, vm.Write(t.Context()))
			}
		}
	}
	require.LessOrEqual(t, p.opened.Load(), int32(2))
}

// TestSuccessorMayOpenConnections guards against a successor that serves an instance on the two connections of a VM
// that only passes by, until the list of entry VMs no longer has the owner.
func TestSuccessorMayOpenConnections(t *testing.T) {
	vms := startZone(t, &primary{}, 4)
	want := map[int]int{0: 16, 1: 8, 2: 2, 3: 2}
	for _, vm := range vms {
		vm.UseOwner()
		require.Equal(t, want[vm.OwnerRank()], vm.ConnectionLimit(t.Context(), 32, 8))
	}
}

// TestConnectionsServeManyAccounts guards against an owner that opens a connection for most statements because it may
// keep fewer than it has client accounts: with 190 accounts and 108 of the 216 connections of an instance, half of the
// statements waited for one.
func TestConnectionsServeManyAccounts(t *testing.T) {
	for accounts, want := range map[int]int{8: 108, 120: 120, 190: 162, 1000: 162} {
		vms := startZone(t, &primary{}, 1)
		vms[0].UseOwner()
		require.Equal(t, want, vms[0].ConnectionLimit(t.Context(), 216, accounts))
	}
}

// TestOwnersAreConnectedInAdvance guards against statements that wait for a connection to the owner, which is new for most
// of them where there are hundreds of owners. Connections wait until the owners have not changed for a while.
func TestOwnersAreConnectedInAdvance(t *testing.T) {
	vms := startZone(t, &primary{}, 12)
	var owner *proxy.ZoneVM
	for _, vm := range vms {
		vm.UseOwner()
		if vm.OwnerRank() == 0 {
			owner = vm
		}
	}
	now := time.Now()
	for _, vm := range vms {
		vm.WarmUp(now)
		vm.WarmUp(now.Add(100 * time.Millisecond))
		require.False(t, vm.ConnectedTo(owner), "the owners may still change")
		for i := range 12 {
			vm.WarmUp(now.Add(time.Second + time.Duration(i)*50*time.Millisecond))
		}
	}
	for _, vm := range vms {
		if vm != owner {
			require.Eventually(t, func() bool { return vm.ConnectedTo(owner) }, 5*time.Second, time.Millisecond)
		}
	}
}

// TestOwnerOpensConnectionsInAdvance guards against statements that wait for a new connection because their client account
// has had none to the instance. Only the owner opens them, and only when the owners have not changed for a while.
func TestOwnerOpensConnectionsInAdvance(t *testing.T) {
	const accepted, accounts = 24, 8
	i := &primary{}
	var list []*wire.Account
	for n := range accounts {
		list = append(list, &wire.Account{Name: fmt.Sprint("account-", n), Rate: float64(n)})
	}
	vms := startZone(t, i, 12)
	now := time.Now()
	for _, vm := range vms {
		vm.UseOwner()
		vm.LimitConnections(accepted, accounts)
		vm.SetAccounts(list...)
		vm.OpenAhead(now)
		require.Zero(t, vm.Open(), "the owner may still change")
	}
	for _, vm := range vms {
		want := 0
		if vm.OwnerRank() == 0 {
			want = accounts
		}
		for range 2 * accounts {
			vm.OpenAhead(now.Add(time.Second))
			time.Sleep(time.Millisecond)
		}
		require.Eventually(t, func() bool { return vm.Open() == want }, 5*time.Second, time.Millisecond)
	}
}

// TestIdleVMsWakeRarely guards against hundreds of entry VMs that wake twenty times a second for nothing. The owner of
// connections, and a VM that still has connections to open, must not wait longer.
func TestIdleVMsWakeRarely(t *testing.T) {
	now := time.Now()
	for _, vm := range startZone(t, &primary{}, 12) {
		vm.UseOwner()
		vm.SetAccounts()
		require.Equal(t, 50*time.Millisecond, vm.RunPeriodic(now), "the owners are new")
		var pause time.Duration
		for i := range 20 {
			pause = vm.RunPeriodic(now.Add(time.Second + time.Duration(i)*50*time.Millisecond))
		}
		if vm.OwnerRank() == 0 {
			require.Equal(t, 50*time.Millisecond, pause)
			continue
		}
		require.Equal(t, 200*time.Millisecond, pause)
	}
}

// TestOwnershipIsComputedForChanges guards against an assignment of connections that is computed again for each view of a
// group: with hundreds of entry VMs that takes a small VM longer than a statement.
func TestOwnershipIsComputedForChanges(t *testing.T) {
	vm := startZone(t, &primary{}, 3)[0]
	for i := range 5 {
		vm.AddGroup(fmt.Sprint("group-", i))
		require.False(t, vm.KeepsOwnership(), "an instance came")
	}
	for range 10 {
		require.True(t, vm.KeepsOwnership(), "nothing has changed")
	}
}

// silenceOwner ends the server of the owner of the connections.
func silenceOwner(t *testing.T, vms []*proxy.ZoneVM) {
	for _, vm := range vms {
		if vm.OwnerRank() == 0 {
			vm.Silence()
		}
	}
}

func startZone(t *testing.T, p *primary, count int) []*proxy.ZoneVM {
	return startZoneWith(t, p, count, nil)
}

func startZoneWith(t *testing.T, p *primary, count int, control wire.ControlClient) []*proxy.ZoneVM {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	var listeners []net.Listener
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, listener)
	}
	return proxy.StartZone(ctx, listeners, p.dial, control)
}
