package route_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fireflyrudder.example/fireflyrudder/internal/route"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

var start = time.Unix(1_800_000_000, 0)

// group returns a primary "p" and the given number of replicas "r0", "r1", ... at offset 1000 of term 1.
func group(replicas int) []route.Candidate {
	at := position.Position{Term: 1, Offset: 1000}
	history := position.History{{Term: 1}}
	one := route.Candidate{Server: "p", Primary: true, Slots: 2, Position: at, History: history, AsOf: start}
	all := []route.Candidate{one}
	for i := range replicas {
		one.Server, one.Primary = route.ServerID(fmt.Sprintf("r%d", i)), false
		all = append(all, one)
	}
	return all
}

func read(offset position.Offset) route.Request {
	floor := position.Position{Term: 1, Offset: offset}
	return route.Request{Read: true, Floor: floor, MaxAge: route.NoMaxAge, Arrived: start}
}

// observe gives a server enough samples for its EWMAs to settle.
func observe(r *route.Router, now time.Time, server route.ServerID, elapsed time.Duration) {
	for range 50 {
		r.Observe(now, server, 0, elapsed, false)
	}
}

// Guards rules R1 and R11 and against stale reads: for any candidates, the chosen server may serve the request.
func TestChoiceIsValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := route.New(rapid.Uint64().Draw(t, "seed"), route.Policy(rapid.IntRange(0, 1).Draw(t, "policy")))
		all := drawCandidates(t)
		now := start
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
			server := all[rapid.IntRange(0, len(all)-1).Draw(t, "server")].Server
			r.Observe(now, server, 0, time.Duration(rapid.IntRange(0, 300).Draw(t, "ms"))*time.Millisecond, rapid.Bool().Draw(t, "failed"))
			q := route.Request{
				Read: rapid.Bool().Draw(t, "read"), Floor: drawPosition(t), Arrived: now,
				MaxAge: time.Duration(rapid.IntRange(-1, 100).Draw(t, "age")) * time.Millisecond,
			}
			choice := r.Choose(now, q, all)
			if choice.Result != route.Chosen {
				require.LessOrEqual(t, choice.Wait, route.MaxWait)
				continue
			}
			requireValid(t, now, q, all[choice.Index])
			require.Equal(t, all[choice.Index].Server, choice.Server)
		}
	})
}

func drawPosition(t *rapid.T) position.Position {
	return position.Position{
		Term:   position.Term(rapid.IntRange(1, 3).Draw(t, "term")),
		Offset: position.Offset(rapid.IntRange(0, 300).Draw(t, "offset")),
	}
}

func drawCandidates(t *rapid.T) []route.Candidate {
	all := make([]route.Candidate, rapid.IntRange(1, 5).Draw(t, "servers"))
	for i := range all {
		all[i] = route.Candidate{
			Server: route.ServerID(fmt.Sprint(i)), Primary: rapid.Bool().Draw(t, "primary"),
			Retired: rapid.Bool().Draw(t, "retired"), Unreachable: rapid.Bool().Draw(t, "down"),
			Position: drawPosition(t), History: position.History{{Term: 1}, {Term: 2, Offset: 100}, {Term: 3, Offset: 200}},
			Slots: 2, AsOf: start.Add(-time.Duration(rapid.IntRange(0, 100).Draw(t, "asOf")) * time.Millisecond),
		}
	}
	return all
}

func requireValid(t *rapid.T, now time.Time, q route.Request, c route.Candidate) {
	require.False(t, c.Retired || c.Unreachable)
	if !q.Read {
		require.True(t, c.Primary)
		return
	}
	require.True(t, c.History.Covers(c.Position, q.Floor) || c.Primary && c.Position.Term >= q.Floor.Term)
	if q.MaxAge >= 0 {
		require.True(t, now.Sub(c.AsOf) <= q.MaxAge || !c.AsOf.Before(q.Arrived))
	}
}

// Guards against results that differ between runs with the same seed.
func TestChooseIsDeterministic(t *testing.T) {
	run := func() (servers []route.ServerID) {
		r := route.New(7, route.LeastCost)
		for range 100 {
			servers = append(servers, r.Choose(start, read(1000), group(4)).Server)
		}
		return servers
	}
	require.Equal(t, run(), run())
}

