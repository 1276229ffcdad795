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
	aloneRate  = 26.0
	aloneBurst = 26.0
	aloneStep  = 10 * time.Millisecond
)

var tolerance = lease.Tolerance{Window: 5 * time.Second, Overrun: 0.1, Slack: 20, MaxDisconnected: 12 * time.Second}

// site is an issuer and entry VMs of which some do not reach it.
type site struct {
	issuer  *lease.Issuer
	entries []*loner
	led     bool
	drained map[string]bool // what the log says
	spent   []time.Time     // of all entry VMs, ascending
}

// loner is an entry VM.
type loner struct {
	holder   *lease.Holder
	id       string
	sequence uint64
	cut      bool
	next     time.Time
}

func (s *site) registrations() []*wire.Registration {
	var out []*wire.Registration
	for _, e := range s.entries {
		out = append(out, &wire.Registration{Entry: e.id})
	}
	return out
}

func (s *site) configuration() *wire.Configuration {
	return &wire.Configuration{Accounts: []*wire.Account{{Name: "a", Rate: aloneRate, Burst: aloneBurst}}}
}

// elect makes a new issuer.
func (s *site) elect(now time.Time) {
	s.issuer = lease.NewIssuer(now, s.configuration(), s.registrations())
	s.issuer.SetTolerance(tolerance)
	s.issuer.Configure(now, s.configuration(), nil)
	s.issuer.Resume(slices.Sorted(maps.Keys(s.drained)))
	s.led = true
}

// renew lets an entry VM ask the issuer, if it reaches one.
func (s *site) renew(now time.Time, e *loner) {
	if e.cut || !s.led || now.Before(e.next) {
		return
	}
	e.next = now.Add(40 * time.Millisecond)
	e.sequence++
	r := &wire.RenewRequest{Registration: &wire.Registration{Entry: e.id}, Sequence: e.sequence, Demands: e.holder.Demands(now)}
	reply := &wire.RenewReply{Leader: true, Sequence: e.sequence, Expiry: lease.Duration.Milliseconds()}
	reply.Credits, reply.Budgets = s.issuer.Renew(now, r)
	e.holder.Grant(now, now, reply)
}

// drains takes the changes of reserves into the log.
func (s *site) drains(now time.Time) {
	for _, d := range s.issuer.PendingDrains(now) {
		delete(s.drained, d.GetAccount())
		if d.GetDrained() {
			s.drained[d.GetAccount()] = true
		}
		s.issuer.CompleteDrain(d.GetAccount(), d.GetDrained(), true)
	}
}

// take lets an entry VM admit a statement as it does for callers.
func (s *site) take(now time.Time, e *loner) {
	part := aloneRate / float64(len(s.entries))
	if e.holder.Take(now, "a", 1).Verdict == lease.Admitted || e.holder.TakeDisconnected(now, "a", part, 1) {
		s.spent = append(s.spent, now)
	}
}

// most returns the most statements in any window of the tolerance.
func (s *site) most() int {
	most, from := 0, 0
	for to := range s.spent {
		for s.spent[to].Sub(s.spent[from]) > tolerance.Window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// TestToleratedBound guards against a client account that gets more than its rate and burst and the
// tolerated excess when entry VMs go on alone: a hot account asks everywhere while entry VMs are cut
// off and join again and issuers end and follow each other.
func TestToleratedBound(t *testing.T) {
	limit := int((aloneRate*tolerance.Window.Seconds()+aloneBurst)*(1+tolerance.Overrun) + tolerance.Slack)
	for run := range 40 {
		t.Run(fmt.Sprint(run), func(t *testing.T) {
			random := rand.New(rand.NewPCG(*seed, uint64(run)))
			s := &site{drained: map[string]bool{}}
			for i := range 11 {
				s.entries = append(s.entries, &loner{holder: lease.NewHolder(), id: fmt.Sprint("e", i)})
			}
			now := epoch
			s.elect(now)
			for range 4000 {
				now = now.Add(aloneStep)
				for _, e := range s.entries {
					s.renew(now, e)
					if random.IntN(2) == 0 {
						s.take(now, e)
					}
					if random.IntN(300) == 0 {
						e.cut = !e.cut
					}
				}
				switch {
				case random.IntN(300) == 0:
					s.led = false
				case !s.led && random.IntN(150) == 0:
					s.elect(now)
				}
				if s.led {
					s.issuer.Expire(now)
					s.drains(now)
				}
			}
			require.LessOrEqual(t, s.most(), limit, "statements of one account in a window")
		})
	}
}

// TestAloneAdmits guards against an entry VM that refuses everything while no issuer answers.
func TestAloneAdmits(t *testing.T) {
	s := &site{}
	for i := range 2 {
		s.entries = append(s.entries, &loner{holder: lease.NewHolder(), id: fmt.Sprint("e", i)})
	}
	now := epoch
	s.elect(now)
	for _, e := range s.entries {
		s.renew(now, e)
	}
	s.led = false
	for range 500 {
		now = now.Add(aloneStep)
		for _, e := range s.entries {
			s.take(now, e)
		}
	}
	require.GreaterOrEqual(t, len(s.spent), int(aloneRate*3), "statements in 5 s without an issuer")
}
