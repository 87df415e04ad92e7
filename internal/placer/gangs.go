package placer

import (
	"fmt"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/chart"
	"github.com/corianderbank/corianderbank/internal/jobstore"
	"github.com/corianderbank/corianderbank/internal/placement"
)

// attemptsPerEpoch is how many attempt numbers belong to each epoch.
const attemptsPerEpoch = 1000

// begin reserves the parts of a placement.
func (c *core) begin(e *entry, p placement.Placement, now time.Time) {
	parts, ok := c.partsOf(p.Tasks)
	if !ok || !c.step(e, evPlace, "placed on "+describeTasks(p.Tasks), now) {
		return
	}
	e.ref = api.GangRef{Epoch: c.epoch, Gang: e.record.ID, Attempt: e.nextAttempt(c.epoch)}
	c.setParts(e, parts)
	e.reports = make(map[string]seenReport)
	e.borrowed = p.Borrowed
	e.expectedEnd = p.ExpectedEnd
	e.mayRun, e.stopSent, e.checkpointed = false, false, false
	e.lapseAt = time.Time{}
	c.do(reserveAction{ref: e.ref, account: e.record.Submission.Account, parts: parts, ttl: c.workerLease})
}

// nextAttempt rises with each reservation, so that a worker can tell a late
// call for an earlier one. A job that was taken over goes on with numbers of the
// present epoch: an earlier placer may have used some that no row and no worker
// within reach tells.
func (e *entry) nextAttempt(epoch int64) int {
	last := max(e.ref.Attempt, e.record.Attempt)
	if e.adopted {
		last = max(last, int(epoch-1)*attemptsPerEpoch)
	}
	return last + 1
}

func (c *core) partsOf(tasks []api.TaskPlacement) ([]part, bool) {
	parts := make([]part, 0, len(tasks))
	for _, task := range tasks {
		w, ok := c.workers[task.Worker]
		if !ok {
			return nil, false
		}
		parts = append(parts, part{worker: task.Worker, addr: w.Addr, task: task})
	}
	return parts, true
}

func (ev reservedEvent) apply(c *core, now time.Time) {
	e, ok := c.current(ev.ref)
	if !ok || e.state != stReserving {
		c.do(releaseAction{ref: ev.ref, parts: ev.parts})
		return
	}
	if ev.err != nil {
		c.fallBack(e, fmt.Sprintf("reservation refused by %s: %v", ev.worker, ev.err), now)
		return
	}
	if !c.step(e, evReserved, "every part is reserved", now) {
		return
	}
	e.record.Attempt = ev.ref.Attempt
	e.record.Epoch = ev.ref.Epoch
	e.record.Phase = jobstore.PhaseStarted
	e.record.StartedAt = now
	e.record.Borrowed = e.borrowed
	if e.record.Submission.Idempotent {
		c.markUnsaved(e)
		c.start(e)
		return
	}
	e.writing = true
	c.do(grantAction{record: e.record})
}

// fallBack returns a gang that never started to the queue.
func (c *core) fallBack(e *entry, reason string, now time.Time) {
	c.step(e, evShort, reason, now)
	e.notBefore = now.Add(retryPlacementAfter)
	c.setParts(e, nil)
}

func (ev grantedEvent) apply(c *core, now time.Time) {
	e, ok := c.jobs[ev.ref.Gang]
	if !ok {
		return
	}
	e.writing = false
	if ev.err == nil {
		e.record.Version = ev.record.Version
	}
	if e.ref != ev.ref || e.state != stStarting {
		return
	}
	if ev.err != nil {
		c.do(reloadAction{record: e.record})
		e.writing = true
		c.stop(e, evStartFailed, fmt.Sprintf("the right to start was not recorded: %v", ev.err), now)
		return
	}
	c.start(e)
}

func (c *core) start(e *entry) {
	e.mayRun = true
	c.do(startAction{
		ref: e.ref, parts: e.parts, lease: c.workerLease,
		checkpoint: e.record.Checkpoint, payload: e.record.Submission.Payload,
	})
}

func (ev startedEvent) apply(c *core, now time.Time) {
	e, ok := c.current(ev.ref)
	if !ok || e.state != stStarting {
		return
	}
	if ev.err == nil {
		for _, p := range e.parts {
			e.reports[p.worker] = seenReport{state: api.TaskRunning, renewedAt: now}
		}
		c.step(e, evStarted, "every part started", now)
		return
	}
	e.mayRun = ev.mayRun
	c.stop(e, evStartFailed, fmt.Sprintf("start refused by %s: %v", ev.worker, ev.err), now)
}

// stop moves e to a stopping state and stops the whole gang.
func (c *core) stop(e *entry, ev chart.Event, reason string, now time.Time) {
	if !c.step(e, ev, reason, now) {
		return
	}
	e.stopReason = reason
	c.sendStop(e, false, stopWithin)
}

func (c *core) sendStop(e *entry, checkpoint bool, within time.Duration) {
	e.stopSent = true
	c.do(stopAction{ref: e.ref, parts: e.parts, checkpoint: checkpoint, within: within})
}

// reclaim stops a gang so that another account gets its guarantee.
func (c *core) reclaim(e *entry, r placement.Reclaim, now time.Time) {
	reason := fmt.Sprintf("%s within %s for %s", r.Method, r.Within, r.For)
	if !c.step(e, evReclaim, reason, now) {
		return
	}
	e.stopReason = reason
	c.sendStop(e, r.Method == placement.MethodCheckpoint, r.Within)
}

