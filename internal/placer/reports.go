package placer

import (
	"fmt"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/chart"
	"github.com/corianderbank/corianderbank/internal/jobstore"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/quarantine"
)

// The events of charts/worker.json that the placer raises.
const (
	wkReport      chart.Event = "report"
	wkSilence     chart.Event = "silence"
	wkLongSilence chart.Event = "long_silence"
	wkLeave       chart.Event = "leave"
	wkNew         chart.Event = "new_incarnation"
)

// silenceFactor is the part of a worker lease after which a silent worker takes
// no new work: two missed renewals at a fifth of the lease each.
const silenceFactor = 0.4

// setWorkers takes the zone's workers from the membership.
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
			c.stepWorker(known, wkLeave)
		}
	}
	for id, w := range c.workers {
		if !listed[id] && w.chartState == chart.State(model.WorkerLost) && !c.holdsGang(id) {
			delete(c.workers, id)
		}
	}
}

func (c *core) holdsGang(worker string) bool {
	for _, e := range c.jobs {
		for _, p := range e.parts {
			if p.worker == worker && !c.chart.Final(e.state) {
				return true
			}
		}
	}
	return false
}

func (c *core) stepWorker(w *workerState, ev chart.Event) {
	next, err := c.workerChart.Next(w.chartState, ev)
	if err != nil {
		return
	}
	w.chartState = next
	w.Health = model.WorkerHealth(next)
}

func (ev reportEvent) apply(c *core, now time.Time) {
	w, ok := c.workers[ev.worker]
	if !ok {
		return
	}
	if ev.err != nil {
		return
	}
	c.noteWorker(w, ev, now)
	if ev.report.HighestEpoch > c.epoch && c.held {
		c.stepDown()
		return
	}
	c.noteReservations(ev, now)
}

// noteWorker updates what is known of the worker itself.
func (c *core) noteWorker(w *workerState, ev reportEvent, now time.Time) {
	report := ev.report
	if w.Incarnation != 0 && report.Incarnation > w.Incarnation {
		c.stepWorker(w, wkNew)
	}
	w.Incarnation = report.Incarnation
	w.Rack, w.Accelerators = report.Rack, report.Accelerators
	w.lastReport, w.LastReport = now, now
	c.stepWorker(w, wkReport)
	if report.Leaving {
		c.stepWorker(w, wkLeave)
	}
}

// noteReservations compares a report with what the gangs expect of the worker.
func (c *core) noteReservations(ev reportEvent, now time.Time) {
	seen := make(map[string]bool)
	for _, r := range ev.report.Reservations {
		e, ok := c.jobs[r.Gang]
		if !ok || e.ref.Attempt != r.Attempt || !e.holds(ev.worker) {
			c.orphan(ev.worker, r)
			continue
		}
		seen[r.Gang] = true
		renewedAt := e.reports[ev.worker].renewedAt
		if ev.sentAt.After(renewedAt) {
			renewedAt = ev.sentAt
		}
		e.reports[ev.worker] = seenReport{state: r.State, ranS: r.RanS, msg: r.Message, renewedAt: renewedAt}
	}
	for _, e := range c.live() {
		if e.state == stRunning && e.holds(ev.worker) {
			if !seen[e.record.ID] && ev.sentAt.After(e.reports[ev.worker].renewedAt) {
				c.stop(e, evWorkerLost, "worker "+ev.worker+" no longer has its part", now)
				continue
			}
			c.judge(e, now)
		}
	}
}

func (e *entry) holds(worker string) bool {
	for _, p := range e.parts {
		if p.worker == worker {
			return true
		}
	}
	return false
}

// orphan gives up a reservation that belongs to no present attempt.
func (c *core) orphan(worker string, r api.ReservationReport) {
	if !c.recovered {
		return
	}
	w := c.workers[worker]
	parts := []part{{worker: worker, addr: w.Addr}}
	ref := api.GangRef{Epoch: c.epoch, Gang: r.Gang, Attempt: r.Attempt}
	if r.State == api.TaskRunning {
		c.do(stopAction{ref: ref, parts: parts, within: stopWithin})
		return
	}
	c.do(releaseAction{ref: ref, parts: parts})
}

// judge draws the conclusion of a running gang's reports.
func (c *core) judge(e *entry, now time.Time) {
	done := 0
	for _, p := range e.parts {
		report := e.reports[p.worker]
		switch report.state {
		case api.TaskDone:
			done++
		case api.TaskFailed:
			c.taskFailed(e, p.worker, report, now)
			return
		case api.TaskLapsed, api.TaskStopped:
			c.stop(e, evWorkerLost, fmt.Sprintf("worker %s: tasks %s", p.worker, report.state), now)
			return
		}
	}
	if done == len(e.parts) {
		c.finished(e, now)
	}
}

func (c *core) finished(e *entry, now time.Time) {
	for _, p := range e.parts {
		c.health.TaskSucceeded(p.worker, e.record.ID, now)
		c.probePassed(p.worker, now)
	}
	c.observe(e)
	c.step(e, evFinish, "every part finished", now)
}

// observer learns real run times; estimate.History is one.
type observer interface {
	Observe(account, kind string, declared, actual time.Duration)
}

