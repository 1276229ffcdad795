package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"fireflyrudder.example/fireflyrudder/pkg/outcome"
)

// Run-time parameters of the proxy. A plain PostgreSQL server accepts and ignores them.
const (
	parameterAge     = "fireflyrudder.age"
	parameterRequest = "fireflyrudder.request"
	parameterSession = "fireflyrudder.session"
	statusServed     = "fireflyrudder.served"
)

const (
	reconnectPause = 20 * time.Millisecond // mean backoff before the next address is tried
	connectTimeout = 3 * time.Second
	maxResends     = 5               // of a write with an unknown outcome, under the same request id
	stateNoConnect = "no connection" // no address answered before the deadline
	stateBroken    = "cut"           // the connection broke during a statement
	stateUnique    = "23505"
)

// session is one client session of an account. It keeps its identity over reconnections. It is not safe for
// concurrent use.
type session struct {
	runner       *Runner
	account      *Account
	stats        *accountStats
	ledger       *ledger
	id           string
	route        string
	maxAge       time.Duration
	random       *rand.Rand
	addressIndex int // of the address in use, modulo the number of addresses
	conn         *pgx.Conn
	token        string    // session token that an entry VM reported last
	nextRoam     time.Time // when to reconnect to another address
	sequence     int       // number of writes begun, part of their ids
	lastWrite    string    // last write of this session that was acknowledged
}

// runArrivals runs the requests from arrivals until the channel is closed.
func (s *session) runArrivals(ctx context.Context, arrivals <-chan arrival) {
	for a := range arrivals {
		due := s.runner.started.Add(a.due)
		s.runOne(ctx, a, due)
	}
	s.disconnect(ctx)
}

// runOne runs one request. Its latency and its deadline count from the time at which it was due.
func (s *session) runOne(ctx context.Context, a arrival, due time.Time) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(s.runner.workload.Deadline))
	defer cancel()
	if ctx.Err() != nil {
		s.stats.recordExpired()
		return
	}
	if s.shouldRoam() {
		s.disconnect(ctx)
		s.addressIndex++
	}
	if err := s.connect(ctx); err != nil {
		state := stateOf(err)
		if state == stateBroken {
			state = stateNoConnect
		}
		s.stats.recordRefusal(a, state)
		return
	}
	if a.write {
		s.write(ctx, a, due)
		return
	}
	s.read(ctx, a, due)
}

// reconnectAfterIdleClose connects to another address, as a connection pool would, if err means that the
// server had closed the connection while it was idle, so that the statement did not run. It reports whether
// the statement can be repeated.
func (s *session) reconnectAfterIdleClose(ctx context.Context, err error) bool {
	if stateOf(err) != string(outcome.SessionTerminated) && !pgconn.SafeToRetry(err) {
		return false
	}
	s.stats.recordReconnect()
	s.disconnect(ctx)
	s.addressIndex++
	return s.connect(ctx) == nil
}

// shouldRoam reports whether it is time to reconnect to another address.
func (s *session) shouldRoam() bool {
	if s.runner.workload.RoamInterval <= 0 {
		return false
	}
	now := time.Now()
	if now.Before(s.nextRoam) {
		return false
	}
	first := s.nextRoam.IsZero()
	s.nextRoam = now.Add(time.Duration(s.random.ExpFloat64() * float64(s.runner.workload.RoamInterval)))
	return !first
}

// connect opens the connection if there is none, to the first address that accepts one. It does not retry
// when the key or the access is refused.
func (s *session) connect(ctx context.Context) error {
	for s.conn == nil {
		err := s.dial(ctx)
		if err == nil {
			return nil
		}
		s.addressIndex++
		var pgErr *pgconn.PgError
		if errors.As(err, &pgErr) && (pgErr.Code == string(outcome.InvalidKey) || pgErr.Code == string(outcome.AccessDenied)) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(time.Duration((0.5 + s.random.Float64()) * float64(reconnectPause))):
		}
	}
	return nil
}

