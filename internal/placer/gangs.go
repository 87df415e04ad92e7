package placer

import (
	"fmt"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/chart"
	"github.com/corianderbank/corianderbank/internal/jobstore"
	"github.com/corianderbank/corianderbank/internal/placement"
)

// attemptsPerEpoch is the number of attempt numbers that belong to each epoch.
const attemptsPerEpoch = 1000

// reserveGang starts a new attempt by reserving the parts of a placement.
func (c *core) reserveGang(e *entry, p placement.Placement, now time.Time) {
	parts, ok := c.partsFor(p.Tasks)
	if !ok || !c.transition(e, evPlace, "placed on "+describeTasks(p.Tasks), now) {
		return
	}
	e.ref = api.GangRef{Epoch: c.epoch, Gang: e.record.ID, Attempt: e.nextAttempt(c.epoch)}
	c.setParts(e, parts)
	e.reports = make(map[string]partReport)
	e.borrowed = p.Borrowed
	e.expectedCompletion = p.ExpectedCompletion
	e.mayHaveStarted, e.stopInFlight, e.checkpointed = false, false, false
	e.leasesExpireAt = time.Time{}
	c.emit(reserveAction{ref: e.ref, account: e.record.Submission.Account, parts: parts, ttl: c.workerLease})
}

// nextAttempt returns a number that increases with each reservation, so that a
// worker can recognize a late call for an earlier attempt. An adopted job
// continues with numbers of the current epoch: an earlier placer may have used
// numbers that are found neither in a row nor on a reachable worker.
func (e *entry) nextAttempt(epoch int64) int {
	last := max(e.ref.Attempt, e.record.Attempt)
	if e.adopted {
		last = max(last, int(epoch-1)*attemptsPerEpoch)
	}
	return last + 1
}

func (c *core) partsFor(tasks []api.TaskPlacement) ([]part, bool) {
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
	e, ok := c.entryOfAttempt(ev.ref)
	if !ok || e.state != stReserving {
		c.emit(releaseAction{ref: ev.ref, parts: ev.parts})
		return
	}
	if ev.err != nil {
		c.requeue(e, fmt.Sprintf("reservation refused by %s: %v", ev.worker, ev.err), now)
		return
	}
	if !c.transition(e, evReserved, "every part is reserved", now) {
		return
	}
	e.record.Attempt = ev.ref.Attempt
	e.record.Epoch = ev.ref.Epoch
	e.record.Phase = jobstore.PhaseStarted
	e.record.StartedAt = now
	e.record.Borrowed = e.borrowed
	if e.record.Submission.Idempotent {
		c.markUnsaved(e)
		c.startGang(e)
		return
	}
	e.writeInFlight = true
	c.emit(recordStartAction{record: e.record})
}

// requeue returns a gang that never started to the queue.
func (c *core) requeue(e *entry, reason string, now time.Time) {
	c.transition(e, evShort, reason, now)
	e.notBefore = now.Add(placementRetryDelay)
	c.setParts(e, nil)
}

func (ev startRecordedEvent) apply(c *core, now time.Time) {
	e, ok := c.jobs[ev.ref.Gang]
	if !ok {
		return
	}
	e.writeInFlight = false
	if ev.err == nil {
		e.record.Version = ev.record.Version
	}
	if e.ref != ev.ref || e.state != stStarting {
		return
	}
	if ev.err != nil {
		c.emit(readRecordAction{record: e.record})
		e.writeInFlight = true
		c.stopGang(e, evStartFailed, fmt.Sprintf("the right to start was not recorded: %v", ev.err), now)
		return
	}
	c.startGang(e)
}

func (c *core) startGang(e *entry) {
	e.mayHaveStarted = true
	c.emit(startAction{
		ref: e.ref, parts: e.parts, lease: c.workerLease,
		checkpoint: e.record.Checkpoint, payload: e.record.Submission.Payload,
	})
}

func (ev startedEvent) apply(c *core, now time.Time) {
	e, ok := c.entryOfAttempt(ev.ref)
	if !ok || e.state != stStarting {
		return
	}
	if ev.err == nil {
		for _, p := range e.parts {
			e.reports[p.worker] = partReport{state: api.TaskRunning, renewedAt: now}
		}
		c.transition(e, evStarted, "every part started", now)
		return
	}
	e.mayHaveStarted = ev.mayHaveStarted
	c.stopGang(e, evStartFailed, fmt.Sprintf("start refused by %s: %v", ev.worker, ev.err), now)
}

// stopGang moves e to a stopping state and stops the whole gang.
func (c *core) stopGang(e *entry, ev chart.Event, reason string, now time.Time) {
	if !c.transition(e, ev, reason, now) {
		return
	}
	e.stopReason = reason
	c.sendStop(e, false, stopTimeout)
}

func (c *core) sendStop(e *entry, checkpoint bool, timeout time.Duration) {
	e.stopInFlight = true
	c.emit(stopAction{ref: e.ref, parts: e.parts, checkpoint: checkpoint, timeout: timeout})
}

