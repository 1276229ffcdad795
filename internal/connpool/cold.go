package connpool

import (
	"time"

	"fireflyrudder.example/fireflyrudder/internal/operation"
)

const (
	// coldProofAge is the age up to which a proof of a cold instance is shared. A new one takes two statements, which the keepers
	// of several availability zones would otherwise request several times a second.
	coldProofAge = 700 * time.Millisecond
	// transactionUnits are the units that an open transaction keeps, where available: for a statement with a session value, its
	// preparation, and the end of the transaction.
	transactionUnits = 4
)

// Gate limits what is sent to an instance while it is cold. Each statement and each new connection takes one unit. It is safe
// for concurrent use.
type Gate interface {
	// Cold reports whether there is a limit now.
	Cold(now time.Time) bool
	// Usable reports whether new work with units may still be sent. It may not after a change of the owner.
	Usable(now time.Time) bool
	// Take takes units for new work: need for its first statements and reserve for those that follow. If it returns false the
	// work must not begin.
	Take(now time.Time, need, reserve int) (units int, ok bool)
	// Extend takes up to n units for work that has begun.
	Extend(now time.Time, n int) int
	// Send records statements that are sent for work with a number of units, and returns the units that are left.
	Send(now time.Time, n, units int) (left int)
	// Return gives back units that were not spent.
	Return(now time.Time, units int)
}

// SetGate sets what limits the statements sent to the instance; nil for no limit.
func (p *Pool) SetGate(g Gate) {
	if g == nil {
		p.gate.Store(nil)
		return
	}
	p.gate.Store(&g)
}

// cold returns the gate of the instance if it is cold, or nil.
func (p *Pool) cold(now time.Time) Gate {
	if g := p.gate.Load(); g != nil && (*g).Cold(now) {
		return *g
	}
	return nil
}

// takeUnits takes the units for statements outside a transaction. It returns a *RefusedError if there are not enough.
func (h *Handle) takeUnits(values map[string]string, statements ...operation.Statement) error {
	now := h.pool.options.Now()
	gate := h.pool.cold(now)
	if gate == nil || h.state != operation.Idle {
		return nil
	}
	need, reserve := 2+len(values)+len(statements), 0 // a new connection, a reset and the session values
	for i := range statements {
		switch statements[i].Kind {
		case operation.Execute:
			need++ // it may have to be prepared
		case operation.Begin:
			reserve = transactionUnits
		}
	}
	units, ok := gate.Take(now, need, reserve)
	if !ok {
		return &RefusedError{Code: operation.Busy, Cold: true}
	}
	h.units += units
	return nil
}

// confirmUnits checks again before new work is sent, since it may have waited for a slot: the instance may have become cold or
// have another owner.
func (h *Handle) confirmUnits(values map[string]string, statements ...operation.Statement) error {
	now := h.pool.options.Now()
	gate := h.pool.cold(now)
	switch {
	case gate == nil || h.state != operation.Idle:
		return nil
	case h.units == 0:
		return h.takeUnits(values, statements...)
	case !gate.Usable(now):
		return &RefusedError{Code: operation.Busy, Cold: true}
	}
	return nil
}

// sendUnits spends the units of n statements that are about to be sent.
func (h *Handle) sendUnits(n int) {
	if g := h.pool.gate.Load(); g != nil {
		h.units = (*g).Send(h.pool.options.Now(), n, h.units)
	}
}

// settleUnits returns the units that are not needed any more. An open transaction keeps some for its next statements.
func (h *Handle) settleUnits(open bool) {
	g := h.pool.gate.Load()
	if g == nil {
		h.units = 0
		return
	}
	keep := 0
	if open && h.state != operation.Idle && !h.broken {
		keep = transactionUnits
	}
	switch now := h.pool.options.Now(); {
	case h.units > keep:
		(*g).Return(now, h.units-keep)
		h.units = keep
	case h.units < keep:
		h.units += (*g).Extend(now, keep-h.units)
	}
}
