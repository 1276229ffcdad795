package proxy

import (
	"cmp"
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/session"
)

const (
	// firstLeaseTimeout is how long a new session waits for a configuration lease, and firstLeasePoll how often it
	// checks for one.
	firstLeaseTimeout = 1500 * time.Millisecond
	firstLeasePoll    = 20 * time.Millisecond
)

// Caller is the client connection that opens a session.
type Caller struct {
	Route string // name of the route
	Key   string // key of the client account
	// Interrupt makes the adapter close the connection unless it has begun to receive another statement. It is called when
	// the VM shuts down, possibly more than once.
	Interrupt func()
	Close     func() // closes the connection at once
}

// Session is the state of one caller's connection. Handle is called by one goroutine at a time.
//
// Invariants: a transaction runs on one connection to one instance, with the values and prepared statements
// of this session; no other session uses that connection before the transaction ends.
type Session struct {
	proxy     *Proxy
	route     string
	key       [sha256.Size]byte
	close     func()
	interrupt func()

	mu          sync.Mutex
	values      map[string]string
	prepared    map[string]preparedStatement
	floors      session.Session // positions of the session's commits, by group; its reads in a group must see them
	tx          *transaction    // nil while none is open
	failed      bool            // the transaction failed and was rolled back at the instance
	abortReason string          // why the transaction failed
	// abortUnreported is set if the transaction was rolled back between two statements, so that no answer has said so yet.
	abortUnreported bool
}

// preparedStatement is a statement that a session prepared.
type preparedStatement struct {
	readOnly bool
	text     string
}

// permit allows one operation to run.
type permit struct {
	trace   trace
	route   *route
	account *account
}

// targetDeadline returns the time after which the operation exceeds the latency target of its route, or zero
// if the route has none. Pauses of the caller between statements do not count.
func (p *permit) targetDeadline(now time.Time) time.Time {
	if p.route.targetLatency <= 0 {
		return time.Time{}
	}
	return now.Add(p.route.targetLatency - p.trace.total)
}

// Open opens a session for a caller. If it is refused, the session is nil and the answer is the refusal.
func (p *Proxy) Open(ctx context.Context, c Caller) (*Session, operation.Answer) {
	p.awaitLease(ctx)
	s := &Session{
		proxy: p, route: c.Route, key: sha256.Sum256([]byte(c.Key)), close: c.Close, interrupt: c.Interrupt,
		values: map[string]string{}, prepared: map[string]preparedStatement{},
	}
	if p.closing(p.options.Now()) {
		return nil, p.refuse("", operation.Busy, reasonStop, "the entry VM shuts down; connect to another one")
	}
	if _, refusal := s.authorize(p.options.Now(), ""); refusal != nil {
		p.metrics.refused.Add(1)
		return nil, *refusal
	}
	p.mu.Lock()
	p.sessions[s] = struct{}{}
	p.mu.Unlock()
	p.metrics.sessions.Add(1)
	p.metrics.opened.Add(1)
	return s, operation.Answer{}
}

// awaitLease waits up to firstLeaseTimeout for a configuration lease.
func (p *Proxy) awaitLease(ctx context.Context) {
	if p.hasLease(p.options.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, firstLeaseTimeout)
	defer cancel()
	ticker := time.NewTicker(firstLeasePoll)
	defer ticker.Stop()
	for !p.hasLease(p.options.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Close closes the session. An open transaction is rolled back.
func (s *Session) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rollback()
	s.proxy.mu.Lock()
	defer s.proxy.mu.Unlock()
	if _, open := s.proxy.sessions[s]; open {
		delete(s.proxy.sessions, s)
		s.proxy.metrics.sessions.Add(-1)
	}
}

// Handle runs one statement. After an answer with NoAccess or NoDatabase outside a transaction, the session
// is no longer authorized and the adapter must close it.
func (s *Session) Handle(ctx context.Context, st operation.Statement) operation.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.handle(ctx, st)
	s.endAfterStatement(s.proxy.options.Now(), &a)
	s.endForStop(s.proxy.phase(s.proxy.options.Now()))
	s.proxy.metrics.outcomes.Add(a.Code.String(), 1)
	return a
}

func (s *Session) handle(ctx context.Context, st operation.Statement) operation.Answer {
	switch {
	case s.failed:
		return s.handleFailed(st)
	case s.handleLocal(st):
		return s.localAnswer()
	case s.tx != nil:
		return s.handleInTransaction(ctx, st)
	}
	if st.Kind != operation.Begin && !isData(st.Kind) {
		return operation.Answer{Code: operation.Malformed, Detail: "no transaction is open"}
	}
	return s.start(ctx, st)
}

// start admits an operation and begins a transaction or runs a single statement.
func (s *Session) start(ctx context.Context, st operation.Statement) operation.Answer {
	arrived := s.proxy.options.Now()
	if !s.resolve(&st) {
		return operation.Answer{Code: operation.NoStatement, Detail: st.Name}
	}
	if refusal := s.refuseForStop(arrived, st.ID); refusal != nil {
		return *refusal
	}
	p, refusal := s.admit(ctx, arrived, st.ID)
	if refusal != nil {
		return *refusal
	}
	if st.Kind == operation.Begin {
		s.tx = &transaction{permit: p, readOnly: st.ReadOnly, lastUsed: arrived}
		return s.localAnswer()
	}
	a := s.runSingle(ctx, arrived, p, st)
	p.trace.total = s.proxy.options.Now().Sub(arrived)
	s.proxy.observe(&st, a, p.trace.total)
	s.proxy.logSlow(p, &st, "single")
	return a
}

