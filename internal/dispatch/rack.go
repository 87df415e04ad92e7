package dispatch

import (
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file answers gangs that belong on one rack, and tasks whose data lies on
// one, on a deployment that is nearly full. Elsewhere they run several times as
// long, miss their objective, and take the room of as many others meanwhile. So
// they wait for their rack as long as it is going to have room. Letting them go once
// they have waited as long as they would take longer elsewhere lets nearly all go on
// the heaviest days.

// reclaimReserve is kept of the reclaim bound: stopping others, the orders, and
// one order that has to be repeated.
const reclaimReserve = 1200 * time.Millisecond

const (
	// quietLoad and quietPatience: on a deployment that is less than half in use,
	// work starts elsewhere after a while. Something else than load keeps its rack
	// from it there, and going elsewhere takes room from nobody.
	quietLoad     = 0.5
	quietPatience = 2200 * time.Millisecond
	// overdue is how many times its estimate a run may take before its end is not
	// counted on any more: estimates are off by half.
	overdue = 2
)

// mayGoFar reports whether the step may start away from its rack: because no rack
// will hold it soon, or because the deployment is nearly idle. Work inside a
// guarantee waits as long as its start is still in time.
func (c *Core) mayGoFar(u *pendingStep, rooms []*room) bool {
	s := u.step.spec
	if !s.OneRack && s.DataRack == "" || !c.has(MechRackPatience) || !c.rackWillHold(u, rooms) {
		return true
	}
	waited := c.now.Sub(u.step.readySince)
	if u.rank.class == 0 {
		return waited > c.bounds.Reclaim-c.bounds.StopTime-reclaimReserve
	}
	since := c.quietSince[u.queue.Pool]
	return !since.IsZero() && min(c.now.Sub(since), waited) > quietPatience
}

// rackWillHold reports whether the step will fit on its rack by the ends that can
// be counted on.
func (c *Core) rackWillHold(u *pendingStep, rooms []*room) bool {
	sums := make(map[string]int64)
	for _, r := range rooms {
		sums[r.Rack] += c.slots(u, r, c.prospect(u, r))
	}
	if rack := u.step.spec.DataRack; rack != "" {
		return sums[rack] > 0
	}
	for _, sum := range sums {
		if sum >= int64(len(u.tasks)) {
			return true
		}
	}
	return false
}

// prospect is the room that a worker will have for the step: all of it for urgent
// work, which has others stopped; else what it has once the runs have ended whose
// ends can be counted on. Lasting tasks have none, and runs that are overdue may
// have stalled.
func (c *Core) prospect(u *pendingStep, r *room) workload.Resources {
	if u.rank.urgent() {
		return r.Room
	}
	if !r.overdueKnown {
		r.overdueKnown = true
		for _, run := range r.runs {
			if !run.stopping() && (run.task.step.spec.Lasting || c.isOverdue(run)) {
				r.overdueUse = r.overdueUse.Add(run.need)
			}
		}
	}
	return r.Room.Sub(r.overdueUse)
}

func (c *Core) isOverdue(r *run) bool {
	return r.percentAtStart == 0 && c.now.Sub(r.since) > overdue*c.estimates.of(r.task.step)
}

// noteQuiet notes since when each pool is less than half in use.
func (c *Core) noteQuiet(pools map[string][]*room) {
	for pool, rooms := range pools {
		switch {
		case loadOf(rooms) >= quietLoad:
			delete(c.quietSince, pool)
		case c.quietSince[pool].IsZero():
			c.quietSince[pool] = c.now
		}
	}
}
