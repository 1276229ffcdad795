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
	// ceilingFor is how long an instance that refused a connection is not asked for more than it has.
	ceilingFor = time.Second
	// AnswerGrace is how much longer than its limit a statement in progress is waited for: its outcome is
	// worth more than a timeout, and the connection is kept.
	AnswerGrace = 250 * time.Millisecond
	// lostAfter is the time without an answer that tells that a backend server is lost.
	lostAfter = 600 * time.Millisecond
	// ahead is how many statements may be at the instance beyond its slots, so that a slot that
	// becomes free has work while the answer is on its way.
	ahead = 1
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

	mu      sync.Mutex
	limit   int
	ceiling int       // connections that the instance took last when it refused more; 0 for none
	until   time.Time // end of the ceiling
	open    int
	idle    []*parked
	inUse   map[*Handle]struct{}
	waiting []chan struct{} // holders that wait for a connection
	closed  bool
}

// parked is an idle connection.
type parked struct {
	line  *line
	since time.Time
}

// New returns a Lane without connections.
func New(o Options) *Pool {
	n := o.Slots
	if n <= 0 {
		n = slotsDefault
	}
	return &Pool{
		options: o, slots: slots.New(admission.Settings{Slots: n + ahead, Fixed: true}),
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
		l.drop(0)
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
		h.line.conn.Close()
	}
	l.dropAll()
}

// Close ends the lane: idle connections close now, others when they are given back.
func (l *Pool) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.dropAll()
	for len(l.waiting) > 0 {
		l.wake()
	}
}

func (l *Pool) dropAll() {
	for len(l.idle) > 0 {
		l.drop(0)
	}
}

// drop closes an idle connection. The lock is held.
func (l *Pool) drop(i int) {
	l.idle[i].line.conn.Close()
	l.idle = append(l.idle[:i], l.idle[i+1:]...)
	l.open--
}

// CloseIdle closes connections that were not used for long.
func (l *Pool) CloseIdle(now time.Time, most time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.idle) - 1; i >= 0; i-- {
		if now.Sub(l.idle[i].since) >= most {
			l.drop(i)
		}
	}
}

// NewHandle returns a holder that takes a connection with its first statement. It must be given back by
// Release.
func (l *Pool) NewHandle(account string, weight float64, read bool) *Handle {
	return &Handle{lane: l, account: account, weight: weight, read: read}
}

// enter waits until the queue admits a statement.
func (l *Pool) enter(ctx context.Context, t *slots.Ticket) error {
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

// attach gives a holder the idle connection of its client account that is nearest to the values, or
// opens one. A connection of another account makes room. With all connections in use it waits.
func (l *Pool) attach(ctx context.Context, h *Handle, values map[string]string) error {
	for {
		l.mu.Lock()
		if l.closed {
			l.mu.Unlock()
			return ErrClosed
		}
		if best := l.nearest(h.account, values); best >= 0 {
			h.line = l.idle[best].line
			l.idle = append(l.idle[:best], l.idle[best+1:]...)
			l.inUse[h] = struct{}{}
			l.mu.Unlock()
			return nil
		}
		if l.open >= l.most() && len(l.idle) > 0 {
			l.drop(l.spare())
		}
		if l.open < l.most() {
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
			l.forget(freed)
			l.mu.Unlock()
			return ErrQueueTimeout
		}
	}
}

// most returns how many connections may be open now. The lock is held.
func (l *Pool) most() int {
	if l.ceiling > 0 && l.options.Now().Before(l.until) {
		return min(l.limit, l.ceiling)
	}
	return l.limit
}

// forget takes a waiting holder back. The lock is held.
func (l *Pool) forget(freed chan struct{}) {
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

// nearest returns the idle connection of the account that needs the fewest statements to match, or
// -1. The lock is held.
func (l *Pool) nearest(account string, values map[string]string) int {
	best, least := -1, 0
	for i := len(l.idle) - 1; i >= 0; i-- {
		if l.idle[i].line.account != account {
			continue
		}
		if d := l.idle[i].line.distance(values); best < 0 || d < least {
			best, least = i, d
		}
	}
	return best
}

// spare returns the idle connection that makes room for another client account: the oldest one of the
// account with the most of them. It answers many accounts on few connections, where the bursts of a large
// account would take the only connection of each small one. The lock is held.
func (l *Pool) spare() int {
	counts := make(map[string]int, len(l.idle))
	for _, p := range l.idle {
		counts[p.line.account]++
	}
	best := 0
	for i, p := range l.idle {
		if counts[p.line.account] > counts[l.idle[best].line.account] {
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
		h.line = newLine(conn, h.account)
		l.inUse[h] = struct{}{}
		return nil
	}
	l.open--
	l.wake()
	var refused *RefusedError
	if errors.As(err, &refused) {
		if refused.Code == operation.ConnectionLimit {
			l.ceiling, l.until = max(l.open, 1), o.Now().Add(ceilingFor)
		}
		return err
	}
	return errors.CombineErrors(ErrUnreachable, err)
}

// park gives a connection back.
func (l *Pool) park(h *Handle, sound bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inUse, h)
	if sound && !l.closed && l.open <= l.limit {
		l.idle = append(l.idle, &parked{line: h.line, since: l.options.Now()})
	} else {
		h.line.conn.Close()
		l.open--
	}
	l.wake()
}
