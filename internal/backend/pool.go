package backend

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrClosed is the error of a pool that was closed because its server left or the process stops.
var ErrClosed = errors.New("backend: pool is closed")

// Pool is a pool of statement connections to one backend server. It is safe for concurrent use. The number
// of open connections, including those being opened, exceeds the limit only if the limit was lowered while
// they were in use. The excess is closed on release.
type Pool struct {
	credentials Credentials
	application string
	onExhausted func()

	mu      sync.Mutex
	peak    int // highest demand since the last call of DesiredConnections
	desired int // last result of DesiredConnections
	limit   int // leased connection budget, excluding the status link
	open    int // connections in use, idle or being opened
	idle    []*Conn
	waiters []*waiter
	closed  bool
	inUse   map[*Conn]struct{}
}

// waiter is a request for a connection that waits for a grant.
type waiter struct {
	target  Target
	session uint64
	ready   chan grant // buffered for the one grant
}

// grant is a connection, an error, or, if both are nil, the permission to open a connection.
type grant struct {
	conn *Conn
	err  error
}

// NewPool returns an empty pool. It opens no connections until SetLimit sets a limit. onExhausted is called
// when a request waits because the limit is reached. It must not block.
func NewPool(c Credentials, application string, onExhausted func()) *Pool {
	return &Pool{credentials: c, application: application, onExhausted: onExhausted, inUse: make(map[*Conn]struct{})}
}

// DesiredConnections returns the number of connections that the pool needs, which is at least one. It follows
// a rise of the demand at once and a fall by one per call, because reopening connections takes time.
func (p *Pool) DesiredConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.desired = max(p.peak, p.desired-1, 1)
	p.peak = p.demand()
	return p.desired
}

// demand returns the number of connections in use or being opened plus that of waiting requests. The lock is
// held.
func (p *Pool) demand() int {
	return p.open - len(p.idle) + len(p.waiters)
}

// SetLimit sets how many connections may be open. Idle connections above the limit are closed at once.
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

// Acquire returns a connection for a session. It prefers an idle connection that the session used last, then
// one without session state. It waits until ctx ends.
func (p *Pool) Acquire(ctx context.Context, t Target, session uint64) (*Conn, error) {
	for {
		c, err := p.reserve(ctx, t, session)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, t, session)
		}
		if !c.openAndSilent() {
			c.MarkUnusable()
			p.Release(c)
			continue
		}
		if c.LastSession != session {
			if err := c.Discard(); err != nil {
				p.Release(c)
				continue // no part of the request was sent
			}
		}
		c.assign(session)
		return c, nil
	}
}

// reserve returns an idle connection, or nil if the caller must open one. It waits until ctx ends.
func (p *Pool) reserve(ctx context.Context, t Target, session uint64) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if len(p.waiters) == 0 {
		if g, ok := p.tryGrant(t, session); ok {
			p.mu.Unlock()
			return g.conn, g.err
		}
	}
	w := &waiter{target: t, session: session, ready: make(chan grant, 1)}
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

// tryGrant returns an idle connection for the target or the permission to open one. It may close an idle
// connection to another database to make room. The lock is held.
func (p *Pool) tryGrant(t Target, session uint64) (grant, bool) {
	if best := p.findIdle(t, session); best >= 0 {
		return grant{conn: p.useIdle(best)}, true
	}
	if p.open == p.limit && len(p.idle) > 0 {
		p.discard(p.idle[0]) // makes room by closing a connection to another database
		p.idle = p.idle[1:]
	}
	if p.open < p.limit {
		p.open++
		p.peak = max(p.peak, p.demand())
		return grant{}, true
	}
	return grant{}, false
}

// findIdle returns the index of the preferred idle connection for the target, or -1. The lock is held.
func (p *Pool) findIdle(t Target, session uint64) int {
	best := -1
	for i, c := range p.idle {
		if c.Target != t {
			continue
		}
		if c.LastSession == session {
			return i
		}
		if best < 0 || (p.idle[best].HasSessionState && !c.HasSessionState) {
			best = i
		}
	}
	return best
}

// useIdle moves an idle connection to those in use. The lock is held.
func (p *Pool) useIdle(i int) *Conn {
	c := p.idle[i]
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
	p.inUse[c] = struct{}{}
	p.peak = max(p.peak, p.demand())
	return c
}

// grantWaiters serves waiting requests in order while there are free connections or room to open some. The
// lock is held.
func (p *Pool) grantWaiters() {
	for len(p.waiters) > 0 {
		g, ok := p.tryGrant(p.waiters[0].target, p.waiters[0].session)
		if !ok {
			return
		}
		p.waiters[0].ready <- g
		p.waiters = p.waiters[1:]
	}
}

// cancelWait removes a waiter. It returns a grant that the waiter received in the meantime to the pool.
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

// dial opens the connection that reserve permitted.
func (p *Pool) dial(ctx context.Context, t Target, session uint64) (*Conn, error) {
	c, err := Open(ctx, t, p.credentials, p.application)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.open--
		p.grantWaiters()
		return nil, err
	}
	c.LastSession = session
	c.ResetSent()
	p.inUse[c] = struct{}{}
	return c, nil
}

// Release returns a connection to the pool. It closes a connection that is not reusable, so that an unread
// response never reaches another client.
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

// discard closes a connection that was removed from idle and inUse. The lock is held.
func (p *Pool) discard(c *Conn) {
	p.open--
	c.Close()
}

// Close closes the pool and its idle connections. Connections in use are closed on release.
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

// CloseInUse closes the network connections that are in use, which aborts their requests. It serves to cut
// off a primary whose term has ended.
func (p *Pool) CloseInUse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.inUse {
		c.Close()
	}
}

// Usage contains the connection counts of a pool.
type Usage struct {
	Limit   int `json:"limit"`
	Open    int `json:"open"`
	Idle    int `json:"idle"`
	Waiting int `json:"waiting"`
}

// Usage returns the current connection counts.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Usage{Limit: p.limit, Open: p.open, Idle: len(p.idle), Waiting: len(p.waiters)}
}

// CloseIdle closes idle connections that were opened before the given time, as long as more than keep
// connections are open. This lets the pool return budget that it does not need.
func (p *Pool) CloseIdle(before time.Time, keep int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && p.open > keep && p.idle[0].opened.Before(before) {
		p.discard(p.idle[0])
		p.idle = p.idle[1:]
	}
}

// TryAcquire returns an idle connection that the session can use without a reset, or nil. It does not wait.
func (p *Pool) TryAcquire(t Target, session uint64) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	best := -1
	if len(p.waiters) == 0 {
		best = p.findIdle(t, session)
	}
	if best < 0 || (p.idle[best].LastSession != session && p.idle[best].HasSessionState) {
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
	c.assign(session)
	return c, nil
}
