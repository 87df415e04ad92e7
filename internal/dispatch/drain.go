package dispatch

import (
	"fmt"
	"slices"
	"time"
)

// Operators drain availability zones for maintenance or before a shutdown. Nothing new starts
// on the workers of a drained zone and none of their capacity is counted or reserved; running
// tasks run to completion. Without this, work would keep arriving in a zone that is meant to
// become empty, and would be lost with it.

// SetDrainedZones replaces the set of availability zones that operators have drained.
func (c *Core) SetDrainedZones(zones []string, now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	c.drained = make(map[string]bool, len(zones))
	for _, zone := range zones {
		c.drained[zone] = true
	}
}

// HoldStarts suspends or resumes starts. A leader without recent information about drained
// zones must not start work anywhere.
func (c *Core) HoldStarts(hold bool) { c.startsHeld = hold }

// isDrained reports whether a worker is in a drained zone.
func (c *Core) isDrained(w *worker) bool { return c.drained[w.Zone] }

// drainedSuffix returns a suffix for the reason why a step waits, with the number of its pool's
// workers in drained zones; empty if there are none.
func (c *Core) drainedSuffix(pool string) string {
	count := 0
	var zones []string
	for _, w := range c.fleet {
		if w.Pool != pool || !c.isDrained(w) {
			continue
		}
		count++
		if !slices.Contains(zones, w.Zone) {
			zones = append(zones, w.Zone)
		}
	}
	if count == 0 {
		return ""
	}
	slices.Sort(zones)
	return fmt.Sprintf(", %d workers in drained zones %v", count, zones)
}
