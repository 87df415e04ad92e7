package dispatch

import (
	"fmt"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// place decides on all work that could run now.
func (c *Core) place() {
	pendingSteps := c.pendingSteps()
	clear(c.waiting)
	if len(pendingSteps) == 0 {
		return
	}
	rooms := c.rooms()
	c.pools = rooms
	c.noteFlapping(rooms)
	c.noteUrgent(rooms)
	c.noteQuiet(rooms)
	c.applyRestartClaims(rooms)
	c.applyClaims(pendingSteps, rooms)
	c.infeasible = make(infeasible)
	c.coming = nil
	blocked := 0
	startsLeft, ordered := c.startsLeft(), len(c.ordered)
	mayReserve := int(c.number(NumReservations, maxBlocked))
	for _, u := range pendingSteps {
		if len(c.ordered)-ordered >= startsLeft {
			break
		}
		if blocked < maxConsidered && c.placeStep(u, rooms[u.queue.Pool], blocked < mayReserve) {
			continue
		}
		blocked++
		c.waiting[u.queue.Priority]++
	}
}

const (
	// maxBlocked steps keep room for themselves. More would leave most of the
	// room to work that cannot start for long.
	maxBlocked = 4
	// maxConsidered steps that do not fit end a round: it bounds the time of a
	// round when hundreds of jobs wait.
	maxConsidered = 40
)

// placeStep starts what fits of a step. What does not fit waits for room that
// is being freed, has lower work stopped if it is urgent, or keeps room for
// later. It returns false if the step, or a part of it, waits.
func (c *Core) placeStep(u *pendingStep, rooms []*room, mayKeep bool) bool {
	if u.claimed != nil {
		return c.placeClaimed(u, rooms)
	}
	form, alike := c.shapeOf(u)
	if alike && !mayKeep && c.infeasible.lacks(form, u) {
		c.recordReason(u, whyNoRoom)
		return false
	}
	if c.mayNotUseReserve(u) && c.has(MechHeadroom) {
		rooms = c.withoutReserve(u.queue.Pool, rooms)
	}
	rooms = c.allowed(u, c.eligible(u, rooms))
	far := c.mayGoFar(u, rooms)
	now := c.find(u, rooms, far, func(r *room) workload.Resources { return r.open(c.now.Add(u.length)) })
	if len(now) == len(u.tasks) || !u.step.spec.Gang && len(now) > 0 {
		c.startOrStore(u, now)
		u.tasks = u.tasks[len(now):]
	}
	if len(u.tasks) == 0 {
		return true
	}
	why := c.await(u, rooms, far, mayKeep)
	if alike && (why == whyNoRoom || why == whyNoRack) {
		c.infeasible.note(form, u)
	}
	c.recordReason(u, why)
	return false
}

// The reasons to wait that hold for all steps of a shape.
const (
	whyNoRoom = "no room"
	whyNoRack = "no room where it belongs"
)

// placeClaimed starts a gang where it claimed room, once all of it is free.
func (c *Core) placeClaimed(u *pendingStep, rooms []*room) bool {
	u.release()
	now := c.find(u, c.allowed(u, c.eligible(u, rooms)), false, func(r *room) workload.Resources { return r.open(c.now.Add(u.length)) })
	if len(now) == len(u.tasks) {
		c.startOrStore(u, now)
		return true
	}
	if areFree(u.claimed, u.step.spec.Counted()) {
		c.startOrStore(u, u.claimed)
		return true
	}
	takeRoom(u, u.claimed)
	c.recordReason(u, "room is being freed")
	return false
}

// await makes sure that a step that does not fit will, and says how.
func (c *Core) await(u *pendingStep, rooms []*room, far, mayKeep bool) string {
	soon := c.find(u, rooms, far, func(r *room) workload.Resources { return r.soon })
	switch {
	case len(soon) == len(u.tasks):
		takeRoom(u, soon)
		if u.rank.urgent() {
			c.awaitsBegin(u.step.job) // so that nothing is left to wait for
			c.claimRooms(u, placesOf(soon))
		}
		return "room is being freed"
	case u.rank.urgent():
		if c.has(MechWaitForEnds) && c.waitForEnds(u, rooms, far) {
			return "others end in time"
		}
		if c.makeRoom(u, rooms, far, soon) {
			return "others are stopped"
		}
		return "nothing may be stopped for it"
	case len(rooms) == 0:
		return "no worker that may run it"
	case mayKeep && u.step.spec.Gang && c.has(MechReservations) && c.keep(u, rooms, far):
		return "room is kept for it"
	case !far:
		return whyNoRack
	}
	return whyNoRoom
}

// startAt starts the first tasks of a step in the rooms, one in each entry.
func (c *Core) startAt(u *pendingStep, places []*room) {
	delete(c.coming, u.queue.Pool) // these runs will end as well
	var g *gang
	attempt := int64(0)
	if u.step.spec.Gang {
		attempt = c.attemptOf(u.tasks)
		g = &gang{attempt: attempt}
		u.step.gang, u.step.claim = g, nil
	}
	reason := fmt.Sprintf("rank %d, due in %d ms, waited %d ms", u.rank.class,
		u.dueBy.Sub(c.now).Milliseconds(), c.now.Sub(u.step.readySince).Milliseconds())
	var first *FirstStart
	if !u.step.job.began {
		first = &FirstStart{Guaranteed: u.rank.class == 0, Priority: u.queue.Priority, Waited: c.now.Sub(c.earliestStart(u.step))}
	}
	for i, r := range places {
		if g == nil {
			attempt = c.attemptOf(u.tasks[i : i+1])
		}
		need := u.step.spec.Counted()
		r.free = r.free.Sub(need)
		r.soon = r.soon.Sub(need)
		if u.step.job.protected {
			r.guarded = r.guarded.Add(need)
		}
		r.countSort(u.step.spec)
		u.markRoom(r)
		c.start(u.tasks[i], r.worker, attempt, g, reason)
	}
	c.actions[len(c.actions)-1].First = first
}
