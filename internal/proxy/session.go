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
	// creditWait bounds the wait for rate credits: credits may lie on another VM.
	creditWait = 250 * time.Millisecond
	// startWait is how long a new session waits for the first configuration.
	startWait = 1500 * time.Millisecond
	startPoll = 20 * time.Millisecond
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
	relay     *Proxy
	route     string
	key       [sha256.Size]byte
	close     func()
	interrupt func()

	mu       sync.Mutex
	values   map[string]string
	prepared map[string]shape
	floor    position.Position // of the session's own commits
	tx       *transaction      // nil while none is open
	failed   bool              // the transaction failed and was rolled back at the instance
	aborts   string            // why it failed
}

// shape is what a session prepared under a name.
type shape struct {
	readOnly bool
	text     string
}

// permit is the right to run one operation.
type permit struct {
	trace   trace
	route   *route
	account *account
}

// lateAt returns when the operation is late for its caller, or zero if its route states no target.
// Pauses of the caller do not count.
func (p *permit) lateAt(now time.Time) time.Time {
	if p.route.target <= 0 {
		return time.Time{}
	}
	return now.Add(p.route.target - p.trace.total)
}

// Open returns the session of a caller. The answer is the refusal if there is no session.
func (r *Proxy) Open(ctx context.Context, c Caller) (*Session, operation.Answer) {
	r.await(ctx)
	s := &Session{
		relay: r, route: c.Route, key: sha256.Sum256([]byte(c.Key)), close: c.Close, interrupt: c.Interrupt,
		values: map[string]string{}, prepared: map[string]shape{},
	}
	if r.closing.Load() {
		return nil, r.refuse("", operation.Busy, reasonStop, "the entry VM shuts down; connect to another one")
	}
	if _, refusal := s.permit(r.options.Now(), ""); refusal != nil {
		r.metrics.refused.Add(1)
		return nil, *refusal
	}
	r.mu.Lock()
	r.sessions[s] = struct{}{}
	r.mu.Unlock()
	r.metrics.sessions.Add(1)
	r.metrics.opened.Add(1)
	return s, operation.Answer{}
}

