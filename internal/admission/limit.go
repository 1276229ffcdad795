package admission

import "time"

const (
	// congestionRatio is the ratio of the present latency to the baseline above which the server is taken
	// to be shared by too many statements: one waits there for each that runs.
	congestionRatio = 2.0
	// decreaseFactor is the factor at congestion; increase is added over one round of statements in flight.
	decreaseFactor = 0.7
	increaseStep   = 0.5
	// latencyWeight follows the last 32 statements; with exponential service times the average then
	// strays 18% from the mean, against the 100% that count as congestion.
	latencyWeight = 1.0 / 16
	// batchSize statements make one mean for the baseline. The least single time is no baseline, since
	// statements differ and short ones would make every other look congested.
	batchSize = 64
	// baselineWindow is how long a baseline is remembered at most twice over. It is long against a
	// burst, in which every batch is congested.
	baselineWindow = time.Minute
)

// limit is the number of statements in flight, by additive increase and multiplicative decrease.
type limit struct {
	slots   float64
	current float64
	fixed   bool
	latency float64   // seconds, EWMA
	lowered time.Time // of the last decrease

	sum         float64 // of the present batch, seconds
	count       int
	minMean     float64 // least mean of a batch in the present window; 0 before the first
	previousMin float64 // in the window before
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

// update adapts the limit. Busy says that more statements could have used it.
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
		// One decrease per latency, so that the statements of one round count once.
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

// baseline returns the latency without congestion, or 0 when it is not known.
func (l *limit) baseline() float64 {
	if l.previousMin == 0 {
		return l.minMean
	}
	return min(l.minMean, l.previousMin)
}
