package placement

import (
	"cmp"
	"slices"

	"github.com/corianderbank/corianderbank/api"
)

// Best-fit placement for bursts of gangs of mixed sizes. Without it small gangs are
// scattered over whole racks, and large ones wait although enough accelerators are
// free in total. A gang goes to the fullest rack that still holds it whole, and within
// that rack to the fullest workers (best fit). It spans several racks only if no
// single rack holds it, and then as few as possible. There is no threshold: the order
// of preference alone decides.

// fit returns the placement of a gang of the given shape on the usable accelerators,
// or nil if it does not fit. Workers with preferred accelerators are taken first;
// preferred may be nil.
func (z *zone) fit(usable, preferred []int, shape api.Shape) []part {
	if best := z.bestRack(usable, preferred, shape); best >= 0 {
		return z.fill(nil, z.racks[best], usable, preferred, shape, shape.Tasks)
	}
	if shape.SameRack {
		return nil
	}
	return z.fitOverRacks(usable, preferred, shape)
}

// bestRack returns the index of the best rack that holds the whole shape, or -1. The
// best rack has the most preferred accelerators, then the fewest tasks on workers that
// are unused so far, then the fewest task slots.
func (z *zone) bestRack(usable, preferred []int, shape api.Shape) int {
	best, bestPreferred, bestUnusedTasks, bestSlots := -1, 0, 0, 0
	for i, r := range z.racks {
		slots, partlyUsed := z.countSlots(r, usable, shape.AcceleratorsPerTask)
		if slots < shape.Tasks {
			continue
		}
		if z.firstFit {
			return i
		}
		rackPreferred, unusedTasks := rackTotal(preferred, r), max(0, shape.Tasks-partlyUsed)
		if best < 0 || rackPreferred > bestPreferred ||
			(rackPreferred == bestPreferred && (unusedTasks < bestUnusedTasks || (unusedTasks == bestUnusedTasks && slots < bestSlots))) {
			best, bestPreferred, bestUnusedTasks, bestSlots = i, rackPreferred, unusedTasks, slots
		}
	}
	return best
}

// countSlots returns the number of task slots of a rack, and how many of them are on
// partly used workers.
func (z *zone) countSlots(r rack, usable []int, perTask int) (slots, partlyUsed int) {
	for w := r.first; w < r.end; w++ {
		if usable[w] < perTask {
			continue
		}
		slots += usable[w] / perTask
		if usable[w] < z.capacity[w] {
			partlyUsed += usable[w] / perTask
		}
	}
	return slots, partlyUsed
}

// fitOverRacks places a gang over several racks. It takes the racks with the most
// preferred accelerators first, and among equal ones those with the most task slots,
// so that the gang spans the fewest racks. The last rack is the one with the fewest
// slots, among equally preferred ones, that completes the gang.
func (z *zone) fitOverRacks(usable, preferred []int, shape api.Shape) []part {
	ranked := z.racksBySlots(usable, preferred, shape.AcceleratorsPerTask)
	var parts []part
	left := shape.Tasks
	for i := 0; i < len(ranked) && left > 0; i++ {
		chosen := i
		for j := i + 1; j < len(ranked) && ranked[j].preferred == ranked[i].preferred && ranked[j].slots >= left; j++ {
			chosen = j
		}
		tasks := min(left, ranked[chosen].slots)
		parts = z.fill(parts, ranked[chosen].rack, usable, preferred, shape, tasks)
		left -= tasks
	}
	if left > 0 {
		return nil
	}
	return parts
}

// rankedRack is a rack with its sort keys.
type rankedRack struct {
	rack
	preferred, slots int
}

// racksBySlots sorts the racks by falling number of preferred accelerators, then by
// falling number of task slots.
func (z *zone) racksBySlots(usable, preferred []int, perTask int) []rankedRack {
	ranked := make([]rankedRack, len(z.racks))
	for i, r := range z.racks {
		ranked[i] = rankedRack{rack: r, preferred: rackTotal(preferred, r), slots: z.slots(r, usable, perTask)}
	}
	slices.SortStableFunc(ranked, func(a, b rankedRack) int {
		if a.preferred != b.preferred {
			return cmp.Compare(b.preferred, a.preferred)
		}
		return cmp.Compare(b.slots, a.slots)
	})
	return ranked
}

