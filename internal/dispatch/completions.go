package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// receiveCompletions processes the completions that a worker lists, in their order.
func (c *Core) receiveCompletions(w *worker, list []workload.Completion) {
	for _, e := range list {
		if e.Number <= w.lastCompletion {
			continue
		}
		w.lastCompletion = e.Number
		if j := c.jobs[e.Task.Job]; j != nil {
			c.receiveCompletion(w, j, e)
			continue
		}
		c.reportUnknownEnd(w, e)
		if !c.earlierJobsKnown {
			w.deferred = append(w.deferred, e)
			c.hasDeferred = true
		}
	}
	c.advanceAcknowledgeable(w)
}

// receiveCompletion applies a completion of a known job, and keeps it from being acknowledged before
// the job's record is stored.
func (c *Core) receiveCompletion(w *worker, j *job, e workload.Completion) {
	previous := j.revision
	c.applyCompletion(w, e)
	if j.revision <= j.storedRevision || j.revision == previous && c.dirty[j.ID] == nil {
		return
	}
	at, _ := slices.BinarySearchFunc(w.unstored, e.Number, func(u unstoredCompletion, number int64) int { return cmp.Compare(u.number, number) })
	w.unstored = slices.Insert(w.unstored, at, unstoredCompletion{e.Number, j, j.revision})
}

// receiveDeferred applies the completions that were deferred because the job was not known.
func (c *Core) receiveDeferred(j *job) {
	if !c.hasDeferred {
		return
	}
	for _, w := range c.fleet {
		ofJob := func(e workload.Completion) bool { return e.Task.Job == j.ID }
		if !slices.ContainsFunc(w.deferred, ofJob) {
			continue
		}
		for _, e := range w.deferred {
			if ofJob(e) {
				c.receiveCompletion(w, j, e)
			}
		}
		w.deferred = slices.DeleteFunc(w.deferred, ofJob)
		c.advanceAcknowledgeable(w)
	}
}

// dropDeferred drops the completions of jobs that are not known although all earlier ones are: their
// rows were removed.
func (c *Core) dropDeferred() {
	for _, w := range c.fleet {
		if len(w.deferred) > 0 {
			w.deferred = nil
			c.advanceAcknowledgeable(w)
		}
	}
}

func (c *Core) reportUnknownEnd(w *worker, e workload.Completion) {
	c.actions = append(c.actions, Action{Kind: ActUnknownEnd, Number: e.Number, Reason: string(e.Kind), Order: workload.Order{
		Worker: w.ID, Addr: w.Addr, Zone: w.Zone, Task: e.Task, Attempt: e.Attempt, Epoch: c.epoch,
	}})
}

// advanceAcknowledgeable updates the last completion that may be acknowledged: the one before
// the first whose job is not known or whose job record is not stored yet.
func (c *Core) advanceAcknowledgeable(w *worker) {
	for len(w.unstored) > 0 && w.unstored[0].job.storedRevision >= w.unstored[0].revision {
		w.unstored = w.unstored[1:]
	}
	acknowledgeable := w.lastCompletion
	if len(w.unstored) > 0 {
		acknowledgeable = w.unstored[0].number - 1
	} else {
		w.unstored = nil
	}
	if len(w.deferred) > 0 {
		acknowledgeable = min(acknowledgeable, w.deferred[0].Number-1)
	}
	if acknowledgeable > w.acknowledgeable {
		w.acknowledgeable = acknowledgeable
		w.nextPollAt = time.Time{}
	}
}

// applyCompletion applies one completion to its run, task and job.
func (c *Core) applyCompletion(w *worker, e workload.Completion) {
	t := c.task(e.Task)
	if t == nil {
		return
	}
	t.step.job.begun = true
	r := w.runs[runKey{e.Task, e.Attempt}]
	if e.Checkpoint != "" {
		c.saveCheckpoint(t, e.Checkpoint)
	}
	switch e.Kind {
	case workload.CompletionDone:
		c.taskCompleted(t, r)
	case workload.CompletionFailed:
		c.recordFailure(t, e.Attempt)
	}
	switch {
	case r != nil:
		c.recordEnd(w, e, r.since)
		c.runEnded(r, e.Kind)
	case t.removeEarlierAttempt(e.Attempt):
		c.endAttempt(t, e.Attempt)
	}
}

// saveCheckpoint records a checkpoint unless the task no longer needs it.
func (c *Core) saveCheckpoint(t *task, checkpoint string) {
	j := t.step.job
	if !t.step.spec.Checkpoints || j.record.Final != "" || t.done || j.record.Checkpoints[t.recordKey()] == checkpoint {
		return
	}
	j.record.setCheckpoint(t.recordKey(), checkpoint)
	c.markChanged(j)
}

// runEnded removes a run that has ended.
func (c *Core) runEnded(r *run, kind workload.CompletionKind) {
	if r.checkpoint != "" && kind != workload.CompletionDone {
		c.saveCheckpoint(r.task, r.checkpoint)
	}
	if kind != workload.CompletionDone {
		if kind == workload.CompletionFailed {
			c.claimForRestart(r)
		}
		c.interruptGang(r, "a member ended "+string(kind))
	}
	c.detach(r)
}

