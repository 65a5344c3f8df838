package boottime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM booted, including the time in which it was suspended.
//
// Go's monotonic clock doesn't advance while a VM is suspended. Measured by that
// clock, a lease could appear valid after another process has acquired it.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has this clock since 2.6.39.
		panic(fmt.Sprintf("boottime: %v", err))
	}
	return time.Duration(t.Nano())
}
