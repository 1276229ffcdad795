package connpool

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"fireflyrudder.example/fireflyrudder/internal/admission"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/placement"
	"fireflyrudder.example/fireflyrudder/internal/slots"
)

// Errors of Handle.Run. After ErrConnectionLost and ErrAnswerTimeout it is unknown whether the statement
// without an answer ran; after all others it did not run.
var (
	// ErrQueueTimeout reports that the statement got no slot or connection before its deadline.
	ErrQueueTimeout = errors.New("lane: no room for the statement within its time; it did not run")
	// ErrQueueFull reports that too many statements of the client account are queued.
	ErrQueueFull = errors.New("lane: too many statements of the client account wait; the statement did not run")
	// ErrClosed reports that the pool takes no new work: the backend server left its group or is about to, or the entry VM
	// stops.
	ErrClosed = errors.New("lane: the backend server left; the statement did not run")
	// ErrUnreachable reports that no connection could be opened.
	ErrUnreachable = errors.New("lane: the backend server is not reached; the statement did not run")
	// ErrNotSent reports that the connection was lost before the statement was sent.
	ErrNotSent = errors.New("lane: the connection was lost before the statement was sent; it did not run")
	// ErrAnswerTimeout reports that a statement got no answer before its deadline, which was too short to conclude
	// that the backend server is lost.
	ErrAnswerTimeout = errors.New("lane: no answer in time; it is not known whether the statement ran")
	// ErrConnectionLost reports that the connection was lost while the statement was in progress.
	ErrConnectionLost = errors.New("lane: the connection was lost; it is not known whether the statement ran")
)

const (
	// dialTimeout allows for one TCP retransmission between zones plus the time that an instance needs to open
	// a connection.
	dialTimeout = 400 * time.Millisecond
	// serverLimitPeriod is how long no further connections are opened to an instance that refused one because
	// of its connection limit.
	serverLimitPeriod = time.Second
	// AnswerGrace is the time beyond its limit for which the pool waits for a statement in progress. A late
	// answer is worth more than a timeout with unknown outcome, and the connection stays usable.
	AnswerGrace = 250 * time.Millisecond
	// lostAfter is the time without an answer after which a backend server counts as lost.
	lostAfter = 600 * time.Millisecond
	// inFlightMargin is the number of statements in progress beyond the slots of the instance, so that a slot
	// that becomes free has work while the answer is in transit.
	inFlightMargin = 1
	// slotsDefault is assumed for an instance that reports no number of slots.
	slotsDefault = 2
)

// Options configure a Pool and identify its instance.
type Options struct {
	Group, Server, Address string
	Dial                   Dialer
	Now                    func() time.Time
	Slots                  int  // statements that the instance runs concurrently; 0 if unknown
	Connections            int  // initial limit on the connections of this VM
	Waits                  bool // the pool estimates how long statements wait for a slot
	// Observe receives how long statements spend in each stage. It must be safe for concurrent use; nil for none.
	Observe func(Stage, time.Duration)
	// Urgency orders statements by the priority of their Handles; see admission.Settings.
	Urgency bool
	// ObserveQueue receives the priority of each statement that requested a slot, what it got and how long it waited, if
	// Urgency is set. It must be safe for concurrent use; nil for none.
	ObserveQueue func(priority uint8, o QueueOutcome, waited time.Duration)
}

// Stage is a stage of a statement in a Pool.
type Stage int

// Stages of a statement, in order.
const (
	StageQueue      Stage = iota // waits for a slot
	StageConnection              // waits for a connection in use, because no more may be opened
	StageDial                    // waits for a new connection
	StageExchange                // runs at the instance
)

// Load is the number of open and of idle connections and of running and waiting statements of a Pool. Its fields are
// written to the /dump page under their names.
type Load struct {
	Open, Idle, Running, Waiting int
}

// Pool holds the connections to one instance. It is safe for concurrent use.
//
// Invariants: at most limit connections are open or being opened, unless the limit was lowered; each is used by
// one Handle at a time. At most the slots of the instance plus inFlightMargin statements of this VM are in
// progress there, beside those whose answers seem to be lost; see slotHolds.
type Pool struct {
	options    Options
	slots      *slots.Slots
	knownSlots int // of the instance, or slotsDefault
	holds      slotHolds

	mu               sync.Mutex
	limit            int
	serverLimit      int       // open connections when the instance last refused another one; 0 if it never did
	serverLimitUntil time.Time // when serverLimit expires
	open             int
	idle             []*idleConn
	inUse            map[*Handle]struct{}
	waiting          []chan struct{} // one for each Handle that waits for a connection, first come first served
	closed           bool
	endAt            time.Time // no new work is sent from this time on; zero for none
	evacuation       evacuation
	ahead            ahead
	proof            Proof                   // latest one, with the log position only
	stats            placement.InstanceStats // of the exchanges on connections of this VM, and of failed attempts to open one

	proofFlight singleflight.Group
	gate        atomic.Pointer[Gate] // what limits the statements while the instance is cold; nil for no limit
}

