package proxy

import (
	"cmp"
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/renewal"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

const (
	// creditTimeout bounds the wait for rate credits: credits may lie on another VM.
	creditTimeout = 250 * time.Millisecond
	// firstLeaseTimeout is how long a new session waits for the first configuration.
	firstLeaseTimeout = 1500 * time.Millisecond
	firstLeasePoll    = 20 * time.Millisecond
)

// Caller is who opens a session.
type Caller struct {
	Route string // name of the route
	Key   string // key of the client account
	// Interrupt has the adapter close the connection once no statement of it is read and unanswered.
	// It is called when the VM shuts down, possibly more than once.
	Interrupt func()
	Close     func() // closes the connection at once
}

// Session is one caller's connection. Handle is called by one goroutine at a time.
//
// Invariants: a transaction runs on one connection of one instance, with the values and prepared
// statements of this session; no other session uses that connection before it ends.
type Session struct {
	proxy     *Proxy
	route     string
	key       [sha256.Size]byte
	close     func()
	interrupt func()

	mu          sync.Mutex
	values      map[string]string
	prepared    map[string]preparedStatement
	floor       position.Position // of the session's own commits
	tx          *transaction      // nil while none is open
	failed      bool              // the transaction failed and was rolled back at the instance
	abortReason string            // why it failed
}

// preparedStatement is what a session prepared under a name.
type preparedStatement struct {
	readOnly bool
	text     string
}

// permit is the right to run one operation.
type permit struct {
	trace   trace
	route   *route
	account *account
}

// targetDeadline returns when the operation is late for its caller, or zero if its route states no target.
// Pauses of the caller do not count.
func (p *permit) targetDeadline(now time.Time) time.Time {
	if p.route.targetLatency <= 0 {
		return time.Time{}
	}
	return now.Add(p.route.targetLatency - p.trace.total)
}

// Open returns the session of a caller. The answer is the refusal if there is no session.
func (p *Proxy) Open(ctx context.Context, c Caller) (*Session, operation.Answer) {
	p.awaitLease(ctx)
	s := &Session{
		proxy: p, route: c.Route, key: sha256.Sum256([]byte(c.Key)), close: c.Close, interrupt: c.Interrupt,
		values: map[string]string{}, prepared: map[string]preparedStatement{},
	}
	if p.closing.Load() {
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

// awaitLease waits a while for the first configuration.
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

// Close ends the session. An open transaction is rolled back.
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

// Handle runs one statement. An answer with NoAccess or NoDatabase outside a transaction means that
// the session has lost its right and is to be closed.
func (s *Session) Handle(ctx context.Context, st operation.Statement) operation.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.handle(ctx, st)
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

// start runs an operation: a transaction or a single statement.
func (s *Session) start(ctx context.Context, st operation.Statement) operation.Answer {
	arrived := s.proxy.options.Now()
	if !s.resolve(&st) {
		return operation.Answer{Code: operation.NoStatement, Detail: st.Name}
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
	s.proxy.slow(p, &st, "single")
	return a
}

// resolve completes an Execute by what the session prepared. It is false if nothing of that name is
// prepared.
func (s *Session) resolve(st *operation.Statement) bool {
	if st.Kind != operation.Execute {
		return true
	}
	known, ok := s.prepared[st.Name]
	st.ReadOnly, st.Shape = known.readOnly, known.text
	return ok
}

// localAnswer is the answer to a statement that only this VM handles.
func (s *Session) localAnswer() operation.Answer {
	a := operation.Answer{Code: operation.Done, State: operation.Idle}
	if s.tx != nil {
		a.State = operation.Open
	}
	return a
}

// handleLocal runs a statement that only changes the state of the session.
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

// handleFailed ends a failed transaction; nothing else runs in it.
func (s *Session) handleFailed(st operation.Statement) operation.Answer {
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

// authorize checks that the configuration allows an operation now.
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

// publicAccount is the client account of callers without a key.
const publicAccount = "public"

// admit checks the configuration and takes one rate credit. Credits may lie on another VM, so it
// waits a short while for them.
func (s *Session) admit(ctx context.Context, arrived time.Time, id string) (*permit, *operation.Answer) {
	p, refusal := s.authorize(arrived, id)
	if refusal != nil || p.account.name == publicAccount {
		return p, refusal
	}
	result, waiter := s.proxy.credits.TakeOrQueue(arrived, lease.AccountID(p.account.name), 1, p.targetDeadline(arrived))
	switch {
	case result.Verdict == lease.Wait && s.proxy.admitDisconnected(arrived, p.account):
		s.proxy.credits.Cancel(waiter)
		result.Verdict = lease.Admitted
	case result.Verdict == lease.Wait:
		result = s.awaitCredit(ctx, waiter)
	}
	if result.Verdict != lease.Admitted {
		return nil, s.rateRefusal(p, id, cmp.Or(result.Retry, creditTimeout))
	}
	now := s.proxy.options.Now()
	s.proxy.metrics.waits.Add(now.Sub(arrived))
	p.trace.credit = now.Sub(arrived)
	return s.reauthorize(now, arrived, p, id)
}

// awaitCredit waits for the answer to an operation in the line for credits.
func (s *Session) awaitCredit(ctx context.Context, waiter *renewal.Waiter) lease.Result {
	timer := time.NewTimer(creditTimeout)
	defer timer.Stop()
	select {
	case result := <-waiter.Result:
		return result
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.proxy.credits.Cancel(waiter)
}

// admitDisconnected admits an operation without a control group, within an equal part of the rate.
func (p *Proxy) admitDisconnected(now time.Time, a *account) bool {
	if p.options.LeaseGrace == 0 {
		return false
	}
	if !p.credits.TakeDisconnected(now, lease.AccountID(a.name), p.disconnectedRate(a), 1) {
		return false
	}
	p.metrics.disconnected.Add(1)
	return true
}

// disconnectedRate returns the part of the rate of a client account that is left to this VM without a control group.
func (p *Proxy) disconnectedRate(a *account) float64 {
	return a.rate / float64(max(len(*p.entries.Load()), 1))
}

// serveDisconnected lets waiting operations run within the parts of the rates that are left to this VM.
func (p *Proxy) serveDisconnected(now time.Time) {
	if p.options.LeaseGrace == 0 {
		return
	}
	t := p.config.Load()
	p.credits.ServeDisconnected(now, func(name lease.AccountID) float64 {
		if a := t.accounts[string(name)]; a != nil {
			return p.disconnectedRate(a)
		}
		return 0
	})
}

// reauthorize checks the configuration again after a wait.
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

// rateRefusal is the refusal of an operation for which no credit is there.
func (s *Session) rateRefusal(p *permit, id string, again time.Duration) *operation.Answer {
	a := s.proxy.refuse(id, operation.Busy, reasonRate,
		"client account "+p.account.name+" is above its rate; come back in "+again.Round(time.Millisecond).String())
	return &a
}

// shutDown has the session closed when nothing of it is open. Later in a planned stop, open transactions
// are rolled back, and at its end the caller is cut.
func (s *Session) shutDown(rollback, cut bool) {
	if cut {
		s.close()
		return
	}
	if !s.mu.TryLock() {
		return // a statement runs
	}
	defer s.mu.Unlock()
	if s.tx != nil && rollback {
		s.fail("the entry VM shuts down; the transaction was rolled back")
		return
	}
	if s.tx == nil && !s.failed {
		s.interrupt()
	}
}

// expireIdle ends a transaction that is idle for too long.
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

// Reject answers a statement that could not be read. An open transaction fails.
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
