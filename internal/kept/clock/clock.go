// Package clock reads the time since boot.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including time in suspension.
//
// Leases are measured by it. Go's monotonic clock stops while a machine is suspended:
// an entry VM that resumes would consider a lease valid that has expired and that
// another VM has taken over. The wall clock is not suitable, as it may jump.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: cannot read the boot clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
