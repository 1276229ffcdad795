package load

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies are recorded in microseconds, from 1 µs to 2 min, with two significant digits.
const (
	maxLatency    = int64(2 * time.Minute / time.Microsecond)
	latencyDigits = 2
)

// Served is the kind of backend server that answered a read.
type Served string

// Values of the parameter status fireflyrudder.served.
const (
	ServedReplica Served = "replica"
	ServedPrimary Served = "primary"
	ServedUnknown Served = "unknown"
)

// accountStats counts the results of one account. It is safe for concurrent use.
type accountStats struct {
	mu                sync.Mutex
	latency           *hdrhistogram.Histogram
	sent              int
	withinRate        int // of sent, those within the rate and burst of the account
	completed         int
	unknown           int
	reconnects        int            // connections that the server ended while they were idle
	expired           int            // deadline passed in the load tool, before the request was sent
	refusals          map[string]int // of requests within rate and burst, by SQLSTATE
	refusalsAboveRate map[string]int // of the other requests
	served            map[Served]int
}

func newStats(arrivals []arrival) *accountStats {
	s := &accountStats{
		latency: hdrhistogram.New(1, maxLatency, latencyDigits), sent: len(arrivals),
		refusals: map[string]int{}, refusalsAboveRate: map[string]int{}, served: map[Served]int{},
	}
	for _, a := range arrivals {
		if a.withinRate {
			s.withinRate++
		}
	}
	return s
}

// recordSuccess counts a completed request with its latency. Served is empty for writes.
func (s *accountStats) recordSuccess(latency time.Duration, served Served) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completed++
	if served != "" {
		s.served[served]++
	}
	// RecordValue fails only for a value outside the range of the histogram, and the value is limited to it.
	_ = s.latency.RecordValue(min(max(latency.Microseconds(), 1), maxLatency))
}

func (s *accountStats) recordRefusal(a arrival, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.withinRate {
		s.refusals[state]++
	} else {
		s.refusalsAboveRate[state]++
	}
}

func (s *accountStats) recordUnknown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unknown++
}

func (s *accountStats) recordReconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reconnects++
}

func (s *accountStats) recordExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expired++
}

// AccountReport is the result of one account.
type AccountReport struct {
	Name              string         `json:"name"`
	ExceedsRate       bool           `json:"over"`     // sends more than its rate
	Sent              int            `json:"sent"`     // requests of the open loop
	WithinRate        int            `json:"due"`      // of sent, those that an ideal token bucket with the rate and burst admits
	Done              int            `json:"done"`     // completed
	Unknown           int            `json:"unknown"`  // writes with an unknown outcome
	Reconnects        int            `json:"moved"`    // connections that the server closed while they were idle
	Expired           int            `json:"expired"`  // deadline passed in the load tool, before the request was sent
	Goodput           float64        `json:"goodput"`  // completed requests per request within the rate, at most 1
	P50               float64        `json:"p50"`      // milliseconds since the request was due
	P99               float64        `json:"p99"`      //
	Refusals          map[string]int `json:"refusals"` // of requests within rate and burst, by SQLSTATE
	RefusalsAboveRate map[string]int `json:"above"`    // of the other requests
	Served            map[Served]int `json:"served"`   // reads by the kind of server that answered
}

func (s *accountStats) report(a *Account) AccountReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := AccountReport{
		Name: a.Name, ExceedsRate: a.ExceedsRate(), Sent: s.sent, WithinRate: s.withinRate, Done: s.completed, Unknown: s.unknown, Expired: s.expired, Reconnects: s.reconnects,
		P50: milliseconds(s.latency.ValueAtQuantile(50)), P99: milliseconds(s.latency.ValueAtQuantile(99)),
		Refusals: maps.Clone(s.refusals), RefusalsAboveRate: maps.Clone(s.refusalsAboveRate), Served: maps.Clone(s.served), Goodput: 1,
	}
	if s.withinRate > 0 {
		r.Goodput = min(1, float64(s.completed)/float64(s.withinRate))
	}
	return r
}

func milliseconds(us int64) float64 {
	return float64(us) / 1000
}
