package placement

import (
	"slices"
	"time"
)

const (
	// answerSamples is the number of latest answers from which the usual time is estimated.
	answerSamples = 64
	// minAnswerSamples is the number of answers before the first estimate.
	minAnswerSamples = 16
	// overdueFactor and overdueMargin give the time after which an answer is overdue from the usual time of an answer.
	overdueFactor = 2
	overdueMargin = 20 * time.Millisecond
	// minOverdue is above the time in which a network repairs most losses within a zone.
	minOverdue = 60 * time.Millisecond
	// quantileInterval is the number of answers after which the usual time is estimated again. Sorting the samples twice for
	// each statement took 2 us.
	quantileInterval = 8
)

// AnswerTimes estimates after which time a missing answer is overdue, from the times of the latest answers. It is not safe
// for concurrent use.
type AnswerTimes struct {
	samples [answerSamples]time.Duration
	count   int // of all samples; the latest answerSamples are kept

	usual   time.Duration // quantile when there were counted samples
	counted int
}

// Observe records the time from sending a statement to its answer.
func (a *AnswerTimes) Observe(elapsed time.Duration) {
	a.samples[a.count%answerSamples] = elapsed
	a.count++
}

// Overdue returns the time after which a missing answer is overdue. ok is false if too little is known.
func (a *AnswerTimes) Overdue() (after time.Duration, ok bool) {
	if a.count < minAnswerSamples {
		return 0, false
	}
	return max(overdueFactor*a.quantile()+overdueMargin, minOverdue), true
}

// Usual returns the time within which nine of ten answers come. ok is false if too little is known.
func (a *AnswerTimes) Usual() (within time.Duration, ok bool) {
	return a.quantile(), a.count >= minAnswerSamples
}

// quantile returns the time within which nine of ten answers came. Up to a tenth of the answers may be late without a longer
// estimate: with a quantile near the largest, a few repeated statements would delay the next ones.
func (a *AnswerTimes) quantile() time.Duration {
	if a.count == a.counted || a.counted >= answerSamples && a.count-a.counted < quantileInterval {
		return a.usual
	}
	sorted := a.samples
	known := sorted[:min(a.count, answerSamples)]
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	a.usual, a.counted = known[len(known)*9/10], a.count
	return a.usual
}
