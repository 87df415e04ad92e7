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
	run  *run
	at   time.Time
	need workload.Resources
}

// reservation is room that a step will have by the ends of what runs.
type reservation struct {
	rooms  []*room
	future map[*room]workload.Resources
	at     time.Time
}

// keep reserves room in time for a step that does not fit: the earliest moment
// at which enough of its workers will have room, by the estimated ends of what
// runs. Without it large gangs starve behind small work, which fills every gap
// as soon as it opens.
// False if its workers will never have room by those ends.
func (c *Core) keep(u *pendingStep, rooms []*room, far bool) bool {
	r := c.earliest(u, rooms, far)
	if r != nil {
		c.reserve(u, r)
	}
	return r != nil
}

// stopReserve is what is kept of an urgent step's time when it waits for others
// to end by themselves: if they do not, they still have to be stopped.
const stopReserve = 400 * time.Millisecond

// waitOutAhead, added to the time that a stop takes, bounds how far ahead ends
// are believed when urgent work waits for them: stopping takes time as well, and
// an estimate of half a second is off by little.
const waitOutAhead = 500 * time.Millisecond

// waitForEnds reserves room for an urgent step that will have it in time without
// stopping anyone; false if it will not. What is stopped is lost, and a step
// that has time to spare saves it. Estimates are wrong at times: the decision is
// made anew in every round.
func (c *Core) waitForEnds(u *pendingStep, rooms []*room, far bool) bool {
	latest := u.dueBy.Add(-u.length)
	if u.rank.class == 0 {
		if bound := u.step.readySince.Add(c.bounds.Reclaim - reclaimReserve); bound.Before(latest) || u.rank.hope != onTime {
			latest = bound
		}
	}
	latest = latest.Add(-c.bounds.StopTime - stopReserve)
	if !c.now.Before(latest) {
		return false
	}
	r := c.earliest(u, rooms, far)
	if r == nil || r.at.After(latest) || r.at.Sub(c.now) > c.bounds.StopTime+waitOutAhead {
		return false
	}
	c.reserve(u, r)
	return true
}

// earliest is the first moment at which the step fits, on one rack if it belongs
// on one.
func (c *Core) earliest(u *pendingStep, rooms []*room, far bool) *reservation {
	if !u.step.spec.OneRack || far {
		return c.earliestOn(u, rooms)
	}
	var best *reservation
	for _, members := range byRack(rooms) {
		r := c.earliestOn(u, members)
		if r != nil && (best == nil || r.at.Before(best.at) || r.at.Equal(best.at) && r.rooms[0].order < best.rooms[0].order) {
			best = r
		}
	}
	return best
}

func (c *Core) earliestOn(u *pendingStep, rooms []*room) *reservation {
	c.searches++
	r := &reservation{at: c.now, future: make(map[*room]workload.Resources, len(rooms))}
	total := int64(0)
	for _, candidate := range rooms {
		if !candidate.keptFrom.IsZero() {
			continue
		}
		candidate.searchedBy = c.searches
		r.rooms = append(r.rooms, candidate)
		r.future[candidate] = candidate.soon
		total += c.slots(u, candidate, candidate.soon)
	}
	wanted := int64(len(u.tasks))
	for _, end := range c.releases(u.queue.Pool) {
		if total >= wanted {
			break
		}
		if end.room.searchedBy != c.searches || end.run.stopping() {
			continue // not among the rooms, or told to stop in this round
		}
		before := c.slots(u, end.room, r.future[end.room])
		r.future[end.room] = r.future[end.room].Add(end.need)
		total += c.slots(u, end.room, r.future[end.room]) - before
		r.at = end.at
	}
	if total < wanted {
		return nil
	}
	return r
}

// releases lists the coming ends on a pool's workers, earliest first. They are worked
// out once a round.
func (c *Core) releases(pool string) []release {
	if list, known := c.coming[pool]; known {
		return list
	}
	var list []release
	for _, r := range c.pools[pool] {
		for _, run := range r.runs {
			if !run.stopping() && !run.task.step.spec.Lasting {
				list = append(list, release{r, run, c.now.Add(c.estimates.left(run, c.now)), run.need})
			}
		}
	}
	slices.SortFunc(list, func(a, b release) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.room.order, b.room.order))
	})
	if c.coming == nil {
		c.coming = make(map[string][]release)
	}
	c.coming[pool] = list
	return list
}

// reserve keeps slots for a step on the workers that will have them, those with
// the least room to spare first.
func (c *Core) reserve(u *pendingStep, res *reservation) {
	counts := make([]int64, len(res.rooms))
	for i, r := range res.rooms {
		counts[i] = c.slots(u, r, res.future[r])
	}
	for _, r := range c.pick(u, res.rooms, counts, len(u.tasks), func(*room) bool { return true }) {
		r.kept = r.kept.Add(u.step.spec.Counted())
		r.keptFrom = res.at
	}
}
