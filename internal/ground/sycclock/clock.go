// Package sycclock reads the boot-time clock (CLOCK_BOOTTIME), which also advances
// while the machine is suspended.
//
// Go's monotonic clock stops during a suspension. Anything that expires, such as a
// lease or the window of a rate, is therefore measured with the boot-time clock.
package sycclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including the time suspended.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// This can't fail: Linux has the clock since 2.6.39.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
