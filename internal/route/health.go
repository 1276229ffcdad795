package route

import (
	"time"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

const (
	// ewmaWeight gives most of the weight to the last 16 samples, about one second of traffic at one server.
	ewmaWeight = 1.0 / 8
	// latencyHalfTime is the time without samples after which an observed latency counts for half, so that a
	// server that was slow is tried again.
	latencyHalfTime = 5 * time.Second
	// failurePenalty is the latency added for each failed statement: a retry after a lost packet starts with a
	// retransmission timeout of 200 ms.
	failurePenalty = 200 * time.Millisecond
	// initialLatency is the assumed excess latency of a server without samples: its response time minus the
	// network round trip.
	initialLatency = time.Millisecond

	// ejectErrors is the number of consecutive errors that eject a server. With jitter and 5% loss, five
	// errors in a row occur once in three million statements.
	ejectErrors = 5
	// A server is also ejected when its excess latency is above outlierFactor times the median of the group and
	// at least outlierMargin above the median. The margin keeps ordinary jitter between zones from counting.
	outlierFactor  = 5
	outlierMargin  = 20 * time.Millisecond
	outlierSamples = 16
	// ejectBase is the duration of the first ejection. It doubles with each consecutive ejection up to
	// ejectMax.
	ejectBase = time.Second
	ejectMax  = 30 * time.Second
)

// health is what the router has observed about one server.
type health struct {
	latency     float64 // ns, EWMA of the response time minus the network round trip
	deviation   float64 // ns, EWMA of the absolute difference between a sample and the latency
	failureRate float64 // EWMA of failures, 0 to 1
	samples     int
	lastSample  time.Time

	consecutiveErrors int
	ejections         int // consecutive
	ejectedUntil      time.Time

	applyRate float64 // offsets per second, EWMA
	position  position.Position
	movedAt   time.Time
}

// observe records the outcome of one statement.
func (h *health) observe(now time.Time, excess time.Duration, failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	h.failureRate += ewmaWeight * (outcome - h.failureRate)
	if failed {
		h.consecutiveErrors++
		if h.consecutiveErrors >= ejectErrors && !h.isEjected(now) {
			h.eject(now)
		}
		return
	}
	h.consecutiveErrors = 0
	if !h.isEjected(now) {
		h.ejections = 0
	}
	h.addSample(now, float64(max(excess, 0)))
}

func (h *health) addSample(now time.Time, x float64) {
	if h.samples == 0 {
		h.latency = x
	} else {
		d := x - h.latency
		h.latency += ewmaWeight * d
		h.deviation += ewmaWeight * (max(d, -d) - h.deviation)
	}
	h.samples++
	h.lastSample = now
}

func (h *health) isEjected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}

func (h *health) eject(now time.Time) {
	duration := ejectMax
	if h.ejections < 5 {
		duration = min(ejectBase<<h.ejections, ejectMax)
	}
	h.ejections++
	h.ejectedUntil = now.Add(duration)
	// One more error after the ejection ends ejects the server again.
	h.consecutiveErrors = ejectErrors - 1
	h.samples = 0
}

// expectedLatency returns the expected excess latency of the server and the margin added for jitter and
// failures.
func (h *health) expectedLatency(now time.Time) (latency, spread float64) {
	if h.samples == 0 {
		return float64(initialLatency), h.failureRate * float64(failurePenalty)
	}
	idle := max(now.Sub(h.lastSample), 0)
	decay := 1 / (1 + float64(idle)/float64(latencyHalfTime))
	return h.latency * decay, (2*h.deviation + h.failureRate*float64(failurePenalty)) * decay
}

// observePosition updates the estimated rate at which the server applies the log.
func (h *health) observePosition(now time.Time, p position.Position) {
	if p == h.position {
		return
	}
	elapsed := now.Sub(h.movedAt).Seconds()
	if p.Term == h.position.Term && p.Offset > h.position.Offset && elapsed > 0 && !h.movedAt.IsZero() {
		rate := float64(p.Offset-h.position.Offset) / elapsed
		if h.applyRate == 0 {
			h.applyRate = rate
		}
		h.applyRate += ewmaWeight * (rate - h.applyRate)
	}
	h.position, h.movedAt = p, now
}
