package controlvm

import (
	"expvar"
	"time"
)

// metrics contains the counters of the process. It is safe for concurrent use.
type metrics struct {
	all         *expvar.Map
	changes     *expvar.Int
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
}

func newMetrics() *metrics {
	m := &metrics{all: new(expvar.Map).Init()}
	named := map[string]**expvar.Int{
		"changes": &m.changes, "renewals": &m.renewals, "updates": &m.updates, "lookups": &m.lookups, "announcements": &m.announced,
		"elections": &m.elections, "snapshots": &m.snapshots, "installs": &m.installs,
		"delivered": &m.delivered, "undelivered": &m.undelivered, "dropped": &m.dropped,
		"syncs": &m.syncs, "records": &m.records, "syncing": &m.syncTime,
		"calls": &m.calls, "faults": &m.callErrors,
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
