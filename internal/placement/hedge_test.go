package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/placement"
)

// hedgedReads plays reads that take 5 to 45 ms, of which a share gets no answer, or all of which take a multiple of that. It
// returns how many were answered within a limit and how many were sent twice.
func hedgedReads(h *placement.Hedge, reads int, lost float64, slowdown time.Duration, limit time.Duration) (inTime, hedged int) {
	random := rand.New(rand.NewPCG(1, 1))
	attempt := func() time.Duration {
		if random.Float64() < lost {
			return time.Hour
		}
		return slowdown * time.Duration(5+random.IntN(40)) * time.Millisecond
	}
	for range reads {
		took := attempt()
		if delay, ok := h.Delay(); ok && took > delay && h.Spend() {
			hedged++
			took = min(took, delay+attempt())
		}
		if took <= limit {
			inTime++
		}
		if took < time.Hour {
			h.Answered(took)
		}
	}
	return inTime, hedged
}

// TestHedgesReplaceLostAnswers guards against reads that wait until their deadline for an answer that was lost.
func TestHedgesReplaceLostAnswers(t *testing.T) {
	const reads, limit = 2000, 250 * time.Millisecond
	h := &placement.Hedge{}
	hedgedReads(h, 100, 0, 1, limit)
	inTime, hedged := hedgedReads(h, reads, 0.03, 1, limit)
	t.Logf("of %d reads %d in time, %d sent twice", reads, inTime, hedged)
	require.Greater(t, inTime, reads*99/100)
	require.Less(t, hedged, reads*5/100)
}

// TestSlowInstancesAreNotHedged guards against twice the load on instances that have all become slow.
func TestSlowInstancesAreNotHedged(t *testing.T) {
	const reads = 2000
	h := &placement.Hedge{}
	hedgedReads(h, 100, 0, 1, time.Second)
	_, hedged := hedgedReads(h, reads, 0, 8, time.Second)
	require.Less(t, hedged, reads/100, "of %d reads that all take eight times as long", reads)
}

// TestHedgesAreBounded guards against twice the load while nothing answers.
func TestHedgesAreBounded(t *testing.T) {
	h := &placement.Hedge{}
	hedgedReads(h, 100, 0, 1, time.Second)
	_, hedged := hedgedReads(h, 1000, 1, 1, time.Second)
	require.LessOrEqual(t, hedged, 3)
}
