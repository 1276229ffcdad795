package controlvm

import (
	"expvar"
	"time"
)

// metrics contains the counters and gauges of the process. It is safe for concurrent use.
type metrics struct {
	all         *expvar.Map
	changes     *expvar.Int
	evacuations *expvar.Int // orders to evacuate a zone, or to end that, committed here
	renewals    *expvar.Int
	updates     *expvar.Int
	lookups     *expvar.Int // of a stream for updates
	announced   *expvar.Int
	elections   *expvar.Int
	snapshots   *expvar.Int
	installs    *expvar.Int
	delivered   *expvar.Int
	undelivered *expvar.Int
	dropped     *expvar.Int
	syncs       *expvar.Int
	records     *expvar.Int
	syncTime    *expvar.Int // microseconds
	calls       *expvar.Int
	callErrors  *expvar.Int
	memberships *expvar.Int // changes of the members of the group

	// Gauges that a reporter sets.
	voting     *expvar.Int // 1 while this control VM is a voter
	voters     *expvar.Int
	learners   *expvar.Int
	leaderless *expvar.Int // ms for which no leader has been known
	lag        *expvar.Int // committed records that the slowest member lacks; 0 but at the leader
	silent     *expvar.Int // ms since the most silent voter replied; 0 but at the leader
}

func newMetrics() *metrics {
	m := &metrics{all: new(expvar.Map).Init()}
	named := map[string]**expvar.Int{
		"changes": &m.changes, "evacuations": &m.evacuations, "renewals": &m.renewals, "updates": &m.updates, "lookups": &m.lookups, "announcements": &m.announced,
		"elections": &m.elections, "snapshots": &m.snapshots, "installs": &m.installs,
		"delivered": &m.delivered, "undelivered": &m.undelivered, "dropped": &m.dropped,
		"syncs": &m.syncs, "records": &m.records, "syncing": &m.syncTime,
		"calls": &m.calls, "faults": &m.callErrors,
		"memberships": &m.memberships, "voting": &m.voting, "voters": &m.voters, "learners": &m.learners,
		"leaderless": &m.leaderless, "lag": &m.lag, "silent": &m.silent,
	}
	for name, counter := range named {
		*counter = new(expvar.Int)
		m.all.Set(name, *counter)
	}
	return m
}

// recordSync records one sync of the write-ahead file.
func (m *metrics) recordSync(took time.Duration, records int) {
	m.syncs.Add(1)
	m.records.Add(int64(records))
	m.syncTime.Add(took.Microseconds())
}
