package proxy_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/proxy"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// creditIssuer is a control group that only issues credits. It records who requests them.
type creditIssuer struct {
	wire.ControlClient
	mu         sync.Mutex
	issuer     *lease.Issuer
	requesters map[string]bool
	silent     bool
}

var creditAccount = &wire.Account{Name: "a", Rate: 40, Burst: 40}

func newCreditIssuer() *creditIssuer {
	c := &wire.Configuration{Accounts: []*wire.Account{creditAccount}}
	i := &creditIssuer{issuer: lease.NewIssuer(time.Now(), &wire.Configuration{}, nil), requesters: map[string]bool{}}
	i.issuer.SetTolerance(lease.Tolerance{Window: 5 * time.Second, Overrun: 0.1, Slack: 20, MaxDisconnected: 12 * time.Second})
	i.issuer.Configure(time.Now(), c, nil)
	return i
}

func (i *creditIssuer) Renew(_ context.Context, r *wire.RenewRequest, _ ...grpc.CallOption) (*wire.RenewReply, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.silent {
		return nil, context.DeadlineExceeded
	}
	for _, d := range r.GetDemands() {
		if d.GetWant() > 0 {
			i.requesters[r.GetRegistration().GetEntry()] = true
		}
	}
	credits, budgets := i.issuer.Renew(time.Now(), r)
	return &wire.RenewReply{Leader: true, Sequence: r.GetSequence(), Credits: credits, Budgets: budgets, Lease: 2500, Term: 1, Members: 1}, nil
}

func (i *creditIssuer) Watch(ctx context.Context, _ *wire.WatchRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[wire.Update], error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// startCreditZone starts the entry VMs of one zone with an issuer.
func startCreditZone(t *testing.T, count int) ([]*proxy.ZoneVM, *creditIssuer) {
	issuer := newCreditIssuer()
	vms := startZoneWith(t, &primary{}, count, issuer)
	for _, vm := range vms {
		vm.Disconnectable()
		vm.Renew(t.Context(), creditAccount)
	}
	for _, vm := range vms {
		vm.AwaitCreditKeepers("a")
	}
	return vms, issuer
}

// TestCreditsOfAZoneAreShared guards against operations that each wait for the issuer because the sessions of a client
// account are spread over more entry VMs than it has operations in a second.
func TestCreditsOfAZoneAreShared(t *testing.T) {
	vms, issuer := startCreditZone(t, 12)
	for _, vm := range vms {
		require.True(t, vm.Admit(t.Context(), "a"))
	}
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	require.Len(t, issuer.requesters, 1, "one entry VM requests credits for all")
}

// TestCreditsDoNotNeedTheKeeper guards against operations that are refused while the entry VM that keeps the credits does
// not answer.
func TestCreditsDoNotNeedTheKeeper(t *testing.T) {
	vms, _ := startCreditZone(t, 4)
	for _, vm := range vms {
		if vm.KeepsCredits("a") {
			vm.Silence()
		}
	}
	for _, vm := range vms {
		require.True(t, vm.Admit(t.Context(), "a"))
	}
}

// TestSharesOfAZoneArePooled guards against operations within the rate of an account that are refused while no issuer answers,
// because its sessions meet at one of many entry VMs and each may admit an equal part of the rate only.
func TestSharesOfAZoneArePooled(t *testing.T) {
	const (
		period = 5 * time.Second
		// one VM alone admits a twelfth of the rate in the period, which is 17 operations, and what it held before
		least = 40
	)
	vms, issuer := startCreditZone(t, 12)
	issuer.mu.Lock()
	issuer.silent = true
	issuer.mu.Unlock()
	i := slices.IndexFunc(vms, func(vm *proxy.ZoneVM) bool { return !vm.KeepsCredits("a") })
	admitted := 0
	for end := time.Now().Add(period); admitted < least && time.Now().Before(end); {
		if vms[i].Admit(t.Context(), "a") {
			admitted++
		}
	}
	require.Equal(t, least, admitted)
}
