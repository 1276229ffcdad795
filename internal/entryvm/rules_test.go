package entryvm_test

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"fireflyrudder.example/fireflyrudder/internal/standin"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

type standinConfig = standin.Config

// Guards against a second run of a request that is sent again with the same request id, in the same session, through
// another entry VM or after a failover.
func TestRequestRunsAtMostOnce(t *testing.T) {
	cl := newCluster(t, 3, nil)
	first, second := cl.startEntry(nil), cl.startEntry(nil)
	c, other := first.connect(t, nil), second.connect(t, nil)
	createClaimTable(t, c)
	once := func(c *pgx.Conn, id, sql string, args ...any) (string, error) {
		exec(t, c, "SET fireflyrudder.request = '"+id+"'")
		tag, err := c.Exec(background, sql, args...)
		return tag.String(), err
	}
	for _, conn := range []*pgx.Conn{c, c, other} {
		tag, err := once(conn, "one", "INSERT INTO claim (id, owner) VALUES (1, 'a'), (2, 'b')")
		require.NoError(t, err)
		require.Equal(t, "INSERT 0 2", tag)
		tag, err = once(conn, "two", "INSERT INTO claim (id, owner) VALUES ($1, $2)", 3, "c")
		require.NoError(t, err)
		require.Equal(t, "INSERT 0 1", tag)
	}
	_, err := once(c, "two", "INSERT INTO claim (id, owner) VALUES ($1, $2)", 4, "c")
	require.Equal(t, "FR006", sqlState(err))
	_, err = once(c, "bad", "INSERT INTO claim (id, owner) VALUES (1, 'twice')")
	require.Equal(t, "23505", sqlState(err))
	tag, err := once(c, "bad", "INSERT INTO claim (id, owner) VALUES (5, 'e')")
	require.NoError(t, err, "a request that failed left no record")
	require.Equal(t, "INSERT 0 1", tag)

	cl.promote(1)
	tag, err = once(c, "one", "INSERT INTO claim (id, owner) VALUES (1, 'a'), (2, 'b')")
	require.NoError(t, err)
	require.Equal(t, "INSERT 0 2", tag)

	for range 2 {
		exec(t, c, "SET fireflyrudder.request = 'transaction'")
		exec(t, c, "BEGIN")
		exec(t, c, "INSERT INTO claim (id, owner) VALUES (10, 'x') ON CONFLICT DO NOTHING")
		exec(t, c, "INSERT INTO claim (id, owner) VALUES ($1, 'y') ON CONFLICT DO NOTHING", 11)
		tag, err := c.Exec(background, "COMMIT")
		require.NoError(t, err)
		require.Equal(t, "COMMIT", tag.String())
	}
	require.Equal(t, 6, queryInt(t, c, "SELECT count(*) FROM claim"))
}

// Guards against withdrawn keys that remain valid for connected callers, and against access without a valid key or
// to routes of other accounts.
func TestWithdrawnKeyClosesSessions(t *testing.T) {
	cl := newCluster(t, 3, nil)
	e := cl.startEntry(nil)
	c := e.connect(t, nil)
	createClaimTable(t, c)
	second, err := e.dial(background, "tide/second", testKey, testRoute, nil)
	require.NoError(t, err)
	defer second.Close(background)
	inside, err := e.dial(background, "tide/second", testKey, testRoute, nil)
	require.NoError(t, err)
	defer inside.Close(background)
	exec(t, inside, "BEGIN")
	exec(t, inside, "INSERT INTO claim (id, owner) VALUES (1, 'a')")
	cl.control.change(t, &wire.Edit{Edit: &wire.Edit_WithdrawKey{WithdrawKey: &wire.KeyName{Account: "tide", Key: "second"}}})
	require.Eventually(t, func() bool {
		_, err := second.Exec(background, "SELECT 1")
		return err != nil
	}, 3*time.Second, 10*time.Millisecond, "the withdrawal is not in force in time")
	_, err = inside.Exec(background, "COMMIT")
	require.Error(t, err)
	require.Zero(t, queryInt(t, c, "SELECT count(*) FROM claim"))
	_, err = e.dial(background, "tide/second", testKey, testRoute, nil)
	require.Equal(t, "28P01", sqlState(err))
	_, err = e.dial(background, "tide", "wrong", testRoute, nil)
	require.Equal(t, "28P01", sqlState(err))
	_, err = e.dial(background, "nobody", testKey, testRoute, nil)
	require.Equal(t, "28P01", sqlState(err))
	_, err = e.dial(background, "slow", testKey, "current", nil)
	require.Equal(t, "28000", sqlState(err))
	_, err = e.dial(background, "public", "", testRoute, nil)
	require.Equal(t, "28000", sqlState(err))
	open, err := e.dial(background, "public", "", "open", nil)
	require.NoError(t, err)
	require.Zero(t, queryInt(t, open, "SELECT count(*) FROM claim"))
	open.Close(background)
}

