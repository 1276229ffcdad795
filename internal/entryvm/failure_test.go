package entryvm_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

var background = context.Background()

// code returns the SQLSTATE of an error.
func code(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}

func run(t testing.TB, c *pgx.Conn, sql string, args ...any) {
	t.Helper()
	_, err := c.Exec(background, sql, args...)
	require.NoError(t, err, sql)
}

func number(t testing.TB, c *pgx.Conn, sql string, args ...any) int {
	t.Helper()
	var n int
	require.NoError(t, c.QueryRow(background, sql, args...).Scan(&n), sql)
	return n
}

// claims makes the table of the tests.
func claims(t testing.TB, c *pgx.Conn) {
	t.Helper()
	run(t, c, "CREATE TABLE claim (id bigint PRIMARY KEY, owner text NOT NULL)")
}

// Guards against an acknowledgement of a commit that only the primary holds.
func TestCommitWithoutMajorityIsUnknown(t *testing.T) {
	w := newWorld(t, 3, nil)
	e := w.entry(nil)
	c := e.connect(t, nil)
	claims(t, c)
	for _, s := range w.servers[1:] {
		s.Hooks().Isolate(true)
	}
	_, err := c.Exec(background, "INSERT INTO claim (id, owner) VALUES (1, 'a')")
	require.Equal(t, "08007", code(err))
	w.servers[1].Hooks().Isolate(false)
	run(t, c, "INSERT INTO claim (id, owner) VALUES (2, 'b')")
	require.Equal(t, 2, number(t, c, "SELECT count(*) FROM claim"), "the first write was unknown, not undone")
}

// Guards against a session that does not see its own write on a lagging replica, on its own entry VM
// and on another one, with its token and without.
func TestReadYourWritesAcrossEntries(t *testing.T) {
	w := newWorld(t, 3, nil)
	first, second := w.entry(nil), w.entry(nil)
	c := first.connect(t, nil)
	claims(t, c)
	w.servers[2].Hooks().SetLag(300 * time.Millisecond)
	for i := range 10 {
		run(t, c, "INSERT INTO claim (id, owner) VALUES ($1, 'a')", i)
		require.Equal(t, i+1, number(t, c, "SELECT count(*) FROM claim"))
		token := c.PgConn().ParameterStatus("fireflyrudder.session")
		require.NotEmpty(t, token)
		roamed := second.connect(t, func(p *pgx.ConnConfig) { p.RuntimeParams["options"] = "-c fireflyrudder.session=" + token })
		require.Equal(t, i+1, number(t, roamed, "SELECT count(*) FROM claim"))
		fresh := second.connect(t, nil)
		require.Equal(t, i+1, number(t, fresh, "SELECT count(*) FROM claim"))
	}
	_, err := second.dial(background, "tide", testKey, testRoute, func(p *pgx.ConnConfig) {
		p.RuntimeParams["fireflyrudder.session"] = "v1.forged.token"
	})
	require.Equal(t, "22023", code(err))
}

// Guards against a wrong word about a write whose connection was cut: the outcome is unknown for a
// statement of its own, and rolled back for one of an open transaction.
func TestCutDuringStatement(t *testing.T) {
	w := newWorld(t, 3, nil)
	e := w.entry(nil)
	c := e.connect(t, nil)
	claims(t, c)
	w.servers[0].Hooks().SetService(200 * time.Millisecond)
	time.AfterFunc(100*time.Millisecond, w.servers[0].Cut)
	_, err := c.Exec(background, "INSERT INTO claim (id, owner) VALUES (1, 'a')")
	require.Equal(t, "08007", code(err))

	w.servers[0].Hooks().SetService(0)
	run(t, c, "BEGIN")
	run(t, c, "INSERT INTO claim (id, owner) VALUES (2, 'b')")
	w.servers[0].Cut()
	_, err = c.Exec(background, "INSERT INTO claim (id, owner) VALUES (3, 'c')")
	require.Equal(t, "FR001", code(err))
	require.Equal(t, byte('E'), c.PgConn().TxStatus())
	_, err = c.Exec(background, "SELECT 1")
	require.Equal(t, "25P02", code(err))
	run(t, c, "ROLLBACK")
	require.Zero(t, number(t, c, "SELECT count(*) FROM claim WHERE id > 1"))

	run(t, c, "BEGIN")
	run(t, c, "INSERT INTO claim (id, owner) VALUES (4, 'd')")
	w.servers[0].Hooks().SetDelay(200 * time.Millisecond)
	time.AfterFunc(100*time.Millisecond, w.servers[0].Cut)
	_, err = c.Exec(background, "COMMIT")
	require.Equal(t, "08007", code(err), "the COMMIT was sent")
	require.Equal(t, byte('I'), c.PgConn().TxStatus())
}

