package controlvm

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgxpool"

	"fireflyrudder.example/fireflyrudder/internal/failover"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// Limits of the calls to one backend server.
const (
	maxServerConnections  = 2 // each instance reserves this number for control VMs
	callTimeout           = 500 * time.Millisecond
	followTimeout         = time.Second // group_follow waits up to 300 ms for the primary's log
	idleConnectionTimeout = 30 * time.Second
)

// sqlstateWrongState is the SQLSTATE that an instance returns if it promised a higher term or may not change
// its role (object_not_in_prerequisite_state).
const sqlstateWrongState = "55000"

// instance is the row of state that the functions of a backend server return.
type instance struct {
	Server      string
	Group       string
	Role        string
	Term        uint64
	LastTerm    uint64
	Pos         uint64
	History     position.History
	Primary     string
	Promised    uint64
	Slots       int
	Connections int
}

// postgresClient is a BackendClient that calls SQL functions of backend servers. It is safe for concurrent
// use.
type postgresClient struct {
	user     string
	password string
	name     string // application_name
	metrics  *metrics

	mu    sync.Mutex
	pools map[string]*pgxpool.Pool // by address
}

func newPostgresClient(user, password, identity string, m *metrics) *postgresClient {
	return &postgresClient{
		user: user, password: password, name: "control/" + identity, metrics: m, pools: map[string]*pgxpool.Pool{},
	}
}

// Close closes all connections.
func (b *postgresClient) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.pools {
		p.Close()
	}
	clear(b.pools)
}

// pool returns the connection pool of an address. Connections are opened on first use.
func (b *postgresClient) pool(address string) (*pgxpool.Pool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[address]; p != nil {
		return p, nil
	}
	c, err := pgxpool.ParseConfig("postgres://" + address + "/postgres?sslmode=disable")
	if err != nil {
		return nil, err
	}
	c.ConnConfig.User, c.ConnConfig.Password = b.user, b.password
	c.ConnConfig.ConnectTimeout = callTimeout
	c.ConnConfig.RuntimeParams["application_name"] = b.name
	c.ConnConfig.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	c.MaxConns = maxServerConnections
	c.MaxConnIdleTime = idleConnectionTimeout
	p, err := pgxpool.NewWithConfig(context.Background(), c)
	if err != nil {
		return nil, err
	}
	b.pools[address] = p
	return p, nil
}

// Call calls the function that the failover policy requests.
func (b *postgresClient) Call(ctx context.Context, c failover.Call) (failover.Report, error) {
	var i instance
	var err error
	switch term := uint64(c.Term); c.Function {
	case failover.Fence:
		i, err = b.fence(ctx, c.Address, term)
	case failover.Promote:
		i, err = b.promote(ctx, c.Address, term)
	case failover.Follow:
		i, err = b.follow(ctx, c.Address, term, c.Primary)
	default:
		i, err = b.status(ctx, c.Address)
	}
	return i.report(c.Address), err
}

// status returns the state of an instance.
func (b *postgresClient) status(ctx context.Context, address string) (instance, error) {
	return b.queryState(ctx, callTimeout, address, "SELECT * FROM group_status()")
}

// fence makes an instance promise a term.
func (b *postgresClient) fence(ctx context.Context, address string, term uint64) (instance, error) {
	return b.queryState(ctx, callTimeout, address, "SELECT * FROM group_fence($1)", int64(term))
}

// promote makes an instance the primary of the term it promised.
func (b *postgresClient) promote(ctx context.Context, address string, term uint64) (instance, error) {
	return b.queryState(ctx, callTimeout, address, "SELECT * FROM group_promote($1)", int64(term))
}

// follow makes an instance follow the primary of a term.
func (b *postgresClient) follow(ctx context.Context, address string, term uint64, primary string) (instance, error) {
	return b.queryState(ctx, followTimeout, address, "SELECT * FROM group_follow($1, $2)", int64(term), primary)
}

// Terminate closes all connections of an entry VM to an instance.
func (b *postgresClient) Terminate(ctx context.Context, address, entry string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p, err := b.pool(address)
	if err != nil {
		return err
	}
	var count int
	err = p.QueryRow(ctx, "SELECT group_terminate($1)", entry+"/").Scan(&count)
	return b.countCall(address, err)
}

// queryState runs a query that returns the state of an instance.
func (b *postgresClient) queryState(ctx context.Context, limit time.Duration, address, sql string, args ...any) (instance, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	p, err := b.pool(address)
	if err != nil {
		return instance{}, err
	}
	var i instance
	var history string
	var term, last, pos, promised int64
	err = p.QueryRow(ctx, sql, args...).Scan(&i.Server, &i.Group, &i.Role, &term, &last, &pos, &history, &i.Primary, &promised, &i.Slots, &i.Connections)
	if err = b.countCall(address, err); err != nil {
		return instance{}, err
	}
	i.Term, i.LastTerm, i.Pos, i.Promised = uint64(term), uint64(last), uint64(pos), uint64(promised)
	i.History, err = position.ParseHistory(history)
	return i, err
}

// countCall counts a call and wraps its error.
func (b *postgresClient) countCall(address string, err error) error {
	b.metrics.calls.Add(1)
	if err != nil {
		b.metrics.callErrors.Add(1)
	}
	return errors.Wrapf(err, "controlvm: backend server at %s", address)
}

// promisedHigher reports whether an instance rejected a call because of its promise or role. Unlike a
// connection error, this shows that the instance is reachable.
func promisedHigher(err error) bool {
	var refused *pgconn.PgError
	return errors.As(err, &refused) && strings.EqualFold(refused.Code, sqlstateWrongState)
}