// idleConn is a connection that no Handle uses.
type idleConn struct {
	pooled *pooledConn
	since  time.Time
}

// New returns a Pool without connections.
func New(o Options) *Pool {
	n := o.Slots
	if n <= 0 {
		n = slotsDefault
	}
	if o.Observe == nil {
		o.Observe = func(Stage, time.Duration) {}
	}
	if o.ObserveQueue == nil || !o.Urgency {
		o.ObserveQueue = func(uint8, QueueOutcome, time.Duration) {}
	}
	return &Pool{
		options: o,
		slots: slots.New(admission.Settings{
			Slots: n + inFlightMargin, Fixed: true, Connections: max(o.Connections, 1), Urgency: o.Urgency,
		}),
		knownSlots: n, inUse: map[*Handle]struct{}{}, limit: max(o.Connections, 1), evacuation: newEvacuation(), ahead: ahead{served: map[string]bool{}},
	}
}

// Server returns the name of the instance.
func (p *Pool) Server() string { return p.options.Server }

// Address returns the address of the instance.
func (p *Pool) Address() string { return p.options.Address }

// SetLimit sets the maximum number of open connections. It closes idle connections above the limit.
func (p *Pool) SetLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(n, 1)
	for p.open > p.limit && len(p.idle) > 0 {
		p.closeIdleAt(0)
		clear(p.ahead.served)
	}
	p.wake()
	p.slots.SetConnections(p.options.Now(), p.maxOpen())
}

// Load returns the current load.
func (p *Pool) Load() Load {
	running, waiting := p.slots.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	return Load{Open: p.open, Idle: len(p.idle), Running: running, Waiting: waiting}
}

// Waits returns how long a statement of a client account that arrives now is expected to wait for a slot, by priority from 0
// on; nil if it is not known or not estimated.
func (p *Pool) Waits(account string) []time.Duration {
	if !p.options.Waits {
		return nil
	}
	return p.slots.Waits(p.options.Now(), admission.AccountID(account))
}

// CloseConnections closes every connection, so that statements in progress fail at once instead of waiting for
// an answer.
func (p *Pool) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for h := range p.inUse {
		h.pooled.conn.Close()
	}
	p.closeAllIdle()
	clear(p.ahead.served)
}

// Close closes the pool. Idle connections close at once, others when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeAllIdle()
	for len(p.waiting) > 0 {
		p.wake()
	}
}

func (p *Pool) closeAllIdle() {
	for len(p.idle) > 0 {
		p.closeIdleAt(0)
	}
}

// closeIdleAt closes the idle connection at index i. The caller holds the lock.
func (p *Pool) closeIdleAt(i int) {
	p.idle[i].pooled.conn.Close()
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
	p.open--
}

// CloseIdle closes connections that have been idle for at least maxIdle.
func (p *Pool) CloseIdle(now time.Time, maxIdle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if now.Sub(p.idle[i].since) >= maxIdle {
			p.closeIdleAt(i)
		}
	}
}

// NewHandle returns a Handle that acquires a connection with its first statement. The caller must call Release.
func (p *Pool) NewHandle(account string, weight float64, read bool) *Handle {
	return &Handle{pool: p, account: account, weight: weight, read: read}
}

// acquire attaches to h the idle connection of its client account that needs the fewest statements to match the
// session values, or opens one. At the limit it closes an idle connection of another account; if all are in use
// it waits.
func (p *Pool) acquire(ctx context.Context, h *Handle, values map[string]string) error {
	for {
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return ErrClosed
		}
		if p.refusesAll(p.options.Now()) || p.evacuation.evacuated && !h.anyAccount {
			p.mu.Unlock()
			return ErrEvacuated
		}
		if best := p.bestMatch(h, values); best >= 0 {
			h.pooled = p.idle[best].pooled
			p.idle = append(p.idle[:best], p.idle[best+1:]...)
			p.inUse[h] = struct{}{}
			p.mu.Unlock()
			return nil
		}
		if p.open >= p.maxOpen() && len(p.idle) > 0 {
			p.closeIdleAt(p.evictionCandidate())
		}
		if p.open < p.maxOpen() {
			p.open++
			p.mu.Unlock()
			return p.connect(ctx, h)
		}
		freed := make(chan struct{}, 1)
		p.waiting = append(p.waiting, freed)
		p.mu.Unlock()
		if !p.awaitFreed(ctx, freed) {
			return ErrQueueTimeout
		}
	}
}

