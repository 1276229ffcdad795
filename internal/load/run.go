// Package load is an open-loop load generator for PostgreSQL addresses with an audit of consistency. The
// requests of a workload follow from a seed. The audit checks that acknowledged writes are present exactly
// once, that sessions read their own writes, and that reads are no staler than their stated age.
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

// Statements on the tables of the load tool. The id of a write is a primary key, so a write that runs twice
// fails with 23505 and is reported. The counter of a session reveals transactions applied in part.
const (
	sqlCreateWrites     = "CREATE TABLE IF NOT EXISTS load_write (id text PRIMARY KEY, run text NOT NULL, session text NOT NULL)"
	sqlCreateSessions   = "CREATE TABLE IF NOT EXISTS load_session (id text PRIMARY KEY, run text NOT NULL, writes bigint NOT NULL)"
	sqlInsertSession    = "INSERT INTO load_session (id, run, writes) VALUES ($1, $2, 0) ON CONFLICT DO NOTHING"
	sqlInsertWrite      = "INSERT INTO load_write (id, run, session) VALUES ($1, $2, $3)"
	sqlIncrementCounter = "UPDATE load_session SET writes = writes + 1 WHERE id = $1"
	sqlCountWrite       = "SELECT count(*) FROM load_write WHERE id = $1"
	sqlSelectWrites     = "SELECT id FROM load_write WHERE run = $1"
	sqlSelectCounters   = "SELECT id, writes FROM load_session WHERE run = $1"
)

const (
	prepareTimeout = 60 * time.Second // covers the promotion of the first primary of a new group
	auditTimeout   = 60 * time.Second // covers a failover that is still in progress at the end of the run
	retryPause     = 100 * time.Millisecond
	// maxQueuedArrivals bounds the arrivals that wait for a session of their account. Beyond it the schedule
	// falls behind. The latencies include that delay, since they count from the due time.
	maxQueuedArrivals = 4096
)

// Runner is one run of a workload.
type Runner struct {
	workload  *Workload
	addresses []string
	id        string // distinguishes runs in the tables
	started   time.Time
	log       log.Interface

	mu       sync.Mutex
	findings Audit
}

// Run applies the workload to the addresses and returns the report. Violations of consistency are in the
// report; an error means that the run itself failed or was canceled.
func Run(ctx context.Context, w *Workload, addresses []string) (*Report, error) {
	if err := w.Check(); err != nil {
		return nil, err
	}
	if len(addresses) == 0 {
		return nil, invalid("list of addresses", "give at least one IP:port")
	}
	r := &Runner{workload: w, addresses: addresses, log: log.WithField("workload", w.Name), id: fmt.Sprintf("%s-%d-%d", w.Name, w.Seed, time.Now().UnixNano())}
	sessions, ledgers := r.newSessions()
	if err := r.prepare(ctx, sessions); err != nil {
		return nil, err
	}
	report := &Report{Workload: w.Name, Seed: w.Seed}
	r.started = time.Now()
	stats := r.runSessions(ctx, sessions)
	ended := time.Now()
	report.Duration = ended.Sub(r.started)
	for _, route := range ledgers.names {
		gap, stall := ledgers.routes[route].finish(r.started, r.started.Add(w.Duration))
		report.WriteGap, report.WriteStall = max(report.WriteGap, gap), max(report.WriteStall, stall)
	}
	for i := range w.Accounts {
		report.Accounts = append(report.Accounts, stats[i].report(&w.Accounts[i]))
	}
	report.Audit = r.audit(ctx, ledgers)
	report.summarize()
	return report, ctx.Err()
}

// ledgers has one ledger per route and an account that may use the route.
type ledgers struct {
	names   []string // in order of first use
	routes  map[string]*ledger
	readers map[string]*Account
}

// newSessions creates the sessions of all accounts, grouped by account, and the ledgers of their routes.
func (r *Runner) newSessions() ([][]*session, *ledgers) {
	l := &ledgers{routes: map[string]*ledger{}, readers: map[string]*Account{}}
	all := make([][]*session, len(r.workload.Accounts))
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
			all[i] = append(all[i], &session{
				runner: r, account: a, ledger: l.routes[route], id: id, route: route, maxAge: a.MaxAges[n/len(a.Routes)%len(a.MaxAges)],
				random: newRandom(r.workload.Seed, fmt.Sprintf("%s/%d", a.Name, n)), addressIndex: n,
			})
		}
	}
	return all, l
}

