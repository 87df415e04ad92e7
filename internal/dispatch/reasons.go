package dispatch

import (
	"fmt"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

const (
	// reasonAfter is how long a step waits before a line says so: most start sooner.
	reasonAfter = 150 * time.Millisecond
	// reasonEvery and reasonChange bound the lines about one step that waits, for one
	// reason and for changing ones.
	reasonEvery  = 2 * time.Second
	reasonChange = 300 * time.Millisecond
)

// recordReason says why a step waits, if that changed or has lasted.
func (c *Core) recordReason(u *pendingStep, why string) {
	s := u.step
	if !c.worthRecording(s, why) || c.now.Sub(s.readySince) < reasonAfter {
		return
	}
	reason := fmt.Sprintf("%s%s; rank %d, due in %d ms, waited %d ms, %d tasks of about %d ms", why, c.drainedNote(u.queue.Pool), u.rank.class,
		u.dueBy.Sub(c.now).Milliseconds(), c.now.Sub(s.readySince).Milliseconds(), len(u.tasks), u.length.Milliseconds())
	c.recordReasonOf(s, why, reason)
}

// recordHeldBack says why no step of a job may start.
func (c *Core) recordHeldBack(j *job, why string) {
	if j.runs > 0 || len(j.steps) == 0 || !c.worthRecording(j.steps[0], why) {
		return
	}
	c.recordReasonOf(j.steps[0], why, fmt.Sprintf("%s; waited %d ms", why, c.now.Sub(j.received).Milliseconds()))
}

// recordLost says how a run was lost.
func (c *Core) recordLost(r *run, cause LossCause, beside int) {
	c.actions = append(c.actions, Action{
		Kind:  ActLost,
		Order: workload.Order{Worker: r.worker.ID, Zone: r.worker.Zone, Task: r.task.id(), Attempt: r.attempt, Epoch: c.epoch},
		Lost:  &LostRun{Cause: cause, Ran: c.now.Sub(r.since), Beside: beside},
	})
}

func (c *Core) worthRecording(s *step, why string) bool {
	since := c.now.Sub(s.waitReasonAt)
	return since >= reasonEvery || why != s.waitReason && since >= reasonChange
}

func (c *Core) recordReasonOf(s *step, why, reason string) {
	s.waitReason, s.waitReasonAt = why, c.now
	task := workload.TaskID{Job: s.job.ID, Occurrence: s.occurrence, Step: s.number}
	c.actions = append(c.actions, Action{Kind: ActReason, Reason: reason, Order: workload.Order{Task: task, Epoch: c.epoch}})
}
