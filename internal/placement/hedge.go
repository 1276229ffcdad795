package placement

import "time"

// hedgeShare is the share of reads that may be sent twice in the long run, and maxHedges how many at once. They bound the
// load that hedges add while everything is slow.
const (
	hedgeShare = 0.05
	maxHedges  = 3
)

// Hedge decides when a read without an answer is sent a second time. It covers answers that are lost and instances
// or entry VMs that have just stopped answering: the next read avoids them, but those in progress would wait until
// their deadline. It is not safe for concurrent use.
type Hedge struct {
	times AnswerTimes
	spent float64 // hedges that the answers since have not made up for, from 0 to maxHedges
}

// Answered records the time from sending a read to the first answer.
func (h *Hedge) Answered(elapsed time.Duration) {
	h.times.Observe(elapsed)
	h.spent = max(h.spent-hedgeShare, 0)
}

// Delay returns the time without an answer after which a read may be sent again. ok is false if too little is known.
func (h *Hedge) Delay() (delay time.Duration, ok bool) { return h.times.Overdue() }

// Spend reports whether a read may be sent again now, and counts it.
func (h *Hedge) Spend() bool {
	if h.spent+1 > maxHedges {
		return false
	}
	h.spent++
	return true
}
