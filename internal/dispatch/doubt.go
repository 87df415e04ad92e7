package dispatch

import (
	"time"
)

// This file answers cuts: a rack, a switch or an availability zone that falls silent
// at once. Without it each worker there had to leave an order unanswered before it
// got no more: with a zone of 16 workers cut off, gangs were started on the next of
// them for four seconds, and each was stuck for as long as the lease that the worker
// might have. With it the first silence puts the rack in doubt, and a rack of which
// nobody answers its zone. A worker in doubt is looked at and gets nothing new until
// it has answered, which takes a healthy one some milliseconds.

const (
	// doubtAfter is how long an order may go without an answer before its worker's
	// rack is in doubt: workers answer within 10 ms, and within 100 ms when they are
	// slowed.
	doubtAfter = 120 * time.Millisecond
	// doubtSpreads is how long a rack may be in doubt without any answer from it
	// before its zone is: time for a look at a slowed worker.
	doubtSpreads = 60 * time.Millisecond
	// doubtAgain is the least time between two doubts of the same rack or zone, so that
	// one worker that answers nothing does not keep its neighbours busy.
	doubtAgain = 1 * time.Second
	// doubtLasts is how long a doubt is kept that nobody answered: after it every
	// worker there has a miss of its own.
	doubtLasts = 3 * time.Second
)

// domain is a group of workers that fail together: a rack, or a zone where rack is
// empty.
type domain struct {
	zone, rack string
}

func (w *worker) rack() domain { return domain{w.Zone, w.Rack} }
func (w *worker) zone() domain { return domain{zone: w.Zone} }

// Doubt puts a zone in doubt, because its instances do not answer.
func (c *Core) Doubt(zone string, now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	c.doubt(domain{zone: zone})
}

// doubt puts a domain in doubt. Workers that name none are in none.
func (c *Core) doubt(d domain) {
	if d == (domain{}) || c.now.Sub(c.doubts[d]) < doubtAgain {
		return
	}
	c.doubts[d] = c.now
}

// inDoubt reports whether a worker has not answered since its rack or zone is in
// doubt.
func (c *Core) inDoubt(w *worker) bool {
	if len(c.doubts) == 0 || !c.has(MechDoubts) {
		return false
	}
	return c.doubts[w.rack()].After(w.heardAt) || c.doubts[w.zone()].After(w.heardAt)
}

// missed takes that a worker did not answer.
func (c *Core) missed(w *worker) {
	w.missed(c.now)
	c.doubt(w.rack())
}

// spreadDoubts puts the racks of orders without an answer in doubt, and the zones of
// racks of which nobody answers, and drops doubts that are old.
func (c *Core) spreadDoubts() {
	c.ordered = stillOrdered(c.ordered)
	for _, r := range c.ordered {
		if c.now.Sub(r.since) < doubtAfter {
			break
		}
		c.doubt(r.worker.rack())
	}
	if len(c.doubts) == 0 {
		return
	}
	answered := make(map[domain]bool)
	for _, w := range c.fleet {
		if since := c.doubts[w.rack()]; !since.IsZero() && w.heardAt.After(since) {
			answered[w.rack()] = true
		}
	}
	for d, since := range c.doubts {
		age := c.now.Sub(since)
		switch {
		case age > doubtLasts:
			delete(c.doubts, d)
		case d.rack != "" && age >= doubtSpreads && !answered[d]:
			c.doubt(domain{zone: d.zone})
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