// resolve completes an Execute with the prepared statement of that name. It returns false if there is none.
func (s *Session) resolve(st *operation.Statement) bool {
	if st.Kind != operation.Execute {
		return true
	}
	known, ok := s.prepared[st.Name]
	st.ReadOnly, st.Shape = known.readOnly, known.text
	return ok
}

// localAnswer returns the answer to a statement that needs no instance.
func (s *Session) localAnswer() operation.Answer {
	a := operation.Answer{Code: operation.Done, State: operation.Idle}
	if s.tx != nil {
		a.State = operation.Open
	}
	return a
}

// handleLocal handles a statement that only changes the state of the session. It returns false for others.
func (s *Session) handleLocal(st operation.Statement) bool {
	switch st.Kind {
	case operation.Set:
		s.values[st.Name] = st.Argument
	case operation.Prepare:
		s.prepared[st.Name] = preparedStatement{readOnly: st.ReadOnly, text: st.Argument}
	case operation.Deallocate:
		delete(s.prepared, st.Name)
	default:
		return false
	}
	return true
}

// handleFailed handles a statement after the transaction has failed: only Commit and Rollback end it.
func (s *Session) handleFailed(st operation.Statement) operation.Answer {
	if s.abortUnreported {
		return s.reportAbort(&st)
	}
	switch st.Kind {
	case operation.Rollback:
		s.failed = false
		return operation.Answer{Code: operation.Done}
	case operation.Commit:
		s.failed = false
		return operation.Answer{Code: operation.Aborted, Detail: s.abortReason}
	}
	return operation.Answer{Code: operation.Malformed, Detail: "the transaction failed; roll it back", State: operation.Failed}
}

// isData reports whether a statement reads or writes.
func isData(k operation.Kind) bool {
	return k == operation.Read || k == operation.Write || k == operation.Execute
}

// authorize checks that the current configuration allows an operation.
func (s *Session) authorize(now time.Time, id string) (*permit, *operation.Answer) {
	refuse := func(code operation.Code, reason, detail string) (*permit, *operation.Answer) {
		a := s.proxy.refuse(id, code, reason, detail)
		return nil, &a
	}
	if !s.proxy.hasLease(now) {
		return refuse(operation.Busy, reasonLease, "no control VM answers; come back in 1 s or connect to another entry VM")
	}
	t := s.proxy.config.Load()
	r := t.routes[s.route]
	if r == nil || r.group == nil {
		return refuse(operation.NoDatabase, reasonRoute, s.route)
	}
	name, ok := t.keys[s.key]
	if !ok && !r.public {
		return refuse(operation.NoAccess, reasonKey, "the key is not valid")
	}
	a := t.accounts[name]
	if a == nil {
		a = &account{name: publicAccount, weight: 1}
	}
	return &permit{route: r, account: a}, nil
}

// publicAccount is the client account of callers without a valid key on public routes. It has no rate limit.
const publicAccount = "public"

// admit authorizes an operation and takes one rate credit. It waits briefly for a credit, which may currently
// be leased to another VM.
func (s *Session) admit(ctx context.Context, arrived time.Time, id string) (*permit, *operation.Answer) {
	p, refusal := s.authorize(arrived, id)
	if refusal != nil || p.account.name == publicAccount {
		return p, refusal
	}
	result := s.proxy.takeCredit(ctx, arrived, p.account, p.targetDeadline(arrived))
	if result.Verdict != lease.Admitted {
		return nil, s.rateRefusal(p, id, cmp.Or(result.Retry, creditTimeout))
	}
	now := s.proxy.options.Now()
	s.proxy.metrics.waits.Add(now.Sub(arrived))
	p.trace.credit = now.Sub(arrived)
	return s.reauthorize(now, arrived, p, id)
}

// reauthorize checks the configuration again after a wait, because it may have changed.
func (s *Session) reauthorize(now, arrived time.Time, p *permit, id string) (*permit, *operation.Answer) {
	if now.Sub(arrived) < tickInterval {
		return p, nil
	}
	again, refusal := s.authorize(now, id)
	if refusal == nil {
		again.trace = p.trace
	}
	return again, refusal
}

// rateRefusal returns the refusal of an operation that got no credit.
func (s *Session) rateRefusal(p *permit, id string, again time.Duration) *operation.Answer {
	a := s.proxy.refuse(id, operation.Busy, reasonRate,
		"client account "+p.account.name+" is above its rate; come back in "+again.Round(time.Millisecond).String())
	return &a
}

// expireIdle fails a transaction that has been idle for too long.
func (s *Session) expireIdle(now time.Time, idle time.Duration) {
	if !s.mu.TryLock() {
		return
	}
	defer s.mu.Unlock()
	if s.tx != nil && now.Sub(s.tx.lastUsed) >= idle {
		s.proxy.metrics.idle.Add(1)
		s.fail("the transaction was idle for too long; it was rolled back")
	}
}

// Reject returns the answer to a statement that could not be parsed. An open transaction fails.
func (s *Session) Reject(st operation.Statement, err error) operation.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.proxy.refuse(st.ID, operation.Malformed, reasonSyntax, err.Error())
	if s.tx != nil {
		s.fail(a.Detail)
	}
	if s.failed {
		a.State = operation.Failed
	}
	return a
}
