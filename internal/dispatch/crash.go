package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/quarantine"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file counts the workers that went down under each task, and gives a job up of
// which a task takes its workers down (quarantine/crashes.go says when, and why). The
// count is part of the job's record. Before a task with crashes starts, the store knows
// of them and that a trial of the task begins: a later leader that finds no trace of that
// run takes it for one more crash.

// suspicion is what is held against a task.
type suspicion struct {
	quarantine.Crashes
	// inherited are the attempts that earlier leaders tried, until something is seen of
	// them.
	inherited []int64
	// next is the attempt that is to be its next trial, zero if there is none; the record
	// tells of it with nextChange, asked for at nextAsked.
	next       int64
	nextChange uint64
	nextAsked  time.Time
}

// lapsedRun is a run whose worker fell silent: the worker may have crashed, or be cut off.
type lapsedRun struct {
	task    *task
	attempt int64
	trial   bool
	// copies is how often its start was sent.
	copies int
	ran    time.Duration
	since  time.Time
}

// trialPatience is how long room is held for a trial that the store does not know of yet.
const trialPatience = 150 * time.Millisecond

// ownName is the task's name in the record of crashes. Members of a gang do not share it:
// one may take its worker down and the others not.
func (t *task) ownName() string { return taskName(t.step.occurrence, t.step.number, t.index) }

// suspect returns what is held against a task, to add to it.
func (t *task) suspect() *suspicion {
	if t.suspicion == nil {
		t.suspicion = &suspicion{}
	}
	return t.suspicion
}

func (t *task) standing() quarantine.Standing {
	if t.suspicion == nil {
		return quarantine.Clear
	}
	return t.suspicion.Standing()
}

// over reports whether it no longer matters what a task does.
func (t *task) over() bool { return t.done || t.step.job.record.Final != "" }

// loadSuspicion takes what the record holds against a task.
func (t *task) loadSuspicion() {
	j := t.step.job
	if len(j.record.Crashed)+len(j.record.Trials) == 0 {
		return
	}
	crashes, trials := len(j.record.Crashed[t.ownName()]), j.record.Trials[t.ownName()]
	if crashes+len(trials) > 0 {
		s := t.suspect()
		s.Seen, s.inherited = crashes, slices.Clone(trials)
		j.inherited = j.inherited || len(trials) > 0
	}
}

// lostWith takes that a run was lost with its worker. Of a start that was not answered yet
// its answer will say whether it was carried out.
func (c *Core) lostWith(r *run, cause LossCause) {
	if r.worker.Leaving {
		return // it went as it had said
	}
	lost := lapsedRun{task: r.task, attempt: r.attempt, trial: r.trial, copies: r.copies, ran: c.now.Sub(r.since), since: c.now}
	r.trial = false
	if cause == LossReplaced && r.state != stRunOrdered {
		c.countCrash(lost)
		return
	}
	r.task.suspect().Possible++
	if !lost.trial && !r.task.over() {
		lost.trial = true
		c.beginTrial(r.task, r.attempt)
	}
	r.worker.lapsed = append(r.worker.lapsed, lost)
}

// countCrash counts a crash against a task, and gives its job up at the limit.
func (c *Core) countCrash(lost lapsedRun) {
	t := lost.task
	if t.over() {
		return
	}
	record := &t.step.job.record
	record.endTrial(t.ownName(), lost.attempt)
	if quarantine.Proven(lost.ran) {
		delete(record.Crashed, t.ownName())
	} else {
		record.addCrash(t.ownName(), lost.attempt)
	}
	t.suspect().Seen = len(record.Crashed[t.ownName()])
	c.change(t.step.job)
	if t.standing() == quarantine.Guilty {
		c.giveUp(t)
	}
}

// giveUp ends the job of a task that takes its workers down.
func (c *Core) giveUp(t *task) {
	j := t.step.job
	attempts := j.record.Crashed[t.ownName()]
	c.actions = append(c.actions, Action{
		Kind:   ActGaveUp,
		Order:  workload.Order{Task: t.id(), Epoch: c.epoch},
		Reason: fmt.Sprintf("%d workers went down under it, in attempts %v", len(attempts), attempts),
	})
	c.acquitMachines(attempts)
	c.final(j, FinalFailed)
}

// beginTrial has the store know of an attempt that may be under way.
func (c *Core) beginTrial(t *task, attempt int64) {
	t.step.job.record.beginTrial(t.ownName(), attempt)
	c.change(t.step.job)
}

// endTrial takes that a trial ended, and its worker did not.
func (c *Core) endTrial(t *task, attempt int64) {
	if t.over() {
		return
	}
	t.step.job.record.endTrial(t.ownName(), attempt)
	c.change(t.step.job)
}

// settle takes what has become of the worker of a run that lapsed.
func (c *Core) settle(lost lapsedRun, crashed bool) {
	lost.task.suspicion.Possible--
	switch {
	case crashed:
		c.countCrash(lost)
	case lost.trial:
		c.endTrial(lost.task, lost.attempt)
	}
}

