package entryvm

import (
	"sync"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/retry"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// credits shares the lease holder between traffic goroutines and the control connection.
type credits struct {
	mu      sync.Mutex
	holder  *lease.Holder
	granted chan struct{} // closed and replaced by each grant
	settled time.Time     // latest reply of an issuer that knows what all entry VMs hold
	wake    func()        // has a Renew sent now
}

func newCredits(wake func()) *credits {
	return &credits{holder: lease.NewHolder(), granted: make(chan struct{}), wake: wake}
}

// take spends credits. The channel closes at the next grant.
func (c *credits) take(now time.Time, account lease.AccountID, cost float64) (lease.Result, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.holder.Next()
	result := c.holder.Take(now, account, cost)
	if c.holder.Next().Before(before) {
		c.wake()
	}
	return result, c.granted
}

// ask fills a request to the control group.
func (c *credits) ask(now time.Time, r *wire.RenewRequest, usages []lease.Usage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Demands = c.holder.Demands(now)
	r.Needs = c.holder.Needs(now, usages)
}

// grant takes over a reply.
func (c *credits) grant(sent, now time.Time, reply *wire.RenewReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder.Grant(sent, now, reply)
	if !reply.GetSettling() {
		c.settled = now
	}
	close(c.granted)
	c.granted = make(chan struct{})
}

// settledAfter reports whether an issuer that knows all holders has answered since the given time.
func (c *credits) settledAfter(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settled.After(t)
}

// next returns when the next Renew is due.
func (c *credits) next() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.Next()
}

// connections returns the budget for a server that is held now.
func (c *credits) connections(now time.Time, server lease.ServerID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.Connections(now, server)
}

// retries shares the retry budget between traffic goroutines.
type retries struct {
	mu     sync.Mutex
	budget *retry.Budget
}

// request counts one request, which earns the budget's share.
func (r *retries) request() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Request()
}

// next returns the pause before the next try, or false if there is none.
func (r *retries) next(now time.Time, a retry.Attempt) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Next(now, a)
}
