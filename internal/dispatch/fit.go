package dispatch

import (
	"cmp"
	"slices"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// eligible returns the workers that may run the step at all.
func (c *Core) eligible(u *pendingStep, workers []*workerCapacity) []*workerCapacity {
	var list []*workerCapacity
	for _, r := range workers {
		if c.canRun(u, r) && c.mayTrust(u, r) && !r.flapping {
			list = append(list, r)
		}
	}
	return list
}

// mayTrust reports whether a worker on which runs failed may run the step.
func (c *Core) mayTrust(u *pendingStep, r *workerCapacity) bool {
	switch {
	case !c.enabled(MechUnhealthyWorkers):
		return true
	case c.policies.weighsEvidence:
		return c.mayRisk(u, r)
	}
	return !r.health.failing(c.now)
}

// findPlaces returns a worker for each of the step's tasks, or for as many as fit. Tasks bound
// to one rack get a rack that can hold all of them; tasks with data on a rack are placed there
// first. They are placed elsewhere only if offRack is set.
func (c *Core) findPlaces(u *pendingStep, workers []*workerCapacity, offRack bool, capacityOf func(*workerCapacity) workload.Resources) []*workerCapacity {
	n := len(u.tasks)
	counts := make([]int64, len(workers))
	for i, r := range workers {
		counts[i] = c.slots(u, r, capacityOf(r))
	}
	if u.step.spec.RackSensitive {
		if rack, ok := c.bestRack(u, workers, counts, n); ok {
			return c.pick(u, workers, counts, n, func(r *workerCapacity) bool { return r.Rack == rack })
		}
		if !offRack {
			return nil
		}
	}
	if rack := u.step.spec.DataRack; rack != "" {
		onDataRack := c.pick(u, workers, counts, n, func(r *workerCapacity) bool { return r.Rack == rack })
		if len(onDataRack) == n || !offRack {
			return onDataRack
		}
	}
	if u.step.spec.Gang {
		if places := c.policies.spread(c, u, workers, counts); places != nil {
			return places
		}
	}
	return c.pick(u, workers, counts, n, func(*workerCapacity) bool { return true })
}

// slots returns the number of the step's tasks that a worker can hold.
func (c *Core) slots(u *pendingStep, r *workerCapacity, free workload.Resources) int64 {
	limit := int64(len(u.tasks))
	if maxPerWorker := u.step.spec.MaxPerWorker; maxPerWorker > 0 {
		limit = min(limit, int64(maxPerWorker-c.runsOf(u.step, r.worker)))
	}
	if r.doubt.maxRuns > 0 && !u.trial {
		limit = min(limit, int64(r.doubt.maxRuns-len(r.runs)))
	}
	return max(free.CountFitting(u.step.spec.CountedResources(), limit), 0)
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

// bestRack returns the rack that can hold all n tasks and has the fewest slots left, preferring
// the rack with the step's data.
func (c *Core) bestRack(u *pendingStep, workers []*workerCapacity, counts []int64, n int) (string, bool) {
	sums := make(map[string]int64)
	for i, r := range workers {
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

// pick takes up to n slots of the matching workers: among those of the best speed the fullest
// first, so that whole workers stay free for tasks that need one.
func (c *Core) pick(u *pendingStep, workers []*workerCapacity, counts []int64, n int, match func(*workerCapacity) bool) []*workerCapacity {
	order := make([]int, 0, len(workers))
	for i, r := range workers {
		if counts[i] > 0 && match(r) {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		if !c.enabled(MechPacking) {
			return cmp.Or(compareDoubt(u, workers[a], workers[b]), c.crashOrder(u, workers[a], workers[b]), c.compareSpeed(u, workers[a], workers[b]), cmp.Compare(a, b))
		}
		return cmp.Or(
			compareDoubt(u, workers[a], workers[b]),
			c.crashOrder(u, workers[a], workers[b]),
			c.compareSpeed(u, workers[a], workers[b]),
			c.policies.place(c, u, workers[a], workers[b]),
			cmp.Compare(a, b),
		)
	})
	return takeSlots(workers, counts, order, n)
}

// takeSlots takes up to n slots of workers in the given order, one entry per slot.
func takeSlots(workers []*workerCapacity, counts []int64, order []int, n int) []*workerCapacity {
	var places []*workerCapacity
	for _, i := range order {
		for range counts[i] {
			if len(places) == n {
				return places
			}
			places = append(places, workers[i])
		}
	}
	return places
}

// compareFullness sorts the worker with the least free capacity first. For work inside a
// guarantee only the use by other guaranteed work counts: the rest can be preempted, and
// packing guaranteed work leaves workers that can be freed completely.
func compareFullness(u *pendingStep, a, b *workerCapacity) int {
	if u.rank.class == 0 {
		left := func(r *workerCapacity) int64 { return r.Capacity.Accelerators - r.guaranteedUse.Accelerators }
		if c := cmp.Compare(left(a), left(b)); c != 0 {
			return c
		}
	}
	return cmp.Or(
		cmp.Compare(a.free.Accelerators, b.free.Accelerators),
		cmp.Compare(a.free.MilliCPU, b.free.MilliCPU),
	)
}
