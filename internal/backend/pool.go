package backend

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrClosed tells that the pool takes no new work, because its server left or the process stops.
var ErrClosed = errors.New("backend: pool is closed")

// Pool keeps statement connections to one backend server. Its methods may be called from any
// goroutine. Open connections, counting those being opened, never exceed the limit unless the
// limit was lowered while they were in use; those are closed when they come back.
type Pool struct {
	credentials Credentials
	application string
	onExhausted func()

	mu      sync.Mutex
	peak    int // most connections in use or waited for since the last Wanted
	desired int // last answer of Wanted
	limit   int // leased budget without the status link
	open    int // connections in use, idle or being opened
	idle    []*Conn
	waiters []*waiter
	closed  bool
	inUse   map[*Conn]struct{}
}

// waiter is a request for a connection that could not be met at once.
type waiter struct {
	target Target
	owner  uint64
	ready  chan grant // buffered for one
}

// grant is a connection, or the permission to open one.
type grant struct {
	conn *Conn
	err  error
}

// NewPool returns an empty pool. Nothing is opened until SetLimit gives it a budget. starved is
// called when a request waits because the budget is used up; it must not block.
func NewPool(c Credentials, application string, onExhausted func()) *Pool {
	return &Pool{credentials: c, application: application, onExhausted: onExhausted, inUse: make(map[*Conn]struct{})}
}

// DesiredConnections returns the connections that the pool would use. It follows a rise at once and a fall by one
// at each call, since connections that were given back cost time to open again. One is always wanted.
func (p *Pool) DesiredConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.desired = max(p.peak, p.desired-1, 1)
	p.peak = p.demand()
	return p.desired
}

// demand counts connections in use or being opened and requests that wait. The lock is held.
func (p *Pool) demand() int {
	return p.open - len(p.idle) + len(p.waiters)
}

// SetLimit sets how many connections may be open. Idle ones above it are closed at once.
func (p *Pool) SetLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
	for p.open > p.limit && len(p.idle) > 0 {
		p.discard(p.idle[0])
		p.idle = p.idle[1:]
	}
	p.grantWaiters()
}

// Acquire returns a connection for a session. It prefers one that the session used last, then one
// without state to discard. It waits for a connection until ctx ends.
func (p *Pool) Acquire(ctx context.Context, t Target, owner uint64) (*Conn, error) {
	for {
		c, err := p.reserve(ctx, t, owner)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, t, owner)
		}
		if !c.openAndSilent() {
			c.MarkUnusable()
			p.Release(c)
			continue
		}
		if c.LastSession != owner {
			if err := c.Discard(); err != nil {
				p.Release(c)
				continue // nothing of the request was sent
			}
		}
		c.assign(owner)
		return c, nil
	}
}

// reserve returns an idle connection, or nil when the caller may open one.
func (p *Pool) reserve(ctx context.Context, t Target, owner uint64) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if len(p.waiters) == 0 {
		if g, ok := p.tryGrant(t, owner); ok {
			p.mu.Unlock()
			return g.conn, g.err
		}
	}
	w := &waiter{target: t, owner: owner, ready: make(chan grant, 1)}
	p.waiters = append(p.waiters, w)
	p.peak = max(p.peak, p.demand())
	exhausted := p.open >= p.limit && p.demand() > p.desired
	p.mu.Unlock()
	if exhausted {
		p.onExhausted()
	}
	select {
	case g := <-w.ready:
		return g.conn, g.err
	case <-ctx.Done():
		p.cancelWait(w)
		return nil, errors.Wrap(ctx.Err(), "backend: wait for a connection")
	}
}

// tryGrant finds an idle connection for the target or room to open one. The lock is held.
func (p *Pool) tryGrant(t Target, owner uint64) (grant, bool) {
	if best := p.findIdle(t, owner); best >= 0 {
		return grant{conn: p.useIdle(best)}, true
	}
	if p.open == p.limit && len(p.idle) > 0 {
		p.discard(p.idle[0]) // another database's connection makes room
		p.idle = p.idle[1:]
	}
	if p.open < p.limit {
		p.open++
		p.peak = max(p.peak, p.demand())
		return grant{}, true
	}
	return grant{}, false
}

