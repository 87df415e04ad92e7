package dispatch

import (
	"time"
)

// evacuationMargin is reserved, in addition to the stop time, before a worker leaves: it covers
// the order and one resend.
const evacuationMargin = 700 * time.Millisecond

// evacuate stops runs that a leaving worker will not finish, so that they continue elsewhere.
// During planned replacements a task would otherwise run until its worker disappears, and lose
// the state that it could have saved.
func (c *Core) evacuate() {
	if !c.enabled(MechEvacuation) {
		return
	}
	for _, w := range c.fleet {
		if !w.Leaving || w.leavesAt.IsZero() || !w.synced {
			continue
		}
		timeLeft := w.leavesAt.Sub(c.now)
		toStop := w.sortedRuns(func(r *run) bool { return r.state == stRunRunning && c.shouldEvacuate(r, timeLeft) })
		for _, r := range toStop {
			c.stop(r, "its worker leaves")
		}
	}
}

// shouldEvacuate reports whether a run on a leaving worker should be stopped now. Long-running work
// is stopped at the last moment. Work with checkpoints is stopped as soon as it is not expected to
// finish here, and at the last moment if it might not finish in time. Other work loses its
// progress and is therefore stopped only if it will clearly not finish here.
func (c *Core) shouldEvacuate(r *run, timeLeft time.Duration) bool {
	s := r.task.step.spec
	lastChance := timeLeft <= c.bounds.MaxStopTime+evacuationMargin
	if s.LongRunning {
		return lastChance
	}
	remaining := c.remaining(r)
	if s.Checkpoints {
		return remaining > timeLeft || lastChance && remaining > timeLeft-c.bounds.MaxStopTime
	}
	return remaining > overrunFactor*timeLeft+c.bounds.MaxStopTime
}

// overrunFactor is the multiple of the time left on the worker that the expected remaining time of
// a run without checkpoints must exceed for the run to be stopped: estimates are wrong by up to
// half.
const overrunFactor = 2
