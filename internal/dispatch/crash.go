package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/quarantine"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// Crash accounting counts the workers that crashed while they ran each task, and permanently
// fails a job with a task that crashes its workers. The limits and their reasons are in
// quarantine/crashes.go; recorded.go carries the count over to later leaders.

// crashHistory holds the worker crashes counted against a task.
type crashHistory struct {
	quarantine.Crashes
	// earlierAttempts are recorded attempts of earlier leaders that this leader has not seen
	// yet.
	earlierAttempts []int64
	// reservedAttempt is the attempt reserved for the next start, or zero. The job's record
	// contains it as of reservedRevision, created at reservedAt.
	reservedAttempt  int64
	reservedRevision uint64
	reservedAt       time.Time
}

// lostAttempt is a run whose worker stopped responding or was replaced: the worker may have
// crashed or be partitioned.
type lostAttempt struct {
	task            *task
	attempt         int64
	attemptRecorded bool
	// startsSent is the number of times its start was sent.
	startsSent int
	// confirmed is set if the worker had reported the run, shared if many workers crashed at
	// the same time or the worker may be behind a network partition.
	confirmed, shared bool
	// isolated is set if the worker ran no other job.
	isolated bool
	// observed is the time for which the worker had reported the run, if that is known.
	observed      time.Duration
	observedKnown bool
	// replaced is set if another incarnation of the worker has answered since.
	replaced bool
	ran      time.Duration
	// lostAt is the time at which the run was lost, or at which its worker's crash was
	// established if that was later.
	lostAt time.Time
}

// crashKey is the task's key in the crash records. Gang members have separate keys: one may
// crash its worker while the others do not.
func (t *task) crashKey() string { return taskKey(t.step.occurrence, t.step.number, t.index) }

// ensureCrashes returns the crash history of a task, creating it if needed.
func (t *task) ensureCrashes() *crashHistory {
	if t.crashes == nil {
		t.crashes = &crashHistory{}
	}
	return t.crashes
}

// crashDecision returns how the task may start. Long-running tasks are restarted however they end, so
// that no crash keeps them waiting.
func (t *task) crashDecision() quarantine.CrashDecision {
	switch {
	case t.crashes == nil:
		return quarantine.StartFreely
	case t.step.spec.LongRunning:
		return min(t.crashes.Decide(), quarantine.StartRecorded)
	}
	return t.crashes.Decide()
}

// isFinished reports whether the task is done or its job final, so that its crashes no longer
// matter.
func (t *task) isFinished() bool { return t.done || t.step.job.record.Final != "" }

// loadCrashes loads the crash history of a task from its job's record.
func (t *task) loadCrashes() {
	j := t.step.job
	record, key := &j.record, t.crashKey()
	counted := record.Crashes(key)
	if counted == (quarantine.Crashes{}) && len(record.Attempts[key]) == 0 {
		return
	}
	t.survived = counted.Survived
	t.refreshCounts()
	t.crashes.earlierAttempts = slices.Clone(record.Attempts[key])
	j.hasEarlierAttempts = j.hasEarlierAttempts || len(t.crashes.earlierAttempts) > 0
}

// refreshCounts updates a task's crash counts from the record.
func (t *task) refreshCounts() {
	h := t.ensureCrashes()
	counted := t.step.job.record.Crashes(t.crashKey())
	counted.Survived, counted.Recent, counted.Possible = t.survived, h.Recent, h.Possible
	h.Crashes = counted
}

// observeSurvival records that a run was observed for longer than any other of its task, and
// discards the crashes that it has outlived.
func (c *Core) observeSurvival(r *run) {
	t := r.task
	if r.observed <= t.survived {
		return
	}
	t.survived = r.observed
	record, key := &t.step.job.record, t.crashKey()
	if t.crashes == nil || t.isFinished() || !record.discardOutlived(key, t.survived) {
		return
	}
	record.setSurvived(key, t.survived)
	t.refreshCounts()
	c.markChanged(t.step.job)
}

// addTo adds the crash to the record of its task.
func (lost *lostAttempt) addTo(record *Record, key string) {
	switch {
	case lost.shared:
		record.addSharedCrash(key, lost.attempt)
	case lost.confirmed:
		record.addCrash(key, lost.attempt, lost.isolated)
	default:
		record.addUnanswered(key, lost.attempt)
	}
	if lost.observedKnown {
		record.setObserved(key, lost.attempt, lost.observed)
	}
	record.setSurvived(key, lost.task.survived)
}

// outlived reports whether another run of the task shows that the task did not cause the crash.
func (lost *lostAttempt) outlived() bool {
	return lost.observedKnown && quarantine.Outlived(lost.task.survived, lost.observed)
}

// recordLostAttempt records that a run was lost with its worker. If the worker never confirmed
// the run, the pending answer to its start may still settle it. isolated is set if the worker ran
// no other job.
func (c *Core) recordLostAttempt(r *run, cause LossCause, isolated bool) {
	if r.worker.Leaving {
		return // the worker left as announced
	}
	lost := lostAttempt{task: r.task, attempt: r.attempt, attemptRecorded: r.attemptRecorded, startsSent: r.startsSent, confirmed: r.confirmed, isolated: isolated, replaced: cause == LossReplaced, observed: r.observed, observedKnown: !r.adopted, ran: c.now.Sub(r.since), lostAt: c.now}
	r.attemptRecorded = false
	if !lost.attemptRecorded && !r.task.isFinished() {
		lost.attemptRecorded = true
		c.beginAttempt(r.task, r.attempt)
	}
	h := r.task.ensureCrashes()
	switch {
	case cause == LossReplaced && r.confirmed:
		h.Recent++
		c.unsettledCrashes = append(c.unsettledCrashes, lost)
	case cause == LossReplaced && r.unanswered:
		c.countCrash(lost)
	default:
		h.Possible++
		r.worker.lostAttempts = append(r.worker.lostAttempts, lost)
	}
}