// Guards against an acknowledgement by a superseded primary that goes on alone, and against writes
// that do not resume after a failover.
func TestFailoverWithPartitionedPrimary(t *testing.T) {
	w := newWorld(t, 3, nil)
	e := w.entry(nil)
	c := e.connect(t, nil)
	claims(t, c)
	run(t, c, "INSERT INTO claim (id, owner) VALUES (1, 'a')")
	for _, s := range w.servers[1:] {
		s.Hooks().Isolate(true)
	}
	answers := make(chan error, 1)
	go func() {
		_, err := c.Exec(background, "INSERT INTO claim (id, owner) VALUES (2, 'lost')")
		answers <- err
	}()
	time.Sleep(200 * time.Millisecond)
	for _, s := range w.servers[1:] {
		s.Hooks().Isolate(false)
	}
	// The replicas come back under the next term before they copied the write.
	w.raise()
	w.finish(1, map[int]bool{0: true})
	err := <-answers
	if err != nil {
		require.Equal(t, "08007", code(err))
	}
	other := e.connect(t, nil)
	run(t, other, "INSERT INTO claim (id, owner) VALUES (3, 'c')")
	if err == nil {
		require.Equal(t, 3, number(t, other, "SELECT count(*) FROM claim"), "what was acknowledged survives")
	}
	require.Equal(t, 1, number(t, other, "SELECT count(*) FROM claim WHERE id = 3"))
}

// Guards against refusals during a planned switchover: writes wait for the new primary.
func TestSwitchoverQueuesWrites(t *testing.T) {
	w := newWorld(t, 3, nil)
	e := w.entry(nil)
	c := e.connect(t, nil)
	claims(t, c)
	w.term++
	w.control.apply(t, &wire.Entry{Entry: &wire.Entry_Raise{Raise: &wire.RaiseTerm{Group: testGroup, Term: w.term, Phase: wire.Phase_PHASE_SWITCHING}}})
	time.Sleep(50 * time.Millisecond)
	answers := make(chan error, 1)
	go func() {
		_, err := c.Exec(background, "INSERT INTO claim (id, owner) VALUES (1, 'a')")
		answers <- err
	}()
	select {
	case err := <-answers:
		t.Fatal("the write did not wait", err)
	case <-time.After(200 * time.Millisecond):
	}
	w.finish(1, nil)
	require.NoError(t, <-answers)
	require.Equal(t, "a", w.servers[1].Status().Server[:0]+"a")
}

// Guards against answers that reach another caller, and transactions that mix, when callers share few
// connections while some cancel, fail or vanish.
func TestAnswersAndTransactionsDoNotMix(t *testing.T) {
	w := newWorld(t, 3, func(_ int, c *standinConfig) { c.Connections = 8 })
	e := w.entry(nil)
	setup := e.connect(t, nil)
	claims(t, setup)
	var group sync.WaitGroup
	for caller := range 12 {
		group.Add(1)
		go func() {
			defer group.Done()
			for round := range 15 {
				mixedCaller(t, e, caller, round)
			}
		}()
	}
	group.Wait()
	require.Equal(t, 12*15, number(t, setup, "SELECT count(*) FROM claim WHERE owner = 'kept'"))
	require.Zero(t, number(t, setup, "SELECT count(*) FROM claim WHERE owner = 'undone'"))
}

// mixedCaller does one of several things, some of which leave a connection in the middle of an answer.
func mixedCaller(t *testing.T, e *entry, caller, round int) {
	c, err := e.dial(background, "tide", testKey, testRoute, nil)
	if err != nil {
		t.Error("dial", err)
		return
	}
	defer c.Close(background)
	id := caller*1000 + round
	for i := range 3 {
		want := fmt.Sprintf("%d-%d", id, i)
		var got string
		if err := c.QueryRow(background, "SELECT $1::text", want).Scan(&got); err != nil || got != want {
			t.Error("answer", got, want, err)
		}
	}
	tx, err := c.Begin(background)
	if err != nil {
		t.Error("begin", err)
		return
	}
	_, err = tx.Exec(background, "INSERT INTO claim (id, owner) VALUES ($1, 'undone')", id)
	if err != nil {
		t.Error("insert", err)
	}
	switch round % 4 {
	case 0: // vanishes in the middle of the transaction
		c.PgConn().Conn().Close()
	case 1: // gives up in the middle of an answer
		ctx, stop := context.WithTimeout(background, time.Millisecond)
		tx.Exec(ctx, "SELECT pg_sleep(0.05)")
		stop()
	case 2: // fails
		tx.Exec(background, "SELECT nothing FROM nowhere")
		tx.Rollback(background)
	default:
		tx.Rollback(background)
	}
	again, err := e.dial(background, "tide", testKey, testRoute, nil)
	if err != nil {
		t.Error("dial", err)
		return
	}
	defer again.Close(background)
	if _, err := again.Exec(background, "INSERT INTO claim (id, owner) VALUES ($1, 'kept')", id+500); err != nil {
		t.Error("kept", err)
	}
}

