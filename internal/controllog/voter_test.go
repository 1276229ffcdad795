package controllog_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fireflyrudder.example/fireflyrudder/internal/controllog"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// TestMain fixes the seed of the property tests unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// Guards against lost or differing committed entries, two lease holders, stale lease holders,
// votes given twice and a group that does not recover, under loss, repetition, reordering, cut
// links, crashes before and after syncs, freezes and lost data folders.
func TestClusterProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.Uint64().Draw(t, "seed"), 3, rapid.IntRange(0, 2).Draw(t, "spares"))
		c.until(10*time.Second, "forming the group", c.whole)
		index := rapid.IntRange(0, len(c.machines)-1)
		which := func(t *rapid.T) *machine { return c.machines[index.Draw(t, "machine")] }
		actions := map[string]func(*rapid.T){
			"propose": func(t *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(t, "count") {
					c.propose()
				}
			},
			"weather": func(t *rapid.T) {
				c.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
				c.repeat = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "repeat")
				c.crashing = rapid.SampledFrom([]float64{0, 0, 0.02}).Draw(t, "crashing")
				delay := rapid.SampledFrom([]int{10, 50, 300, 1500}).Draw(t, "delay")
				c.delay = time.Duration(delay) * time.Millisecond
			},
			"crash": func(t *rapid.T) { c.crash(which(t)) },
			"restart": func(t *rapid.T) {
				m := which(t)
				c.crash(m)
				c.boot(m)
			},
			"boot":  func(t *rapid.T) { c.boot(which(t)) },
			"cut":   func(t *rapid.T) { m := which(t); m.cutoff = !m.cutoff },
			"sever": func(t *rapid.T) { c.sever(which(t), which(t)) },
			"heal":  func(t *rapid.T) { c.heal() },
			"freeze": func(t *rapid.T) {
				which(t).frozen = c.elapsed + time.Duration(rapid.IntRange(100, 5000).Draw(t, "span"))*time.Millisecond
			},
			"lose folder": func(t *rapid.T) {
				// A second folder may be lost only after the first one is replaced; before, entries may be gone.
				m := which(t)
				c.heal()
				c.until(3*time.Minute, "repair", c.whole)
				c.crash(m)
				c.format(m)
			},
			"": func(t *rapid.T) { c.run(time.Duration(rapid.IntRange(0, 100).Draw(t, "steps")) * step) },
		}
		t.Repeat(actions)
		c.heal()
		c.until(3*time.Minute, "recovery", c.whole)
		before := c.highest
		c.propose()
		c.until(5*time.Second, "a commit after recovery", func() bool { return c.highest > before })
	})
}

// Guards against an election that takes longer than 1.5 s after the leader is gone.
func TestElectionTime(t *testing.T) {
	for seed := range uint64(200) {
		c := newCluster(t, seed, 3, 0)
		c.until(10*time.Second, "forming the group", c.whole)
		c.run(time.Duration(seed) * step)
		gone := c.leader()
		c.crash(gone)
		c.until(1500*time.Millisecond, "election", func() bool { return c.leader() != nil })
	}
}

// Guards against a voter that forgets with a restart, or because a candidate asks, the promise on
// which the leader's lease rests: the third voter cannot reach the leader and stands for election.
func TestPromiseToLeader(t *testing.T) {
	for seed := range uint64(40) {
		c := newCluster(t, seed, 3, 0)
		c.until(10*time.Second, "forming the group", c.whole)
		l := c.leader()
		others := slices.DeleteFunc(slices.Clone(c.machines), func(m *machine) bool { return m == l })
		c.sever(l, others[0])
		for range 30 {
			c.run(time.Duration(c.random.IntN(400)) * time.Millisecond)
			if seed%2 == 0 {
				c.crash(others[1])
				c.boot(others[1])
			}
		}
	}
}

// Guards against a voter silent for 30 s that is replaced too early, not at all, or without a
// caught-up spare.
func TestSpareReplacesSilentVoter(t *testing.T) {
	c := newCluster(t, 1, 3, 1)
	c.until(10*time.Second, "forming the group", c.whole)
	spare := c.machines[3]
	role := func(m *machine) string {
		l := c.leader()
		if l == nil {
			return ""
		}
		for _, s := range l.voter.Members(c.now(l)) {
			if s.Identity == string(m.id) {
				return s.Role
			}
		}
		return "none"
	}
	c.until(5*time.Second, "joining", func() bool { return role(spare) == "learner" })
	silent := c.machines[0]
	if c.leader() == silent {
		silent = c.machines[1]
	}
	silent.cutoff = true
	c.run(29 * time.Second)
	require.Equal(t, "follower", role(silent))
	require.Equal(t, "learner", role(spare))
	c.run(3 * time.Second)
	require.Equal(t, "none", role(silent))
	require.Equal(t, "follower", role(spare))
	silent.cutoff = false
	c.run(5 * time.Second)
	require.Equal(t, "learner", role(silent), "a voter that returns becomes the spare")
}

// Guards against a change of membership without a spare: status shows the silent voter.
func TestNoSpareNoChange(t *testing.T) {
	c := newCluster(t, 2, 3, 0)
	c.until(10*time.Second, "forming the group", c.whole)
	silent := c.machines[0]
	if c.leader() == silent {
		silent = c.machines[1]
	}
	c.crash(silent)
	c.run(time.Minute)
	l := c.leader()
	require.Len(t, l.voter.Membership().Members, 3)
	for _, s := range l.voter.Members(c.now(l)) {
		if s.Identity == string(silent.id) {
			require.Greater(t, s.Silent, int64(55_000))
		}
	}
}

// Guards against a returning voter that deposes a leader, and against a leader without quorum
// that keeps its lease.
func TestCutVoterDoesNotDisturb(t *testing.T) {
	c := newCluster(t, 3, 3, 0)
	c.until(10*time.Second, "forming the group", c.whole)
	l := c.leader()
	term := l.voter.Term()
	cut := c.machines[0]
	if l == cut {
		cut = c.machines[1]
	}
	cut.cutoff = true
	c.run(10 * time.Second)
	cut.cutoff = false
	c.run(5 * time.Second)
	require.Same(t, l, c.leader())
	require.Equal(t, term, l.voter.Term())
	l.cutoff = true
	c.run(controllog.LeaderLease + 20*time.Millisecond)
	require.False(t, l.voter.Lease(c.now(l)))
	c.run(controllog.ElectionMost)
	require.NotEqual(t, controllog.Leader, l.voter.Role())
}

// Guards against logs of two groups that mix, for example after a wrong --peer.
func TestForeignGroup(t *testing.T) {
	c := newCluster(t, 4, 1, 0)
	c.until(10*time.Second, "forming the group", c.whole)
	own := c.machines[0]
	last := own.voter.Committed()
	foreign := &wire.VoterMessage{
		Group: "other", From: "x", To: string(own.id), Term: own.voter.Term() + 5,
		Body: &wire.VoterMessage_Append{Append: &wire.AppendRecords{Records: []*wire.LogRecord{{Index: 1, Term: 9}}, Commit: 1}},
	}
	c.handle(own, controllog.Received{Message: foreign})
	c.run(time.Second)
	require.Equal(t, last, own.voter.Committed())
	require.Same(t, own, c.leader())
}
