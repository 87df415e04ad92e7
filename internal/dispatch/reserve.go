package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// release is the capacity that a run returns when it ends.
type release struct {
	capacity *workerCapacity
	run      *run
	at       time.Time
	need     workload.Resources
}

// reservation is the capacity that a step will have after expected completions.
type reservation struct {
	workers        []*workerCapacity
	futureCapacity map[*workerCapacity]workload.Resources
	at             time.Time
}

// reserveEarliest reserves capacity for a step that does not fit, from the earliest time at
// which enough of its workers will have it according to the estimated completions. Without it
// large gangs starve behind small work, which fills every gap as soon as it opens. It returns
// false if its workers will never have enough.
func (c *Core) reserveEarliest(u *pendingStep, workers []*workerCapacity, offRack bool) bool {
	r := c.earliestReservation(u, workers, offRack)
	if r != nil {
		c.reserve(u, r)
	}
	return r != nil
}

// stopMargin, added to the stop time, is how long before its latest start an urgent step ceases to
// wait for completions: if the runs do not end, they still have to be stopped.
const stopMargin = 400 * time.Millisecond

// maxWaitAhead, added to the stop time, limits how far ahead completions are trusted when
// urgent work waits for them: stopping takes time as well, and an estimate of half a second is
// accurate enough.
const maxWaitAhead = 500 * time.Millisecond

// waitForCompletions reserves capacity for an urgent step that will have it in time without
// preemption, and returns false otherwise. Preempted work is lost, which a step with enough
// time avoids. Estimates can be wrong, so the decision is made again in every round.
func (c *Core) waitForCompletions(u *pendingStep, workers []*workerCapacity, offRack bool) bool {
	latest := u.dueBy.Add(-u.duration)
	if u.rank.class == 0 {
		if bound := u.step.readySince.Add(c.bounds.MaxReclaimTime - reclaimMargin); bound.Before(latest) || u.rank.timeliness != onTime {
			latest = bound
		}
	}
	latest = latest.Add(-c.bounds.MaxStopTime - stopMargin)
	if !c.now.Before(latest) {
		return false
	}
	r := c.earliestReservation(u, workers, offRack)
	if r == nil || r.at.After(latest) || r.at.Sub(c.now) > c.bounds.MaxStopTime+maxWaitAhead {
		return false
	}
	c.reserve(u, r)
	return true
}

// earliestReservation returns the earliest reservation for the step, on one rack if it is bound
// to one.
func (c *Core) earliestReservation(u *pendingStep, workers []*workerCapacity, offRack bool) *reservation {
	if !u.step.spec.RackSensitive || offRack {
		return c.earliestReservationOn(u, workers)
	}
	var best *reservation
	for _, members := range byRack(workers) {
		r := c.earliestReservationOn(u, members)
		if r != nil && (best == nil || r.at.Before(best.at) || r.at.Equal(best.at) && r.workers[0].position < best.workers[0].position) {
			best = r
		}
	}
	return best
}

func (c *Core) earliestReservationOn(u *pendingStep, workers []*workerCapacity) *reservation {
	c.reservationSearches++
	r := &reservation{at: c.now, futureCapacity: make(map[*workerCapacity]workload.Resources, len(workers))}
	total := int64(0)
	for _, candidate := range workers {
		if !candidate.reservedFrom.IsZero() {
			continue
		}
		candidate.lastSearch = c.reservationSearches
		r.workers = append(r.workers, candidate)
		r.futureCapacity[candidate] = candidate.freeSoon
		total += c.slots(u, candidate, candidate.freeSoon)
	}
	wanted := int64(len(u.tasks))
	for _, upcoming := range c.releases(u.queue.Pool) {
		if total >= wanted {
			break
		}
		if upcoming.capacity.lastSearch != c.reservationSearches || upcoming.run.stopping() {
			continue // not one of the workers, or ordered to stop in this round
		}
		before := c.slots(u, upcoming.capacity, r.futureCapacity[upcoming.capacity])
		r.futureCapacity[upcoming.capacity] = r.futureCapacity[upcoming.capacity].Add(upcoming.need)
		total += c.slots(u, upcoming.capacity, r.futureCapacity[upcoming.capacity]) - before
		r.at = upcoming.at
	}
	if total < wanted {
		return nil
	}
	return r
}

// releases returns the expected releases on a pool's workers, earliest first, computed once per
// round.
func (c *Core) releases(pool string) []release {
	if list, known := c.upcomingReleases[pool]; known {
		return list
	}
	var list []release
	for _, r := range c.pools[pool] {
		for _, run := range r.runs {
			if !run.stopping() && !run.task.step.spec.LongRunning {
				list = append(list, release{r, run, c.now.Add(c.remaining(run)), run.need})
			}
		}
	}
	slices.SortFunc(list, func(a, b release) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.capacity.position, b.capacity.position))
	})
	if c.upcomingReleases == nil {
		c.upcomingReleases = make(map[string][]release)
	}
	c.upcomingReleases[pool] = list
	return list
}

// reserve reserves slots for a step on the workers that will have them, those with the least
// spare capacity first.
func (c *Core) reserve(u *pendingStep, res *reservation) {
	counts := make([]int64, len(res.workers))
	for i, r := range res.workers {
		counts[i] = c.slots(u, r, res.futureCapacity[r])
	}
	for _, r := range c.pick(u, res.workers, counts, len(u.tasks), func(*workerCapacity) bool { return true }) {
		r.reserved = r.reserved.Add(u.step.spec.CountedResources())
		r.reservedFrom = res.at
	}
}
