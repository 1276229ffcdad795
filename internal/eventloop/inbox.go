// Package eventloop hands events to the one goroutine that owns the control state of a process.
package eventloop

import (
	"context"
	"sync/atomic"
	"time"
)

// Inbox is the way to the owner goroutine, which receives from C. It is safe for concurrent use.
type Inbox struct {
	events  chan func(now time.Time)
	ended   <-chan struct{}
	stopped error
}

// New returns an Inbox that lets other goroutines go on while up to length events wait. Once ended is
// closed, no event runs any more and calls fail with stopped.
func New(length int, ended <-chan struct{}, stopped error) *Inbox {
	return &Inbox{events: make(chan func(time.Time), length), ended: ended, stopped: stopped}
}

// C returns the events in order.
func (i *Inbox) C() <-chan func(now time.Time) { return i.events }

// Post hands over an event and does not wait for it. With an error it never runs.
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

// Do hands over an event and waits until it has run. With an error it has not run and never will, so
// that nothing writes to what the caller shares with it.
func (i *Inbox) Do(ctx context.Context, event func(now time.Time)) error {
	var claimed atomic.Bool // by the owner, or by a caller that gave up
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
