// Package bootclock reads a clock that goes on while the machine is suspended, unlike the monotonic clock of package time, and
// that nobody can set, unlike the time of day.
package bootclock

import (
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted, by CLOCK_BOOTTIME.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every kernel since Linux 2.6.39 has this clock.
		panic(errorx.Panic(errorx.Decorate(err, "the clock CLOCK_BOOTTIME cannot be read")))
	}
	return time.Duration(t.Nano())
}
