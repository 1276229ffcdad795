package placement

import (
	"slices"
	"time"
)

const (
	// hedgeSamples is the number of latest reads from which the usual time of an answer is estimated.
	hedgeSamples = 64
	// minHedgeSamples is the number of reads before the first hedge.
	minHedgeSamples = 16
	// hedgeFactor and hedgeMargin give the delay of a hedge from the usual time of an answer.
	hedgeFactor = 3
	hedgeMargin = 20 * time.Millisecond
	// minHedgeDelay is above the time in which a network repairs most losses within a zone.
	minHedgeDelay = 60 * time.Millisecond
	// hedgeShare is the share of reads that may be sent twice in the long run, and maxHedges how many at once. They bound the
	// load that hedges add while everything is slow.
	hedgeShare = 0.05
	maxHedges  = 3
)

// Hedge decides when a read without an answer is sent to another instance as well. It covers answers that are lost and instances
// or entry VMs that have just stopped answering: the next read avoids them, but those in progress would wait until
// their deadline. It is not safe for concurrent use.
type Hedge struct {
	samples [hedgeSamples]time.Duration
	count   int     // of all samples; the latest hedgeSamples are kept
	tokens  float64 // hedges that may be sent now, at most maxHedges
}

// Answered records the time from sending a read to the first answer.
func (h *Hedge) Answered(elapsed time.Duration) {
	h.samples[h.count%hedgeSamples] = elapsed
	h.count++
	h.tokens = min(h.tokens+hedgeShare, maxHedges)
}

// Delay returns the time without an answer after which a read may be sent again. ok is false if too little is known.
func (h *Hedge) Delay() (delay time.Duration, ok bool) {
	if h.count < minHedgeSamples {
		return 0, false
	}
	return max(hedgeFactor*h.usual()+hedgeMargin, minHedgeDelay), true
}

// usual returns the time within which nine of ten answers came. Up to a tenth of the reads may be late without a longer delay:
// with a quantile near the largest, a few hedged reads would delay the next hedges.
func (h *Hedge) usual() time.Duration {
	sorted := h.samples
	known := sorted[:min(h.count, hedgeSamples)]
	slices.Sort(known)
	return known[len(known)*9/10]
}

// Spend reports whether a read may be sent again now, and counts it.
func (h *Hedge) Spend() bool {
	if h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}
