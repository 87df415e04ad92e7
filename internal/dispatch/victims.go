package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// acceleratorCores is the number of cores that one accelerator counts as when lost work is
// compared.
const acceleratorCores = 8

// preemptFor stops lower-priority work so that the step fits. Without it guaranteed capacity
// would be available to a burst of urgent work on a full deployment only after other work has
// ended. It stops as little work as possible, and nothing unless the whole step will fit, in
// which case it returns true.
func (c *Core) preemptFor(u *pendingStep, workers []*workerCapacity, offRack bool, futurePlaces []*workerCapacity) bool {
	plan := c.cheapestPlan(u, workers, offRack)
	if plan == nil {
		if !u.step.spec.Gang {
			holdCapacity(u, futurePlaces)
		}
		return false
	}
	places := make([]claimedPlace, 0, len(plan))
	for _, p := range plan {
		places = append(places, claimedPlace{p.capacity.worker, p.slots})
		for _, victim := range p.victims {
			if !victim.stopping() {
				victim.task.step.job.interruptions++
				c.stop(victim, fmt.Sprintf("makes room for %s", u.step.job.ID))
				victim.task.step.spareAsOf = 0 // one task less can be spared
				p.capacity.freeSoon = p.capacity.freeSoon.Add(victim.need)
			}
		}
		need := u.step.spec.CountedResources().Times(p.slots)
		p.capacity.freeSoon = p.capacity.freeSoon.Sub(need)
		p.capacity.free = p.capacity.free.Sub(need)
		u.markCrashSuspects(p.capacity)
	}
	for _, p := range plan {
		for _, victim := range p.victims {
			c.stopRestOfGang(victim)
		}
	}
	c.claimCapacity(u, places)
	return true
}

// stopRestOfGang stops the other members of a victim's gang at once. Otherwise they would run on,
// and hold their workers, until the first one has ended. Those that are victims themselves are
// stopped as such.
func (c *Core) stopRestOfGang(victim *run) {
	if victim.gang != nil && c.enabled(MechGangVictims) {
		c.interruptGang(victim, "a member makes room")
	}
}

// offer is the cost of obtaining slots on one worker.
type offer struct {
	capacity *workerCapacity
	slots    int64
	victims  []*run
	// cost is the work lost per slot, in core-seconds.
	cost float64
}

// cheapestPlan returns the offers that make the step fit at the lowest cost, or nil if none do.
// A step bound to one rack stays on one rack unless only a plan across racks exists and offRack
// is set.
func (c *Core) cheapestPlan(u *pendingStep, workers []*workerCapacity, offRack bool) []offer {
	if !u.step.spec.RackSensitive {
		return c.cheapestPlanAmong(u, workers)
	}
	var best rackPlan
	for _, members := range byRack(workers) {
		plan, slotCost := c.cheapestPlanOn(u, members)
		if plan == nil {
			continue
		}
		plan = c.cheaperForGangs(u, members, plan)
		next := rackPlan{offers: plan, slotCost: slotCost}
		next.cost, next.interrupts = c.planCost(plan)
		if best.offers == nil || next.cheaperThan(best) {
			best = next
		}
	}
	if best.offers == nil && offRack {
		return c.cheapestPlanAmong(u, workers)
	}
	return best.offers
}

// cheapestPlanAmong returns the cheapest plan that may use all workers together.
func (c *Core) cheapestPlanAmong(u *pendingStep, workers []*workerCapacity) []offer {
	plan, _ := c.cheapestPlanOn(u, workers)
	if plan == nil {
		return nil
	}
	return c.cheaperForGangs(u, workers, plan)
}

// rackPlan is the plan for one rack. slotCost is the sum of the costs per slot, cost the work lost
// by all victims.
type rackPlan struct {
	offers         []offer
	slotCost, cost float64
	interrupts     bool
}

// cheaperThan compares plans by the work lost as soon as one of them interrupts a gang: the costs
// per slot count a gang once for each member.
func (p rackPlan) cheaperThan(other rackPlan) bool {
	if p.interrupts || other.interrupts {
		return p.cost < other.cost
	}
	return p.slotCost < other.slotCost
}

// byRack groups workers by rack, sorted by rack name.
func byRack(workers []*workerCapacity) [][]*workerCapacity {
	racks := make(map[string][]*workerCapacity)
	for _, r := range workers {
		racks[r.Rack] = append(racks[r.Rack], r)
	}
	list := make([][]*workerCapacity, 0, len(racks))
	for _, rack := range slices.Sorted(maps.Keys(racks)) {
		list = append(list, racks[rack])
	}
	return list
}

