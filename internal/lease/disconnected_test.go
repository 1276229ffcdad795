package lease_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

const (
	accountRate  = 26.0
	accountBurst = 26.0
	timeStep     = 10 * time.Millisecond
)

var tolerance = lease.Tolerance{Window: 5 * time.Second, Overrun: 0.1, Slack: 20, MaxDisconnected: 12 * time.Second}

// cluster is an issuer and entry VMs, some of which are partitioned from it.
type cluster struct {
	issuer    *lease.Issuer
	entries   []*entryVM
	hasLeader bool
	drained   map[string]bool // accounts recorded as drained in the control log
	spent     []time.Time     // of all entry VMs, ascending
}

type entryVM struct {
	holder      *lease.Holder
	id          string
	sequence    uint64
	partitioned bool
	next        time.Time
}

// newCluster returns a cluster without an issuer.
func newCluster(entries int) *cluster {
	s := &cluster{drained: map[string]bool{}}
	for i := range entries {
		s.entries = append(s.entries, &entryVM{holder: lease.NewHolder(), id: fmt.Sprint("e", i)})
	}
	return s
}

func (s *cluster) registrations() []*wire.Registration {
	var out []*wire.Registration
	for _, e := range s.entries {
		out = append(out, &wire.Registration{Entry: e.id})
	}
	return out
}

func (s *cluster) configuration() *wire.Configuration {
	return &wire.Configuration{Accounts: []*wire.Account{{Name: "a", Rate: accountRate, Burst: accountBurst}}}
}

// newLeader creates a new issuer.
func (s *cluster) newLeader(now time.Time) {
	s.issuer = lease.NewIssuer(now, s.configuration(), s.registrations())
	s.issuer.SetTolerance(tolerance)
	s.issuer.Configure(now, s.configuration(), nil)
	s.issuer.SetDrained(slices.Sorted(maps.Keys(s.drained)))
	s.hasLeader = true
}

// renew exchanges a request and reply with the issuer, unless the entry VM is partitioned.
func (s *cluster) renew(now time.Time, e *entryVM) {
	if e.partitioned || !s.hasLeader || now.Before(e.next) {
		return
	}
	e.next = now.Add(40 * time.Millisecond)
	e.sequence++
	r := &wire.RenewRequest{Registration: &wire.Registration{Entry: e.id}, Sequence: e.sequence, Demands: e.holder.Demands(now)}
	reply := &wire.RenewReply{Leader: true, Sequence: e.sequence, Expiry: lease.Duration.Milliseconds()}
	reply.Credits, reply.Budgets = s.issuer.Renew(now, r)
	e.holder.Grant(now, now, reply)
}

// logDrains commits the proposed drain changes to the control log.
func (s *cluster) logDrains(now time.Time) {
	for _, d := range s.issuer.PendingDrains(now) {
		delete(s.drained, d.GetAccount())
		if d.GetDrained() {
			s.drained[d.GetAccount()] = true
		}
		s.issuer.CompleteDrain(d.GetAccount(), d.GetDrained(), true)
	}
}

// take admits a statement the way an entry VM does for its callers.
func (s *cluster) take(now time.Time, e *entryVM) {
	part := lease.NewDisconnectedShare("a", accountRate, slices.Index(s.entries, e), len(s.entries))
	if e.holder.Take(now, "a", 1).Verdict == lease.Admitted || e.holder.TakeDisconnected(now, "a", part, 1) {
		s.spent = append(s.spent, now)
	}
}

