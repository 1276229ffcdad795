package renewal

import (
	"sync/atomic"
	"time"
)

const (
	// lagWait is the time after which a version that the leader names and no stream brings has the
	// streams opened anew. Three tries fit into a configuration lease.
	lagWait = 600 * time.Millisecond
	// keptOffers bounds the leases for versions that are not applied yet.
	keptOffers = 16
)

// ConfigLeases are the configuration leases of an entry VM. A lease counts once its version is applied. Only
// Until is safe for concurrent use.
type ConfigLeases struct {
	waiting []ConfigLease
	until   atomic.Pointer[time.Time] // end of the lease that counts; nil before the first
	lags    time.Time                 // since when a named version is missing; zero: none is
}

// Add adds a lease. It reports whether the named version is missing for so long that the streams of
// updates are to be opened anew.
func (o *ConfigLeases) Add(now time.Time, offer ConfigLease, version uint64) bool {
	o.waiting = append(o.waiting, offer)
	if len(o.waiting) > keptOffers {
		o.waiting = o.waiting[1:]
	}
	o.SetApplied(version)
	switch {
	case len(o.waiting) == 0:
		o.lags = time.Time{}
	case o.lags.IsZero():
		o.lags = now
	case now.Sub(o.lags) > lagWait:
		o.lags = now
		return true
	}
	return false
}

// SetApplied tells the version that is applied now.
func (o *ConfigLeases) SetApplied(version uint64) {
	kept := o.waiting[:0]
	for _, w := range o.waiting {
		switch {
		case w.Version > version:
			kept = append(kept, w)
		case w.Until.After(o.Until()):
			o.until.Store(&w.Until)
		}
	}
	o.waiting = kept
}

// Until returns the end of the lease, or zero before the first.
func (o *ConfigLeases) Until() time.Time {
	until := o.until.Load()
	if until == nil {
		return time.Time{}
	}
	return *until
}
