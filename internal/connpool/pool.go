package connpool

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/admission"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/slots"
)

// Errors of Held.Run. Except for ErrBroken and ErrSlow, the statement without an answer did not run.
var (
	// ErrQueueTimeout tells that there is no room within the limit.
	ErrQueueTimeout = errors.New("lane: no room for the statement within its time; it did not run")
	// ErrQueueFull tells that too many statements of the client account wait.
	ErrQueueFull = errors.New("lane: too many statements of the client account wait; the statement did not run")
	// ErrClosed tells that the backend server left.
	ErrClosed = errors.New("lane: the backend server left; the statement did not run")
	// ErrUnreachable tells that no connection could be opened.
	ErrUnreachable = errors.New("lane: the backend server is not reached; the statement did not run")
	// ErrNotSent tells that the connection was lost before the statement was sent.
	ErrNotSent = errors.New("lane: the connection was lost before the statement was sent; it did not run")
	// ErrAnswerTimeout tells that a statement got no answer in its time, which was too short to tell that the
	// backend server is lost.
	ErrAnswerTimeout = errors.New("lane: no answer in time; it is not known whether the statement ran")
	// ErrConnectionLost tells that the connection was lost while the statement was in progress.
	ErrConnectionLost = errors.New("lane: the connection was lost; it is not known whether the statement ran")
)

const (
	// dialTimeout is above a retransmission of TCP between zones and the time that an instance takes
	// to open a connection.
	dialTimeout = 400 * time.Millisecond
	// serverLimitPeriod is how long an instance that refused a connection is not asked for more than it has.
	serverLimitPeriod = time.Second
	// AnswerGrace is how much longer than its limit a statement in progress is waited for: its outcome is
	// worth more than a timeout, and the connection is kept.
	AnswerGrace = 250 * time.Millisecond
	// lostAfter is the time without an answer that tells that a backend server is lost.
	lostAfter = 600 * time.Millisecond
	// inFlightMargin is how many statements may be at the instance beyond its slots, so that a slot that
	// becomes free has work while the answer is on its way.
	inFlightMargin = 1
	// slotsDefault is assumed of an instance that states no slots.
	slotsDefault = 2
)

// Options name the instance of a Lane.
type Options struct {
	Group, Server, Address string
	Dial                   Dialer
	Now                    func() time.Time
	Slots                  int // statements that the instance runs at once; 0 if not known
	Connections            int // most connections of this VM
}

// Load is how busy a lane is.
type Load struct {
	Open, Running, Waiting int
}

// Pool is the way to one instance. It is safe for concurrent use.
//
// Invariants: at most limit connections are open or being opened, unless the limit fell; each is
// used by one holder at a time. At most the slots of the instance and a few more statements of this
// VM are in progress there.
type Pool struct {
	options Options
	slots   *slots.Slots

	mu               sync.Mutex
	limit            int
	serverLimit      int       // connections that the instance took last when it refused more; 0 for none
	serverLimitUntil time.Time // end of the ceiling
	open             int
	idle             []*idleConn
	inUse            map[*Handle]struct{}
	waiting          []chan struct{} // holders that wait for a connection
	closed           bool
}

// idleConn is an idle connection.
type idleConn struct {
	conn  *pooledConn
	since time.Time
}

// New returns a Lane without connections.
func New(o Options) *Pool {
	n := o.Slots
	if n <= 0 {
		n = slotsDefault
	}
	return &Pool{
		options: o, slots: slots.New(admission.Settings{Slots: n + inFlightMargin, Fixed: true}),
		inUse: map[*Handle]struct{}{}, limit: max(o.Connections, 1),
	}
}

// Server returns the name of the instance.
func (l *Pool) Server() string { return l.options.Server }

// Address returns the address of the instance.
func (l *Pool) Address() string { return l.options.Address }

// SetLimit sets how many connections may be open.
func (l *Pool) SetLimit(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = max(n, 1)
	for l.open > l.limit && len(l.idle) > 0 {
		l.closeIdleAt(0)
	}
	l.wake()
}

// Load returns how busy the lane is.
func (l *Pool) Load() Load {
	running, waiting := l.slots.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	return Load{Open: l.open, Running: running, Waiting: waiting}
}

// CloseConnections closes every connection, so that who waits for an answer learns that none comes.
func (l *Pool) CloseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for h := range l.inUse {
		h.conn.conn.Close()
	}
	l.closeAllIdle()
}

// Close ends the lane: idle connections close now, others when they are given back.
func (l *Pool) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.closeAllIdle()
	for len(l.waiting) > 0 {
		l.wake()
	}
}

func (l *Pool) closeAllIdle() {
	for len(l.idle) > 0 {
		l.closeIdleAt(0)
	}
}

// closeIdleAt closes an idle connection. The lock is held.
func (l *Pool) closeIdleAt(i int) {
	l.idle[i].conn.conn.Close()
	l.idle = append(l.idle[:i], l.idle[i+1:]...)
	l.open--
}