// Guards against new requests on a retired server.
func TestRetiredServerGetsNoWork(t *testing.T) {
	cl := newCluster(t, 3, nil)
	e := cl.startEntry(nil)
	c := e.connect(t, nil)
	createClaimTable(t, c)
	cl.control.change(t, &wire.Edit{Edit: &wire.Edit_RetireServer{RetireServer: "b"}})
	time.Sleep(100 * time.Millisecond)
	cl.servers[1].Hooks().SetDelay(time.Minute)
	for range 100 {
		require.Zero(t, queryInt(t, c, "SELECT count(*) FROM claim"))
	}
}

// Guards against new requests on a server whose availability zone is evacuated, and against an evacuated replica that confirms
// no commits any more: it stays a member.
func TestEvacuatedServerOnlyConfirms(t *testing.T) {
	cl := newCluster(t, 3, nil)
	cl.control.evacuated = map[string]bool{"b": true, "c": true}
	c := cl.startEntry(nil).connect(t, nil)
	createClaimTable(t, c)
	exec(t, c, "INSERT INTO claim (id, owner) VALUES (1, 'a')")
	cl.servers[0].Hooks().SetServiceTime(10 * time.Millisecond) // replicas would be preferred
	cl.servers[1].Hooks().SetServiceTime(time.Minute)
	cl.servers[2].Hooks().SetServiceTime(time.Minute)
	for range 50 {
		require.Equal(t, 1, queryInt(t, c, "SELECT count(*) FROM claim"))
	}
}

// Guards against writes on a primary whose availability zone is evacuated.
func TestEvacuatedPrimaryGetsNoWrites(t *testing.T) {
	cl := newCluster(t, 3, nil)
	cl.control.evacuated = map[string]bool{"a": true}
	c := cl.startEntry(nil).connect(t, nil)
	_, err := c.Exec(background, "CREATE TABLE claim (id int PRIMARY KEY, owner text)")
	require.Contains(t, []string{"FR002", "FR003", "FR005"}, sqlState(err), "%v", err)
	require.ErrorContains(t, err, "evacuated")
}

// Guards against an entry VM that serves requests without a configuration lease.
func TestNoLeaseRefuses(t *testing.T) {
	cl := newCluster(t, 3, nil)
	e := cl.startEntry(nil)
	c := e.connect(t, nil)
	createClaimTable(t, c)
	cl.control.setUnavailable(true)
	var err error
	require.Eventually(t, func() bool {
		_, err = c.Exec(background, "INSERT INTO claim (id, owner) VALUES (1, 'a') ON CONFLICT DO NOTHING")
		return err != nil
	}, 4*time.Second, 20*time.Millisecond)
	require.Contains(t, []string{"FR004", "FR002", "FR003"}, sqlState(err), "credits and connections may end a little earlier")
	require.Eventually(t, func() bool { return e.Ready(background) != nil }, 4*time.Second, 10*time.Millisecond)
	_, err = c.Exec(background, "SELECT 1")
	require.Equal(t, "FR004", sqlState(err))
	cl.control.setUnavailable(false)
	require.Eventually(t, func() bool { return e.Ready(background) == nil }, 4*time.Second, 10*time.Millisecond)
	exec(t, c, "INSERT INTO claim (id, owner) VALUES (2, 'a')")
}

// Guards against a statement that runs after a wait for a slot although its key was withdrawn meanwhile.
func TestWaitingStatementIsCheckedAgain(t *testing.T) {
	cl := newCluster(t, 1, nil)
	e := cl.startEntry(nil)
	other, err := e.dial(background, "tide/second", testKey, testRoute, nil)
	require.NoError(t, err)
	defer other.Close(background)
	createClaimTable(t, other)
	var busy errgroup.Group
	for range 3 { // one for each slot
		c, err := e.dial(background, "tide/second", testKey, testRoute, nil)
		require.NoError(t, err)
		defer c.Close(background)
		busy.Go(func() error {
			_, err := c.Exec(background, "SELECT pg_sleep(2)")
			return err
		})
	}
	time.Sleep(200 * time.Millisecond)
	waiter := e.connect(t, nil)
	var waiting errgroup.Group
	waiting.Go(func() error {
		_, err := waiter.Exec(background, "INSERT INTO claim (id, owner) VALUES (1, 'late')", pgx.QueryExecModeSimpleProtocol)
		return err
	})
	time.Sleep(200 * time.Millisecond)
	cl.control.change(t, &wire.Edit{Edit: &wire.Edit_WithdrawKey{WithdrawKey: &wire.KeyName{Account: "tide", Key: "main"}}})
	require.Error(t, waiting.Wait())
	require.NoError(t, busy.Wait())
	require.Zero(t, queryInt(t, other, "SELECT count(*) FROM claim"))
}

// Guards against statements that run although the account exceeds its rate.
func TestOverRate(t *testing.T) {
	cl := newCluster(t, 3, nil)
	e := cl.startEntry(nil)
	c, err := e.dial(background, "slow", testKey, testRoute, nil)
	require.NoError(t, err)
	defer c.Close(background)
	admitted := 0
	var last error
	for range 10 {
		if _, err := c.Exec(background, "SELECT 1", pgx.QueryExecModeSimpleProtocol); err == nil {
			admitted++
		} else {
			last = err
		}
	}
	require.Equal(t, "FR002", sqlState(last))
	require.LessOrEqual(t, admitted, 5, "a burst of 2 and 1 per second")
}

