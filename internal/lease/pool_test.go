package lease_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/lease"
)

// poolZones is the number of availability zones, and thereby of pools.
const poolZones = 3

// share returns the share of the entry VM with an index.
func (s *cluster) share(index int) lease.DisconnectedShare {
	return lease.NewDisconnectedShare("a", accountRate, index, len(s.entries))
}

// handOver gives what an entry VM has accrued to the keeper of its zone, which is the first VM there.
func (s *cluster) handOver(now time.Time, index int) {
	keeper := index % poolZones
	if index == keeper {
		return
	}
	amount := s.entries[index].holder.HandOver(now, "a", s.share(index))
	s.entries[keeper].holder.Pool(now, "a", s.share(keeper), accountRate/poolZones, amount)
}

// takePooled admits a statement at its entry VM or at the keeper of the zone.
func (s *cluster) takePooled(now time.Time, index int) bool {
	for _, i := range []int{index, index % poolZones} {
		e := s.entries[i]
		if e.holder.TakeHeld(now, "a", 1) || e.holder.TakeDisconnected(now, "a", s.share(i), 1) {
			s.spent = append(s.spent, now)
			return true
		}
	}
	return false
}

// outage plays operations at random entry VMs, at a part of the rate, while no issuer answers. Each is tried for 250 ms. It
// returns how many were asked and admitted after the first second.
func (s *cluster) outage(now time.Time, period time.Duration, part float64, pooling bool) (asked, admitted int) {
	random := rand.New(rand.NewPCG(*seed, 3))
	waiting := map[int]time.Time{}
	steady := now.Add(2 * time.Second)
	for end := now.Add(period); now.Before(end); now = now.Add(timeStep) {
		for i := range s.entries {
			if pooling && (now.UnixMilli()/timeStep.Milliseconds()+int64(i))%50 == 0 {
				s.handOver(now, i)
			}
		}
		if random.Float64() < part*accountRate*timeStep.Seconds() {
			waiting[random.IntN(len(s.entries))] = now
			if now.After(steady) {
				asked++
			}
		}
		for i, since := range waiting {
			taken := s.takePooled(now, i)
			if taken && since.After(steady) {
				admitted++
			}
			if taken || now.Sub(since) > 250*time.Millisecond {
				delete(waiting, i)
			}
		}
	}
	return asked, admitted
}

// newOutage returns a cluster whose issuer has just become silent.
func newOutage(entries int) (s *cluster, now time.Time) {
	s, now = newCluster(entries), epoch
	s.newLeader(now)
	for _, e := range s.entries {
		s.renew(now, e)
	}
	s.hasLeader = false
	return s, now
}

// TestPooledSharesServeUnevenCallers guards against operations within the rate that are refused because the credits accrue at
// other entry VMs, while no issuer answers.
func TestPooledSharesServeUnevenCallers(t *testing.T) {
	for _, entries := range []int{12, 89, 300} {
		s, now := newOutage(entries)
		asked, alone := s.outage(now, 9*time.Second, 0.7, false)
		s, now = newOutage(entries)
		_, pooled := s.outage(now, 9*time.Second, 0.7, true)
		t.Logf("%d entry VMs: %d operations, admitted alone %d, pooled %d", entries, asked, alone, pooled)
		require.GreaterOrEqual(t, pooled, asked*95/100, "%d entry VMs, of %d operations; alone %d", entries, asked, alone)
	}
}

// TestPoolsStayWithinTheTolerance guards against credits that a quiet account leaves in many places and spends at once in a
// surge, which would exceed its rate and burst.
func TestPoolsStayWithinTheTolerance(t *testing.T) {
	limit := int((accountRate*tolerance.Window.Seconds()+accountBurst)*(1+tolerance.Overrun) + tolerance.Slack)
	for _, quiet := range []time.Duration{0, 2 * time.Second, 6 * time.Second} {
		s, now := newOutage(89)
		s.outage(now, quiet, 0, true)
		now = now.Add(quiet)
		for end := now.Add(tolerance.Window); now.Before(end); now = now.Add(timeStep) {
			for i := range s.entries {
				if (now.UnixMilli()/timeStep.Milliseconds()+int64(i))%50 == 0 {
					s.handOver(now, i)
				}
				s.takePooled(now, i)
			}
		}
		t.Logf("quiet for %v: %d of %d", quiet, s.maxInWindow(), limit)
		require.LessOrEqual(t, s.maxInWindow(), limit, "after %v without operations", quiet)
	}
}

// TestPoolEndsWithTheOutage guards against credits that are spent from a pool although an issuer grants the same rate again.
func TestPoolEndsWithTheOutage(t *testing.T) {
	s, now := newOutage(12)
	for i := range 300 {
		now = now.Add(timeStep)
		s.handOver(now, i%len(s.entries))
	}
	keeper := s.entries[0]
	require.True(t, keeper.holder.TakeDisconnected(now, "a", s.share(0), 1))
	s.newLeader(now)
	s.renew(now, keeper)
	require.False(t, keeper.holder.TakeDisconnected(now, "a", s.share(0), 1))
	require.False(t, keeper.holder.Pool(now, "a", s.share(0), accountRate, 1), "an issuer answers")
}
