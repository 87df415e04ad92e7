package dispatch

import (
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// health distinguishes unhealthy workers from unhealthy jobs: consecutive failures of several
// jobs count against the worker, while a job that fails on several workers is itself at fault.
type health struct {
	// failedJobs are the jobs that failed on the worker since the last success.
	failedJobs []string
	lastFailed time.Time
}

const (
	// failingAfter is the number of different jobs that must fail in a row for a worker to
	// count as failing. A single one may be the job's own fault.
	failingAfter = 2
	// failingHoldOff is how long a failing worker gets no new work: transient faults pass
	// within some seconds. After it, one more failure renews the exclusion.
	failingHoldOff = 5 * time.Second
)

func (h *health) recordCompletion(e workload.Completion, now time.Time) {
	switch e.Kind {
	case workload.CompletionDone:
		h.failedJobs = nil
	case workload.CompletionFailed:
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
	return len(h.failedJobs) >= failingAfter && now.Sub(h.lastFailed) < failingHoldOff
}
