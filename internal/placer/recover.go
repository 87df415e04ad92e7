package placer

import (
	"fmt"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/jobstore"
)

// apply takes over, continues or ends the placer role according to the zone's
// lease.
func (ev leaseEvent) apply(c *core, now time.Time) {
	c.platformReachable = ev.platformReachable
	if !ev.holdsLease || ev.epoch < c.minEpoch {
		if c.holdsLease {
			c.stepDown()
		}
		return
	}
	c.mayPlace = ev.mayPlace
	if c.holdsLease && c.epoch == ev.epoch {
		if !c.recovered && !c.recovering && !now.Before(c.nextRecoveryAt) {
			c.recovering = true
			c.emit(recoverAction{epoch: c.epoch})
		}
		if c.recovered && ev.platformReachable && !now.Before(c.nextReconcileAt) {
			c.nextReconcileAt = now.Add(reconcileInterval)
			c.emit(reconcileAction{epoch: c.epoch})
		}
		return
	}
	if c.holdsLease {
		c.stepDown()
	}
	c.holdsLease, c.epoch, c.mayPlace, c.recovering = true, ev.epoch, ev.mayPlace, true
	c.emit(recoverAction{epoch: ev.epoch})
}

// apply rebuilds the jobs of the zone from the job store and the workers' reports.
func (ev recoveredEvent) apply(c *core, now time.Time) {
	if !c.holdsLease || ev.epoch != c.epoch {
		return
	}
	c.recovering = false
	if ev.err != nil {
		c.nextRecoveryAt = now.Add(storeRetryDelay)
		return
	}
	c.recovered = true
	c.setWorkers(ev.workers, now)
	c.learnRunTimes(ev.recent)
	c.nextReconcileAt = now.Add(reconcileInterval)
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
		c.markBorrowers()
	}
	for _, report := range ev.reports {
		report.apply(c, now)
	}
}

func (ev reconciledEvent) apply(c *core, now time.Time) {
	if !c.holdsLease || !c.recovered || ev.epoch != c.epoch {
		return
	}
	for _, record := range ev.records {
		if _, known := c.jobs[record.ID]; !known {
			c.adopt(record, nil, now)
		}
	}
}

// learnRunTimes adds the run times of jobs that completed without an error,
// oldest first. Jobs that were stopped and resumed are left out, because their
// rows do not record the run time of each attempt.
func (c *core) learnRunTimes(recent []jobstore.Record) {
	observer, ok := c.runTimes.(runObserver)
	if !ok {
		return
	}
	for _, record := range slices.Backward(recent) {
		completed := record.Outcome == api.OutcomeDone && record.ErrorKind == "" && record.ProgressS == 0
		if completed && record.EndedAt.After(record.StartedAt) {
			submission := record.Submission
			observer.Observe(submission.Account, submission.Kind, seconds(submission.DeclaredRunS), record.EndedAt.Sub(record.StartedAt))
		}
	}
}

// adopt takes over an open record together with the parts that workers hold.
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
		e.reports[worker] = partReport{state: r.State, runSeconds: r.RanS, message: r.Message, renewedAt: now}
		if r.State != api.TaskReserved {
			e.mayHaveStarted = true
		}
	}
	c.setParts(e, parts)
	e.borrowed = c.wasBorrowed(e)
	c.markUnsaved(e)
	e.expectedCompletion = c.estimateEnd(e, now)
	c.resumeAdopted(e, tasks == record.Submission.Shape.Tasks, now)
}

// wasBorrowed reports whether an adopted gang exceeds its account's guarantee.
// This is read from the row, unless the store was unavailable when the gang
// started: then a gang that can be stopped counts as borrowed, so that no other
// account loses its guarantee.
func (c *core) wasBorrowed(e *entry) bool {
	if e.record.Phase == jobstore.PhaseStarted && e.record.Attempt == e.ref.Attempt {
		return e.record.Borrowed
	}
	return e.job().Preemptible()
}

// estimateEnd estimates the end of an adopted gang. A gang whose start was not
// recorded is assumed to start now.
func (c *core) estimateEnd(e *entry, now time.Time) time.Time {
	started := e.record.StartedAt
	if started.IsZero() {
		started = now
	}
	job := e.job()
	return started.Add(c.runTimes.Run(job.Account, job.Kind, job.DeclaredRunTime) - job.Progress)
}

// resumeAdopted sets the state of an adopted gang. A complete gang that runs
// continues. A complete gang whose parts are all still reserved has definitely
// never started, because every worker refuses earlier epochs; it is stopped. Any
// other gang that holds parts or may have run is stopped and remains stopping
// until its leases have expired. A gang that holds nothing and never started
// waits.
func (c *core) resumeAdopted(e *entry, complete bool, now time.Time) {
	started := e.record.Phase == jobstore.PhaseStarted
	neverStarted := complete && !e.mayHaveStarted && e.ref.Attempt == e.record.Attempt
	e.record.Attempt = e.ref.Attempt
	switch {
	case complete && e.mayHaveStarted && !e.hasReservedPart():
		e.state = stRunning
		c.decide(now, e, "recover", "running", "every part is held by its worker", "")
		c.evaluateGang(e, now)
	case neverStarted:
		c.stopAdopted(e, "every part is reserved and none has started", now)
	case len(e.parts) > 0 || started:
		e.mayHaveStarted = e.mayHaveStarted || started
		e.leasesExpireAt = now.Add(c.workerLease)
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
		c.sendStop(e, false, stopTimeout)
	}
}

func (e *entry) hasReservedPart() bool {
	for _, report := range e.reports {
		if report.state == api.TaskReserved {
			return true
		}
	}
	return false
}