// Guards against sending reads to the primary while replicas may serve them (M1), and against all entry VMs
// choosing the same one of two equal replicas.
func TestReadsSpreadOverReplicas(t *testing.T) {
	r := route.New(1, route.LeastCost)
	counts := map[route.ServerID]int{}
	for range 1000 {
		counts[r.Choose(start, read(1000), group(2)).Server]++
	}
	require.Zero(t, counts["p"])
	require.InDelta(t, 500, counts["r0"], 100)
}

// Guards against preferring a replica that is farther away, slower or busier.
func TestCost(t *testing.T) {
	for name, change := range map[string]func(*route.Router, *route.Candidate){
		"distance": func(_ *route.Router, c *route.Candidate) { c.NetworkDelay = 5 * time.Millisecond },
		"queue":    func(_ *route.Router, c *route.Candidate) { c.Queued = 6 },
		"latency":  func(r *route.Router, _ *route.Candidate) { observe(r, start, "r0", 9*time.Millisecond) },
		"loss": func(r *route.Router, _ *route.Candidate) {
			observe(r, start, "r0", time.Millisecond)
			r.Observe(start, "r0", 0, 0, true)
		},
	} {
		r := route.New(1, route.LeastCost)
		observe(r, start, "r1", time.Millisecond)
		all := group(2)
		change(r, &all[1])
		for range 20 {
			require.Equal(t, route.ServerID("r1"), r.Choose(start, read(1000), all).Server, name)
		}
	}
}

// Guards against never using a server again after it was slow.
func TestSlowServerIsRetried(t *testing.T) {
	r := route.New(1, route.LeastCost)
	all := group(2)
	observe(r, start, "r0", 15*time.Millisecond)
	later := start
	tried := false
	for range 600 {
		later = later.Add(100 * time.Millisecond)
		r.Observe(later, "r1", 0, time.Millisecond, false)
		tried = tried || r.Choose(later, read(1000), all).Server == "r0"
	}
	require.True(t, tried)
}

// Guards against sending reads to the primary when a replica is a few milliseconds behind, and against waiting
// longer than MaxWait or for a replica that is too far behind.
func TestWaitForReplica(t *testing.T) {
	r := route.New(1, route.LeastCost)
	all := group(1)
	for i := range 20 {
		at := position.Position{Term: 1, Offset: position.Offset(800 + 10*i)}
		r.ObservePosition(start.Add(time.Duration(i)*time.Millisecond), "r0", at) // 10 offsets each ms
	}
	now := start.Add(20 * time.Millisecond)
	all[1].Position.Offset = 990

	idle := r.Choose(now, read(1040), all)
	require.Equal(t, route.ServerID("p"), idle.Server, "an idle primary answers sooner")

	observe(r, now, "p", 30*time.Millisecond)
	busy := r.Choose(now, read(1040), all)
	require.Equal(t, route.Wait, busy.Result)
	require.Equal(t, route.ServerID("r0"), busy.Server)
	require.InDelta(t, 5, busy.Wait.Milliseconds(), 2)

	waited := read(1040)
	waited.Waited = route.MaxWait
	require.Equal(t, route.Chosen, r.Choose(now, waited, all).Result)
	require.Equal(t, route.Chosen, r.Choose(now, read(5000), all).Result, "400 ms behind")
}

// Guards against sending reads to an outlier, and against ejecting more than half of the servers.
func TestEjection(t *testing.T) {
	r := route.New(1, route.LeastCost)
	all := group(4)
	all[0].Running = 1 // the primary takes no read that a replica may serve
	for _, server := range []route.ServerID{"r0", "r1", "r2", "r3"} {
		observe(r, start, server, time.Millisecond)
	}
	fail := func(server route.ServerID) {
		for range 10 {
			r.Observe(start, server, 0, time.Second, true)
		}
	}
	chosen := func(now time.Time) map[route.ServerID]int {
		counts := map[route.ServerID]int{}
		for range 400 {
			counts[r.Choose(now, read(1000), all).Server]++
		}
		return counts
	}
	fail("r0")
	require.Zero(t, chosen(start)["r0"])
	fail("r1")
	fail("r2")
	fail("r3")
	counts := chosen(start)
	require.GreaterOrEqual(t, len(counts), 2, "three of five servers stay in use, two of them replicas")
	require.Zero(t, counts["p"])
	require.Subset(t, []route.ServerID{"r0", "r1"}, slices.Collect(maps.Keys(chosen(start))), "the same servers remain ejected")

	alone := group(1)
	for range 10 {
		r.Observe(start, "r9", 0, time.Second, true)
	}
	alone[1].Server, alone[0].Unreachable = "r9", true
	require.Equal(t, route.Chosen, r.Choose(start, read(1000), alone).Result, "an ejected replica is better than a refusal")
}

