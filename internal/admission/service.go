package admission

import "time"

const (
	// serviceWeight gives the last 32 samples most of the weight.
	serviceWeight = 1.0 / 16
	// firstService is assumed until the first statement is done.
	firstService = 5 * time.Millisecond
	// minSamples is the number of samples required before an estimate may refuse a statement.
	minSamples = 16
	// floorWindow is the window of the lowest service time, which is remembered for one to two windows. It is
	// long compared to a burst and short compared to a change of the server.
	floorWindow = 5 * time.Second
)

// mean is a moving average of service times in seconds.
type mean struct {
	value   float64
	samples int
}

func (m *mean) add(x float64) {
	if m.samples == 0 {
		m.value = x
	}
	m.value += serviceWeight * (x - m.value)
	m.samples++
}

// service estimates the service times of a server in seconds.
type service struct {
	mean
	min         float64 // lowest of the current window
	previousMin float64 // lowest of the previous window
	windowStart time.Time
}

func (s *service) add(now time.Time, x float64) {
	if now.Sub(s.windowStart) >= floorWindow {
		s.previousMin = s.min
		s.min = x
		s.windowStart = now
	}
	s.min = min(s.min, x)
	if s.samples == 0 {
		s.previousMin = x
	}
	s.mean.add(x)
}

// floor returns the lowest service time of the last one to two windows.
func (s *service) floor() float64 {
	return min(s.min, s.previousMin)
}

// expected returns the mean, or firstService before the first sample.
func (s *service) expected() float64 {
	if s.samples == 0 {
		return firstService.Seconds()
	}
	return s.value
}
