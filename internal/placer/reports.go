package placer

import (
	"fmt"
	"strings"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/chart"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/quarantine"
)

// The events of charts/worker.json that the placer raises.
const (
	workerEvReport         chart.Event = "report"
	workerEvSilence        chart.Event = "silence"
	workerEvLongSilence    chart.Event = "long_silence"
	workerEvLeave          chart.Event = "leave"
	workerEvNewIncarnation chart.Event = "new_incarnation"
)

// suspectFraction is the fraction of a worker lease without a report after which
// a worker takes no new work: two missed renewals at a fifth of the lease each.
const suspectFraction = 0.4

// setWorkers updates the zone's workers from the membership.
func (c *core) setWorkers(list []model.Worker, now time.Time) {
	listed := make(map[string]bool, len(list))
	for _, w := range list {
		listed[w.ID] = true
		known, ok := c.workers[w.ID]
		if !ok {
			c.workers[w.ID] = &workerState{Worker: w, chartState: c.workerChart.Initial, lastReport: now}
			continue
		}
		known.Addr = w.Addr
		if w.Health == model.WorkerLeaving && w.Incarnation >= known.Incarnation {
			c.transitionWorker(known, workerEvLeave)
		}
	}
	for id, w := range c.workers {
		if !listed[id] && w.chartState == chart.State(model.WorkerLost) && !c.workerHoldsGang(id) {
			delete(c.workers, id)
		}
	}
}

// unreportedWorkers counts the listed workers whose accelerators are not known
// yet. Until all have reported, a refusal for lack of accelerators may be wrong.
func (c *core) unreportedWorkers() int {
	count := 0
	for _, w := range c.workers {
		if w.Accelerators == 0 && w.AcceptsTasks() {
			count++
		}
	}
	return count
}

// workerHoldsGang reports whether a gang that has not ended holds a part of a
// worker.
func (c *core) workerHoldsGang(worker string) bool {
	for e := range c.gangsByWorker[worker] {
		if !c.gangChart.Final(e.state) {
			return true
		}
	}
	return false
}

func (c *core) transitionWorker(w *workerState, ev chart.Event) {
	next, err := c.workerChart.Next(w.chartState, ev)
	if err != nil {
		return
	}
	c.planOutdated = c.planOutdated || w.chartState != next
	w.chartState = next
	w.Health = model.WorkerHealth(next)
}

func (ev reportEvent) apply(c *core, now time.Time) {
	w, ok := c.workers[ev.worker]
	if !ok {
		return
	}
	if api.IsKind(ev.err, api.KindStaleEpoch) {
		c.fence(ev.epoch + 1)
	}
	if ev.err != nil {
		return
	}
	restarted := w.Incarnation != 0 && ev.report.Incarnation > w.Incarnation
	c.updateWorker(w, ev, now)
	c.fence(ev.report.HighestEpoch)
	if !c.holdsLease {
		return
	}
	c.compareReservations(ev, restarted, now)
}

// fence records that a worker has seen the given epoch and makes the core step
// down if its own is lower, because a later placer exists. The lower epoch does
// not become active again. The lease cannot show this while the store is
// unreachable.
func (c *core) fence(epoch int64) {
	c.minEpoch = max(c.minEpoch, epoch)
	if c.holdsLease && c.epoch < c.minEpoch {
		c.stepDown()
	}
}

// updateWorker updates the state of the worker itself.
func (c *core) updateWorker(w *workerState, ev reportEvent, now time.Time) {
	report := ev.report
	if w.Incarnation != 0 && report.Incarnation > w.Incarnation {
		c.transitionWorker(w, workerEvNewIncarnation)
		c.recordCrash(w)
	}
	clear(w.stoppedGangs)
	w.Incarnation = report.Incarnation
	w.Rack, w.Accelerators = report.Rack, report.Accelerators
	w.lastReport, w.LastReport = now, now
	c.transitionWorker(w, workerEvReport)
	if report.Leaving {
		c.transitionWorker(w, workerEvLeave)
	}
}

// compareReservations compares a report with the parts that gangs hold on the
// worker.
func (c *core) compareReservations(ev reportEvent, restarted bool, now time.Time) {
	reported := make(map[string]bool)
	for _, r := range ev.report.Reservations {
		e, ok := c.jobs[r.Gang]
		if !ok || e.ref.Attempt != r.Attempt || !e.holdsPartOn(ev.worker) {
			c.discardOrphan(ev.worker, r)
			continue
		}
		reported[r.Gang] = true
		renewedAt := e.reports[ev.worker].renewedAt
		if ev.sentAt.After(renewedAt) {
			renewedAt = ev.sentAt
		}
		e.reports[ev.worker] = partReport{state: r.State, runSeconds: r.RanS, message: r.Message, renewedAt: renewedAt}
	}
	for _, e := range c.gangsOn(ev.worker) {
		if e.state == stRunning {
			if !reported[e.record.ID] && ev.sentAt.After(e.reports[ev.worker].renewedAt) {
				c.handleLostPart(e, ev.worker, restarted, now)
				continue
			}
			c.evaluateGang(e, now)
		}
	}
}

