package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/quarantine"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// pendingStep is a unit of placement: all tasks of a gang step, or the waiting tasks of any
// other step.
type pendingStep struct {
	step  *step
	queue *workload.Queue
	tasks []*task
	// dueBy is the time at which the job misses its latency objective, worthlessAfter the time
	// after which completing it has no value.
	dueBy, worthlessAfter time.Time
	// duration is the estimated run time of a task on a worker of the usual speed, after that of
	// the longest chain of steps that follow.
	duration, after time.Duration
	rank            rank
	// maxCrashes is the highest number of workers that crashed under one of the tasks.
	maxCrashes int
	// failed is the highest number of failed attempts of one of the tasks.
	failed int
	// claimedCapacity holds the workers of the step's claim, one entry per task.
	claimedCapacity []*workerCapacity
	// trial is set if the step tries doubted workers.
	trial bool
	// held is the free capacity beside the step, or nil if it has not been looked at.
	held *HeldCapacity
}

// rank orders classes of work; within one rank the order policy decides.
type rank struct {
	// class is 0 for work inside a guarantee, else 1 + the queue's priority.
	class int
	// timeliness states whether the latency objective can still be met.
	timeliness timeliness
}

// timeliness is the value that completing a job can still have.
type timeliness int

const (
	// onTime jobs can meet their objective.
	onTime timeliness = iota
	// late jobs miss their objective but can still end within three times of it. They have at
	// most a third of their value.
	late
	// worthless jobs cannot end within three times their objective. They run when nothing else
	// needs the capacity.
	worthless
)

// sortKey returns the rank's position in the placement order. A late job follows jobs of the
// next priority that can be on time: in an overload the capacity would otherwise go to jobs
// with little remaining value, and make the next ones late as well.
func (r rank) sortKey() int {
	if r.class == 0 {
		return 0
	}
	return 2*r.class + 3*int(r.timeliness)
}

// rankSortKey returns sortKey, or the class if demotion of late jobs is disabled.
func (c *Core) rankSortKey(r rank) int {
	if !c.enabled(MechDemoteLate) {
		return r.class
	}
	return r.sortKey()
}

// urgent reports whether work of this rank may preempt other work: always inside a guarantee,
// otherwise only at the highest priority and if it can be on time.
func (r rank) urgent() bool { return r.class == 0 || r.class == 1 && r.timeliness == onTime }

// lateFactor is the multiple of its objective until which a job still has value.
const lateFactor = 3

// Waiting returns the number of steps that could run but waited in the last round, by the
// priority of their queue. It does not include steps that the start window held back.
func (c *Core) Waiting() map[int]int { return c.waiting }

// pendingSteps returns the steps that could run now, most important first.
func (c *Core) pendingSteps() []*pendingStep {
	c.markGuaranteed()
	c.restarting = c.restarting[:0]
	var list []*pendingStep
	unknownRuns := c.jobsWithUnknownRuns()
	for _, j := range c.queue {
		if j.record.Final != "" {
			continue
		}
		if cause := c.blockedCause(j, unknownRuns); cause != "" {
			c.recordBlocked(j, cause)
			continue
		}
		if j.hasEarlierAttempts {
			c.countEarlierAttempts(j)
		}
		q := c.queueOf(j)
		if q == nil || j.record.Final != "" {
			continue // its queue was removed before this leader knew it, or counting its crashes failed it
		}
		list = c.pendingStepsOf(list, j, q)
	}
	slices.SortStableFunc(list, func(a, b *pendingStep) int {
		if r := cmp.Compare(c.rankSortKey(a.rank), c.rankSortKey(b.rank)); r != 0 {
			return r
		}
		return c.policies.order(c, a, b)
	})
	return list
}

// blockedCause returns why no task of a job may start, or an empty string if they may. A job is
// blocked while a run of it that this epoch does not track may still be in progress.
func (c *Core) blockedCause(j *job, unknownRuns map[string]bool) string {
	switch {
	case unknownRuns[j.ID]:
		return "a run of it may not be over yet"
	case c.mayRunUnsynced(j):
		return "workers that have not answered"
	}
	return ""
}

func (c *Core) pendingStepsOf(list []*pendingStep, j *job, q *workload.Queue) []*pendingStep {
	for _, s := range j.steps {
		if s.openTasks == 0 || !c.ready(s) {
			continue
		}
		if s.claim != nil && s.gang != nil && s.gang.interrupted {
			c.restarting = append(c.restarting, s)
		}
		u := &pendingStep{step: s, queue: q, duration: c.estimates.taskDuration(s), after: c.durationAfter(s)}
		for i := range s.tasks {
			t := &s.tasks[i]
			if t.done || len(t.runs) > 0 {
				continue
			}
			if t.crashDecision() == quarantine.AwaitEvidence {
				c.recordBlocked(j, "whether its workers crashed is not known yet")
				continue
			}
			u.tasks = append(u.tasks, t)
		}
		if len(u.tasks) == 0 || s.spec.Gang && (s.gang != nil || len(u.tasks) < s.openTasks) {
			continue
		}
		u.countCrashes()
		u.failed = u.failedAttempts()
		if s.readySince.IsZero() {
			s.readySince = c.now
		}
		c.rankStep(u)
		list = append(list, u)
	}
	return list
}

