package dispatch

import (
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// On some platforms a worker that crashed starts again under its id. Its new incarnation runs
// nothing, and numbers its completions and its clock from the beginning: a completion that was
// taken for one of the earlier incarnation would be lost, and its task would run twice. Only an
// answer establishes a new incarnation, because its list of runs shows what is over. An entry of
// the platform's list that is ahead of the answers merely causes a poll.

// isOutdated reports whether a listed entry describes an earlier incarnation than the one that
// answers.
func (w *worker) isOutdated(listed workload.Worker) bool {
	return listed.Incarnation != 0 && listed.Incarnation < w.incarnation
}

// restartUnconfirmed reports whether the list names a later incarnation than the one that
// answers.
func (w *worker) restartUnconfirmed() bool {
	return w.incarnation != 0 && w.Incarnation > w.incarnation
}

// incarnationSettled reports whether the list, the answers and the stored table agree on the
// incarnation. Until then its capacity and labels may be those of an earlier one.
func (w *worker) incarnationSettled() bool {
	answers := w.incarnation == 0 || w.Incarnation == 0 || w.incarnation == w.Incarnation
	return answers && w.storedIncarnation == w.Incarnation
}

// admitReport reports whether the answer to a poll concerns the incarnation that is known now,
// after replacing it if the answer came from a later one.
func (c *Core) admitReport(w *worker, poll workload.Poll, report workload.Report) bool {
	switch {
	case report.Verdict == workload.VerdictFenced:
		return true
	case report.Verdict == workload.VerdictDone && report.Incarnation > w.incarnation:
		c.incarnationAnswered(w, report.Incarnation, reportedRuns(report))
		return true
	case report.Incarnation != 0 && report.Incarnation < w.incarnation:
		return false
	}
	return poll.Incarnation == 0 || poll.Incarnation == w.incarnation
}

// reportedRuns returns the runs that a report lists as running or ended.
func reportedRuns(report workload.Report) map[runKey]bool {
	reported := make(map[runKey]bool, len(report.Running)+len(report.Ended))
	for _, r := range report.Running {
		reported[runKey{r.Task, r.Attempt}] = true
	}
	for _, e := range report.Ended {
		reported[runKey{e.Task, e.Attempt}] = true
	}
	return reported
}

// admitResult works like admitReport for the answer to an order. It also admits answers about
// runs that were ordered from an earlier incarnation and are still unsettled.
func (c *Core) admitResult(w *worker, order workload.Order, result workload.OrderResult) (current bool) {
	if result.Incarnation > w.incarnation {
		started := map[runKey]bool{}
		if result.Verdict == workload.VerdictDone {
			started[runKey{order.Task, order.Attempt}] = true
		}
		c.incarnationAnswered(w, result.Incarnation, started)
	}
	if result.Incarnation != 0 {
		return result.Incarnation == w.incarnation
	}
	return order.Incarnation == w.incarnation
}

// incarnationAnswered records the first answer of an incarnation. present holds the runs that it
// is known to have.
func (c *Core) incarnationAnswered(w *worker, incarnation int64, present map[runKey]bool) {
	if w.incarnation != 0 {
		c.workerRestarted(w, present)
	} else if w.firstIncarnation != 0 && w.firstIncarnation < incarnation {
		c.recordLostUnsynced(w)
	}
	w.incarnation = incarnation
}

// workerRestarted ends the runs of the earlier incarnation of a worker, all but those that the
// new one has, and resets what was known about the earlier one.
func (c *Core) workerRestarted(w *worker, present map[runKey]bool) {
	c.recordLostUnsynced(w)
	if !w.Leaving {
		c.recordMachineCrash(w)
	}
	c.settleReplaced(w)
	w.markReplaced()
	for i := range w.lateStarts {
		w.lateStarts[i].closedAt = 0 // this incarnation has not seen the stop
	}
	for _, closed := range w.closedStarts {
		if !c.isForgotten(closed) && !present[closed.key] {
			w.lateStarts = append(w.lateStarts, lateStart{key: closed.key})
		}
	}
	lost := w.sortedRuns(func(r *run) bool { return !present[runKey{r.task.id(), r.attempt}] })
	isolated := w.runsOneJob()
	for _, r := range lost {
		if r.mayStartLate() {
			w.lateStarts = append(w.lateStarts, lateStart{key: runKey{r.task.id(), r.attempt}})
		}
		c.reportLostRun(r, LossReplaced, len(lost)-1)
		c.recordLostAttempt(r, LossReplaced, isolated)
		c.runEnded(r, workload.CompletionExpired)
	}
	for _, j := range c.queue {
		for _, s := range j.steps {
			delete(s.advice.tickets, w.ID) // tickets are valid for one incarnation
		}
	}
	c.soundness.Halve(w.ID, c.now)
	*w = worker{
		Worker: w.Worker, stored: w.stored, storedLeaving: w.storedLeaving, storedIncarnation: w.storedIncarnation,
		unlistedSince: w.unlistedSince, runs: w.runs, used: w.used, lostAttempts: w.lostAttempts, lateStarts: w.lateStarts,
		clockAt: c.now, wantPoll: true, speed: w.speed.afterRestart(&c.speeds.speedPrior),
	}
}

// mayStartLate reports whether a call with the run's start may still be carried out, by whichever
// incarnation receives it.
func (r *run) mayStartLate() bool { return !r.confirmed || r.startsSent > 1 }

// lateStartRetention is the time for which an attempt that is closed on one incarnation is closed on
// the next ones as well.
const lateStartRetention = 15 * time.Second

// closedStart is an attempt that is closed on this incarnation, and whose start may reach a later one.
type closedStart struct {
	key runKey
	at  time.Time
}

// rememberClosedStart keeps an attempt for the next incarnation, on platforms that have them.
func (c *Core) rememberClosedStart(w *worker, key runKey) {
	if w.incarnation == 0 {
		return
	}
	w.closedStarts = slices.DeleteFunc(w.closedStarts, c.isForgotten)
	w.closedStarts = append(w.closedStarts, closedStart{key, c.now})
}

func (c *Core) isForgotten(closed closedStart) bool { return c.now.Sub(closed.at) > lateStartRetention }

// lateStart is an attempt ordered from an earlier incarnation whose start may still reach this one.
type lateStart struct {
	key runKey
	// closedAt is the sequence from which a poll reflects its stop, or zero until a stop is answered.
	closedAt uint64
}

// closeLateStarts stops, on the new incarnation, the attempts whose start may still reach it. A
// worker rejects the start of an attempt that was stopped before. Their jobs wait until a poll that
// was sent after the answer to the stop.
func (c *Core) closeLateStarts(w *worker, sent uint64) {
	list := w.lateStarts
	w.lateStarts = nil
	for _, late := range list {
		if w.runs[late.key] != nil {
			continue
		}
		if late.closedAt != 0 && sent >= late.closedAt {
			c.rememberClosedStart(w, late.key)
			continue
		}
		w.lateStarts = append(w.lateStarts, late)
		c.stopUnknownRun(w, workload.Running{Task: late.key.task, Attempt: late.key.attempt})
	}
}

// lateStartClosed records the answer to the stop of a late start.
func (c *Core) lateStartClosed(w *worker, key runKey) {
	for i := range w.lateStarts {
		if late := &w.lateStarts[i]; late.key == key && late.closedAt == 0 {
			late.closedAt = c.sequence
			w.wantPoll = true
		}
	}
}

// maxClockLag bounds the age of an answer: the clock in it may be that much behind.
const maxClockLag = 3 * time.Second

// clockRestarted reports whether the clock in an answer cannot be that of the known incarnation.
// Answers to orders may not name their incarnation, and idle workers are not polled, so this is
// the first sign of a restart.
func (w *worker) clockRestarted(clockMS int64, now time.Time) bool {
	if w.incarnation == 0 || w.clockMS == 0 || clockMS == 0 {
		return false
	}
	elapsed := now.Sub(w.clockAt)
	deviation := time.Duration(clockMS-w.estimatedClock(now)) * time.Millisecond
	return deviation.Abs() > maxClockLag+maxElapsed(elapsed)-elapsed
}

// distrustAcknowledgments makes the next poll acknowledge nothing, and schedules it: acknowledged
// numbers of an earlier incarnation would make the worker forget completions of this one.
func (w *worker) distrustAcknowledgments() {
	w.acknowledgeable, w.acknowledged = 0, 0
	w.wantPoll, w.nextPollAt = true, time.Time{}
}

// settleSurvived settles the lost attempts of an incarnation that has answered since: it did not
// crash. Those of an earlier incarnation wait for the answer to their start.
func (c *Core) settleSurvived(w *worker) {
	list := w.lostAttempts
	w.lostAttempts = nil
	for _, lost := range list {
		if lost.replaced {
			w.lostAttempts = append(w.lostAttempts, lost)
			continue
		}
		c.settleLostAttempt(lost, false)
	}
}

// markReplaced marks the lost attempts of a worker as those of an incarnation that is over.
func (w *worker) markReplaced() {
	for i := range w.lostAttempts {
		w.lostAttempts[i].replaced = true
	}
}
