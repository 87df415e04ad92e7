// Package quarantine distinguishes workers on which every task fails from jobs that
// fail on every worker. It is pure: times are passed in.
//
// Without it a faulty worker, which is always free because its tasks fail immediately,
// attracts one gang after another, and a faulty job that is started repeatedly makes
// healthy workers look faulty. Failures are therefore counted by distinct counterparts
// (jobs per worker, workers per job), and each failure is evidence against one side
// only: a job that failed on several workers is no evidence against them, and a worker
// on which several jobs failed is no evidence against those jobs.
package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/corianderbank/corianderbank/internal/chart"
)

const (
	// minFailedJobs is the number of different jobs that must fail on a worker for it
	// to be unhealthy. Two failures may be chance. If one job in twenty fails through
	// its own fault, three different ones in a row on the same worker occur once in
	// 8,000 cases.
	minFailedJobs = 3
	// minFailedWorkers is the number of different healthy workers on which a job must
	// fail to be faulty. As with minFailedJobs, two failures may be chance.
	minFailedWorkers = 3
	// failureWindow is the time for which a failure counts.
	failureWindow = time.Hour
	// initialCooldown is the duration of the first cooldown in quarantine. Each failed
	// probe doubles it, up to maxCooldown, so that a faulty worker costs fewer and
	// fewer probes.
	initialCooldown = 2 * time.Minute
	maxCooldown     = time.Hour
	// maxRecords bounds the failures kept for one worker or job.
	maxRecords = 16
)

// Events of charts/worker.json raised for the results of a Tracker.
const (
	EventUnhealthy     chart.Event = "sick"
	EventCooldownEnded chart.Event = "cooled"
	EventProbeOK       chart.Event = "probe_ok"
	EventProbeFailed   chart.Event = "probe_failed"
)

// Verdict is the consequence of a failure.
type Verdict struct {
	// UnhealthyWorker is the worker to quarantine (EventUnhealthy), if any.
	UnhealthyWorker string
	// FaultyJob is the job to end as failed, if any.
	FaultyJob string
	// Evidence describes the failures on which the verdict is based.
	Evidence string
}

// failureRecord is one failure, kept for a worker with the job as counterpart or the
// other way round.
type failureRecord struct {
	counterpart string
	at          time.Time
}

// quarantineState is the state of a worker in quarantine.
type quarantineState struct {
	since    time.Time
	cooldown time.Duration
	probing  bool
}

// Tracker counts failures. It is not safe for concurrent use: the goroutine of the
// placer owns it.
type Tracker struct {
	byWorker    map[string][]failureRecord
	byJob       map[string][]failureRecord
	quarantined map[string]*quarantineState
}

// NewTracker returns a Tracker without failures.
func NewTracker() *Tracker {
	return &Tracker{byWorker: make(map[string][]failureRecord), byJob: make(map[string][]failureRecord), quarantined: make(map[string]*quarantineState)}
}

// TaskFailed records that a task of a job failed on a worker, by its own exit and not
// because it was stopped, and returns the verdict.
func (t *Tracker) TaskFailed(worker, job string, now time.Time) Verdict {
	t.byWorker[worker] = addFailure(t.byWorker[worker], job, now)
	t.byJob[job] = addFailure(t.byJob[job], worker, now)
	if workers := t.healthyWorkersFailedOn(job); len(workers) >= minFailedWorkers {
		t.forgetJob(job)
		return Verdict{FaultyJob: job, Evidence: fmt.Sprintf("failed on %d healthy workers: %s", len(workers), strings.Join(workers, ", "))}
	}
	if jobs := counterparts(t.byWorker[worker]); len(jobs) >= minFailedJobs && t.quarantined[worker] == nil {
		t.quarantined[worker] = &quarantineState{since: now, cooldown: initialCooldown}
		return Verdict{UnhealthyWorker: worker, Evidence: fmt.Sprintf("%d different jobs failed on it: %s", len(jobs), strings.Join(jobs, ", "))}
	}
	return Verdict{}
}

// TaskSucceeded records that a task of a job succeeded on a worker and clears the
// failures of both. The failures of the job on other workers remain as evidence
// against those workers.
func (t *Tracker) TaskSucceeded(worker, job string, _ time.Time) {
	delete(t.byWorker, worker)
	delete(t.byJob, job)
}

// JobEnded drops the failures of a job that has ended for another reason.
func (t *Tracker) JobEnded(job string) { delete(t.byJob, job) }

// StartProbes returns the quarantined workers that may be probed now
// (EventCooldownEnded) and marks them as being probed. A worker is returned once per
// cooldown.
func (t *Tracker) StartProbes(now time.Time) []string {
	var ready []string
	for worker, s := range t.quarantined {
		if !s.probing && now.Sub(s.since) >= s.cooldown {
			s.probing = true
			ready = append(ready, worker)
		}
	}
	slices.Sort(ready)
	return ready
}

// Probed records the result of the probe task on a cooled worker and returns the event
// to raise.
func (t *Tracker) Probed(worker string, ok bool, now time.Time) chart.Event {
	s := t.quarantined[worker]
	if ok || s == nil {
		delete(t.quarantined, worker)
		delete(t.byWorker, worker)
		return EventProbeOK
	}
	s.probing = false
	s.since = now
	s.cooldown = min(2*s.cooldown, maxCooldown)
	return EventProbeFailed
}

// Forget drops the state of a worker that left or returned as a new incarnation.
func (t *Tracker) Forget(worker string) {
	delete(t.quarantined, worker)
	delete(t.byWorker, worker)
}

// healthyWorkersFailedOn lists the workers on which a job failed, except unhealthy
// ones. A worker on which several jobs failed is no evidence against the job.
func (t *Tracker) healthyWorkersFailedOn(job string) []string {
	var healthy []string
	for _, worker := range counterparts(t.byJob[job]) {
		if len(counterparts(t.byWorker[worker])) < minFailedJobs && t.quarantined[worker] == nil {
			healthy = append(healthy, worker)
		}
	}
	return healthy
}

// forgetJob drops a failed job and its failures on every worker.
func (t *Tracker) forgetJob(job string) {
	for _, r := range t.byJob[job] {
		t.byWorker[r.counterpart] = slices.DeleteFunc(t.byWorker[r.counterpart], func(r failureRecord) bool { return r.counterpart == job })
		if len(t.byWorker[r.counterpart]) == 0 {
			delete(t.byWorker, r.counterpart)
		}
	}
	delete(t.byJob, job)
}

// addFailure adds a failure and drops those outside failureWindow or beyond
// maxRecords.
func addFailure(records []failureRecord, counterpart string, now time.Time) []failureRecord {
	records = slices.DeleteFunc(records, func(r failureRecord) bool { return now.Sub(r.at) > failureWindow || r.counterpart == counterpart })
	records = append(records, failureRecord{counterpart: counterpart, at: now})
	return records[max(0, len(records)-maxRecords):]
}

// counterparts lists the distinct counterparts of failures, in order of time.
func counterparts(records []failureRecord) []string {
	names := make([]string, 0, len(records))
	for _, r := range records {
		names = append(names, r.counterpart)
	}
	return names
}
