package dispatch

import (
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// health tells a sick worker from a sick job: work of several jobs that fails
// one after the other blames the worker, the same job failing on several
// workers blames the job.
type health struct {
	// failedJobs are the jobs that failed here since the last success.
	failedJobs []string
	lastFailed time.Time
}

const (
	// failingAfter failures of different jobs in a row, a worker counts as failing.
	// One may be the job's own fault.
	failingAfter = 2
	// distrustFor is how long a failing worker gets nothing new: faults that
	// pass do so within some seconds. After it one more failure renews it.
	distrustFor = 5 * time.Second
)

func (h *health) ended(e workload.Ended, now time.Time) {
	switch e.Kind {
	case workload.EndDone:
		h.failedJobs = nil
	case workload.EndFailed:
		h.lastFailed = now
		if !slices.Contains(h.failedJobs, e.Task.Job) {
			h.failedJobs = append(h.failedJobs, e.Task.Job)
		}
	}
}

// failedOthers reports whether work of other jobs failed since the last success.
func (h *health) failedOthers(job string) bool {
	return slices.ContainsFunc(h.failedJobs, func(failed string) bool { return failed != job })
}

func (h *health) failing(now time.Time) bool {
	return len(h.failedJobs) >= failingAfter && now.Sub(h.lastFailed) < distrustFor
}
