package connpool

import (
	"sync"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/placement"
	"fireflyrudder.example/fireflyrudder/internal/slots"
)

// An instance that has run a statement has a free slot, also if the answer is lost. The queue would count that slot as taken
// until the deadline of the statement: at 130 statements a second, 4% of lost answers take more slots than an instance has.
// So a slot is counted as free once the answer is overdue. If the instance is slow instead, it gets at most twice the
// statements that it runs at once, and answers those above its slots as busy.

// slotHolds are the slots of an instance that statements in progress hold. It is safe for concurrent use.
//
// Invariant: at most as many slots as the instance has are freed before the answer of their statement.
type slotHolds struct {
	mu    sync.Mutex
	times placement.AnswerTimes // of statements that were answered, from the slot to the answer
	freed int                   // slots of statements in progress that were freed because the answer is overdue
}

// answered records the time from the slot to the answer of a statement.
func (s *slotHolds) answered(elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times.Observe(elapsed)
}

// overdue returns the time after which a missing answer is overdue.
func (s *slotHolds) overdue() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.times.Overdue()
}

// free reports whether the slot of a statement in progress may be freed, and counts it.
func (s *slotHolds) free(most int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freed >= most {
		return false
	}
	s.freed++
	return true
}

// ended records the end of a statement whose slot was freed before.
func (s *slotHolds) ended() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freed--
}

// holdSlot returns the function that ends the use of the slot of an admitted ticket. failed means that the instance did not
// answer. The slot is freed before if the answer is overdue.
func (p *Pool) holdSlot(t *slots.Ticket) (end func(failed bool)) {
	now := p.options.Now
	entered := now()
	var mu sync.Mutex
	freed, done := false, false
	release := func(failed bool) {
		left := now()
		p.slots.Release(left, t.Ticket, left.Sub(entered), failed)
	}
	var timer *time.Timer
	if after, ok := p.holds.overdue(); ok {
		timer = time.AfterFunc(after, func() {
			mu.Lock()
			defer mu.Unlock()
			if !done && p.holds.free(p.knownSlots) {
				freed = true
				release(true)
			}
		})
	}
	return func(failed bool) {
		if timer != nil {
			timer.Stop()
		}
		mu.Lock()
		defer mu.Unlock()
		done = true
		if !failed {
			p.holds.answered(now().Sub(entered))
		}
		if freed {
			p.holds.ended()
			return
		}
		release(failed)
	}
}
