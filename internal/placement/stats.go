package placement

import (
	"time"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

const (
	// decayTime is the time constant with which an old latency is forgotten, so that a slow instance is tried
	// again.
	decayTime = time.Second
	// decayFloor is the latency towards which an old one decays.
	decayFloor = 5 * time.Millisecond
	// sampleWeight is the weight of one statement in the latency.
	sampleWeight = 0.2
)

// InstanceStats is what an entry VM has observed of one instance, whether its statements go there directly or
// through another entry VM. It is not safe for concurrent use.
type InstanceStats struct {
	latency      time.Duration
	measuredAt   time.Time
	inFlight     int       // statements without an answer
	oldestSent   time.Time // send time of the oldest of them, or of a later one; zero if none
	lastAnswer   time.Time
	firstFailure time.Time // time of the first failure since the last answer; zero if none
	lastPosition position.Position
	positionAt   time.Time
	queued       int // statements of all entry VMs at the instance, as last reported
	queuedAt     time.Time
	expected     time.Duration
	service      time.Duration // recent time to the answer without the wait for a slot; 0 if not measured

	Waits Waits // as reported by the entry VM that owns the connections
}

// NewInstanceStats returns an InstanceStats with an expected latency, used until one is measured.
func NewInstanceStats(expected time.Duration) *InstanceStats {
	return &InstanceStats{expected: expected}
}

// Sent records a sent statement.
func (s *InstanceStats) Sent(now time.Time) {
	if s.inFlight == 0 {
		s.oldestSent = now
	}
	s.inFlight++
}

// Answered records the answer to a statement sent at the given time. timed means that its duration reflects
// the load of the instance.
func (s *InstanceStats) Answered(now, sent time.Time, at position.Position, timed bool) {
	s.completed(now)
	s.lastAnswer, s.firstFailure = now, time.Time{}
	if !at.IsZero() {
		s.lastPosition, s.positionAt = at, now
	}
	if !timed {
		return
	}
	elapsed := now.Sub(sent)
	if s.measuredAt.IsZero() {
		s.latency = elapsed
	}
	s.latency += time.Duration(sampleWeight * float64(elapsed-s.Latency(now)))
	s.measuredAt = now
}

// Served records the time to the answer of a statement without its expected wait for a slot.
func (s *InstanceStats) Served(elapsed time.Duration) {
	if s.service == 0 {
		s.service = elapsed
	}
	s.service += time.Duration(sampleWeight * float64(elapsed-s.service))
}

// Expect sets the expected wait of a statement of a client account in a Candidate, if it is known.
func (s *InstanceStats) Expect(now time.Time, account string, priority int, c *Candidate) {
	wait, ok := s.Waits.Expected(now, account, priority)
	if !ok {
		wait, ok = s.Waits.Latest(now, priority)
	}
	c.Wait, c.WaitKnown, c.Service = wait, ok && s.service > 0, s.service
}

// Failed records that the instance did not answer a statement.
func (s *InstanceStats) Failed(now time.Time) {
	s.completed(now)
	if s.firstFailure.IsZero() {
		s.firstFailure = now
	}
}

// Refused records that a statement did not reach the instance, which says nothing about the instance.
func (s *InstanceStats) Refused(now time.Time) { s.completed(now) }

func (s *InstanceStats) completed(now time.Time) {
	s.inFlight = max(s.inFlight-1, 0)
	s.oldestSent = now
}

// Queued records how many statements run and wait at the instance.
func (s *InstanceStats) Queued(now time.Time, n int) {
	s.queued, s.queuedAt = n, now
}

// Waiting returns the number of statements at the instance. An old report is ignored in favor of the
// statements of this entry VM.
func (s *InstanceStats) Waiting(now time.Time) int {
	const stale = 200 * time.Millisecond
	if now.Sub(s.queuedAt) >= stale {
		return s.inFlight
	}
	return max(s.queued, s.inFlight)
}

// Latency returns the recent time from sending a statement to its answer.
func (s *InstanceStats) Latency(now time.Time) time.Duration {
	if s.measuredAt.IsZero() {
		return s.expected
	}
	age := now.Sub(s.measuredAt)
	if age <= decayTime || s.latency <= decayFloor {
		return s.latency
	}
	return decayFloor + time.Duration(float64(s.latency-decayFloor)*decayTime.Seconds()/age.Seconds())
}

// Silence returns for how long the instance has left statements unanswered; 0 if it answers.
func (s *InstanceStats) Silence(now time.Time) time.Duration {
	first := s.firstFailure
	if s.inFlight > 0 && (first.IsZero() || s.oldestSent.Before(first)) {
		first = s.oldestSent
	}
	if first.IsZero() {
		return 0
	}
	if first.Before(s.lastAnswer) {
		first = s.lastAnswer
	}
	return now.Sub(first)
}

// Observed reports whether it is known if the instance answers: it answered within the period, has left a statement
// unanswered since then, or statements are in progress.
func (s *InstanceStats) Observed(now time.Time, period time.Duration) bool {
	return s.inFlight > 0 || !s.firstFailure.IsZero() || now.Sub(s.lastAnswer) < period
}

// Failing reports whether the instance did not answer the latest statement.
func (s *InstanceStats) Failing() bool { return !s.firstFailure.IsZero() }

// LastPosition returns the position that the instance reported last, and its age.
func (s *InstanceStats) LastPosition(now time.Time) (position.Position, time.Duration) {
	return s.lastPosition, now.Sub(s.positionAt)
}
