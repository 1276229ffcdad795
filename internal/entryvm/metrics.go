package entryvm

import "expvar"

// metrics are the metrics of an entry VM, exported at /debug/vars.
type metrics struct {
	vars         *expvar.Map
	connections  *expvar.Int // accepted connections
	refused      *expvar.Int // failed startups
	sessions     *expvar.Int // currently open sessions
	statements   *expvar.Int
	replicaReads *expvar.Int
	primaryReads *expvar.Int
	writes       *expvar.Int
	retries      *expvar.Int
	lostConns    *expvar.Int // requests whose connection to a backend server failed
	unconfirmed  *expvar.Int // commits and reads that no majority confirmed in time
	duplicates   *expvar.Int // duplicate requests answered from their record
	dialFailures *expvar.Int
	renewals     *expvar.Int
	renewFailed  *expvar.Int
	outcomes     *expvar.Map // requests answered with an error of the VM, by SQLSTATE

	// Statements outside transactions that requested a slot, by priority of their route, with Entry.Urgency.
	queueAdmitted *expvar.Map
	queueRefused  *expvar.Map // without those that yielded
	queueYielded  *expvar.Map // refused in favor of a more urgent statement
	queueSeconds  *expvar.Map // sum of their waits
}

func newMetrics() *metrics {
	m := &metrics{vars: new(expvar.Map).Init()}
	number := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.vars.Set(name, v)
		return v
	}
	m.connections = number("connections")
	m.refused = number("refused")
	m.sessions = number("sessions")
	m.statements = number("statements")
	m.replicaReads = number("replica")
	m.primaryReads = number("primary")
	m.writes = number("writes")
	m.retries = number("retries")
	m.lostConns = number("lost")
	m.unconfirmed = number("unconfirmed")
	m.duplicates = number("repeats")
	m.dialFailures = number("undialed")
	m.renewals = number("renewals")
	m.renewFailed = number("unrenewed")
	byKey := func(name string) *expvar.Map {
		v := new(expvar.Map)
		m.vars.Set(name, v)
		return v
	}
	m.outcomes = byKey("outcomes")
	m.queueAdmitted = byKey("queue_admitted")
	m.queueRefused = byKey("queue_refused")
	m.queueYielded = byKey("queue_yielded")
	m.queueSeconds = byKey("queue_seconds")
	return m
}