// reclaimGang stops a gang for the claim of another job.
func (c *core) reclaimGang(e *entry, r placement.Reclaim, now time.Time) {
	reason := fmt.Sprintf("%s within %s for %s", r.Method, r.Timeout, r.ClaimantID)
	if !c.transition(e, evReclaim, reason, now) {
		return
	}
	e.stopReason = reason
	c.sendStop(e, r.Method == placement.MethodCheckpoint, r.Timeout)
}

func (ev stoppedEvent) apply(c *core, now time.Time) {
	e, ok := c.entryOfAttempt(ev.ref)
	if !ok || (e.state != stStopping && e.state != stCancelling) {
		return
	}
	e.stopInFlight = false
	if ev.checkpoint != "" {
		e.record.Checkpoint = ev.checkpoint
		e.record.ProgressS += e.longestRunSeconds()
	}
	e.checkpointed = ev.checkpoint != ""
	if len(ev.unconfirmed) > 0 {
		c.awaitLeaseExpiry(e, ev.unconfirmed, now)
	}
	if now.Before(e.leasesExpireAt) {
		return
	}
	c.completeStop(e, now)
}

// awaitLeaseExpiry keeps e stopping until the leases of workers that did not
// confirm the stop have definitely expired: a worker stops tasks whose lease is
// not renewed.
func (c *core) awaitLeaseExpiry(e *entry, workers []string, now time.Time) {
	for _, worker := range workers {
		renewed := e.reports[worker].renewedAt
		if renewed.IsZero() {
			renewed = now
		}
		if until := renewed.Add(c.workerLease); until.After(e.leasesExpireAt) {
			e.leasesExpireAt = until
		}
	}
	if e.leasesExpireAt.Before(now.Add(placementRetryDelay)) {
		e.leasesExpireAt = now.Add(placementRetryDelay)
	}
}

// completeStop ends the current attempt after all its parts have stopped or their
// leases have expired.
func (c *core) completeStop(e *entry, now time.Time) {
	c.emit(releaseAction{ref: e.ref, parts: e.parts})
	c.setParts(e, nil)
	e.mayHaveRunBefore = e.mayHaveRunBefore || e.mayHaveStarted
	if !e.mayHaveRunBefore {
		e.record.Phase = jobstore.PhaseAccepted
	}
	if e.state == stCancelling {
		c.transition(e, evStopped, "cancelled by the caller", now)
		return
	}
	if e.mayHaveStarted && !e.record.Submission.Idempotent && !e.checkpointed {
		c.transition(e, evLose, "stopped while it may have run; not idempotent: "+e.stopReason, now)
		return
	}
	e.notBefore = now.Add(placementRetryDelay)
	c.markUnsaved(e)
	c.transition(e, evStopped, "waits again: "+e.stopReason, now)
}

func (e *entry) longestRunSeconds() float64 {
	longest := 0.0
	for _, report := range e.reports {
		longest = max(longest, report.runSeconds)
	}
	return longest
}

func (ev recordWrittenEvent) apply(c *core, now time.Time) {
	e, ok := c.jobs[ev.id]
	if !ok {
		return
	}
	e.writeInFlight = false
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
		e.writtenThisEpoch = e.writtenThisEpoch || ev.record.Epoch == c.epoch
		c.planOutdated = true
		c.handleForeignStart(e, ev.record, now)
		return
	}
	c.markUnsaved(e)
	e.nextWriteAt = now.Add(storeRetryDelay)
	if api.IsKind(ev.err, api.KindConflict) || api.IsKind(ev.err, api.KindResultUnknown) {
		e.writeInFlight = true
		c.emit(readRecordAction{record: e.record})
	}
}

// handleForeignStart handles a row in which an earlier placer, paused until
// after the takeover, recorded a start. The workers that this placer reached
// refused that start; one that it did not reach may have performed it.
func (c *core) handleForeignStart(e *entry, found jobstore.Record, now time.Time) {
	if found.Phase != jobstore.PhaseStarted || found.Epoch == c.epoch || e.record.Submission.Idempotent {
		return
	}
	const reason = "an earlier placer recorded a start after it was replaced"
	e.mayHaveStarted = true
	e.stopReason = reason
	if e.state == stWaiting {
		c.transition(e, evLose, reason, now)
	}
}

// writeUnsaved writes dirty records under the current epoch and releases ended
// gangs whose outcome is stored.
func (c *core) writeUnsaved(now time.Time) {
	for id, e := range c.unsaved {
		if e.writeInFlight {
			continue
		}
		if e.dirty {
			c.writeRecord(e, now)
			continue
		}
		delete(c.unsaved, id)
		if c.gangChart.Final(e.state) {
			c.releaseEnded(e)
			e.notifyWaiters()
		}
	}
}

func (c *core) writeRecord(e *entry, now time.Time) {
	if now.Before(e.nextWriteAt) {
		return
	}
	e.dirty, e.writeInFlight = false, true
	e.record.Epoch = c.epoch
	c.emit(writeRecordAction{record: e.record})
}

// releaseEnded releases what an ended gang still holds once its outcome is
// stored. Until then its workers keep their reports for the next placer.
func (c *core) releaseEnded(e *entry) {
	if len(e.parts) > 0 {
		c.emit(releaseAction{ref: e.ref, parts: e.parts})
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

// maxDescribedTasks bounds the tasks in a log line for a large gang.
const maxDescribedTasks = 8
