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
	reconnectPause = 20 * time.Millisecond // mean pause before another address is tried
	connectTimeout = 3 * time.Second
	resends        = 5               // of a write with an unknown outcome, with the same request id
	stateNoConnect = "no connection" // no address answered before the deadline
	stateCut       = "cut"           // the connection broke during a statement
	stateUnique    = "23505"
)

// caller is one session of an account. It keeps its identity when it reconnects. It belongs to one
// goroutine.
type caller struct {
	run       *Runner
	account   *Account
	tally     *tally
	ledger    *ledger
	id        string
	route     string
	age       time.Duration
	random    *rand.Rand
	address   int // index of the address in use
	conn      *pgx.Conn
	token     string
	roam      time.Time // when to reconnect elsewhere
	sequence  int
	lastWrite string // newest own write that was acknowledged
}

// work carries out arrivals until there are none.
func (c *caller) work(ctx context.Context, arrivals <-chan arrival) {
	for a := range arrivals {
		due := c.run.began.Add(a.due)
		c.one(ctx, a, due)
	}
	c.disconnect(ctx)
}

// one carries out one request. Its latency counts from the time at which it was due.
func (c *caller) one(ctx context.Context, a arrival, due time.Time) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(c.run.workload.Deadline))
	defer cancel()
	if ctx.Err() != nil {
		c.tally.expire()
		return
	}
	if c.roams() {
		c.disconnect(ctx)
		c.address++
	}
	if err := c.connect(ctx); err != nil {
		state := stateOf(err)
		if state == stateCut {
			state = stateNoConnect
		}
		c.tally.refuse(a, state)
		return
	}
	if a.write {
		c.write(ctx, a, due)
		return
	}
	c.read(ctx, a, due)
}

// moves reports whether the server had ended the connection while it was idle, so that the statement
// did not run. The caller then goes on at another address, as a connection pool would.
func (c *caller) moves(ctx context.Context, err error) bool {
	if stateOf(err) != string(outcome.SessionTerminated) && !pgconn.SafeToRetry(err) {
		return false
	}
	c.tally.move()
	c.disconnect(ctx)
	c.address++
	return c.connect(ctx) == nil
}

// roams reports whether it is time to move to another address.
func (c *caller) roams() bool {
	if c.run.workload.RoamInterval <= 0 {
		return false
	}
	now := time.Now()
	if now.Before(c.roam) {
		return false
	}
	first := c.roam.IsZero()
	c.roam = now.Add(time.Duration(c.random.ExpFloat64() * float64(c.run.workload.RoamInterval)))
	return !first
}

// connect opens the connection if there is none, at the next address that answers.
func (c *caller) connect(ctx context.Context) error {
	for c.conn == nil {
		err := c.dial(ctx)
		if err == nil {
			return nil
		}
		c.address++
		var p *pgconn.PgError
		if errors.As(err, &p) && (p.Code == string(outcome.InvalidKey) || p.Code == string(outcome.AccessDenied)) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(time.Duration((0.5 + c.random.Float64()) * float64(reconnectPause))):
		}
	}
	return nil
}

func (c *caller) dial(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	config, err := c.run.config(c.account, c.route, c.run.addresses[c.address%len(c.run.addresses)])
	if err != nil {
		return err
	}
	if c.token != "" && c.random.Float64() < c.run.workload.TokenShare {
		config.RuntimeParams["options"] = "-c " + parameterSession + "=" + c.token
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return err
	}
	if c.age > 0 {
		if _, err := conn.Exec(ctx, fmt.Sprintf("SET %s = '%s'", parameterAge, c.age)); err != nil {
			return errors.CombineErrors(err, conn.Close(ctx))
		}
	}
	c.conn = conn
	return nil
}

func (c *caller) disconnect(ctx context.Context) {
	if c.conn == nil {
		return
	}
	if token := c.conn.PgConn().ParameterStatus(parameterSession); token != "" {
		c.token = token
	}
	if err := c.conn.Close(ctx); err != nil {
		c.run.log.WithError(err).Debug("closing a connection")
	}
	c.conn = nil
}

// write sends one write and records what the caller learned.
func (c *caller) write(ctx context.Context, a arrival, due time.Time) {
	c.sequence++
	id := fmt.Sprintf("%s/%d", c.id, c.sequence)
	c.ledger.begin(due, id, c.id, a.whole, !c.account.ExceedsRate())
	err := c.send(ctx, a, id)
	if errors.As(err, new(*start)) && c.moves(ctx, err) {
		err = c.send(ctx, a, id)
	}
	v := verdict(err)
	if v == Unknown && c.run.workload.RequestIDs && !a.whole {
		v, err = c.resend(ctx, a, id, err)
	}
	now := time.Now()
	c.ledger.record(now, id, c.id, a.whole, v)
	switch v {
	case Acknowledged:
		c.lastWrite = id
		c.tally.success(now.Sub(due), "")
	case NotRun:
		c.tally.refuse(a, stateOf(err))
	default:
		c.tally.lose()
	}
	if stateOf(err) == stateUnique {
		c.run.found(func(f *Audit) { f.Duplicated = append(f.Duplicated, id) })
	}
	c.drop(ctx, err)
}