// handleLostPart stops a gang after a worker has lost its part. If the gang has
// crashed too many workers, it fails permanently instead of being restarted
// without limit.
func (c *core) handleLostPart(e *entry, worker string, crashed bool, now time.Time) {
	reason := "worker " + worker + " no longer has its part"
	if crashed {
		e.countCrash(worker, e.longestRunSeconds())
	}
	if e.crashDecision() != quarantine.Abandon {
		c.stopGang(e, evWorkerLost, reason, now)
		return
	}
	c.emit(stopAction{ref: e.ref, parts: e.parts, timeout: stopTimeout})
	c.transition(e, evFail, reason+"; workers that went down under it: "+strings.Join(e.record.CrashedOn, ", "), now)
}

// countCrash counts the crash of a worker against a gang that had run for a
// while. Crashes that another attempt has outlived do not count.
func (e *entry) countCrash(worker string, ranS float64) {
	r := &e.record
	survived, ran := seconds(r.SurvivedS), seconds(ranS)
	if quarantine.Outlived(survived, ran) {
		return
	}
	if quarantine.Outlived(ran, survived) {
		r.CrashedOn = nil
	}
	r.CrashedOn = append(r.CrashedOn, worker)
	r.SurvivedS = max(r.SurvivedS, ranS)
}

// crashDecision returns the consequence of the gang's crashes. What else ran on
// the workers is not recorded, so all of them count as isolated: the limit must
// hold.
func (e *entry) crashDecision() quarantine.CrashDecision {
	crashes := len(e.record.CrashedOn)
	return quarantine.Crashes{Survived: seconds(e.record.SurvivedS), Confirmed: crashes, Isolated: crashes}.Decide()
}

// addStoppedGang records a gang that was stopped because the worker stopped
// responding, and how long it had run.
func (w *workerState) addStoppedGang(e *entry) {
	if w.stoppedGangs == nil {
		w.stoppedGangs = make(map[*entry]float64)
	}
	w.stoppedGangs[e] = e.longestRunSeconds()
}

// recordCrash counts the crash of a worker against the gangs that were stopped
// when it stopped responding. The count is checked at their next crash.
func (c *core) recordCrash(w *workerState) {
	for e, ranS := range w.stoppedGangs {
		e.countCrash(w.ID, ranS)
		if !c.gangChart.Final(e.state) {
			c.markUnsaved(e)
		}
	}
}

func (e *entry) holdsPartOn(worker string) bool {
	for _, p := range e.parts {
		if p.worker == worker {
			return true
		}
	}
	return false
}

// discardOrphan stops or releases a reservation that belongs to no current
// attempt.
func (c *core) discardOrphan(worker string, r api.ReservationReport) {
	if !c.recovered {
		return
	}
	w := c.workers[worker]
	parts := []part{{worker: worker, addr: w.Addr}}
	ref := api.GangRef{Epoch: c.epoch, Gang: r.Gang, Attempt: r.Attempt}
	if r.State == api.TaskRunning {
		c.emit(stopAction{ref: ref, parts: parts, timeout: stopTimeout})
		return
	}
	c.emit(releaseAction{ref: ref, parts: parts})
}

// evaluateGang completes, fails or stops a running gang according to the last
// reports of its parts.
func (c *core) evaluateGang(e *entry, now time.Time) {
	done := 0
	for _, p := range e.parts {
		report := e.reports[p.worker]
		switch report.state {
		case api.TaskDone:
			done++
		case api.TaskFailed:
			c.handleTaskFailure(e, p.worker, report, now)
			return
		case api.TaskLapsed, api.TaskStopped:
			c.stopGang(e, evWorkerLost, fmt.Sprintf("worker %s: tasks %s", p.worker, report.state), now)
			return
		}
	}
	if done == len(e.parts) {
		c.completeGang(e, now)
	}
}

func (c *core) completeGang(e *entry, now time.Time) {
	for _, p := range e.parts {
		c.health.TaskSucceeded(p.worker, e.record.ID, now)
		c.completeProbe(p.worker, now)
	}
	c.observeRun(e)
	c.transition(e, evFinish, finishReason(e, now), now)
}

