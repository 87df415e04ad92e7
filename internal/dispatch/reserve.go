package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// release is room that a run gives back when it ends.
type release struct {
	room *room
	at   time.Time
	need workload.Resources
}

// keep reserves room in time for a unit that does not fit: the earliest moment
// at which enough of its workers will have room, by the estimated ends of what
// runs. Without it large gangs starve behind small work, which fills every gap
// as soon as it opens.
func (c *Core) keep(u *unit, rooms []*room) {
	var candidates []*room
	for _, r := range rooms {
		if r.keptFrom.IsZero() {
			candidates = append(candidates, r)
		}
	}
	future := make(map[*room]workload.Resources, len(candidates))
	total := int64(0)
	for _, r := range candidates {
		future[r] = r.soon
		total += c.slots(u, r, r.soon)
	}
	at := c.now
	for _, end := range c.releases(candidates) {
		if total >= int64(len(u.tasks)) {
			break
		}
		before := c.slots(u, end.room, future[end.room])
		future[end.room] = future[end.room].Add(end.need)
		total += c.slots(u, end.room, future[end.room]) - before
		at = end.at
	}
	if total < int64(len(u.tasks)) {
		return
	}
	c.reserve(u, candidates, future, at)
}

// releases lists the coming ends on workers, earliest first.
func (c *Core) releases(rooms []*room) []release {
	var list []release
	for _, r := range rooms {
		for _, run := range r.runs {
			if !run.stopping && !run.task.step.spec.Lasting {
				list = append(list, release{r, c.now.Add(c.estimates.left(run, c.now)), run.need})
			}
		}
	}
	slices.SortFunc(list, func(a, b release) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.room.order, b.room.order))
	})
	return list
}

// reserve keeps slots for a unit on the workers that will have them, those with
// the least room to spare first.
func (c *Core) reserve(u *unit, rooms []*room, future map[*room]workload.Resources, at time.Time) {
	counts := make([]int64, len(rooms))
	for i, r := range rooms {
		counts[i] = c.slots(u, r, future[r])
	}
	for _, s := range pick(u, rooms, counts, len(u.tasks), func(*room) bool { return true }) {
		s.worker.kept = s.worker.kept.Add(u.step.spec.Counted())
		s.worker.keptFrom = at
	}
}
