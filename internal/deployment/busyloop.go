package deployment

import (
	"context"
	"runtime"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// This file answers a busy loop: the process takes all of the processor that it may use,
// for seconds, and what it was doing is gone once it is restarted. So it writes the
// stacks of its goroutines to the log, once in its life.

const (
	// busyEvery is how often the process looks at its own processor time.
	busyEvery = 1 * time.Second
	// busyShare is the share of what it may use from which it counts as busy. busyLasts is
	// how many samples in a row must say so: a burst or a start is over sooner.
	busyShare = 0.9
	busyLasts = 4
	// busyStacks bounds the stacks that are written, in bytes: some hundred goroutines,
	// most of which wait in one of a few places.
	busyStacks = 48 << 10
)

// busyLoopWatch tells a busy loop from a process that is busy for a moment.
type busyLoopWatch struct {
	// cores is what the process may use of the processor.
	cores float64
	// over counts the looks in a row that were over the share.
	over int
	told bool
}

// sees takes what the process used in a while; true once, when it spins.
func (w *busyLoopWatch) sees(used, while time.Duration) bool {
	if used.Seconds() < busyShare*w.cores*while.Seconds() {
		w.over = 0
		return false
	}
	w.over++
	spins := w.over >= busyLasts && !w.told
	w.told = w.told || spins
	return spins
}

// watchBusyLoop looks at the process's own processor time.
func (i *Instance) watchBusyLoop(ctx context.Context) {
	w := busyLoopWatch{cores: i.settings.Processor.cores()}
	if w.cores <= 0 {
		w.cores = float64(runtime.GOMAXPROCS(0))
	}
	last, at := processorTime(), bootTime()
	for ctx.Err() == nil {
		pause(ctx, busyEvery)
		used, now := processorTime(), bootTime()
		if w.sees(used-last, now.Sub(at)) {
			stacks := make([]byte, busyStacks)
			stacks = stacks[:runtime.Stack(stacks, true)]
			i.logger.Error("busy loop", zap.Duration("used", used-last), zap.Duration("in", now.Sub(at)),
				zap.Int("goroutines", runtime.NumGoroutine()), zap.ByteString("stacks", stacks))
		}
		last, at = used, now
	}
}

// processorTime is what the process has used so far. The account of the kernel, not its
// clock of the process: on the users' machines that goes like the steady one.
func processorTime() time.Duration {
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err != nil {
		panic(err) // every kernel that runs this has it
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
