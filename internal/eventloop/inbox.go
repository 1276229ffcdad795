// Package eventloop passes events to the single goroutine that owns the control state of a process.
package eventloop

import (
	"context"
	"sync/atomic"
	"time"
)

// Inbox is the queue of events for the event loop, the goroutine that receives from C. It is safe for
// concurrent use.
type Inbox struct {
	events  chan func(now time.Time)
	ended   <-chan struct{}
	stopped error
}

// New returns an Inbox that accepts events without blocking while fewer than length are waiting. Once ended
// is closed, no more events run and calls return stopped.
func New(length int, ended <-chan struct{}, stopped error) *Inbox {
	return &Inbox{events: make(chan func(time.Time), length), ended: ended, stopped: stopped}
}

// C returns the channel of events, in order.
func (i *Inbox) C() <-chan func(now time.Time) { return i.events }

// Post queues an event without waiting for it to run. If it returns an error, the event never runs.
func (i *Inbox) Post(ctx context.Context, event func(now time.Time)) error {
	select {
	case i.events <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-i.ended:
		return i.stopped
	}
}

// Do queues an event and waits until it has run. If it returns an error, the event has not run and never
// will, so that nothing writes to variables that the caller shares with it.
func (i *Inbox) Do(ctx context.Context, event func(now time.Time)) error {
	var claimed atomic.Bool // by the event loop, or by a caller that gave up
	done := make(chan struct{})
	err := i.Post(ctx, func(now time.Time) {
		if !claimed.CompareAndSwap(false, true) {
			return
		}
		event(now)
		close(done)
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-i.ended:
		err = i.stopped
	}
	if claimed.CompareAndSwap(false, true) {
		return err
	}
	<-done
	return nil
}
