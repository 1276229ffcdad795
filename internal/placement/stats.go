package placement

import (
	"time"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

const (
	// fading is the time constant with which an old latency is forgotten, so that an instance that
	// was slow is tried again.
	fading = time.Second
	// base is the latency towards which it fades.
	base = 5 * time.Millisecond
	// sampleWeight is the weight of one statement in the latency.
	sampleWeight = 0.2
)

// InstanceStats is what an entry VM sees of one instance, whichever way its statements take. It is not safe
// for concurrent use.
type InstanceStats struct {
	latency     time.Duration
	measured    time.Time
	running     int       // statements without an answer
	oldest      time.Time // send time of the oldest of them, or of a later one; zero if none
	answered    time.Time
	missing     time.Time // first failure since the last answer; zero if none
	seen        position.Position
	seenAt      time.Time
	queued      int // statements of all entry VMs at the instance, as last heard
	queuedAt    time.Time
	beforeFirst time.Duration
}

// NewInstanceStats returns a Sense that expects a latency until it has measured one.
func NewInstanceStats(expected time.Duration) *InstanceStats {
	return &InstanceStats{beforeFirst: expected}
}

// Sent notes a statement.
func (s *InstanceStats) Sent(now time.Time) {
	if s.running == 0 {
		s.oldest = now
	}
	s.running++
}

// Answered notes the answer to a statement sent at the given time. Timed says that its time tells
// how busy the instance is.
func (s *InstanceStats) Answered(now, sent time.Time, at position.Position, timed bool) {
	s.end(now)
	s.answered, s.missing = now, time.Time{}
	if !at.IsZero() {
		s.seen, s.seenAt = at, now
	}
	if !timed {
		return
	}
	elapsed := now.Sub(sent)
	if s.measured.IsZero() {
		s.latency = elapsed
	}
	s.latency += time.Duration(sampleWeight * float64(elapsed-s.Latency(now)))
	s.measured = now
}

// Failed notes that the instance did not answer.
func (s *InstanceStats) Failed(now time.Time) {
	s.end(now)
	if s.missing.IsZero() {
		s.missing = now
	}
}

// Refused notes that a statement did not reach the instance, which tells nothing of it.
func (s *InstanceStats) Refused(now time.Time) { s.end(now) }

func (s *InstanceStats) end(now time.Time) {
	s.running = max(s.running-1, 0)
	s.oldest = now
}

// Queued notes how many statements run and wait at the instance.
func (s *InstanceStats) Queued(now time.Time, n int) {
	s.queued, s.queuedAt = n, now
}

// Waiting returns the statements at the instance, of which an old figure counts for less.
func (s *InstanceStats) Waiting(now time.Time) int {
	const stale = 200 * time.Millisecond
	if now.Sub(s.queuedAt) >= stale {
		return s.running
	}
	return max(s.queued, s.running)
}

// Latency returns the recent time from sending a statement to its answer.
func (s *InstanceStats) Latency(now time.Time) time.Duration {
	if s.measured.IsZero() {
		return s.beforeFirst
	}
	age := now.Sub(s.measured)
	if age <= fading || s.latency <= base {
		return s.latency
	}
	return base + time.Duration(float64(s.latency-base)*fading.Seconds()/age.Seconds())
}

// Silence returns since when the instance gives no answer although it was asked; 0 if it answers.
func (s *InstanceStats) Silence(now time.Time) time.Duration {
	first := s.missing
	if s.running > 0 && (first.IsZero() || s.oldest.Before(first)) {
		first = s.oldest
	}
	if first.IsZero() {
		return 0
	}
	if first.Before(s.answered) {
		first = s.answered
	}
	return now.Sub(first)
}

// Failing reports whether the instance did not answer last.
func (s *InstanceStats) Failing() bool { return !s.missing.IsZero() }

// LastPosition returns the position that the instance reported last and how long ago.
func (s *InstanceStats) LastPosition(now time.Time) (position.Position, time.Duration) {
	return s.seen, now.Sub(s.seenAt)
}