func (ev stoppedEvent) apply(c *core, now time.Time) {
	e, ok := c.current(ev.ref)
	if !ok || (e.state != stStopping && e.state != stCancelling) {
		return
	}
	e.stopSent = false
	if ev.checkpoint != "" {
		e.record.Checkpoint = ev.checkpoint
		e.record.ProgressS += e.ranS()
	}
	e.checkpointed = ev.checkpoint != ""
	if len(ev.unconfirmed) > 0 {
		c.awaitLapse(e, ev.unconfirmed, now)
	}
	if now.Before(e.lapseAt) {
		return
	}
	c.stopped(e, now)
}

// awaitLapse keeps e stopping until the leases of silent workers have surely
// lapsed: a worker that no one renews stops its tasks by itself.
func (c *core) awaitLapse(e *entry, workers []string, now time.Time) {
	for _, worker := range workers {
		renewed := e.reports[worker].renewedAt
		if renewed.IsZero() {
			renewed = now
		}
		if until := renewed.Add(c.workerLease); until.After(e.lapseAt) {
			e.lapseAt = until
		}
	}
	if e.lapseAt.Before(now.Add(retryPlacementAfter)) {
		e.lapseAt = now.Add(retryPlacementAfter)
	}
}

// stopped ends the present attempt: every part is surely not running.
func (c *core) stopped(e *entry, now time.Time) {
	c.do(releaseAction{ref: e.ref, parts: e.parts})
	c.setParts(e, nil)
	e.ranEver = e.ranEver || e.mayRun
	if !e.ranEver {
		e.record.Phase = jobstore.PhaseAccepted
	}
	if e.state == stCancelling {
		c.step(e, evStopped, "cancelled by the caller", now)
		return
	}
	if e.mayRun && !e.record.Submission.Idempotent && !e.checkpointed {
		c.step(e, evLose, "stopped while it may have run; not idempotent: "+e.stopReason, now)
		return
	}
	e.notBefore = now.Add(retryPlacementAfter)
	c.markUnsaved(e)
	c.step(e, evStopped, "waits again: "+e.stopReason, now)
}

func (e *entry) ranS() float64 {
	longest := 0.0
	for _, report := range e.reports {
		longest = max(longest, report.ranS)
	}
	return longest
}

func (ev persistedEvent) apply(c *core, now time.Time) {
	e, ok := c.jobs[ev.id]
	if !ok {
		return
	}
	e.writing = false
	if ev.err == nil {
		if ev.record.Epoch > c.epoch {
			c.stepDown()
			return
		}
		if ev.record.Phase == jobstore.PhaseEnded && e.record.Phase != jobstore.PhaseEnded {
			c.dropJob(e)
			return
		}
		e.record.Version = ev.record.Version
		e.fenced = e.fenced || ev.record.Epoch == c.epoch
		c.touched = true
		c.noteForeignStart(e, ev.record, now)
		return
	}
	c.markUnsaved(e)
	e.nextWrite = now.Add(persistRetryAfter)
	if api.IsKind(ev.err, api.KindConflict) || api.IsKind(ev.err, api.KindResultUnknown) {
		e.writing = true
		c.do(reloadAction{record: e.record})
	}
}

// noteForeignStart reacts to a row in which an earlier placer, paused until
// after the takeover, recorded a start. The workers that this placer reached
// refused that start; one that it did not reach may have made it.
func (c *core) noteForeignStart(e *entry, found jobstore.Record, now time.Time) {
	if found.Phase != jobstore.PhaseStarted || found.Epoch == c.epoch || e.record.Submission.Idempotent {
		return
	}
	const reason = "an earlier placer recorded a start after it was replaced"
	e.mayRun = true
	e.stopReason = reason
	if e.state == stWaiting {
		c.step(e, evLose, reason, now)
	}
}

// persist writes dirty records under the present epoch and releases ended gangs whose outcome is safe.
func (c *core) persist(now time.Time) {
	for id, e := range c.unsaved {
		if e.writing {
			continue
		}
		if e.dirty {
			c.write(e, now)
			continue
		}
		delete(c.unsaved, id)
		if c.chart.Final(e.state) {
			c.acknowledge(e)
			e.wakeWaiters()
		}
	}
}

func (c *core) write(e *entry, now time.Time) {
	if now.Before(e.nextWrite) {
		return
	}
	e.dirty, e.writing = false, true
	if !c.platform && c.chart.Final(e.state) && c.settled(e) {
		e.wakeWaiters()
	}
	e.record.Epoch = c.epoch
	c.do(persistAction{record: e.record})
}

// acknowledge releases what an ended gang still holds, now that its outcome is
// safe: until then its workers keep the news for the next placer.
func (c *core) acknowledge(e *entry) {
	if len(e.parts) > 0 {
		c.do(releaseAction{ref: e.ref, parts: e.parts})
		c.setParts(e, nil)
	}
}

func describeTasks(tasks []api.TaskPlacement) string {
	text := ""
	for i, task := range tasks {
		if i == maxDescribedTasks {
			return fmt.Sprintf("%s and %d more", text, len(tasks)-i)
		}
		if i > 0 {
			text += " "
		}
		text += fmt.Sprintf("%s(%d)", task.Worker, task.Accelerators)
	}
	return text
}

// maxDescribedTasks bounds a log line for a large gang.
const maxDescribedTasks = 8
