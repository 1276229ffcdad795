package failover_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fireflyrudder.example/fireflyrudder/internal/failover"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// TestMain fixes the seed of the property tests unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func (s *simulation) primary() *instance {
	v, _ := s.state.View("g")
	if v.GetPhase() != wire.Phase_PHASE_STEADY {
		return nil
	}
	return s.instance(v.GetPrimary())
}

// awaitWrites runs until the group has a primary and writes are acknowledged.
func (s *simulation) awaitWrites() {
	for range 100 {
		s.run(100 * time.Millisecond)
		if s.primary() != nil && s.primary().up() && s.now.Sub(s.lastAck) < 100*time.Millisecond {
			return
		}
	}
	require.FailNow(s.t, "no writes are acknowledged")
}

// Guards against a group without a first primary and against two promotions for the first primary.
func TestFirstPrimary(t *testing.T) {
	s := newSimulation(t, 1, 3, 3)
	s.awaitWrites()
	s.run(5 * time.Second)
	require.Equal(t, 1, s.raised)
	require.Len(t, s.view.GetMembers(), 3)
	late := newSimulation(t, 1, 3, 2)
	late.run(4 * time.Second)
	require.Nil(t, late.primary(), "the third member may still join")
	late.run(3 * time.Second)
	require.NotNil(t, late.primary())
	late.start("c")
	late.run(3 * time.Second)
	require.Len(t, late.view.GetMembers(), 3)
	require.Equal(t, 1, late.raised)
}

// Guards against a write gap above 3 s in any of 30 seeded runs when the primary fails.
func TestFailoverGap(t *testing.T) {
	for _, f := range []fault{crashed, frozen, cutControl | cutEntries | cutPeers} {
		var gaps []time.Duration
		for seed := range uint64(30) {
			s := newSimulation(t, seed, 3, 3)
			s.awaitWrites()
			s.run(time.Duration(s.random.IntN(1000)) * time.Millisecond)
			old := s.primary()
			s.gap = 0
			old.faults = f
			s.run(6 * time.Second)
			require.NotEqual(t, old, s.primary(), "seed %d", seed)
			require.LessOrEqual(t, s.gap, 3*time.Second, "seed %d", seed)
			gaps = append(gaps, s.gap)
			old.faults = 0
			s.run(2 * time.Second)
			require.Equal(t, simulatedAddress(s.primary().id), old.following, "the former primary follows the new one")
			require.Equal(t, s.primary().term, old.term)
			require.Equal(t, 2, s.raised, "seed %d", seed)
		}
		slices.Sort(gaps)
		t.Logf("fault %d: write gap median %v, worst %v", f, gaps[len(gaps)/2], gaps[len(gaps)-1])
	}
}

// Guards against a planned switchover that takes longer than 1 s or misses its target.
func TestSwitchoverGap(t *testing.T) {
	var gaps []time.Duration
	for seed := range uint64(30) {
		s := newSimulation(t, seed, 3, 3)
		s.awaitWrites()
		s.run(time.Second)
		to := s.instances[(slices.Index(s.instances, s.primary())+1)%3]
		if seed%2 == 1 {
			// The target is behind and catches up while the writes are queued.
			to.faults = cutPeers
			s.run(100 * time.Millisecond)
			s.after(150*time.Millisecond, func() { to.faults = 0 })
		}
		s.gap = 0
		s.step(failover.SwitchoverRequested{Group: "g", To: failover.ServerID(to.id)})
		s.run(3 * time.Second)
		require.Equal(t, to, s.primary())
		require.LessOrEqual(t, s.gap, time.Second, "seed %d", seed)
		gaps = append(gaps, s.gap)
	}
	slices.Sort(gaps)
	t.Logf("write gap median %v, worst %v", gaps[len(gaps)/2], gaps[len(gaps)-1])
}