// awaitFreed waits until a connection is free. It returns false if ctx ended before.
func (p *Pool) awaitFreed(ctx context.Context, freed chan struct{}) bool {
	since := p.options.Now()
	defer func() { p.options.Observe(StageConnection, p.options.Now().Sub(since)) }()
	select {
	case <-freed:
		return true
	case <-ctx.Done():
		p.mu.Lock()
		defer p.mu.Unlock()
		p.removeWaiter(freed)
		return false
	}
}

// maxOpen returns how many connections may be open now. The caller holds the lock.
func (p *Pool) maxOpen() int {
	if p.serverLimit > 0 && p.options.Now().Before(p.serverLimitUntil) {
		return min(p.limit, p.serverLimit)
	}
	return p.limit
}

// removeWaiter removes a waiter that gave up. The caller holds the lock.
func (p *Pool) removeWaiter(freed chan struct{}) {
	for i, w := range p.waiting {
		if w == freed {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
	p.wake() // the waiter was already woken; pass the connection on to the next one
}

// wake lets the first waiter try again to get a connection. The caller holds the lock.
func (p *Pool) wake() {
	if len(p.waiting) == 0 {
		return
	}
	p.waiting[0] <- struct{}{}
	p.waiting = p.waiting[1:]
}

// bestMatch returns the index of the idle connection for h that needs the fewest statements to match the session
// values, or -1. The caller holds the lock.
func (p *Pool) bestMatch(h *Handle, values map[string]string) int {
	if h.anyAccount {
		return len(p.idle) - 1
	}
	best, least := -1, 0
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].pooled.account != h.account {
			continue
		}
		if d := p.idle[i].pooled.adjustCost(values); best < 0 || d < least {
			best, least = i, d
		}
	}
	return best
}

// evictionCandidate returns the index of the idle connection to close in favor of another client account: the
// oldest one of the account with the most idle connections. When many accounts share few connections, this
// keeps bursts of a large account from closing the only connection of each small one. The caller holds the
// lock.
func (p *Pool) evictionCandidate() int {
	counts := make(map[string]int, len(p.idle))
	for _, c := range p.idle {
		counts[c.pooled.account]++
	}
	best := 0
	for i, c := range p.idle {
		if counts[c.pooled.account] > counts[p.idle[best].pooled.account] {
			best = i
		}
	}
	return best
}

// connect opens a connection for h. The caller has already counted it in open.
func (p *Pool) connect(ctx context.Context, h *Handle) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	started := p.options.Now()
	h.sendUnits(1)
	conn, err := p.dial(ctx, h.account)
	p.options.Observe(StageDial, p.options.Now().Sub(started))
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		h.pooled = newPooledConn(conn, h.account)
		p.inUse[h] = struct{}{}
		p.ahead.served[h.account] = true
		return nil
	}
	p.open--
	p.wake()
	return err
}

// dial opens a connection for a client account and records whether the instance answered.
func (p *Pool) dial(ctx context.Context, account string) (Conn, error) {
	o := p.options
	started := o.Now()
	p.observeSent(started)
	conn, err := o.Dial(ctx, Target{Group: o.Group, Server: o.Server, Address: o.Address, Account: account})
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		// The caller needs no connection any more, for example because another instance has answered its read.
		p.observeCanceled(o.Now())
		return nil, errors.CombineErrors(ErrQueueTimeout, err)
	}
	var refused *RefusedError
	p.observeEnd(o.Now(), started, err == nil || errors.As(err, &refused))
	switch {
	case err == nil:
		return conn, nil
	case refused == nil:
		return nil, errors.CombineErrors(ErrUnreachable, err)
	case refused.Code == operation.ConnectionLimit:
		p.refuseMore(o.Now())
	}
	return nil, err
}

// refuseMore keeps further connections from being opened for a while, after the instance refused one because of its limit.
func (p *Pool) refuseMore(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serverLimit, p.serverLimitUntil = max(p.open-1, 1), now.Add(serverLimitPeriod)
}

// put returns the connection of h to the idle list, or closes it if it is unhealthy, above the limit, or the
// pool is closed or evacuated.
func (p *Pool) put(h *Handle, healthy bool) {
	defer h.releaseAdmission()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inUse, h)
	if healthy && !p.closed && p.open <= p.limit && !p.refusesAll(p.options.Now()) {
		p.idle = append(p.idle, &idleConn{pooled: h.pooled, since: p.options.Now()})
	} else {
		h.pooled.conn.Close()
		p.open--
	}
	p.wake()
}
