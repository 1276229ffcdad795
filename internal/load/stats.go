package load

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies are recorded in microseconds from 1 µs to 2 min with two digits.
const (
	latencyMost   = int64(2 * time.Minute / time.Microsecond)
	latencyDigits = 2
)

// Served tells who answered a read.
type Served string

// Values of the parameter status fireflyrudder.served.
const (
	ServedReplica Served = "replica"
	ServedPrimary Served = "primary"
	ServedUnknown Served = "unknown"
)

// tally counts the results of one account. It is safe for concurrent use.
type tally struct {
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	sent     int
	due      int // of sent, those within rate and burst
	done     int
	unknown  int
	moved    int            // connections that the server ended while they were idle
	expired  int            // waited longer than the deadline in the load tool
	refusals map[string]int // of requests within rate and burst, by SQLSTATE
	above    map[string]int // of others
	served   map[Served]int
}

func newTally(arrivals []arrival) *tally {
	t := &tally{
		latency: hdrhistogram.New(1, latencyMost, latencyDigits), sent: len(arrivals),
		refusals: map[string]int{}, above: map[string]int{}, served: map[Served]int{},
	}
	for _, a := range arrivals {
		if a.within {
			t.due++
		}
	}
	return t
}

// success counts a request that was done, with the time since it was due.
func (t *tally) success(latency time.Duration, served Served) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.done++
	if served != "" {
		t.served[served]++
	}
	// A value above the range cannot occur: the deadline is below it.
	_ = t.latency.RecordValue(min(max(latency.Microseconds(), 1), latencyMost))
}

func (t *tally) refuse(a arrival, state string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.within {
		t.refusals[state]++
	} else {
		t.above[state]++
	}
}

func (t *tally) lose() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unknown++
}

func (t *tally) move() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.moved++
}

func (t *tally) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expired++
}

// AccountReport is the result of one account.
type AccountReport struct {
	Name              string         `json:"name"`
	ExceedsRate       bool           `json:"over"`     // sends more than its rate
	Sent              int            `json:"sent"`     // requests of the open loop
	WithinRate        int            `json:"due"`      // of sent, those that an ideal bucket with the rate and burst admits
	Done              int            `json:"done"`     //
	Unknown           int            `json:"unknown"`  // writes with an unknown outcome
	Reconnects        int            `json:"moved"`    // connections that the server ended while they were idle
	Expired           int            `json:"expired"`  // given up in the load tool at the deadline
	Goodput           float64        `json:"goodput"`  // done / due, at most 1
	P50               float64        `json:"p50"`      // milliseconds since due
	P99               float64        `json:"p99"`      //
	Refusals          map[string]int `json:"refusals"` // of requests within rate and burst, by SQLSTATE
	RefusalsAboveRate map[string]int `json:"above"`    // of the others
	Served            map[Served]int `json:"served"`   // reads
}

func (t *tally) report(a *Account) AccountReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := AccountReport{
		Name: a.Name, ExceedsRate: a.ExceedsRate(), Sent: t.sent, WithinRate: t.due, Done: t.done, Unknown: t.unknown, Expired: t.expired, Reconnects: t.moved,
		P50: milliseconds(t.latency.ValueAtQuantile(50)), P99: milliseconds(t.latency.ValueAtQuantile(99)),
		Refusals: maps.Clone(t.refusals), RefusalsAboveRate: maps.Clone(t.above), Served: maps.Clone(t.served), Goodput: 1,
	}
	if t.due > 0 {
		r.Goodput = min(1, float64(t.done)/float64(t.due))
	}
	return r
}

func milliseconds(us int64) float64 {
	return float64(us) / 1000
}
