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
	latency float64   // in seconds, exponentially weighted average
	lowered time.Time // time of the last decrease

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

// update adapts the limit to a finished statement. busy reports whether more statements could have used the
// limit.
func (l *limit) update(now time.Time, elapsed float64, failed, busy bool) {
	if l.fixed {
		return
	}
	if l.latency == 0 {
		l.latency = elapsed
	}
	l.latency += latencyWeight * (elapsed - l.latency)
	if !failed {
		l.updateBaseline(now, elapsed)
	}
	baseline := l.baseline()
	if failed || (baseline > 0 && l.latency > congestionRatio*baseline) {
		// Decrease at most once per latency, so that the statements of one round count once.
		if now.Sub(l.lowered).Seconds() >= l.latency {
			l.current = max(l.current*decreaseFactor, 1)
			l.lowered = now
		}
		return
	}
	if busy {
		l.current = min(l.current+increaseStep/l.current, l.slots)
	}
}

func (l *limit) updateBaseline(now time.Time, elapsed float64) {
	l.sum += elapsed
	l.count++
	if l.count < batchSize {
		return
	}
	mean := l.sum / batchSize
	l.sum, l.count = 0, 0
	switch {
	case l.minMean == 0 || now.Sub(l.windowStart) >= baselineWindow:
		l.previousMin = l.minMean
		l.minMean = mean
		l.windowStart = now
	default:
		l.minMean = min(l.minMean, mean)
	}
}

// baseline returns the latency without congestion, or 0 if it is not known.
func (l *limit) baseline() float64 {
	if l.previousMin == 0 {
		return l.minMean
	}
	return min(l.minMean, l.previousMin)
}