func (s *session) dial(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	config, err := s.runner.config(s.account, s.route, s.runner.addresses[s.addressIndex%len(s.runner.addresses)])
	if err != nil {
		return err
	}
	if s.token != "" && s.random.Float64() < s.runner.workload.TokenShare {
		config.RuntimeParams["options"] = "-c " + parameterSession + "=" + s.token
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return err
	}
	// Without a stated age, that of the route would apply.
	if _, err := conn.Exec(ctx, fmt.Sprintf("SET %s = '%s'", parameterAge, s.maxAge)); err != nil {
		return errors.CombineErrors(err, conn.Close(ctx))
	}
	s.conn = conn
	return nil
}

func (s *session) disconnect(ctx context.Context) {
	if s.conn == nil {
		return
	}
	if token := s.conn.PgConn().ParameterStatus(parameterSession); token != "" {
		s.token = token
	}
	if err := s.conn.Close(ctx); err != nil {
		s.runner.log.WithError(err).Debug("closing a connection")
	}
	s.conn = nil
}

// write runs one write and records its outcome.
func (s *session) write(ctx context.Context, a arrival, due time.Time) {
	id := s.beginWrite(a, due)
	err := s.send(ctx, a, id)
	if errors.As(err, new(*firstStatementError)) && s.reconnectAfterIdleClose(ctx, err) {
		// With the same request id, a first attempt that ran after all would be the answer, and the audit would not find it.
		s.ledger.record(time.Now(), id, s.id, a.transaction, NotRun)
		id = s.beginWrite(a, due)
		err = s.send(ctx, a, id)
	}
	result := outcomeOf(err)
	if result == Unknown && s.runner.workload.RequestIDs && !a.transaction {
		result, err = s.resend(ctx, a, id, err)
	}
	now := time.Now()
	s.ledger.record(now, id, s.id, a.transaction, result)
	switch result {
	case Acknowledged:
		s.lastWrite = id
		s.stats.recordSuccess(now.Sub(due), "")
	case NotRun:
		s.stats.recordRefusal(a, stateOf(err))
	default:
		s.stats.recordUnknown()
	}
	if stateOf(err) == stateUnique {
		s.runner.addFindings(func(f *Audit) { f.Duplicated = append(f.Duplicated, id) })
	}
	s.discardBroken(ctx, err)
}

// beginWrite adds a write to the ledger and returns its id.
func (s *session) beginWrite(a arrival, due time.Time) string {
	s.sequence++
	id := fmt.Sprintf("%s/%d", s.id, s.sequence)
	s.ledger.begin(due, id, s.id, a.transaction, !s.account.ExceedsRate())
	return id
}

// resend repeats a write with an unknown outcome through other addresses. A resend that did not run
// leaves the outcome of the first attempt unknown.
func (s *session) resend(ctx context.Context, a arrival, id string, err error) (Outcome, error) {
	for range maxResends {
		s.disconnect(ctx)
		s.addressIndex++
		if s.connect(ctx) != nil {
			break
		}
		if err = s.send(ctx, a, id); err == nil {
			return Acknowledged, nil
		}
	}
	return Unknown, err
}

// send runs the statements of a write once.
func (s *session) send(ctx context.Context, a arrival, id string) error {
	if s.runner.workload.RequestIDs && !a.transaction {
		if _, err := s.conn.Exec(ctx, fmt.Sprintf("SET %s = '%s'", parameterRequest, id)); err != nil {
			return &firstStatementError{uncommittedError{err}}
		}
	}
	if !a.transaction {
		_, err := s.conn.Exec(ctx, sqlInsertWrite, id, s.runner.id, s.id)
		if err != nil && outcomeOf(err) == NotRun { // a SET of the request id before it ran on no backend server
			return &firstStatementError{uncommittedError{err}}
		}
		return err
	}
	if _, err := s.conn.Exec(ctx, "BEGIN"); err != nil {
		return &firstStatementError{uncommittedError{err}}
	}
	for _, step := range []struct {
		sql  string
		args []any
	}{{sqlInsertWrite, []any{id, s.runner.id, s.id}}, {sqlIncrementCounter, []any{s.id}}} {
		if _, err := s.conn.Exec(ctx, step.sql, step.args...); err != nil {
			s.rollback(ctx)
			return &uncommittedError{err}
		}
	}
	tag, err := s.conn.Exec(ctx, "COMMIT")
	if err == nil && tag.String() != "COMMIT" {
		return &uncommittedError{errors.Newf("load: COMMIT answered %s", tag)}
	}
	return err
}

