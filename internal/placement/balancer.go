package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

const (
	// primaryPenalty keeps reads off a primary while a replica answers about as fast, since writes can run
	// only there. It is about the time of one statement of either user.
	primaryPenalty = 20 * time.Millisecond
	// lagPenalty is the cost of trying a replica that lacks the position: a refusal and a second round trip.
	lagPenalty = 25 * time.Millisecond
	// failurePenalty keeps reads off an instance that does not answer while another one does.
	failurePenalty = 2 * time.Second
	// serviceTime is the approximate time of one statement, used to estimate the wait behind others.
	serviceTime = 15 * time.Millisecond
	// tieMargin is the difference in cost below which instances are chosen at random.
	tieMargin = time.Millisecond
	// waitMargin is the share of an expected wait below which instances are chosen at random. All entry VMs get similar
	// reports and would otherwise all use one instance until the next ones arrive: without the margin, 1.6 times as
	// many statements are refused there in TestReportsUnderSurge with links of 6 ms.
	waitMargin = 0.5
)

// Candidate is the state of an instance that may serve a read, as known to an entry VM.
type Candidate struct {
	Server  ServerID
	Primary bool
	// RoundTrip is the network round-trip time to the instance.
	RoundTrip time.Duration
	// Latency is the recent time from sending a statement to its answer.
	Latency time.Duration
	// Slots is the number of statements that the instance runs concurrently.
	Slots int
	// Waiting is the number of statements that run or wait at the instance, as far as this entry VM knows.
	Waiting int
	// Wait is the expected wait for a slot and Service the time to the answer after it, if WaitKnown is set. They then
	// replace Latency and Waiting.
	Wait, Service time.Duration
	WaitKnown     bool
	// LastPosition is the position that the instance reported last, PositionAge ago; zero if it never did.
	LastPosition position.Position
	PositionAge  time.Duration
	// Failing reports that the instance did not answer the latest statement.
	Failing bool
	// Tried reports that the instance has refused this read.
	Tried bool
}

// ReadBalancer selects an instance for each read. It covers two cases: a hot primary, whose slots the writes
// need, and a replica that lags or does not answer, where waiting costs more than another round trip. It is
// not safe for concurrent use.
type ReadBalancer struct {
	random *rand.Rand
}

// NewReadBalancer returns a ReadBalancer. The seed determines how ties are resolved.
func NewReadBalancer(seed uint64) *ReadBalancer {
	return &ReadBalancer{random: rand.New(rand.NewPCG(seed, 0))}
}

// Choose returns the index of the candidate to try for a read that must reach a position, or -1 if all were
// tried.
func (b *ReadBalancer) Choose(floor position.Position, candidates []Candidate) int {
	best, least := -1, time.Duration(math.MaxInt64)
	ties := 0
	for i := range candidates {
		c := &candidates[i]
		if c.Tried {
			continue
		}
		cost, margin := Cost(floor, c), c.margin()
		switch {
		case cost < least-margin:
			best, least, ties = i, cost, 1
		case cost <= least+margin:
			ties++
			if b.random.IntN(ties) == 0 {
				best, least = i, min(cost, least)
			}
		}
	}
	return best
}

// margin returns the difference in cost below which another instance counts as equal.
func (c *Candidate) margin() time.Duration {
	if !c.WaitKnown {
		return tieMargin
	}
	return max(tieMargin, time.Duration(waitMargin*float64(c.Wait)))
}

// Cost returns the expected time to the answer, with penalties for likely failures.
func Cost(floor position.Position, c *Candidate) time.Duration {
	cost := max(c.Service, c.RoundTrip) + c.Wait
	if !c.WaitKnown {
		cost = max(c.Latency, c.RoundTrip)
		slots := max(c.Slots, 1)
		ahead := max(c.Waiting+1-slots, 0)
		cost += time.Duration(ahead) * serviceTime / time.Duration(slots)
	}
	if c.Failing {
		cost += failurePenalty
	}
	switch {
	case c.Primary:
		cost += primaryPenalty
	case lags(floor, c):
		cost += lagPenalty
	}
	return cost
}

// lags reports whether the replica is likely to lack the position, because it lacked it a short time ago.
func lags(floor position.Position, c *Candidate) bool {
	const recent = 30 * time.Millisecond
	return !floor.IsZero() && c.LastPosition.Less(floor) && c.PositionAge < recent
}
