package entryvm

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/admission"
	"fireflyrudder.example/fireflyrudder/internal/backend"
	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// Bounds of the waits of a statement before it runs.
const (
	// creditWait bounds the wait for rate credits once an issuer that has records of all holders has answered.
	creditWait = 250 * time.Millisecond
	// redialBackoff is the pause after a failed attempt to connect to a backend server.
	redialBackoff = 20 * time.Millisecond
)

// serverConn is a connection to a backend server with an admission slot, on which one request runs.
type serverConn struct {
	conn    *backend.Conn
	server  *serverState
	replica bool // the server is a replica, so that the request runs in a read-only transaction
	slot    bool // a slot is occupied; an open transaction occupies none between its statements
	ticket  admission.Ticket
	lost    bool // the connection failed
	term    position.Term
	begun   time.Time
}

// requestWait bounds the time that one request waits before it runs. It is not safe for concurrent use.
type requestWait struct {
	session  *callerSession
	deadline time.Time
	ctx      context.Context // ends at the deadline or by a cancel request; nil until it is needed
	stop     context.CancelFunc
	tries    int
}

// context returns the context of the wait. It is created on first use, since most requests run without waiting.
func (w *requestWait) context() context.Context {
	if w.ctx == nil {
		w.ctx, w.stop = context.WithDeadline(w.session.vm.ctx, w.deadline)
		w.session.mu.Lock()
		w.session.waiting = w.stop
		w.session.mu.Unlock()
	}
	return w.ctx
}

// release releases the context.
func (w *requestWait) release() {
	if w.ctx == nil {
		return
	}
	w.session.mu.Lock()
	w.session.waiting = nil
	w.session.mu.Unlock()
	w.stop()
}

