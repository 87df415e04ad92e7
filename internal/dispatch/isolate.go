package dispatch

import (
	"cmp"

	"github.com/corianderbank/corianderbank/internal/quarantine"
)

// When a worker with several tasks crashes, only one of them is at fault. All of them become
// pending at once and look for the same capacity: placed as usual they would end up on one
// worker again, the next crash would count against all of them once more, and healthy jobs
// would fail permanently with the faulty one. Tasks whose workers crashed therefore start apart
// from those of other jobs and away from machines that crashed recently, and a start that may
// be the task's last one runs with as few other tasks as possible. This is only a preference:
// no task waits for it.

// crashSuspects records the jobs on a worker whose tasks lost other workers to crashes.
type crashSuspects struct {
	job         *job
	severalJobs bool
}

func (s *crashSuspects) add(j *job) {
	s.severalJobs = s.severalJobs || s.job != nil && s.job != j
	s.job = j
}

// includesOtherJobs reports whether tasks of other jobs are among them.
func (s *crashSuspects) includesOtherJobs(j *job) bool {
	return s.severalJobs || s.job != nil && s.job != j
}

// countCrashes sets the highest crash count of the step's tasks.
func (u *pendingStep) countCrashes() {
	for _, t := range u.tasks {
		if t.crashes != nil {
			u.maxCrashes = max(u.maxCrashes, t.crashes.Confirmed+t.crashes.Correlated+t.crashes.Recent)
		}
	}
}

// markCrashSuspects records on a worker that a step with crash suspects will use it.
func (u *pendingStep) markCrashSuspects(r *workerCapacity) {
	if u.maxCrashes > 0 {
		r.crashSuspects.add(u.step.job)
	}
}

// compareApart sorts the workers first that run no crash suspects of other jobs, and among
// those the ones that did not crash recently.
func compareApart(c *Core, u *pendingStep, a, b *workerCapacity) int {
	worse := func(r *workerCapacity) int {
		score := 0
		if r.crashSuspects.includesOtherJobs(u.step.job) {
			score += 2
		}
		if c.recentCrashes(r.worker) > 0 {
			score++
		}
		return score
	}
	return cmp.Compare(worse(a), worse(b))
}

// compareAlone works like compareApart and, for a task whose next crash fails its job
// permanently, also sorts the workers with the fewest runs first.
func compareAlone(c *Core, u *pendingStep, a, b *workerCapacity) int {
	byApart := compareApart(c, u, a, b)
	if byApart != 0 || u.maxCrashes < quarantine.CrashLimit-1 {
		return byApart
	}
	return cmp.Compare(len(a.runs), len(b.runs))
}

// crashOrder compares two workers for a step whose tasks lost workers to crashes.
func (c *Core) crashOrder(u *pendingStep, a, b *workerCapacity) int {
	if u.maxCrashes == 0 {
		return 0
	}
	return c.policies.crashSuspects(c, u, a, b)
}
