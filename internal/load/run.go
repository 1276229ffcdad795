// Package load drives PostgreSQL addresses as the callers of a workload would, in an open loop from a
// seed, and audits what it was told: writes are present exactly once, sessions read their own writes,
// and stated ages are kept.
package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"golang.org/x/sync/errgroup"
)

// Tables of the load tool. The id of a write is a primary key, so a write that runs twice fails with
// 23505 and is found. The counter of a session catches transactions that were applied in part.
const (
	sqlWrites   = "CREATE TABLE IF NOT EXISTS load_write (id text PRIMARY KEY, run text NOT NULL, session text NOT NULL)"
	sqlSessions = "CREATE TABLE IF NOT EXISTS load_session (id text PRIMARY KEY, run text NOT NULL, writes bigint NOT NULL)"
	sqlOpen     = "INSERT INTO load_session (id, run, writes) VALUES ($1, $2, 0) ON CONFLICT DO NOTHING"
	sqlInsert   = "INSERT INTO load_write (id, run, session) VALUES ($1, $2, $3)"
	sqlCount    = "UPDATE load_session SET writes = writes + 1 WHERE id = $1"
	sqlLook     = "SELECT count(*) FROM load_write WHERE id = $1"
	sqlFound    = "SELECT id FROM load_write WHERE run = $1"
	sqlCounters = "SELECT id, writes FROM load_session WHERE run = $1"
)

const (
	prepareWait = 60 * time.Second // bound of the preparation, during which a group may elect its first primary
	auditWait   = 60 * time.Second // bound of the final reads, during which a failover may still go on
	retryPause  = 100 * time.Millisecond
	// queueLength bounds the arrivals that wait for a session of their account. Beyond it the schedule
	// falls behind, which the latencies show, since they count from the due time.
	queueLength = 4096
)

// Runner is one run of a workload.
type Runner struct {
	workload  *Workload
	addresses []string
	id        string // distinguishes runs in the tables
	began     time.Time
	log       log.Interface

	mu       sync.Mutex
	findings Audit
}

// Run drives the addresses and returns the report. The error is about the run itself; violations are
// in the report.
func Run(ctx context.Context, w *Workload, addresses []string) (*Report, error) {
	if err := w.Check(); err != nil {
		return nil, err
	}
	if len(addresses) == 0 {
		return nil, refuse("list of addresses", "give at least one IP:port")
	}
	r := &Runner{workload: w, addresses: addresses, log: log.WithField("workload", w.Name), id: fmt.Sprintf("%s-%d-%d", w.Name, w.Seed, time.Now().UnixNano())}
	callers, ledgers := r.callers()
	if err := r.prepare(ctx, callers); err != nil {
		return nil, err
	}
	report := &Report{Workload: w.Name, Seed: w.Seed}
	r.began = time.Now()
	tallies := r.drive(ctx, callers)
	ended := time.Now()
	report.Duration = ended.Sub(r.began)
	for _, route := range ledgers.names {
		gap, stall := ledgers.routes[route].finish(r.began, r.began.Add(w.Duration))
		report.WriteGap, report.WriteStall = max(report.WriteGap, gap), max(report.WriteStall, stall)
	}
	for i := range w.Accounts {
		report.Accounts = append(report.Accounts, tallies[i].report(&w.Accounts[i]))
	}
	report.Audit = r.audit(ctx, ledgers)
	report.summarize()
	return report, ctx.Err()
}

// ledgers holds one ledger per route, with an account that may read it.
type ledgers struct {
	names   []string // in order of first use
	routes  map[string]*ledger
	readers map[string]*Account
}

// callers makes the sessions of all accounts, grouped by account.
func (r *Runner) callers() ([][]*caller, *ledgers) {
	l := &ledgers{routes: map[string]*ledger{}, readers: map[string]*Account{}}
	all := make([][]*caller, len(r.workload.Accounts))
	for i := range r.workload.Accounts {
		a := &r.workload.Accounts[i]
		for n := range a.Sessions {
			route := a.Routes[n%len(a.Routes)]
			if l.routes[route] == nil {
				l.names = append(l.names, route)
				l.routes[route] = newLedger()
				l.readers[route] = a
			}
			id := fmt.Sprintf("%s/%s/%d", r.id, a.Name, n)
			l.routes[route].sessions = append(l.routes[route].sessions, id)
			all[i] = append(all[i], &caller{
				run: r, account: a, ledger: l.routes[route], id: id, route: route, age: a.MaxAges[n/len(a.Routes)%len(a.MaxAges)],
				random: random(r.workload.Seed, fmt.Sprintf("%s/%d", a.Name, n)), address: n,
			})
		}
	}
	return all, l
}

