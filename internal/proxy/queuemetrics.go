package proxy

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/admission"
	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/histogram"
)

// queueMetrics count what statements get that request a slot on connections of this VM, by priority. They are used
// only with Options.Urgency.
type queueMetrics struct {
	refused expvar.Map // without those that yielded
	yielded expvar.Map // refused in favor of a more urgent statement
	waits   [admission.MaxPriority + 1]queueWaits
}

// queueWaits are the waits of the statements of one priority that got a slot. They are created on first use, since a
// histogram takes some kilobytes.
type queueWaits struct {
	once      sync.Once
	histogram *histogram.Histogram
}

// observeQueue records what a statement got and how long it waited for that.
func (m *metrics) observeQueue(priority uint8, o connpool.QueueOutcome, waited time.Duration) {
	name := strconv.Itoa(int(priority))
	switch o {
	case connpool.QueueRefused:
		m.queues.refused.Add(name, 1)
	case connpool.QueueYielded:
		m.queues.yielded.Add(name, 1)
	case connpool.QueueAdmitted:
		w := &m.queues.waits[priority]
		w.once.Do(func() {
			w.histogram = histogram.New()
			m.all.Set("queue_priority_"+name, w.histogram)
		})
		w.histogram.Add(waited)
	}
}