// await waits a while for the first configuration.
func (r *Proxy) await(ctx context.Context) {
	if r.leased(r.options.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	ticker := time.NewTicker(startPoll)
	defer ticker.Stop()
	for !r.leased(r.options.Now()) {
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
	s.abandon()
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	if _, open := s.relay.sessions[s]; open {
		delete(s.relay.sessions, s)
		s.relay.metrics.sessions.Add(-1)
	}
}

// Handle runs one statement. An answer with NoAccess or NoDatabase outside a transaction means that
// the session has lost its right and is to be closed.
func (s *Session) Handle(ctx context.Context, st operation.Statement) operation.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.handle(ctx, st)
	s.relay.metrics.outcomes.Add(a.Code.String(), 1)
	return a
}

func (s *Session) handle(ctx context.Context, st operation.Statement) operation.Answer {
	switch {
	case s.failed:
		return s.handleFailed(st)
	case s.handleOwn(st):
		return s.done()
	case s.tx != nil:
		return s.handleOpen(ctx, st)
	}
	if st.Kind != operation.Begin && !isData(st.Kind) {
		return operation.Answer{Code: operation.Malformed, Detail: "no transaction is open"}
	}
	return s.start(ctx, st)
}

// start runs an operation: a transaction or a single statement.
func (s *Session) start(ctx context.Context, st operation.Statement) operation.Answer {
	arrived := s.relay.options.Now()
	if !s.resolve(&st) {
		return operation.Answer{Code: operation.NoStatement, Detail: st.Name}
	}
	p, refusal := s.admit(ctx, arrived, st.ID)
	if refusal != nil {
		return *refusal
	}
	if st.Kind == operation.Begin {
		s.tx = &transaction{permit: p, readOnly: st.ReadOnly, used: arrived}
		return s.done()
	}
	a := s.single(ctx, arrived, p, st)
	p.trace.total = s.relay.options.Now().Sub(arrived)
	s.relay.observe(&st, a, p.trace.total)
	s.relay.slow(p, &st, "single")
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

// done is the answer to a statement that only this VM handles.
func (s *Session) done() operation.Answer {
	a := operation.Answer{Code: operation.Done, State: operation.Idle}
	if s.tx != nil {
		a.State = operation.Open
	}
	return a
}

// handleOwn runs a statement that only changes the state of the session.
func (s *Session) handleOwn(st operation.Statement) bool {
	switch st.Kind {
	case operation.Set:
		s.values[st.Name] = st.Argument
	case operation.Prepare:
		s.prepared[st.Name] = shape{readOnly: st.ReadOnly, text: st.Argument}
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
		return operation.Answer{Code: operation.Aborted, Detail: s.aborts}
	}
	return operation.Answer{Code: operation.Malformed, Detail: "the transaction failed; roll it back", State: operation.Failed}
}

// isData reports whether a statement reads or writes.
func isData(k operation.Kind) bool {
	return k == operation.Read || k == operation.Write || k == operation.Execute
}

// permit checks that the configuration allows an operation now.
func (s *Session) permit(now time.Time, id string) (*permit, *operation.Answer) {
	refuse := func(code operation.Code, reason, detail string) (*permit, *operation.Answer) {
		a := s.relay.refuse(id, code, reason, detail)
		return nil, &a
	}
	if !s.relay.leased(now) {
		return refuse(operation.Busy, reasonLease, "no control VM answers; come back in 1 s or connect to another entry VM")
	}
	t := s.relay.table.Load()
	r := t.routes[s.route]
	if r == nil || r.group == nil {
		return refuse(operation.NoDatabase, reasonRoute, s.route)
	}
	name, ok := t.keys[s.key]
	if !ok && !r.open {
		return refuse(operation.NoAccess, reasonKey, "the key is not valid")
	}
	a := t.accounts[name]
	if a == nil {
		a = &account{name: openAccount, weight: 1}
	}
	return &permit{route: r, account: a}, nil
}

// openAccount is the client account of callers without a key.
const openAccount = "public"

// admit checks the configuration and takes one rate credit. Credits may lie on another VM, so it
// waits a short while for them.
func (s *Session) admit(ctx context.Context, arrived time.Time, id string) (*permit, *operation.Answer) {
	p, refusal := s.permit(arrived, id)
	if refusal != nil || p.account.name == openAccount {
		return p, refusal
	}
	result, place := s.relay.credits.TakeOrQueue(arrived, lease.AccountID(p.account.name), 1, p.lateAt(arrived))
	switch {
	case result.Verdict == lease.Wait && s.relay.takeAlone(arrived, p.account):
		s.relay.credits.Cancel(place)
		result.Verdict = lease.Admitted
	case result.Verdict == lease.Wait:
		result = s.awaitCredit(ctx, place)
	}
	if result.Verdict != lease.Admitted {
		return nil, s.overRate(p, id, cmp.Or(result.Retry, creditWait))
	}
	now := s.relay.options.Now()
	s.relay.metrics.waits.Add(now.Sub(arrived))
	p.trace.credit = now.Sub(arrived)
	return s.permitAgain(now, arrived, p, id)
}

// awaitCredit waits for the answer to an operation in the line for credits.
func (s *Session) awaitCredit(ctx context.Context, place *renewal.Waiter) lease.Result {
	timer := time.NewTimer(creditWait)
	defer timer.Stop()
	select {
	case result := <-place.Result:
		return result
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.relay.credits.Cancel(place)
}

// takeAlone admits an operation without a control group, within an equal part of the rate.
func (r *Proxy) takeAlone(now time.Time, a *account) bool {
	if r.options.LeaseGrace == 0 {
		return false
	}
	if !r.credits.TakeDisconnected(now, lease.AccountID(a.name), r.part(a), 1) {
		return false
	}
	r.metrics.alone.Add(1)
	return true
}

// part returns the part of the rate of a client account that is left to this VM without a control group.
func (r *Proxy) part(a *account) float64 {
	return a.rate / float64(max(len(*r.entries.Load()), 1))
}

// settleAlone lets waiting operations run within the parts of the rates that are left to this VM.
func (r *Proxy) settleAlone(now time.Time) {
	if r.options.LeaseGrace == 0 {
		return
	}
	t := r.table.Load()
	r.credits.ServeDisconnected(now, func(name lease.AccountID) float64 {
		if a := t.accounts[string(name)]; a != nil {
			return r.part(a)
		}
		return 0
	})
}

// permitAgain checks the configuration again after a wait.
func (s *Session) permitAgain(now, arrived time.Time, p *permit, id string) (*permit, *operation.Answer) {
	if now.Sub(arrived) < tick {
		return p, nil
	}
	again, refusal := s.permit(now, id)
	if refusal == nil {
		again.trace = p.trace
	}
	return again, refusal
}

// overRate is the refusal of an operation for which no credit is there.
func (s *Session) overRate(p *permit, id string, again time.Duration) *operation.Answer {
	a := s.relay.refuse(id, operation.Busy, reasonRate,
		"client account "+p.account.name+" is above its rate; come back in "+again.Round(time.Millisecond).String())
	return &a
}

// retire has the session closed when nothing of it is open. Later in a planned stop, open transactions
// are rolled back, and at its end the caller is cut.
func (s *Session) retire(rollback, cut bool) {
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

// expire ends a transaction that is idle for too long.
func (s *Session) expire(now time.Time, idle time.Duration) {
	if !s.mu.TryLock() {
		return
	}
	defer s.mu.Unlock()
	if s.tx != nil && now.Sub(s.tx.used) >= idle {
		s.relay.metrics.idle.Add(1)
		s.fail("the transaction was idle for too long; it was rolled back")
	}
}

// Reject answers a statement that could not be read. An open transaction fails.
func (s *Session) Reject(st operation.Statement, err error) operation.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.relay.refuse(st.ID, operation.Malformed, reasonSyntax, err.Error())
	if s.tx != nil {
		s.fail(a.Detail)
	}
	if s.failed {
		a.State = operation.Failed
	}
	return a
}