func (c *Core) cheapestPlanOn(u *pendingStep, workers []*workerCapacity) ([]offer, float64) {
	var offers []offer
	for _, r := range workers {
		offers = append(offers, c.offers(u, r)...)
	}
	slices.SortStableFunc(offers, func(a, b offer) int {
		return cmp.Or(
			c.crashOrder(u, a.capacity, b.capacity),
			boolOrder(a.stopsLimited())-boolOrder(b.stopsLimited()),
			cmp.Compare(a.cost, b.cost),
			cmp.Compare(a.capacity.position, b.capacity.position),
		)
	})
	// Each offer adds one slot on its worker and includes the victims of the previous offers,
	// so the last accepted offer of a worker covers all of them.
	accepted := make(map[*workerCapacity]offer)
	stopped := c.newStoppedTasks()
	left := int64(len(u.tasks))
	for _, o := range offers {
		if left == 0 {
			break
		}
		previous := accepted[o.capacity]
		if o.slots == previous.slots+1 && stopped.take(o.victims[len(previous.victims):]) {
			accepted[o.capacity] = o
			left--
		}
	}
	if left > 0 {
		if c.reclaimDue(u) {
			return c.blockPlanOn(u, workers)
		}
		return nil, 0
	}
	var plan []offer
	cost := 0.0
	for _, o := range accepted {
		plan = append(plan, o)
	}
	slices.SortFunc(plan, func(a, b offer) int { return cmp.Compare(a.capacity.position, b.capacity.position) })
	for _, o := range plan {
		cost += o.cost
	}
	return plan, cost
}

// offers returns an offer for each number of slots that can be obtained on a worker, from one up.
func (c *Core) offers(u *pendingStep, r *workerCapacity) []offer {
	victims := c.victims(u, r)
	free := r.freeSoon
	var list []offer
	cost := 0.0
	next := 0
	maxSlots := c.slots(u, r, r.Capacity)
	for n := int64(1); n <= maxSlots; n++ {
		for c.slots(u, r, free) < n && next < len(victims) {
			free = free.Add(victims[next].need)
			cost += c.workLost(victims[next])
			next++
		}
		if c.slots(u, r, free) < n {
			break
		}
		list = append(list, offer{capacity: r, slots: n, victims: victims[:next], cost: cost / float64(n)})
	}
	return list
}

// victims returns the runs on a worker that may be stopped for the step, in the order of the
// victim policy.
func (c *Core) victims(u *pendingStep, r *workerCapacity) []*run {
	var list []*run
	for _, run := range r.runs {
		if !run.stopping() && c.mayPreempt(run, u) {
			list = append(list, run)
		}
	}
	slices.SortFunc(list, func(a, b *run) int {
		if !c.enabled(MechCheapVictims) {
			return cmp.Or(limitedLast(a, b), cmp.Compare(a.attempt, b.attempt), cmp.Compare(a.task.index, b.task.index))
		}
		return cmp.Or(limitedLast(a, b), c.policies.victims(c, a, b), cmp.Compare(a.attempt, b.attempt), cmp.Compare(a.task.index, b.task.index))
	})
	return c.withinSpare(list)
}

// mayPreempt reports whether a run may be stopped for the step: urgent work may preempt lower
// priorities, and work inside a guarantee anything outside one. Of long-running tasks with a limit
// on how many may be unavailable no more than that are preempted, and only for guaranteed capacity;
// work whose queue is not known never is.
func (c *Core) mayPreempt(victim *run, u *pendingStep) bool {
	s := victim.task.step
	q := c.queueOf(s.job)
	if s.job.guaranteed || q == nil {
		return false
	}
	if s.limitsUnavailable() && !c.mayMakeUnavailable(victim, u) {
		return false
	}
	return u.rank.class == 0 || q.Priority > u.queue.Priority
}

// workLost returns the work, in core-seconds, that is lost if a run is stopped; stopping one
// member loses the work of the whole gang.
func (c *Core) workLost(r *run) float64 {
	s := r.task.step
	ran := c.now.Sub(r.since)
	if s.spec.Checkpoints {
		ran = min(ran, checkpointLoss)
	}
	cores := float64(s.spec.Need.MilliCPU)/1000 + acceleratorCores*float64(s.spec.Need.Accelerators)
	lost := ran.Seconds() * cores
	if r.gang != nil {
		lost *= float64(max(r.gang.runs, 1))
	}
	return lost
}

// checkpointLoss is the work that a task with checkpoints loses when it is stopped, since it
// saves its state then.
const checkpointLoss = 200 * time.Millisecond
