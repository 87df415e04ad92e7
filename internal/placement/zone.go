package placement

import (
	"sort"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

// zone is the workers of an availability zone in the order of their racks, with dense
// indices, so that every count of accelerators is a vector indexed by worker.
type zone struct {
	workers []model.Worker
	index   map[string]int
	racks   []rack
	// capacity is zero for a worker that takes no new tasks.
	capacity []int
	// firstFit takes the first rack and workers that fit; see Disabled.BestFit.
	firstFit bool
}

// rack is a contiguous range of workers: those with first <= index < end.
type rack struct {
	first, end int
}

// part is a number of tasks of a gang on one worker.
type part struct {
	worker, tasks int
}

// newZone sorts the workers by rack and ID. With includeUnavailable, workers in any
// state of health count as capacity, otherwise only those that take new tasks.
func newZone(workers []model.Worker, includeUnavailable bool) *zone {
	z := &zone{workers: append([]model.Worker(nil), workers...), index: make(map[string]int, len(workers))}
	sort.Slice(z.workers, func(i, j int) bool {
		a, b := &z.workers[i], &z.workers[j]
		if a.Rack != b.Rack {
			return a.Rack < b.Rack
		}
		return a.ID < b.ID
	})
	z.capacity = make([]int, len(z.workers))
	for i := range z.workers {
		w := &z.workers[i]
		z.index[w.ID] = i
		if includeUnavailable || w.AcceptsTasks() {
			z.capacity[i] = w.Accelerators
		}
		if i == 0 || w.Rack != z.workers[i-1].Rack {
			z.racks = append(z.racks, rack{first: i})
		}
		z.racks[len(z.racks)-1].end = i + 1
	}
	return z
}

// zeroVector returns a zero vector with one entry for each worker.
func (z *zone) zeroVector() []int { return make([]int, len(z.workers)) }

// partsOf converts the placements of a gang to parts. Tasks on unknown workers are
// omitted.
func (z *zone) partsOf(placements []api.TaskPlacement) []part {
	parts := make([]part, 0, len(placements))
	for _, placement := range placements {
		if worker, ok := z.index[placement.Worker]; ok {
			parts = append(parts, part{worker: worker, tasks: placement.Tasks})
		}
	}
	return parts
}

// placements converts parts to the placements of a plan.
func (z *zone) placements(parts []part, shape api.Shape) []api.TaskPlacement {
	tasks := make([]api.TaskPlacement, 0, len(parts))
	for _, p := range parts {
		tasks = append(tasks, api.TaskPlacement{
			Worker:       z.workers[p.worker].ID,
			Tasks:        p.tasks,
			Accelerators: p.tasks * shape.AcceleratorsPerTask,
		})
	}
	return tasks
}

// addParts adds the parts of a gang with perTask accelerators per task to a vector. A
// negative perTask subtracts them.
func addParts(vector []int, parts []part, perTask int) {
	for _, p := range parts {
		vector[p.worker] += p.tasks * perTask
	}
}