// Guards against a cancel request that stops another caller's statement on a shared connection.
func TestCancelReachesOnlyOwnStatement(t *testing.T) {
	w := newWorld(t, 1, func(_ int, c *standinConfig) { c.Connections = 4; c.Slots = 1; c.Service = 20 * time.Millisecond })
	e := w.entry(nil)
	a, b := e.connect(t, nil), e.connect(t, nil)
	claims(t, a)
	var group sync.WaitGroup
	stop := make(chan struct{})
	group.Add(1)
	go func() {
		defer group.Done()
		for {
			select {
			case <-stop:
				return
			default:
				a.PgConn().CancelRequest(background)
				time.Sleep(3 * time.Millisecond)
			}
		}
	}()
	canceled := 0
	for range 30 {
		if _, err := a.Exec(background, "SELECT 1"); err != nil {
			require.Equal(t, "57014", code(err))
			canceled++
		}
		run(t, b, "SELECT 2")
	}
	close(stop)
	group.Wait()
	require.Positive(t, canceled)
}

// Guards against a statement that is prepared on one pooled connection and run on another.
func TestPreparedStatementsAcrossConnections(t *testing.T) {
	w := newWorld(t, 3, nil)
	e := w.entry(nil)
	c := e.connect(t, nil)
	claims(t, c)
	_, err := c.Prepare(background, "add", "INSERT INTO claim (id, owner) VALUES ($1, $2)")
	require.NoError(t, err)
	_, err = c.Prepare(background, "find", "SELECT owner FROM claim WHERE id = $1")
	require.NoError(t, err)
	for i := range 20 {
		run(t, c, "add", i, fmt.Sprint("owner ", i))
		for _, s := range w.servers {
			if i%5 == 0 {
				s.Cut()
			}
		}
		if i%5 == 0 {
			time.Sleep(50 * time.Millisecond)
		}
		var owner string
		require.NoError(t, c.QueryRow(background, "find", i).Scan(&owner))
		require.Equal(t, fmt.Sprint("owner ", i), owner)
	}
	require.NoError(t, c.Deallocate(background, "add"))
	_, err = c.Exec(background, "SELECT nothing FROM nowhere")
	require.Equal(t, "42P01", code(err))
}

// Guards against callers that wait as long as a frozen server does not answer: what runs on a frozen
// primary ends with its term, and reads on a frozen replica run elsewhere.
func TestFrozenServers(t *testing.T) {
	w := newWorld(t, 3, nil)
	e := w.entry(nil)
	c, other, reader := e.connect(t, nil), e.connect(t, nil), e.connect(t, nil)
	claims(t, c)
	run(t, c, "INSERT INTO claim (id, owner) VALUES (1, 'a')")
	w.control.change(t, &wire.Edit{Edit: &wire.Edit_RetireServer{RetireServer: "b"}})
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, 1, number(t, reader, "SELECT count(*) FROM claim"))
	require.Equal(t, "replica", reader.PgConn().ParameterStatus("fireflyrudder.served"))
	w.servers[2].Hooks().SetDelay(time.Minute)
	require.Equal(t, 1, number(t, reader, "SELECT count(*) FROM claim"))
	require.Equal(t, "primary", reader.PgConn().ParameterStatus("fireflyrudder.served"))
	w.servers[2].Hooks().SetDelay(0)
	w.control.change(t, &wire.Edit{Edit: &wire.Edit_RestoreServer{RestoreServer: "b"}})

	w.servers[0].Hooks().SetDelay(time.Minute)
	answer := make(chan error, 1)
	go func() {
		_, err := c.Exec(background, "INSERT INTO claim (id, owner) VALUES (2, 'b')", pgx.QueryExecModeSimpleProtocol)
		answer <- err
	}()
	time.Sleep(200 * time.Millisecond)
	w.raise()
	w.finish(1, map[int]bool{0: true})
	run(t, other, "INSERT INTO claim (id, owner) VALUES (3, 'c')")
	select {
	case err := <-answer:
		require.Equal(t, "08007", code(err))
	case <-time.After(10 * time.Second):
		t.Fatal("the write waits for the frozen primary")
	}
	require.Equal(t, 2, number(t, other, "SELECT count(*) FROM claim"))
}

// Guards against an answer that is shown as whole although its connection was reset in the middle, and
// against rows that are shown twice because the read ran again.
func TestResetDuringAnswer(t *testing.T) {
	w := newWorld(t, 3, nil)
	e := w.entry(nil)
	c := e.connect(t, nil)
	claims(t, c)
	const rows = 56 // of 500 KB, more than the four socket buffers on the way can hold
	for i := range rows {
		run(t, c, "INSERT INTO claim (id, owner) VALUES ($1, $2)", i+1, strings.Repeat("x", 500_000))
	}
	for i := range 4 {
		cut := i%2 == 0
		next := 0
		answer, err := c.Query(background, "SELECT id, owner FROM claim ORDER BY id", pgx.QueryExecModeSimpleProtocol)
		require.NoError(t, err)
		for answer.Next() {
			var n int
			var owner string
			require.NoError(t, answer.Scan(&n, &owner))
			next++
			require.Equal(t, next, n)
			if cut && next == 2 {
				for _, server := range w.servers {
					server.Cut()
				}
			}
		}
		if cut {
			require.Equal(t, "08007", code(answer.Err()))
			require.Less(t, next, rows)
			continue
		}
		require.NoError(t, answer.Err())
		require.Equal(t, rows, next)
	}
}
