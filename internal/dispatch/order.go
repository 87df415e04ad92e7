package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/quarantine"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// pendingStep is what is placed as a whole: all tasks of a gang step, or the waiting
// tasks of any other step.
type pendingStep struct {
	step  *step
	queue *workload.Queue
	tasks []*task
	// dueBy is when the job misses its latency objective, lostBy when it earns
	// nothing any more.
	dueBy, lostBy time.Time
	// length is the estimated run time of a task.
	length time.Duration
	rank   rank
	// crashes is the most workers that went down under one of the tasks.
	crashes int
	// claimed is the room of the step's claim, one entry a task.
	claimed []*room
}

// rank orders classes of work; within one class time decides.
type rank struct {
	// class is 0 for work inside a guarantee, else 1 + the queue's priority.
	class int
	// hope says whether the latency objective can still be met.
	hope hope
}

// hope is what a job can still earn.
type hope int

const (
	// onTime jobs can meet their objective.
	onTime hope = iota
	// late jobs can only end before three times their objective: they are worth
	// a third or less of what they were.
	late
	// lost jobs cannot even do that. They run when nothing else wants the room.
	lost
)

// place orders ranks. A late job comes behind jobs of the next priority that
// can be on time: in an overload the room would otherwise go to jobs that are
// worth little any more, and make the next ones late as well.
func (r rank) place() int {
	if r.class == 0 {
		return 0
	}
	return 2*r.class + 3*int(r.hope)
}

// placeOf orders ranks as place does, or by priority alone.
func (c *Core) placeOf(r rank) int {
	if !c.has(MechDemoteLate) {
		return r.class
	}
	return r.place()
}

// urgent work may have others stopped: inside a guarantee always, else only of
// the first priority and if that makes it on time.
func (r rank) urgent() bool { return r.class == 0 || r.class == 1 && r.hope == onTime }

// lateFactor: a job is worth something until this many times its objective.
const lateFactor = 3

// Waiting counts the steps that could run and do not, by their queue's priority, as
// of the last round.
func (c *Core) Waiting() map[int]int { return c.waiting }

// pendingSteps lists what could run now, most important first.
func (c *Core) pendingSteps() []*pendingStep {
	c.protect()
	c.restarting = c.restarting[:0]
	var list []*pendingStep
	unknownRuns := c.jobsWithUnknownRuns()
	for _, j := range c.queue {
		if j.record.Final != "" {
			continue
		}
		if why := c.heldBack(j, unknownRuns); why != "" {
			c.recordHeldBack(j, why)
			continue
		}
		if j.hasEarlier {
			c.countEarlier(j)
		}
		q := c.config.Queue(j.Queue)
		if q == nil || j.record.Final != "" {
			continue // its queue was dropped: nothing says where it may run
		}
		list = c.pendingStepsOf(list, j, q)
	}
	slices.SortStableFunc(list, func(a, b *pendingStep) int {
		if r := cmp.Compare(c.placeOf(a.rank), c.placeOf(b.rank)); r != 0 {
			return r
		}
		return c.ways.order(c, a, b)
	})
	return list
}

// heldBack says why nothing of a job may start although it could run: a run of it
// that this epoch does not know may not be over. Empty if nothing holds it.
func (c *Core) heldBack(j *job, unknownRuns map[string]bool) string {
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
		if s.open == 0 || !c.ready(s) {
			continue
		}
		if s.claim != nil && s.gang != nil && s.gang.broken {
			c.restarting = append(c.restarting, s)
		}
		u := &pendingStep{step: s, queue: q, length: c.estimates.of(s)}
		for i := range s.tasks {
			t := &s.tasks[i]
			if t.done || len(t.runs) > 0 {
				continue
			}
			if t.crashDecision() == quarantine.AwaitEvidence {
				c.recordHeldBack(j, "whether workers went down under it is not known yet")
				continue
			}
			u.tasks = append(u.tasks, t)
		}
		if len(u.tasks) == 0 || s.spec.Gang && (s.gang != nil || len(u.tasks) < s.open) {
			continue
		}
		u.noteCrashes()
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
	objective := time.Duration(u.queue.Stretch*float64(c.criticalPath(j))) + time.Duration(u.queue.GraceMS)*time.Millisecond
	earliestStart := c.earliestStart(u.step)
	u.dueBy = earliestStart.Add(objective)
	u.lostBy = earliestStart.Add(lateFactor * objective)
	u.rank.class = 1 + u.queue.Priority
	if j.protected {
		u.rank.class = 0
	}
	switch ends := c.now.Add(u.length); {
	case u.step.spec.Lasting:
	case ends.After(u.lostBy):
		u.rank.hope = lost
	case ends.After(u.dueBy):
		u.rank.hope = late
	}
}

// earliestStart is when the clock of the latency objective starts: when the job was
// received, or when the occurrence is due.
func (c *Core) earliestStart(s *step) time.Time {
	j := s.job
	if j.Times == 0 {
		return j.received
	}
	due := j.FirstMS + int64(s.occurrence)*j.EveryMS
	return c.now.Add(time.Duration(due-c.wallMS) * time.Millisecond)
}

// criticalPath is the estimated length of the job's longest chain of steps.
func (c *Core) criticalPath(j *job) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i := range j.Steps {
		before := time.Duration(0)
		for _, earlier := range j.Steps[i].After {
			if earlier < i {
				before = max(before, ends[earlier])
			}
		}
		ends[i] = before + c.estimates.of(j.steps[i])
		longest = max(longest, ends[i])
	}
	return longest
}

// ready reports whether a step may start: its time has come and the steps
// before it are done.
func (c *Core) ready(s *step) bool {
	j := s.job
	if j.Times > 0 && c.earliestStart(s).After(c.now) {
		return false
	}
	first := s.occurrence * len(j.Steps)
	for _, before := range s.spec.After {
		if j.steps[first+before].open > 0 {
			return false
		}
	}
	return true
}

// protect marks the jobs that lie within their client account's guarantee: the
// most urgent ones, in the order of acceptance, as long as their sum fits.
func (c *Core) protect() {
	taken := make(map[string]int64)
	for _, j := range c.queue {
		j.protected = false
		q := c.config.Queue(j.Queue)
		if j.record.Final != "" || q == nil || q.Priority != 0 {
			continue
		}
		sum := taken[j.Account] + j.accelerators()
		if sum <= c.config.Guaranteed(j.Account).Accelerators {
			j.protected = true
			taken[j.Account] = sum
		}
	}
}

// accelerators is what the open steps of a job need at once at most.
func (j *job) accelerators() int64 {
	var sum int64
	for _, s := range j.steps {
		sum += int64(s.open) * s.spec.Need.Accelerators
	}
	return sum
}
