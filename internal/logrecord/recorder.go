// Package logrecord gives tests the log lines of the code below them.
package logrecord

import (
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

// Recorder is a log.Handler that keeps the latest line of each event. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	latest map[string]log.Fields // by the value of the field "event"
}

// New sets the log handler until the test ends. It must be called before what logs is created, so that this ends first.
func New(t testing.TB) *Recorder {
	r := &Recorder{latest: map[string]log.Fields{}}
	log.SetHandler(r)
	t.Cleanup(func() { log.SetHandler(discard.Default) })
	return r
}

// HandleLog implements log.Handler. Lines without an event are dropped.
func (r *Recorder) HandleLog(e *log.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if event, ok := e.Fields["event"].(string); ok {
		r.latest[event] = maps.Clone(e.Fields)
	}
	return nil
}

// Latest returns the fields of the latest line of an event, or nil.
func (r *Recorder) Latest(event string) log.Fields {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest[event]
}

// Await waits for a line of an event and returns its fields. The test fails if there is none within a time.
func (r *Recorder) Await(t testing.TB, event string, within time.Duration) log.Fields {
	t.Helper()
	require.Eventually(t, func() bool { return r.Latest(event) != nil }, within, 20*time.Millisecond, "no line with event=%s", event)
	return r.Latest(event)
}

// Forget drops the lines that were kept.
func (r *Recorder) Forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.latest)
}
