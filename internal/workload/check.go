package workload

import (
	"fmt"
)

// Limits of a job. They prevent a single caller, or a row of another writer, from
// using up an instance's memory.
const (
	maxSpecBytes = 4000
	// MaxSteps is the largest number of steps.
	MaxSteps       = 256
	maxTasks       = 20_000
	maxOccurrences = 10_000
)

// Check returns an error if the job is malformed or exceeds a limit.
func (j *Job) Check() error {
	switch {
	case len(j.Spec) > maxSpecBytes:
		return fmt.Errorf("spec has %d bytes, at most %d are allowed", len(j.Spec), maxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return fmt.Errorf("%d steps, 1 to %d are allowed", len(j.Steps), MaxSteps)
	case j.OccurrenceCount < 0 || j.OccurrenceCount > maxOccurrences || j.IntervalMS < 0 || j.FirstDueMS < 0:
		return fmt.Errorf("%d occurrences each %d ms from %d ms on: out of range", j.OccurrenceCount, j.IntervalMS, j.FirstDueMS)
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
		tasks += j.Steps[i].Count * j.Occurrences()
		if tasks > maxTasks {
			return fmt.Errorf("more than %d tasks", maxTasks)
		}
	}
	return nil
}

func (s *Step) check(number int) error {
	if s.Count < 1 || s.Count > maxTasks {
		return fmt.Errorf("step %d has %d tasks, 1 to %d are allowed", number, s.Count, maxTasks)
	}
	if !s.Need.valid() || s.EstimateMS < 0 || s.MaxPerWorker < 0 || s.TargetMS < 0 || s.MaxUnavailable < 0 {
		return fmt.Errorf("step %d has a negative field", number)
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= number {
			return fmt.Errorf("step %d comes after step %d, which is no earlier one", number, dependency)
		}
	}
	return nil
}

func (r Resources) valid() bool { return r.MilliCPU >= 0 && r.MemoryMB >= 0 && r.Accelerators >= 0 }

// Check returns an error if the id, address or pool is empty or a number is negative.
func (w *Worker) Check() error {
	switch {
	case w.ID == "":
		return fmt.Errorf("id is empty")
	case w.Addr == "":
		return fmt.Errorf("address is empty")
	case w.Pool == "":
		return fmt.Errorf("pool is empty")
	case !w.Capacity.valid() || w.LeavesInMS < 0 || w.Incarnation < 0:
		return fmt.Errorf("a field is negative")
	}
	return nil
}
