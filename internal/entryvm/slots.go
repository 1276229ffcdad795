package entryvm

import (
	"strconv"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/admission"
	"fireflyrudder.example/fireflyrudder/internal/slots"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
)

// transactionSlotWait bounds the wait of a statement of an open transaction for a slot. Afterwards the statement runs
// without one, since the statements that occupy the slots may be waiting for locks of this transaction.
const transactionSlotWait = 50 * time.Millisecond

// primaryReadShare returns the share of slots for reads while writes wait. Only a primary has one: when many replicas
// lag, it receives the reads that they cannot serve.
func primaryReadShare(primary bool) float64 {
	if primary {
		return admission.PrimaryReadShare
	}
	return 0
}

// prepareTicket sets the admission ticket of the session for its next statement.
func (s *callerSession) prepareTicket(w *requestWait, read, continues bool) *slots.Ticket {
	if s.ticket == nil {
		s.ticket = slots.NewTicket()
	}
	weight := 1.0
	if a, ok := s.vm.table.Load().accounts[s.conn.Startup.Account]; ok {
		weight = a.weight
	}
	s.ticket.Ticket = admission.Ticket{
		Account: admission.AccountID(s.conn.Startup.Account), Weight: weight, Read: read, InTransaction: continues,
		Deadline: w.deadline, Priority: s.route.priority,
	}
	return s.ticket
}

// acquireSlot waits for a slot of the server.
func (s *callerSession) acquireSlot(w *requestWait, server *serverState, read bool) *outcome.Error {
	t := s.prepareTicket(w, read, false)
	queued := time.Now()
	result := server.slots.Push(queued, t)
	if result == admission.Waiting {
		result = slots.Await(server.slots, t, w.context().Done())
	}
	s.vm.countQueued(&t.Ticket, result, queued)
	switch result {
	case admission.Admitted:
		return nil
	case admission.Full:
		return outcome.New(outcome.NotRun, "too many statements of the account wait; the statement did not run", "send it again later")
	}
	return w.refusal(outcome.DeadlineUnmet, "no slot within the deadline; the statement did not run", "send it again later or give a longer deadline")
}

// countQueued counts what a statement got that requested a slot, by the priority of its route.
func (vm *VM) countQueued(t *admission.Ticket, result admission.Result, queued time.Time) {
	if !vm.options.Entry.Urgency {
		return
	}
	priority := strconv.Itoa(int(t.Priority))
	vm.metrics.queueSeconds.AddFloat(priority, time.Since(queued).Seconds())
	switch {
	case result == admission.Admitted:
		vm.metrics.queueAdmitted.Add(priority, 1)
	case t.Yielded:
		vm.metrics.queueYielded.Add(priority, 1)
	default:
		vm.metrics.queueRefused.Add(priority, 1)
	}
}

// acquireTransactionSlot waits for a slot for a statement of the open transaction. It returns false if the statement
// runs without one.
func (s *callerSession) acquireTransactionSlot(w *requestWait, server *serverState) bool {
	t := s.prepareTicket(w, false, true)
	result := server.slots.Push(time.Now(), t)
	if result == admission.Waiting {
		timer := time.NewTimer(transactionSlotWait)
		defer timer.Stop()
		result = slots.Await(server.slots, t, timer.C)
	}
	return result == admission.Admitted
}