// maxInWindow returns the largest number of statements in any window of the tolerance.
func (s *cluster) maxInWindow() int {
	most, from := 0, 0
	for to := range s.spent {
		for s.spent[to].Sub(s.spent[from]) > tolerance.Window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// TestToleratedBound guards against a client account that exceeds its rate, burst and tolerated excess while
// entry VMs are disconnected. An overloaded account sends statements to every entry VM, entry VMs are
// partitioned and reconnected, and issuers replace each other. In every other run they hand their shares over.
func TestToleratedBound(t *testing.T) {
	limit := int((accountRate*tolerance.Window.Seconds()+accountBurst)*(1+tolerance.Overrun) + tolerance.Slack)
	for run := range 50 {
		t.Run(fmt.Sprint(run), func(t *testing.T) {
			random := rand.New(rand.NewPCG(*seed, uint64(run)))
			entries := 11
			if run >= 40 {
				entries = 88
			}
			s := newCluster(entries)
			now := epoch
			s.newLeader(now)
			for range 4000 {
				now = now.Add(timeStep)
				for _, e := range s.entries {
					s.renew(now, e)
					if random.IntN(2) == 0 {
						s.take(now, e)
					}
					if run%2 == 1 && random.IntN(50) == 0 {
						s.handOver(now, slices.Index(s.entries, e))
					}
					if random.IntN(300) == 0 {
						e.partitioned = !e.partitioned
					}
				}
				switch {
				case random.IntN(300) == 0:
					s.hasLeader = false
				case !s.hasLeader && random.IntN(150) == 0:
					s.newLeader(now)
				}
				if s.hasLeader {
					s.issuer.Expire(now)
					s.logDrains(now)
				}
			}
			require.LessOrEqual(t, s.maxInWindow(), limit, "statements of one account in a window")
		})
	}
}

// TestDisconnectedAdmits guards against an entry VM that refuses everything while no issuer answers.
func TestDisconnectedAdmits(t *testing.T) {
	s := newCluster(2)
	now := epoch
	s.newLeader(now)
	for _, e := range s.entries {
		s.renew(now, e)
	}
	s.hasLeader = false
	for range 500 {
		now = now.Add(timeStep)
		for _, e := range s.entries {
			s.take(now, e)
		}
	}
	require.GreaterOrEqual(t, len(s.spent), int(accountRate*3), "statements in 5 s without an issuer")
}

// TestDisconnectedSharesAddUpToTheRate guards against entry VMs that refuse everything for the seconds that each of
// many needs to earn one whole credit.
func TestDisconnectedSharesAddUpToTheRate(t *testing.T) {
	const outage = 2 * time.Second
	for _, entries := range []int{11, 88} {
		s := newCluster(entries)
		now := epoch
		s.newLeader(now)
		for _, e := range s.entries {
			s.renew(now, e)
		}
		s.hasLeader = false
		for !s.entries[0].holder.Disconnected(now) {
			now = now.Add(timeStep)
		}
		s.spent = nil
		for end := now.Add(outage); now.Before(end); now = now.Add(timeStep) {
			for _, e := range s.entries {
				s.take(now, e)
			}
		}
		require.InDelta(t, accountRate*outage.Seconds(), len(s.spent), 2, "%d entry VMs", entries)
	}
}

// TestNewIssuerServesManyEntryVMs guards against a new issuer that grants nothing while a few of many entry VMs have
// not reported to it.
func TestNewIssuerServesManyEntryVMs(t *testing.T) {
	random := rand.New(rand.NewPCG(*seed, 0))
	s := newCluster(88)
	now := epoch
	asked, admitted := 0, 0
	serve := func(period time.Duration) {
		waiting := map[*entryVM]time.Time{}
		take := func(e *entryVM) {
			if e.holder.Take(now, "a", 1).Verdict == lease.Admitted {
				admitted++
				delete(waiting, e)
			}
		}
		for end := now.Add(period); now.Before(end); now = now.Add(timeStep) {
			if random.Float64() < 0.6*accountRate*timeStep.Seconds() {
				asked++
				e := s.entries[10+random.IntN(78)]
				waiting[e] = now.Add(250 * time.Millisecond)
				take(e)
			}
			for _, e := range s.entries {
				due := !now.Before(e.next)
				s.renew(now, e)
				if until, ok := waiting[e]; ok && now.After(until) {
					delete(waiting, e)
				} else if ok && due {
					take(e)
				}
			}
			s.logDrains(now)
		}
	}
	s.newLeader(now)
	serve(10 * time.Second)
	for _, e := range s.entries[:10] {
		e.partitioned = true
	}
	s.newLeader(now)
	asked, admitted = 0, 0
	serve(1500 * time.Millisecond)
	require.GreaterOrEqual(t, admitted, asked*95/100, "of %d statements within the rate", asked)
}

// TestFloatsAddUpToTheExcess guards against many entry VMs that keep no credit at all and refuse everything as soon
// as the issuer does not answer.
func TestFloatsAddUpToTheExcess(t *testing.T) {
	excess := 0.6 * (tolerance.Overrun*(accountRate*tolerance.Window.Seconds()+accountBurst) + tolerance.Slack)
	for _, entries := range []int{11, 88} {
		s := newCluster(entries)
		now := epoch
		s.newLeader(now)
		for i := range 1500 {
			now = now.Add(timeStep)
			for k, e := range s.entries {
				if i%500 == 5*k {
					e.holder.Take(now, "a", 1)
				}
				s.renew(now, e)
			}
			s.logDrains(now)
		}
		held := 0.0
		for _, e := range s.entries {
			held += e.holder.Held(now, "a")
		}
		require.InDelta(t, excess, held, excess/2, "%d entry VMs", entries)
	}
}

// TestFloatsFollowTheUse guards against operations that wait for the issuer because most of the excess lies at entry VMs
// that do not serve the account. The sessions of a client account meet at a few VMs of a fleet of any size.
func TestFloatsFollowTheUse(t *testing.T) {
	const perVM = 1.5 // operations a second
	for _, entries := range []int{11, 88, 300, 794} {
		random := rand.New(rand.NewPCG(*seed, uint64(entries)))
		s := newCluster(entries)
		now := epoch
		s.newLeader(now)
		asked, admitted := 0, 0
		for i := range 3000 {
			now = now.Add(timeStep)
			for k, e := range s.entries {
				if i > 200 && k < 6 && random.Float64() < perVM*timeStep.Seconds() {
					asked++
					if e.holder.Take(now, "a", 1).Verdict == lease.Admitted {
						admitted++
					}
				}
				if e.holder.Urgent() || !now.Before(e.holder.Next()) {
					s.renew(now, e)
				}
			}
			s.logDrains(now)
		}
		require.GreaterOrEqual(t, admitted, asked*9/10, "%d entry VMs: of %d operations", entries, asked)
	}
}

// addAccount adds a client account to the configuration, once all entry VMs have reported.
func (s *cluster) addAccount(name string) {
	for _, e := range s.entries {
		s.renew(epoch, e)
	}
	c := s.configuration()
	c.Accounts = append(c.Accounts, &wire.Account{Name: name, Rate: accountRate, Burst: accountBurst})
	s.issuer.Configure(epoch, c, nil)
}

// TestAddedAccountStartsFull guards against the first operations of a new client account waiting until its bucket has
// earned more than the reserve.
func TestAddedAccountStartsFull(t *testing.T) {
	s := newCluster(3)
	s.newLeader(epoch)
	s.addAccount("b")
	e := s.entries[0]
	require.Equal(t, lease.Wait, e.holder.Take(epoch, "b", 1).Verdict)
	now := epoch.Add(50 * time.Millisecond)
	s.renew(now, e)
	require.Equal(t, lease.Admitted, e.holder.Take(now, "b", 1).Verdict)
}

// TestReturnedAccountStartsEmpty guards against a client account that spends its burst, leaves the configuration, and has a full
// bucket again when it comes back, since another control VM leads by then.
func TestReturnedAccountStartsEmpty(t *testing.T) {
	s := newCluster(3)
	s.newLeader(epoch)
	s.issuer.SetFormer([]string{"b"})
	s.addAccount("b")
	e := s.entries[0]
	admitted := 0
	now := epoch
	for ; now.Before(epoch.Add(time.Second)); now = now.Add(50 * time.Millisecond) {
		s.renew(now, e)
		for e.holder.Take(now, "b", 1).Verdict == lease.Admitted {
			admitted++
		}
	}
	require.Positive(t, admitted, "it earns its rate")
	require.LessOrEqual(t, float64(admitted), accountRate*now.Sub(epoch).Seconds()+1)
}
