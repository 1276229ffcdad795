package entryvm_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/standin"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

const (
	// historySeed determines the injected faults and the operations of each caller, but not their interleaving.
	historySeed = 20261205
	// faultDuration is how long faults are injected.
	faultDuration = 5 * time.Second
	// checkTimeout bounds the search for a linearization.
	checkTimeout = 6 * time.Second
	registers    = 5
	// callers is even. Those with an odd number write rarely, since a write to a partitioned primary blocks its caller
	// for the whole commit wait.
	callers = 12
	// statementTimeout exceeds the commit wait of 2 s, so that an unconfirmed write is answered with 08007.
	statementTimeout = 4 * time.Second
)

// registerOperation is one operation on one register. Written values are unique; 0 is the initial value.
type registerOperation struct {
	register, value int
	write           bool
}

// registerModel models independent integer registers. The output of an operation is the value read.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, registers)
		for _, o := range history {
			r := o.Input.(registerOperation).register
			parts[r] = append(parts[r], o)
		}
		return parts
	},
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		a := input.(registerOperation)
		if a.write {
			return true, a.value
		}
		return state == output, state
	},
	DescribeOperation: func(input, output any) string {
		a := input.(registerOperation)
		if a.write {
			return fmt.Sprintf("write %d", a.value)
		}
		return fmt.Sprintf("read %v", output)
	},
}

// operationLog records the operations of all callers.
type operationLog struct {
	mu      sync.Mutex
	start   time.Time
	done    []porcupine.Operation
	unknown []porcupine.Operation // writes of unknown outcome, which may take effect until the end of the run
	notRun  map[int]bool          // values whose writes were reported as not run
	codes   map[string]int
}

func newOperationLog() *operationLog {
	return &operationLog{start: time.Now(), notRun: map[int]bool{}, codes: map[string]int{}}
}

func (r *operationLog) now() int64 {
	return int64(time.Since(r.start))
}

// add records an operation that started at call and has just returned.
func (r *operationLog) add(client int, a registerOperation, call int64, read int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := porcupine.Operation{ClientId: client, Input: a, Call: call, Output: read, Return: r.now()}
	switch {
	case err == nil:
		r.done = append(r.done, o)
		return
	case a.write && isNotRun(err):
		r.notRun[a.value] = true
	case a.write:
		r.unknown = append(r.unknown, o)
	}
	r.codes[sqlState(err)]++
}

func isNotRun(err error) bool {
	return strings.HasPrefix(sqlState(err), "FR")
}

// history returns all operations. A write of unknown outcome returns after every other operation, so that it may take
// effect late, or as the last operation, which no read observes.
func (r *operationLog) history() []porcupine.Operation {
	end := r.now()
	all := append([]porcupine.Operation(nil), r.done...)
	for _, o := range r.unknown {
		o.Return = end
		all = append(all, o)
	}
	return all
}

// Guards against reads of current data that miss an acknowledged write, or return a write that was reported as not
// run, on either of two entry VMs, during failovers, with a partitioned primary and with a frozen replica. Unlike
// linearizability, this allows reads of writes that are not acknowledged yet.
func TestCurrentReadsSeeAcknowledgedWrites(t *testing.T) {
	r := recordRegisters(t)
	for _, part := range registerModel.Partition(r.done) {
		writes := acknowledgedWrites(part)
		for _, o := range part {
			if o.Input.(registerOperation).write {
				continue
			}
			checkCurrent(t, r, writes, o)
		}
	}
}

// acknowledgedWrites returns the acknowledged writes by value. The initial value counts as written
// before the run.
func acknowledgedWrites(part []porcupine.Operation) map[int]porcupine.Operation {
	writes := map[int]porcupine.Operation{0: {Call: -2, Return: -1}}
	for _, o := range part {
		if a := o.Input.(registerOperation); a.write {
			writes[a.value] = o
		}
	}
	return writes
}