func (c *core) observe(e *entry) {
	if learner, ok := c.runs.(observer); ok {
		submission := e.record.Submission
		declared := seconds(submission.DeclaredRunS)
		learner.Observe(submission.Account, submission.Kind, declared, seconds(e.record.ProgressS+e.ranS()))
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// taskFailed tells a sick job from a sick worker: the job ends with its
// evidence, or it is tried again elsewhere if it may be.
func (c *core) taskFailed(e *entry, worker string, report seenReport, now time.Time) {
	e.failures++
	verdict := c.health.TaskFailed(worker, e.record.ID, now)
	c.judgeWorker(e, worker, verdict, now)
	reason := fmt.Sprintf("task failed on %s: %s", worker, report.msg)
	if e.record.Submission.Idempotent && verdict.SickJob == "" && e.failures < maxFailures {
		c.stop(e, evWorkerLost, reason, now)
		return
	}
	if verdict.SickJob != "" {
		reason += "; " + verdict.Evidence
	}
	c.do(stopAction{ref: e.ref, parts: e.parts, within: stopWithin})
	c.step(e, evFail, reason, now)
}

// judgeWorker quarantines a worker that the tracker finds sick, and sends a
// probed one back.
func (c *core) judgeWorker(e *entry, worker string, verdict quarantine.Verdict, now time.Time) {
	w := c.workers[worker]
	if w == nil {
		return
	}
	if w.chartState == chart.State(model.WorkerProbing) {
		c.stepWorker(w, c.health.Probed(worker, false, now))
		return
	}
	if verdict.SickWorker == worker {
		c.stepWorker(w, quarantine.EventSick)
		c.decide(now, e, "quarantine", worker, verdict.Evidence, "")
	}
}

// probePassed returns a probed worker to work after a task ended well there.
func (c *core) probePassed(worker string, now time.Time) {
	if w := c.workers[worker]; w != nil && w.chartState == chart.State(model.WorkerProbing) {
		c.stepWorker(w, c.health.Probed(worker, true, now))
	}
}

// checkSilence raises what follows from time alone.
func (c *core) checkSilence(now time.Time) {
	for _, w := range c.workers {
		silent := now.Sub(w.lastReport)
		if silent > c.workerLease {
			c.stepWorker(w, wkLongSilence)
		} else if silent > time.Duration(silenceFactor*float64(c.workerLease)) {
			c.stepWorker(w, wkSilence)
		}
	}
	for _, worker := range c.health.Cooled(now) {
		if w := c.workers[worker]; w != nil {
			c.stepWorker(w, quarantine.EventCooled)
		}
	}
	for _, e := range c.live() {
		c.checkGangSilence(e, now)
	}
}

func (c *core) checkGangSilence(e *entry, now time.Time) {
	switch e.state {
	case stRunning:
		for _, p := range e.parts {
			if now.Sub(e.reports[p.worker].renewedAt) > c.workerLease {
				c.stop(e, evWorkerLost, "worker "+p.worker+" is silent longer than its lease", now)
				return
			}
		}
	case stStopping, stCancelling:
		if !e.lapseAt.IsZero() && now.After(e.lapseAt) && !e.stopSent {
			c.stopped(e, now)
		}
	}
}

// term follows the zone's lease.
func (ev termEvent) apply(c *core, now time.Time) {
	c.platform = ev.platform
	if !ev.held {
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
	for _, report := range ev.reports {
		report.apply(c, now)
	}
}

// adopt takes over one open record with what the workers hold of it.
func (c *core) adopt(record jobstore.Record, held map[string]api.ReservationReport, now time.Time) {
	e := c.addWaiting(record)
	attempt := record.Attempt
	for _, r := range held {
		attempt = max(attempt, r.Attempt)
	}
	e.ref = api.GangRef{Epoch: c.epoch, Gang: record.ID, Attempt: attempt}
	tasks := 0
	for worker, r := range held {
		if r.Attempt != attempt {
			continue
		}
		w := c.workers[worker]
		if w == nil {
			continue
		}
		tasks += r.Tasks
		e.parts = append(e.parts, part{worker: worker, addr: w.Addr, task: api.TaskPlacement{Worker: worker, Tasks: r.Tasks, Accelerators: r.Accelerators}})
		e.reports[worker] = seenReport{state: r.State, ranS: r.RanS, msg: r.Message, renewedAt: now}
		if r.State != api.TaskReserved {
			e.mayRun = true
		}
	}
	e.record.Attempt = attempt
	c.resume(e, tasks == record.Submission.Shape.Tasks, now)
}

// resume decides what becomes of an adopted gang: whole ones run on, others are
// stopped first, those that hold nothing wait or have an unknown result.
func (c *core) resume(e *entry, whole bool, now time.Time) {
	started := e.record.Phase == jobstore.PhaseStarted
	switch {
	case whole && e.mayRun && !e.anyReserved():
		e.state = stRunning
		c.decide(now, e, "recover", "running", "every part is held by its worker", "")
		c.judge(e, now)
	case len(e.parts) > 0 || started:
		e.state = stStopping
		e.mayRun = e.mayRun || started
		e.stopReason = "taken over with " + describeHeld(len(e.parts))
		e.lapseAt = now.Add(c.workerLease)
		c.decide(now, e, "recover", "stopping", e.stopReason, "")
		if len(e.parts) > 0 {
			c.sendStop(e, false, stopWithin)
		}
	default:
		c.decide(now, e, "recover", "waiting", "holds nothing", "")
	}
}

func describeHeld(parts int) string {
	if parts == 0 {
		return "no part held by a worker that answers"
	}
	return fmt.Sprintf("%d parts held, not the whole gang", parts)
}

func (e *entry) anyReserved() bool {
	for _, report := range e.reports {
		if report.state == api.TaskReserved {
			return true
		}
	}
	return false
}