// settleLapsed does so for all runs that lapsed on a worker.
func (c *Core) settleLapsed(w *worker, crashed bool) {
	list := w.lapsed
	w.lapsed = nil
	for _, lost := range list {
		c.settle(lost, crashed)
	}
}

// settleUnheard takes workers for crashed that have been silent for so long that nothing
// will be learned of them in time.
func (c *Core) settleUnheard(w *worker) {
	if len(w.lapsed) > 0 && c.now.Sub(w.lapsed[0].since) > slowest(c.bounds.LongestLease) {
		c.settleLapsed(w, true)
	}
}

// startSettled takes the answer to a start whose run was lost meanwhile: one that was
// surely not carried out took no worker down.
func (c *Core) startSettled(w *worker, key runKey, verdict workload.Verdict) {
	for i, lost := range w.lapsed {
		if lost.task.id() != key.task || lost.attempt != key.attempt {
			continue
		}
		maybe := verdict == workload.VerdictDone || verdict == workload.VerdictUnknown
		if !maybe && lost.copies <= 1 {
			w.lapsed = append(w.lapsed[:i], w.lapsed[i+1:]...)
			c.settle(lost, false)
		}
		return
	}
}

// inheritTrials takes trials that an earlier leader began and that nobody lists for
// crashes, once all workers have answered or their leases are over.
func (c *Core) inheritTrials(j *job) {
	j.inherited = false
	for _, s := range j.steps {
		for i := range s.tasks {
			t := &s.tasks[i]
			if t.suspicion == nil {
				continue
			}
			for _, attempt := range t.suspicion.inherited {
				c.countCrash(lapsedRun{task: t, attempt: attempt})
			}
			t.suspicion.inherited = nil
		}
	}
}

// inherits reports whether an attempt is a trial of an earlier leader of which nothing was
// seen until now.
func (t *task) inherits(attempt int64) bool {
	if t.suspicion == nil {
		return false
	}
	at := slices.Index(t.suspicion.inherited, attempt)
	if at >= 0 {
		t.suspicion.inherited = slices.Delete(t.suspicion.inherited, at, at+1)
	}
	return at >= 0
}

// noteUnseen takes that a worker was lost, or is no longer waited for, before it answered
// this epoch. Any task that an earlier leader started may have run there; the next leader
// is to know more than this one.
func (c *Core) noteUnseen(w *worker) {
	c.lostUnseen = c.lostUnseen || w.mayRunUnsynced()
}

// endWait does so, once, for the workers that are no longer waited for.
func (c *Core) endWait() {
	if c.waitEnded || c.now.Before(c.surelyQuiet) {
		return
	}
	c.waitEnded = true
	for _, w := range c.fleet {
		c.noteUnseen(w)
	}
}

// awaitsTrial reports whether one of the first tasks of a step may not start yet because
// the store does not know of its trial, and has it stored.
func (c *Core) awaitsTrial(u *pendingStep, count int) bool {
	waits := false
	j := u.step.job
	for _, t := range u.tasks[:count] {
		if t.standing() == quarantine.Clear && !(c.lostUnseen && j.old) {
			continue
		}
		s := t.suspect()
		if s.next == 0 {
			s.next = c.reserveAttempt(t)
			c.beginTrial(t, s.next)
			s.nextChange, s.nextAsked = j.changed, c.now
		}
		waits = waits || j.stored < s.nextChange
	}
	return waits
}

// reserveAttempt is the number of a task's next trial; members of a gang share it.
func (c *Core) reserveAttempt(t *task) int64 {
	if t.step.spec.Gang {
		for i := range t.step.tasks {
			if s := t.step.tasks[i].suspicion; s != nil && s.next != 0 {
				return s.next
			}
		}
	}
	return c.nextAttempt()
}

// attemptOf is the number of the next start of a task, or of the gang that begins with it.
func (c *Core) attemptOf(tasks []*task) int64 {
	for _, t := range tasks {
		if t.suspicion != nil && t.suspicion.next != 0 {
			return t.suspicion.next
		}
	}
	return c.nextAttempt()
}

// holdForTrial holds the rooms of a step whose trial is being stored, unless the store is
// slow: others may use them then.
func (c *Core) holdForTrial(u *pendingStep, places []*room) {
	for _, t := range u.tasks[:len(places)] {
		if s := t.suspicion; s != nil && s.next != 0 && c.now.Sub(s.nextAsked) > trialPatience {
			return
		}
	}
	takeRoom(u, places)
}

// beginsTrial reports whether an attempt of a task is the trial that the store knows of.
func (t *task) beginsTrial(attempt int64) bool {
	if t.suspicion == nil || t.suspicion.next != attempt {
		return false
	}
	t.suspicion.next = 0
	return true
}