// countCrash counts a crash against a task, and fails its job permanently at the limit. The count of a
// long-running task starts over there, so that its record stays small.
func (c *Core) countCrash(lost lostAttempt) {
	t := lost.task
	if t.isFinished() {
		return
	}
	record, key := &t.step.job.record, t.crashKey()
	record.endAttempt(key, lost.attempt)
	switch {
	case quarantine.Proven(lost.ran):
		record.forgetCrashes(key)
	case !lost.outlived():
		lost.addTo(record, key)
	}
	t.refreshCounts()
	c.markChanged(t.step.job)
	switch {
	case t.crashes.Decide() != quarantine.Abandon:
	case t.step.spec.LongRunning:
		record.forgetCrashes(key)
		t.refreshCounts()
	default:
		c.failPermanently(t)
	}
}

// failPermanently ends the job of a task that crashes its workers.
func (c *Core) failPermanently(t *task) {
	j := t.step.job
	attempts := slices.Concat(j.record.Crashed[t.crashKey()], j.record.SharedCrashes[t.crashKey()])
	c.reportAbandoned(t, FailureCrashes, fmt.Sprintf("%d workers crashed while running it, in attempts %v; unanswered starts lost: %d",
		len(attempts), attempts, t.crashes.Unacknowledged))
	c.forgetMachineCrashes(attempts)
	c.finish(j, FinalFailed)
}

// settleLostAttempt applies the outcome of a lost attempt: whether its worker crashed or not.
func (c *Core) settleLostAttempt(lost lostAttempt, crashed bool) {
	lost.task.crashes.Possible--
	switch {
	case crashed && lost.confirmed:
		lost.task.crashes.Recent++
		lost.lostAt = c.now
		c.unsettledCrashes = append(c.unsettledCrashes, lost)
	case crashed:
		c.countCrash(lost)
	case lost.attemptRecorded:
		c.endAttempt(lost.task, lost.attempt)
	}
}

// settleCrashes counts crashes once the number of workers that crashed at the same time is
// known.
func (c *Core) settleCrashes() {
	for len(c.unsettledCrashes) > 0 && c.now.Sub(c.unsettledCrashes[0].lostAt) > outageWindow {
		lost := c.unsettledCrashes[0]
		c.unsettledCrashes = c.unsettledCrashes[1:]
		lost.shared = lost.shared || c.inOutage(lost.task.step.job, lost.lostAt)
		lost.task.crashes.Recent--
		c.countCrash(lost)
	}
}

// settleLostAttempts settles all lost attempts of a worker.
func (c *Core) settleLostAttempts(w *worker, crashed bool) {
	list := w.lostAttempts
	w.lostAttempts = nil
	for _, lost := range list {
		c.settleLostAttempt(lost, crashed)
	}
}

// orderAnswerTimeout is the time within which an order is answered or its call has timed out.
const orderAnswerTimeout = time.Second

// settleReplaced settles the lost attempts of a worker that another incarnation has replaced. An
// unconfirmed attempt that was lost less than orderAnswerTimeout ago is kept, because the answer
// to its start can still settle it.
func (c *Core) settleReplaced(w *worker) {
	list := w.lostAttempts
	w.lostAttempts = nil
	for _, lost := range list {
		if !lost.confirmed && c.now.Sub(lost.lostAt) < orderAnswerTimeout {
			w.lostAttempts = append(w.lostAttempts, lost)
			continue
		}
		c.settleLostAttempt(lost, true)
	}
}

// settleUnresponsive counts a worker as lost once it has not responded for longer than the
// longest lease since its runs were lost: nothing more will be learned about it in time. It may
// have crashed, or be running behind a network partition.
func (c *Core) settleUnresponsive(w *worker) {
	if len(w.lostAttempts) > 0 && c.now.Sub(w.lostAttempts[0].lostAt) > maxElapsed(c.bounds.MaxLease) {
		c.settleUnexplained(w)
	}
}

// settleUnexplained settles all lost attempts of a worker that will not respond again.
func (c *Core) settleUnexplained(w *worker) {
	for i := range w.lostAttempts {
		w.lostAttempts[i].shared = !w.lostAttempts[i].replaced
	}
	c.settleLostAttempts(w, true)
}

// settleLostStart processes the answer to a start whose run was lost in the meantime.
func (c *Core) settleLostStart(w *worker, key runKey, verdict workload.Verdict) {
	for i, lost := range w.lostAttempts {
		if lost.task.id() != key.task || lost.attempt != key.attempt {
			continue
		}
		lost.confirmed = verdict == workload.VerdictDone
		mayHaveStarted := lost.confirmed || verdict == workload.VerdictUnknown || lost.startsSent > 1
		w.lostAttempts = append(w.lostAttempts[:i], w.lostAttempts[i+1:]...)
		switch {
		case !mayHaveStarted:
			c.settleLostAttempt(lost, false)
		case w.replaced || lost.replaced:
			c.settleLostAttempt(lost, true)
		default:
			w.lostAttempts = append(w.lostAttempts, lost)
		}
		return
	}
}
