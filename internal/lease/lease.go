// Package lease divides the rates of client accounts and the connections of backend servers among
// entry VMs. The Issuer runs at the control leader, a Holder in each entry VM.
//
// Each Renew request states exactly what the holder has at its send time, and the holder drops
// replies to all requests before its latest one. So one request settles everything granted before
// it, whether the replies arrived or not.
package lease

import (
	"math"
	"time"
)

// AccountID names a client account.
type AccountID string

// ServerID names a backend server.
type ServerID string

// EntryID is the random identity of an entry VM process.
type EntryID string

const (
	// Duration is how long a holder may use what it holds, from the send time of its last answered request.
	Duration = 2 * time.Second
	// RenewInterval is the longest time between two requests of a holder.
	RenewInterval = 500 * time.Millisecond
	// grantLifetime is how long the issuer counts a grant, from the receipt of the request. It is Life plus
	// the drift bound of 1%.
	grantLifetime = Duration + Duration/100
	// maxWait is the default deadline of a request that waits for a credit. A holder refuses at once
	// when the next credit comes later than that.
	maxWait = 250 * time.Millisecond
	// minRetry bounds the requests of a holder for a scarce account to 40 per second.
	minRetry = 25 * time.Millisecond
	// maxContendedRetry is the longest advised wait while other holders may return credits.
	maxContendedRetry = 100 * time.Millisecond
	// controlConnections is kept per backend server for fences, promotions and terminations.
	controlConnections = 2
	// minPrefetchRate is the least rate, per second, of accounts whose credits are stocked at entry VMs. Below
	// it, a credit that idles at each of ten entry VMs takes longer than maxWait to earn again.
	minPrefetchRate = 40
	// smoothingTime is the time constant of measured demand. It forgets an ended burst in about two requests.
	smoothingTime = 250 * time.Millisecond
	// epsilon absorbs rounding when credits are compared with a cost.
	epsilon = 1e-9
)

// Tolerance is by how much the statements of a client account may exceed its rate and burst in any
// window of a length. Issuers use it so that each entry VM always holds a few credits of its own: it
// needs no answer for the next statements, and a change of the leader goes unnoticed.
type Tolerance struct {
	Window  time.Duration
	Overrun float64 // share of what the window admits
	Slack   float64 // statements
	// MaxDisconnected is how long an entry VM that no issuer answers admits its equal part of each rate by
	// itself. For as long the issuer leaves that part to an entry VM that it does not hear.
	MaxDisconnected time.Duration
}

const (
	// safetyMargin is the part of a tolerance that is not given out. Statements that were admitted within a
	// little more than the window may reach backend servers within it, and each entry VM that is alone
	// begins with one statement.
	safetyMargin = 0.4
	// absentTimeout is the silence of an entry VM after which its part of the rates is left to it.
	absentTimeout = 700 * time.Millisecond
	// disconnectTimeout is the time since the last answered request after which an entry VM uses that part. The
	// issuer has left it to the entry VM before, since it heard that request later than it was sent.
	disconnectTimeout = absentTimeout + absentTimeout/50
	// reserveDivisor is the part of a burst, as a divisor, that is the reserve of its bucket.
	reserveDivisor = 3
	// refilledLevel and stockedAt are levels in parts of the reserve: above the first a bucket counts as refilled,
	// above the second its credits are stocked at entry VMs.
	refilledLevel = 1.1
	prefetchLevel = 1.3
	// maxHeldDivisor is the part of a burst, as a divisor, that one entry VM may hold. A few entry VMs that a
	// new issuer does not know yet then leave most of it to the others.
	maxHeldDivisor = 6
	// refillDelay is how long a level must be far above its reserve before the log hears of it, so that
	// changes are few.
	refillDelay = 2 * time.Second
	// recountInterval bounds how often absent entry VMs are counted.
	recountInterval = 50 * time.Millisecond
)

// excess returns the credits that may be outstanding beyond the burst.
func (t Tolerance) excess(rate, burst float64) float64 {
	return (1 - safetyMargin) * (t.Overrun*(rate*t.Window.Seconds()+burst) + t.Slack)
}

// meter measures a rate, smoothed over time.
type meter struct {
	rate float64 // per second
	last time.Time
}

// add counts an amount since the last call.
func (m *meter) add(now time.Time, amount float64) {
	if m.last.IsZero() {
		m.last = now.Add(-smoothingTime)
	}
	dt := now.Sub(m.last).Seconds()
	if dt <= 0 {
		// Requests at one instant count as a burst within the smoothing time.
		m.rate += amount / smoothingTime.Seconds()
		return
	}
	m.last = now
	keep := math.Exp(-dt / smoothingTime.Seconds())
	m.rate = m.rate*keep + amount/dt*(1-keep)
}

// target is the stock that lasts until what is held expires.
func (m *meter) target() float64 {
	return m.rate * Duration.Seconds()
}
