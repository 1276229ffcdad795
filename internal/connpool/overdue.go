package connpool

import (
	"sync"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/placement"
	"fireflyrudder.example/fireflyrudder/internal/slots"
)

// An instance that has run a statement has a free slot, also if the answer is lost. The queue would count that slot as taken
// until the deadline of the statement: at 130 statements a second, 4% of lost answers take more slots than an instance has.
// So a slot is counted as free once the answer is overdue, or once the statement takes longer than usual and many later ones
// were answered. The instance may be slow or stuck instead, so it gets at most twice the statements that it runs at once.

// minUsual bounds the time after which a statement may be taken for one whose answer is lost.
const minUsual = 20 * time.Millisecond

// outrunBy is the number of statements for each slot that must have been answered since a statement was sent for its answer to
// count as lost before it is overdue. A statement that is merely slow is outrun by about as many as run beside it.
const outrunBy = 2

// slotHolds are the slots of an instance that statements in progress hold. It is safe for concurrent use.
//
// Invariant: at most as many slots as the instance has are freed before the answers of their statements.
type slotHolds struct {
	mu      sync.Mutex
	times   placement.AnswerTimes // of statements that were answered, from sending to the answer
	answers int                   // statements that were answered
	freed   int                   // slots of statements in progress that were freed
}

// answered records the time from sending a statement to its answer.
func (s *slotHolds) answered(elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times.Observe(elapsed)
	s.answers++
}

// begin returns the time after which a statement takes longer than usual, that after which its answer is overdue, and the
// number of answers so far.
func (s *slotHolds) begin() (usual, overdue time.Duration, answers int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usual, _ = s.times.Usual()
	overdue, ok = s.times.Overdue()
	return max(usual, minUsual), overdue, s.answers, ok
}

// free reports whether a slot may be freed before the answer, and counts it until ended is called. It may be if the answer is
// overdue, or if the statement was outrun since there were a number of answers.
func (s *slotHolds) free(slots, answers int, overdue bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freed >= slots || !overdue && s.answers-answers < outrunBy*slots {
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

// slotHold is the slot of an admitted ticket. Its methods are called by the goroutine of the statement and by the timer.
type slotHold struct {
	pool    *Pool
	ticket  *slots.Ticket
	entered time.Time
	sent    time.Time     // not before the statement had a connection; zero if it has none
	answers int           // before the statement was sent
	usual   time.Duration // time within which most statements are answered
	overdue time.Duration // time after which the answer is overdue

	mu    sync.Mutex
	timer *time.Timer // nil if the time of an answer is not known
	freed bool        // before the answer
	done  bool
}

// holdSlot begins the use of the slot of an admitted ticket.
func (p *Pool) holdSlot(t *slots.Ticket) *slotHold {
	return &slotHold{pool: p, ticket: t, entered: p.options.Now()}
}

// begin records that the statement is about to be sent. From now on the slot is freed before the use ends if the answer seems to
// be lost; a connection that is still being opened needs its slot however long that takes.
func (h *slotHold) begin() {
	if h == nil {
		return // the statement needs no slot
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent = h.pool.options.Now()
	var ok bool
	if h.usual, h.overdue, h.answers, ok = h.pool.holds.begin(); ok {
		h.timer = time.AfterFunc(h.usual, h.expire)
	}
}

// expire frees the slot of a statement whose answer seems to be lost. If that is not possible yet, it is tried again.
func (h *slotHold) expire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.done:
	case h.pool.holds.free(h.pool.knownSlots, h.answers, h.isOverdue()):
		h.freed = true
		h.release(true)
	default:
		h.timer.Reset(h.usual)
	}
}

// isOverdue reports whether the answer is overdue.
func (h *slotHold) isOverdue() bool { return h.pool.options.Now().Sub(h.sent) >= h.overdue }

// end ends the use of the slot. answered means that the instance answered a statement, failed that the connection was lost.
// Neither holds if no statement was sent, such as without a connection.
func (h *slotHold) end(answered, failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.done = true
	if h.timer != nil {
		h.timer.Stop()
	}
	if answered && !failed {
		h.pool.holds.answered(h.pool.options.Now().Sub(h.sent))
	}
	if h.freed {
		h.pool.holds.ended()
		return
	}
	h.release(failed)
}

func (h *slotHold) release(failed bool) {
	left := h.pool.options.Now()
	h.pool.slots.Release(left, h.ticket.Ticket, left.Sub(h.entered), failed)
}
