package entryvm

import (
	"sync"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/admission"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
)

// continueWait bounds the wait of a statement of an open transaction for a slot. After it the
// statement runs without one: those that hold the slots may wait for locks of this transaction.
const continueWait = 50 * time.Millisecond

// slots shares the queue of one backend server between traffic goroutines.
type slots struct {
	mu    sync.Mutex
	queue *admission.Queue
}

func newSlots(n int) *slots {
	return &slots{queue: admission.New(n)}
}

// boundReads limits the share of reads while writes wait, on a primary only: a lag storm sends it
// the reads that its replicas cannot serve.
func (s *slots) boundReads(primary bool) {
	share := 0.0
	if primary {
		share = admission.PrimaryReads
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetReads(share)
}

// load returns the statements that run and wait.
func (s *slots) load() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Running(), s.queue.Waiting()
}

// ticket is a place in the queue, reused by its session.
type ticket struct {
	admission.Ticket
	place admission.Place
	ready chan admission.Result // buffered for one
}

// push queues a ticket.
func (s *slots) push(now time.Time, t *ticket) admission.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	place, result := s.queue.Push(now, t.Ticket)
	if result != admission.Waiting {
		return result
	}
	t.place = place
	s.pop(now)
	select {
	case result = <-t.ready:
		return result
	default:
		return admission.Waiting
	}
}

// pop hands out what can run. The lock is held.
func (s *slots) pop(now time.Time) {
	for {
		t, result := s.queue.Pop(now)
		if result == admission.None {
			return
		}
		t.Tag.(*ticket).ready <- result
	}
}

// withdraw takes a waiting ticket back. It returns false if an answer is there already.
func (s *slots) withdraw(t *ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Cancel(t.place)
}

// leave gives a slot back.
func (s *slots) leave(now time.Time, t admission.Ticket, elapsed time.Duration, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Done(now, t, elapsed, lost)
	s.pop(now)
}

// ticketFor fills the ticket of the session.
func (s *callerSession) ticketFor(w *wait, read, continues bool) *ticket {
	if s.ticket == nil {
		s.ticket = &ticket{ready: make(chan admission.Result, 1)}
	}
	weight := 1.0
	if a, ok := s.vm.table.Load().accounts[s.conn.Startup.Account]; ok {
		weight = a.weight
	}
	s.ticket.Ticket = admission.Ticket{
		Account: admission.AccountID(s.conn.Startup.Account), Weight: weight, Read: read, Continues: continues,
		Deadline: w.deadline, Tag: s.ticket,
	}
	return s.ticket
}

// enterSlot waits for a slot of the server.
func (s *callerSession) enterSlot(w *wait, server *serverState, read bool) *outcome.Error {
	t := s.ticketFor(w, read, false)
	result := server.slots.push(time.Now(), t)
	if result == admission.Waiting {
		select {
		case result = <-t.ready:
		case <-w.context().Done():
			result = admission.Late
			if !server.slots.withdraw(t) {
				result = <-t.ready
			}
		}
	}
	switch result {
	case admission.Admitted:
		return nil
	case admission.Full:
		return outcome.New(outcome.NotRun, "too many statements of the account wait; the statement did not run", "send it again later")
	}
	return w.refusal(outcome.Late, "no slot within the deadline; the statement did not run", "send it again later or give a longer deadline")
}

// enterContinuing waits for a slot for a statement of the open transaction. It returns false if the
// statement is to run without one.
func (s *callerSession) enterContinuing(w *wait, server *serverState) bool {
	t := s.ticketFor(w, false, true)
	result := server.slots.push(time.Now(), t)
	if result == admission.Waiting {
		timer := time.NewTimer(continueWait)
		defer timer.Stop()
		select {
		case result = <-t.ready:
		case <-timer.C:
			if server.slots.withdraw(t) {
				return false
			}
			result = <-t.ready
		}
	}
	return result == admission.Admitted
}
