package dispatch

import (
	"math"
	"time"
)

// This file answers bursts of work on a large deployment: hundreds of jobs that were
// waiting when a leader begins, or thousands of tasks that fit at once. A leader that
// orders all of them together has no processor time left to see their answers before they
// time out: the starts are unclear and have to be closed, gangs break, its lease runs out,
// and the next leader does the same. So only so many starts are under way as are answered
// soon; what is left is placed in the rounds that follow, in its order.

// startsLeft is how many starts this instance keeps up with beside those under way. Those
// on suspect workers do not count: their answers may never come.
func (c *Core) startsLeft() int {
	if !c.has(MechStartWindow) {
		return math.MaxInt
	}
	left := c.startWindow.most()
	for _, r := range c.ordered {
		if r.state == stRunOrdered && !c.isSuspect(r.worker) {
			left--
		}
	}
	return left
}

// startEnded takes that a start was answered, or given up.
func (c *Core) startEnded(r *run) {
	if r.state == stRunOrdered {
		c.startWindow.ended(c.now.Sub(r.since), len(c.ordered), c.now)
		c.answerTime.note(min(c.now.Sub(r.since), answerLateMost))
	}
}

// firstPollAfter is how long a worker's first poll waits for the answer to its start, which
// leaves a connection that the poll can use.
const firstPollAfter = 250 * time.Millisecond

// awaitsFirstStart reports whether all that a worker runs was ordered just now and is not
// answered yet.
func (c *Core) awaitsFirstStart(w *worker) bool {
	if !c.has(MechStartWindow) {
		return false
	}
	for _, r := range w.runs {
		if r.state != stRunOrdered || c.now.Sub(r.since) >= firstPollAfter {
			return false
		}
	}
	return true
}