func (c *Core) rankStep(u *pendingStep) {
	j := u.step.job
	objective := time.Duration(u.queue.LatencyFactor*float64(c.criticalPath(j))) + time.Duration(u.queue.GracePeriodMS)*time.Millisecond
	earliestStart := c.earliestStart(u.step)
	u.dueBy = earliestStart.Add(objective)
	u.worthlessAfter = earliestStart.Add(lateFactor * objective)
	u.rank.class = 1 + u.queue.Priority
	if j.guaranteed {
		u.rank.class = 0
	}
	switch completion := c.now.Add(c.fastestDuration(u)); {
	case u.step.spec.LongRunning:
	case completion.After(u.worthlessAfter):
		u.rank.timeliness = worthless
	case completion.After(u.dueBy):
		u.rank.timeliness = late
	}
}

// fastestDuration returns the run time of a task on the fastest workers, if they are unequal.
func (c *Core) fastestDuration(u *pendingStep) time.Duration {
	if !c.speeds.unequal || !c.policies.speed.restricts {
		return u.duration
	}
	return time.Duration(float64(u.duration) / c.speeds.fastest)
}

// durationAfter returns the estimated duration of the longest chain of steps that follow a step.
func (c *Core) durationAfter(s *step) time.Duration {
	j := s.job
	if len(j.Steps) == 1 {
		return 0
	}
	// longest holds the duration of the longest chain from the step to each later one.
	longest := make([]time.Duration, len(j.Steps))
	best := time.Duration(0)
	for i := s.number + 1; i < len(j.Steps); i++ {
		for _, earlier := range j.Steps[i].After {
			if earlier == s.number || earlier < i && longest[earlier] > 0 {
				longest[i] = max(longest[i], longest[earlier]+c.estimates.taskDuration(j.steps[i]))
			}
		}
		best = max(best, longest[i])
	}
	return best
}

// earliestStart returns the time from which the latency objective counts: when the job was
// accepted or the occurrence became due.
func (c *Core) earliestStart(s *step) time.Time {
	j := s.job
	if j.OccurrenceCount == 0 {
		return j.acceptedAt
	}
	due := j.FirstDueMS + int64(s.occurrence)*j.IntervalMS
	return c.now.Add(time.Duration(due-c.wallMS) * time.Millisecond)
}

// criticalPath returns the estimated duration of the job's longest chain of steps.
func (c *Core) criticalPath(j *job) time.Duration {
	completions := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i := range j.Steps {
		previous := time.Duration(0)
		for _, earlier := range j.Steps[i].After {
			if earlier < i {
				previous = max(previous, completions[earlier])
			}
		}
		completions[i] = previous + c.estimates.taskDuration(j.steps[i])
		longest = max(longest, completions[i])
	}
	return longest
}

// ready reports whether a step may start: it is due and its preceding steps are done.
func (c *Core) ready(s *step) bool {
	j := s.job
	if j.OccurrenceCount > 0 && c.earliestStart(s).After(c.now) {
		return false
	}
	first := s.occurrence * len(j.Steps)
	for _, before := range s.spec.After {
		if j.steps[first+before].openTasks > 0 {
			return false
		}
	}
	return true
}

// markGuaranteed marks the jobs that lie within their client account's guarantee. It considers
// jobs of the highest priority in the order of acceptance, skips those that do not fit together
// with the jobs already marked, and counts accelerators only.
func (c *Core) markGuaranteed() {
	guaranteed := make(map[string]int64)
	for _, j := range c.queue {
		j.guaranteed = false
		q := c.queueOf(j)
		if j.record.Final != "" || q == nil || q.Priority != 0 {
			continue
		}
		sum := guaranteed[j.Account] + j.accelerators()
		if sum <= c.config.Guaranteed(j.Account).Accelerators {
			j.guaranteed = true
			guaranteed[j.Account] = sum
		}
	}
}

// accelerators returns the number of accelerators that all open tasks of the job would need
// together, including those of steps that cannot run at the same time.
func (j *job) accelerators() int64 {
	var sum int64
	for _, s := range j.steps {
		sum += int64(s.openTasks) * s.spec.Need.Accelerators
	}
	return sum
}
