package placer

import (
	"fmt"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/jobstore"
)

// term follows the zone's lease.
func (ev termEvent) apply(c *core, now time.Time) {
	c.platform = ev.platform
	if !ev.held || ev.epoch < c.leastEpoch {
		if c.held {
			c.stepDown()
		}
		return
	}
	c.mayPlace = ev.mayPlace
	if c.held && c.epoch == ev.epoch {
		if !c.recovered && !c.recovering && !now.Before(c.recoverAt) {
			c.recovering = true
			c.do(recoverAction{epoch: c.epoch})
		}
		if c.recovered && ev.platform && !now.Before(c.reconcileAt) {
			c.reconcileAt = now.Add(reconcileInterval)
			c.do(reconcileAction{epoch: c.epoch})
		}
		return
	}
	if c.held {
		c.stepDown()
	}
	c.held, c.epoch, c.mayPlace, c.recovering = true, ev.epoch, ev.mayPlace, true
	c.do(recoverAction{epoch: ev.epoch})
}

// apply rebuilds the jobs of the zone from the table and the workers.
func (ev recoveredEvent) apply(c *core, now time.Time) {
	if !c.held || ev.epoch != c.epoch {
		return
	}
	c.recovering = false
	if ev.err != nil {
		c.recoverAt = now.Add(persistRetryAfter)
		return
	}
	c.recovered = true
	c.setWorkers(ev.workers, now)
	c.learn(ev.recent)
	c.reconcileAt = now.Add(reconcileInterval)
	held := make(map[string]map[string]api.ReservationReport)
	for _, report := range ev.reports {
		for _, r := range report.report.Reservations {
			if held[r.Gang] == nil {
				held[r.Gang] = make(map[string]api.ReservationReport)
			}
			if old, ok := held[r.Gang][report.worker]; !ok || old.Attempt < r.Attempt {
				held[r.Gang][report.worker] = r
			}
		}
	}
	for _, record := range ev.records {
		c.adopt(record, held[record.ID], now)
	}
	if c.config != nil {
		c.lowerGuarantees()
	}
	for _, report := range ev.reports {
		report.apply(c, now)
	}
}

func (ev reconciledEvent) apply(c *core, now time.Time) {
	if !c.held || !c.recovered || ev.epoch != c.epoch {
		return
	}
	for _, record := range ev.records {
		if _, known := c.jobs[record.ID]; !known {
			c.adopt(record, nil, now)
		}
	}
}

// learn takes the run times of jobs that ended well, the oldest first. Those
// that were stopped and resumed are left out: their rows do not tell how long
// each part of them ran.
func (c *core) learn(recent []jobstore.Record) {
	learner, ok := c.runs.(observer)
	if !ok {
		return
	}
	for _, record := range slices.Backward(recent) {
		whole := record.Outcome == api.OutcomeDone && record.ErrorKind == "" && record.ProgressS == 0
		if whole && record.EndedAt.After(record.StartedAt) {
			submission := record.Submission
			learner.Observe(submission.Account, submission.Kind, seconds(submission.DeclaredRunS), record.EndedAt.Sub(record.StartedAt))
		}
	}
}

// adopt takes over one open record with what the workers hold of it.
func (c *core) adopt(record jobstore.Record, held map[string]api.ReservationReport, now time.Time) {
	e := c.addWaiting(record)
	e.adopted = true
	attempt := record.Attempt
	for _, r := range held {
		attempt = max(attempt, r.Attempt)
	}
	e.ref = api.GangRef{Epoch: c.epoch, Gang: record.ID, Attempt: attempt}
	tasks := 0
	var parts []part
	for worker, r := range held {
		if r.Attempt != attempt {
			continue
		}
		w := c.workers[worker]
		if w == nil {
			continue
		}
		tasks += r.Tasks
		parts = append(parts, part{worker: worker, addr: w.Addr, task: api.TaskPlacement{Worker: worker, Tasks: r.Tasks, Accelerators: r.Accelerators}})
		e.reports[worker] = seenReport{state: r.State, ranS: r.RanS, msg: r.Message, renewedAt: now}
		if r.State != api.TaskReserved {
			e.mayRun = true
		}
	}
	c.setParts(e, parts)
	e.borrowed = c.wasBorrowed(e)
	c.markUnsaved(e)
	e.expectedEnd = c.expectedEnd(e, now)
	c.resume(e, tasks == record.Submission.Shape.Tasks, now)
}

// wasBorrowed says whether an adopted gang goes beyond its account's guarantee.
// Its row tells, unless the store was out when it started: then a gang that can
// be stopped counts as a borrower, so that no other account's guarantee is lost.
func (c *core) wasBorrowed(e *entry) bool {
	if e.record.Phase == jobstore.PhaseStarted && e.record.Attempt == e.ref.Attempt {
		return e.record.Borrowed
	}
	return e.job().Stoppable()
}

// expectedEnd estimates the end of an adopted gang; one whose start was not
// recorded is taken to start now.
func (c *core) expectedEnd(e *entry, now time.Time) time.Time {
	started := e.record.StartedAt
	if started.IsZero() {
		started = now
	}
	job := e.job()
	return started.Add(c.runs.Run(job.Account, job.Kind, job.DeclaredRun) - job.Progress)
}

// resume decides what becomes of an adopted gang. Whole gangs that run go on.
// Gangs of which every part is still only reserved surely never started: every
// worker refuses the epoch before this one. Others are stopped first; those
// that hold nothing wait, unless they may have run.
func (c *core) resume(e *entry, whole bool, now time.Time) {
	started := e.record.Phase == jobstore.PhaseStarted
	untouched := whole && !e.mayRun && e.ref.Attempt == e.record.Attempt
	e.record.Attempt = e.ref.Attempt
	switch {
	case whole && e.mayRun && !e.anyReserved():
		e.state = stRunning
		c.decide(now, e, "recover", "running", "every part is held by its worker", "")
		c.judge(e, now)
	case untouched:
		c.stopAdopted(e, "every part is reserved and none has started", now)
	case len(e.parts) > 0 || started:
		e.mayRun = e.mayRun || started
		e.lapseAt = now.Add(c.workerLease)
		c.stopAdopted(e, fmt.Sprintf("%d parts held by workers that answer, not the whole gang", len(e.parts)), now)
	default:
		c.decide(now, e, "recover", "waiting", "holds nothing", "")
	}
}

func (c *core) stopAdopted(e *entry, reason string, now time.Time) {
	e.state = stStopping
	e.stopReason = "taken over: " + reason
	c.decide(now, e, "recover", "stopping", e.stopReason, "")
	if len(e.parts) > 0 {
		c.sendStop(e, false, stopWithin)
	}
}

func (e *entry) anyReserved() bool {
	for _, report := range e.reports {
		if report.state == api.TaskReserved {
			return true
		}
	}
	return false
}