// Guards against unnecessary promotions: under jitter and 5% loss, when either the control VM or the entry VMs
// cannot reach the primary, and after pauses of the control VM.
func TestNoPromotionWithoutNeed(t *testing.T) {
	cases := map[string]func(s *simulation){
		"jitter and loss":               func(s *simulation) { s.loss, s.jitter = 0.05, 200*time.Millisecond },
		"unreachable by the control VM": func(s *simulation) { s.primary().faults = cutControl },
		"unreachable by entry VMs":      func(s *simulation) { s.primary().faults = cutEntries },
		"control VM paused for 10 s": func(s *simulation) {
			for range 10 {
				s.paused = true
				s.run(10 * time.Second)
				s.resume()
				s.run(2 * time.Second)
			}
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				s := newSimulation(t, seed, 3, 3)
				s.awaitWrites()
				disturb(s)
				s.run(time.Minute)
				require.Equal(t, 1, s.raised, "seed %d", seed)
			}
		})
	}
}

// Guards against a retired server that remains a member, a spare that is not admitted, and a retired primary
// that is removed without a switchover.
func TestRetirement(t *testing.T) {
	for _, primary := range []bool{false, true} {
		s := newSimulation(t, 3, 3, 4)
		s.awaitWrites()
		old := s.primary()
		if !primary {
			old = s.instances[(slices.Index(s.instances, old)+1)%3]
		}
		s.gap = 0
		s.apply(configurationChange(s.state, &wire.Edit{Edit: &wire.Edit_RetireServer{RetireServer: old.id}}))
		s.run(10 * time.Second)
		var members []string
		for _, m := range s.view.GetMembers() {
			members = append(members, m.GetServer())
		}
		require.Len(t, members, 3)
		require.NotContains(t, members, old.id)
		require.LessOrEqual(t, s.gap, time.Second)
	}
}

// Guards against a promotion that is recorded while only the new primary has its log: entry VMs acknowledge
// older writes by that log, and these writes are lost if the server fails.
func TestRecordedPromotionSurvives(t *testing.T) {
	s := newSimulation(t, 1, 5, 5)
	s.awaitWrites()
	former := s.primary()
	at := slices.Index(s.instances, former)
	successor := s.instances[(at+1)%5]
	for i := range 3 {
		s.instances[(at+2+i)%5].faults = cutPeers
	}
	s.run(100 * time.Millisecond)
	former.faults = crashed
	for range 400 {
		if s.run(10 * time.Millisecond); successor.role == "primary" {
			break
		}
	}
	require.Equal(t, "primary", successor.role, "the member with the most advanced log is promoted")
	s.run(100 * time.Millisecond)
	successor.faults = crashed
	for _, x := range s.instances {
		x.faults &^= cutPeers
	}
	s.run(6 * time.Second)
	s.awaitWrites()
}

// Guards against majorities that do not intersect. A retired member must remain while its confirmations may
// still count or the other members lack its writes, and a spare without these writes must not be admitted.
func TestMembersWaitForWrites(t *testing.T) {
	s := newSimulation(t, 4, 3, 4)
	s.awaitWrites()
	at := slices.IndexFunc(s.instances, func(x *instance) bool { return x == s.primary() })
	member := func(x *instance) bool {
		return slices.ContainsFunc(s.view.GetMembers(), func(m *wire.Member) bool { return m.GetServer() == x.id })
	}
	var replicas []*instance
	var spare *instance
	for i := range s.instances {
		switch x := s.instances[(at+i)%4]; {
		case !member(x):
			spare = x
		case x != s.primary():
			replicas = append(replicas, x)
		}
	}
	leaving, staying := replicas[0], replicas[1]
	staying.faults, spare.faults = cutPeers, cutPeers
	s.run(200 * time.Millisecond)
	s.apply(configurationChange(s.state, &wire.Edit{Edit: &wire.Edit_RetireServer{RetireServer: leaving.id}}))
	s.run(6 * time.Second)
	require.True(t, member(leaving), "the others lack writes that it confirmed")
	staying.faults, spare.faults = 0, lagging
	s.run(time.Second)
	require.False(t, member(leaving))
	s.run(2 * time.Second)
	require.Equal(t, s.primary().term, spare.term, "it follows and lags behind")
	require.False(t, member(spare), "it lacks writes that the removed member confirmed")
	spare.faults = 0
	s.run(time.Second)
	require.True(t, member(spare))
	s.apply(configurationChange(s.state, &wire.Edit{Edit: &wire.Edit_RetireServer{RetireServer: spare.id}}))
	s.run(2900 * time.Millisecond)
	require.True(t, member(spare), "entry VMs may not have received the retirement yet")
}

