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
	// historySeed fixes the failures and what each caller does; their interleaving is not fixed.
	historySeed = 20261205
	// historySpan is how long failures go on.
	historySpan = 5 * time.Second
	// checkSpan bounds the search for a linearization.
	checkSpan = 6 * time.Second
	registers = 5
	// callers is even; those of odd number write seldom, since a write to a partitioned primary keeps its
	// caller for the whole commit wait.
	callers = 12
	// statementWait is above the commit wait of 2 s, so that an unconfirmed write gets its 08007.
	statementWait = 4 * time.Second
)

// access is one operation on one register. Written values are unique; 0 is the initial value.
type access struct {
	register, value int
	write           bool
}

// registerModel is one integer register. An operation's output is the value read.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, registers)
		for _, o := range history {
			r := o.Input.(access).register
			parts[r] = append(parts[r], o)
		}
		return parts
	},
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		a := input.(access)
		if a.write {
			return true, a.value
		}
		return state == output, state
	},
	DescribeOperation: func(input, output any) string {
		a := input.(access)
		if a.write {
			return fmt.Sprintf("write %d", a.value)
		}
		return fmt.Sprintf("read %v", output)
	},
}

// record collects the operations of all callers.
type record struct {
	mu      sync.Mutex
	start   time.Time
	done    []porcupine.Operation
	unknown []porcupine.Operation // writes whose return is the end of the run
	unrun   map[int]bool          // values whose writes were answered "not run"
	codes   map[string]int
}

func newRecord() *record {
	return &record{start: time.Now(), unrun: map[int]bool{}, codes: map[string]int{}}
}

func (r *record) now() int64 {
	return int64(time.Since(r.start))
}

// add records an operation that was called at call and just returned.
func (r *record) add(client int, a access, call int64, read int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := porcupine.Operation{ClientId: client, Input: a, Call: call, Output: read, Return: r.now()}
	switch {
	case err == nil:
		r.done = append(r.done, o)
		return
	case a.write && notRun(err):
		r.unrun[a.value] = true
	case a.write:
		r.unknown = append(r.unknown, o)
	}
	r.codes[code(err)]++
}

func notRun(err error) bool {
	return strings.HasPrefix(code(err), "FR")
}

// history returns all operations. A write of unknown outcome returns after every other operation, so
// that it may take effect late or, seen by nobody, as the last.
func (r *record) history() []porcupine.Operation {
	end := r.now()
	all := append([]porcupine.Operation(nil), r.done...)
	for _, o := range r.unknown {
		o.Return = end
		all = append(all, o)
	}
	return all
}