// prepare creates the tables and the counter rows of the sessions.
func (r *Runner) prepare(ctx context.Context, sessions [][]*session) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	created := map[string]bool{}
	for _, ofAccount := range sessions {
		for _, s := range ofAccount {
			if !created[s.route] {
				if err := r.retry(ctx, s.account, s.route, exec(sqlCreateWrites), exec(sqlCreateSessions)); err != nil {
					return errors.WithHint(errors.Wrapf(err, "load: creating the tables on route %s", s.route), "check the addresses, the user and that the group has a primary")
				}
				created[s.route] = true
			}
			if err := r.retry(ctx, s.account, s.route, exec(sqlInsertSession, s.id, r.id)); err != nil {
				return errors.Wrapf(err, "load: preparing session %s", s.id)
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

// retry runs idempotent steps on new connections, each to the next address, until they succeed.
func (r *Runner) retry(ctx context.Context, a *Account, route string, steps ...step) error {
	for i := 0; ; i++ {
		err := r.runSteps(ctx, a, route, r.addresses[i%len(r.addresses)], steps)
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

func (r *Runner) runSteps(ctx context.Context, a *Account, route, address string, steps []step) error {
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

// config returns the settings of a connection of an account.
func (r *Runner) config(a *Account, route, address string) (*pgx.ConnConfig, error) {
	c, err := pgx.ParseConfig("postgres://" + address + "/?sslmode=disable")
	if err != nil {
		return nil, err
	}
	c.User, c.Password, c.Database = a.User, a.Password, route
	c.RuntimeParams = map[string]string{"application_name": "load/" + a.Name}
	return c, nil
}

// runSessions runs the schedule of every account and returns the statistics by account.
func (r *Runner) runSessions(ctx context.Context, sessions [][]*session) []*accountStats {
	var g errgroup.Group
	stats := make([]*accountStats, len(sessions))
	for i, ofAccount := range sessions {
		arrivals := r.workload.schedule(&r.workload.Accounts[i])
		stats[i] = newStats(arrivals)
		queue := make(chan arrival, maxQueuedArrivals)
		for _, s := range ofAccount {
			s.stats = stats[i]
			g.Go(func() error {
				s.runArrivals(ctx, queue)
				return nil
			})
		}
		g.Go(func() error {
			defer close(queue)
			return r.dispatch(ctx, arrivals, queue)
		})
	}
	// The goroutines return no error but the one of ctx, which Run returns.
	_ = g.Wait()
	return stats
}

// dispatch sends each arrival to the queue when it is due.
func (r *Runner) dispatch(ctx context.Context, arrivals []arrival, queue chan<- arrival) error {
	for _, a := range arrivals {
		if wait := time.Until(r.started.Add(a.due)); wait > 0 {
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

// addFindings records violations that sessions observe during the run.
func (r *Runner) addFindings(add func(*Audit)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add(&r.findings)
}

// audit compares the rows of the run with the ledgers and adds the findings of the sessions.
func (r *Runner) audit(ctx context.Context, l *ledgers) Audit {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	r.mu.Lock()
	total := r.findings
	r.mu.Unlock()
	for _, route := range l.names {
		present, counters, err := r.readContent(ctx, l.readers[route], route)
		if err != nil {
			total.Unaudited = append(total.Unaudited, fmt.Sprintf("%s (%v)", route, err))
			continue
		}
		total.add(l.routes[route].compare(present, counters))
	}
	return total
}

// readContent returns the writes and the session counters of this run on one route.
func (r *Runner) readContent(ctx context.Context, a *Account, route string) (present, counters map[string]int, err error) {
	err = r.retry(ctx, a, route, func(ctx context.Context, c *pgx.Conn) error {
		present, counters = map[string]int{}, map[string]int{}
		rows, err := c.Query(ctx, sqlSelectWrites, r.id)
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
		if rows, err = c.Query(ctx, sqlSelectCounters, r.id); err != nil {
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
