// Package logline writes log lines without blocking the goroutine that logs. Frequent kinds of lines are
// rate-limited, and lines are dropped while the output blocks. Both are counted and reported.
package logline

import (
	"bytes"
	"context"
	"io"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

const (
	// perSecond and burst are the rate limit of each kind of line that reports single requests.
	perSecond = 40
	burst     = 200
	// queueCapacity is the number of formatted lines that wait to be written.
	queueCapacity = 1024
	// omittedInterval is the time between two reports of dropped lines.
	omittedInterval = 10 * time.Second
)

// Kind is the value of the field "event" of a line.
type Kind string

// rateLimited lists the kinds of lines that a single request may cause. All other kinds report starts,
// stops, dependencies and state changes of the process, and are not rate-limited.
var rateLimited = map[Kind]bool{"refusal": true, "answer": true, "slow": true}

// Handler is a log.Handler. It is safe for concurrent use.
type Handler struct {
	out   io.Writer
	now   func() time.Time
	lines chan []byte

	mu      sync.Mutex
	buffer  bytes.Buffer
	format  log.Handler
	buckets map[Kind]*tokenBucket
	omitted map[Kind]int
	lost    int // lines dropped because the queue was full or the write failed
}

// tokenBucket limits the rate of the lines of one kind.
type tokenBucket struct {
	tokens   float64
	refilled time.Time
}

// New returns a Handler that queues lines until Run writes them to out.
func New(out io.Writer, now func() time.Time) *Handler {
	h := &Handler{out: out, now: now, lines: make(chan []byte, queueCapacity), buckets: map[Kind]*tokenBucket{}, omitted: map[Kind]int{}}
	h.format = logfmt.New(&h.buffer)
	return h
}

// HandleLog queues a line. It never blocks and never fails.
func (h *Handler) HandleLog(e *log.Entry) error {
	kind, _ := e.Fields["event"].(string)
	h.mu.Lock()
	defer h.mu.Unlock()
	if rateLimited[Kind(kind)] && !h.allow(Kind(kind), h.now()) {
		h.omitted[Kind(kind)]++
		return nil
	}
	h.enqueue(e)
	return nil
}

// allow takes a token of a kind and reports whether there was one. The lock is held.
func (h *Handler) allow(k Kind, now time.Time) bool {
	b := h.buckets[k]
	if b == nil {
		b = &tokenBucket{tokens: burst, refilled: now}
		h.buckets[k] = b
	}
	b.tokens = min(b.tokens+perSecond*now.Sub(b.refilled).Seconds(), burst)
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// enqueue formats a line and queues it. It drops the line if the queue is full. The lock is held.
func (h *Handler) enqueue(e *log.Entry) {
	h.buffer.Reset()
	if err := h.format.HandleLog(joinLists(e)); err != nil {
		h.lost++ // a field that cannot be formatted; the error has no other destination
		return
	}
	select {
	case h.lines <- bytes.Clone(h.buffer.Bytes()):
	default:
		h.lost++
	}
}

// joinLists returns the entry with its lists as text joined by commas, because logfmt leaves out the fields of lists.
func joinLists(e *log.Entry) *log.Entry {
	joined := *e
	joined.Fields = maps.Clone(e.Fields)
	for name, value := range e.Fields {
		if list, ok := value.([]string); ok {
			joined.Fields[name] = strings.Join(list, ",")
		}
	}
	return &joined
}

// Run writes queued lines until ctx ends, and then the rest of the queue.
func (h *Handler) Run(ctx context.Context) {
	ticker := time.NewTicker(omittedInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-h.lines:
			h.write(line)
		case <-ticker.C:
			h.reportOmitted()
		case <-ctx.Done():
			h.reportOmitted()
			for len(h.lines) > 0 {
				h.write(<-h.lines)
			}
			return
		}
	}
}

// write writes a line. A failed write is counted and does not stop the process.
func (h *Handler) write(line []byte) {
	if _, err := h.out.Write(line); err != nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.lost++
	}
}

// reportOmitted queues a line with the numbers of lines dropped since the previous report.
func (h *Handler) reportOmitted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.omitted) == 0 && h.lost == 0 {
		return
	}
	fields := log.Fields{"event": "omitted", "lost": h.lost}
	for kind, n := range h.omitted {
		fields[string(kind)] = n
	}
	clear(h.omitted)
	h.lost = 0
	h.enqueue(&log.Entry{Level: log.WarnLevel, Message: "lines left out", Fields: fields, Timestamp: h.now()})
}
