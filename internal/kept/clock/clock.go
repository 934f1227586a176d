// Package clock reads the time since boot.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since the machine started, suspended time included.
//
// Leases are measured on it. The steady clock of Go stands still while a machine
// is suspended: an entry VM that wakes up would take an authority that others
// have long passed on for a fresh one. The time of day jumps.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: no boot clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
