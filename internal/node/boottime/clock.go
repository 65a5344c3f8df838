package boottime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was started.
//
// Go's monotonic clock stands still while a VM is suspended. A lease that is
// counted by it seems to be held still when another process has long got it.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux since 2.6.39 has this clock.
		panic(fmt.Sprintf("boottime: %v", err))
	}
	return time.Duration(t.Nano())
}
