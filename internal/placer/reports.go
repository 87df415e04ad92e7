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

// unreported counts the listed workers whose accelerators are not known yet. A
// refusal that rests on too few accelerators would not be true meanwhile.
func (c *core) unreported() int {
	count := 0
	for _, w := range c.workers {
		if w.Accelerators == 0 && w.Takes() {
			count++
		}
	}
	return count
}

// holdsGang reports whether a gang that has not ended holds a part of a worker.
func (c *core) holdsGang(worker string) bool {
	for e := range c.onWorker[worker] {
		if !c.chart.Final(e.state) {
			return true
		}
	}
	return false
}

func (c *core) stepWorker(w *workerState, ev chart.Event) {
	next, err := c.workerChart.Next(w.chartState, ev)
	if err != nil {
		return
	}
	c.touched = c.touched || w.chartState != next
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
	newLife := w.Incarnation != 0 && ev.report.Incarnation > w.Incarnation
	c.noteWorker(w, ev, now)
	c.fence(ev.report.HighestEpoch)
	if !c.held {
		return
	}
	c.noteReservations(ev, newLife, now)
}

// fence steps down for good under any epoch below least: a worker has seen a
// later placer. The store may be out of reach and unable to say so.
func (c *core) fence(least int64) {
	c.leastEpoch = max(c.leastEpoch, least)
	if c.held && c.epoch < c.leastEpoch {
		c.stepDown()
	}
}

// noteWorker updates what is known of the worker itself.
func (c *core) noteWorker(w *workerState, ev reportEvent, now time.Time) {
	report := ev.report
	if w.Incarnation != 0 && report.Incarnation > w.Incarnation {
		c.stepWorker(w, wkNew)
		c.countSilent(w)
	}
	clear(w.silent)
	w.Incarnation = report.Incarnation
	w.Rack, w.Accelerators = report.Rack, report.Accelerators
	w.lastReport, w.LastReport = now, now
	c.stepWorker(w, wkReport)
	if report.Leaving {
		c.stepWorker(w, wkLeave)
	}
}

// noteReservations compares a report with what the gangs expect of the worker.
func (c *core) noteReservations(ev reportEvent, newLife bool, now time.Time) {
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
	for _, e := range c.gangsOn(ev.worker) {
		if e.state == stRunning {
			if !seen[e.record.ID] && ev.sentAt.After(e.reports[ev.worker].renewedAt) {
				c.partLost(e, ev.worker, newLife, now)
				continue
			}
			c.judge(e, now)
		}
	}
}

// partLost takes that a worker no longer has its part of a gang. A gang may take down each
// worker that it runs on; it is not started again without end.
func (c *core) partLost(e *entry, worker string, crashed bool, now time.Time) {
	reason := "worker " + worker + " no longer has its part"
	if crashed {
		e.record.CrashedOn = append(e.record.CrashedOn, worker)
	}
	if (quarantine.Crashes{Seen: len(e.record.CrashedOn)}).Decide() != quarantine.GiveUp {
		c.stop(e, evWorkerLost, reason, now)
		return
	}
	c.do(stopAction{ref: e.ref, parts: e.parts, within: stopWithin})
	c.step(e, evFail, reason+"; workers that went down under it: "+strings.Join(e.record.CrashedOn, ", "), now)
}

// noteSilent keeps which gang was stopped because a worker fell silent.
func (w *workerState) noteSilent(e *entry) {
	if w.silent == nil {
		w.silent = make(map[*entry]bool)
	}
	w.silent[e] = true
}

// countSilent counts a worker that had crashed against the gangs that were stopped when
// it fell silent. They are judged at the next crash.
func (c *core) countSilent(w *workerState) {
	for e := range w.silent {
		e.record.CrashedOn = append(e.record.CrashedOn, w.ID)
		if !c.chart.Final(e.state) {
			c.markUnsaved(e)
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
	c.step(e, evFinish, finishReason(e, now), now)
}

// finishReason says so when a job finished after its deadline: it was placed in
// time by an estimate that turned out wrong.
func finishReason(e *entry, now time.Time) string {
	deadline := e.record.Submission.Deadline
	if deadline == nil || !now.After(*deadline) {
		return "every part finished"
	}
	return fmt.Sprintf("every part finished, %s after the deadline", now.Sub(*deadline).Round(time.Millisecond))
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
	e.record.FailedOn = append(e.record.FailedOn, worker)
	verdict := c.health.TaskFailed(worker, e.record.ID, now)
	c.judgeWorker(e, worker, verdict, now)
	reason := fmt.Sprintf("task failed on %s: %s", worker, report.msg)
	if e.record.Submission.Idempotent && verdict.SickJob == "" && len(e.record.FailedOn) < maxFailures {
		c.stop(e, evWorkerLost, reason, now)
		return
	}
	if verdict.SickJob != "" {
		reason += "; " + verdict.Evidence
	}
	if len(e.record.FailedOn) > 1 {
		reason += "; failed on " + strings.Join(e.record.FailedOn, ", ")
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
		silent := ""
		for _, p := range e.parts {
			if now.Sub(e.reports[p.worker].renewedAt) <= c.workerLease {
				continue
			}
			silent = p.worker
			if w := c.workers[p.worker]; w != nil {
				w.noteSilent(e)
			}
		}
		if silent != "" {
			c.stop(e, evWorkerLost, "worker "+silent+" is silent longer than its lease", now)
		}
	case stStopping, stCancelling:
		if !e.lapseAt.IsZero() && now.After(e.lapseAt) && !e.stopSent {
			c.stopped(e, now)
		}
	}
}
