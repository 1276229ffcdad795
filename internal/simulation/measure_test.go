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

// Bounds that the design page sets for its measures M1 (reads served by replicas), M3 (fairness between client
// accounts) and M4 (refusals).
const (
	minGoodput       = 0.99  // M3, share of the requests of each other account that are answered in time
	maxLatencyFactor = 1.5   // M3, p99 of the other accounts relative to a run without the excess
	minReplicaShare  = 0.95  // M1, of the reads that a replica may serve on arrival
	maxRefusedShare  = 0.001 // M4, of the requests of a run with a failover
)

var (
	duration     = flag.Duration("length", 40*time.Second, "simulated time of each run; the first 20 s are not counted")
	runBaselines = flag.Bool("baselines", false, "also run the baselines, which no bound applies to")
	seed         = flag.Uint64("seed", 1, "seed of the simulation")
)

func baseScenario(d deployment) scenario {
	return scenario{
		deployment: d, seed: *seed, duration: *duration, load: 0.6, primaryReadShare: admission.PrimaryReadShare,
		lag: func(time.Duration) time.Duration { return 20 * time.Millisecond },
	}
}

// totals summarizes the results of all client accounts.
type totals struct {
	sent, inTime, refusedShare, replicaShare, primaryUtilization, attempts float64
	readP99, writeP99                                                      time.Duration
}

func (sim *simulation) totals() totals {
	var s totals
	var reads, writes []time.Duration
	for i := range sim.stats {
		t := &sim.stats[i]
		s.sent += float64(t.sent)
		s.inTime += float64(t.inTime)
		s.refusedShare += float64(t.refused)
		reads = append(reads, t.readLatencies...)
		writes = append(writes, t.writeLatencies...)
	}
	s.inTime, s.refusedShare, s.attempts = s.inTime/s.sent, s.refusedShare/s.sent, float64(sim.attempts)/s.sent
	s.replicaShare = float64(sim.servedByReplica) / float64(max(sim.replicaEligible, 1))
	s.primaryUtilization = sim.instances[sim.primary].busyTime.Seconds() / (sim.duration - warmUp).Seconds() / float64(sim.slots)
	s.readP99, s.writeP99 = quantile(reads, 0.99), quantile(writes, 0.99)
	return s
}

func (s totals) String() string {
	return fmt.Sprintf("goodput %.4f refused %.4f, on replicas %.3f, load of primary %.2f, tries per request %.2f, p99 reads %v writes %v",
		s.inTime, s.refusedShare, s.replicaShare, s.primaryUtilization, s.attempts, s.readP99.Round(time.Millisecond/10), s.writeP99.Round(time.Millisecond/10))
}

// worstOthers returns the lowest goodput, the largest increase of p99 as a factor and the highest p99
// over all accounts but the first. The factor is relative to before, a run in which the first account stays
// within its rate.
func (sim *simulation) worstOthers(before *simulation) (goodput, factor float64, p99 time.Duration) {
	goodput = 1
	for i := 1; i < len(sim.stats); i++ {
		t := &sim.stats[i]
		after := quantile(t.latencies(), 0.99)
		goodput = min(goodput, float64(t.inTime)/float64(t.sent))
		factor = max(factor, float64(after)/float64(quantile(before.stats[i].latencies(), 0.99)))
		p99 = max(p99, after)
	}
	return goodput, factor, p99
}

// Guards M3: a client account that sends five times its rate must not degrade the other accounts.
func TestHeavyAccount(t *testing.T) {
	for _, d := range deployments {
		run := func(name string, policy admission.Policy, fixed, limited bool) (goodput, factor float64) {
			s := baseScenario(d)
			s.admission, s.fixedLimit, s.rateLimited = policy, fixed, limited
			before := simulate(s)
			s.heavyFactor = 5
			sim := simulate(s)
			goodput, factor, p99 := sim.worstOthers(before)
			t.Logf("%s %s: others' worst goodput %.4f, p99 %v, factor %.2f; %v", d.name, name, goodput, p99.Round(time.Millisecond), factor, sim.totals())
			return goodput, factor
		}
		if *runBaselines {
			run("FIFO, fixed", admission.FIFO, true, false)
			run("FIFO, adaptive", admission.FIFO, false, false)
			run("fair, fixed", admission.Fair, true, false)
			run("FIFO, fixed, rates limited", admission.FIFO, true, true)
		}
		goodput, _ := run("fair, adaptive", admission.Fair, false, false)
		require.GreaterOrEqual(t, goodput, minGoodput, d.name)
		goodput, factor := run("fair, adaptive, rates limited", admission.Fair, false, true)
		require.GreaterOrEqual(t, goodput, minGoodput, d.name)
		require.LessOrEqual(t, factor, maxLatencyFactor, d.name)
	}
}

// Guards M1 and M4 without faults: replicas serve nearly all reads and no request is refused.
func TestReplicaReads(t *testing.T) {
	for _, d := range deployments {
		for _, load := range []float64{0.4, 0.6} {
			s := baseScenario(d)
			s.load = load
			if *runBaselines {
				s.route = route.PrimaryOnly
				t.Logf("%s load %.1f primary only: %v", d.name, load, simulate(s).totals())
				s.route = route.LeastCost
			}
			result := simulate(s).totals()
			t.Logf("%s load %.1f router: %v", d.name, load, result)
			require.GreaterOrEqual(t, result.replicaShare, minReplicaShare, d.name)
			require.Zero(t, result.refusedShare, d.name)
		}
	}
}

// Guards against replication lag that moves the reads to the primary and overloads it: both replicas
// are 2 s behind for half of the counted time.
func TestLagStorm(t *testing.T) {
	for _, d := range deployments {
		for _, load := range []float64{0.4, 0.6} {
			s := baseScenario(d)
			s.load = load
			half := (s.duration - warmUp) / 2
			s.lag = func(since time.Duration) time.Duration {
				if from := warmUp + half/2; since > from && since < from+half {
					return 2 * time.Second
				}
				return 20 * time.Millisecond
			}
			run := func(name string, policy route.Policy, reads float64) totals {
				s.route, s.primaryReadShare = policy, reads
				result := simulate(s).totals()
				t.Logf("%s load %.1f %s: %v", d.name, load, name, result)
				return result
			}
			if *runBaselines {
				run("primary only", route.PrimaryOnly, 0)
				run("router, reads not bounded", route.LeastCost, 0)
			}
			result := run("router, reads bounded", route.LeastCost, admission.PrimaryReadShare)
			require.GreaterOrEqual(t, result.replicaShare, minReplicaShare, d.name)
		}
	}
}

// Guards M4, and against a retry storm after a failover: the primary fails and a replica is promoted
// 3 s later.
func TestFailover(t *testing.T) {
	for _, d := range deployments {
		run := func(name string, policy retry.Policy) totals {
			s := baseScenario(d)
			s.load, s.retry, s.timeout = 0.4, policy, 5*time.Second
			s.primaryFailsAt, s.promotedAt = warmUp+5*time.Second, warmUp+8*time.Second
			sim := simulate(s)
			t.Logf("%s %s: %v, last answer above 200 ms %v after the promotion", d.name, name, sim.totals(), sim.lastSlowAnswer.Round(time.Millisecond))
			return sim.totals()
		}
		if *runBaselines {
			run("immediate retry", retry.Immediate)
		}
		result := run("budgeted retry", retry.Budgeted)
		require.LessOrEqual(t, result.refusedShare, maxRefusedShare, d.name)
	}
}
