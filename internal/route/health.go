package route

import (
	"time"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

const (
	// ewmaWeight gives the last 16 samples most of the weight, about a second of traffic at one server.
	ewmaWeight = 1.0 / 8
	// forget is the time without samples after which an observed latency counts for half, so that a
	// server that was slow is tried again.
	forget = 5 * time.Second
	// lossCost is charged for each failed statement in full: a retry after a lost packet starts with
	// a retransmission timeout of 200 ms.
	lossCost = 200 * time.Millisecond
	// firstGuess is the excess latency of a server without samples.
	firstGuess = time.Millisecond

	// ejectErrors consecutive errors eject a server; jitter and 5% loss give five in a row once in
	// three million statements.
	ejectErrors = 5
	// A server is also ejected when its excess latency is above outlierFactor times the median of the
	// group and outlierMargin more. The margin keeps ordinary jitter between zones from counting.
	outlierFactor  = 5
	outlierMargin  = 20 * time.Millisecond
	outlierSamples = 16
	// ejectBase doubles with every ejection in a row up to ejectMax.
	ejectBase = time.Second
	ejectMax  = 30 * time.Second
)

// health is what the router has observed of one server.
type health struct {
	latency   float64 // ns, EWMA of the time to the answer less the way between the zones
	deviation float64 // ns, EWMA of the distance between a sample and the latency
	loss      float64 // EWMA of failures, 0 to 1
	samples   int
	sampled   time.Time

	errors    int // consecutive
	ejections int // in a row
	ejected   time.Time

	advance  float64 // offsets per second, EWMA
	position position.Position
	moved    time.Time
}

// observe takes one answer into account.
func (h *health) observe(now time.Time, excess time.Duration, failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	h.loss += ewmaWeight * (outcome - h.loss)
	if failed {
		h.errors++
		if h.errors >= ejectErrors && !h.isEjected(now) {
			h.eject(now)
		}
		return
	}
	h.errors = 0
	if !h.isEjected(now) {
		h.ejections = 0
	}
	h.sample(now, float64(max(excess, 0)))
}

func (h *health) sample(now time.Time, x float64) {
	if h.samples == 0 {
		h.latency = x
	} else {
		d := x - h.latency
		h.latency += ewmaWeight * d
		h.deviation += ewmaWeight * (max(d, -d) - h.deviation)
	}
	h.samples++
	h.sampled = now
}

func (h *health) isEjected(now time.Time) bool {
	return now.Before(h.ejected)
}

func (h *health) eject(now time.Time) {
	pause := ejectMax
	if h.ejections < 5 {
		pause = min(ejectBase<<h.ejections, ejectMax)
	}
	h.ejections++
	h.ejected = now.Add(pause)
	// One more error after the pause ejects again.
	h.errors = ejectErrors - 1
	h.samples = 0
}

// excess returns the expected time at the server and the spread that jitter and loss add.
func (h *health) excess(now time.Time) (latency, spread float64) {
	if h.samples == 0 {
		return float64(firstGuess), h.loss * float64(lossCost)
	}
	idle := max(now.Sub(h.sampled), 0)
	keep := 1 / (1 + float64(idle)/float64(forget))
	return h.latency * keep, (2*h.deviation + h.loss*float64(lossCost)) * keep
}

// advanceTo learns how fast the server applies the log.
func (h *health) advanceTo(now time.Time, p position.Position) {
	if p == h.position {
		return
	}
	elapsed := now.Sub(h.moved).Seconds()
	if p.Term == h.position.Term && p.Offset > h.position.Offset && elapsed > 0 && !h.moved.IsZero() {
		rate := float64(p.Offset-h.position.Offset) / elapsed
		if h.advance == 0 {
			h.advance = rate
		}
		h.advance += ewmaWeight * (rate - h.advance)
	}
	h.position, h.moved = p, now
}
