package dispatch

import (
	"fmt"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

const (
	// reasonDelay is how long a step waits before its reason is logged: most steps start
	// sooner.
	reasonDelay = 150 * time.Millisecond
	// reasonInterval and changedReasonInterval limit the log lines per waiting step, for an
	// unchanged and for a changed reason.
	reasonInterval        = 2 * time.Second
	changedReasonInterval = 300 * time.Millisecond
)

// recordReason logs why a step waits, if the cause has changed or persisted.
func (c *Core) recordReason(u *pendingStep, cause string) {
	s := u.step
	if !c.isReasonDue(s, cause) || c.now.Sub(s.readySince) < reasonDelay {
		return
	}
	reason := fmt.Sprintf("%s%s; rank %d, due in %d ms, waited %d ms, %d tasks of about %d ms", cause, c.drainedSuffix(u.queue.Pool), u.rank.class,
		u.dueBy.Sub(c.now).Milliseconds(), c.now.Sub(s.readySince).Milliseconds(), len(u.tasks), u.duration.Milliseconds())
	if u.held == nil {
		u.held = c.heldCapacity(u)
	}
	c.emitReason(s, cause, reason, u.held)
}

// mayLogReason reports whether a reason for the wait of a step could be logged now.
func (c *Core) mayLogReason(s *step) bool {
	return c.now.Sub(s.readySince) >= reasonDelay && c.now.Sub(s.loggedCauseAt) >= changedReasonInterval
}

// recordBlocked logs why no step of a job may start.
func (c *Core) recordBlocked(j *job, cause string) {
	if j.runs > 0 || len(j.steps) == 0 || !c.isReasonDue(j.steps[0], cause) {
		return
	}
	c.emitReason(j.steps[0], cause, fmt.Sprintf("%s; waited %d ms", cause, c.now.Sub(j.acceptedAt).Milliseconds()), nil)
}

// reportAbandoned emits an action that states why a job failed permanently.
func (c *Core) reportAbandoned(t *task, cause FailureCause, reason string) {
	c.actions = append(c.actions, Action{
		Kind: ActJobAbandoned, Order: workload.Order{Task: t.id(), Epoch: c.epoch}, FailureCause: cause, Reason: reason,
	})
}

// reportLostRun emits an action that describes how a run was lost.
func (c *Core) reportLostRun(r *run, cause LossCause, others int) {
	c.actions = append(c.actions, Action{
		Kind:  ActLost,
		Order: workload.Order{Worker: r.worker.ID, Zone: r.worker.Zone, Task: r.task.id(), Attempt: r.attempt, Epoch: c.epoch},
		Lost: &LostRun{
			Cause: cause, Ran: c.now.Sub(r.since), Observed: r.observed, Unheard: c.now.Sub(r.worker.lastContact), OthersLost: others,
		},
	})
}

func (c *Core) isReasonDue(s *step, cause string) bool {
	since := c.now.Sub(s.loggedCauseAt)
	return since >= reasonInterval || cause != s.loggedCause && since >= changedReasonInterval
}

// emitReason emits an action that logs why a step waits.
func (c *Core) emitReason(s *step, cause, reason string, held *HeldCapacity) {
	s.loggedCause, s.loggedCauseAt = cause, c.now
	task := workload.TaskID{Job: s.job.ID, Occurrence: s.occurrence, Step: s.number}
	c.actions = append(c.actions, Action{Kind: ActReason, Reason: reason, Held: held, Order: workload.Order{Task: task, Epoch: c.epoch}})
}
