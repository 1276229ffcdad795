package renewal

import (
	"sync"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Credits shares a lease holder between the goroutines of traffic and a Client. It is safe for
// concurrent use.
type Credits struct {
	mu               sync.Mutex
	holder           *lease.Holder
	queue            *lease.WaitQueue
	waiters          map[*lease.Waiter]*Waiter
	granted          chan struct{} // closed and replaced by each grant
	settledAt        time.Time     // latest reply of an issuer that knows what all entry VMs hold
	recheckNextRenew func()        // has the time of the next Renew looked at again
}

// Waiter is the place of an operation that waits for credits.
type Waiter struct {
	Result chan lease.Result // receives the answer
	waiter *lease.Waiter
}

// NewCredits returns Credits that hold nothing. recheck is called when a Renew is due earlier than
// Next said before; it must not block.
func NewCredits(recheckNextRenew func()) *Credits {
	return &Credits{
		holder: lease.NewHolder(), queue: lease.NewWaitQueue(), waiters: map[*lease.Waiter]*Waiter{}, granted: make(chan struct{}), recheckNextRenew: recheckNextRenew,
	}
}

// Take spends credits. The channel closes at the next grant.
func (c *Credits) Take(now time.Time, account lease.AccountID, cost float64) (lease.Result, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.take(now, account, cost), c.granted
}

// take spends credits. The lock is held.
func (c *Credits) take(now time.Time, account lease.AccountID, cost float64) lease.Result {
	before := c.holder.Next()
	result := c.holder.Take(now, account, cost)
	if c.holder.Next().Before(before) {
		c.recheckNextRenew()
	}
	return result
}

// TakeOrQueue spends credits as Take does. An operation that must wait gets a place in the line, which it
// leaves by an answer or by Quit. Late is when its answer is late for its caller; zero for never.
func (c *Credits) TakeOrQueue(now time.Time, account lease.AccountID, cost float64, late time.Time) (lease.Result, *Waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := c.take(now, account, cost)
	if result.Verdict != lease.Wait {
		return result, nil
	}
	p := &Waiter{Result: make(chan lease.Result, 1), waiter: &lease.Waiter{Account: account, Cost: cost, Target: late}}
	c.queue.Add(p.waiter)
	c.waiters[p.waiter] = p
	return result, p
}

// Cancel gives up a place. The result is Wait, or the answer that came before.
func (c *Credits) Cancel(p *Waiter) lease.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.queue.Remove(p.waiter) {
		return <-p.Result
	}
	delete(c.waiters, p.waiter)
	return lease.Result{Verdict: lease.Wait}
}

// serveWaiters answers who waits in the line and gets credits. The lock is held.
func (c *Credits) serveWaiters(now time.Time, take func(account lease.AccountID, cost float64) lease.Result) {
	for _, s := range c.queue.Resolve(now, take) {
		c.waiters[s.Waiter].Result <- s.Result
		delete(c.waiters, s.Waiter)
	}
}

// ServeDisconnected answers who waits in the line, from the parts of the rates that are left to this VM while no
// issuer answers. It is due often: such a part holds about one credit.
func (c *Credits) ServeDisconnected(now time.Time, part func(account lease.AccountID) float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.holder.Disconnected(now) {
		return
	}
	c.serveWaiters(now, func(account lease.AccountID, cost float64) lease.Result {
		if c.holder.TakeDisconnected(now, account, part(account), cost) {
			return lease.Result{Verdict: lease.Admitted}
		}
		return lease.Result{Verdict: lease.Wait}
	})
}

// TakeDisconnected spends from the part of a rate that is left to this VM while no issuer answers.
func (c *Credits) TakeDisconnected(now time.Time, account lease.AccountID, rate, cost float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.TakeDisconnected(now, account, rate, cost)
}

// fillRequest fills a request to the control group.
func (c *Credits) fillRequest(now time.Time, r *wire.RenewRequest, usages []lease.Usage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Demands = c.holder.Demands(now)
	r.Needs = c.holder.Needs(now, usages)
}

// applyReply takes over a reply.
func (c *Credits) applyReply(sent, now time.Time, reply *wire.RenewReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder.Grant(sent, now, reply)
	if !reply.GetSettling() {
		c.settledAt = now
	}
	c.serveWaiters(now, func(account lease.AccountID, cost float64) lease.Result { return c.take(now, account, cost) })
	close(c.granted)
	c.granted = make(chan struct{})
}

// SettledAfter reports whether an issuer that knows all holders has answered since the given time.
func (c *Credits) SettledAfter(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settledAt.After(t)
}

// next returns when the next Renew is due.
func (c *Credits) next() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.Next()
}

// Connections returns the budget for a server that is held now.
func (c *Credits) Connections(now time.Time, server lease.ServerID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.Connections(now, server)
}