// Guards against sending reads to a slow replica that returns no errors.
func TestEjectionByLatency(t *testing.T) {
	r := route.New(1, route.LeastCost)
	all := group(2)
	observe(r, start, "p", 2*time.Millisecond)
	observe(r, start, "r0", 2*time.Millisecond)
	observe(r, start, "r1", 80*time.Millisecond)
	all[1].Queued = 200
	all[0].Running = 2
	require.Equal(t, route.ServerID("r0"), r.Choose(start, read(1000), all).Server)
}

// Guards against overloading the primary: a read that a replica may serve goes to the primary only if the
// primary is idle and far cheaper.
func TestSpill(t *testing.T) {
	r := route.New(1, route.LeastCost)
	all := group(1)
	observe(r, start, "p", 5*time.Millisecond)
	observe(r, start, "r0", 5*time.Millisecond)
	all[1].Queued = 5
	require.Equal(t, route.ServerID("r0"), r.Choose(start, read(1000), all).Server)
	all[1].Queued = 50
	require.Equal(t, route.ServerID("p"), r.Choose(start, read(1000), all).Server)
	all[0].Running = 1
	require.Equal(t, route.ServerID("r0"), r.Choose(start, read(1000), all).Server, "half of two slots")
	all[0].Running, all[0].Queued = 0, 1
	require.Equal(t, route.ServerID("r0"), r.Choose(start, read(1000), all).Server)
}

// Guards against a wrong result, which determines what the entry VM does next.
func TestResults(t *testing.T) {
	r := route.New(1, route.LeastCost)
	all := group(2)
	require.Equal(t, route.ServerID("p"), r.Choose(start, route.Request{}, all).Server)

	fresh := read(1000)
	fresh.MaxAge, fresh.Arrived = 0, start.Add(time.Millisecond)
	require.Equal(t, route.Stale, r.Choose(start.Add(time.Millisecond), fresh, all).Result)
	all[1].AsOf = start.Add(time.Millisecond)
	require.Equal(t, route.ServerID("r0"), r.Choose(start.Add(2*time.Millisecond), fresh, all).Server)

	superseded := read(1000)
	superseded.Floor.Term = 2
	require.Equal(t, route.NoServer, r.Choose(start, superseded, all).Result)

	all[0].Unreachable = true
	require.Equal(t, route.NoPrimary, r.Choose(start, route.Request{}, all).Result)
	require.Equal(t, route.Chosen, r.Choose(start, read(1000), all).Result, "reads continue without a primary")
	require.Equal(t, route.NoPrimary, r.Choose(start, read(1001), all).Result)

	all[0].Unreachable, all[0].Retired = false, true
	require.Equal(t, route.NoPrimary, r.Choose(start, route.Request{}, all).Result)
	require.Equal(t, route.NoPrimary, r.Choose(start, route.Request{Read: true}, nil).Result)
}

// Guards against sending a read to a replica under PrimaryOnly, the baseline of the measurements.
func TestPrimaryOnly(t *testing.T) {
	r := route.New(1, route.PrimaryOnly)
	for range 20 {
		require.Equal(t, route.ServerID("p"), r.Choose(start, read(1000), group(2)).Server)
	}
}

// Guards against allocations on the path of every statement.
func TestChooseAllocations(t *testing.T) {
	r := route.New(1, route.LeastCost)
	all := group(2)
	q := read(1000)
	require.Zero(t, testing.AllocsPerRun(1000, func() { r.Choose(start, q, all) }))
}

// groups returns the candidates of many groups of three.
func groups(r *route.Router, n int) [][]route.Candidate {
	all := make([][]route.Candidate, n)
	for g := range all {
		all[g] = group(2)
		for i := range all[g] {
			c := &all[g][i]
			c.Server = route.ServerID(fmt.Sprintf("allocation-ledger-%04d-%d", g, i))
			c.NetworkDelay = time.Duration(i) * time.Millisecond
			observe(r, start, c.Server, time.Duration(2+g%5)*time.Millisecond)
		}
	}
	return all
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{3, 1900} {
		b.Run(fmt.Sprintf("groups=%d", n), func(b *testing.B) {
			r := route.New(1, route.LeastCost)
			all := groups(r, n)
			q := read(1000)
			now := start
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i = (i*7 + 13) % n
				now = now.Add(time.Microsecond)
				r.Choose(now, q, all[i])
			}
		})
	}
}
