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

// Limits of a worker's entry. Sums over all workers, and times derived from its numbers, must not
// overflow.
const (
	// maxResource bounds each resource of a worker: thousandths of a core, megabytes, accelerators.
	maxResource = 1 << 40
	// maxLeavesInMS bounds the time that a leaving worker has left, in milliseconds.
	maxLeavesInMS = 366 * 24 * 3600 * 1000
	// maxIncarnation is the largest integer that every JSON decoder represents exactly.
	maxIncarnation = 1 << 53
	maxLabelBytes  = 4096
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

func (r Resources) within(limit int64) bool {
	return r.MilliCPU <= limit && r.MemoryMB <= limit && r.Accelerators <= limit
}

// Check returns an error if the id, address or pool is empty, or a number or the labels are out of
// range.
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
	case !w.Capacity.within(maxResource) || w.LeavesInMS > maxLeavesInMS || w.Incarnation > maxIncarnation:
		return fmt.Errorf("a field is too large")
	}
	labelBytes := 0
	for _, label := range w.Labels {
		labelBytes += len(label)
	}
	if labelBytes > maxLabelBytes {
		return fmt.Errorf("%d bytes of labels, at most %d are allowed", labelBytes, maxLabelBytes)
	}
	return nil
}