// prepare makes the tables and the rows of the sessions.
func (r *Runner) prepare(ctx context.Context, callers [][]*caller) error {
	ctx, cancel := context.WithTimeout(ctx, prepareWait)
	defer cancel()
	made := map[string]bool{}
	for _, group := range callers {
		for _, c := range group {
			if !made[c.route] {
				if err := r.retry(ctx, c.account, c.route, exec(sqlWrites), exec(sqlSessions)); err != nil {
					return errors.WithHint(errors.Wrapf(err, "load: creating the tables on route %s", c.route), "check the addresses, the user and that the group has a primary")
				}
				made[c.route] = true
			}
			if err := r.retry(ctx, c.account, c.route, exec(sqlOpen, c.id, r.id)); err != nil {
				return errors.Wrapf(err, "load: preparing session %s", c.id)
			}
		}
	}
	return nil
}

type step func(context.Context, *pgx.Conn) error

func exec(sql string, args ...any) step {
	return func(ctx context.Context, c *pgx.Conn) error {
		_, err := c.Exec(ctx, sql, args...)
		return err
	}
}

// retry runs idempotent steps on a fresh connection until they succeed.
func (r *Runner) retry(ctx context.Context, a *Account, route string, steps ...step) error {
	for i := 0; ; i++ {
		err := r.once(ctx, a, route, r.addresses[i%len(r.addresses)], steps)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryPause):
		}
	}
}

func (r *Runner) once(ctx context.Context, a *Account, route, address string, steps []step) error {
	config, err := r.config(a, route, address)
	if err != nil {
		return err
	}
	c, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return err
	}
	for _, s := range steps {
		if err := s(ctx, c); err != nil {
			return errors.CombineErrors(err, c.Close(ctx))
		}
	}
	return c.Close(ctx)
}

// config describes a connection of an account.
func (r *Runner) config(a *Account, route, address string) (*pgx.ConnConfig, error) {
	c, err := pgx.ParseConfig("postgres://" + address + "/?sslmode=disable")
	if err != nil {
		return nil, err
	}
	c.User, c.Password, c.Database = a.User, a.Password, route
	c.RuntimeParams = map[string]string{"application_name": "load/" + a.Name}
	return c, nil
}

// drive plays the schedule of every account and returns their tallies.
func (r *Runner) drive(ctx context.Context, callers [][]*caller) []*tally {
	var g errgroup.Group
	tallies := make([]*tally, len(callers))
	for i, sessions := range callers {
		arrivals := r.workload.schedule(&r.workload.Accounts[i])
		tallies[i] = newTally(arrivals)
		queue := make(chan arrival, queueLength)
		for _, c := range sessions {
			c.tally = tallies[i]
			g.Go(func() error {
				c.work(ctx, queue)
				return nil
			})
		}
		g.Go(func() error {
			defer close(queue)
			return r.release(ctx, arrivals, queue)
		})
	}
	// The goroutines return no error but that of ctx, which Run reports.
	_ = g.Wait()
	return tallies
}

// release hands out arrivals when they are due.
func (r *Runner) release(ctx context.Context, arrivals []arrival, queue chan<- arrival) error {
	for _, a := range arrivals {
		if wait := time.Until(r.began.Add(a.due)); wait > 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(wait):
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case queue <- a:
		}
	}
	return nil
}

// found adds findings that are made while the load runs.
func (r *Runner) found(add func(*Audit)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add(&r.findings)
}

// audit reads all rows of the run and compares them with the ledgers.
func (r *Runner) audit(ctx context.Context, l *ledgers) Audit {
	ctx, cancel := context.WithTimeout(ctx, auditWait)
	defer cancel()
	r.mu.Lock()
	total := r.findings
	r.mu.Unlock()
	for _, route := range l.names {
		present, counters, err := r.content(ctx, l.readers[route], route)
		if err != nil {
			total.Unaudited = append(total.Unaudited, fmt.Sprintf("%s (%v)", route, err))
			continue
		}
		total.add(l.routes[route].compare(present, counters))
	}
	return total
}

// content reads the writes and the counters of this run from one route.
func (r *Runner) content(ctx context.Context, a *Account, route string) (present, counters map[string]int, err error) {
	err = r.retry(ctx, a, route, func(ctx context.Context, c *pgx.Conn) error {
		present, counters = map[string]int{}, map[string]int{}
		rows, err := c.Query(ctx, sqlFound, r.id)
		if err != nil {
			return err
		}
		var id string
		if _, err := pgx.ForEachRow(rows, []any{&id}, func() error {
			present[id]++
			return nil
		}); err != nil {
			return err
		}
		if rows, err = c.Query(ctx, sqlCounters, r.id); err != nil {
			return err
		}
		var n int
		_, err = pgx.ForEachRow(rows, []any{&id, &n}, func() error {
			counters[id] = n
			return nil
		})
		return err
	})
	return present, counters, err
}
