package gangload

import (
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/placement"
)

// firstFit is the baseline policy. It starts jobs in order of submission, each on
// the first workers with enough free accelerators. With backfill, later jobs may
// start earlier if, by the declared run times, they do not delay the first
// waiting job (EASY backfilling).
type firstFit struct {
	backfill bool
}

// Admit implements Policy. It admits every job.
func (f *firstFit) Admit(placement.Snapshot, model.Job) *placement.Refusal { return nil }

// UsesQuarantine implements Policy.
func (f *firstFit) UsesQuarantine() bool { return false }

// Decide implements Policy.
func (f *firstFit) Decide(s placement.Snapshot) placement.Plan {
	freeByWorker := freeAccelerators(s)
	var plan placement.Plan
	var shadowTime time.Time
	var extra []int
	for i := range s.Waiting {
		job := &s.Waiting[i]
		expectedCompletion := s.Now.Add(max(time.Second, job.DeclaredRunTime-job.Progress))
		usable, outlasts := freeByWorker, !shadowTime.IsZero() && expectedCompletion.After(shadowTime)
		if outlasts {
			usable = minVector(freeByWorker, extra)
		}
		tasks := placeFirstFit(s.Workers, usable, job.Shape)
		if tasks == nil {
			if !f.backfill {
				return plan
			}
			if shadowTime.IsZero() {
				shadowTime, extra = findShadow(s, freeByWorker, plan, job.Shape)
			}
			continue
		}
		allocate(s.Workers, freeByWorker, tasks)
		if outlasts {
			allocate(s.Workers, extra, tasks)
		}
		plan.Placements = append(plan.Placements, placement.Placement{JobID: job.ID, Tasks: tasks, ExpectedCompletion: expectedCompletion})
	}
	return plan
}

// freeAccelerators returns the number of free accelerators of each worker, in the
// order of the workers. It is 0 for a worker on which no new tasks may be placed.
func freeAccelerators(s placement.Snapshot) []int {
	free := make([]int, len(s.Workers))
	used := make(map[string]int)
	for _, gang := range s.Gangs {
		for _, p := range gang.Placements {
			used[p.Worker] += p.Accelerators
		}
	}
	for i, worker := range s.Workers {
		if worker.AcceptsTasks() {
			free[i] = worker.Accelerators - used[worker.ID]
		}
	}
	return free
}

// placeFirstFit places a shape on the first workers with free accelerators of the
// first rack that can hold all of its tasks. It returns nil if no rack can.
func placeFirstFit(workers []model.Worker, free []int, shape api.Shape) []api.TaskPlacement {
	for rackStart := 0; rackStart < len(workers); {
		rackEnd := rackStart
		var tasks []api.TaskPlacement
		remaining := shape.Tasks
		for rackEnd < len(workers) && workers[rackEnd].Rack == workers[rackStart].Rack {
			if count := min(remaining, free[rackEnd]/shape.AcceleratorsPerTask); count > 0 {
				remaining -= count
				tasks = append(tasks, api.TaskPlacement{Worker: workers[rackEnd].ID, Tasks: count, Accelerators: count * shape.AcceleratorsPerTask})
			}
			rackEnd++
		}
		if remaining == 0 {
			return tasks
		}
		rackStart = rackEnd
	}
	return nil
}

// findShadow returns the shadow time of a shape, which is the earliest time at which
// it fits if every gang ends as expected, and the accelerators of each worker that
// remain free once it has been placed at that time. The shadow time of a shape that
// never fits is 1000 hours ahead.
func findShadow(s placement.Snapshot, free []int, plan placement.Plan, shape api.Shape) (time.Time, []int) {
	type release struct {
		at    time.Time
		tasks []api.TaskPlacement
	}
	var releases []release
	for _, gang := range s.Gangs {
		releases = append(releases, release{gang.ExpectedCompletion, gang.Placements})
	}
	for _, p := range plan.Placements {
		releases = append(releases, release{p.ExpectedCompletion, p.Tasks})
	}
	slices.SortStableFunc(releases, func(a, b release) int { return a.at.Compare(b.at) })
	projected := slices.Clone(free)
	for _, r := range releases {
		for _, task := range r.tasks {
			projected[workerIndex(s.Workers, task.Worker)] += task.Accelerators
		}
		if tasks := placeFirstFit(s.Workers, projected, shape); tasks != nil {
			allocate(s.Workers, projected, tasks)
			return r.at, projected
		}
	}
	return s.Now.Add(1000 * time.Hour), projected
}

func allocate(workers []model.Worker, free []int, tasks []api.TaskPlacement) {
	for _, task := range tasks {
		free[workerIndex(workers, task.Worker)] -= task.Accelerators
	}
}

func workerIndex(workers []model.Worker, id string) int {
	return slices.IndexFunc(workers, func(w model.Worker) bool { return w.ID == id })
}

func minVector(a, b []int) []int {
	out := make([]int, len(a))
	for i := range a {
		out[i] = min(a[i], b[i])
	}
	return out
}
