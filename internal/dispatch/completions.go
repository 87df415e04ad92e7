package dispatch

import (
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// takeCompletions takes in the ends that a worker lists, in their order.
func (c *Core) takeCompletions(w *worker, list []workload.Ended) {
	for _, e := range list {
		if e.Number <= w.heard {
			continue
		}
		w.heard = e.Number
		j := c.jobs[e.Task.Job]
		before := uint64(0)
		if j != nil {
			before = j.changed
		}
		c.takeEnd(w, e)
		if j != nil && j.changed > j.stored && (j.changed > before || c.dirty[j.ID] != nil) {
			w.unpersisted = append(w.unpersisted, unpersistedEnd{e.Number, j, j.changed})
		}
	}
	c.advanceAcknowledgeable(w)
}

// advanceAcknowledgeable moves on what may be acknowledged: all ends before the first whose
// record is not in the store.
func (c *Core) advanceAcknowledgeable(w *worker) {
	for len(w.unpersisted) > 0 && w.unpersisted[0].job.stored >= w.unpersisted[0].change {
		w.unpersisted = w.unpersisted[1:]
	}
	persisted := w.heard
	if len(w.unpersisted) > 0 {
		persisted = w.unpersisted[0].number - 1
	} else {
		w.unpersisted = nil
	}
	if persisted > w.persisted {
		w.persisted = persisted
		w.nextPoll = time.Time{}
	}
}

// takeEnd takes in one end.
func (c *Core) takeEnd(w *worker, e workload.Ended) {
	t := c.task(e.Task)
	if t == nil {
		return
	}
	r := w.runs[runKey{e.Task, e.Attempt}]
	if e.Checkpoint != "" {
		c.save(t, e.Checkpoint)
	}
	switch e.Kind {
	case workload.EndDone:
		c.done(t, r)
	case workload.EndFailed:
		c.failed(t, e.Attempt)
	}
	switch {
	case r != nil:
		w.health.ended(e, c.now)
		c.ended(r, e.Kind)
	case t.takeEarlier(e.Attempt):
		c.endAttempt(t, e.Attempt)
	}
}

// save notes a checkpoint, if it is of use.
func (c *Core) save(t *task, checkpoint string) {
	j := t.step.job
	if !t.step.spec.Checkpoints || j.record.Final != "" || t.done || j.record.Saved[t.name()] == checkpoint {
		return
	}
	j.record.setSaved(t.name(), checkpoint)
	c.change(j)
}

// ended forgets a run that has ended.
func (c *Core) ended(r *run, kind workload.EndKind) {
	if r.checkpoint != "" && kind != workload.EndDone {
		c.save(r.task, r.checkpoint)
	}
	if kind != workload.EndDone {
		if kind == workload.EndFailed {
			c.claimForRestart(r)
		}
		c.breakGang(r, "a member ended "+string(kind))
	}
	c.detach(r)
}

// done notes that a task is done; one member of a gang stands for all.
func (c *Core) done(t *task, r *run) {
	s := t.step
	if s.spec.Lasting || s.job.record.Final != "" {
		return
	}
	if r != nil && !t.done {
		c.estimates.learn(s, c.now.Sub(r.since), r.percentAtStart)
	}
	if !s.spec.Gang {
		c.taskDone(t, r)
	} else {
		for i := range s.tasks {
			c.taskDone(&s.tasks[i], r)
		}
		if r != nil {
			r.gang.done = true
		}
	}
	c.finishIfDone(s.job)
}

// taskDone notes that a task is done by a run, and stops what else runs of it:
// copies, and runs that were started after the worker was taken for lost. The
// members of the gang that is done end by themselves.
func (c *Core) taskDone(t *task, by *run) {
	if t.done {
		return
	}
	t.done = true
	s := t.step
	s.open--
	s.job.record.setDone(stepName(s.occurrence, s.number), t.index, len(s.tasks))
	c.change(s.job)
	for _, other := range t.runs {
		sameGang := by != nil && by.gang != nil && other.gang == by.gang
		if other != by && !sameGang {
			c.stop(other, "done elsewhere")
		}
	}
}

func (c *Core) finishIfDone(j *job) {
	for _, s := range j.steps {
		if s.open > 0 {
			return
		}
	}
	if j.record.Final == "" {
		c.final(j, FinalCompleted)
	}
}

// failed counts a failed attempt of a task, or of a gang once for all members.
func (c *Core) failed(t *task, attempt int64) {
	s := t.step
	j := s.job
	if s.spec.Lasting || t.done || j.record.Final != "" {
		return
	}
	if !j.record.addFailed(t.name(), attempt) {
		return
	}
	c.change(j)
	if len(j.record.Failed[t.name()]) >= c.attemptsOf(j) {
		c.final(j, FinalFailed)
	}
}

// attemptsOf is how often a task of the job may fail.
func (c *Core) attemptsOf(j *job) int {
	if c.config != nil {
		if q := c.config.Queue(j.Queue); q != nil {
			return max(q.Attempts, 1)
		}
	}
	return 1
}

// breakGang stops the rest of a gang after one member did not start, ended
// without being done, or may not run.
func (c *Core) breakGang(r *run, reason string) {
	if g := r.gang; g != nil && !g.broken && !g.done {
		c.stopGang(r.task.step, g, r, reason)
	}
}

// stopGang stops all members of a gang but one, which may be nil.
func (c *Core) stopGang(s *step, g *gang, but *run, reason string) {
	g.broken = true
	s.job.broken++
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if r.gang == g && r != but {
				c.stop(r, "gang broken: "+reason)
			}
		}
	}
}

// breakPartial stops gangs of which an earlier epoch started only some members:
// its leader was replaced between two orders. Once no other member can run
// unseen, the ones that wait would only wait for ever.
func (c *Core) breakPartial() {
	for _, j := range c.queue {
		if !j.old || j.runs == 0 || c.mayRunUnsynced(j) {
			continue
		}
		for _, s := range j.steps {
			if g := s.gang; g != nil && g.runs < s.open && !g.broken && !g.done {
				c.stopGang(s, g, nil, "members are missing")
			}
		}
	}
}
