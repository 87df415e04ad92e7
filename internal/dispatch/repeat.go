package dispatch

import (
	"time"
)

// Orders are resent because workers may leave some of them unanswered and carry them out
// seconds later or never. Without resends the call timeout would decide: a gang with one
// unanswered start is stopped and started again, and each lost stop delays the urgent work that
// it frees capacity for. Resending an order is idempotent: an existing run stays the only one,
// and an attempt closed by a stop stays closed.

const (
	// resendAfter is how long an order may stay unanswered before it is sent again; even slow
	// workers answer sooner.
	resendAfter = 120 * time.Millisecond
	// resendStopAfter is the delay before a stop is sent again if it was resent before or its
	// worker is unresponsive. It is longer than the call timeout.
	resendStopAfter = 700 * time.Millisecond
	// maxResends is the number of resends allowed at once, and resendsPerAnswer the number
	// regained per answer: when nothing is answered, a network partition or an overload of this
	// instance is more likely than many lost orders, and resending all of them would add to it.
	maxResends       = 32
	resendsPerAnswer = 0.25
)

// resendBudget limits the orders that are sent again.
type resendBudget float64

func (b *resendBudget) earn() { *b = min(*b+resendsPerAnswer, maxResends) }

func (b *resendBudget) spend() bool {
	if *b < 1 {
		return false
	}
	*b--
	return true
}

// resendStarts resends unanswered starts once.
func (c *Core) resendStarts() {
	if !c.enabled(MechResends) || c.startsHeld {
		return
	}
	for _, r := range c.pendingStarts {
		if c.now.Sub(r.since) < c.responseTime.atLeast(resendAfter) {
			return
		}
		if r.startsSent == 1 && r.state == stRunOrdered && !c.isDrained(r.worker) && c.resends.spend() {
			c.sendStart(r, "sent again, no answer yet")
		}
	}
}

// resendStops resends unanswered stops.
func (c *Core) resendStops() {
	for _, w := range c.fleet {
		unanswered := w.sortedRuns(func(r *run) bool { return r.stopping() && r.state != stRunStopped })
		for _, r := range unanswered {
			if c.isStopDue(w, r) {
				c.sendStop(r)
			}
		}
	}
}

func (c *Core) isStopDue(w *worker, r *run) bool {
	waited := c.now.Sub(r.stopSentAt)
	if waited >= resendStopAfter {
		return true
	}
	return waited >= resendAfter && r.stopsSent == 1 && w.misses == 0 && c.enabled(MechResends) && c.resends.spend()
}
