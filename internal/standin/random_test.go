package standin_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/standin"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// Guards against a log that keeps records which a newer term has superseded, or loses a record that a
// majority had, under random writes, isolations and failovers that obey the failover procedure.
func TestRandomFailovers(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := &failoverTrial{T: t, Rand: rand.New(rand.NewPCG(seed, 1)), servers: startGroup(t, nil),
				term: 1, acknowledged: map[string]bool{}}
			exec(t, connect(t, r.servers[0]), "CREATE TABLE t (k text PRIMARY KEY)")
			requirePosition(t, r.servers[1], "1/1")
			requirePosition(t, r.servers[2], "1/1")
			for range 60 {
				switch r.IntN(6) {
				case 0:
					r.failover()
				case 1:
					r.servers[r.IntN(len(r.servers))].Hooks().Isolate(r.IntN(2) == 0)
				default:
					r.write()
				}
			}
			r.verifyConvergence()
		})
	}
}

type failoverTrial struct {
	*testing.T
	*rand.Rand
	servers      []*standin.Server
	primary      int
	term         position.Term
	writes       int
	acknowledged map[string]bool
}

// write executes one write and records it as acknowledged if a majority reports it in the current term within
// 20 polls.
func (r *failoverTrial) write() {
	r.Helper()
	r.writes++
	key := fmt.Sprintf("%04d", r.writes)
	c, err := dial(r.Context(), r.servers[r.primary], "")
	require.NoError(r, err)
	defer c.Close(r.Context())
	exec(r.T, c, "INSERT INTO t VALUES ($1)", key)
	at, err := position.Parse(c.PgConn().ParameterStatus("group_position"))
	require.NoError(r, err)
	for range 20 {
		replicated := 0
		for _, s := range r.servers {
			if status := s.Status(); status.Term == at.Term && status.Offset >= at.Offset {
				replicated++
			}
		}
		if replicated > len(r.servers)/2 {
			r.acknowledged[key] = true
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// failover promotes the instance with the highest position of a random majority. The remaining
// instance is not fenced. Each one but the new primary may be left without an order to follow it.
func (r *failoverTrial) failover() {
	r.Helper()
	r.term++
	order := r.Perm(len(r.servers))
	majority := order[:len(order)/2+1]
	best := -1
	var top position.Position
	for _, i := range majority {
		status, err := r.servers[i].Fence(r.term)
		require.NoError(r, err)
		if p := (position.Position{Term: status.LastTerm, Offset: status.Offset}); best < 0 || top.Less(p) {
			best, top = i, p
		}
	}
	_, err := r.servers[best].Promote(r.term)
	require.NoError(r, err)
	r.primary = best
	for _, i := range order {
		if i != best && (r.IntN(3) > 0) {
			_, err := r.servers[i].Follow(r.Context(), r.term, r.servers[best].Address())
			require.NoError(r, err)
		}
	}
}

// verifyConvergence lets every instance follow the last primary and compares their logs and rows.
func (r *failoverTrial) verifyConvergence() {
	r.Helper()
	for i, s := range r.servers {
		s.Hooks().Isolate(false)
		if i != r.primary {
			_, err := s.Follow(r.Context(), r.term, r.servers[r.primary].Address())
			require.NoError(r, err)
		}
	}
	want := r.servers[r.primary].Status()
	expected := storedKeys(r.T, r.servers[r.primary])
	for _, s := range r.servers {
		requirePosition(r.T, s, position.Position{Term: r.term, Offset: want.Offset}.String())
		require.Equal(r, want.History, s.Status().History)
		require.Equal(r, expected, storedKeys(r.T, s))
	}
	for key := range r.acknowledged {
		require.Contains(r, expected, key, "a write that a majority had")
	}
	require.NotEmpty(r, r.acknowledged)
}
