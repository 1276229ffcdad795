package renewal

import (
	"sync"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Credits shares a lease holder between the goroutines that serve traffic and a Client. It is safe for
// concurrent use.
type Credits struct {
	mu               sync.Mutex
	holder           *lease.Holder
	queue            *lease.WaitQueue
	waiters          map[*lease.Waiter]*Waiter
	granted          chan struct{} // closed and replaced by each reply of a leader
	settledAt        time.Time     // latest reply of an issuer that has records of the leases of all entry VMs
	recheckNextRenew func()
}

// Waiter is the queue entry of an operation that waits for credits.
type Waiter struct {
	Result chan lease.Result // receives the result once
	waiter *lease.Waiter
}

// NewCredits returns Credits without any credit. recheckNextRenew is called when the next Renew becomes due
// earlier than before; it must not block.
func NewCredits(recheckNextRenew func()) *Credits {
	return &Credits{
		holder: lease.NewHolder(), queue: lease.NewWaitQueue(), waiters: map[*lease.Waiter]*Waiter{}, granted: make(chan struct{}), recheckNextRenew: recheckNextRenew,
	}
}

// Take spends credits. The returned channel closes when the next grant arrives.
func (c *Credits) Take(now time.Time, account lease.AccountID, cost float64) (lease.Result, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.take(now, account, cost), c.granted
}

// take spends credits. The caller holds the lock.
func (c *Credits) take(now time.Time, account lease.AccountID, cost float64) lease.Result {
	before := c.holder.Next()
	result := c.holder.Take(now, account, cost)
	if c.holder.Next().Before(before) {
		c.recheckNextRenew()
	}
	return result
}

// TakeHeld spends credits that this VM holds. It requests none.
func (c *Credits) TakeHeld(now time.Time, account lease.AccountID, cost float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.holder.Next()
	taken := c.holder.TakeHeld(now, account, cost)
	if c.holder.Next().Before(before) {
		c.recheckNextRenew()
	}
	return taken
}

// Answered reports whether an issuer has answered of late.
func (c *Credits) Answered(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.Answered(now)
}

// TakeOrQueue spends credits like Take. An operation that must wait is added to the queue until it receives a
// result or calls Cancel. late is the time after which its answer is late for its caller; zero for never.
func (c *Credits) TakeOrQueue(now time.Time, account lease.AccountID, cost float64, late time.Time) (lease.Result, *Waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := c.take(now, account, cost)
	if result.Verdict != lease.Wait {
		return result, nil
	}
	w := &Waiter{Result: make(chan lease.Result, 1), waiter: &lease.Waiter{Account: account, Cost: cost, Target: late}}
	c.queue.Add(w.waiter)
	c.waiters[w.waiter] = w
	return result, w
}

// Cancel removes a waiter from the queue. It returns Wait, or the result if one was delivered before.
func (c *Credits) Cancel(w *Waiter) lease.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.queue.Remove(w.waiter) {
		return <-w.Result
	}
	delete(c.waiters, w.waiter)
	return lease.Result{Verdict: lease.Wait}
}

// serveWaiters delivers results to the waiters that get credits from take. The caller holds the lock.
func (c *Credits) serveWaiters(now time.Time, take func(account lease.AccountID, cost float64) lease.Result) {
	for _, s := range c.queue.Resolve(now, take) {
		c.waiters[s.Waiter].Result <- s.Result
		delete(c.waiters, s.Waiter)
	}
}

// ServeDisconnected admits waiters within the share of the rates that this VM may use while no issuer
// answers. Call it often, because such a share accumulates only about one credit.
func (c *Credits) ServeDisconnected(now time.Time, share func(account lease.AccountID) lease.DisconnectedShare) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.holder.Disconnected(now) {
		return
	}
	c.serveWaiters(now, func(account lease.AccountID, cost float64) lease.Result {
		if c.holder.TakeDisconnected(now, account, share(account), cost) {
			return lease.Result{Verdict: lease.Admitted}
		}
		return lease.Result{Verdict: lease.Wait}
	})
}

// TakeDisconnected spends from the share of a rate that this VM may use while no issuer answers.
func (c *Credits) TakeDisconnected(now time.Time, account lease.AccountID, share lease.DisconnectedShare, cost float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.TakeDisconnected(now, account, share, cost)
}

// Disconnected reports whether no issuer has answered for so long that this VM admits operations on its own.
func (c *Credits) Disconnected(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.Disconnected(now)
}

// HandOver gives up what this VM's share of a rate has accrued since the last call and returns it.
func (c *Credits) HandOver(now time.Time, account lease.AccountID, share lease.DisconnectedShare) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.HandOver(now, account, share)
}

// Pool adds credits that another VM handed over. See lease.Holder.
func (c *Credits) Pool(now time.Time, account lease.AccountID, share lease.DisconnectedShare, rate, amount float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.Pool(now, account, share, rate, amount)
}

// fillRequest sets the demands and needs of a request.
func (c *Credits) fillRequest(now time.Time, r *wire.RenewRequest, usages []lease.Usage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Demands = c.holder.Demands(now)
	r.Needs = c.holder.Needs(now, usages)
}

// applyReply stores the grants of a reply and serves the waiters.
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

// SettledAfter reports whether an issuer that has records of the leases of all entry VMs has answered since
// the given time.
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

// Connections returns the current connection budget for a backend server.
func (c *Credits) Connections(now time.Time, server lease.ServerID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.Connections(now, server)
}
