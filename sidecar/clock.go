package sidecar

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the instance booted. Unlike the monotonic clock
// of the Go runtime it keeps counting while the process or the instance is
// suspended, so it is used for the ages of configuration and membership data.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("sidecar: the kernel has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
