package dispatch

import "time"

// This file answers rolling replacements of workers: the older ones leave in turn while
// others join. Without it gangs are started on workers some of which leave before they
// end; then the whole gang starts anew, often on such workers again. So while workers
// leave, work goes first to those that have joined since.

const (
	// replacingFor is how long after a worker said that it leaves others are expected to
	// follow.
	replacingFor = 10 * time.Second
	// joinsBefore is how long before the first one leaves its replacement may have joined.
	joinsBefore = 5 * time.Second
)

// replacement is a time in which workers of a pool leave one after the other.
type replacement struct {
	since, last time.Time
}

// noteLeaving takes that a worker says that it leaves.
func (c *Core) noteLeaving(w *worker) {
	r := c.replacing[w.Pool]
	if c.now.Sub(r.last) > replacingFor {
		r.since = c.now
	}
	r.last = c.now
	c.replacing[w.Pool] = r
}

// markOutdated marks the rooms of workers that were there before others began to leave,
// if some have joined since.
func (c *Core) markOutdated(pool string, rooms []*room) {
	r, known := c.replacing[pool]
	if !known || c.now.Sub(r.last) > replacingFor || !c.has(MechAvoidOutdated) {
		return
	}
	for _, room := range rooms {
		room.outdated = room.joinedAt.Before(r.since.Add(-joinsBefore))
	}
}

// compareOutdated puts workers that are expected to stay first.
func compareOutdated(a, b *room) int {
	switch {
	case a.outdated == b.outdated:
		return 0
	case b.outdated:
		return -1
	}
	return 1
}
