package dispatch

import (
	"fmt"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// place decides on all work that could run now.
func (c *Core) place() {
	pending := c.pendingSteps()
	clear(c.waiting)
	clear(c.longestStands)
	if len(pending) == 0 {
		return
	}
	pools := c.capacities()
	c.pools = pools
	c.markFlapping(pools)
	c.recordUrgentUsage(pools)
	c.observeDemand(pending, pools)
	c.recordLightLoad(pools)
	c.applyRestartClaims(pools)
	c.applyClaims(pending, pools)
	c.infeasible = make(infeasible)
	c.freeByNeed = make(map[need]freeSlots)
	c.settleTrials()
	c.trialCandidates = nil
	c.upcomingReleases = nil
	c.gangPlans = 0
	c.placeOverdue(pending)
	blocked, behind := 0, 0
	startsLeft, pendingBefore := c.startsLeft(), len(c.pendingStarts)
	maxReservations := int(c.numberOr(NumReservations, maxReservingSteps))
	for _, u := range pending {
		if len(c.pendingStarts)-pendingBefore >= startsLeft {
			break
		}
		if len(u.tasks) == 0 {
			continue // placed as overdue
		}
		considered := blocked < maxConsidered
		if !considered && behind < maxConsideredBehind && c.isDueBehind(u) {
			behind++
			considered = true
		}
		if considered && c.placeStep(u, pools[u.queue.Pool], blocked < maxReservations) {
			continue
		}
		blocked++
		c.waiting[u.queue.Priority]++
	}
	c.startTrials()
}

const (
	// maxReservingSteps is the maximum number of steps that may reserve capacity. More reservations
	// would leave most of the capacity to work that cannot start for a long time.
	maxReservingSteps = 4
	// maxConsidered is the number of blocked steps after which a round places nothing more but up
	// to maxConsideredBehind steps that have stood for too long: it bounds the duration of a round
	// when hundreds of jobs wait.
	maxConsidered       = 40
	maxConsideredBehind = 8
)

// placeStep starts the tasks of a step that fit. For the rest, the step waits for capacity that
// is being freed, preempts lower-priority work if it is urgent, or reserves capacity. It
// returns false if any task of the step waits.
func (c *Core) placeStep(u *pendingStep, workers []*workerCapacity, mayReserve bool) bool {
	if u.claimedCapacity != nil {
		return c.placeClaimed(u, workers)
	}
	stepShape, cacheable := c.shapeOf(u)
	if cacheable && !mayReserve && c.infeasible.rulesOut(stepShape, u) {
		if c.placeStanding(u) {
			return len(u.tasks) == 0
		}
		c.recordReason(u, causeNoCapacity)
		return false
	}
	if c.mustAvoidHeadroom(u) && c.enabled(MechHeadroom) {
		workers = c.excludeHeadroom(u.queue.Pool, workers)
	}
	workers = c.workersWithTicket(u, c.eligible(u, workers))
	if c.placeInTime(u, workers) {
		return len(u.tasks) == 0
	}
	offRack := c.mayRunOffRack(u, workers)
	places := c.findPlaces(u, workers, offRack, c.freeFor(u))
	if len(places) == len(u.tasks) || !u.step.spec.Gang && len(places) > 0 {
		c.startOrStore(u, places)
		u.tasks = u.tasks[len(places):]
	}
	if len(u.tasks) == 0 || c.placeStanding(u) {
		return len(u.tasks) == 0
	}
	if c.mayLogReason(u.step) {
		u.held = c.heldCapacity(u) // before the step's own reservations count
	}
	cause := c.arrangeCapacity(u, workers, offRack, mayReserve)
	if cacheable && (cause == causeNoCapacity || cause == causeNoRackCapacity) {
		c.infeasible.record(stepShape, u)
	}
	c.recordReason(u, cause)
	return false
}

// The causes of a wait that ends soon.
const (
	causeBeingFreed = "room is being freed"
	causeEndInTime  = "others end in time"
	causePreempted  = "others are stopped"
)

// The causes of a wait that apply to all steps of a shape.
const (
	causeNoCapacity     = "no room"
	causeNoRackCapacity = "no room where it belongs"
)

// placeClaimed starts a gang in its claimed capacity once all of it is free.
func (c *Core) placeClaimed(u *pendingStep, workers []*workerCapacity) bool {
	u.releaseClaim()
	candidates := c.workersWithTicket(u, c.eligible(u, workers))
	if fastEnough := c.inTime(u, candidates, speedLikely); fastEnough != nil {
		candidates = fastEnough
	}
	places := c.findPlaces(u, candidates, false, c.freeFor(u))
	if len(places) == len(u.tasks) {
		c.startOrStore(u, places)
		return true
	}
	if allFree(u.claimedCapacity, u.step.spec.CountedResources()) {
		c.startOrStore(u, u.claimedCapacity)
		return true
	}
	holdCapacity(u, u.claimedCapacity)
	c.recordReason(u, causeBeingFreed)
	return false
}

// arrangeCapacity arranges future capacity for a step that does not fit now, and returns the
// cause of its wait.
func (c *Core) arrangeCapacity(u *pendingStep, workers []*workerCapacity, offRack, mayReserve bool) string {
	futurePlaces := c.findPlaces(u, workers, offRack, func(r *workerCapacity) workload.Resources { return r.freeSoon })
	switch {
	case len(futurePlaces) == len(u.tasks):
		holdCapacity(u, futurePlaces)
		if u.rank.urgent() {
			c.awaitsStartIntent(u.step.job) // store it now, so that the start does not wait for it later
			c.claimCapacity(u, claimedPlaces(futurePlaces))
		}
		return causeBeingFreed
	case u.rank.urgent():
		if c.enabled(MechWaitForCompletions) && c.waitForCompletions(u, workers, offRack) {
			return causeEndInTime
		}
		if c.preemptFor(u, workers, offRack, futurePlaces) {
			return causePreempted
		}
		return "nothing may be stopped for it"
	case len(workers) == 0:
		return "no worker that may run it"
	case mayReserve && u.step.spec.Gang && c.enabled(MechReservations) && c.reserveEarliest(u, workers, offRack):
		return "room is kept for it"
	case !offRack:
		return causeNoRackCapacity
	}
	return causeNoCapacity
}

// startAt starts the first tasks of a step, one on each entry of places.
func (c *Core) startAt(u *pendingStep, places []*workerCapacity) {
	delete(c.upcomingReleases, u.queue.Pool) // the new runs change the expected releases
	var g *gang
	attempt := int64(0)
	if u.step.spec.Gang {
		attempt = c.nextAttemptOf(u.tasks)
		g = &gang{attempt: attempt}
		u.step.gang, u.step.claim = g, nil
	}
	u.step.stood, u.step.stoodBesideSound = 0, 0
	reason := fmt.Sprintf("rank %d, due in %d ms, waited %d ms", u.rank.class,
		u.dueBy.Sub(c.now).Milliseconds(), c.now.Sub(u.step.readySince).Milliseconds())
	if c.speeds.unequal {
		reason += c.describeSpeeds(u, places)
	}
	var first *FirstStart
	if !u.step.job.started {
		first = &FirstStart{Guaranteed: u.rank.class == 0, Priority: u.queue.Priority, Waited: c.now.Sub(c.earliestStart(u.step))}
	}
	for i, r := range places {
		if g == nil {
			attempt = c.nextAttemptOf(u.tasks[i : i+1])
		}
		need := u.step.spec.CountedResources()
		r.free = r.free.Sub(need)
		r.freeSoon = r.freeSoon.Sub(need)
		if u.step.job.guaranteed {
			r.guaranteedUse = r.guaranteedUse.Add(need)
		}
		r.countKind(u.step.spec)
		u.markCrashSuspects(r)
		c.start(u.tasks[i], r.worker, attempt, g, reason)
	}
	c.actions[len(c.actions)-1].First = first
}
