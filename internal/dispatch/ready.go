package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file answers urgent gangs of whole workers whose objective leaves hardly more
// time than a stop takes.

const (
	// readySpread is how many standard deviations above the mean size of urgent gangs
	// are kept ready.
	readySpread = 1
	// readyMost bounds the share of a rack's workers that is kept ready.
	readyMost = 0.6
	// readyAhead is the least time that a run must have left to be stopped ahead: what
	// ends by itself about as soon frees its worker anyway.
	readyAhead = 1500 * time.Millisecond
)

// noteSize averages how many workers urgent gangs want whole.
func (c *Core) noteSize(u *unit) {
	need := u.step.spec.Need.Accelerators
	if !u.step.spec.Gang || need == 0 {
		return
	}
	size := math.Ceil(float64(int64(len(u.tasks))*need) / wholeWorker)
	weight := max(headroomLearn, 1/float64(max(c.urgentSeen, 1)))
	off := size - c.urgentSize
	c.urgentSize += weight * off
	c.urgentVaries = (1 - weight) * (c.urgentVaries + weight*off*off)
}

// wholeWorker is a worker's accelerators.
const wholeWorker = 8

// wantedReady is how many whole workers of one rack the next urgent gang will want.
func (c *Core) wantedReady() int {
	return int(math.Round(c.urgentSize + c.number(NumReadySpread, readySpread)*math.Sqrt(c.urgentVaries)))
}

// isReady reports whether a worker is whole for urgent work, or soon.
func (r *room) isReady() bool { return r.soon.Accelerators == r.Room.Accelerators && r.urgentOnly }

// readyRack returns the rack with the most whole workers, and how many those are.
func readyRack(racks [][]*room) (rack []*room, ready int) {
	for _, members := range racks {
		count := 0
		for _, r := range members {
			if r.isReady() {
				count++
			}
		}
		if rack == nil || count > ready {
			rack, ready = members, count
		}
	}
	return rack, ready
}

// makeReady has saved work stopped ahead of urgent gangs, so that a rack has as many
// whole workers as the next one will want.
func (c *Core) makeReady(pool string, rooms []*room) {
	if !c.has(MechReadyRoom) || !c.stopsAreSlow() || c.now.Before(c.readyAgain) || loadOf(rooms) < c.number(NumHeadroomLoad, headroomLoad) {
		return
	}
	racks := byRack(rooms)
	_, ready := readyRack(racks)
	if ready >= c.wantedReady() {
		return
	}
	var best []offer
	bestCost := 0.0
	for _, members := range racks {
		wanted := min(c.wantedReady(), int(readyMost*float64(len(members))))
		plan, cost := c.freeSaved(members, wanted)
		if plan != nil && (best == nil || cost < bestCost) {
			best, bestCost = plan, cost
		}
	}
	for _, o := range best {
		for _, victim := range o.victims {
			if !victim.stopping() {
				c.stop(victim, "makes room ahead of urgent work")
				o.room.soon = o.room.soon.Add(victim.need)
			}
		}
		o.room.urgentOnly = true
	}
	if best != nil {
		c.readyAgain = c.now.Add(c.bounds.StopTime)
	}
}

// freeSaved returns what it takes to have a number of whole workers among some by
// stopping saved work only; nil if it cannot be had.
func (c *Core) freeSaved(members []*room, wanted int) ([]offer, float64) {
	var offers []offer
	for _, r := range members {
		if r.isReady() {
			wanted--
			continue
		}
		if o, ok := c.saved(r); ok {
			offers = append(offers, o)
		}
	}
	if wanted <= 0 || len(offers) < wanted {
		return nil, 0
	}
	slices.SortFunc(offers, func(a, b offer) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.room.order, b.room.order))
	})
	cost := 0.0
	for _, o := range offers[:wanted] {
		cost += o.cost
	}
	return offers[:wanted], cost
}

// saved returns the runs of a worker as victims, if all of them may be stopped ahead.
func (c *Core) saved(r *room) (offer, bool) {
	o := offer{room: r}
	if r.urgent > 0 {
		return o, false
	}
	for _, run := range r.runs {
		if run.frees() {
			continue
		}
		s := run.task.step
		q := c.config.Queue(s.job.Queue)
		if run.stopping() || !s.spec.Checkpoints || s.spec.Lasting || s.job.protected || q == nil || q.Priority == 0 ||
			c.estimates.left(run, c.now) < readyAhead {
			return o, false
		}
		o.victims = append(o.victims, run)
		o.cost += c.workLost(run) + runCost
	}
	return o, true
}

// runCost is added for each run that is stopped ahead, in core-seconds: restoring it
// elsewhere.
const runCost = 5

// keptReady are the whole workers that are kept for the next urgent gang.
func (c *Core) keptReady(rooms []*room) map[*room]bool {
	kept := make(map[*room]bool)
	rack, _ := readyRack(byRack(rooms))
	left := c.wantedReady()
	for _, r := range rack {
		if left > 0 && r.isReady() {
			kept[r] = true
			left--
		}
	}
	return kept
}
