package deployment

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time of a monotonic clock that includes the time during which
// the machine is suspended. Go's monotonic clock does not include it, and a leader that
// was suspended past the end of its lease must notice. The result is only meaningful in
// comparison with other results.
func bootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock.
		panic(err)
	}
	return time.Unix(ts.Unix())
}