// resend repeats a write with an unknown outcome through other addresses. A resend that did not run
// leaves the outcome of the first attempt unknown.
func (c *caller) resend(ctx context.Context, a arrival, id string, err error) (Outcome, error) {
	for range resends {
		c.disconnect(ctx)
		c.address++
		if c.connect(ctx) != nil {
			break
		}
		if err = c.send(ctx, a, id); err == nil {
			return Acknowledged, nil
		}
	}
	return Unknown, err
}

// send runs the statements of a write once.
func (c *caller) send(ctx context.Context, a arrival, id string) error {
	if c.run.workload.RequestIDs && !a.whole {
		if _, err := c.conn.Exec(ctx, fmt.Sprintf("SET %s = '%s'", parameterRequest, id)); err != nil {
			return &start{before{err}}
		}
	}
	if !a.whole {
		_, err := c.conn.Exec(ctx, sqlInsert, id, c.run.id, c.id)
		if err != nil && verdict(err) == NotRun && !c.run.workload.RequestIDs {
			return &start{before{err}}
		}
		return err
	}
	if _, err := c.conn.Exec(ctx, "BEGIN"); err != nil {
		return &start{before{err}}
	}
	for _, step := range []struct {
		sql  string
		args []any
	}{{sqlInsert, []any{id, c.run.id, c.id}}, {sqlCount, []any{c.id}}} {
		if _, err := c.conn.Exec(ctx, step.sql, step.args...); err != nil {
			c.rollback(ctx)
			return &before{err}
		}
	}
	tag, err := c.conn.Exec(ctx, "COMMIT")
	if err == nil && tag.String() != "COMMIT" {
		return &before{errors.Newf("load: COMMIT answered %s", tag)}
	}
	return err
}

// rollback ends a failed transaction, or the connection if that fails.
func (c *caller) rollback(ctx context.Context) {
	if _, err := c.conn.Exec(ctx, "ROLLBACK"); err != nil {
		c.disconnect(ctx)
	}
}

// before marks an error after which nothing can have been committed, because COMMIT was not sent.
type before struct {
	error
}

func (b *before) Unwrap() error {
	return b.error
}

// start marks an error of the first statement of a request.
type start struct {
	before
}

func (s *start) Unwrap() error {
	return &s.before
}

// read sends one read and checks that it shows what it must.
func (c *caller) read(ctx context.Context, a arrival, due time.Time) {
	id, own := c.lastWrite, true
	if id == "" || !a.own {
		if other, ok := c.ledger.due(time.Now().Add(-c.age)); ok {
			id, own = other, false
		}
	}
	var n int
	err := c.conn.QueryRow(ctx, sqlLook, id).Scan(&n)
	if err != nil && c.moves(ctx, err) {
		err = c.conn.QueryRow(ctx, sqlLook, id).Scan(&n)
	}
	if err != nil {
		c.tally.refuse(a, stateOf(err))
		c.drop(ctx, err)
		return
	}
	if id != "" && n != 1 {
		finding := fmt.Sprintf("%s by %s (age %s, via %s, %s)", id, c.id, c.age, c.run.addresses[c.address%len(c.run.addresses)], c.servedBy())
		c.run.found(func(f *Audit) {
			if own {
				f.StaleOwn = append(f.StaleOwn, finding)
			} else {
				f.StaleAge = append(f.StaleAge, finding)
			}
		})
	}
	c.tally.success(time.Since(due), c.servedBy())
}

func (c *caller) servedBy() Served {
	switch s := Served(c.conn.PgConn().ParameterStatus(statusServed)); s {
	case ServedReplica, ServedPrimary:
		return s
	}
	return ServedUnknown
}

// drop forgets a connection that broke or that the server ended.
func (c *caller) drop(ctx context.Context, err error) {
	if err == nil || c.conn == nil {
		return
	}
	if c.conn.IsClosed() || c.conn.PgConn().TxStatus() != 'I' {
		c.disconnect(ctx)
		c.address++
	}
}

// verdict tells what an error says about a write. An error of a statement means that it was rolled
// back, except in class 08 (connection exception).
func verdict(err error) Outcome {
	var b *before
	var p *pgconn.PgError
	switch {
	case err == nil:
		return Acknowledged
	case errors.As(err, &b), pgconn.SafeToRetry(err):
		return NotRun
	case errors.As(err, &p) && !strings.HasPrefix(p.Code, "08"):
		return NotRun
	}
	return Unknown
}

// stateOf returns the SQLSTATE of an error, or a short word.
func stateOf(err error) string {
	var p *pgconn.PgError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &p):
		return p.Code
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	}
	return stateCut
}
