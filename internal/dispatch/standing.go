package dispatch

import (
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// A step that waits beside free capacity for twice its need stands. Each hold has its reason, but
// none of them knows how long the others have lasted, and some end only by work that may not come:
// late jobs stood beside idle workers until the last urgent job had ended, and gangs beside workers
// that nothing but a single task could prove. Load: more work than fits, or many doubted workers.
// All holds together therefore keep a step from such capacity for a bounded time, a share of its
// latency objective. Then it starts in what the holds keep, those first that risk nothing of its own.

const (
	// standShare is the share of its latency objective for which a step stands at most, and maxStand
	// the longest time for any step.
	standShare = 0.2
	maxStand   = 2 * time.Second
	// overdueStand is the multiple of its bound after which a standing step comes first.
	overdueStand = 1.4
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
	all, sound := c.standsNow(u)
	s.stood = addStand(s.stood, elapsed, all)
	s.stoodBesideSound = addStand(s.stoodBesideSound, elapsed, sound)
	c.longestStands[u.queue.Pool] = max(c.longestStands[u.queue.Pool], s.stood)
}

func addStand(stood, elapsed time.Duration, stands bool) time.Duration {
	if stands {
		return stood + elapsed
	}
	return max(stood-elapsed, 0)
}

// LongestStands returns, by pool, the longest time for which a step of the last round has stood.
func (c *Core) LongestStands() map[string]time.Duration { return c.longestStands }

// standsNow reports whether nothing of a step's job runs although the free capacity of the pool holds
// a multiple of what the step needs, and whether that of its sound workers does. Each task of
// long-running work counts by itself.
func (c *Core) standsNow(u *pendingStep) (all, sound bool) {
	if u.step.job.runs > 0 && !u.step.spec.LongRunning {
		return false, false
	}
	free := c.freeSlotsFor(u)
	return free.all >= u.standNeed(), free.sound >= u.standNeed()
}

// standNeed returns the number of tasks that have to fit for the step to stand.
func (u *pendingStep) standNeed() int64 { return standFactor * int64(u.leastTasks()) }

// leastTasks returns the number of tasks that a step needs to start with.
func (u *pendingStep) leastTasks() int {
	if u.step.spec.Gang {
		return len(u.tasks)
	}
	return 1
}

// freeSlots is a number of a step's tasks that the free capacity of its pool holds.
type freeSlots struct {
	all int64
	// sound is the part on workers that are not doubted.
	sound int64
}

// freeSlotsFor returns the free capacity for a step, computed once per round for all steps with the
// same need.
func (c *Core) freeSlotsFor(u *pendingStep) freeSlots {
	spec := u.step.spec
	key := need{u.queue.Pool, spec.Label, spec.CountedResources(), spec.TargetMS > 0}
	if slots, known := c.freeByNeed[key]; known && spec.MaxPerWorker == 0 {
		return slots
	}
	var slots freeSlots
	for _, r := range c.pools[u.queue.Pool] {
		if !c.canRun(u, r) || r.flapping {
			continue
		}
		free := c.countSlots(u, r, r.freeCapacity())
		slots.all += free
		if !r.isDoubted() {
			slots.sound += free
		}
	}
	if spec.MaxPerWorker == 0 {
		c.freeByNeed[key] = slots
	}
	return slots
}

// isDoubted reports whether a worker is so likely to be unsound that only trials may use it freely.
func (r *workerCapacity) isDoubted() bool { return r.doubt.closed || r.doubt.unsound >= doubtedFrom }

// standBound returns the time for which holds may keep a step from free capacity.
func (c *Core) standBound(u *pendingStep) time.Duration {
	objective := u.dueBy.Sub(c.earliestStart(u.step))
	return min(time.Duration(standShare*float64(objective)), maxStand)
}

// standsTooLong observes a step, and reports whether it stands and has done so for longer than its
// bound.
func (c *Core) standsTooLong(u *pendingStep) bool {
	c.observeStand(u)
	bound := c.standBound(u)
	if 2*u.step.stood >= bound && c.enabled(MechStandBound) {
		c.awaitsStartIntent(u.step.job) // store it now, so that the start does not wait for it later
	}
	stands, _ := c.standsNow(u)
	return stands && u.step.stood >= bound
}

// placeOverdue places the steps that have stood for well over their bound before all others, if sound
// workers have the capacity beside which they stand. In its turn such a step finds that claimed for
// one urgent step after another.
func (c *Core) placeOverdue(pending []*pendingStep) {
	for _, u := range pending {
		if u.claimedCapacity != nil || float64(u.step.stoodBesideSound) < overdueStand*float64(c.standBound(u)) {
			continue
		}
		if _, stands := c.standsNow(u); !stands {
			continue
		}
		if first := u.least(); c.startOnSound(first) {
			u.tasks = u.tasks[len(first.tasks):]
		}
	}
}

// mayLeaveRack reports whether a step that stands may start away from its rack: also if it is late
// anyway, since waiting for the rack gains it nothing any more.
func (c *Core) mayLeaveRack(u *pendingStep, workers []*workerCapacity) bool {
	late := u.rank.class != 0 && u.rank.timeliness != onTime
	return late && c.enabled(MechStandBound) || c.mayRunOffRack(u, workers)
}

// isDueBehind reports whether a step behind many blocked ones has stood for too long and has not been
// looked at for a while.
func (c *Core) isDueBehind(u *pendingStep) bool {
	if !c.standsTooLong(u) || c.now.Sub(u.step.consideredAt) < maxStandGap {
		return false
	}
	u.step.consideredAt = c.now
	return true
}

// placeStanding starts a step that has stood for too long on sound workers, in capacity that holds
// keep from it. Of independent tasks it starts one, so that the holds go on for the rest. It returns
// true if anything has started. A step that fits on no sound workers is a candidate for a trial.
func (c *Core) placeStanding(u *pendingStep) bool {
	if !c.standsTooLong(u) {
		return false
	}
	first := u.least()
	if c.startOnSound(first) {
		u.tasks = u.tasks[len(first.tasks):]
		return true
	}
	c.trialCandidates = append(c.trialCandidates, first)
	return false
}

// least returns the part of a step that it needs to start with.
func (u *pendingStep) least() *pendingStep {
	first := *u
	first.tasks = u.tasks[:u.leastTasks()]
	return &first
}

// startOnSound starts a step on workers that are not doubted, also in capacity that is kept for
// others.
func (c *Core) startOnSound(u *pendingStep) bool {
	if !c.enabled(MechStandBound) {
		return false
	}
	return c.startInFree(u, func(r *workerCapacity) bool { return !r.isDoubted() })
}

// startInFree starts a step on matching workers, in any capacity that is free and not claimed.
func (c *Core) startInFree(u *pendingStep, match func(*workerCapacity) bool) bool {
	var workers []*workerCapacity
	candidates, capacityOf := c.pools[u.queue.Pool], func(r *workerCapacity) workload.Resources { return r.free }
	if !c.enabled(MechStandBound) {
		capacityOf = c.freeFor(u)
		if c.mustAvoidHeadroom(u) && c.enabled(MechHeadroom) {
			candidates = c.excludeHeadroom(u.queue.Pool, candidates)
		}
	}
	for _, r := range candidates {
		if c.canRun(u, r) && !r.flapping && match(r) {
			workers = append(workers, r)
		}
	}
	workers = c.workersWithTicket(u, workers)
	places := c.findPlaces(u, workers, c.mayLeaveRack(u, workers), capacityOf)
	if len(places) < len(u.tasks) {
		return false
	}
	c.startOrStore(u, places)
	return len(u.tasks[0].runs) > 0
}
