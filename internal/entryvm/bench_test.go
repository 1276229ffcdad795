package entryvm_test

import (
	"io"
	"net"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/caller"
	"fireflyrudder.example/fireflyrudder/internal/entryvm"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
)

// allowAll is a caller.Authorizer that authorizes every caller without a key.
type allowAll struct{}

func (allowAll) FindVerifier(string, string) (caller.Verifier, bool) { return caller.Verifier{}, false }
func (allowAll) Authorize(*caller.Startup) *outcome.Error            { return nil }

// newDiscardingCaller returns the server side of a connection whose caller reads and discards everything.
func newDiscardingCaller(t testing.TB) *caller.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		n := dialIdle(t, l.Addr().String())
		t.Cleanup(func() { n.Close() })
		io.Copy(io.Discard, n)
	}()
	n, err := l.Accept()
	require.NoError(t, err)
	c, err := caller.NewAcceptor(allowAll{}, func(caller.CancelRequest) {}, nil).Accept(n)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

var relayedRow = &pgproto3.DataRow{Values: [][]byte{[]byte("12345"), []byte("owner of the claim"), nil}}

// Guards against allocations per relayed row. Allocations per request are not counted.
func TestRelayAllocatesNothingPerRow(t *testing.T) {
	c := newDiscardingCaller(t)
	relay := func(rows int) float64 {
		return testing.AllocsPerRun(10, func() { require.NoError(t, entryvm.Relay(c, rows, relayedRow)) })
	}
	few, many := relay(100), relay(10_100)
	require.Less(t, many-few, 100.0, "10,000 more rows")
}

// BenchmarkRelayRow measures the relaying of one row, from the decoded message to the caller's socket.
func BenchmarkRelayRow(b *testing.B) {
	c := newDiscardingCaller(b)
	b.ReportAllocs()
	b.ResetTimer()
	if err := entryvm.Relay(c, b.N, relayedRow); err != nil {
		b.Fatal(err)
	}
}

// reportLatency runs a statement repeatedly and reports the median and the 99th percentile of its latency.
func reportLatency(b *testing.B, c *pgconn.PgConn, sql string) {
	b.Helper()
	for range 500 {
		_, err := c.Exec(background, sql).ReadAll()
		require.NoError(b, err)
	}
	times := make([]time.Duration, 0, b.N)
	b.ResetTimer()
	for range b.N {
		start := time.Now()
		if _, err := c.Exec(background, sql).ReadAll(); err != nil {
			b.Fatal(err)
		}
		times = append(times, time.Since(start))
	}
	b.StopTimer()
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
}

// BenchmarkRead compares the latency of a read through an entry VM with that on a direct connection.
func BenchmarkRead(b *testing.B) {
	cl := newCluster(b, 3, nil)
	e := cl.startEntry(nil)
	c := e.connect(b, nil)
	createClaimTable(b, c)
	direct, err := pgx.Connect(background, "postgres://system@"+cl.servers[1].Address()+"/db?sslmode=disable")
	require.NoError(b, err)
	defer direct.Close(background)
	const sql = "SELECT owner FROM claim WHERE id = 1"
	b.Run("direct", func(b *testing.B) { reportLatency(b, direct.PgConn(), sql) })
	b.Run("entry", func(b *testing.B) { reportLatency(b, c.PgConn(), sql) })
}

// BenchmarkWrite compares the latency of a write through an entry VM, which answers only after a majority has stored
// it, with that on a direct connection.
func BenchmarkWrite(b *testing.B) {
	cl := newCluster(b, 3, nil)
	e := cl.startEntry(nil)
	c := e.connect(b, nil)
	createClaimTable(b, c)
	direct, err := pgx.Connect(background, "postgres://system@"+cl.servers[0].Address()+"/db?sslmode=disable")
	require.NoError(b, err)
	defer direct.Close(background)
	exec(b, c, "INSERT INTO claim (id, owner) VALUES (1, 'a')")
	const sql = "UPDATE claim SET owner = 'b' WHERE id = 1"
	b.Run("direct", func(b *testing.B) { reportLatency(b, direct.PgConn(), sql) })
	b.Run("entry", func(b *testing.B) { reportLatency(b, c.PgConn(), sql) })
}

// BenchmarkStatements measures the throughput of simple reads from several callers. Callers, entry VM and simulated
// backend servers share the machine, so the throughput per core of the entry VM is higher.
func BenchmarkStatements(b *testing.B) {
	cl := newCluster(b, 3, func(_ int, c *standinConfig) { c.Slots = 64; c.Connections = 200 })
	e := cl.startEntry(nil)
	createClaimTable(b, e.connect(b, nil))
	const callers = 16
	conns := make([]*pgconn.PgConn, callers)
	for i := range conns {
		conns[i] = e.connect(b, nil).PgConn()
	}
	work := func(n int) {
		var group sync.WaitGroup
		for _, c := range conns {
			group.Add(1)
			go func() {
				defer group.Done()
				for range n / callers {
					if _, err := c.Exec(background, "SELECT 1").ReadAll(); err != nil {
						b.Error(err)
						return
					}
				}
			}()
		}
		group.Wait()
	}
	work(callers * 500)
	b.ResetTimer()
	work(b.N)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
}

// BenchmarkIdleCallers measures the memory of an idle caller connection, including both ends of the test's sockets
// but no driver.
func BenchmarkIdleCallers(b *testing.B) {
	cl := newCluster(b, 1, nil)
	e := cl.startEntry(nil)
	const callers = 1000
	var before, after runtime.MemStats
	usage := func(m *runtime.MemStats) {
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(m)
	}
	for range b.N {
		usage(&before)
		conns := make([]io.Closer, callers)
		for i := range conns {
			conns[i] = idleCaller(b, e.Address())
		}
		time.Sleep(200 * time.Millisecond)
		usage(&after)
		b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/callers, "B/caller")
		for _, c := range conns {
			c.Close()
		}
	}
}

// dialIdle sends a startup packet as the public user. It uses no driver, since the driver's buffers would be counted.
func dialIdle(t testing.TB, address string) net.Conn {
	n, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return nil
	}
	startup, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "public", "database": "open"}}).Encode(nil)
	if err == nil {
		_, err = n.Write(startup)
	}
	if err != nil {
		t.Error(err)
	}
	return n
}

// idleCaller connects and waits for the answer to its startup packet.
func idleCaller(b *testing.B, address string) io.Closer {
	b.Helper()
	n := dialIdle(b, address)
	_, err := n.Read(make([]byte, 512))
	require.NoError(b, err)
	return n
}
