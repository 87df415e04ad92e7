package deployment

import (
	"context"
	"runtime"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// This file reports busy loops. A process in a busy loop uses all of its processor time
// for seconds, and the evidence is lost once it is restarted, so it writes the stacks
// of its goroutines to the log, once per process.

const (
	// busySampleInterval is the interval at which the process checks its own processor
	// time.
	busySampleInterval = 1 * time.Second
	// busyShare is the share of the available processor time from which a sample counts
	// as busy. busySamples is the number of consecutive samples that must be busy; a
	// burst or a start-up is shorter.
	busyShare   = 0.9
	busySamples = 4
	// maxStackBytes bounds the stacks that are logged: enough for some hundred
	// goroutines, most of which wait in one of a few places.
	maxStackBytes = 48 << 10
)

// busyLoopDetector distinguishes a busy loop from a short burst of work.
type busyLoopDetector struct {
	// cores is the processor time that the process may use, in cores.
	cores float64
	// busyInARow counts consecutive busy samples.
	busyInARow int
	reported   bool
}

// sample records the processor time used in an interval. It returns true once, when a
// busy loop is detected.
func (w *busyLoopDetector) sample(used, interval time.Duration) bool {
	if used.Seconds() < busyShare*w.cores*interval.Seconds() {
		w.busyInARow = 0
		return false
	}
	w.busyInARow++
	spinning := w.busyInARow >= busySamples && !w.reported
	w.reported = w.reported || spinning
	return spinning
}

// watchBusyLoop samples the processor time of the process and logs a busy loop.
func (i *Instance) watchBusyLoop(ctx context.Context) {
	w := busyLoopDetector{cores: i.settings.Processor.cores()}
	if w.cores <= 0 {
		w.cores = float64(runtime.GOMAXPROCS(0))
	}
	last, at := processorTime(), bootTime()
	for ctx.Err() == nil {
		pause(ctx, busySampleInterval)
		used, now := processorTime(), bootTime()
		if w.sample(used-last, now.Sub(at)) {
			stacks := make([]byte, maxStackBytes)
			stacks = stacks[:runtime.Stack(stacks, true)]
			i.logger.Error("busy loop", zap.Duration("used", used-last), zap.Duration("in", now.Sub(at)),
				zap.Int("goroutines", runtime.NumGoroutine()), zap.ByteString("stacks", stacks))
		}
		last, at = used, now
	}
}

// processorTime returns the processor time that the process has used so far. It uses
// getrusage and not the process clock, which on some machines advances like the
// monotonic clock.
func processorTime() time.Duration {
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err != nil {
		panic(err) // every supported kernel implements getrusage
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