// checkCurrent checks one read. A value whose write has an unknown outcome may be newer than any acknowledged one, so
// it is accepted.
func checkCurrent(t *testing.T, r *operationLog, writes map[int]porcupine.Operation, read porcupine.Operation) {
	t.Helper()
	value := read.Output.(int)
	if r.notRun[value] {
		t.Errorf("value %d was reported as not written but is read", value)
	}
	seen, known := writes[value]
	if !known {
		return
	}
	for newer, o := range writes {
		if seen.Return < o.Call && o.Return < read.Call {
			t.Errorf("register %d: a read shows %d although %d was written after it and acknowledged %v before the read",
				read.Input.(registerOperation).register, value, newer, time.Duration(read.Call-o.Return))
			return
		}
	}
}

// Guards against histories of reads of current data and writes that are not linearizable, under the same faults:
// besides stale reads, reads of a write that is lost later, and a read that returns an older value than a read that
// ended before it began.
func TestCurrentReadsAreLinearizable(t *testing.T) {
	r := recordRegisters(t)
	for i, part := range registerModel.Partition(r.history()) {
		one := registerModel
		one.Partition = nil
		result := porcupine.CheckOperationsTimeout(one, part, checkTimeout/registers)
		if result != porcupine.Ok {
			t.Errorf("register %d: the history is not shown to be linearizable: %s", i, result)
			logViolation(t, part)
		}
	}
}

// recordRegisters runs callers on the route of current data while faults are injected, and returns their operations.
func recordRegisters(t *testing.T) *operationLog {
	t.Helper()
	cl := newCluster(t, 3, nil)
	entries := []*entry{cl.startEntry(nil), cl.startEntry(nil)}
	setup := entries[0].connect(t, nil)
	exec(t, setup, "CREATE TABLE register (id bigint PRIMARY KEY, value bigint NOT NULL)")
	for i := range registers {
		exec(t, setup, "INSERT INTO register (id, value) VALUES ($1, 0)", i)
	}
	r := newOperationLog()
	ctx, stop := context.WithTimeout(background, faultDuration)
	defer stop()
	var group sync.WaitGroup
	for client := range callers {
		group.Go(func() { useRegisters(ctx, r, entries, client) })
	}
	cl.injectReadFaults(ctx, rand.New(rand.NewPCG(historySeed, 0)))
	group.Wait()
	cl.clearFaults()
	last, err := entries[1].dial(background, "tide", testKey, "current", nil)
	require.NoError(t, err)
	defer last.Close(background)
	for i := range registers {
		call := r.now()
		r.add(callers, registerOperation{register: i}, call, queryInt(t, last, "SELECT value FROM register WHERE id = $1", i), nil)
	}
	t.Logf("%d operations done, %d writes unknown, %d not run, errors %v", len(r.done), len(r.unknown), len(r.notRun), r.codes)
	require.Greater(t, len(r.done), 200)
	return r
}

// logViolation logs the first read that returned a value whose write had returned before an earlier read of another
// value began.
func logViolation(t *testing.T, part []porcupine.Operation) {
	t.Helper()
	for _, seen := range part {
		if seen.Input.(registerOperation).write {
			continue
		}
		for _, later := range part {
			a := later.Input.(registerOperation)
			if a.write || later.Call <= seen.Return || later.Output == seen.Output {
				continue
			}
			for _, again := range part {
				if o := again.Input.(registerOperation); o.write && o.value == later.Output && again.Return < seen.Call {
					t.Logf("client %d read %d until %v; client %d read %d from %v to %v, whose write returned at %v",
						seen.ClientId, seen.Output, time.Duration(seen.Return), later.ClientId, later.Output,
						time.Duration(later.Call), time.Duration(later.Return), time.Duration(again.Return))
					return
				}
			}
		}
	}
}

// useRegisters reads and writes random registers on the route of current data until ctx is done, and reconnects to
// random entry VMs.
func useRegisters(ctx context.Context, r *operationLog, entries []*entry, client int) {
	random := rand.New(rand.NewPCG(historySeed, uint64(1+client)))
	var c *pgx.Conn
	for i := 1; ctx.Err() == nil; i++ {
		if c == nil {
			c, _ = entries[random.IntN(2)].dial(ctx, "tide", testKey, "current", shortDeadline(random.IntN(2) == 0))
			if c == nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
		}
		a := registerOperation{register: random.IntN(registers), write: random.IntN(3+12*(client%2)) == 0}
		if a.write {
			a.value = client*1_000_000 + i
		}
		call := r.now()
		read, err := a.exec(c)
		r.add(client, a, call, read, err)
		if err != nil || random.IntN(20) == 0 {
			c.Close(background)
			c = nil
		}
		time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
	}
	if c != nil {
		c.Close(background)
	}
}