// Guards against a promotion that is recorded because members have longer logs of a superseded term, although
// they do not follow the new primary.
func TestConfirmationNeedsTheTerm(t *testing.T) {
	s := newSimulation(t, 1, 5, 5)
	s.awaitWrites()
	fail := func(f fault, list ...*instance) {
		for _, x := range list {
			x.faults = f
		}
		s.run(300 * time.Millisecond)
	}
	others := func(not ...*instance) (list []*instance) {
		for _, x := range s.instances {
			if !slices.Contains(not, x) {
				list = append(list, x)
			}
		}
		return list
	}
	first := s.primary()
	ally := others(first)[0]
	rest := others(first, ally)
	fail(cutPeers, rest...)
	s.run(5 * time.Second) // the superseded branch becomes the longer one
	fail(cutControl|cutEntries|cutPeers, first, ally)
	fail(0, rest...)
	s.run(3 * time.Second)
	second := s.primary()
	require.Contains(t, rest, second)
	rest = others(first, ally, second)
	fail(cutControl|cutPeers, rest[1])
	fail(crashed, second)
	fail(cutPeers, first, ally)
	s.run(4 * time.Second)
	fail(crashed, rest[0])
	fail(0, rest[1], first, ally)
	s.run(4 * time.Second)
	s.awaitWrites()
}

// Guards against the loss of an acknowledged write, two primaries of a term, a call with a term that is not
// durable, and a group that stays without a primary, under any sequence of faults.
func TestFailoverProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SampledFrom([]int{3, 3, 3, 5}).Draw(t, "members")
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), members, members+1)
		s.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		s.jitter = time.Duration(rapid.SampledFrom([]int{0, 10, 300}).Draw(t, "jitter")) * time.Millisecond
		s.run(3 * time.Second)
		some := func(t *rapid.T) *instance {
			if p := s.primary(); p != nil && rapid.Bool().Draw(t, "primary") {
				return p
			}
			return rapid.SampledFrom(s.instances).Draw(t, "instance")
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				s.run(time.Duration(rapid.SampledFrom([]int{5, 30, 200, 1000, 4000}).Draw(t, "ms")) * time.Millisecond)
			},
			"fail": func(t *rapid.T) {
				some(t).faults |= rapid.SampledFrom([]fault{crashed, frozen, cutControl, cutEntries, cutPeers, lagging, cutControl | cutEntries}).Draw(t, "fault")
			},
			"isolate": func(t *rapid.T) {
				some(t).faults = cutControl | cutPeers
				s.run(20 * time.Millisecond)
			},
			"heal": func(t *rapid.T) { some(t).faults = 0 },
			"heal all": func(t *rapid.T) {
				for _, x := range s.instances {
					x.faults = 0
				}
				s.run(2 * time.Second)
			},
			"lead":  func(*rapid.T) { s.electLeader() },
			"sleep": func(*rapid.T) { s.paused = true },
			"wake":  func(*rapid.T) { s.resume() },
			"switch": func(t *rapid.T) {
				s.step(failover.SwitchoverRequested{Group: "g", To: failover.ServerID(some(t).id)})
			},
			"retire": func(t *rapid.T) {
				s.apply(configurationChange(s.state, &wire.Edit{Edit: &wire.Edit_RetireServer{RetireServer: some(t).id}}))
			},
			"evacuate": func(t *rapid.T) {
				x := some(t)
				s.evacuations.servers[x.id] = !s.evacuations.servers[x.id]
				s.notify()
			},
			"restore": func(t *rapid.T) {
				s.apply(configurationChange(s.state, &wire.Edit{Edit: &wire.Edit_RestoreServer{RestoreServer: some(t).id}}))
			},
		})
		for _, x := range s.instances {
			x.faults = 0
			s.apply(configurationChange(s.state, &wire.Edit{Edit: &wire.Edit_RestoreServer{RestoreServer: x.id}}))
		}
		s.loss, s.jitter = 0, 0
		clear(s.evacuations.servers)
		s.resume()
		s.run(10 * time.Second)
		s.awaitWrites()
	})
}
