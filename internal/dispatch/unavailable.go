package dispatch

import "time"

// Load: work that lasts fills a pool, and a client account claims its guaranteed capacity. Runs of such
// work never end by themselves, so that none of the capacity would ever become free. A step that lasts
// may have some of its tasks unavailable: that many are stopped for a claim, counted over all workers
// and with those that are unavailable for any other cause.

// limitsUnavailable reports whether the step limits how many of its tasks may be unavailable.
func (s *step) limitsUnavailable() bool { return s.spec.LongRunning && s.spec.MaxUnavailable > 0 }

// isAvailable reports whether a run of the task is known to be at work on a worker that answers.
func (t *task) isAvailable() bool {
	for _, r := range t.runs {
		if r.state == stRunRunning && r.percent >= fullPercent && r.worker.misses == 0 && !r.worker.Leaving {
			return true
		}
	}
	return false
}

// fullPercent is the progress of a run of long-running work that is at work.
const fullPercent = 100

// spareTasks returns the number of tasks that may be made unavailable now.
func (c *Core) spareTasks(s *step) int {
	if s.spareAsOf == c.sequence {
		return s.spare
	}
	s.spareAsOf, s.spare = c.sequence, s.spec.MaxUnavailable
	for i := range s.tasks {
		if !s.tasks[i].isAvailable() {
			s.spare--
		}
		if s.spare <= 0 {
			break
		}
	}
	return s.spare
}

const (
	// startupLimit is the time for which a run has to be reported as not at work before it is not
	// expected to come to work soon.
	startupLimit = 5 * time.Second
	// freshReport is the age up to which a report tells whether a run is at work now.
	freshReport = longPollWait + pollRetryPause
)

// missedStartup reports whether a run of long-running work has not come to work, so that its task is
// unavailable with or without it.
func (c *Core) missedStartup(r *run) bool {
	fresh := r.worker.misses == 0 && c.now.Sub(r.worker.lastContact) <= freshReport
	return fresh && r.state == stRunRunning && r.percent < fullPercent && r.observed > startupLimit
}

// mayMakeUnavailable reports whether a run of a step that limits its unavailable tasks may be stopped
// for a step: only for a claim of guaranteed capacity.
func (c *Core) mayMakeUnavailable(r *run, u *pendingStep) bool {
	if u.rank.class != 0 || !c.enabled(MechServiceVictims) {
		return false
	}
	return c.missedStartup(r) || c.spareTasks(r.task.step) > 0
}

// countsAsStopped reports whether stopping a run makes a task of a step that limits them unavailable.
func (c *Core) countsAsStopped(r *run) bool {
	return r.task.step.limitsUnavailable() && !c.missedStartup(r)
}

// stoppedTasks counts, by step, the runs that a plan stops of steps that limit their unavailable tasks.
type stoppedTasks struct {
	core   *Core
	counts map[*step]int
}

func (c *Core) newStoppedTasks() stoppedTasks { return stoppedTasks{c, make(map[*step]int)} }

// take adds victims, and reports whether all steps can spare theirs. If not, it adds none.
func (t stoppedTasks) take(victims []*run) bool {
	for n, v := range victims {
		if !t.core.countsAsStopped(v) {
			continue
		}
		s := v.task.step
		if t.counts[s] >= t.core.spareTasks(s) {
			t.drop(victims[:n])
			return false
		}
		t.counts[s]++
	}
	return true
}

// drop takes victims out again.
func (t stoppedTasks) drop(victims []*run) {
	for _, v := range victims {
		if t.core.countsAsStopped(v) {
			t.counts[v.task.step]--
		}
	}
}

// withinSpare removes the victims on one worker that their steps can't spare together.
func (c *Core) withinSpare(victims []*run) []*run {
	stopped := c.newStoppedTasks()
	kept := victims[:0]
	for n, v := range victims {
		if stopped.take(victims[n : n+1]) {
			kept = append(kept, v)
		}
	}
	return kept
}

// limitedLast sorts the victims of steps that limit their unavailable tasks behind all others.
func limitedLast(a, b *run) int {
	return boolOrder(a.task.step.limitsUnavailable()) - boolOrder(b.task.step.limitsUnavailable())
}

func boolOrder(last bool) int {
	if last {
		return 1
	}
	return 0
}

// stopsLimited reports whether an offer stops runs of steps that limit their unavailable tasks; these
// are the last of its victims.
func (o offer) stopsLimited() bool {
	return len(o.victims) > 0 && o.victims[len(o.victims)-1].task.step.limitsUnavailable()
}