// Guards against requests that are aborted by a graceful shutdown.
func TestGracefulShutdown(t *testing.T) {
	cl := newCluster(t, 3, nil)
	e := cl.startEntry(nil)
	quiet, inside, running := e.connect(t, nil), e.connect(t, nil), e.connect(t, nil)
	createClaimTable(t, quiet)
	exec(t, inside, "BEGIN")
	exec(t, inside, "INSERT INTO claim (id, owner) VALUES (1, 'a')")
	answer := make(chan error, 1)
	for _, s := range cl.servers {
		s.Hooks().SetServiceTime(300 * time.Millisecond)
	}
	go func() {
		_, err := running.Exec(background, "SELECT count(*) FROM claim", pgx.QueryExecModeSimpleProtocol)
		answer <- err
	}()
	time.Sleep(100 * time.Millisecond)
	e.stop()
	require.NoError(t, <-answer)
	require.Error(t, e.Ready(background))
	exec(t, inside, "INSERT INTO claim (id, owner) VALUES (2, 'b')")
	exec(t, inside, "COMMIT")
	_, err := quiet.Exec(background, "SELECT 1")
	require.Equal(t, "57P01", sqlState(err))
	_, err = e.dial(background, "tide", testKey, testRoute, nil)
	require.Error(t, err)
	<-e.ended
	require.Contains(t, cl.control.departedEntries(), e.Identity())
	again := cl.startEntry(nil).connect(t, nil)
	require.Equal(t, 2, queryInt(t, again, "SELECT count(*) FROM claim"))
}

// Guards against a graceful shutdown that refuses an extended request of which only a part has arrived.
func TestGracefulShutdownAwaitsSync(t *testing.T) {
	cl := newCluster(t, 3, nil)
	e := cl.startEntry(nil)
	c, quiet := e.connect(t, nil), e.connect(t, nil)
	createClaimTable(t, c)
	hijacked, err := c.PgConn().Hijack()
	require.NoError(t, err)
	defer hijacked.Conn.Close()
	hijacked.Conn.SetDeadline(time.Now().Add(5 * time.Second))
	f := hijacked.Frontend
	f.Send(&pgproto3.Parse{Query: "INSERT INTO claim (id, owner) VALUES (1, 'a')"})
	require.NoError(t, f.Flush())
	require.Eventually(t, func() bool { return e.Collecting() == 1 }, 5*time.Second, time.Millisecond)
	e.stop()
	require.Eventually(t, func() bool {
		_, err = quiet.Exec(background, "SELECT 1")
		return err != nil
	}, 5*time.Second, time.Millisecond)
	require.Equal(t, "57P01", sqlState(err))
	f.Send(&pgproto3.Bind{})
	f.Send(&pgproto3.Execute{})
	f.Send(&pgproto3.Sync{})
	require.NoError(t, f.Flush())
	var tag, end string
	for end == "" {
		m, err := f.Receive()
		require.NoError(t, err)
		switch m := m.(type) {
		case *pgproto3.CommandComplete:
			tag = string(m.CommandTag)
		case *pgproto3.ErrorResponse:
			end = m.Code
		}
	}
	require.Equal(t, "INSERT 0 1", tag)
	require.Equal(t, "57P01", end, "the session closes after the request")
	<-e.ended
}

// Guards against features that pooled connections do not support and that are not refused, and against run-time
// parameters that do not work.
func TestRefusalsAndParameters(t *testing.T) {
	cl := newCluster(t, 3, nil)
	e := cl.startEntry(nil)
	c := e.connect(t, nil)
	createClaimTable(t, c)
	for _, sql := range []string{"COPY claim FROM STDIN", "COPY claim TO STDOUT", "LISTEN news", "PREPARE x AS SELECT 1", "SELECT group_fence(9)"} {
		_, err := c.Exec(background, sql, pgx.QueryExecModeSimpleProtocol)
		require.Equal(t, "0A000", sqlState(err), sql)
	}
	_, err := e.dial(background, "tide", testKey, testRoute, func(p *pgx.ConnConfig) { p.RuntimeParams["replication"] = "database" })
	require.Equal(t, "0A000", sqlState(err))
	exec(t, c, "SET fireflyrudder.age = '5s'")
	var text string
	require.NoError(t, c.QueryRow(background, "SHOW fireflyrudder.age").Scan(&text))
	require.Equal(t, "5s", text)
	_, err = c.Exec(background, "SET fireflyrudder.age = 'soon'")
	require.Equal(t, "22023", sqlState(err))
	_, err = c.Exec(background, "SET fireflyrudder.nothing = '1'")
	require.Equal(t, "22023", sqlState(err))
	current, err := e.dial(background, "tide", testKey, "current", nil)
	require.NoError(t, err)
	defer current.Close(background)
	for i := range 5 {
		exec(t, c, "INSERT INTO claim (id, owner) VALUES ($1, 'a')", i)
		require.Equal(t, i+1, queryInt(t, current, "SELECT count(*) FROM claim"), "a read of current data sees other sessions' writes")
	}
}
