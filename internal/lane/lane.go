package lane

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/admission"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// Errors of Acquire. Nothing was sent.
var (
	// ErrLate tells that no connection becomes free within the deadline.
	ErrLate = errors.New("lane: no connection within the deadline; the statement did not run")
	// ErrFull tells that too many statements of the client account wait.
	ErrFull = errors.New("lane: too many statements of the client account wait; the statement did not run")
	// ErrClosed tells that the backend server left.
	ErrClosed = errors.New("lane: the backend server left; the statement did not run")
	// ErrUnreached tells that no connection could be opened.
	ErrUnreached = errors.New("lane: the backend server is not reached; the statement did not run")
)

const (
	// dialTimeout is above a retransmission of TCP between zones and the time that an instance takes
	// to open a connection.
	dialTimeout = 500 * time.Millisecond
	// fading is the time constant with which an old latency is forgotten, so that a server that was
	// slow is tried again.
	fading = time.Second
	// idleMost is the time after which an unused connection is closed.
	idleMost = 20 * time.Second
	// accountMost is how long a client account counts as one that needs a connection of its own.
	accountMost = 5 * time.Second
)

// Ticket asks for a connection.
type Ticket struct {
	Account  string
	Weight   float64
	Read     bool
	Deadline time.Time
}

// Load is what a placement needs to know of a lane.
type Load struct {
	Limit, Running, Waiting int
	Latency                 time.Duration
	Seen                    position.Position
	Ago                     time.Duration
	Missing                 bool
	Warm                    bool // a connection for the client account is idle
}

// Lane is the way to one instance. It is safe for concurrent use.
//
// Invariants: at most limit connections are open or being opened, unless the limit fell; each is
// used by one holder at a time.
type Lane struct {
	group, server, address string
	dial                   Dialer
	now                    func() time.Time

	mu       sync.Mutex
	queue    *admission.Queue
	limit    int
	open     int
	accounts map[string]time.Time // client accounts served of late, with the last use
	account  string               // served last
	peak     int                  // most holders and waiters since the last Wanted
	idle     []*parked
	inUse    map[*Held]struct{}
	closed   bool
	latency  time.Duration
	measured time.Time
	seen     position.Position
	seenAt   time.Time
	answered time.Time // last answer
	missing  time.Time // first failure since the last answer; zero if none
}

// parked is an idle connection.
type parked struct {
	line  *line
	since time.Time
}

// Options name the instance of a Lane.
type Options struct {
	Group, Server, Address string
	Dial                   Dialer
	Now                    func() time.Time
	Latency                time.Duration // expected before the first answer
}

// New returns a Lane that opens nothing before SetLimit.
func New(o Options) *Lane {
	return &Lane{
		group: o.Group, server: o.Server, address: o.Address, dial: o.Dial, now: o.Now,
		queue: admission.NewWith(admission.Settings{Slots: 1, Fixed: true}), inUse: map[*Held]struct{}{},
		accounts: map[string]time.Time{}, latency: o.Latency,
	}
}

// Server returns the name of the instance.
func (l *Lane) Server() string { return l.server }

// Address returns the address of the instance.
func (l *Lane) Address() string { return l.address }

// SetLimit sets how many connections may be open. With 0 nothing is admitted.
func (l *Lane) SetLimit(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n == l.limit {
		return
	}
	l.limit = n
	l.queue.SetSlots(max(n, 1))
	for l.open > l.limit && len(l.idle) > 0 {
		l.drop(0)
	}
	l.admit(l.now())
}

// Usage returns the connections that are open and those that the lane would use: one for each
// statement at the busiest moment since the last call, and one for each client account of late.
func (l *Lane) Usage(now time.Time) (open, wanted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	demand := len(l.inUse) + l.queue.Waiting()
	wanted = max(l.peak, demand)
	l.peak = demand
	for account, used := range l.accounts {
		if now.Sub(used) >= accountMost {
			delete(l.accounts, account)
		}
	}
	return l.open, max(wanted, len(l.accounts), 1)
}

// Load returns what a placement of a statement of the client account needs to know.
func (l *Lane) Load(now time.Time, account string) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Load{
		Limit: l.limit, Running: l.queue.Running(), Waiting: l.queue.Waiting(),
		Latency: l.faded(now), Seen: l.seen, Ago: now.Sub(l.seenAt), Missing: !l.missing.IsZero(),
		Warm: l.nearest(account, &Profile{}) >= 0,
	}
}

// faded is the latency, of which an old one counts for less. The lock is held.
func (l *Lane) faded(now time.Time) time.Duration {
	const base = 5 * time.Millisecond
	age := now.Sub(l.measured)
	if l.measured.IsZero() || age <= fading || l.latency <= base {
		return l.latency
	}
	return base + time.Duration(float64(l.latency-base)*fading.Seconds()/age.Seconds())
}

// Silence returns since when nothing was heard of the instance although something was asked; zero
// if it answers.
func (l *Lane) Silence(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.missing
	for h := range l.inUse {
		if !h.sent.IsZero() && (first.IsZero() || h.sent.Before(first)) {
			first = h.sent
		}
	}
	if first.IsZero() {
		return 0
	}
	if first.Before(l.answered) {
		first = l.answered
	}
	return now.Sub(first)
}

// Sever closes every connection in use, so that who waits for an answer learns that none comes.
func (l *Lane) Sever() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for h := range l.inUse {
		h.line.conn.Close()
	}
	for len(l.idle) > 0 {
		l.drop(0)
	}
}