// rollback ends a failed transaction, and closes the connection if ROLLBACK fails.
func (s *session) rollback(ctx context.Context) {
	if _, err := s.conn.Exec(ctx, "ROLLBACK"); err != nil {
		s.disconnect(ctx)
	}
}

// uncommittedError wraps an error after which the write cannot have been committed.
type uncommittedError struct {
	error
}

func (e *uncommittedError) Unwrap() error {
	return e.error
}

// firstStatementError wraps an uncommittedError of the first statement of a request.
type firstStatementError struct {
	uncommittedError
}

func (e *firstStatementError) Unwrap() error {
	return &e.uncommittedError
}

// read looks up one write that must be visible to the session and reports it as stale if it is absent.
func (s *session) read(ctx context.Context, a arrival, due time.Time) {
	id, own := s.lastWrite, true
	if id == "" || !a.ownWrite {
		if other, ok := s.ledger.newestBefore(time.Now().Add(-s.maxAge)); ok {
			id, own = other, false
		}
	}
	var n int
	err := s.conn.QueryRow(ctx, sqlCountWrite, id).Scan(&n)
	if err != nil && s.reconnectAfterIdleClose(ctx, err) {
		err = s.conn.QueryRow(ctx, sqlCountWrite, id).Scan(&n)
	}
	if err != nil {
		s.stats.recordRefusal(a, stateOf(err))
		s.discardBroken(ctx, err)
		return
	}
	if id != "" && n != 1 {
		finding := fmt.Sprintf("%s by %s (age %s, via %s, %s)", id, s.id, s.maxAge, s.runner.addresses[s.addressIndex%len(s.runner.addresses)], s.servedBy())
		s.runner.addFindings(func(f *Audit) {
			if own {
				f.StaleOwn = append(f.StaleOwn, finding)
			} else {
				f.StaleAge = append(f.StaleAge, finding)
			}
		})
	}
	s.stats.recordSuccess(time.Since(due), s.servedBy())
}

func (s *session) servedBy() Served {
	switch by := Served(s.conn.PgConn().ParameterStatus(statusServed)); by {
	case ServedReplica, ServedPrimary:
		return by
	}
	return ServedUnknown
}

// discardBroken drops a connection that is closed or still in a transaction, and selects the next address.
func (s *session) discardBroken(ctx context.Context, err error) {
	if err == nil || s.conn == nil {
		return
	}
	if s.conn.IsClosed() || s.conn.PgConn().TxStatus() != 'I' {
		s.disconnect(ctx)
		s.addressIndex++
	}
}

// outcomeOf classifies the result of a write. A statement that returns an SQLSTATE was rolled back, except in
// class 08 (connection exception).
func outcomeOf(err error) Outcome {
	var uncommitted *uncommittedError
	var pgErr *pgconn.PgError
	switch {
	case err == nil:
		return Acknowledged
	case errors.As(err, &uncommitted), pgconn.SafeToRetry(err):
		return NotRun
	case errors.As(err, &pgErr) && !strings.HasPrefix(pgErr.Code, "08"):
		return NotRun
	}
	return Unknown
}

// stateOf returns the SQLSTATE of an error, or a short word if the error has none.
func stateOf(err error) string {
	var pgErr *pgconn.PgError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &pgErr):
		return pgErr.Code
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	}
	return stateBroken
}
