package deployment

import (
	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// JobState is the state of a job as shown to callers.
type JobState string

// The states of a job.
const (
	StateQueued    JobState = "queued"
	StateRunning   JobState = "running"
	StateCompleted JobState = "completed"
	StateFailed    JobState = "failed"
	StateCancelled JobState = "cancelled"
)

var stateOfFinal = map[dispatch.Final]JobState{
	dispatch.FinalCompleted: StateCompleted,
	dispatch.FinalFailed:    StateFailed,
	dispatch.FinalCancelled: StateCancelled,
}

// isFinal reports whether a job in this state never runs again.
func (s JobState) isFinal() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// state returns the state of a job and the job; false if it is not known.
func (r *replica) state(id string) (JobState, *workload.Job, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.jobs[id]
	if known == nil || known.job == nil {
		return "", nil, false
	}
	return r.stateOf(id, known), known.job, true
}

// stateOf returns the state of a job. A cancellation and the end of a job may cross; the one that was
// stored first is shown, so that no caller sees one final state after another.
func (r *replica) stateOf(id string, known *knownJob) JobState {
	switch {
	case known.cancelled && (known.record.Final == "" || known.cancelledVersion < known.finalVersion):
		return StateCancelled
	case known.record.Final != "":
		return stateOfFinal[known.record.Final]
	case r.started[id]:
		return StateRunning
	}
	return StateQueued
}

// pending returns, by queue, the number of jobs that have not started.
func (r *replica) pending() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]int64)
	for id, known := range r.jobs {
		if known.job != nil && r.stateOf(id, known) == StateQueued {
			counts[known.job.Queue]++
		}
	}
	return counts
}