// waitFor waits until the channel is closed or the pause has passed. It returns false if the deadline passed or a
// cancel request arrived first.
func (w *requestWait) waitFor(c <-chan struct{}, pause time.Duration) bool {
	ctx := w.context()
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-c:
		return ctx.Err() == nil
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// refusal returns the error for a wait that ended before the request ran: that of a canceled statement after a
// cancel request, else the given one.
func (w *requestWait) refusal(state outcome.SQLState, why, remedy string) *outcome.Error {
	if w.ctx != nil && errors.Is(w.ctx.Err(), context.Canceled) {
		return outcome.New(stateQueryCanceled, "canceling statement due to user request; it did not run", "send it again if it is wanted")
	}
	return outcome.New(state, why, remedy)
}

// authorize checks that account, key and route are still valid and that the VM has a configuration lease.
// fatal reports that the session must end.
func (s *callerSession) authorize(now time.Time) (refusal *outcome.Error, fatal bool) {
	if !s.vm.leased(now) {
		return noLease(), false
	}
	r, refusal := s.vm.table.Load().authorize(&s.conn.Startup, s.conn.Startup.Verifier)
	if refusal != nil {
		return outcome.New(outcome.SessionTerminated, refusal.Message, refusal.Remedy), true
	}
	if r.group == nil {
		return outcome.New(outcome.NoPrimary, "the group of the route is not known yet", "send the statement again"), false
	}
	if r.group != s.route.group || r.database != s.route.database {
		if s.status != txIdle {
			return outcome.New(outcome.NotRun, "the route changed; the transaction rolled back", "run the transaction again"), false
		}
		s.abandonFloor()
		s.route = r
		s.startFloor()
	}
	s.route = r
	return nil, false
}

func noLease() *outcome.Error {
	return outcome.New(outcome.NoLease, "this entry VM holds no configuration lease; the statement did not run",
		"connect to another entry VM")
}

// reauthorize checks again, after a wait, that the statement may run: the configuration lease may have
// expired and the key may have been withdrawn meanwhile.
func (s *callerSession) reauthorize(now time.Time) *outcome.Error {
	if !s.vm.leased(now) {
		return noLease()
	}
	r, refusal := s.vm.table.Load().authorize(&s.conn.Startup, s.conn.Startup.Verifier)
	if refusal != nil {
		return outcome.New(outcome.SessionTerminated, refusal.Message, refusal.Remedy)
	}
	if r.group != s.route.group || r.database != s.route.database {
		return outcome.New(outcome.NotRun, "the route changed; the statement did not run", "send it again")
	}
	return nil
}

// takeCredits takes rate credits for a request. It waits for a grant, so that a request is not refused because the
// credits are on another VM. While no issuer answers, or a new issuer has no record of all holders yet, it waits
// until the deadline, since the account may be within its rate.
func (s *callerSession) takeCredits(w *requestWait, cost float64) *outcome.Error {
	if cost == 0 || s.conn.Startup.IsPublic() {
		return nil
	}
	account := lease.AccountID(s.conn.Startup.Account)
	arrived := time.Now()
	limit := w.deadline
	for {
		now := time.Now()
		result, granted := s.vm.credits.Take(now, account, cost)
		switch result.Verdict {
		case lease.Admitted:
			return nil
		case lease.Refused:
			return rateLimited(result.Retry)
		}
		if limit.Equal(w.deadline) && s.vm.credits.SettledAfter(arrived) {
			limit = now.Add(creditWait)
		}
		if !s.vm.leased(now) {
			return noLease()
		}
		left := min(limit.Sub(now), w.deadline.Sub(now), s.vm.leaseRemaining(now))
		if left <= 0 || !w.waitFor(granted, left) {
			return w.refusal(outcome.RateLimited, "the account is above its rate; the statement did not run", "send it again later")
		}
	}
}

func rateLimited(retry time.Duration) *outcome.Error {
	return outcome.New(outcome.RateLimited, "the account is above its rate; the statement did not run",
		"send it again in "+retry.Round(time.Millisecond).String())
}

// acquireForWrite waits for the primary, a slot and a connection. Afterwards it checks that the server is still the
// primary of the same term, and else waits again.
func (s *callerSession) acquireForWrite(w *requestWait) (*serverConn, *outcome.Error) {
	g := s.route.group
	for {
		state := g.state.Load()
		primary, why := state.writable(time.Now())
		if primary == nil {
			if !w.waitFor(state.next, redialBackoff) {
				return nil, w.refusal(outcome.NoPrimary, why+"; the statement did not run", "send it again")
			}
			continue
		}
		sc, again, refusal := s.acquire(w, primary, false)
		if refusal != nil {
			return nil, refusal
		}
		if again {
			continue
		}
		sc.term = state.term
		now := g.state.Load()
		if p, _ := now.writable(time.Now()); p != nil && p.server == primary.server && now.term == state.term {
			s.vm.metrics.writes.Add(1)
			return sc, nil
		}
		s.vm.release(sc)
	}
}

// acquire waits for a slot and a connection of a server. again reports that the server must be chosen anew.
func (s *callerSession) acquire(w *requestWait, server *serverState, read bool) (sc *serverConn, again bool, refusal *outcome.Error) {
	if refusal := s.acquireSlot(w, server, read); refusal != nil {
		return nil, false, refusal
	}
	ticket := s.ticket.Ticket
	target := backend.Target{Server: server.id, Address: server.address, Database: s.route.database}
	conn, err := server.pool.TryAcquire(target, s.id)
	if conn == nil && err == nil {
		conn, err = server.pool.Acquire(w.context(), target, s.id)
	}
	if err == nil {
		now := time.Now()
		refusal := s.reauthorize(now)
		again := refusal == nil && s.route.group.state.Load().isRetired(server.id)
		if refusal != nil || again {
			server.slots.Release(now, ticket, 0, false)
			server.pool.Release(conn)
			return nil, again, refusal
		}
		return &serverConn{conn: conn, server: server, slot: true, ticket: ticket, begun: now}, false, nil
	}
	server.slots.Release(time.Now(), ticket, 0, true)
	if w.context().Err() != nil {
		return nil, false, w.refusal(outcome.DeadlineUnmet, "no connection within the deadline; the statement did not run", "send it again later or give a longer deadline")
	}
	s.vm.metrics.dialFailures.Add(1)
	if !w.waitFor(nil, redialBackoff) {
		return nil, false, w.refusal(outcome.DeadlineUnmet, "no connection within the deadline; the statement did not run", "send it again")
	}
	return nil, true, nil
}

// releaseSlot releases the slot, if one is occupied, and reports the elapsed time to the router.
func (vm *VM) releaseSlot(sc *serverConn) {
	if !sc.slot {
		return
	}
	sc.slot = false
	now := time.Now()
	elapsed := now.Sub(sc.begun)
	sc.server.slots.Release(now, sc.ticket, elapsed, sc.lost)
	sc.server.router.observe(now, sc.server.server, elapsed, sc.lost)
}

// release releases the slot and the connection.
func (vm *VM) release(sc *serverConn) {
	vm.releaseSlot(sc)
	sc.server.pool.Release(sc.conn)
}
