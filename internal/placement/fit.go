package placement

import (
	"sort"

	"github.com/corianderbank/corianderbank/api"
)

// This file answers bursts of gangs of mixed sizes. Without it small gangs are
// scattered over whole racks, and large ones wait while enough accelerators are
// free in sum. A gang goes to the fullest rack that still holds it whole, inside
// it to the fullest workers (best fit), and over several racks only when none
// holds it alone, then over the fewest. There is no threshold: the order alone
// decides.

// fit returns where a gang of the given shape goes when usable accelerators are
// at its disposal, or nil. Workers with a bonus are taken first; bonus may be
// nil.
func (z *zone) fit(usable, bonus []int, shape api.Shape) []part {
	if best := z.bestRack(usable, bonus, shape, nil); best >= 0 {
		return z.fill(nil, z.racks[best], usable, bonus, shape, shape.Tasks)
	}
	if shape.SameRack {
		return nil
	}
	return z.fitOverRacks(usable, bonus, shape)
}

// bestRack returns the rack that holds the whole shape with the highest bonus,
// then the fewest task slots, or -1. Racks that skip reports are left out.
func (z *zone) bestRack(usable, bonus []int, shape api.Shape, skip []bool) int {
	best, bestSlots, bestBonus := -1, 0, 0
	for r := range z.racks {
		if skip != nil && skip[r] {
			continue
		}
		slots := z.slots(z.racks[r], usable, shape.AcceleratorsPerTask)
		if slots < shape.Tasks {
			continue
		}
		gain := sum(bonus, z.racks[r])
		if best < 0 || gain > bestBonus || (gain == bestBonus && slots < bestSlots) {
			best, bestSlots, bestBonus = r, slots, gain
		}
	}
	return best
}

// fitOverRacks takes the racks with the most task slots first, so that the gang
// spans the fewest, and the tightest rack that completes it last.
func (z *zone) fitOverRacks(usable, bonus []int, shape api.Shape) []part {
	order, slots := z.racksBySlots(usable, bonus, shape.AcceleratorsPerTask)
	var parts []part
	left := shape.Tasks
	for i := 0; i < len(order) && left > 0; i++ {
		chosen := i
		for j := i + 1; j < len(order) && slots[order[j]] >= left; j++ {
			chosen = j
		}
		r := order[chosen]
		tasks := min(left, slots[r])
		parts = z.fill(parts, z.racks[r], usable, bonus, shape, tasks)
		left -= tasks
	}
	if left > 0 {
		return nil
	}
	return parts
}

// racksBySlots orders the racks by falling bonus, then falling task slots.
func (z *zone) racksBySlots(usable, bonus []int, perTask int) (order, slots []int) {
	order = make([]int, len(z.racks))
	slots = make([]int, len(z.racks))
	for r := range z.racks {
		order[r] = r
		slots[r] = z.slots(z.racks[r], usable, perTask)
	}
	sort.SliceStable(order, func(i, j int) bool {
		a, b := order[i], order[j]
		if x, y := sum(bonus, z.racks[a]), sum(bonus, z.racks[b]); x != y {
			return x > y
		}
		return slots[a] > slots[b]
	})
	return order, slots
}

// fill appends the given number of tasks on one rack's workers to parts, by
// falling bonus, then the least usable accelerators. The rack must hold them.
func (z *zone) fill(parts []part, r rack, usable, bonus []int, shape api.Shape, tasks int) []part {
	taken := len(parts)
	for tasks > 0 {
		best := -1
		for w := r.first; w < r.end; w++ {
			if usable[w] < shape.AcceleratorsPerTask || isTaken(parts[taken:], w) {
				continue
			}
			if best < 0 || tighter(usable, bonus, w, best) {
				best = w
			}
		}
		count := min(tasks, usable[best]/shape.AcceleratorsPerTask)
		parts = append(parts, part{worker: best, tasks: count})
		tasks -= count
	}
	return parts
}

// tighter reports whether worker a is to be taken before worker b.
func tighter(usable, bonus []int, a, b int) bool {
	if bonus != nil && bonus[a] != bonus[b] {
		return bonus[a] > bonus[b]
	}
	return usable[a] < usable[b]
}

func isTaken(parts []part, worker int) bool {
	for _, p := range parts {
		if p.worker == worker {
			return true
		}
	}
	return false
}

// slots counts the tasks of the given size that a rack's usable accelerators take.
func (z *zone) slots(r rack, usable []int, perTask int) int {
	total := 0
	for w := r.first; w < r.end; w++ {
		if usable[w] > 0 {
			total += usable[w] / perTask
		}
	}
	return total
}

func sum(vector []int, r rack) int {
	if vector == nil {
		return 0
	}
	total := 0
	for w := r.first; w < r.end; w++ {
		total += vector[w]
	}
	return total
}
