package connpool

import (
	"context"
	"time"
)

// ErrEvacuated reports that the instance receives no more work because its availability zone is evacuated. It is an
// ErrClosed, as which other entry VMs receive it.
var ErrEvacuated error = evacuatedError{}

type evacuatedError struct{}

// Error implements error.
func (evacuatedError) Error() string {
	return "lane: the availability zone of the backend server is evacuated; the statement did not run there; another server may take it"
}

// Unwrap makes the error an ErrClosed.
func (evacuatedError) Unwrap() error { return ErrClosed }

// evacuation is the state of a Pool with respect to the evacuation of the availability zone of its instance. It is guarded
// by the mutex of the Pool.
//
// Invariants: starts has ended if and only if the instance is evacuated; all has ended only if it is.
type evacuation struct {
	evacuated bool
	until     time.Time // open transactions may continue before this time
	starts    signal    // ends the wait of new work
	all       signal    // ends the wait of the statements of open transactions as well
}

// signal is a context that ends when statements must not wait any longer.
type signal struct {
	context.Context
	end context.CancelFunc
}

func newSignal() signal {
	ctx, end := context.WithCancel(context.Background())
	return signal{ctx, end}
}

func newEvacuation() evacuation { return evacuation{starts: newSignal(), all: newSignal()} }

// Evacuate sends no new work to the instance from now on. Work that waits is returned with ErrEvacuated. Transactions that
// have begun may continue before until; from then on only their rollbacks are sent.
func (p *Pool) Evacuate(now, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuation.evacuated, p.evacuation.until = true, until
	p.evacuation.starts.end()
	for len(p.waiting) > 0 {
		p.wake()
	}
	p.enforceEvacuation(now)
}

// Readmit ends an evacuation.
func (p *Pool) Readmit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.evacuation.evacuated {
		p.evacuation = newEvacuation()
	}
}

// EnforceEvacuation closes the idle connections and returns the statements that wait once the limit of an evacuation has
// passed. It is called periodically; no statement is sent after the limit, whenever it is called.
func (p *Pool) EnforceEvacuation(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.enforceEvacuation(now)
}

func (p *Pool) enforceEvacuation(now time.Time) {
	if !p.refusesAll(now) {
		return
	}
	p.evacuation.all.end()
	p.closeAllIdle()
	clear(p.ahead.served)
}

// Evacuated reports whether the limit of an evacuation has passed, so that nothing but rollbacks is sent.
func (p *Pool) Evacuated(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refusesAll(now)
}

// refusesAll reports whether nothing but rollbacks may be sent. The caller holds the lock.
func (p *Pool) refusesAll(now time.Time) bool {
	return p.evacuation.evacuated && !now.Before(p.evacuation.until)
}

// evacuationError returns ErrEvacuated if a statement must not be sent: one that begins new work during an evacuation, any
// other one after its limit.
func (p *Pool) evacuationError(now time.Time, begins bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusesAll(now) || begins && p.evacuation.evacuated {
		return ErrEvacuated
	}
	return nil
}

// untilEvacuated returns a context that also ends when an evacuation keeps the statement from being sent. release must be
// called.
func (p *Pool) untilEvacuated(ctx context.Context, begins bool) (waits context.Context, release func()) {
	p.mu.Lock()
	s := p.evacuation.all
	if begins {
		s = p.evacuation.starts
	}
	p.mu.Unlock()
	waits, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s, cancel)
	return waits, func() {
		stop()
		cancel()
	}
}
