package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// room is a worker's room during one round of decisions.
type room struct {
	*worker
	// free is free now, soon will be once what is being stopped has ended.
	free, soon workload.Resources
	// kept is what a large step waits for from keptFrom on; shorter work may
	// use it before.
	kept     workload.Resources
	keptFrom time.Time
	// guarded is what protected work uses.
	guarded workload.Resources
	// urgentOnly workers run nothing but work of the first priority, or nothing.
	urgentOnly bool
	// serving and batch count the runs of either sort.
	serving, batch int
	// urgent is the number of accelerators that work of the first priority uses.
	urgent int64
	order  int
	// stuck is what runs use whose ends cannot be counted on, once it was worked out.
	overdueUse   workload.Resources
	overdueKnown bool
	// sought is the last search for a reservation that this room is part of.
	searchedBy int
}

// place decides on all work that could run now.
func (c *Core) place() {
	pendingSteps := c.pendingSteps()
	clear(c.waiting)
	if len(pendingSteps) == 0 {
		return
	}
	rooms := c.rooms()
	c.pools = rooms
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

func (c *Core) rooms() map[string][]*room {
	pools := make(map[string][]*room)
	for _, w := range c.fleet {
		if !w.usable(c.now) || c.isSuspect(w) || c.isDrained(w) {
			continue
		}
		free := w.Room.Sub(w.used).Sub(w.unknownNeed())
		r := &room{worker: w, free: free, soon: free, urgentOnly: true}
		for _, run := range w.runs {
			r.countSort(run.task.step.spec)
			r.count(run, c.config.Queue(run.task.step.job.Queue))
			if run.task.step.job.protected {
				r.guarded = r.guarded.Add(run.need)
			}
		}
		pools[w.Pool] = append(pools[w.Pool], r)
	}
	for _, rooms := range pools {
		slices.SortFunc(rooms, c.compareRooms)
		for i, r := range rooms {
			r.order = i
		}
	}
	return pools
}

// compareRooms orders the workers of a pool where nothing else does: rack by rack, so
// that what is filled first and what stays free lie together.
func (c *Core) compareRooms(a, b *room) int {
	byRack := 0
	if c.has(MechRackOrder) {
		byRack = cmp.Compare(a.Rack, b.Rack)
	}
	return cmp.Or(byRack, cmp.Compare(a.ID, b.ID))
}

// count takes a run into account.
func (r *room) count(run *run, q *workload.Queue) {
	switch {
	case run.frees():
		r.soon = r.soon.Add(run.need)
	case q != nil && q.Priority == 0:
		r.urgent += run.need.Accelerators
	default:
		r.urgentOnly = false
	}
}

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

const (
	// reasonAfter is how long a step waits before a line says so: most start sooner.
	reasonAfter = 150 * time.Millisecond
	// reasonEvery and reasonChange bound the lines about one step that waits, for one
	// reason and for changing ones.
	reasonEvery  = 2 * time.Second
	reasonChange = 300 * time.Millisecond
)

// recordReason says why a step waits, if that changed or has lasted.
func (c *Core) recordReason(u *pendingStep, why string) {
	s := u.step
	if !c.worthRecording(s, why) || c.now.Sub(s.readySince) < reasonAfter {
		return
	}
	reason := fmt.Sprintf("%s%s; rank %d, due in %d ms, waited %d ms, %d tasks of about %d ms", why, c.drainedNote(u.queue.Pool), u.rank.class,
		u.dueBy.Sub(c.now).Milliseconds(), c.now.Sub(s.readySince).Milliseconds(), len(u.tasks), u.length.Milliseconds())
	c.recordReasonOf(s, why, reason)
}

// recordHeldBack says why no step of a job may start.
func (c *Core) recordHeldBack(j *job, why string) {
	if j.runs > 0 || len(j.steps) == 0 || !c.worthRecording(j.steps[0], why) {
		return
	}
	c.recordReasonOf(j.steps[0], why, fmt.Sprintf("%s; waited %d ms", why, c.now.Sub(j.received).Milliseconds()))
}

func (c *Core) worthRecording(s *step, why string) bool {
	since := c.now.Sub(s.waitReasonAt)
	return since >= reasonEvery || why != s.waitReason && since >= reasonChange
}

func (c *Core) recordReasonOf(s *step, why, reason string) {
	s.waitReason, s.waitReasonAt = why, c.now
	task := workload.TaskID{Job: s.job.ID, Occurrence: s.occurrence, Step: s.number}
	c.actions = append(c.actions, Action{Kind: ActReason, Reason: reason, Order: workload.Order{Task: task, Epoch: c.epoch}})
}

// takeRoom takes room that is free or being freed for a step that waits for it.
func takeRoom(u *pendingStep, places []*room) {
	need := u.step.spec.Counted()
	for _, r := range places {
		r.soon = r.soon.Sub(need)
		r.free = r.free.Sub(need)
	}
}

// open is the room that work ending at a time may use.
func (r *room) open(ends time.Time) workload.Resources {
	free := r.free
	if !r.keptFrom.IsZero() && ends.After(r.keptFrom) {
		free = free.Sub(r.kept)
	}
	return free
}

// eligible filters the workers that may run a step at all.
func (c *Core) eligible(u *pendingStep, rooms []*room) []*room {
	var list []*room
	spec := u.step.spec
	for _, r := range rooms {
		if r.Has(spec.Label) && r.Room.Holds(spec.Counted()) && !r.disturbs(spec) && !c.isFailing(r.worker) {
			list = append(list, r)
		}
	}
	return list
}

// isFailing reports whether a worker gets nothing new because work of several jobs
// failed there.
func (c *Core) isFailing(w *worker) bool {
	return c.has(MechSickWorkers) && w.health.failing(c.now)
}

// disturbs reports whether a serving task would share the worker with a batch
// task. Interference differs by image and changes within seconds, so neither sort
// is put beside the other: no serving task then misses its latency target because
// of where something was placed.
func (r *room) disturbs(spec *workload.Step) bool {
	if spec.TargetMS > 0 {
		return r.batch > 0
	}
	return r.serving > 0
}

// countSort takes a run of a step into account.
func (r *room) countSort(spec *workload.Step) {
	if spec.TargetMS > 0 {
		r.serving++
	} else {
		r.batch++
	}
}

// find returns a room for each of the step's tasks, or for as many as there are. Tasks
// that belong on one rack get one that can take them all; tasks with data on a
// rack go there first. Only if far is set do they go elsewhere.
func (c *Core) find(u *pendingStep, rooms []*room, far bool, roomOf func(*room) workload.Resources) []*room {
	n := len(u.tasks)
	counts := make([]int64, len(rooms))
	for i, r := range rooms {
		counts[i] = c.slots(u, r, roomOf(r))
	}
	if u.step.spec.OneRack {
		if rack, ok := c.bestRack(u, rooms, counts, n); ok {
			return c.pick(u, rooms, counts, n, func(r *room) bool { return r.Rack == rack })
		}
		if !far {
			return nil
		}
	}
	if rack := u.step.spec.DataRack; rack != "" {
		near := c.pick(u, rooms, counts, n, func(r *room) bool { return r.Rack == rack })
		if len(near) == n || !far {
			return near
		}
	}
	if u.step.spec.Gang {
		if places := c.ways.spread(c, u, rooms, counts); places != nil {
			return places
		}
	}
	return c.pick(u, rooms, counts, n, func(*room) bool { return true })
}

// slots is how many tasks of the step a worker can take.
func (c *Core) slots(u *pendingStep, r *room, free workload.Resources) int64 {
	limit := int64(len(u.tasks))
	if most := u.step.spec.MaxPerWorker; most > 0 {
		limit = min(limit, int64(most-c.runsOf(u.step, r.worker)))
	}
	return max(free.Fits(u.step.spec.Counted(), limit), 0)
}

func (c *Core) runsOf(s *step, w *worker) int {
	count := 0
	for _, r := range w.runs {
		if r.task.step == s {
			count++
		}
	}
	return count
}

// bestRack is the rack that can take all n tasks and is left with the fewest
// slots, or the data's rack.
func (c *Core) bestRack(u *pendingStep, rooms []*room, counts []int64, n int) (string, bool) {
	sums := make(map[string]int64)
	for i, r := range rooms {
		sums[r.Rack] += counts[i]
	}
	best, found := "", false
	for rack, sum := range sums {
		if sum < int64(n) {
			continue
		}
		if rack == u.step.spec.DataRack && rack != "" {
			return rack, true
		}
		if !found || sum < sums[best] || sum == sums[best] && rack < best {
			best, found = rack, true
		}
	}
	return best, found
}

// pick takes up to n slots of the workers that match, fullest first, so that
// whole workers stay free for tasks that need one.
func (c *Core) pick(u *pendingStep, rooms []*room, counts []int64, n int, match func(*room) bool) []*room {
	order := make([]int, 0, len(rooms))
	for i, r := range rooms {
		if counts[i] > 0 && match(r) {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		if !c.has(MechPacking) {
			return cmp.Compare(a, b)
		}
		return cmp.Or(c.ways.place(c, u, rooms[a], rooms[b]), cmp.Compare(a, b))
	})
	return takeSlots(rooms, counts, order, n)
}

// takeSlots takes up to n slots of workers in an order, one entry a slot.
func takeSlots(rooms []*room, counts []int64, order []int, n int) []*room {
	var places []*room
	for _, i := range order {
		for range counts[i] {
			if len(places) == n {
				return places
			}
			places = append(places, rooms[i])
		}
	}
	return places
}

// compareFullness puts the worker with the least left first. Work inside a
// guarantee looks only at what other such work uses: the rest can be stopped,
// and packed together it leaves workers that can be freed whole.
func compareFullness(u *pendingStep, a, b *room) int {
	if u.rank.class == 0 {
		left := func(r *room) int64 { return r.Room.Accelerators - r.guarded.Accelerators }
		if c := cmp.Compare(left(a), left(b)); c != 0 {
			return c
		}
	}
	return cmp.Or(
		cmp.Compare(a.free.Accelerators, b.free.Accelerators),
		cmp.Compare(a.free.MilliCPU, b.free.MilliCPU),
	)
}

// startAt starts the first tasks of a step in the rooms, one in each entry.
func (c *Core) startAt(u *pendingStep, places []*room) {
	delete(c.coming, u.queue.Pool) // these runs will end as well
	var g *gang
	attempt := c.nextAttempt()
	if u.step.spec.Gang {
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
		if g == nil && i > 0 {
			attempt = c.nextAttempt()
		}
		need := u.step.spec.Counted()
		r.free = r.free.Sub(need)
		r.soon = r.soon.Sub(need)
		if u.step.job.protected {
			r.guarded = r.guarded.Add(need)
		}
		r.countSort(u.step.spec)
		c.start(u.tasks[i], r.worker, attempt, g, reason)
	}
	c.actions[len(c.actions)-1].First = first
}
