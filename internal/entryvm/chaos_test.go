package entryvm_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// chaosSeed determines the injected faults and their times.
const chaosSeed = 20261204

// writeResult is the reported outcome of the write of one value.
type writeResult struct {
	acknowledged  bool
	notRun        bool // every attempt was reported as not run
	withRequestID bool // sent with a request id
}

// Guards against acknowledged writes that are lost, writes that run twice under one request id, and writes that ran
// although they were reported as not run, while primaries are partitioned, replicas isolated and connections reset.
func TestWritesSurviveFailures(t *testing.T) {
	cl := newCluster(t, 3, nil)
	entries := []*entry{cl.startEntry(nil), cl.startEntry(nil)}
	setup := entries[0].connect(t, nil)
	exec(t, setup, "CREATE TABLE claim (id bigint NOT NULL, owner text NOT NULL)")
	ctx, stop := context.WithTimeout(background, 8*time.Second)
	defer stop()
	var group sync.WaitGroup
	var mu sync.Mutex
	results := map[int]writeResult{}
	for writer := range 6 {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := 0; ctx.Err() == nil; i++ {
				id := writer*1_000_000 + i
				f := write(entries[(writer+i)%2], id, writer%3)
				mu.Lock()
				results[id] = f
				mu.Unlock()
			}
		}()
	}
	cl.injectFaults(ctx, rand.New(rand.NewPCG(chaosSeed, 0)))
	group.Wait()
	cl.control.updateDelay.Store(0)
	for _, s := range cl.servers {
		s.Hooks().Isolate(false)
	}
	counts := map[int]int{}
	rows, err := entries[0].connect(t, nil).Query(background, "SELECT id FROM claim")
	require.NoError(t, err)
	var id int
	_, err = pgx.ForEachRow(rows, []any{&id}, func() error {
		counts[id]++
		return nil
	})
	require.NoError(t, err)
	acknowledged, unrun, unknown := 0, 0, 0
	for id, f := range results {
		switch n := counts[id]; {
		case f.acknowledged:
			acknowledged++
			require.Equal(t, 1, n, "value %d was acknowledged; %+v", id, f)
		case f.notRun:
			unrun++
			require.Zero(t, n, "value %d was said not to have run", id)
		default:
			unknown++
			require.LessOrEqual(t, n, 1, "value %d", id)
		}
	}
	t.Logf("%d values: %d acknowledged, %d not run, %d unknown", len(results), acknowledged, unrun, unknown)
	require.Greater(t, acknowledged, 100)
}

// write inserts a value, retrying while that is safe, and returns the outcome. mode selects a single statement, a
// transaction or a statement with a request id.
func write(e *entry, id, mode int) writeResult {
	f := writeResult{notRun: true, withRequestID: mode == 2}
	for range 20 {
		ctx, stop := context.WithTimeout(background, 10*time.Second)
		err := attempt(ctx, e, id, mode)
		stop()
		if err == nil {
			return writeResult{acknowledged: true, withRequestID: f.withRequestID}
		}
		switch sqlState(err) {
		case "FR001", "FR002", "FR003", "FR004", "FR005", "25P02":
		default:
			f.notRun = false
			if !f.withRequestID {
				return f // the outcome is unknown and the write must not be repeated
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return f
}

func attempt(ctx context.Context, e *entry, id, mode int) error {
	c, err := e.dial(ctx, "tide", testKey, testRoute, nil)
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	defer c.Close(background)
	const insert = "INSERT INTO claim (id, owner) VALUES ($1, 'a')"
	switch mode {
	case 0:
		_, err = c.Exec(ctx, insert, id)
	case 1:
		err = pgx.BeginFunc(ctx, c, func(tx pgx.Tx) error {
			_, err := tx.Exec(ctx, insert, id)
			return err
		})
	default:
		if _, err = c.Exec(ctx, fmt.Sprintf("SET fireflyrudder.request = 'r%d'", id)); err == nil {
			_, err = c.Exec(ctx, insert, id)
		}
	}
	return err
}

// injectFaults injects random faults until ctx is done.
func (cl *cluster) injectFaults(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond)
		cl.control.updateDelay.Store(int64(random.IntN(2)) * int64(400*time.Millisecond)) // views of a superseded term
		one := random.IntN(3)
		switch random.IntN(4) {
		case 0:
			cl.servers[one].CloseSessions()
		case 1:
			cl.servers[one].Hooks().Isolate(true)
			time.Sleep(100 * time.Millisecond)
			cl.servers[one].Hooks().Isolate(false)
		default:
			cl.failover(one, random)
		}
	}
}

// failover fails over without one server, which is cut off from replication meanwhile and may continue as the
// superseded primary.
func (cl *cluster) failover(without int, random *rand.Rand) {
	for i, s := range cl.servers {
		s.Hooks().Isolate(i == without)
	}
	cl.raiseTerm()
	time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	best := -1
	var highest position.Position
	for i, s := range cl.servers {
		if i == without {
			continue
		}
		status, err := s.Fence(position.Term(cl.term))
		if err != nil {
			cl.t.Error(err)
			return
		}
		at := position.Position{Term: status.LastTerm, Offset: status.Offset}
		if best < 0 || highest.Less(at) {
			best, highest = i, at
		}
	}
	status, err := cl.servers[best].Promote(position.Term(cl.term))
	if err != nil {
		cl.t.Error(err)
		return
	}
	cl.control.apply(cl.t, &wire.Entry{Entry: &wire.Entry_Promoted{Promoted: &wire.Promoted{
		Group: testGroup, Term: cl.term, Server: string(rune('a' + best)), Offset: uint64(status.Offset)}}})
	cl.followPrimary(best, without)
	time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	cl.servers[without].Hooks().Isolate(false)
	cl.followPrimary(best, -1)
}

func (cl *cluster) followPrimary(primary, without int) {
	for i, s := range cl.servers {
		if i == primary || i == without {
			continue
		}
		if _, err := s.Follow(background, position.Term(cl.term), cl.servers[primary].Address()); err != nil {
			cl.t.Error(err)
		}
	}
}