// CloseIdle closes connections that were not used for long.
func (l *Pool) CloseIdle(now time.Time, maxIdle time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.idle) - 1; i >= 0; i-- {
		if now.Sub(l.idle[i].since) >= maxIdle {
			l.closeIdleAt(i)
		}
	}
}

// NewHandle returns a holder that takes a connection with its first statement. It must be given back by
// Release.
func (l *Pool) NewHandle(account string, weight float64, read bool) *Handle {
	return &Handle{pool: l, account: account, weight: weight, read: read}
}

// admit waits until the queue admits a statement.
func (l *Pool) admit(ctx context.Context, t *slots.Ticket) error {
	result := l.slots.Push(l.options.Now(), t)
	if result == admission.Waiting {
		result = slots.Await(l.slots, t, ctx.Done())
	}
	switch result {
	case admission.Admitted:
		return nil
	case admission.Full:
		return ErrQueueFull
	}
	return ErrQueueTimeout
}

// acquire gives a holder the idle connection of its client account that is nearest to the values, or
// opens one. A connection of another account makes room. With all connections in use it waits.
func (l *Pool) acquire(ctx context.Context, h *Handle, values map[string]string) error {
	for {
		l.mu.Lock()
		if l.closed {
			l.mu.Unlock()
			return ErrClosed
		}
		if best := l.bestMatch(h.account, values); best >= 0 {
			h.conn = l.idle[best].conn
			l.idle = append(l.idle[:best], l.idle[best+1:]...)
			l.inUse[h] = struct{}{}
			l.mu.Unlock()
			return nil
		}
		if l.open >= l.maxOpen() && len(l.idle) > 0 {
			l.closeIdleAt(l.evictionCandidate())
		}
		if l.open < l.maxOpen() {
			l.open++
			l.mu.Unlock()
			return l.connect(ctx, h)
		}
		freed := make(chan struct{}, 1)
		l.waiting = append(l.waiting, freed)
		l.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			l.mu.Lock()
			l.removeWaiter(freed)
			l.mu.Unlock()
			return ErrQueueTimeout
		}
	}
}

// maxOpen returns how many connections may be open now. The lock is held.
func (l *Pool) maxOpen() int {
	if l.serverLimit > 0 && l.options.Now().Before(l.serverLimitUntil) {
		return min(l.limit, l.serverLimit)
	}
	return l.limit
}

// removeWaiter takes a waiting holder back. The lock is held.
func (l *Pool) removeWaiter(freed chan struct{}) {
	for i, w := range l.waiting {
		if w == freed {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
	l.wake() // the connection was meant for a holder that left
}

// wake lets the first waiting holder look for a connection. The lock is held.
func (l *Pool) wake() {
	if len(l.waiting) == 0 {
		return
	}
	l.waiting[0] <- struct{}{}
	l.waiting = l.waiting[1:]
}

// bestMatch returns the idle connection of the account that needs the fewest statements to match, or
// -1. The lock is held.
func (l *Pool) bestMatch(account string, values map[string]string) int {
	best, least := -1, 0
	for i := len(l.idle) - 1; i >= 0; i-- {
		if l.idle[i].conn.account != account {
			continue
		}
		if d := l.idle[i].conn.adjustCost(values); best < 0 || d < least {
			best, least = i, d
		}
	}
	return best
}

// evictionCandidate returns the idle connection that makes room for another client account: the oldest one of the
// account with the most of them. It answers many accounts on few connections, where the bursts of a large
// account would take the only connection of each small one. The lock is held.
func (l *Pool) evictionCandidate() int {
	counts := make(map[string]int, len(l.idle))
	for _, p := range l.idle {
		counts[p.conn.account]++
	}
	best := 0
	for i, p := range l.idle {
		if counts[p.conn.account] > counts[l.idle[best].conn.account] {
			best = i
		}
	}
	return best
}

// connect opens the connection that was counted for a holder.
func (l *Pool) connect(ctx context.Context, h *Handle) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	o := l.options
	conn, err := o.Dial(ctx, Target{Group: o.Group, Server: o.Server, Address: o.Address, Account: h.account})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		h.conn = newPooledConn(conn, h.account)
		l.inUse[h] = struct{}{}
		return nil
	}
	l.open--
	l.wake()
	var refused *RefusedError
	if errors.As(err, &refused) {
		if refused.Code == operation.ConnectionLimit {
			l.serverLimit, l.serverLimitUntil = max(l.open, 1), o.Now().Add(serverLimitPeriod)
		}
		return err
	}
	return errors.CombineErrors(ErrUnreachable, err)
}

// put gives a connection back.
func (l *Pool) put(h *Handle, healthy bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inUse, h)
	if healthy && !l.closed && l.open <= l.limit {
		l.idle = append(l.idle, &idleConn{conn: h.conn, since: l.options.Now()})
	} else {
		h.conn.conn.Close()
		l.open--
	}
	l.wake()
}
