package admission

import "time"

const (
	// congestionRatio is the ratio of current latency to baseline above which the server counts as
	// overloaded: one statement then waits there for each that runs.
	congestionRatio = 2.0
	// decreaseFactor applies at congestion; increaseStep is added over one round of statements in flight.
	decreaseFactor = 0.7
	increaseStep   = 0.5
	// latencyWeight averages over about the last 32 statements. With exponential service times the average
	// then deviates 18% from the mean, against the 100% that count as congestion.
	latencyWeight = 1.0 / 16
	// batchSize is the number of statements whose mean is one sample of the baseline. The lowest single
	// latency is not usable, since statements differ and short ones would make all others look congested.
	batchSize = 64
	// baselineWindow is the window of the baseline, which is remembered for one to two windows. It is long
	// compared to a burst, in which every batch is congested.
	baselineWindow = time.Minute
)

// limit is a concurrency limit that follows latency by additive increase and multiplicative decrease.
type limit struct {
	slots   float64
	current float64
	fixed   bool
	lowered time.Time // time of the last decrease
}

// latency compares the latency of the statements of one class with its baseline. Each class has its own: a change of
// the mix of classes is no congestion.
type latency struct {
	current float64 // in seconds, exponentially weighted average

	sum         float64 // of the current batch, in seconds
	count       int
	minMean     float64 // lowest batch mean of the current window; 0 before the first
	previousMin float64 // lowest batch mean of the previous window
	windowStart time.Time
}

func newLimit(slots int, fixed bool) limit {
	slots = max(slots, 1)
	return limit{slots: float64(slots), current: float64(slots), fixed: fixed}
}

// allowed returns the number of statements that may be in flight.
func (l *limit) allowed() int {
	return int(l.current)
}

// update adapts the limit to a finished statement of a class. busy reports whether more statements could have used
// the limit.
func (l *limit) update(now time.Time, y *latency, elapsed float64, failed, busy bool) {
	if l.fixed {
		return
	}
	if y.congested(now, elapsed, failed) || failed {
		// Decrease at most once per latency, so that the statements of one round count once.
		if now.Sub(l.lowered).Seconds() >= y.current {
			l.current = max(l.current*decreaseFactor, 1)
			l.lowered = now
		}
		return
	}
	if busy {
		l.current = min(l.current+increaseStep/l.current, l.slots)
	}
}

// congested adds the latency of a statement and reports whether the average shows congestion.
func (y *latency) congested(now time.Time, elapsed float64, failed bool) bool {
	if y.current == 0 {
		y.current = elapsed
	}
	y.current += latencyWeight * (elapsed - y.current)
	if !failed {
		y.updateBaseline(now, elapsed)
	}
	baseline := y.baseline()
	return baseline > 0 && y.current > congestionRatio*baseline
}

func (y *latency) updateBaseline(now time.Time, elapsed float64) {
	y.sum += elapsed
	y.count++
	if y.count < batchSize {
		return
	}
	mean := y.sum / batchSize
	y.sum, y.count = 0, 0
	switch {
	case y.minMean == 0 || now.Sub(y.windowStart) >= baselineWindow:
		y.previousMin = y.minMean
		y.minMean = mean
		y.windowStart = now
	default:
		y.minMean = min(y.minMean, mean)
	}
}

// baseline returns the latency without congestion, or 0 if it is not known.
func (y *latency) baseline() float64 {
	if y.previousMin == 0 {
		return y.minMean
	}
	return min(y.minMean, y.previousMin)
}
