package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/admission"
	"fireflyrudder.example/fireflyrudder/internal/placement"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// surge simulates reads of one database group, in steps of a millisecond: entry VMs forward to the owners of the
// connections to its instances, whose statements take 10 ms in each of 4 slots. One account sends several times what the
// instances can do; others send little.
type surge struct {
	reports     bool
	link        int // one way, in milliseconds
	random      *rand.Rand
	queues      []*admission.Queue
	vms         [][]*placement.InstanceStats // by VM and instance
	balancer    *placement.ReadBalancer
	events      map[int][]func(now int)
	running     []int
	answered    map[string]int // in time, by account
	early, late map[string]int // refused before they were forwarded, or at the owner
	refusedFree int            // refused early while an instance was free
}

const (
	surgeDeadline = 300 // milliseconds
	surgeService  = 10
)

func newSurge(reports bool, link int, seed uint64) *surge {
	s := &surge{
		reports: reports, link: link, random: rand.New(rand.NewPCG(seed, 0)), balancer: placement.NewReadBalancer(seed), events: map[int][]func(int){},
		answered: map[string]int{}, early: map[string]int{}, late: map[string]int{}, running: make([]int, 3),
	}
	for range 3 {
		s.queues = append(s.queues, admission.NewWith(admission.Settings{Slots: 4, Fixed: true}))
	}
	for range 6 {
		var stats []*placement.InstanceStats
		for range s.queues {
			stats = append(stats, placement.NewInstanceStats(20*time.Millisecond))
		}
		s.vms = append(s.vms, stats)
	}
	return s
}

func (s *surge) at(when int, f func(now int)) { s.events[when] = append(s.events[when], f) }

// arrive handles a statement of a caller at an entry VM.
func (s *surge) arrive(now int, account string) {
	stats := s.vms[s.random.IntN(len(s.vms))]
	var waits []*placement.Waits
	candidates := make([]placement.Candidate, len(stats))
	for i, one := range stats {
		waits = append(waits, &one.Waits)
		candidates[i] = placement.Candidate{Server: placement.ServerID(fmt.Sprint(i)), Latency: one.Latency(after(now)), Waiting: one.Waiting(after(now)), Slots: 4}
		one.Expect(after(now), account, 0, &candidates[i])
	}
	if wait, _, ok := placement.Shortest(after(now), waits, account, 0); ok && wait > surgeDeadline*time.Millisecond {
		s.early[account]++
		for _, q := range s.queues {
			if q.Running() < q.Allowed() && q.Waiting() == 0 {
				s.refusedFree++
			}
		}
		return
	}
	i := s.balancer.Choose(position.Position{}, candidates)
	stats[i].Sent(after(now))
	wait, known := stats[i].Waits.Expected(after(now), account, 0)
	c := &call{account: account, sent: now, server: i, stats: stats[i], wait: wait, known: known}
	s.at(now+s.link, func(now int) { s.push(now, c) })
}

// call is a forwarded statement.
type call struct {
	account      string
	sent, server int
	stats        *placement.InstanceStats
	wait         time.Duration
	known        bool
}

// push queues a statement at the owner.
func (s *surge) push(now int, c *call) {
	q := s.queues[c.server]
	_, result := q.Push(after(now), admission.Ticket{Account: admission.AccountID(c.account), Read: true, Deadline: after(c.sent + surgeDeadline), Tag: c})
	if result != admission.Waiting {
		s.reply(now, c, false)
	}
	s.dispatch(now, c.server)
}

// dispatch starts the statements that the queue admits.
func (s *surge) dispatch(now, server int) {
	q := s.queues[server]
	for {
		t, result := q.Pop(after(now))
		switch result {
		case admission.None:
			return
		case admission.Admitted:
			s.at(now+surgeService, func(now int) {
				q.Done(after(now), t, surgeService*time.Millisecond, false)
				s.reply(now, t.Tag.(*call), true)
				s.dispatch(now, server)
			})
		default:
			s.reply(now, t.Tag.(*call), false)
		}
	}
}

// reply sends the outcome and the load of the instance to the entry VM.
func (s *surge) reply(now int, c *call, ran bool) {
	q := s.queues[c.server]
	queued := q.Running() + q.Waiting()
	var waits []time.Duration
	if s.reports {
		waits = q.Waits(after(now), admission.AccountID(c.account))
	}
	s.at(now+s.link, func(now int) {
		c.stats.Queued(after(now), queued)
		c.stats.Waits.Observe(after(now), c.account, waits)
		if !ran {
			s.late[c.account]++
			c.stats.Refused(after(now))
			return
		}
		c.stats.Answered(after(now), after(c.sent), position.Position{}, true)
		if elapsed := time.Duration(now-c.sent) * time.Millisecond; c.known {
			c.stats.Served(max(elapsed-c.wait, 0))
		}
		if now-c.sent <= surgeDeadline {
			s.answered[c.account]++
		}
	})
}

// run simulates four seconds: a surge from the first to the third, and the light accounts throughout.
func (s *surge) run() {
	for now := range 4000 {
		for _, f := range s.events[now] {
			f(now)
		}
		delete(s.events, now)
		if now >= 1000 && now < 3000 {
			for range 4 {
				s.arrive(now, "surging")
			}
		}
		if now%10 == 0 {
			s.arrive(now, fmt.Sprint("light-", now/10%20))
		}
	}
}

func (s *surge) light(of map[string]int) (sum int) {
	for i := range 20 {
		sum += of[fmt.Sprint("light-", i)]
	}
	return sum
}

// worthNoise is the difference in worth that the users of the product take for noise.
const worthNoise = 0.03

// TestReportsUnderSurge guards against statements that travel to an owner only to be refused there, and against reports that
// refuse what could run: statements of other accounts, or any while an instance is free.
func TestReportsUnderSurge(t *testing.T) {
	const seeds = 4
	for _, link := range []int{1, 3, 6, 10} {
		var inTime, lightInTime, late [2]int // without reports and with them
		early := 0
		for seed := range uint64(seeds) {
			for i, reports := range []bool{false, true} {
				s := newSurge(reports, link, seed)
				s.run()
				require.Zero(t, s.refusedFree)
				require.Zero(t, s.light(s.early))
				inTime[i] += s.answered["surging"]
				lightInTime[i] += s.light(s.answered)
				late[i] += s.late["surging"]
				early += s.early["surging"]
			}
		}
		t.Logf("link %d ms: answered in time %d -> %d of 8000, light %d -> %d of 400; refused at the owner %d -> %d, before it %d", link,
			inTime[0]/seeds, inTime[1]/seeds, lightInTime[0]/seeds, lightInTime[1]/seeds, late[0]/seeds, late[1]/seeds, early/seeds)
		require.GreaterOrEqual(t, lightInTime[1], lightInTime[0])
		require.Greater(t, float64(inTime[1]), (1-worthNoise)*float64(inTime[0]))
		require.Less(t, float64(late[1]), 0.4*float64(late[0]))
	}
}

// TestLoadReturnsAfterSurge guards against statements that are refused by reports from a surge that has ended.
func TestLoadReturnsAfterSurge(t *testing.T) {
	s := newSurge(true, 6, 1)
	s.run()
	before := s.early["surging"]
	require.Positive(t, before)
	for now := 4000; now < 4100; now++ {
		s.arrive(now, "surging")
	}
	require.Equal(t, before, s.early["surging"])
}