// findIdle returns the place of the best idle connection, or -1. The lock is held.
func (p *Pool) findIdle(t Target, owner uint64) int {
	best := -1
	for i, c := range p.idle {
		if c.Target != t {
			continue
		}
		if c.LastSession == owner {
			return i
		}
		if best < 0 || (p.idle[best].HasSessionState && !c.HasSessionState) {
			best = i
		}
	}
	return best
}

// useIdle takes an idle connection into use. The lock is held.
func (p *Pool) useIdle(i int) *Conn {
	c := p.idle[i]
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
	p.inUse[c] = struct{}{}
	p.peak = max(p.peak, p.demand())
	return c
}

// grantWaiters hands out what became free. The lock is held.
func (p *Pool) grantWaiters() {
	for len(p.waiters) > 0 {
		g, ok := p.tryGrant(p.waiters[0].target, p.waiters[0].owner)
		if !ok {
			return
		}
		p.waiters[0].ready <- g
		p.waiters = p.waiters[1:]
	}
}

// cancelWait removes a waiter and gives back what it was granted meanwhile.
func (p *Pool) cancelWait(w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.waiters {
		if other == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return
		}
	}
	g := <-w.ready
	if g.err != nil {
		return
	}
	if g.conn == nil {
		p.open--
	} else {
		delete(p.inUse, g.conn)
		p.idle = append(p.idle, g.conn)
	}
	p.grantWaiters()
}

// dial opens the connection for which take made room.
func (p *Pool) dial(ctx context.Context, t Target, owner uint64) (*Conn, error) {
	c, err := Open(ctx, t, p.credentials, p.application)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.open--
		p.grantWaiters()
		return nil, err
	}
	c.LastSession = owner
	c.ResetSent()
	p.inUse[c] = struct{}{}
	return c, nil
}

// Release takes a connection back. One whose state is not known to be clean is closed, so that an
// answer that was not read never reaches another caller.
func (p *Pool) Release(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inUse, c)
	if p.closed || p.open > p.limit || !c.Reusable() {
		p.discard(c)
	} else {
		p.idle = append(p.idle, c)
	}
	p.grantWaiters()
}

// discard closes a connection that is neither idle nor in use. The lock is held.
func (p *Pool) discard(c *Conn) {
	p.open--
	c.Close()
}

// Close ends the pool. Connections in use are closed when they come back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.discard(c)
	}
	p.idle = nil
	for _, w := range p.waiters {
		w.ready <- grant{err: ErrClosed}
	}
	p.waiters = nil
}

// CloseInUse closes every connection, also those in use. It is for a primary whose term is over.
func (p *Pool) CloseInUse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.inUse {
		c.Close()
	}
}

// Usage tells how a pool is used.
type Usage struct {
	Limit   int `json:"limit"`
	Open    int `json:"open"`
	Idle    int `json:"idle"`
	Waiting int `json:"waiting"`
}

// Usage returns the current numbers.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Usage{Limit: p.limit, Open: p.open, Idle: len(p.idle), Waiting: len(p.waiters)}
}

// CloseIdle closes idle connections that were opened before the given time, so that budget that is not
// needed goes back.
func (p *Pool) CloseIdle(before time.Time, keep int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && p.open > keep && p.idle[0].opened.Before(before) {
		p.discard(p.idle[0])
		p.idle = p.idle[1:]
	}
}

// TryAcquire returns an idle connection that the session can use at once, or nil.
func (p *Pool) TryAcquire(t Target, owner uint64) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	best := -1
	if len(p.waiters) == 0 {
		best = p.findIdle(t, owner)
	}
	if best < 0 || (p.idle[best].LastSession != owner && p.idle[best].HasSessionState) {
		p.mu.Unlock()
		return nil, nil
	}
	c := p.useIdle(best)
	p.mu.Unlock()
	if !c.openAndSilent() {
		c.MarkUnusable()
		p.Release(c)
		return nil, nil
	}
	c.assign(owner)
	return c, nil
}
