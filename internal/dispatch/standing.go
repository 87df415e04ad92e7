package dispatch

import (
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// A step that waits beside free capacity for twice its need stands. Load: many doubted workers, and
// work that none of them may start; gangs stood beside workers that nothing but a single task could
// prove. A step therefore stands for a bounded time, a share of its latency objective.

const (
	// standShare is the share of its latency objective for which a step stands at most, and maxStand
	// the longest time for any step.
	standShare = 0.2
	maxStand   = 2 * time.Second
	// maxStandGap is the longest time between two rounds that counts as standing.
	maxStandGap = 500 * time.Millisecond
	// standFactor is the multiple of a step's need that has to be free beside it.
	standFactor = 2
)

// need identifies steps that fit into the same free capacity.
type need struct {
	pool, label string
	resources   workload.Resources
	serving     bool
}

// observeStand adds the time since the last round to that for which a step has stood, or subtracts
// it if the step does not stand, so that short changes of the free capacity make no difference.
func (c *Core) observeStand(u *pendingStep) {
	s := u.step
	elapsed := min(c.now.Sub(s.standSeenAt), maxStandGap)
	s.standSeenAt = c.now
	if c.standsNow(u) {
		s.stood += elapsed
	} else {
		s.stood = max(s.stood-elapsed, 0)
	}
}

// standsNow reports whether nothing of a step's job runs although the free capacity of the pool
// holds a multiple of what the step needs. Each task of long-running work counts by itself.
func (c *Core) standsNow(u *pendingStep) bool {
	if u.step.job.runs > 0 && !u.step.spec.LongRunning {
		return false
	}
	return c.freeSlots(u) >= standFactor*int64(u.leastTasks())
}

// leastTasks returns the number of tasks that a step needs to start with.
func (u *pendingStep) leastTasks() int {
	if u.step.spec.Gang {
		return len(u.tasks)
	}
	return 1
}

// freeSlots returns the number of a step's tasks that the free capacity of its pool holds, computed
// once per round for all steps with the same need.
func (c *Core) freeSlots(u *pendingStep) int64 {
	spec := u.step.spec
	key := need{u.queue.Pool, spec.Label, spec.CountedResources(), spec.TargetMS > 0}
	if slots, known := c.freeByNeed[key]; known && spec.MaxPerWorker == 0 {
		return slots
	}
	slots := int64(0)
	for _, r := range c.pools[u.queue.Pool] {
		if c.canRun(u, r) && !r.flapping {
			slots += c.countSlots(u, r, r.freeCapacity())
		}
	}
	if spec.MaxPerWorker == 0 {
		c.freeByNeed[key] = slots
	}
	return slots
}

// standBound returns the time for which holds may keep a step from free capacity.
func (c *Core) standBound(u *pendingStep) time.Duration {
	objective := u.dueBy.Sub(c.earliestStart(u.step))
	return min(time.Duration(standShare*float64(objective)), maxStand)
}

// placeStanding starts a step that has stood for too long as a trial of doubted workers. Of
// independent tasks it starts one. It returns true if anything has started.
func (c *Core) placeStanding(u *pendingStep) bool {
	c.observeStand(u)
	if u.step.stood < c.standBound(u) || !c.standsNow(u) {
		return false
	}
	first := *u
	first.tasks = u.tasks[:u.leastTasks()]
	started := c.startTrial(&first)
	if started {
		u.tasks = u.tasks[len(first.tasks):]
	}
	return started
}

// startInFree starts a step on any workers with free capacity, doubted or not.
func (c *Core) startInFree(u *pendingStep) bool {
	var workers []*workerCapacity
	candidates := c.pools[u.queue.Pool]
	if c.mustAvoidHeadroom(u) && c.enabled(MechHeadroom) {
		candidates = c.excludeHeadroom(u.queue.Pool, candidates)
	}
	for _, r := range candidates {
		if c.canRun(u, r) && !r.flapping {
			workers = append(workers, r)
		}
	}
	workers = c.workersWithTicket(u, workers)
	places := c.findPlaces(u, workers, c.mayRunOffRack(u, workers), c.freeFor(u))
	if len(places) < len(u.tasks) {
		return false
	}
	c.startOrStore(u, places)
	return len(u.tasks[0].runs) > 0
}
