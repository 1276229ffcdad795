package renewal

import (
	"sync/atomic"
	"time"
)

const (
	// missingVersionTimeout is the time after which the streams are reopened because none has delivered the
	// version of a granted lease. Three attempts fit into a configuration lease.
	missingVersionTimeout = 600 * time.Millisecond
	// maxPending bounds the number of leases for versions that are not applied yet.
	maxPending = 16
)

// ConfigLeases tracks the configuration leases of an entry VM. A lease takes effect once its version is
// applied. Only Until is safe for concurrent use.
type ConfigLeases struct {
	pending      []ConfigLease
	until        atomic.Pointer[time.Time] // end of the lease in effect; nil before the first
	missingSince time.Time                 // since when the version of a lease is missing; zero if none is
}

// Add adds a lease, given the applied version. It reports whether the version of a lease has been missing for
// so long that the streams of updates must be reopened.
func (l *ConfigLeases) Add(now time.Time, granted ConfigLease, version uint64) bool {
	l.pending = append(l.pending, granted)
	if len(l.pending) > maxPending {
		l.pending = l.pending[1:]
	}
	l.SetApplied(version)
	switch {
	case len(l.pending) == 0:
		l.missingSince = time.Time{}
	case l.missingSince.IsZero():
		l.missingSince = now
	case now.Sub(l.missingSince) > missingVersionTimeout:
		l.missingSince = now
		return true
	}
	return false
}

// SetApplied sets the applied version. Leases on this version and on earlier ones take effect.
func (l *ConfigLeases) SetApplied(version uint64) {
	kept := l.pending[:0]
	for _, w := range l.pending {
		switch {
		case w.Version > version:
			kept = append(kept, w)
		case w.Until.After(l.Until()):
			l.until.Store(&w.Until)
		}
	}
	l.pending = kept
}

// Until returns the end of the lease in effect, or zero before the first.
func (l *ConfigLeases) Until() time.Time {
	until := l.until.Load()
	if until == nil {
		return time.Time{}
	}
	return *until
}
