package gangload

import (
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/placement"
)

// firstFit is the baseline: jobs in order of submission, each on the first
// workers that hold it. With backfill, later jobs go ahead if by the declared
// times they do not delay the first that waits.
type firstFit struct {
	backfill bool
}

// Admit implements Policy: everything is let in.
func (f *firstFit) Admit(placement.Snapshot, model.Job) *placement.Refusal { return nil }

// Quarantines implements Policy.
func (f *firstFit) Quarantines() bool { return false }

// Decide implements Policy.
func (f *firstFit) Decide(s placement.Snapshot) placement.Plan {
	free := freeOf(s)
	var plan placement.Plan
	var shadow time.Time
	var spare []int
	for i := range s.Waiting {
		job := &s.Waiting[i]
		end := s.Now.Add(max(time.Second, job.DeclaredRun-job.Progress))
		usable, outlasts := free, !shadow.IsZero() && end.After(shadow)
		if outlasts {
			usable = lower(free, spare)
		}
		tasks := fitFirst(s.Workers, usable, job.Shape)
		if tasks == nil {
			if !f.backfill {
				return plan
			}
			if shadow.IsZero() {
				shadow, spare = shadowOf(s, free, plan, job.Shape)
			}
			continue
		}
		take(s.Workers, free, tasks)
		if outlasts {
			take(s.Workers, spare, tasks)
		}
		plan.Placements = append(plan.Placements, placement.Placement{JobID: job.ID, Tasks: tasks, ExpectedEnd: end})
	}
	return plan
}

// freeOf counts the free accelerators by worker.
func freeOf(s placement.Snapshot) []int {
	free := make([]int, len(s.Workers))
	held := make(map[string]int)
	for _, gang := range s.Gangs {
		for _, p := range gang.Placements {
			held[p.Worker] += p.Accelerators
		}
	}
	for i, worker := range s.Workers {
		if worker.Takes() {
			free[i] = worker.Accelerators - held[worker.ID]
		}
	}
	return free
}

// fitFirst returns the first workers, rack by rack, that hold a shape in one
// rack, or nil.
func fitFirst(workers []model.Worker, free []int, shape api.Shape) []api.TaskPlacement {
	for first := 0; first < len(workers); {
		end := first
		var tasks []api.TaskPlacement
		left := shape.Tasks
		for end < len(workers) && workers[end].Rack == workers[first].Rack {
			if count := min(left, free[end]/shape.AcceleratorsPerTask); count > 0 {
				left -= count
				tasks = append(tasks, api.TaskPlacement{Worker: workers[end].ID, Tasks: count, Accelerators: count * shape.AcceleratorsPerTask})
			}
			end++
		}
		if left == 0 {
			return tasks
		}
		first = end
	}
	return nil
}

// shadowOf returns when a shape fits by the expected ends, and what is then
// free beside it.
func shadowOf(s placement.Snapshot, free []int, plan placement.Plan, shape api.Shape) (time.Time, []int) {
	type release struct {
		at    time.Time
		tasks []api.TaskPlacement
	}
	var releases []release
	for _, gang := range s.Gangs {
		releases = append(releases, release{gang.ExpectedEnd, gang.Placements})
	}
	for _, p := range plan.Placements {
		releases = append(releases, release{p.ExpectedEnd, p.Tasks})
	}
	slices.SortStableFunc(releases, func(a, b release) int { return a.at.Compare(b.at) })
	then := slices.Clone(free)
	for _, r := range releases {
		for _, task := range r.tasks {
			then[indexOf(s.Workers, task.Worker)] += task.Accelerators
		}
		if tasks := fitFirst(s.Workers, then, shape); tasks != nil {
			take(s.Workers, then, tasks)
			return r.at, then
		}
	}
	return s.Now.Add(1000 * time.Hour), then
}

func take(workers []model.Worker, free []int, tasks []api.TaskPlacement) {
	for _, task := range tasks {
		free[indexOf(workers, task.Worker)] -= task.Accelerators
	}
}

func indexOf(workers []model.Worker, id string) int {
	return slices.IndexFunc(workers, func(w model.Worker) bool { return w.ID == id })
}

func lower(a, b []int) []int {
	out := make([]int, len(a))
	for i := range a {
		out[i] = min(a[i], b[i])
	}
	return out
}