// shortDeadline sets a deadline so short that requests which wait for a new primary are refused, so that some writes
// do not run.
func shortDeadline(on bool) func(*pgx.ConnConfig) {
	return func(p *pgx.ConnConfig) {
		if on {
			p.RuntimeParams["fireflyrudder.deadline"] = "50ms"
		}
	}
}

func (a registerOperation) exec(c *pgx.Conn) (int, error) {
	ctx, stop := context.WithTimeout(background, statementTimeout)
	defer stop()
	if a.write {
		_, err := c.Exec(ctx, "UPDATE register SET value = $1 WHERE id = $2", a.value, a.register)
		return 0, err
	}
	read := 0
	err := c.QueryRow(ctx, "SELECT value FROM register WHERE id = $1", a.register).Scan(&read)
	return read, err
}

// Guards against reads with a maximum age that miss an acknowledged write of their own session, also after the session
// reconnects to the other entry VM, with its token or without.
func TestSessionsSeeOwnWrites(t *testing.T) {
	cl := newCluster(t, 3, nil)
	entries := []*entry{cl.startEntry(nil), cl.startEntry(nil)}
	exec(t, entries[0].connect(t, nil), "CREATE TABLE register (id bigint PRIMARY KEY, value bigint NOT NULL)")
	ctx, stop := context.WithTimeout(background, faultDuration)
	defer stop()
	var group sync.WaitGroup
	var mu sync.Mutex
	reads, writes := 0, 0
	for client := range callers {
		group.Go(func() {
			r, n := useOwnRows(ctx, t, entries, client)
			mu.Lock()
			defer mu.Unlock()
			reads, writes = reads+r, writes+n
		})
	}
	cl.injectReadFaults(ctx, rand.New(rand.NewPCG(historySeed, 0)))
	group.Wait()
	t.Logf("%d reads checked, %d writes acknowledged", reads, writes)
	require.Greater(t, reads, 100)
	require.Greater(t, writes, 20)
}

// useOwnRows adds rows and checks that each read returns every acknowledged row of this client, and none that was
// reported as not run. It returns the numbers of reads and of acknowledged writes.
func useOwnRows(ctx context.Context, t *testing.T, entries []*entry, client int) (reads, writes int) {
	random := rand.New(rand.NewPCG(historySeed, uint64(101+client)))
	acknowledged, notRun := map[int]bool{}, map[int]bool{}
	var c *pgx.Conn
	token, at := "", client%2
	for i := 0; ctx.Err() == nil; i++ {
		if c == nil {
			at = 1 - at
			c = reconnect(ctx, entries[at], token, random.IntN(2) == 0)
			if c == nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
		}
		var err error
		if random.IntN(3+12*(client%2)) == 0 {
			id := client*1_000_000 + i
			err = addRow(c, id, client)
			switch {
			case err == nil:
				acknowledged[id] = true
				token = c.PgConn().ParameterStatus("fireflyrudder.session")
			case isNotRun(err):
				notRun[id] = true
			}
		} else {
			var seen map[int]bool
			seen, err = ownRows(c, client)
			if err == nil {
				reads++
				checkOwnRows(t, acknowledged, notRun, seen)
			}
		}
		if err != nil || random.IntN(8) == 0 {
			c.Close(background)
			c = nil
		}
		time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
	}
	if c != nil {
		c.Close(background)
	}
	return reads, len(acknowledged)
}

