package standin

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Hooks inject faults: they make an instance slow, let its replication lag or cut it off from the primary.
// SQL clients set them with SELECT standin_hook(name, value).
type Hooks struct {
	lag         atomic.Int64 // minimum age of a record when a replica applies it
	serviceTime atomic.Int64 // time that a statement occupies a slot
	delay       atomic.Int64 // delay before each message of a client is handled
	paused      atomic.Bool  // the replica applies no records
	isolated    atomic.Bool  // the replica opens no replication stream

	mu      sync.Mutex
	streams map[net.Conn]bool
}

// hookPollInterval is the shortest interval at which a waiting replica checks its hooks; the longest is ten
// times it.
const hookPollInterval = time.Millisecond

func newHooks(c Config) *Hooks {
	h := &Hooks{streams: map[net.Conn]bool{}}
	h.SetLag(c.Lag)
	h.SetServiceTime(c.Service)
	return h
}

// SetLag sets the minimum age of a record when a replica applies it.
func (h *Hooks) SetLag(d time.Duration) {
	h.lag.Store(int64(d))
}

// SetServiceTime sets the time that a statement occupies a slot before it is executed.
func (h *Hooks) SetServiceTime(d time.Duration) {
	h.serviceTime.Store(int64(d))
}

// SetDelay sets the delay before each message of a client is handled.
func (h *Hooks) SetDelay(d time.Duration) {
	h.delay.Store(int64(d))
}

// PauseReplication stops or resumes applying records on a replica. The replication stream stays open.
func (h *Hooks) PauseReplication(on bool) {
	h.paused.Store(on)
}

// Isolate closes the replication stream of a replica and keeps it closed until it is called with false.
func (h *Hooks) Isolate(on bool) {
	h.isolated.Store(on)
	if !on {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.streams {
		c.Close()
	}
}

// trackStream registers a replication stream, which Isolate closes, until the returned function is called.
func (h *Hooks) trackStream(c net.Conn) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.streams[c] = true
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.streams, c)
	}
}

// waitUntilDue waits until a record that was committed at the given time may be applied.
func (h *Hooks) waitUntilDue(ctx context.Context, committed time.Time) error {
	for {
		wait := time.Until(committed.Add(time.Duration(h.lag.Load())))
		if wait <= 0 && !h.paused.Load() {
			return ctx.Err()
		}
		timer := time.NewTimer(min(max(wait, hookPollInterval), 10*hookPollInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// CloseSessions closes all client connections.
func (s *Server) CloseSessions() {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for c := range s.sessions {
		c.conn.Close()
	}
}

// setHook sets a hook by its name in standin_hook.
func (s *Server) setHook(name, value string) error {
	switch name {
	case "pause", "isolate":
		on, err := strconv.ParseBool(value)
		if err != nil {
			return errInvalidText(value, "boolean")
		}
		if name == "pause" {
			s.hooks.PauseReplication(on)
			return nil
		}
		s.hooks.Isolate(on)
		return nil
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		return errInvalidText(value, "duration")
	}
	switch name {
	case "lag":
		s.hooks.SetLag(d)
	case "service":
		s.hooks.SetServiceTime(d)
	case "delay":
		s.hooks.SetDelay(d)
	default:
		return sqlErrorf(stateUnknownSetting, "unknown hook %q; use lag, service, delay, pause or isolate", name)
	}
	return nil
}