// finishReason returns the reason of a completion, with the time by which the job
// missed its deadline, if it did. A job misses its deadline if the run time
// estimate that it was placed with was too short, or after a restart.
func finishReason(e *entry, now time.Time) string {
	deadline := e.record.Submission.Deadline
	if deadline == nil || !now.After(*deadline) {
		return "every part finished"
	}
	return fmt.Sprintf("every part finished, %s after the deadline", now.Sub(*deadline).Round(time.Millisecond))
}

// runObserver learns actual run times; estimate.History implements it.
type runObserver interface {
	Observe(account, kind string, declared, actual time.Duration)
}

func (c *core) observeRun(e *entry) {
	if observer, ok := c.runTimes.(runObserver); ok {
		submission := e.record.Submission
		declared := seconds(submission.DeclaredRunS)
		observer.Observe(submission.Account, submission.Kind, declared, seconds(e.record.ProgressS+e.longestRunSeconds()))
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// handleTaskFailure distinguishes a faulty job from an unhealthy worker. It
// either stops the gang to retry it elsewhere, if that is allowed, or fails the
// job with the evidence.
func (c *core) handleTaskFailure(e *entry, worker string, report partReport, now time.Time) {
	e.record.FailedOn = append(e.record.FailedOn, worker)
	verdict := c.health.TaskFailed(worker, e.record.ID, now)
	c.applyWorkerVerdict(e, worker, verdict, now)
	reason := fmt.Sprintf("task failed on %s: %s", worker, report.message)
	if e.record.Submission.Idempotent && verdict.FaultyJob == "" && len(e.record.FailedOn) < maxFailedAttempts {
		c.stopGang(e, evWorkerLost, reason, now)
		return
	}
	if verdict.FaultyJob != "" {
		reason += "; " + verdict.Evidence
	}
	if len(e.record.FailedOn) > 1 {
		reason += "; failed on " + strings.Join(e.record.FailedOn, ", ")
	}
	c.emit(stopAction{ref: e.ref, parts: e.parts, timeout: stopTimeout})
	c.transition(e, evFail, reason, now)
}

// applyWorkerVerdict quarantines a worker that the tracker finds unhealthy, and
// returns a worker that is being probed to quarantine.
func (c *core) applyWorkerVerdict(e *entry, worker string, verdict quarantine.Verdict, now time.Time) {
	w := c.workers[worker]
	if w == nil {
		return
	}
	if w.chartState == chart.State(model.WorkerProbing) {
		c.transitionWorker(w, c.health.Probed(worker, false, now))
		return
	}
	if verdict.UnhealthyWorker == worker {
		c.transitionWorker(w, quarantine.EventUnhealthy)
		c.decide(now, e, "quarantine", worker, verdict.Evidence, "")
	}
}

// completeProbe returns a probed worker to service after a task succeeded on it.
func (c *core) completeProbe(worker string, now time.Time) {
	if w := c.workers[worker]; w != nil && w.chartState == chart.State(model.WorkerProbing) {
		c.transitionWorker(w, c.health.Probed(worker, true, now))
	}
}

// checkTimeouts applies the transitions that depend on time alone.
func (c *core) checkTimeouts(now time.Time) {
	for _, w := range c.workers {
		sinceReport := now.Sub(w.lastReport)
		if sinceReport > c.workerLease {
			c.transitionWorker(w, workerEvLongSilence)
		} else if sinceReport > time.Duration(suspectFraction*float64(c.workerLease)) {
			c.transitionWorker(w, workerEvSilence)
		}
	}
	for _, worker := range c.health.StartProbes(now) {
		if w := c.workers[worker]; w != nil {
			c.transitionWorker(w, quarantine.EventCooldownEnded)
		}
	}
	for _, e := range c.openEntries() {
		c.checkGangTimeout(e, now)
	}
}

func (c *core) checkGangTimeout(e *entry, now time.Time) {
	switch e.state {
	case stRunning:
		unresponsive := ""
		for _, p := range e.parts {
			if now.Sub(e.reports[p.worker].renewedAt) <= c.workerLease {
				continue
			}
			unresponsive = p.worker
			if w := c.workers[p.worker]; w != nil {
				w.addStoppedGang(e)
			}
		}
		if unresponsive != "" {
			c.stopGang(e, evWorkerLost, "worker "+unresponsive+" is silent longer than its lease", now)
		}
	case stStopping, stCancelling:
		if !e.leasesExpireAt.IsZero() && now.After(e.leasesExpireAt) && !e.stopInFlight {
			c.completeStop(e, now)
		}
	}
}