// taskCompleted marks a task as done; one completed member completes the whole gang.
func (c *Core) taskCompleted(t *task, r *run) {
	s := t.step
	if s.spec.LongRunning || s.job.record.Final != "" {
		return
	}
	if r != nil && !t.done {
		c.observeCompletion(r)
		c.learnRunTime(r)
	}
	if !s.spec.Gang {
		c.markTaskDone(t, r)
	} else {
		for i := range s.tasks {
			c.markTaskDone(&s.tasks[i], r)
		}
		if r != nil {
			r.gang.done = true
		}
	}
	c.finishIfDone(s.job)
}

// markTaskDone marks a task as done and stops its other runs: speculative copies, and runs that
// were started after the worker was considered lost. The members of the completed gang end by
// themselves.
func (c *Core) markTaskDone(t *task, completedBy *run) {
	if t.done {
		return
	}
	t.done = true
	s := t.step
	s.openTasks--
	s.job.record.setDone(stepKey(s.occurrence, s.number), t.index, len(s.tasks))
	s.job.record.forgetProgress(t.recordKey())
	c.markChanged(s.job)
	for _, other := range t.runs {
		sameGang := completedBy != nil && completedBy.gang != nil && other.gang == completedBy.gang
		if other != completedBy && !sameGang {
			c.stop(other, "done elsewhere")
		}
	}
}

func (c *Core) finishIfDone(j *job) {
	for _, s := range j.steps {
		if s.openTasks > 0 {
			return
		}
	}
	if j.record.Final == "" {
		c.finish(j, FinalCompleted)
	}
}

// recordFailure counts a failed attempt of a task, once per gang attempt.
func (c *Core) recordFailure(t *task, attempt int64) {
	s := t.step
	j := s.job
	if s.spec.LongRunning || t.done || j.record.Final != "" {
		return
	}
	if !j.record.addFailed(t.recordKey(), attempt) {
		return
	}
	s.failedAt = c.now
	c.markChanged(j)
	c.failIfExhausted(t)
}

// failIfExhausted fails the job of a task whose allowed attempts have failed.
func (c *Core) failIfExhausted(t *task) {
	j := t.step.job
	failed, allowed := j.record.Failed[t.recordKey()], c.allowedAttempts(j)
	if j.record.Final != "" || allowed == 0 || len(failed) < allowed {
		return
	}
	c.reportAbandoned(t, FailureAttempts, fmt.Sprintf("attempts %v failed, %d allowed as of configuration %d", failed, allowed, c.configVersion()))
	c.finish(j, FinalFailed)
}

// allowedAttempts returns the number of failed attempts after which a task fails its job, as last
// configured, or zero while no configuration with the job's queue is known.
func (c *Core) allowedAttempts(j *job) int {
	q := c.queueOf(j)
	if c.config == nil || q == nil {
		return 0
	}
	return max(q.Attempts, 1)
}

// queueOf returns the queue of a job: as configured, or, if the configuration lacks it, as last
// configured or accepted. What was accepted does not depend on the queue that brought it.
func (c *Core) queueOf(j *job) *workload.Queue {
	if c.config != nil {
		if q := c.config.Queue(j.Queue); q != nil {
			j.queue = q
		}
	}
	if j.queue == nil {
		j.queue = j.AcceptedQueue()
	}
	return j.queue
}

// Configure applies a configuration. Jobs whose queue it lacks keep the one that they have, and
// those whose attempts were exhausted before their queue was known fail now.
func (c *Core) Configure(config *workload.Configuration) {
	for _, j := range c.queue {
		if q := c.queueOf(j); q != nil && (config == nil || config.Queue(j.Queue) == nil) {
			kept := *q // the rest of the configuration that had it is not needed
			j.queue = &kept
		}
	}
	c.config = config
	for _, j := range c.queue {
		c.failExhausted(j)
	}
}

// failExhausted fails a job with a task whose allowed attempts have failed.
func (c *Core) failExhausted(j *job) {
	if len(j.record.Failed) == 0 {
		return
	}
	for _, s := range j.steps {
		for i := range s.tasks {
			c.failIfExhausted(&s.tasks[i])
		}
	}
}

// interruptGang stops the remaining members of a gang after one member did not start, ended
// without completing, or became unclear.
func (c *Core) interruptGang(r *run, reason string) {
	if g := r.gang; g != nil && !g.interrupted && !g.done {
		c.stopGang(r.task.step, g, r, reason)
	}
}

// stopGang stops all members of a gang except one, which may be nil.
func (c *Core) stopGang(s *step, g *gang, except *run, reason string) {
	g.interrupted = true
	s.job.interruptions++
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if r.gang == g && r != except {
				c.stop(r, "gang interrupted: "+reason)
			}
		}
	}
}

// interruptPartialGangs stops gangs that an earlier epoch started only in part, because its leader
// was replaced between two orders. Once no other member can be running unseen, the started ones
// would wait forever.
func (c *Core) interruptPartialGangs() {
	for _, j := range c.queue {
		if !j.fromEarlierEpoch || j.runs == 0 || c.mayRunUnsynced(j) {
			continue
		}
		for _, s := range j.steps {
			if g := s.gang; g != nil && g.runs < s.openTasks && !g.interrupted && !g.done {
				c.stopGang(s, g, nil, "members are missing")
			}
		}
	}
}
