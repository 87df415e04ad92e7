package placement

import (
	"cmp"
	"slices"

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
	if best := z.bestRack(usable, bonus, shape); best >= 0 {
		return z.fill(nil, z.racks[best], usable, bonus, shape, shape.Tasks)
	}
	if shape.SameRack {
		return nil
	}
	return z.fitOverRacks(usable, bonus, shape)
}

// bestRack returns the rack that holds the whole shape with the highest bonus,
// then with the fewest tasks on workers that are unused so far, then with the
// fewest task slots; or -1.
func (z *zone) bestRack(usable, bonus []int, shape api.Shape) int {
	best, bestBonus, bestOpened, bestSlots := -1, 0, 0, 0
	for i, r := range z.racks {
		slots, begun := z.slotsBegun(r, usable, shape.AcceleratorsPerTask)
		if slots < shape.Tasks {
			continue
		}
		if z.firstFit {
			return i
		}
		gain, opened := sum(bonus, r), max(0, shape.Tasks-begun)
		if best < 0 || gain > bestBonus ||
			(gain == bestBonus && (opened < bestOpened || (opened == bestOpened && slots < bestSlots))) {
			best, bestBonus, bestOpened, bestSlots = i, gain, opened, slots
		}
	}
	return best
}

// slotsBegun counts the task slots of a rack, and those of them on workers
// that are used in part.
func (z *zone) slotsBegun(r rack, usable []int, perTask int) (slots, begun int) {
	for w := r.first; w < r.end; w++ {
		if usable[w] < perTask {
			continue
		}
		slots += usable[w] / perTask
		if usable[w] < z.capacity[w] {
			begun += usable[w] / perTask
		}
	}
	return slots, begun
}

// fitOverRacks takes the racks with the highest bonus first, among equals those
// with the most task slots, so that the gang spans the fewest. The last rack is
// the tightest among equals that completes the gang.
func (z *zone) fitOverRacks(usable, bonus []int, shape api.Shape) []part {
	order := z.racksBySlots(usable, bonus, shape.AcceleratorsPerTask)
	var parts []part
	left := shape.Tasks
	for i := 0; i < len(order) && left > 0; i++ {
		chosen := i
		for j := i + 1; j < len(order) && order[j].bonus == order[i].bonus && order[j].slots >= left; j++ {
			chosen = j
		}
		tasks := min(left, order[chosen].slots)
		parts = z.fill(parts, order[chosen].rack, usable, bonus, shape, tasks)
		left -= tasks
	}
	if left > 0 {
		return nil
	}
	return parts
}

// rankedRack is a rack with what decides its turn.
type rankedRack struct {
	rack
	bonus, slots int
}

// racksBySlots orders the racks by falling bonus, then falling task slots.
func (z *zone) racksBySlots(usable, bonus []int, perTask int) []rankedRack {
	order := make([]rankedRack, len(z.racks))
	for i, r := range z.racks {
		order[i] = rankedRack{rack: r, bonus: sum(bonus, r), slots: z.slots(r, usable, perTask)}
	}
	slices.SortStableFunc(order, func(a, b rankedRack) int {
		if a.bonus != b.bonus {
			return cmp.Compare(b.bonus, a.bonus)
		}
		return cmp.Compare(b.slots, a.slots)
	})
	return order
}

// fitAround returns where a gang of the given shape goes if it is to take as
// much of the bonus as it can, or nil.
func (z *zone) fitAround(usable, bonus []int, shape api.Shape) []part {
	if shape.SameRack {
		return z.fit(usable, bonus, shape)
	}
	around := filling{usable: usable, perTask: shape.AcceleratorsPerTask}
	shape.Tasks = around.cover(rack{first: 0, end: len(usable)}, bonus, shape.Tasks)
	if shape.Tasks == 0 {
		return around.parts
	}
	rest := slices.Clone(usable)
	add(rest, around.parts, -shape.AcceleratorsPerTask)
	for _, p := range z.fit(rest, nil, shape) {
		around.take(p.worker, p.tasks)
	}
	return around.parts
}

// fill appends the given number of tasks on one rack's workers to parts: first
// those that the bonus covers, then on the workers with the least usable
// accelerators. The rack must hold them.
func (z *zone) fill(parts []part, r rack, usable, bonus []int, shape api.Shape, tasks int) []part {
	filled := filling{parts: parts, before: len(parts), usable: usable, perTask: shape.AcceleratorsPerTask}
	if bonus != nil {
		tasks = filled.cover(r, bonus, tasks)
	}
	for tasks > 0 {
		best := -1
		for w := r.first; w < r.end; w++ {
			if filled.room(w) > 0 && (best < 0 || (!z.firstFit && filled.left(w) < filled.left(best))) {
				best = w
			}
		}
		tasks -= filled.take(best, min(tasks, filled.room(best)))
	}
	return filled.parts
}

// filling is the state of filling one rack.
type filling struct {
	parts []part
	// before counts the parts on other racks.
	before  int
	usable  []int
	perTask int
}

// cover takes workers by falling bonus, first for the tasks that the bonus
// covers whole, then for those that it touches, and returns the tasks left.
func (f *filling) cover(r rack, bonus []int, tasks int) int {
	for _, atLeast := range []int{f.perTask, 1} {
		for tasks > 0 {
			best, bestLeft := -1, 0
			for w := r.first; w < r.end; w++ {
				left := bonus[w] - f.taken(w)*f.perTask
				if left >= atLeast && left > bestLeft && f.room(w) > 0 {
					best, bestLeft = w, left
				}
			}
			if best < 0 {
				break
			}
			tasks -= f.take(best, min(tasks, max(1, bestLeft/f.perTask), f.room(best)))
		}
	}
	return tasks
}

// left is what a worker has beside the tasks it was given.
func (f *filling) left(worker int) int {
	return f.usable[worker] - f.taken(worker)*f.perTask
}

// room counts the tasks that a worker takes beside those it was given.
func (f *filling) room(worker int) int {
	return max(0, f.left(worker)) / f.perTask
}

func (f *filling) taken(worker int) int {
	for _, p := range f.parts[f.before:] {
		if p.worker == worker {
			return p.tasks
		}
	}
	return 0
}

// take gives a worker tasks and returns their number.
func (f *filling) take(worker, tasks int) int {
	for i := f.before; i < len(f.parts); i++ {
		if f.parts[i].worker == worker {
			f.parts[i].tasks += tasks
			return tasks
		}
	}
	f.parts = append(f.parts, part{worker: worker, tasks: tasks})
	return tasks
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
