package dispatch

import (
	"cmp"
	"slices"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// eligible filters the workers that may run a step at all.
func (c *Core) eligible(u *pendingStep, rooms []*room) []*room {
	var list []*room
	spec := u.step.spec
	for _, r := range rooms {
		if r.Has(spec.Label) && r.Room.Holds(spec.Counted()) && !r.disturbs(spec) && !c.isFailing(r.worker) && !r.flapping {
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
			return cmp.Or(c.crashOrder(u, rooms[a], rooms[b]), cmp.Compare(a, b))
		}
		return cmp.Or(c.crashOrder(u, rooms[a], rooms[b]), c.ways.place(c, u, rooms[a], rooms[b]), cmp.Compare(a, b))
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
