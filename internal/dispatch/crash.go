package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/quarantine"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file counts the workers that went down under each task, and gives a job up of
// which a task takes its workers down. When that is, and why, quarantine/crashes.go says;
// recorded.go has later leaders know of the count.

// crashHistory is what is known of the workers that went down under a task.
type crashHistory struct {
	quarantine.Crashes
	// earlier are the recorded attempts of earlier leaders of which nothing was seen yet.
	earlier []int64
	// next is the attempt reserved for the next start, zero if none is. The job's record
	// has it with nextChange, which was made at nextAsked.
	next       int64
	nextChange uint64
	nextAsked  time.Time
}

// lapsedRun is a run whose worker fell silent: the worker may have crashed, or be cut off.
type lapsedRun struct {
	task     *task
	attempt  int64
	recorded bool
	// copies is how often its start was sent.
	copies int
	// confirmed runs were there: the worker had said so. shared ones were lost as many
	// workers went down.
	confirmed, shared bool
	ran               time.Duration
	since             time.Time
}

// ownName is the task's name in the record of crashes. Members of a gang do not share it:
// one may take its worker down and the others not.
func (t *task) ownName() string { return taskName(t.step.occurrence, t.step.number, t.index) }

// ensureCrashes returns the crash history of a task, to add to it.
func (t *task) ensureCrashes() *crashHistory {
	if t.crashes == nil {
		t.crashes = &crashHistory{}
	}
	return t.crashes
}

func (t *task) crashDecision() quarantine.CrashDecision {
	if t.crashes == nil {
		return quarantine.StartFreely
	}
	return t.crashes.Decide()
}

// over reports whether it no longer matters what a task does.
func (t *task) over() bool { return t.done || t.step.job.record.Final != "" }

// loadCrashes takes what the record holds against a task.
func (t *task) loadCrashes() {
	j := t.step.job
	record, name := &j.record, t.ownName()
	if len(record.Crashed[name])+len(record.Shared[name])+len(record.Unanswered[name])+len(record.Attempts[name]) == 0 {
		return
	}
	t.countRecorded()
	t.crashes.earlier = slices.Clone(record.Attempts[name])
	j.hasEarlier = j.hasEarlier || len(t.crashes.earlier) > 0
}

// countRecorded brings a task's counts in line with the record.
func (t *task) countRecorded() {
	record, name := &t.step.job.record, t.ownName()
	h := t.ensureCrashes()
	h.Seen, h.Shared, h.Unsure = len(record.Crashed[name]), len(record.Shared[name]), len(record.Unanswered[name])
}

// noteLost takes that a run was lost with its worker. Where the worker never said that it
// was there, the answer to its start may still tell.
func (c *Core) noteLost(r *run, cause LossCause) {
	if r.worker.Leaving {
		return // it went as it had said
	}
	lost := lapsedRun{task: r.task, attempt: r.attempt, recorded: r.recorded, copies: r.copies, confirmed: r.confirmed, ran: c.now.Sub(r.since), since: c.now}
	r.recorded = false
	if !lost.recorded && !r.task.over() {
		lost.recorded = true
		c.beginAttempt(r.task, r.attempt)
	}
	h := r.task.ensureCrashes()
	switch {
	case cause == LossReplaced && r.confirmed:
		h.Recent++
		c.crashed = append(c.crashed, lost)
	case cause == LossReplaced && r.unanswered:
		c.countCrash(lost)
	default:
		h.Possible++
		r.worker.lapsed = append(r.worker.lapsed, lost)
	}
}

// countCrash counts a crash against a task, and gives its job up at the limit.
func (c *Core) countCrash(lost lapsedRun) {
	t := lost.task
	if t.over() {
		return
	}
	record, name := &t.step.job.record, t.ownName()
	record.endAttempt(name, lost.attempt)
	switch {
	case quarantine.Proven(lost.ran):
		record.forgetCrashes(name)
	case lost.shared:
		record.addShared(name, lost.attempt)
	case lost.confirmed:
		record.addCrash(name, lost.attempt)
	default:
		record.addUnanswered(name, lost.attempt)
	}
	t.countRecorded()
	c.change(t.step.job)
	if t.crashDecision() == quarantine.GiveUp {
		c.giveUp(t)
	}
}

// giveUp ends the job of a task that takes its workers down.
func (c *Core) giveUp(t *task) {
	j := t.step.job
	attempts := slices.Concat(j.record.Crashed[t.ownName()], j.record.Shared[t.ownName()])
	c.actions = append(c.actions, Action{
		Kind:  ActGaveUp,
		Order: workload.Order{Task: t.id(), Epoch: c.epoch},
		Reason: fmt.Sprintf("%d workers went down under it, in attempts %v; unanswered starts lost: %d",
			len(attempts), attempts, t.crashes.Unsure),
	})
	c.forgetMachineCrashes(attempts)
	c.final(j, FinalFailed)
}

// settle takes what has become of the worker of a run that lapsed.
func (c *Core) settle(lost lapsedRun, crashed bool) {
	lost.task.crashes.Possible--
	switch {
	case crashed && lost.confirmed:
		lost.task.crashes.Recent++
		lost.since = c.now
		c.crashed = append(c.crashed, lost)
	case crashed:
		c.countCrash(lost)
	case lost.recorded:
		c.endAttempt(lost.task, lost.attempt)
	}
}

// settleCrashed settles crashes once it is known how many workers went down with theirs.
func (c *Core) settleCrashed() {
	for len(c.crashed) > 0 && c.now.Sub(c.crashed[0].since) > outageWithin {
		lost := c.crashed[0]
		c.crashed = c.crashed[1:]
		lost.shared = c.inOutage(lost.task.step.job, lost.since)
		lost.task.crashes.Recent--
		c.countCrash(lost)
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

// answeredWithin is by when a start is answered or its call has timed out.
const answeredWithin = time.Second

// settleReplaced takes that another life of a worker has answered. What its own answer
// will settle waits for that.
func (c *Core) settleReplaced(w *worker) {
	list := w.lapsed
	w.lapsed = nil
	for _, lost := range list {
		if !lost.confirmed && c.now.Sub(lost.since) < answeredWithin {
			w.lapsed = append(w.lapsed, lost)
			continue
		}
		c.settle(lost, true)
	}
}

// settleUnheard takes workers for crashed that have been silent for so long that nothing
// will be learned of them in time.
func (c *Core) settleUnheard(w *worker) {
	if len(w.lapsed) > 0 && c.now.Sub(w.lapsed[0].since) > slowest(c.bounds.LongestLease) {
		c.settleLapsed(w, true)
	}
}

// startSettled takes the answer to a start whose run was lost meanwhile.
func (c *Core) startSettled(w *worker, key runKey, verdict workload.Verdict) {
	for i, lost := range w.lapsed {
		if lost.task.id() != key.task || lost.attempt != key.attempt {
			continue
		}
		lost.confirmed = verdict == workload.VerdictDone
		carriedOut := lost.confirmed || verdict == workload.VerdictUnknown || lost.copies > 1
		w.lapsed = append(w.lapsed[:i], w.lapsed[i+1:]...)
		switch {
		case !carriedOut:
			c.settle(lost, false)
		case w.over:
			c.settle(lost, true)
		default:
			w.lapsed = append(w.lapsed, lost)
		}
		return
	}
}
