package connpool

import "time"

// EndAt sets the time from which no new work is sent to the instance; zero for none. Transactions that have begun go on.
func (p *Pool) EndAt(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endAt = t
}

// remaining returns the time in which new work may be sent. limited is false if there is no end.
func (p *Pool) remaining(now time.Time) (left time.Duration, limited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endAt.Sub(now), !p.endAt.IsZero()
}

// ended reports whether no new work may be sent any more.
func (p *Pool) ended(now time.Time) bool {
	left, limited := p.remaining(now)
	return limited && left <= 0
}

// beginError returns the error of work that was not sent: ErrEvacuated or ErrClosed if the pool takes none any more.
func (h *Handle) beginError(err error) error {
	if evacuated := h.pool.evacuationError(h.pool.options.Now(), h.pooled == nil); evacuated != nil {
		return evacuated
	}
	if h.pooled == nil && h.pool.ended(h.pool.options.Now()) {
		return ErrClosed
	}
	return err
}
