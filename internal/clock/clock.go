// Package clock reads the clock of the shells. It counts the time that a VM is suspended, which the
// monotonic clock of the runtime does not: a lease must not outlive a suspension of its holder.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM booted, as a time without a monotonic reading. It never goes
// back and does not follow changes of the time of day. Times of Now compare with each other only.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now().Round(0) // a kernel without the clock; never seen on a supported system
	}
	return time.Unix(t.Sec, t.Nsec)
}

// Since returns the time since an earlier Now.
func Since(earlier time.Time) time.Duration {
	return Now().Sub(earlier)
}
