package failover

import (
	"strconv"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/spread"
)

// orderPause keeps orders back while the platform accepts none. Until it is reached again no order and no term is used up.
type orderPause struct {
	since    time.Time // when the first order in a row was not accepted; zero if orders may leave
	failures int       // orders and connections in a row without success
	until    time.Time // no connection is tried before
	probing  bool      // a call of Reach is under way
}

const (
	// minOrderPause is the pause after the first order that the platform did not accept. It doubles with each failure.
	minOrderPause = 50 * time.Millisecond
	// maxOrderPause bounds the pause, and with it the time after which a platform that is back gets an order.
	maxOrderPause = time.Second
)

// mayOrder reports whether the platform is expected to accept an order.
func (p *orderPause) mayOrder() bool { return p.since.IsZero() }

// lasted reports whether no order could leave for a time.
func (p *orderPause) lasted(now time.Time, d time.Duration) bool {
	return !p.mayOrder() && now.Sub(p.since) >= d
}

// probe returns a call that tries to reach the platform, if one is due.
func (p *orderPause) probe(now time.Time) (c Call, due bool) {
	if p.mayOrder() || p.probing || now.Before(p.until) {
		return Call{}, false
	}
	p.probing = true
	return Call{Function: Reach, Sent: now, Limit: orderTimeout}, true
}

// probed handles the outcome of a call that tried to reach the platform.
func (p *orderPause) probed(now time.Time, err error) {
	p.probing = false
	if err != nil {
		p.fail(now)
		return
	}
	p.since = time.Time{}
}

// fail begins or extends the pause.
func (p *orderPause) fail(now time.Time) {
	if p.mayOrder() {
		p.since = now
	}
	p.failures++
	pause := maxOrderPause
	if doublings := p.failures - 1; minOrderPause<<min(doublings, 16) < maxOrderPause {
		pause = minOrderPause << doublings
	}
	jitter := spread.Fraction("order", strconv.Itoa(p.failures))
	p.until = now.Add(pause/2 + time.Duration(jitter*float64(pause/2)))
}
