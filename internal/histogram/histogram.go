// Package histogram provides a latency histogram that is published through expvar.
package histogram

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicroseconds   = int64(time.Minute / time.Microsecond)
	significantDigits = 2 // decimal
)

// Histogram counts durations. It is safe for concurrent use and implements expvar.Var.
type Histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram // microseconds
	sum    time.Duration
}

// New returns an empty histogram.
func New() *Histogram {
	return &Histogram{counts: hdrhistogram.New(1, maxMicroseconds, significantDigits)}
}

// Add records a duration. Durations above one minute are recorded as one minute.
func (h *Histogram) Add(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sum += d
	_ = h.counts.RecordValue(min(max(d.Microseconds(), 1), maxMicroseconds)) // the value is in range
}

// Snapshot contains the statistics of a histogram. Durations are in seconds.
type Snapshot struct {
	Count int64   `json:"count"`
	Sum   float64 `json:"sum"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Snapshot returns the current statistics.
func (h *Histogram) Snapshot() Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := func(quantile float64) float64 { return float64(h.counts.ValueAtQuantile(quantile)) / 1e6 }
	return Snapshot{
		Count: h.counts.TotalCount(), Sum: h.sum.Seconds(), P50: at(50), P90: at(90), P99: at(99),
		Max: float64(h.counts.Max()) / 1e6,
	}
}

// String returns the snapshot as JSON.
func (h *Histogram) String() string {
	text, err := json.Marshal(h.Snapshot())
	if err != nil {
		return "null" // a struct of numbers always marshals
	}
	return string(text)
}

// Summary returns count, median, 99th percentile and maximum as text for a log line.
func (h *Histogram) Summary() string {
	s := h.Snapshot()
	return fmt.Sprintf("n=%d p50=%.1fms p99=%.1fms max=%.1fms", s.Count, s.P50*1e3, s.P99*1e3, s.Max*1e3)
}
