// Package slots lets the goroutines that run statements share one admission.Queue. It adds locking and
// blocking waits; the scheduling itself is in package admission.
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

// Ticket is a statement that requests a slot. It may be reused once it has a result. Yielded is set if that is Late
// in favor of a more urgent statement.
type Ticket struct {
	admission.Ticket
	handle admission.Handle
	ready  chan admission.Result // buffered, so that dispatch does not block
}

// New returns Slots with all slots free.
func New(s admission.Settings) *Slots {
	return &Slots{queue: admission.NewWith(s)}
}

// NewTicket returns an empty Ticket.
func NewTicket() *Ticket {
	return &Ticket{ready: make(chan admission.Result, 1)}
}

// SetReadShare changes the share of slot time for reads while writes wait.
func (s *Slots) SetReadShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetReadShare(share)
}

// Load returns the numbers of running and waiting statements.
func (s *Slots) Load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Running(), s.queue.Waiting()
}

// Waits returns the expected waits of a client account; see admission.Queue.
func (s *Slots) Waits(now time.Time, account admission.AccountID) []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Waits(now, account)
}

// Push queues a ticket. If the result is Waiting, Await must be called.
func (s *Slots) Push(now time.Time, t *Ticket) admission.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Tag = t
	handle, result := s.queue.Push(now, t.Ticket)
	t.handle = handle
	s.dispatch(now) // also after a refusal: others may have yielded
	if result != admission.Waiting {
		return result
	}
	select {
	case result = <-t.ready:
		return result
	default:
		return admission.Waiting
	}
}

// Await waits for the result of a ticket. If there is none when done is closed or receives a value, it
// cancels the ticket and returns Late.
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

// Release frees the slot of a finished statement. failed means that the server did not answer.
func (s *Slots) Release(now time.Time, t admission.Ticket, elapsed time.Duration, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Done(now, t, elapsed, failed)
	s.dispatch(now)
}

// SetConnections changes the limit on connections; see admission.Settings.
func (s *Slots) SetConnections(now time.Time, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetConnections(n)
	s.dispatch(now)
}

// ReleaseConnection frees the connection of an admitted statement.
func (s *Slots) ReleaseConnection(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.ReleaseConnection()
	s.dispatch(now)
}

// dispatch delivers the results that the queue has ready. The lock must be held.
func (s *Slots) dispatch(now time.Time) {
	for {
		t, result := s.queue.Pop(now)
		if result == admission.None {
			return
		}
		waiting := t.Tag.(*Ticket)
		waiting.Yielded = t.Yielded
		waiting.ready <- result
	}
}

// cancel withdraws a waiting ticket. It returns false if the ticket already has a result.
func (s *Slots) cancel(t *Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Cancel(t.handle)
}