// Guards against reads of current data that miss an acknowledged write, or show a write that was said
// not to have run, on either of two entry VMs, during failovers, with a partitioned primary and with a
// frozen replica. Unlike linearizability, this allows reads of writes that are not acknowledged yet.
func TestCurrentReadsSeeAcknowledgedWrites(t *testing.T) {
	r := recordRegisters(t)
	for _, part := range registerModel.Partition(r.done) {
		writes := acknowledgedWrites(part)
		for _, o := range part {
			if o.Input.(access).write {
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
		if a := o.Input.(access); a.write {
			writes[a.value] = o
		}
	}
	return writes
}

// checkCurrent checks one read. A value whose write has an unknown outcome may be newer than any
// acknowledged one, so it only has to be one that was sent.
func checkCurrent(t *testing.T, r *record, writes map[int]porcupine.Operation, read porcupine.Operation) {
	t.Helper()
	value := read.Output.(int)
	if r.unrun[value] {
		t.Errorf("value %d was said not to have been written and is read", value)
	}
	seen, known := writes[value]
	if !known {
		return
	}
	for newer, o := range writes {
		if seen.Return < o.Call && o.Return < read.Call {
			t.Errorf("register %d: a read shows %d although %d was written after it and acknowledged %v before the read",
				read.Input.(access).register, value, newer, time.Duration(read.Call-o.Return))
			return
		}
	}
}

// Guards against a history of reads of current data and writes that no order of them explains, under
// the same failures: besides stale reads, reads of a write that is lost later, and a read that shows
// an older value than a read that ended before it began.
func TestCurrentReadsAreLinearizable(t *testing.T) {
	r := recordRegisters(t)
	for i, part := range registerModel.Partition(r.history()) {
		one := registerModel
		one.Partition = nil
		result := porcupine.CheckOperationsTimeout(one, part, checkSpan/registers)
		if result != porcupine.Ok {
			t.Errorf("register %d: the history is not shown to be linearizable: %s", i, result)
			explain(t, part)
		}
	}
}

// recordRegisters runs callers on the route of current data while servers fail.
func recordRegisters(t *testing.T) *record {
	t.Helper()
	w := newWorld(t, 3, nil)
	entries := []*entry{w.entry(nil), w.entry(nil)}
	setup := entries[0].connect(t, nil)
	run(t, setup, "CREATE TABLE register (id bigint PRIMARY KEY, value bigint NOT NULL)")
	for i := range registers {
		run(t, setup, "INSERT INTO register (id, value) VALUES ($1, 0)", i)
	}
	r := newRecord()
	ctx, stop := context.WithTimeout(background, historySpan)
	defer stop()
	var group sync.WaitGroup
	for client := range callers {
		group.Go(func() { useRegisters(ctx, r, entries, client) })
	}
	w.disturb(ctx, rand.New(rand.NewPCG(historySeed, 0)))
	group.Wait()
	w.calm()
	last, err := entries[1].dial(background, "tide", testKey, "current", nil)
	require.NoError(t, err)
	defer last.Close(background)
	for i := range registers {
		call := r.now()
		r.add(callers, access{register: i}, call, number(t, last, "SELECT value FROM register WHERE id = $1", i), nil)
	}
	t.Logf("%d operations done, %d writes unknown, %d not run, errors %v", len(r.done), len(r.unknown), len(r.unrun), r.codes)
	require.Greater(t, len(r.done), 200)
	return r
}

// explain logs acknowledged or unknown writes whose value reads showed before and after another one.
func explain(t *testing.T, part []porcupine.Operation) {
	t.Helper()
	for _, seen := range part {
		if seen.Input.(access).write {
			continue
		}
		for _, later := range part {
			a := later.Input.(access)
			if a.write || later.Call <= seen.Return || later.Output == seen.Output {
				continue
			}
			for _, again := range part {
				if o := again.Input.(access); o.write && o.value == later.Output && again.Return < seen.Call {
					t.Logf("client %d read %d until %v; client %d read %d from %v to %v, whose write returned at %v",
						seen.ClientId, seen.Output, time.Duration(seen.Return), later.ClientId, later.Output,
						time.Duration(later.Call), time.Duration(later.Return), time.Duration(again.Return))
					return
				}
			}
		}
	}
}

// useRegisters reads and writes random registers on the route of current data until ctx ends, and
// moves between entry VMs.
func useRegisters(ctx context.Context, r *record, entries []*entry, client int) {
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
		a := access{register: random.IntN(registers), write: random.IntN(3+12*(client%2)) == 0}
		if a.write {
			a.value = client*1_000_000 + i
		}
		call := r.now()
		read, err := a.run(c)
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

// shortDeadline has requests refused that wait for a new primary, so that some writes are not run.
func shortDeadline(on bool) func(*pgx.ConnConfig) {
	return func(p *pgx.ConnConfig) {
		if on {
			p.RuntimeParams["fireflyrudder.deadline"] = "50ms"
		}
	}
}

func (a access) run(c *pgx.Conn) (int, error) {
	ctx, stop := context.WithTimeout(background, statementWait)
	defer stop()
	if a.write {
		_, err := c.Exec(ctx, "UPDATE register SET value = $1 WHERE id = $2", a.value, a.register)
		return 0, err
	}
	read := 0
	err := c.QueryRow(ctx, "SELECT value FROM register WHERE id = $1", a.register).Scan(&read)
	return read, err
}

// Guards against reads of a stated age that miss an acknowledged write of their own session, also
// after the session reconnects to the other entry VM with its token or without.
func TestSessionsSeeOwnWrites(t *testing.T) {
	w := newWorld(t, 3, nil)
	entries := []*entry{w.entry(nil), w.entry(nil)}
	run(t, entries[0].connect(t, nil), "CREATE TABLE register (id bigint PRIMARY KEY, value bigint NOT NULL)")
	ctx, stop := context.WithTimeout(background, historySpan)
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
	w.disturb(ctx, rand.New(rand.NewPCG(historySeed, 0)))
	group.Wait()
	t.Logf("%d reads checked, %d writes acknowledged", reads, writes)
	require.Greater(t, reads, 100)
	require.Greater(t, writes, 20)
}

// useOwnRows adds rows of its own and checks that each read shows every acknowledged one and none
// that was said not to have run. It returns the numbers of reads and of acknowledged writes.
func useOwnRows(ctx context.Context, t *testing.T, entries []*entry, client int) (reads, writes int) {
	random := rand.New(rand.NewPCG(historySeed, uint64(101+client)))
	acknowledged, unrun := map[int]bool{}, map[int]bool{}
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
			case notRun(err):
				unrun[id] = true
			}
		} else {
			var seen map[int]bool
			seen, err = ownRows(c, client)
			if err == nil {
				reads++
				checkOwn(t, acknowledged, unrun, seen)
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

// reconnect opens a connection that states an age of data, with the token of the session or without.
func reconnect(ctx context.Context, e *entry, token string, with bool) *pgx.Conn {
	c, _ := e.dial(ctx, "tide", testKey, testRoute, func(p *pgx.ConnConfig) {
		shortDeadline(with)(p)
		p.RuntimeParams["fireflyrudder.age"] = "8s"
		if with && token != "" {
			p.RuntimeParams["options"] = "-c fireflyrudder.session=" + token
		}
	})
	return c
}

func addRow(c *pgx.Conn, id, client int) error {
	ctx, stop := context.WithTimeout(background, statementWait)
	defer stop()
	_, err := c.Exec(ctx, "INSERT INTO register (id, value) VALUES ($1, $2)", id, client)
	return err
}

func ownRows(c *pgx.Conn, client int) (map[int]bool, error) {
	ctx, stop := context.WithTimeout(background, statementWait)
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

func checkOwn(t *testing.T, acknowledged, unrun, seen map[int]bool) {
	t.Helper()
	for id := range acknowledged {
		if !seen[id] {
			t.Errorf("row %d was acknowledged and is not seen by its session", id)
		}
	}
	for id := range unrun {
		if seen[id] {
			t.Errorf("row %d was said not to have been written and is seen", id)
		}
	}
}

// disturb causes failovers, partitioned primaries, frozen replicas and resets until ctx ends, beside
// a lagging replica. The kinds take turns so that each occurs.
func (w *world) disturb(ctx context.Context, random *rand.Rand) {
	for turn := 0; ctx.Err() == nil; turn++ {
		time.Sleep(time.Duration(200+random.IntN(300)) * time.Millisecond)
		w.control.late.Store(int64(random.IntN(2)) * int64(300*time.Millisecond)) // views of a superseded term
		primary := w.primary()
		replica := (primary + 1 + random.IntN(2)) % len(w.servers)
		pause := time.Duration(100+random.IntN(300)) * time.Millisecond
		for i, s := range w.servers { // one replica lags until the next turn
			s.Hooks().SetLag(0)
			if i == replica {
				s.Hooks().SetLag(pause)
			}
		}
		switch turn % 4 {
		case 0:
			w.partition(primary, pause, random)
		case 1:
			w.servers[replica].Hooks().SetDelay(time.Minute)
			time.Sleep(pause)
			w.servers[replica].Hooks().SetDelay(0)
			w.servers[replica].Cut() // a message on an old connection would wait for the whole minute
		case 2:
			w.failover(random.IntN(len(w.servers)), random)
		default:
			w.servers[random.IntN(len(w.servers))].Cut()
		}
	}
}

// primary returns the index of the primary of the present term.
func (w *world) primary() int {
	for i, s := range w.servers {
		if status := s.Status(); status.Role == standin.RolePrimary && status.Term == position.Term(w.term) {
			return i
		}
	}
	return 0
}

// partition cuts a primary off from its replicas but not from the entry VMs, and fails over while it
// goes on alone.
func (w *world) partition(primary int, pause time.Duration, random *rand.Rand) {
	for i, s := range w.servers {
		s.Hooks().Isolate(i != primary)
	}
	time.Sleep(pause)
	// The replicas are fenced before failover reconnects them, so that they do not copy what the
	// primary wrote alone.
	for i, s := range w.servers {
		if i == primary {
			continue
		}
		if _, err := s.Fence(position.Term(w.term + 1)); err != nil {
			w.t.Error(err)
		}
	}
	w.failover(primary, random)
}

// calm ends what disturb may have left.
func (w *world) calm() {
	w.control.late.Store(0)
	for _, s := range w.servers {
		s.Hooks().Isolate(false)
		s.Hooks().SetDelay(0)
		s.Hooks().SetLag(0)
	}
}
