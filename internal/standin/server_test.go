package standin_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/standin"
)

// start starts an instance, which is closed at the end of the test.
func start(t *testing.T, configure func(*standin.Config)) *standin.Server {
	t.Helper()
	c := standin.Config{Server: "a", Group: "g", Zone: "z", Listen: "127.0.0.1:0", Slots: 3, Connections: 24, User: "system"}
	if configure != nil {
		configure(&c)
	}
	s, err := standin.Start(t.Context(), c)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

// startPrimary starts an instance that is primary of term 1.
func startPrimary(t *testing.T, configure func(*standin.Config)) *standin.Server {
	t.Helper()
	s := start(t, configure)
	_, err := s.Fence(1)
	require.NoError(t, err)
	_, err = s.Promote(1)
	require.NoError(t, err)
	return s
}

func connect(t *testing.T, s *standin.Server) *pgx.Conn {
	t.Helper()
	c, err := dial(t.Context(), s, "")
	require.NoError(t, err)
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func dial(ctx context.Context, s *standin.Server, password string) (*pgx.Conn, error) {
	c, err := pgx.ParseConfig("postgres://system@" + s.Address() + "/db?sslmode=disable")
	if err != nil {
		return nil, err
	}
	c.Password = password
	return pgx.ConnectConfig(ctx, c)
}

func exec(t *testing.T, c *pgx.Conn, sql string, args ...any) pgconn.CommandTag {
	t.Helper()
	tag, err := c.Exec(t.Context(), sql, args...)
	require.NoError(t, err, sql)
	return tag
}

func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// Guards against a stand-in that the unmodified pgx driver cannot use in one of its query modes.
func TestServesDriver(t *testing.T) {
	s := startPrimary(t, nil)
	modes := []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	}
	c := connect(t, s)
	exec(t, c, "CREATE TABLE IF NOT EXISTS claim (id bigint PRIMARY KEY, owner text NOT NULL, bottles int DEFAULT 6, open boolean, at timestamptz, UNIQUE (owner, bottles))")
	now := time.Now().UTC().Truncate(time.Microsecond)
	for i, mode := range modes {
		id := int64(i)
		tag := exec(t, c, "INSERT INTO claim (id, owner, open, at) VALUES ($1, $2, $3, $4)", mode, id, "o"+mode.String(), i%2 == 0, now)
		require.Equal(t, "INSERT 0 1", tag.String())
		tag = exec(t, c, "INSERT INTO claim (id, owner) VALUES ($1, 'x') ON CONFLICT DO NOTHING", mode, id)
		require.Zero(t, tag.RowsAffected())
		var owner string
		var bottles int
		var open bool
		var at time.Time
		err := c.QueryRow(t.Context(), "SELECT owner, bottles, open, at FROM claim WHERE id = $1", mode, id).Scan(&owner, &bottles, &open, &at)
		require.NoError(t, err, mode)
		require.Equal(t, "o"+mode.String(), owner)
		require.Equal(t, 6, bottles)
		require.Equal(t, i%2 == 0, open)
		require.True(t, at.Equal(now))
		require.NoError(t, c.QueryRow(t.Context(), "UPDATE claim SET bottles = bottles + $2 WHERE id = $1 RETURNING bottles", mode, id, 2).Scan(&bottles))
		require.Equal(t, 8, bottles)
		var count, sum, minID int64
		require.NoError(t, c.QueryRow(t.Context(), "SELECT count(*), sum(bottles), min(id) FROM claim WHERE id <= $1 AND (bottles > $2 OR owner = 'none')", mode, id, 7).Scan(&count, &sum, &minID))
		require.Equal(t, []int64{id + 1, 8 * (id + 1), 0}, []int64{count, sum, minID})
	}
	rows, err := c.Query(t.Context(), "SELECT id FROM claim ORDER BY id DESC LIMIT $1", 2)
	require.NoError(t, err)
	ids, err := pgx.CollectRows(rows, pgx.RowTo[int64])
	require.NoError(t, err)
	require.Equal(t, []int64{4, 3}, ids)
	_, err = c.Exec(t.Context(), "INSERT INTO claim (id, owner) VALUES (1, 'twice')")
	require.Equal(t, "23505", sqlState(err))
	require.Equal(t, "DELETE 1", exec(t, c, "DELETE FROM claim WHERE id = 1").String())
}

// Guards against changes of an open transaction that other sessions see, or that remain after a rollback.
func TestTransactions(t *testing.T) {
	s := startPrimary(t, nil)
	a, b := connect(t, s), connect(t, s)
	exec(t, a, "CREATE TABLE t (k text PRIMARY KEY, v int)")
	count := func(c *pgx.Conn) (n int) {
		require.NoError(t, c.QueryRow(t.Context(), "SELECT count(*) FROM t").Scan(&n))
		return n
	}
	exec(t, a, "BEGIN")
	exec(t, a, "INSERT INTO t VALUES ('x', 1), ('y', 2)")
	exec(t, a, "DELETE FROM t WHERE k = 'x'")
	require.Equal(t, 1, count(a))
	require.Equal(t, 0, count(b))
	exec(t, a, "ROLLBACK")
	require.Equal(t, 0, count(a))
	exec(t, a, "BEGIN")
	exec(t, a, "INSERT INTO t VALUES ('x', 1)")
	_, err := a.Exec(t.Context(), "INSERT INTO t VALUES ('x', 1)")
	require.Equal(t, "23505", sqlState(err))
	_, err = a.Exec(t.Context(), "SELECT 1")
	require.Equal(t, "25P02", sqlState(err))
	require.Equal(t, "ROLLBACK", exec(t, a, "COMMIT").String())
	require.Equal(t, 0, count(b))
	exec(t, a, "BEGIN READ ONLY")
	_, err = a.Exec(t.Context(), "INSERT INTO t VALUES ('x', 1)")
	require.Equal(t, "25006", sqlState(err))
	exec(t, a, "ROLLBACK")
	batch := &pgx.Batch{}
	batch.Queue("INSERT INTO t VALUES ($1, $2)", "p", 1)
	batch.Queue("INSERT INTO t VALUES ($1, $2)", "p", 2)
	require.Equal(t, "23505", sqlState(a.SendBatch(t.Context(), batch).Close()))
	require.Equal(t, 0, count(b), "a pipeline up to Sync is one transaction")
}

// Guards against a position that is not reported after a commit with writes, or that changes without one.
func TestReportsPosition(t *testing.T) {
	s := startPrimary(t, nil)
	c, l := connect(t, s), connect(t, s)
	exec(t, l, "LISTEN group_position")
	exec(t, c, "CREATE TABLE t (k int PRIMARY KEY)")
	require.Equal(t, "1/1", c.PgConn().ParameterStatus("group_position"))
	n, err := l.WaitForNotification(t.Context())
	require.NoError(t, err)
	require.Equal(t, "1/1", n.Payload)
	exec(t, c, "SELECT count(*) FROM t")
	exec(t, c, "DISCARD ALL")
	exec(t, c, "BEGIN")
	exec(t, c, "INSERT INTO t VALUES (1)")
	require.Equal(t, "1/1", c.PgConn().ParameterStatus("group_position"))
	exec(t, c, "COMMIT")
	require.Equal(t, "1/2", c.PgConn().ParameterStatus("group_position"))
	var role, history string
	require.NoError(t, l.QueryRow(t.Context(), "SELECT role, history FROM group_status()").Scan(&role, &history))
	require.Equal(t, "primary 1/0", role+" "+history)
}

// Guards against a login with a wrong password and against a cancel request that is ignored.
func TestPasswordAndCancel(t *testing.T) {
	s := startPrimary(t, func(c *standin.Config) { c.Password = "secret" })
	_, err := dial(t.Context(), s, "wrong")
	require.Equal(t, "28P01", sqlState(err))
	c, err := dial(t.Context(), s, "secret")
	require.NoError(t, err)
	defer c.Close(t.Context())
	time.AfterFunc(20*time.Millisecond, func() { c.PgConn().CancelRequest(t.Context()) })
	_, err = c.Exec(t.Context(), "SELECT pg_sleep($1)", 30)
	require.Equal(t, "57014", sqlState(err))
	require.NoError(t, c.Ping(t.Context()))
}
