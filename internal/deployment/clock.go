package deployment

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime is a steady clock that goes on while the machine is suspended; Go's
// own monotonic clock does not count that time, and a leader that was suspended
// past its lease must know it. The result is for comparing with other results
// only.
func bootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every kernel that runs this has the clock.
		panic(err)
	}
	return time.Unix(ts.Unix())
}