// reconnect opens a connection with a maximum age of data. If withToken is true, it has a short deadline
// and the session token.
func reconnect(ctx context.Context, e *entry, token string, withToken bool) *pgx.Conn {
	c, _ := e.dial(ctx, "tide", testKey, testRoute, func(p *pgx.ConnConfig) {
		shortDeadline(withToken)(p)
		p.RuntimeParams["fireflyrudder.age"] = "8s"
		if withToken && token != "" {
			p.RuntimeParams["options"] = "-c fireflyrudder.session=" + token
		}
	})
	return c
}

func addRow(c *pgx.Conn, id, client int) error {
	ctx, stop := context.WithTimeout(background, statementTimeout)
	defer stop()
	_, err := c.Exec(ctx, "INSERT INTO register (id, value) VALUES ($1, $2)", id, client)
	return err
}

func ownRows(c *pgx.Conn, client int) (map[int]bool, error) {
	ctx, stop := context.WithTimeout(background, statementTimeout)
	defer stop()
	seen := map[int]bool{}
	rows, err := c.Query(ctx, "SELECT id FROM register WHERE value = $1", client)
	if err != nil {
		return nil, err
	}
	id := 0
	_, err = pgx.ForEachRow(rows, []any{&id}, func() error {
		seen[id] = true
		return nil
	})
	return seen, err
}

func checkOwnRows(t *testing.T, acknowledged, notRun, seen map[int]bool) {
	t.Helper()
	for id := range acknowledged {
		if !seen[id] {
			t.Errorf("row %d was acknowledged but is not read by its session", id)
		}
	}
	for id := range notRun {
		if seen[id] {
			t.Errorf("row %d was reported as not written but is read", id)
		}
	}
}

// injectReadFaults causes failovers, partitioned primaries, frozen replicas and connection resets until ctx is done,
// while a replica lags. The kinds alternate so that each occurs.
func (cl *cluster) injectReadFaults(ctx context.Context, random *rand.Rand) {
	for turn := 0; ctx.Err() == nil; turn++ {
		time.Sleep(time.Duration(200+random.IntN(300)) * time.Millisecond)
		cl.control.updateDelay.Store(int64(random.IntN(2)) * int64(300*time.Millisecond)) // views of a superseded term
		primary := cl.primary()
		replica := (primary + 1 + random.IntN(2)) % len(cl.servers)
		pause := time.Duration(100+random.IntN(300)) * time.Millisecond
		for i, s := range cl.servers { // one replica lags until the next turn
			s.Hooks().SetLag(0)
			if i == replica {
				s.Hooks().SetLag(pause)
			}
		}
		switch turn % 4 {
		case 0:
			cl.partition(primary, pause, random)
		case 1:
			cl.servers[replica].Hooks().SetDelay(time.Minute)
			time.Sleep(pause)
			cl.servers[replica].Hooks().SetDelay(0)
			cl.servers[replica].CloseSessions() // a message on an old connection would wait for the whole minute
		case 2:
			cl.failover(random.IntN(len(cl.servers)), random)
		default:
			cl.servers[random.IntN(len(cl.servers))].CloseSessions()
		}
	}
}

// primary returns the index of the primary of the current term.
func (cl *cluster) primary() int {
	for i, s := range cl.servers {
		if status := s.Status(); status.Role == standin.RolePrimary && status.Term == position.Term(cl.term) {
			return i
		}
	}
	return 0
}

// partition cuts a primary off from its replicas but not from the entry VMs, and fails over while it continues alone.
func (cl *cluster) partition(primary int, pause time.Duration, random *rand.Rand) {
	for i, s := range cl.servers {
		s.Hooks().Isolate(i != primary)
	}
	time.Sleep(pause)
	// The replicas are fenced before failover reconnects them, so that they do not copy what the
	// primary wrote alone.
	for i, s := range cl.servers {
		if i == primary {
			continue
		}
		if _, err := s.Fence(position.Term(cl.term + 1)); err != nil {
			cl.t.Error(err)
		}
	}
	cl.failover(primary, random)
}

// clearFaults ends the faults that injectReadFaults may have left.
func (cl *cluster) clearFaults() {
	cl.control.updateDelay.Store(0)
	for _, s := range cl.servers {
		s.Hooks().Isolate(false)
		s.Hooks().SetDelay(0)
		s.Hooks().SetLag(0)
	}
}
