package proxy

import (
	"context"
	"time"

	"github.com/apex/log"

	"fireflyrudder.example/fireflyrudder/internal/forward"
	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/placement"
	"fireflyrudder.example/fireflyrudder/internal/spread"
)

// While no issuer answers, each entry VM may admit an equal part of every rate. With hundreds of VMs such a part is a credit in
// many seconds, and the operations do not arrive where the credits are. So the VMs of an availability zone hand over what
// they accrue to the credit keepers of the zone, which serve the operations of all of them. Credits that are lost on the way
// admit nothing, so the parts never exceed the rate.

const (
	// handOverInterval is the time between two hand-overs. All credits of a keeper take one message.
	handOverInterval = 500 * time.Millisecond
	// handOverTimeout bounds one message.
	handOverTimeout = 400 * time.Millisecond
	// noPoolPeriod is how long nothing is handed over to a keeper that did not take credits. What this VM accrues then serves
	// its own callers.
	noPoolPeriod = 2 * time.Second
)

// sharePool hands over the parts of the rates of this VM. It is used by the event loop only.
//
// Invariant: a credit is either spent here or handed over, never both.
type sharePool struct {
	due     time.Time            // of the next hand-over; zero while an issuer answers
	refused map[string]time.Time // end of noPoolPeriod, by address of a keeper
}

// poolsShares reports whether this VM serves others from its pool.
func (p *Proxy) poolsShares(now time.Time) bool {
	return p.options.LeaseGrace > 0 && p.credits.Disconnected(now)
}

// handOverShares gives what this VM has accrued to the credit keepers of its zone.
func (p *Proxy) handOverShares(now time.Time) {
	s := &p.shares
	switch {
	case !p.poolsShares(now):
		s.due = time.Time{}
		return
	case s.due.IsZero():
		// The VMs of a zone hand over one after the other, so that a pool fills evenly. The first interval is left out: most
		// silences of an issuer are elections, which the keeper may have survived.
		s.due = now.Add(handOverInterval + time.Duration(spread.Fraction(p.options.Process)*float64(handOverInterval)))
		return
	case now.Before(s.due):
		return
	}
	s.due = now.Add(handOverInterval)
	for address, credits := range p.collectShares(now) {
		go p.handOver(address, credits)
	}
}

// collectShares returns the credits to hand over, by address of their keeper.
func (p *Proxy) collectShares(now time.Time) map[string][]forward.PooledCredit {
	collected := map[string][]forward.PooledCredit{}
	for name, a := range p.config.Load().accounts {
		id := lease.AccountID(name)
		address := p.creditKeeper(id).address(now, p)
		if address == "" || now.Before(p.shares.refused[address]) {
			continue
		}
		if amount := p.credits.HandOver(now, id, p.disconnectedShare(a)); amount > 0 {
			collected[address] = append(collected[address], forward.PooledCredit{Account: id, Amount: amount})
		}
	}
	return collected
}

// handOver sends credits to the keeper at an address.
func (p *Proxy) handOver(address string, credits []forward.PooledCredit) {
	ctx, cancel := context.WithTimeout(p.ctx, handOverTimeout)
	defer cancel()
	pooled, err := p.forward.HandOver(ctx, address, credits)
	if err == nil && pooled {
		p.metrics.handedOver.Add(int64(len(credits)))
		return
	}
	fields := log.Fields{"event": "dependency", "dependency": "pool", "via": address, "reached": err == nil, "accounts": len(credits)}
	if err != nil {
		fields["error"] = err.Error()
	}
	log.WithFields(fields).Warn("credits were not pooled")
	p.post(func(now time.Time) { p.shares.refused[address] = now.Add(noPoolPeriod) })
}

// PoolCredits implements forward.Host.
func (p *Proxy) PoolCredits(credits []forward.PooledCredit) bool {
	now := p.options.Now()
	if !p.poolsShares(now) || p.closing(now) {
		return false
	}
	t := p.config.Load()
	part := zonePart(p.options.Node.Zone, *p.entries.Load())
	for _, c := range credits {
		if a := t.accounts[string(c.Account)]; a != nil {
			p.credits.Pool(now, c.Account, p.disconnectedShare(a), a.rate*part, c.Amount)
		}
	}
	p.serveDisconnected(now)
	return true
}

// zonePart returns the part of the entry VMs that are in an availability zone, between 0 and 1.
func zonePart(zone string, entries []placement.EntryVM) float64 {
	count := 0
	for _, e := range entries {
		if e.Zone == zone {
			count++
		}
	}
	return float64(count) / float64(max(len(entries), 1))
}
