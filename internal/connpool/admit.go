package connpool

import (
	"context"

	"fireflyrudder.example/fireflyrudder/internal/admission"
	"fireflyrudder.example/fireflyrudder/internal/slots"
)

// QueueOutcome is what a statement got that requested a slot.
type QueueOutcome int

// Outcomes of a request for a slot.
const (
	QueueAdmitted QueueOutcome = iota
	QueueRefused               // it did not run and will not run
	QueueYielded               // like QueueRefused, in favor of a more urgent statement
)

// admit waits in the queue until a slot is free for the statement, and a connection unless its transaction has one. The wait
// also ends when an evacuation keeps the statement from being sent; contexts for that are made only for statements that wait,
// since most do not.
func (p *Pool) admit(ctx context.Context, t *slots.Ticket) error {
	queued := p.options.Now()
	outcome := QueueRefused
	defer func() {
		waited := p.options.Now().Sub(queued)
		p.options.Observe(StageQueue, waited)
		p.options.ObserveQueue(t.Priority, outcome, waited)
	}()
	result := p.slots.Push(queued, t)
	if result == admission.Waiting {
		waits, release := p.untilEvacuated(ctx, !t.InTransaction)
		defer release()
		result = slots.Await(p.slots, t, waits.Done())
	}
	switch {
	case result == admission.Admitted:
		outcome = QueueAdmitted
		return nil
	case result == admission.Full:
		return ErrQueueFull
	case t.Yielded:
		outcome = QueueYielded
	}
	return ErrQueueTimeout
}
