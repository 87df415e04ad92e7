package dispatch

import (
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// Gangs bound to one rack, and tasks with data on a rack, run several times as long elsewhere:
// they miss their objective and occupy capacity that several others could have used. On a nearly
// full deployment they therefore wait for their rack as long as it is expected to have capacity.
// Releasing them once they have waited for the time that they would lose elsewhere would release
// nearly all of them under the highest load.

// reclaimMargin is the part of the reclaim bound that is kept for the preemption, the orders, and
// one resent order.
const reclaimMargin = 1200 * time.Millisecond

const (
	// lightLoad and lightLoadWaitLimit apply to a deployment that is less than half in use:
	// work starts off its rack after a short wait. There the rack is unavailable for reasons
	// other than load, and running elsewhere takes capacity from no other work.
	lightLoad          = 0.5
	lightLoadWaitLimit = 2200 * time.Millisecond
	// overdueFactor is the multiple of its estimate after which a run's completion is no longer
	// counted on: estimates are off by half.
	overdueFactor = 2
)

// mayRunOffRack reports whether the step may start away from its rack, because no rack will
// hold it soon or because the deployment is lightly loaded. Work inside a guarantee waits as
// long as its start is still in time.
func (c *Core) mayRunOffRack(u *pendingStep, workers []*workerCapacity) bool {
	s := u.step.spec
	if !s.RackSensitive && s.DataRack == "" || !c.enabled(MechRackWait) || !c.rackWillFit(u, workers) {
		return true
	}
	waited := c.now.Sub(u.step.readySince)
	if u.rank.class == 0 {
		return c.reclaimDue(u)
	}
	since := c.lightLoadSince[u.queue.Pool]
	return !since.IsZero() && min(c.now.Sub(since), waited) > lightLoadWaitLimit
}

// rackWillFit reports whether the step will fit on its rack after the completions that can be
// counted on.
func (c *Core) rackWillFit(u *pendingStep, workers []*workerCapacity) bool {
	sums := make(map[string]int64)
	for _, r := range workers {
		sums[r.Rack] += c.slots(u, r, c.expectedCapacity(u, r))
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

// expectedCapacity returns the capacity that a worker will have for the step: all of it for
// urgent work, which can preempt; otherwise what is left once the runs with a predictable
// completion have ended. Long-running tasks have none, and overdue runs may have stalled.
func (c *Core) expectedCapacity(u *pendingStep, r *workerCapacity) workload.Resources {
	if u.rank.urgent() {
		return r.Capacity
	}
	if !r.overdueKnown {
		r.overdueKnown = true
		for _, run := range r.runs {
			if !run.stopping() && (run.task.step.spec.LongRunning || c.isOverdue(run)) {
				r.overdueUse = r.overdueUse.Add(run.need)
			}
		}
	}
	return r.Capacity.Sub(r.overdueUse)
}

func (c *Core) isOverdue(r *run) bool {
	return r.initialPercent == 0 && c.now.Sub(r.since) > overdueFactor*c.runDuration(r)
}

// recordLightLoad records since when each pool has been less than half in use.
func (c *Core) recordLightLoad(pools map[string][]*workerCapacity) {
	for pool, workers := range pools {
		switch {
		case loadOf(workers) >= lightLoad:
			delete(c.lightLoadSince, pool)
		case c.lightLoadSince[pool].IsZero():
			c.lightLoadSince[pool] = c.now
		}
	}
}