// Close ends the lane: idle connections close now, others when they are given back.
func (l *Lane) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for len(l.idle) > 0 {
		l.drop(0)
	}
	l.queue.SetSlots(1 << 16)
	l.limit = 1 << 16
	l.admit(l.now())
}

// drop closes an idle connection. The lock is held.
func (l *Lane) drop(i int) {
	l.idle[i].line.conn.Close()
	l.idle = append(l.idle[:i], l.idle[i+1:]...)
	l.open--
}

// Account returns the client account served last, or "".
func (l *Lane) Account() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.account
}

// Tend closes connections that were not used for long.
func (l *Lane) Tend(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.idle) - 1; i >= 0; i-- {
		if now.Sub(l.idle[i].since) >= idleMost {
			l.drop(i)
		}
	}
}

// place is a waiting Acquire.
type place struct {
	ready chan admission.Result // buffered for one
}

// Acquire waits for a connection in the order of the admission queue. The returned Held must be
// given back by Release.
func (l *Lane) Acquire(ctx context.Context, t Ticket, p *Profile) (*Held, error) {
	ticket := admission.Ticket{
		Account: admission.AccountID(t.Account), Weight: t.Weight, Read: t.Read, Deadline: t.Deadline,
		Tag: &place{ready: make(chan admission.Result, 1)},
	}
	if err := l.enter(ctx, ticket); err != nil {
		return nil, err
	}
	h := &Held{lane: l, ticket: ticket, profile: p}
	if err := l.attach(ctx, t.Account, h); err != nil {
		l.leave(h, true)
		return nil, err
	}
	return h, nil
}

// enter waits until the queue admits the ticket.
func (l *Lane) enter(ctx context.Context, t admission.Ticket) error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return ErrClosed
	}
	ready := t.Tag.(*place).ready
	at, result := l.queue.Push(l.now(), t)
	if result == admission.Waiting {
		l.admit(l.now())
		l.peak = max(l.peak, l.queue.Running()+l.queue.Waiting())
	}
	l.mu.Unlock()
	if result == admission.Waiting {
		select {
		case result = <-ready:
		case <-ctx.Done():
			l.mu.Lock()
			gone := l.queue.Cancel(at)
			l.mu.Unlock()
			if gone {
				return ErrLate
			}
			result = <-ready
		}
	}
	switch result {
	case admission.Admitted:
		return nil
	case admission.Full:
		return ErrFull
	}
	return ErrLate
}

// admit hands out what can run. The lock is held.
func (l *Lane) admit(now time.Time) {
	if l.limit == 0 {
		return
	}
	for {
		t, result := l.queue.Pop(now)
		if result == admission.None {
			return
		}
		t.Tag.(*place).ready <- result
	}
}

// attach gives an admitted holder the idle connection that is nearest to its profile, or opens one.
func (l *Lane) attach(ctx context.Context, account string, h *Held) error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return ErrClosed
	}
	l.account = account
	l.accounts[account] = l.now()
	if best := l.nearest(account, h.profile); best >= 0 {
		h.line = l.idle[best].line
		l.idle = append(l.idle[:best], l.idle[best+1:]...)
		l.inUse[h] = struct{}{}
		l.mu.Unlock()
		return nil
	}
	if l.open >= l.limit && len(l.idle) > 0 {
		l.drop(0) // a connection of another client account makes room
	}
	l.open++
	l.mu.Unlock()
	conn, err := l.connect(ctx, account)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.open--
		return err
	}
	h.line = newLine(conn, account)
	l.inUse[h] = struct{}{}
	return nil
}

// nearest returns the idle connection of the account that needs the fewest statements to match, or
// -1. The lock is held.
func (l *Lane) nearest(account string, p *Profile) int {
	best, least := -1, 0
	for i := len(l.idle) - 1; i >= 0; i-- {
		if l.idle[i].line.account != account {
			continue
		}
		if d := l.idle[i].line.distance(p); best < 0 || d < least {
			best, least = i, d
		}
	}
	return best
}

// connect opens a connection.
func (l *Lane) connect(ctx context.Context, account string) (Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := l.dial(ctx, Target{Group: l.group, Server: l.server, Address: l.address, Account: account})
	if err == nil {
		return conn, nil
	}
	var refused *RefusedError
	if errors.As(err, &refused) {
		return nil, err
	}
	l.fail()
	return nil, errors.CombineErrors(ErrUnreached, err)
}

// fail notes that the instance did not answer.
func (l *Lane) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.missing.IsZero() {
		l.missing = l.now()
	}
}

// hear notes an answer.
func (l *Lane) hear(sent time.Time, a operation.Answer, timed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.answered, l.missing = now, time.Time{}
	if !a.At.IsZero() {
		l.seen, l.seenAt = a.At, now
	}
	if !timed {
		return
	}
	const weight = 0.2
	elapsed := now.Sub(sent)
	if l.measured.IsZero() {
		l.latency = elapsed
	}
	l.latency += time.Duration(weight * float64(elapsed-l.faded(now)))
	l.measured = now
}

// leave gives the place of a holder back, and its connection unless it is broken.
func (l *Lane) leave(h *Held, sound bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	delete(l.inUse, h)
	if h.line != nil {
		if sound && !l.closed && l.open <= l.limit {
			l.idle = append(l.idle, &parked{line: h.line, since: now})
		} else {
			h.line.conn.Close()
			l.open--
		}
	}
	l.queue.Done(now, h.ticket, h.busy, !sound)
	l.admit(now)
}