// fitAround returns a placement of the given shape that uses as many of the preferred
// accelerators as possible. If the shape does not fit, the result is nil or has fewer
// tasks than the shape.
func (z *zone) fitAround(usable, preferred []int, shape api.Shape) []part {
	if shape.SameRack {
		return z.fit(usable, preferred, shape)
	}
	filled := filler{usable: usable, perTask: shape.AcceleratorsPerTask}
	shape.Tasks = filled.fillPreferred(rack{first: 0, end: len(usable)}, preferred, shape.Tasks)
	if shape.Tasks == 0 {
		return filled.parts
	}
	rest := slices.Clone(usable)
	addParts(rest, filled.parts, -shape.AcceleratorsPerTask)
	for _, p := range z.fit(rest, nil, shape) {
		filled.addTasks(p.worker, p.tasks)
	}
	return filled.parts
}

// fill appends the given number of tasks on the workers of one rack to parts: first
// those that the preferred accelerators cover, then on the workers with the least
// usable accelerators. The rack must hold all of them.
func (z *zone) fill(parts []part, r rack, usable, preferred []int, shape api.Shape, tasks int) []part {
	filled := filler{parts: parts, offset: len(parts), usable: usable, perTask: shape.AcceleratorsPerTask}
	if preferred != nil {
		tasks = filled.fillPreferred(r, preferred, tasks)
	}
	for tasks > 0 {
		best := -1
		for w := r.first; w < r.end; w++ {
			if filled.taskCapacity(w) > 0 && (best < 0 || (!z.firstFit && filled.remaining(w) < filled.remaining(best))) {
				best = w
			}
		}
		tasks -= filled.addTasks(best, min(tasks, filled.taskCapacity(best)))
	}
	return filled.parts
}

// filler assigns tasks to the workers of one rack or of the whole zone.
type filler struct {
	parts []part
	// offset is the number of leading parts that lie on other racks.
	offset  int
	usable  []int
	perTask int
}

// fillPreferred assigns tasks to workers by falling number of preferred accelerators,
// first the tasks that these cover completely, then those that they cover in part. It
// returns the number of tasks left.
func (f *filler) fillPreferred(r rack, preferred []int, tasks int) int {
	for _, atLeast := range []int{f.perTask, 1} {
		for tasks > 0 {
			best, bestLeft := -1, 0
			for w := r.first; w < r.end; w++ {
				left := preferred[w] - f.tasksOn(w)*f.perTask
				if left >= atLeast && left > bestLeft && f.taskCapacity(w) > 0 {
					best, bestLeft = w, left
				}
			}
			if best < 0 {
				break
			}
			tasks -= f.addTasks(best, min(tasks, max(1, bestLeft/f.perTask), f.taskCapacity(best)))
		}
	}
	return tasks
}

// remaining returns the usable accelerators of a worker that its assigned tasks leave.
func (f *filler) remaining(worker int) int {
	return f.usable[worker] - f.tasksOn(worker)*f.perTask
}

// taskCapacity returns the number of further tasks that a worker can take.
func (f *filler) taskCapacity(worker int) int {
	return max(0, f.remaining(worker)) / f.perTask
}

func (f *filler) tasksOn(worker int) int {
	for _, p := range f.parts[f.offset:] {
		if p.worker == worker {
			return p.tasks
		}
	}
	return 0
}

// addTasks assigns tasks to a worker and returns their number.
func (f *filler) addTasks(worker, tasks int) int {
	for i := f.offset; i < len(f.parts); i++ {
		if f.parts[i].worker == worker {
			f.parts[i].tasks += tasks
			return tasks
		}
	}
	f.parts = append(f.parts, part{worker: worker, tasks: tasks})
	return tasks
}

// slots returns the number of tasks of the given size that fit on a rack's usable
// accelerators.
func (z *zone) slots(r rack, usable []int, perTask int) int {
	total := 0
	for w := r.first; w < r.end; w++ {
		if usable[w] > 0 {
			total += usable[w] / perTask
		}
	}
	return total
}

func rackTotal(vector []int, r rack) int {
	if vector == nil {
		return 0
	}
	total := 0
	for w := r.first; w < r.end; w++ {
		total += vector[w]
	}
	return total
}
