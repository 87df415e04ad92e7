package dispatch

import (
	"math"
	"time"
)

// The start window limits bursts of starts on a large deployment: hundreds of jobs that were
// waiting when a leader begins, or thousands of tasks that fit at once. A leader that orders
// all of them together has no processor time left to process the answers before they time out:
// the starts become unclear and have to be closed, gangs are interrupted, its lease expires,
// and the next leader repeats the pattern. Only as many starts are in flight as are answered
// quickly; the rest is placed in later rounds, in order.

// startsLeft returns the number of further starts that this instance can handle in addition to
// those in flight. Starts on suspect workers do not count: their answers may never arrive.
func (c *Core) startsLeft() int {
	if !c.enabled(MechStartWindow) {
		return math.MaxInt
	}
	left := c.startWindow.limit()
	for _, r := range c.pendingStarts {
		if r.state == stRunOrdered && !c.isSuspect(r.worker) {
			left--
		}
	}
	return left
}

// startCallEnded records that a start was answered or timed out.
func (c *Core) startCallEnded(r *run) {
	if r.state == stRunOrdered {
		c.startWindow.callEnded(c.now.Sub(r.since), len(c.pendingStarts), c.now)
		c.responseTime.record(min(c.now.Sub(r.since), maxLateResponse))
	}
}

// firstPollDelay is how long a worker's first poll waits for the answer to its start, which
// leaves a connection that the poll can use.
const firstPollDelay = 250 * time.Millisecond

// awaitsFirstStart reports whether everything on a worker was ordered just now and is not
// answered yet.
func (c *Core) awaitsFirstStart(w *worker) bool {
	if !c.enabled(MechStartWindow) {
		return false
	}
	for _, r := range w.runs {
		if r.state != stRunOrdered || c.now.Sub(r.since) >= firstPollDelay {
			return false
		}
	}
	return true
}
