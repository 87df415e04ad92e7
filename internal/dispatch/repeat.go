package dispatch

import (
	"time"
)

// This file answers orders that get lost: a worker that leaves a share of them
// unanswered, and carries these out seconds later or never. Without it the time-out of
// the call decides: a gang of which one start got no answer is stopped and started
// again, and each stop that was lost holds up the urgent work that it frees room for. An
// order that is repeated says the same once more: a run that is there stays the only
// one, and what a stop has closed stays closed.

const (
	// repeatAfter is how long an order may go without an answer before it is sent
	// again; slowed workers answer sooner.
	repeatAfter = 120 * time.Millisecond
	// stopAgainAfter is when a stop is sent again that was repeated already, or whose
	// worker answers nothing. It is longer than the time-out of the call.
	stopAgainAfter = 700 * time.Millisecond
	// repeatsMost repeats are allowed at once, and repeatsEarned more for each answer:
	// when nothing is answered, a cut or an overload of this instance is likelier than
	// many lost orders, and repeating all of them would add to it.
	repeatsMost   = 32
	repeatsEarned = 0.25
)

// repeatBudget bounds the orders that are sent again.
type repeatBudget float64

func (b *repeatBudget) answered() { *b = min(*b+repeatsEarned, repeatsMost) }

func (b *repeatBudget) take() bool {
	if *b < 1 {
		return false
	}
	*b--
	return true
}

// repeatStarts sends starts once more that are not answered.
func (c *Core) repeatStarts() {
	if !c.has(MechResends) || c.startsHeld {
		return
	}
	for _, r := range c.ordered {
		if c.now.Sub(r.since) < c.answerTime.atLeast(repeatAfter) {
			return
		}
		if r.copies == 1 && r.state == stRunOrdered && !c.isDrained(r.worker) && c.repeats.take() {
			c.sendStart(r, "sent again, no answer yet")
		}
	}
}

// resendStops sends stops again that are not answered.
func (c *Core) resendStops() {
	for _, w := range c.fleet {
		unanswered := w.inOrder(func(r *run) bool { return r.stopping() && r.state != stRunStopped })
		for _, r := range unanswered {
			if c.isStopDue(w, r) {
				c.sendStop(r)
			}
		}
	}
}

func (c *Core) isStopDue(w *worker, r *run) bool {
	waited := c.now.Sub(r.stopSent)
	if waited >= stopAgainAfter {
		return true
	}
	return waited >= repeatAfter && r.stops == 1 && w.misses == 0 && c.has(MechResends) && c.repeats.take()
}
