package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/forward"
	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/placement"
)

// The credits of a client account are kept by one entry VM of each availability zone, its credit keeper. The sessions of
// an account are spread over all entry VMs: with hundreds of them each serves an account once in some seconds, and a
// stock of its own would be used too rarely to be worth a credit. The keeper sees the operations of the whole zone, so
// that it has a stock, and is a fraction of a millisecond away, unlike the issuer.

const (
	// creditTimeout bounds the wait for rate credits, which may currently be leased to another VM.
	creditTimeout = 250 * time.Millisecond
	// spendTimeout bounds the wait for the answer of the keeper, which itself waits up to creditTimeout. After it the
	// issuer is asked, for what is left of creditTimeout, at least minCreditTimeout.
	spendTimeout     = creditTimeout + 50*time.Millisecond
	minCreditTimeout = 50 * time.Millisecond
	// emptyKeeperPeriod is how long a keeper without credits is not asked. One that has just started has some soon.
	emptyKeeperPeriod = 200 * time.Millisecond
	// keeperShare is the number of entry VMs of a zone for each one that keeps credits. Each entry VM is connected to
	// all keepers of its zone.
	keeperShare = 4
)

// errSuspended reports that this VM was suspended while it waited for the keeper. The credit counts in a window that may
// be over.
var errSuspended = errors.New("relay: the entry VM was suspended; the credit is given up")

// takeCredit takes a credit for an operation: of this VM, of its part of the rate while no issuer answers, of the keeper,
// or of the issuer. target is the time after which the answer is late for the caller; zero for none.
func (p *Proxy) takeCredit(ctx context.Context, arrived time.Time, a *account, target time.Time) lease.Result {
	id := lease.AccountID(a.name)
	if p.credits.TakeHeld(arrived, id, 1) || p.admitDisconnected(arrived, a) {
		return lease.Result{Verdict: lease.Admitted}
	}
	if result, known := p.spendAtKeeper(ctx, arrived, id, target); known {
		return result
	}
	now := p.options.Now()
	return p.awaitCredit(ctx, now, id, target, max(creditTimeout-now.Sub(arrived), minCreditTimeout))
}

// spendAtKeeper takes a credit of the keeper. known is false if this VM is the keeper, or if none answers.
func (p *Proxy) spendAtKeeper(ctx context.Context, now time.Time, id lease.AccountID, target time.Time) (result lease.Result, known bool) {
	address := p.creditKeeper(id).address(now, p)
	if address == "" {
		return lease.Result{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, spendTimeout)
	defer cancel()
	result, err := p.forward.Spend(ctx, address, forward.SpendRequest{
		Account: id, Limit: creditTimeout, Target: target, Disconnected: p.credits.Disconnected(now),
	})
	if err == nil && p.options.Now().Sub(now) > 2*spendTimeout {
		err = errSuspended
	}
	if err != nil {
		period := peerAvoidPeriod
		if errors.Is(err, forward.ErrNoCredits) {
			period = emptyKeeperPeriod
		}
		p.creditKeeper(id).avoid(p.options.Now(), address, period)
		log.WithError(err).WithFields(log.Fields{"event": "dependency", "dependency": "credits", "account": id, "via": address, "reached": false}).Warn("credits")
		return lease.Result{}, false
	}
	return result, true
}

// Spend implements forward.Host.
func (p *Proxy) Spend(ctx context.Context, r forward.SpendRequest) (result lease.Result, known bool) {
	now := p.options.Now()
	a := p.config.Load().accounts[string(r.Account)]
	switch {
	case p.closing(now) || a == nil:
		return lease.Result{}, false
	case !p.credits.Answered(now) && (!r.Disconnected || !p.poolsShares(now)):
		return lease.Result{}, false // an entry VM that hears from the issuer is served better there
	case p.admitDisconnected(now, a):
		return lease.Result{Verdict: lease.Admitted}, true
	}
	return p.awaitCredit(ctx, now, r.Account, r.Target, min(r.Limit, creditTimeout)), true
}

// creditKeeperVMs returns the entry VMs of a zone that keep credits. The result must not be modified.
func (p *Proxy) creditKeeperVMs(zone string, entries *[]placement.EntryVM) []placement.EntryVM {
	return p.creditVMs.of(entries, func() []placement.EntryVM {
		all := placement.Owners("credits", zone, *entries)
		return all[:(len(all)+keeperShare-1)/keeperShare]
	})
}

// creditKeeper returns the choice of the keeper for an account.
func (p *Proxy) creditKeeper(id lease.AccountID) *zoneKeeper {
	if k, ok := p.creditKeepers.Load(id); ok {
		return k.(*zoneKeeper)
	}
	k, _ := p.creditKeepers.LoadOrStore(id, newZoneKeeper("credits of "+string(id), p.creditKeeperVMs))
	return k.(*zoneKeeper)
}

// awaitCredit takes a credit that this VM holds or requests from the issuer. It waits up to limit.
func (p *Proxy) awaitCredit(ctx context.Context, now time.Time, account lease.AccountID, target time.Time, limit time.Duration) lease.Result {
	result, waiter := p.credits.TakeOrQueue(now, account, 1, target)
	if result.Verdict != lease.Wait {
		return result
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case result := <-waiter.Result:
		return result
	case <-timer.C:
	case <-ctx.Done():
	}
	return p.credits.Cancel(waiter)
}

// admitDisconnected admits an operation while no control group is reachable, within this VM's share of the
// rate.
func (p *Proxy) admitDisconnected(now time.Time, a *account) bool {
	if p.options.LeaseGrace == 0 {
		return false
	}
	if !p.credits.TakeDisconnected(now, lease.AccountID(a.name), p.disconnectedShare(a), 1) {
		return false
	}
	p.metrics.disconnected.Add(1)
	return true
}

// disconnectedShare returns the share of a client account's rate that this VM may use while no control group is
// reachable.
func (p *Proxy) disconnectedShare(a *account) lease.DisconnectedShare {
	entries := *p.entries.Load()
	index := slices.IndexFunc(entries, func(e placement.EntryVM) bool { return e.ID == p.options.Process })
	return lease.NewDisconnectedShare(lease.AccountID(a.name), a.rate, index, len(entries))
}

// serveDisconnected admits waiting operations within this VM's shares of the rates.
func (p *Proxy) serveDisconnected(now time.Time) {
	if p.options.LeaseGrace == 0 {
		return
	}
	t := p.config.Load()
	p.credits.ServeDisconnected(now, func(name lease.AccountID) lease.DisconnectedShare {
		if a := t.accounts[string(name)]; a != nil {
			return p.disconnectedShare(a)
		}
		return lease.DisconnectedShare{}
	})
}
