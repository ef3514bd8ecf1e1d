// Package sycclock reads a clock that goes on while the machine is suspended.
//
// Go's monotonic clock stands still then, so whatever expires, such as a lease
// or a window of a rate, is measured with this one.
package sycclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since the machine started, suspensions included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux since 2.6.39 has the clock.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
