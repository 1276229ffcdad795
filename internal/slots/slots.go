// Package slots shares the admission queue of a backend server between the goroutines that run
// statements.
package slots

import (
	"sync"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/admission"
)

// Slots is an admission queue whose tickets wait on channels. It is safe for concurrent use.
type Slots struct {
	mu    sync.Mutex
	queue *admission.Queue
}

// Ticket is a statement that asks for a slot. It may be used again once it has an answer.
type Ticket struct {
	admission.Ticket
	handle admission.Handle
	ready  chan admission.Result // buffered for one
}

// New returns Slots of which none is taken.
func New(s admission.Settings) *Slots {
	return &Slots{queue: admission.NewWith(s)}
}

// NewTicket returns an empty Ticket.
func NewTicket() *Ticket {
	return &Ticket{ready: make(chan admission.Result, 1)}
}

// SetReadShare changes the share of reads while writes wait.
func (s *Slots) SetReadShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetReadShare(share)
}

// Load returns the statements that run and wait.
func (s *Slots) Load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Running(), s.queue.Waiting()
}

// Push queues a ticket. If the result is Waiting, Await must follow.
func (s *Slots) Push(now time.Time, t *Ticket) admission.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Tag = t
	place, result := s.queue.Push(now, t.Ticket)
	if result != admission.Waiting {
		return result
	}
	t.handle = place
	s.dispatch(now)
	select {
	case result = <-t.ready:
		return result
	default:
		return admission.Waiting
	}
}

// Await waits for the answer to a ticket. It takes the ticket back and returns Late if none has come
// when done is closed or sends.
func Await[T any](s *Slots, t *Ticket, done <-chan T) admission.Result {
	select {
	case result := <-t.ready:
		return result
	case <-done:
	}
	if s.cancel(t) {
		return admission.Late
	}
	return <-t.ready
}

// Release gives a slot back.
func (s *Slots) Release(now time.Time, t admission.Ticket, elapsed time.Duration, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Done(now, t, elapsed, lost)
	s.dispatch(now)
}

// dispatch hands out what can run. The lock is held.
func (s *Slots) dispatch(now time.Time) {
	for {
		t, result := s.queue.Pop(now)
		if result == admission.None {
			return
		}
		t.Tag.(*Ticket).ready <- result
	}
}

// cancel takes a waiting ticket back. It returns false if there is an answer already.
func (s *Slots) cancel(t *Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Cancel(t.handle)
}
