package simulation_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/admission"
	"fireflyrudder.example/fireflyrudder/internal/retry"
	"fireflyrudder.example/fireflyrudder/internal/route"
)

// Bounds of the design page.
const (
	dueGoodput    = 0.99  // M3, of the other accounts
	latencyFactor = 1.5   // M3, of their p99
	replicaShare  = 0.95  // M1, of lawful reads
	refusals      = 0.001 // M4, over a failover
)

var (
	length = flag.Duration("length", 40*time.Second, "simulated time of each run; the first 20 s are not counted")
	tables = flag.Bool("baselines", false, "also run the baselines, which no bound applies to")
	seed   = flag.Uint64("seed", 1, "seed of the simulation")
)

func usual(u user) setup {
	return setup{
		user: u, seed: *seed, length: *length, load: 0.6, readShare: admission.PrimaryReadShare,
		lag: func(time.Duration) time.Duration { return 20 * time.Millisecond },
	}
}

// summary is what all client accounts together saw.
type summary struct {
	due, good, refused, onReplica, load, tries float64
	reads, writes                              time.Duration // p99
}

func (w *world) summary() summary {
	var s summary
	var reads, writes []time.Duration
	for i := range w.tallies {
		t := &w.tallies[i]
		s.due += float64(t.due)
		s.good += float64(t.good)
		s.refused += float64(t.refused)
		reads = append(reads, t.reads...)
		writes = append(writes, t.writes...)
	}
	s.good, s.refused, s.tries = s.good/s.due, s.refused/s.due, float64(w.tries)/s.due
	s.onReplica = float64(w.onReplica) / float64(max(w.lawful, 1))
	s.load = w.instances[w.primary].served.Seconds() / (w.length - settled).Seconds() / float64(w.slots)
	s.reads, s.writes = quantile(reads, 0.99), quantile(writes, 0.99)
	return s
}

func (s summary) String() string {
	return fmt.Sprintf("goodput %.4f refused %.4f, on replicas %.3f, load of primary %.2f, tries per request %.2f, p99 reads %v writes %v",
		s.good, s.refused, s.onReplica, s.load, s.tries, s.reads.Round(time.Millisecond/10), s.writes.Round(time.Millisecond/10))
}

// worst compares the accounts other than the first with a run in which the first keeps its rate.
func (w *world) worst(before *world) (goodput, factor float64, p99 time.Duration) {
	goodput = 1
	for i := 1; i < len(w.tallies); i++ {
		t := &w.tallies[i]
		after := quantile(t.all(), 0.99)
		goodput = min(goodput, float64(t.good)/float64(t.due))
		factor = max(factor, float64(after)/float64(quantile(before.tallies[i].all(), 0.99)))
		p99 = max(p99, after)
	}
	return goodput, factor, p99
}

// Guards M3: one client account sends five times its rate.
func TestHeavyAccount(t *testing.T) {
	for _, u := range users {
		run := func(name string, policy admission.Policy, fixed, limited bool) (goodput, factor float64) {
			s := usual(u)
			s.admission, s.fixed, s.limited = policy, fixed, limited
			before := simulate(s)
			s.heavy = 5
			w := simulate(s)
			goodput, factor, p99 := w.worst(before)
			t.Logf("%s %s: others' worst goodput %.4f, p99 %v, factor %.2f; %v", u.name, name, goodput, p99.Round(time.Millisecond), factor, w.summary())
			return goodput, factor
		}
		if *tables {
			run("FIFO, fixed", admission.FIFO, true, false)
			run("FIFO, adaptive", admission.FIFO, false, false)
			run("fair, fixed", admission.Fair, true, false)
			run("FIFO, fixed, rates limited", admission.FIFO, true, true)
		}
		goodput, _ := run("fair, adaptive", admission.Fair, false, false)
		require.GreaterOrEqual(t, goodput, dueGoodput, u.name)
		goodput, factor := run("fair, adaptive, rates limited", admission.Fair, false, true)
		require.GreaterOrEqual(t, goodput, dueGoodput, u.name)
		require.LessOrEqual(t, factor, latencyFactor, u.name)
	}
}

// Guards M1 and M4 in a healthy run.
func TestReplicaReads(t *testing.T) {
	for _, u := range users {
		for _, load := range []float64{0.4, 0.6} {
			s := usual(u)
			s.load = load
			if *tables {
				s.route = route.PrimaryOnly
				t.Logf("%s load %.1f primary only: %v", u.name, load, simulate(s).summary())
				s.route = route.LeastCost
			}
			after := simulate(s).summary()
			t.Logf("%s load %.1f router: %v", u.name, load, after)
			require.GreaterOrEqual(t, after.onReplica, replicaShare, u.name)
			require.Zero(t, after.refused, u.name)
		}
	}
}

// Guards against a lag storm that overloads the primary: both replicas are 2 s behind half of the time.
func TestLagStorm(t *testing.T) {
	for _, u := range users {
		for _, load := range []float64{0.4, 0.6} {
			s := usual(u)
			s.load = load
			half := (s.length - settled) / 2
			s.lag = func(since time.Duration) time.Duration {
				if from := settled + half/2; since > from && since < from+half {
					return 2 * time.Second
				}
				return 20 * time.Millisecond
			}
			run := func(name string, policy route.Policy, reads float64) summary {
				s.route, s.readShare = policy, reads
				after := simulate(s).summary()
				t.Logf("%s load %.1f %s: %v", u.name, load, name, after)
				return after
			}
			if *tables {
				run("primary only", route.PrimaryOnly, 0)
				run("router, reads not bounded", route.LeastCost, 0)
			}
			after := run("router, reads bounded", route.LeastCost, admission.PrimaryReadShare)
			require.GreaterOrEqual(t, after.onReplica, replicaShare, u.name)
		}
	}
}

// Guards M4 and against a burst of retries: the primary dies, a replica takes its place after 3 s.
func TestFailover(t *testing.T) {
	for _, u := range users {
		run := func(name string, policy retry.Policy) summary {
			s := usual(u)
			s.load, s.retry, s.timeout = 0.4, policy, 5*time.Second
			s.dies, s.promoted = settled+5*time.Second, settled+8*time.Second
			w := simulate(s)
			t.Logf("%s %s: %v, last answer above 200 ms %v after the promotion", u.name, name, w.summary(), w.recovered.Round(time.Millisecond))
			return w.summary()
		}
		if *tables {
			run("immediate retry", retry.Immediate)
		}
		after := run("budgeted retry", retry.Budgeted)
		require.LessOrEqual(t, after.refused, refusals, u.name)
	}
}
