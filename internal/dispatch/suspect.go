package dispatch

import (
	"time"
)

// This file answers cuts: a rack, a switch or an availability zone that falls silent
// at once. Without it each worker there had to leave an order unanswered before it
// got no more: gangs are started on one after the other, and each waits for as long as
// the lease that the worker may have. With it the first silence makes the rack suspect,
// and a rack of which nobody answers its zone. A suspect worker is polled and gets
// nothing new until it has answered, which a healthy one does at once.

const (
	// suspectRackAfter is how long an order may go without an answer before its worker's
	// rack is suspect; slowed workers answer sooner.
	suspectRackAfter = 120 * time.Millisecond
	// suspicionSpreads is how long a rack may be suspect without any answer from it
	// before its zone is: time for a poll at a slowed worker.
	suspicionSpreads = 60 * time.Millisecond
	// suspectAgain is the least time between two suspicions of the same rack or zone, so that
	// one worker that answers nothing does not keep its neighbours busy.
	suspectAgain = 1 * time.Second
	// suspicionLasts is how long a suspicion is kept that nobody answered: after it every
	// worker there has a miss of its own.
	suspicionLasts = 3 * time.Second
)

// domain is a group of workers that fail together: a rack, or a zone where rack is
// empty.
type domain struct {
	zone, rack string
}

func (w *worker) rack() domain { return domain{w.Zone, w.Rack} }
func (w *worker) zone() domain { return domain{zone: w.Zone} }

// Suspect puts a zone suspect, because its instances do not answer.
func (c *Core) Suspect(zone string, now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	c.suspectDomain(domain{zone: zone})
}

// suspectDomain puts a domain suspect. Workers that name none are in none.
func (c *Core) suspectDomain(d domain) {
	if d == (domain{}) || c.now.Sub(c.suspects[d]) < suspectAgain {
		return
	}
	c.suspects[d] = c.now
}

// isSuspect reports whether a worker has not answered since its rack or zone is in
// doubt.
func (c *Core) isSuspect(w *worker) bool {
	if len(c.suspects) == 0 || !c.has(MechSuspectDomains) {
		return false
	}
	return c.suspects[w.rack()].After(w.heardAt) || c.suspects[w.zone()].After(w.heardAt)
}

// missed takes that a worker did not answer.
func (c *Core) missed(w *worker) {
	w.missed(c.now)
	c.suspectDomain(w.rack())
}

// spreadSuspicion puts the racks of orders without an answer suspect, and the zones of
// racks of which nobody answers, and drops suspicions that are old.
func (c *Core) spreadSuspicion() {
	c.ordered = stillOrdered(c.ordered)
	for _, r := range c.ordered {
		if c.now.Sub(r.since) < c.answerTime.atLeast(suspectRackAfter) {
			break
		}
		c.suspectDomain(r.worker.rack())
	}
	if len(c.suspects) == 0 {
		return
	}
	answered := make(map[domain]bool)
	for _, w := range c.fleet {
		if since := c.suspects[w.rack()]; !since.IsZero() && w.heardAt.After(since) {
			answered[w.rack()] = true
		}
	}
	for d, since := range c.suspects {
		age := c.now.Sub(since)
		switch {
		case age > suspicionLasts:
			delete(c.suspects, d)
		case d.rack != "" && age >= c.answerTime.atLeast(suspicionSpreads) && !answered[d]:
			c.suspectDomain(domain{zone: d.zone})
		}
	}
}

// stillOrdered drops the runs that are answered, of a list in the order of their
// starts.
func stillOrdered(list []*run) []*run {
	kept := list[:0]
	for _, r := range list {
		if r.state == stRunOrdered {
			kept = append(kept, r)
		}
	}
	clear(list[len(kept):])
	return kept
}
