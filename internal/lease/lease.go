// Package lease distributes the rates of client accounts and the connections of backend servers over the
// entry VMs. The Issuer runs at the control leader, a Holder in each entry VM.
//
// Each Renew request reports exactly what the holder has at its send time, and the holder drops replies to
// all requests before its latest one. One request therefore accounts for everything granted before it,
// whether or not the replies arrived.
package lease

import (
	"math"
	"time"
)

// AccountID is the name of a client account.
type AccountID string

// ServerID is the name of a backend server.
type ServerID string

// EntryID is the random identity of an entry VM process.
type EntryID string

const (
	// Duration is how long a holder may use its credits and connections, from the send time of its last
	// answered request.
	Duration = 2 * time.Second
	// RenewInterval is the longest time between two requests of a holder.
	RenewInterval = 500 * time.Millisecond
	// grantLifetime is how long the issuer counts a grant as outstanding, from receipt of the request. It is
	// Duration plus the bound of 1% on clock drift.
	grantLifetime = Duration + Duration/100
	// maxWait is the default deadline of a request that waits for a credit. A holder refuses at once if the
	// next credit is due later than that.
	maxWait = 250 * time.Millisecond
	// minRetry limits the requests of a holder for a scarce account to 40 per second.
	minRetry = 25 * time.Millisecond
	// maxContendedRetry is the longest advised wait while other holders may return credits.
	maxContendedRetry = 100 * time.Millisecond
	// controlConnections is the number of connections reserved per backend server for fencing, promotion and
	// termination.
	controlConnections = 2
	// minPrefetchRate is the lowest rate, per second, of accounts whose credits are prefetched by entry VMs.
	// Below it, a credit that lies unused at each of ten entry VMs takes longer than maxWait to earn again.
	minPrefetchRate = 40
	// smoothingTime is the time constant of measured demand. An ended burst is forgotten in about two
	// requests.
	smoothingTime = 250 * time.Millisecond
	// epsilon absorbs rounding errors when credits are compared with a cost.
	epsilon = 1e-9
)

// Tolerance is the amount by which the statements of a client account may exceed its rate and burst in any
// window of the given length. Issuers spend it on a few credits that each entry VM holds while it serves the account: the
// next statements then need no reply from the issuer, and a change of the leader delays none of them.
type Tolerance struct {
	Window  time.Duration
	Overrun float64 // share of what rate and burst admit in the window
	Slack   float64 // additional statements
	// MaxDisconnected is how long an entry VM without a reply from an issuer admits its equal share of each
	// rate on its own. For the same time the issuer does not grant the shares of entry VMs that send no
	// requests.
	MaxDisconnected time.Duration
}

const (
	// safetyMargin is the share of a tolerance that is not granted. Statements admitted within slightly more
	// than the window may reach backend servers within it, and each disconnected entry VM starts with one
	// statement.
	safetyMargin = 0.4
	// absentTimeout is the silence of an entry VM after which the issuer leaves it its share of the rates.
	absentTimeout = 700 * time.Millisecond
	// disconnectTimeout is the time since the last answered request after which an entry VM uses that share.
	// The issuer has stopped granting the share before then, since it received that request later than it was
	// sent.
	disconnectTimeout = absentTimeout + absentTimeout/50
	// reserveDivisor gives the reserve of a bucket as burst / reserveDivisor.
	reserveDivisor = 3
	// refilledLevel and prefetchLevel are multiples of the reserve. Above the first a bucket counts as
	// refilled, above the second its credits are prefetched by entry VMs.
	refilledLevel = 1.1
	prefetchLevel = 1.3
	// maxHeldDivisor limits what one entry VM may hold to burst / maxHeldDivisor, so that a few entry VMs
	// that have not yet reported to a new issuer leave most of the burst to the others.
	maxHeldDivisor = 6
	// floatIdle is how long an entry VM keeps its part of the excess of an account after the last operation. Callers
	// return to the VM of their open session, often after seconds.
	floatIdle = 10 * time.Second
	// refillDelay is how long the level must stay well above the reserve before the change goes to the
	// control log, which keeps the number of changes low.
	refillDelay = 2 * time.Second
	// recountInterval is the least time between two counts of absent entry VMs.
	recountInterval = 50 * time.Millisecond
)

// excess returns the credits that may be outstanding beyond the burst.
func (t Tolerance) excess(rate, burst float64) float64 {
	return (1 - safetyMargin) * (t.Overrun*(rate*t.Window.Seconds()+burst) + t.Slack)
}

// meter measures a rate with exponential smoothing.
type meter struct {
	rate float64 // per second
	last time.Time
}

// add records an amount used since the last call.
func (m *meter) add(now time.Time, amount float64) {
	if m.last.IsZero() {
		m.last = now.Add(-smoothingTime)
	}
	dt := now.Sub(m.last).Seconds()
	if dt <= 0 {
		// Requests at the same instant count as a burst within the smoothing time.
		m.rate += amount / smoothingTime.Seconds()
		return
	}
	m.last = now
	keep := math.Exp(-dt / smoothingTime.Seconds())
	m.rate = m.rate*keep + amount/dt*(1-keep)
}

// target returns the credits needed until the current lease expires.
func (m *meter) target() float64 {
	return m.rate * Duration.Seconds()
}
