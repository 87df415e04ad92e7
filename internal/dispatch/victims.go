package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// acceleratorCores is what one accelerator counts in cores when work lost is
// weighed.
const acceleratorCores = 8

// makeRoom stops lower work so that the step fits. It answers a burst of urgent
// work on a full deployment: without it guaranteed capacity would be there only
// once others have ended. It stops as little work as it can, and nothing unless
// the whole step will fit; false if nothing can.
func (c *Core) makeRoom(u *pendingStep, rooms []*room, far bool, soon []*room) bool {
	plan := c.cheapest(u, rooms, far)
	if plan == nil {
		if !u.step.spec.Gang {
			takeRoom(u, soon)
		}
		return false
	}
	places := make([]claimedPlace, 0, len(plan))
	for _, p := range plan {
		places = append(places, claimedPlace{p.room.worker, p.slots})
		for _, victim := range p.victims {
			if !victim.stopping() {
				victim.task.step.job.broken++
				c.stop(victim, fmt.Sprintf("makes room for %s", u.step.job.ID))
				p.room.soon = p.room.soon.Add(victim.need)
			}
		}
		need := u.step.spec.Counted().Times(p.slots)
		p.room.soon = p.room.soon.Sub(need)
		p.room.free = p.room.free.Sub(need)
		u.markRoom(p.room)
	}
	c.claimRooms(u, places)
	return true
}

// offer is what it costs to have slots on one worker.
type offer struct {
	room    *room
	slots   int64
	victims []*run
	cost    float64
}

// cheapest returns the offers that make the step fit at the least cost, on one
// rack if the step belongs on one, unless it may go far; nil if nothing can.
func (c *Core) cheapest(u *pendingStep, rooms []*room, far bool) []offer {
	if !u.step.spec.OneRack {
		plan, _ := c.cheapestOf(u, rooms)
		return plan
	}
	var best []offer
	bestCost := 0.0
	for _, members := range byRack(rooms) {
		plan, cost := c.cheapestOf(u, members)
		if plan != nil && (best == nil || cost < bestCost) {
			best, bestCost = plan, cost
		}
	}
	if best == nil && far {
		best, _ = c.cheapestOf(u, rooms)
	}
	return best
}

// byRack groups workers by their racks, in the order of the racks' names.
func byRack(rooms []*room) [][]*room {
	racks := make(map[string][]*room)
	for _, r := range rooms {
		racks[r.Rack] = append(racks[r.Rack], r)
	}
	list := make([][]*room, 0, len(racks))
	for _, rack := range slices.Sorted(maps.Keys(racks)) {
		list = append(list, racks[rack])
	}
	return list
}

func (c *Core) cheapestOf(u *pendingStep, rooms []*room) ([]offer, float64) {
	var offers []offer
	for _, r := range rooms {
		offers = append(offers, c.offers(u, r)...)
	}
	slices.SortStableFunc(offers, func(a, b offer) int {
		return cmp.Or(c.crashOrder(u, a.room, b.room), cmp.Compare(a.cost, b.cost), cmp.Compare(a.room.order, b.room.order))
	})
	// Each offer is for one more slot of its worker and holds the victims of
	// the ones before it, so the last one taken of a worker stands for all.
	taken := make(map[*room]offer)
	left := int64(len(u.tasks))
	for _, o := range offers {
		if left == 0 {
			break
		}
		if o.slots == taken[o.room].slots+1 {
			taken[o.room] = o
			left--
		}
	}
	if left > 0 {
		return nil, 0
	}
	var plan []offer
	cost := 0.0
	for _, o := range taken {
		plan = append(plan, o)
	}
	slices.SortFunc(plan, func(a, b offer) int { return cmp.Compare(a.room.order, b.room.order) })
	for _, o := range plan {
		cost += o.cost
	}
	return plan, cost
}

// offers lists what one, two, and more slots on a worker cost.
func (c *Core) offers(u *pendingStep, r *room) []offer {
	victims := c.victims(u, r)
	free := r.soon
	var list []offer
	cost := 0.0
	next := 0
	most := c.slots(u, r, r.Room)
	for n := int64(1); n <= most; n++ {
		for c.slots(u, r, free) < n && next < len(victims) {
			free = free.Add(victims[next].need)
			cost += c.workLost(victims[next])
			next++
		}
		if c.slots(u, r, free) < n {
			break
		}
		list = append(list, offer{room: r, slots: n, victims: victims[:next], cost: cost / float64(n)})
	}
	return list
}

// victims lists the runs on a worker that may be stopped for the step, those
// that lose the least work first.
func (c *Core) victims(u *pendingStep, r *room) []*run {
	var list []*run
	for _, run := range r.runs {
		if !run.stopping() && c.yields(run, u) {
			list = append(list, run)
		}
	}
	slices.SortFunc(list, func(a, b *run) int {
		if !c.has(MechCheapVictims) {
			return cmp.Or(cmp.Compare(a.attempt, b.attempt), cmp.Compare(a.task.index, b.task.index))
		}
		return cmp.Or(c.ways.victims(c, a, b), cmp.Compare(a.attempt, b.attempt), cmp.Compare(a.task.index, b.task.index))
	})
	return list
}

// yields reports whether a run may be stopped for the step: lower priority for
// urgent work, and anything outside a guarantee for work inside one.
func (c *Core) yields(victim *run, u *pendingStep) bool {
	s := victim.task.step
	q := c.config.Queue(s.job.Queue)
	if s.job.protected || q == nil {
		return false
	}
	if s.spec.Lasting && s.spec.MaxAway > 0 {
		return false
	}
	return u.rank.class == 0 || q.Priority > u.queue.Priority
}

// workLost is the work, in core-seconds, that stopping a run throws away; all
// of a gang is thrown away with one member.
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

// checkpointLoss is what a task with checkpoints loses at a stop: it saves then.
const checkpointLoss = 200 * time.Millisecond
