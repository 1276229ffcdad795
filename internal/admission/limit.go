package admission

import "time"

const (
	// congested is the ratio of the present latency to the baseline above which the server is taken
	// to be shared by too many statements: one waits there for each that runs.
	congested = 2.0
	// decrease is the factor at congestion; increase is added over one round of statements in flight.
	decrease = 0.7
	increase = 0.5
	// latencyWeight follows the last 32 statements; with exponential service times the average then
	// strays 18% from the mean, against the 100% that count as congestion.
	latencyWeight = 1.0 / 16
	// batch statements make one mean for the baseline. The least single time is no baseline, since
	// statements differ and short ones would make every other look congested.
	batch = 64
	// baselineWindow is how long a baseline is remembered at most twice over. It is long against a
	// burst, in which every batch is congested.
	baselineWindow = time.Minute
)

// limit is the number of statements in flight, by additive increase and multiplicative decrease.
type limit struct {
	slots   float64
	now     float64
	fixed   bool
	latency float64   // seconds, EWMA
	lowered time.Time // of the last decrease

	sum    float64 // of the present batch, seconds
	count  int
	least  float64 // least mean of a batch in the present window; 0 before the first
	before float64 // in the window before
	window time.Time
}

func newLimit(slots int, fixed bool) limit {
	slots = max(slots, 1)
	return limit{slots: float64(slots), now: float64(slots), fixed: fixed}
}

// allowed returns the number of statements that may be in flight.
func (l *limit) allowed() int {
	return int(l.now)
}

// done adapts the limit. Busy says that more statements could have used it.
func (l *limit) done(now time.Time, elapsed float64, failed, busy bool) {
	if l.fixed {
		return
	}
	if l.latency == 0 {
		l.latency = elapsed
	}
	l.latency += latencyWeight * (elapsed - l.latency)
	if !failed {
		l.learn(now, elapsed)
	}
	baseline := l.baseline()
	if failed || (baseline > 0 && l.latency > congested*baseline) {
		// One decrease per latency, so that the statements of one round count once.
		if now.Sub(l.lowered).Seconds() >= l.latency {
			l.now = max(l.now*decrease, 1)
			l.lowered = now
		}
		return
	}
	if busy {
		l.now = min(l.now+increase/l.now, l.slots)
	}
}

func (l *limit) learn(now time.Time, elapsed float64) {
	l.sum += elapsed
	l.count++
	if l.count < batch {
		return
	}
	mean := l.sum / batch
	l.sum, l.count = 0, 0
	switch {
	case l.least == 0 || now.Sub(l.window) >= baselineWindow:
		l.before = l.least
		l.least = mean
		l.window = now
	default:
		l.least = min(l.least, mean)
	}
}

// baseline returns the latency without congestion, or 0 when it is not known.
func (l *limit) baseline() float64 {
	if l.before == 0 {
		return l.least
	}
	return min(l.least, l.before)
}
