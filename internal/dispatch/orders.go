package dispatch

import (
	"time"

	"github.com/corianderbank/corianderbank/internal/chart"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// attemptsPerEpoch separates the attempt numbers of epochs: an attempt number is the epoch
// times this value plus a counter. Attempt numbers thus increase across all leaders without a
// stored counter.
const attemptsPerEpoch = 1_000_000

type run struct {
	task    *task
	worker  *worker
	attempt int64
	// state is one of the states in charts/run.json.
	state chart.State
	gang  *gang
	// confirmed is set once the worker has reported the run, unanswered once the call with its
	// start ended without an answer.
	confirmed, unanswered bool
	// adopted is set if an earlier epoch started the run.
	adopted bool
	// confirmedAtMS is the worker's clock when it first reported the run, observed the time from
	// then to its last report.
	confirmedAtMS int64
	observed      time.Duration
	// attemptRecorded is set if the store has this attempt as possibly running.
	attemptRecorded bool
	need            workload.Resources
	// since is the time at which this epoch ordered or adopted the run.
	since time.Time
	// settledAfter is the sequence from which a poll reliably reflects the run's start (if
	// running) or its stop (if stopping or unclear). It is zero until an answer settles one of
	// them.
	settledAfter uint64
	// order is the start until it is answered, and startsSent the number of times it was sent.
	order      *workload.Order
	startsSent int
	// stopsSent is the number of times a stop was sent, most recently at stopSentAt.
	stopsSent  int
	stopSentAt time.Time
	stopReason string
	// observedSince is the progress, in percent, in the first report of the run, which the worker
	// made at observedSinceMS on its clock. observation is what was learned from it since.
	observedSince   int
	observedSinceMS int64
	observation     *speedObservation
	// percent is the highest progress that the worker has reported.
	percent int
	// initialPercent is above zero for a run that was adopted in progress; its total run time
	// is unknown.
	initialPercent int
	checkpoint     string
}

// start orders a run of a task.
func (c *Core) start(t *task, w *worker, attempt int64, g *gang, reason string) {
	r := &run{
		task: t, worker: w, attempt: attempt, state: runChart.Initial, gang: g, need: t.step.spec.CountedResources(), since: c.now,
		checkpoint: t.step.job.record.Checkpoints[t.recordKey()],
	}
	r.attemptRecorded = t.consumeReservedAttempt(attempt)
	c.attach(r)
	c.pendingStarts = append(c.pendingStarts, r)
	until := w.estimatedClock(c.now) + startValidity.Milliseconds()
	w.extendLease(until)
	r.order = &workload.Order{
		Worker: w.ID, Addr: w.Addr, Zone: w.Zone, Incarnation: w.incarnation, Task: t.id(), Attempt: attempt, Epoch: c.epoch, UntilMS: until,
		Spec: t.step.job.Spec, Checkpoint: r.checkpoint, Ticket: t.step.advice.tickets[w.ID].ticket,
	}
	c.sendStart(r, reason)
}

func (c *Core) sendStart(r *run, reason string) {
	r.startsSent++
	c.actions = append(c.actions, Action{Kind: ActStart, Reason: reason, Order: *r.order, WorkerSpeed: c.observedSpeed(r.worker)})
}

// startValidity limits, on the worker's clock, when a start may be carried out. After it an
// unanswered start is settled even if the worker stays unreachable; it is long enough for the
// first poll to extend the lease.
const startValidity = 1500 * time.Millisecond

func (c *Core) nextAttempt() int64 {
	c.attempts++
	return c.epoch*attemptsPerEpoch + c.attempts
}

// observeAlive records that the worker reported the run at a time on the worker's clock.
func (r *run) observeAlive(clockMS int64) {
	switch {
	case clockMS <= 0:
	case r.confirmedAtMS == 0:
		r.confirmedAtMS = clockMS
	default:
		r.observed = max(r.observed, time.Duration(clockMS-r.confirmedAtMS)*time.Millisecond)
	}
}

func (c *Core) attach(r *run) {
	t := r.task
	t.runs = append(t.runs, r)
	t.step.job.runs++
	t.step.started = true
	t.step.job.started = true
	if r.gang != nil {
		r.gang.runs++
	}
	r.worker.runs[runKey{t.id(), r.attempt}] = r
	r.worker.used = r.worker.used.Add(r.need)
}

// detach removes a run that definitely neither runs nor can start any more.
func (c *Core) detach(r *run) {
	key := runKey{r.task.id(), r.attempt}
	if r.worker.runs[key] != r {
		return
	}
	if r.startsSent > 1 || r.state == stRunStopped && !r.confirmed {
		c.rememberClosedStart(r.worker, key)
	}
	r.transition(runGone)
	c.endObservation(r)
	if r.attemptRecorded {
		c.endAttempt(r.task, r.attempt)
	}
	delete(r.worker.runs, key)
	r.worker.used = r.worker.used.Sub(r.need)
	t := r.task
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	t.step.job.runs--
	if g := r.gang; g != nil {
		g.runs--
		if g.runs == 0 && t.step.gang == g {
			t.step.gang = nil
		}
	}
}

// stop orders a run to stop; repeated calls have no effect.
func (c *Core) stop(r *run, reason string) {
	if r.stopping() {
		return
	}
	r.stopReason = reason
	r.transition(runStop)
	c.sendStop(r)
}

func (c *Core) sendStop(r *run) {
	r.stopSentAt = c.now
	r.stopsSent++
	c.actions = append(c.actions, Action{Kind: ActStop, Reason: r.stopReason, Order: workload.Order{
		Worker: r.worker.ID, Addr: r.worker.Addr, Zone: r.worker.Zone, Incarnation: r.worker.incarnation,
		Task: r.task.id(), Attempt: r.attempt, Epoch: c.epoch,
	}})
}

// answerTarget returns the worker and the run that an answer refers to, and samples the
// worker's clock. Both are nil if the worker has been removed; only the run is nil if the run
// has been removed. current is false if an earlier incarnation of the worker answered.
func (c *Core) answerTarget(order workload.Order, result workload.OrderResult, now time.Time, wallMS int64) (w *worker, r *run, current bool) {
	c.tick(now, wallMS)
	w = c.workers[order.Worker]
	if w == nil {
		return nil, nil, false
	}
	known := w.incarnation
	if current = c.admitResult(w, order, result); current {
		if result.Incarnation == 0 && w.clockRestarted(result.ClockMS, now) {
			w.distrustAcknowledgments()
		}
		w.sampleClock(result.ClockMS, now)
		if w.incarnation != known {
			w.extendLease(w.clockMS + c.bounds.MaxLease.Milliseconds()) // by calls meant for the earlier one
		}
	}
	return w, w.runs[runKey{order.Task, order.Attempt}], current
}

// StartAnswered processes the answer to a start.
func (c *Core) StartAnswered(order workload.Order, result workload.OrderResult, now time.Time, wallMS int64) {
	w, r, _ := c.answerTarget(order, result, now, wallMS)
	if r == nil && w != nil {
		c.settleLostStart(w, runKey{order.Task, order.Attempt}, result.Verdict)
	}
	if r == nil {
		return
	}
	c.startCallEnded(r)
	switch result.Verdict {
	case workload.VerdictDone:
		c.resends.earn()
		r.transition(runStarted)
		r.confirmed = true
		r.task.step.job.begun = true
		r.observeAlive(result.ClockMS)
		r.order = nil
		r.settledAfter = c.sequence
		c.observeStart(r)
	case workload.VerdictUnknown:
		if r.state == stRunRunning {
			return // the worker lists the run or has answered a resend
		}
		r.unanswered = true
		c.recordMiss(w)
		c.markUnclear(r, "start unanswered")
	case workload.VerdictFenced:
		c.fenced = true
	case workload.VerdictOtherIncarnation:
		c.settleRejectedStart(r, "start not sent: its worker was replaced")
		c.otherIncarnationAnswered(w, order.Addr)
	case workload.VerdictNoTicket:
		delete(r.task.step.advice.tickets, w.ID)
		c.settleRejectedStart(r, "start rejected: "+result.Verdict.String())
	case workload.VerdictUnsent, workload.VerdictConnectionRefused:
		c.recordMiss(w)
		c.settleRejectedStart(r, "start not sent: "+result.Verdict.String())
	default:
		w.recordRefusal(now)
		c.settleRejectedStart(r, "start rejected: "+result.Verdict.String())
	}
}

// markUnclear marks a run as unclear: it may have started, may still start, or may have ended. Its
// capacity stays in use until a stop has closed the attempt.
func (c *Core) markUnclear(r *run, reason string) {
	alreadyStopping := r.stopping()
	r.transition(runUnanswered)
	c.interruptGang(r, reason)
	if !alreadyStopping {
		r.stopReason = reason
		c.sendStop(r)
	}
}

// settleRejectedStart removes a run whose start was definitely not carried out. If the start
// was sent twice, the other message may have been or may still be carried out, so a stop has to
// close the attempt.
func (c *Core) settleRejectedStart(r *run, reason string) {
	switch {
	case r.startsSent <= 1:
		c.interruptGang(r, reason)
		c.detach(r)
	case r.state == stRunOrdered:
		c.markUnclear(r, reason)
	}
}

// StopAnswered processes the answer to a stop.
func (c *Core) StopAnswered(order workload.Order, result workload.OrderResult, now time.Time, wallMS int64) {
	w, r, current := c.answerTarget(order, result, now, wallMS)
	if w == nil || !current && result.Verdict != workload.VerdictFenced {
		return
	}
	switch result.Verdict {
	case workload.VerdictDone, workload.VerdictOld:
		c.resends.earn()
		if r != nil {
			r.transition(runStopAnswered)
			r.settledAfter = c.sequence
			w.wantPoll = true
		}
		c.lateStartClosed(w, runKey{order.Task, order.Attempt})
	case workload.VerdictFenced:
		c.fenced = true
	case workload.VerdictOtherIncarnation:
		c.otherIncarnationAnswered(w, order.Addr)
	default:
		c.recordMiss(w)
	}
}
