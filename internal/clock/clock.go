// Package clock reads a monotonic clock that includes the time during which the VM is suspended. The
// monotonic clock of the Go runtime excludes it, so a lease would seem valid after a suspension in which
// it expired.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM booted, as a time.Time without a monotonic reading. It never goes
// backwards and is independent of the wall clock. Compare it only with other results of Now.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now().Round(0) // only without CLOCK_BOOTTIME, which every supported kernel has
	}
	return time.Unix(t.Sec, t.Nsec)
}

// Since returns the time since an earlier Now.
func Since(earlier time.Time) time.Duration {
	return Now().Sub(earlier)
}
