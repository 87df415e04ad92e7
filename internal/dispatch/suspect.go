package dispatch

import (
	"time"
)

// Suspicion handles failures of a whole rack, switch or availability zone. Without it every
// worker there had to miss an order before it got no more work: gangs were started on one
// worker after another, and each waited for as long as the worker's lease could last. The first
// unanswered order instead makes the rack suspect, and a rack without any answer makes its zone
// suspect. A suspect worker is polled and gets no new work until it has answered, which a
// healthy one does immediately.

const (
	// suspectRackAfter is how long a start may stay unanswered before its worker's rack is
	// suspect; even slow workers answer sooner.
	suspectRackAfter = 120 * time.Millisecond
	// suspicionSpreadDelay is how long a rack may be suspect without any answer before its zone
	// is suspect: long enough for a poll of a slow worker.
	suspicionSpreadDelay = 60 * time.Millisecond
	// suspicionInterval is the minimum time between two suspicions of the same rack or zone, so
	// that one unresponsive worker does not cause constant polls of its neighbours.
	suspicionInterval = 1 * time.Second
	// suspicionLifetime is how long a suspicion is kept: after that time every worker there has
	// either answered or missed a poll itself.
	suspicionLifetime = 3 * time.Second
)

// domain is a group of workers that fail together: a rack, or a zone if rack is empty.
type domain struct {
	zone, rack string
}

func (w *worker) rackDomain() domain { return domain{w.Zone, w.Rack} }
func (w *worker) zoneDomain() domain { return domain{zone: w.Zone} }

// SuspectZone marks a zone as suspect because its instances do not answer.
func (c *Core) SuspectZone(zone string, now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	c.suspectDomain(domain{zone: zone})
}

// suspectDomain marks a domain as suspect. Workers without a rack or zone belong to no domain.
func (c *Core) suspectDomain(d domain) {
	if d == (domain{}) || c.now.Sub(c.suspects[d]) < suspicionInterval {
		return
	}
	c.suspects[d] = c.now
}

// isSuspect reports whether a worker has not answered since its rack or zone became suspect.
func (c *Core) isSuspect(w *worker) bool {
	if len(c.suspects) == 0 || !c.enabled(MechSuspectDomains) {
		return false
	}
	return c.suspects[w.rackDomain()].After(w.lastContact) || c.suspects[w.zoneDomain()].After(w.lastContact)
}

// recordMiss records that a worker did not answer.
func (c *Core) recordMiss(w *worker) {
	w.recordMiss(c.now)
	c.suspectDomain(w.rackDomain())
}

// spreadSuspicion marks the racks of unanswered starts as suspect, and the zones of suspect racks
// without any answer, and drops old suspicions.
func (c *Core) spreadSuspicion() {
	c.pendingStarts = pruneAnswered(c.pendingStarts)
	for _, r := range c.pendingStarts {
		if c.now.Sub(r.since) < c.responseTime.atLeast(suspectRackAfter) {
			break
		}
		c.suspectDomain(r.worker.rackDomain())
	}
	if len(c.suspects) == 0 {
		return
	}
	answered := make(map[domain]bool)
	for _, w := range c.fleet {
		if since := c.suspects[w.rackDomain()]; !since.IsZero() && w.lastContact.After(since) {
			answered[w.rackDomain()] = true
		}
	}
	for d, since := range c.suspects {
		age := c.now.Sub(since)
		switch {
		case age > suspicionLifetime:
			delete(c.suspects, d)
		case d.rack != "" && age >= c.responseTime.atLeast(suspicionSpreadDelay) && !answered[d]:
			c.suspectDomain(domain{zone: d.zone})
		}
	}
}

// pruneAnswered removes answered runs from a list ordered by start time.
func pruneAnswered(list []*run) []*run {
	kept := list[:0]
	for _, r := range list {
		if r.state == stRunOrdered {
			kept = append(kept, r)
		}
	}
	clear(list[len(kept):])
	return kept
}
