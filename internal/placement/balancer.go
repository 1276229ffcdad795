package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

const (
	// primaryPenalty keeps reads off a primary while a replica answers about as fast: writes have no
	// other place to run. It is about one statement of either user.
	primaryPenalty = 20 * time.Millisecond
	// lagPenalty is the cost of asking a replica that is known to lack the position: a refusal and a
	// second way.
	lagPenalty = 25 * time.Millisecond
	// failurePenalty keeps reads off an instance that does not answer while another one does.
	failurePenalty = 2 * time.Second
	// serviceTime is about the work of one statement, by which the statements ahead are counted.
	serviceTime = 15 * time.Millisecond
	// tieMargin is the difference of costs below which instances take turns.
	tieMargin = time.Millisecond
)

// Candidate is what an entry VM knows of an instance that may serve a read.
type Candidate struct {
	Server  ServerID
	Primary bool
	// Distance is the way there and back.
	Distance time.Duration
	// Latency is the recent time from sending a statement to its answer.
	Latency time.Duration
	// Slots is how many statements the instance runs at once.
	Slots int
	// Waiting counts the statements that run or wait at the instance, as far as this entry VM knows.
	Waiting int
	// LastPosition is the position that the instance reported last, Ago before now; zero if it never did.
	LastPosition position.Position
	PositionAge  time.Duration
	// Failing says that the instance did not answer last.
	Failing bool
	// Tried says that this read was refused there already.
	Tried bool
}

// ReadBalancer chooses an instance for each read. It answers two loads: one hot primary, whose slots the
// writes need, and one replica that lags or does not answer, where waiting costs more than another way.
// It is not safe for concurrent use.
type ReadBalancer struct {
	random *rand.Rand
}

// NewReadBalancer returns a Reader. The seed decides ties.
func NewReadBalancer(seed uint64) *ReadBalancer {
	return &ReadBalancer{random: rand.New(rand.NewPCG(seed, 0))}
}

// Choose returns the index of the candidate to ask for a read that must see a position, or -1 if
// all were tried.
func (r *ReadBalancer) Choose(floor position.Position, candidates []Candidate) int {
	best, least := -1, time.Duration(math.MaxInt64)
	ties := 0
	for i := range candidates {
		c := &candidates[i]
		if c.Tried {
			continue
		}
		cost := Cost(floor, c)
		switch {
		case cost < least-tieMargin:
			best, least, ties = i, cost, 1
		case cost <= least+tieMargin:
			ties++
			if r.random.IntN(ties) == 0 {
				best, least = i, min(cost, least)
			}
		}
	}
	return best
}

// Cost is the expected time to the answer, with charges for what is likely to fail.
func Cost(floor position.Position, c *Candidate) time.Duration {
	cost := c.Distance + max(c.Latency-c.Distance, 0)
	slots := max(c.Slots, 1)
	ahead := max(c.Waiting+1-slots, 0)
	cost += time.Duration(ahead) * serviceTime / time.Duration(slots)
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

// lags reports whether the replica is likely to lack the position still: it lacked it a short while ago.
func lags(floor position.Position, c *Candidate) bool {
	const recent = 30 * time.Millisecond
	return !floor.IsZero() && c.LastPosition.Less(floor) && c.PositionAge < recent
}
