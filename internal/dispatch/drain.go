package dispatch

import (
	"fmt"
	"slices"
	"time"
)

// This file answers availability zones that operators drain, for upkeep or before a
// switch-off. Nothing new starts on the workers of such a zone, and none of their room
// is counted on, reserved or kept; what runs there runs to its end. Without it work goes
// on arriving in a zone that is to be empty, and is lost with it.

// Drain takes the availability zones that operators have drained: all of them.
func (c *Core) Drain(zones []string, now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	c.drained = make(map[string]bool, len(zones))
	for _, zone := range zones {
		c.drained[zone] = true
	}
}

// HoldStarts keeps the core from starting anything, or lets it start work again. A leader
// that has not heard for long which zones are drained must not start work anywhere.
func (c *Core) HoldStarts(hold bool) { c.startsHeld = hold }

// isDrained reports whether a worker lies in a zone that is drained.
func (c *Core) isDrained(w *worker) bool { return c.drained[w.Zone] }

// drainedNote names, for the reason why a step waits, how many of its pool's workers lie
// in drained zones; empty if none does.
func (c *Core) drainedNote(pool string) string {
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
