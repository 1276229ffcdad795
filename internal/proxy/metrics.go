package proxy

import (
	"expvar"
	"sync/atomic"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/histogram"
)

// metrics are the counters and latency histograms of a Proxy.
type metrics struct {
	all          *expvar.Map
	sessions     *expvar.Int // currently open
	opened       *expvar.Int
	refused      *expvar.Int // sessions refused
	versions     *expvar.Int // configurations applied
	renewals     *expvar.Int
	unrenewed    *expvar.Int
	retries      *expvar.Int // retries of statements that had not run or only read
	replica      *expvar.Int // reads answered by a replica
	primary      *expvar.Int // reads answered by the primary
	writes       *expvar.Int
	commits      *expvar.Int
	disconnected *expvar.Int          // operations admitted while no control group was reachable
	hedged       *expvar.Int          // reads that were sent to a second instance, since the answer was overdue
	hedgeWins    *expvar.Int          // those of them that the second instance answered first
	handedOver   *expvar.Int          // accrued parts of rates that a credit keeper took, one for each account and message
	slow         *expvar.Int          // operations above the latency target of their route
	idle         *expvar.Int          // transactions ended because they were idle
	moves        *expvar.Int          // instances whose connections moved to another owner
	evacuated    *expvar.Int          // transactions ended because the zone of their instance is evacuated
	outcomes     *expvar.Map          // answers by code
	reasons      *expvar.Map          // refusals by reason
	early        *expvar.Map          // statements refused by reports of expected waits, by the age of the report
	waits        *histogram.Histogram // waits for rate credits
	proofs       *histogram.Histogram // waits for a proof of the position that a read must see
	reads        *histogram.Histogram
	changes      *histogram.Histogram
	stages       map[connpool.Stage]*histogram.Histogram // of statements on the connections of this VM; immutable
	queues       queueMetrics                            // of statements by priority, with Options.Urgency
	connected    atomic.Bool                             // the last Renew succeeded
}

// stageNames are the names under which the latencies of the stages are published.
var stageNames = map[connpool.Stage]string{
	connpool.StageQueue: "queue", connpool.StageConnection: "connection", connpool.StageDial: "dial", connpool.StageExchange: "exchange",
}

func newMetrics() *metrics {
	m := &metrics{all: new(expvar.Map).Init(), outcomes: new(expvar.Map).Init(), reasons: new(expvar.Map).Init(), early: new(expvar.Map).Init()}
	named := map[string]**expvar.Int{
		"sessions": &m.sessions, "opened": &m.opened, "refused": &m.refused, "versions": &m.versions,
		"renewals": &m.renewals, "unrenewed": &m.unrenewed, "retries": &m.retries, "replica": &m.replica,
		"primary": &m.primary, "writes": &m.writes, "commits": &m.commits, "idle": &m.idle, "evacuated": &m.evacuated, "slow": &m.slow, "alone": &m.disconnected,
		"moves": &m.moves, "pooled": &m.handedOver, "hedged": &m.hedged, "hedgewins": &m.hedgeWins,
	}
	for name, counter := range named {
		*counter = new(expvar.Int)
		m.all.Set(name, *counter)
	}
	m.all.Set("outcomes", m.outcomes)
	m.all.Set("reasons", m.reasons)
	m.all.Set("early", m.early)
	m.all.Set("queue_refused", &m.queues.refused)
	m.all.Set("queue_yielded", &m.queues.yielded)
	m.waits, m.proofs = histogram.New(), histogram.New()
	m.reads, m.changes = histogram.New(), histogram.New()
	m.all.Set("credit", m.waits)
	m.all.Set("proof", m.proofs)
	m.all.Set("read", m.reads)
	m.all.Set("change", m.changes)
	m.stages = map[connpool.Stage]*histogram.Histogram{}
	for stage, name := range stageNames {
		m.stages[stage] = histogram.New()
		m.all.Set(name, m.stages[stage])
	}
	return m
}

// observeStage records how long a statement spent in a stage.
func (m *metrics) observeStage(stage connpool.Stage, elapsed time.Duration) {
	m.stages[stage].Add(elapsed)
}
