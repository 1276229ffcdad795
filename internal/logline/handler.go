// Package logline writes log lines without ever blocking who logs: the volume of each kind of line is
// bounded, and a reader that stops reading loses lines, which are counted.
package logline

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

const (
	// perSecond and burst bound the lines of one kind that tell about single requests.
	perSecond = 40
	burst     = 200
	// queued bounds the lines that wait for the reader.
	queued = 1024
	// tellEvery is the time between two lines that count what was left out.
	tellEvery = 10 * time.Second
)

// Kind is the value of the field "event" of a line.
type Kind string

// frequent are the kinds of lines that each request may cause. All others tell of starts, stops,
// dependencies and changes of what the process believes, and are always written.
var frequent = map[Kind]bool{"refusal": true, "answer": true, "slow": true}

// Handler is a log.Handler. It is safe for concurrent use.
type Handler struct {
	out   io.Writer
	now   func() time.Time
	lines chan []byte

	mu      sync.Mutex
	buffer  bytes.Buffer
	format  log.Handler
	budgets map[Kind]*budget
	omitted map[Kind]int
	lost    int // lines that found the queue full
}

// budget is the right to write lines of one kind.
type budget struct {
	left float64
	at   time.Time
}

// New returns a Handler that writes once Run runs.
func New(out io.Writer, now func() time.Time) *Handler {
	h := &Handler{out: out, now: now, lines: make(chan []byte, queued), budgets: map[Kind]*budget{}, omitted: map[Kind]int{}}
	h.format = logfmt.New(&h.buffer)
	return h
}

// HandleLog queues a line. It never blocks and never fails.
func (h *Handler) HandleLog(e *log.Entry) error {
	kind, _ := e.Fields["event"].(string)
	h.mu.Lock()
	defer h.mu.Unlock()
	if frequent[Kind(kind)] && !h.take(Kind(kind), h.now()) {
		h.omitted[Kind(kind)]++
		return nil
	}
	h.queue(e)
	return nil
}

// take uses the budget of a kind. The lock is held.
func (h *Handler) take(k Kind, now time.Time) bool {
	b := h.budgets[k]
	if b == nil {
		b = &budget{left: burst, at: now}
		h.budgets[k] = b
	}
	b.left = min(b.left+perSecond*now.Sub(b.at).Seconds(), burst)
	b.at = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// queue formats a line for the writer. The lock is held.
func (h *Handler) queue(e *log.Entry) {
	h.buffer.Reset()
	if err := h.format.HandleLog(e); err != nil {
		h.lost++ // a field that cannot be written; there is nobody else to tell
		return
	}
	select {
	case h.lines <- bytes.Clone(h.buffer.Bytes()):
	default:
		h.lost++
	}
}

// Run writes until ctx ends, then writes what waits.
func (h *Handler) Run(ctx context.Context) {
	ticker := time.NewTicker(tellEvery)
	defer ticker.Stop()
	for {
		select {
		case line := <-h.lines:
			h.write(line)
		case <-ticker.C:
			h.tell()
		case <-ctx.Done():
			h.tell()
			for len(h.lines) > 0 {
				h.write(<-h.lines)
			}
			return
		}
	}
}

// write writes a line. A reader that is gone is no reason to stop the process.
func (h *Handler) write(line []byte) {
	if _, err := h.out.Write(line); err != nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.lost++
	}
}

// tell queues a line that counts what was left out since the last one.
func (h *Handler) tell() {
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
	h.queue(&log.Entry{Level: log.WarnLevel, Message: "lines left out", Fields: fields, Timestamp: h.now()})
}
