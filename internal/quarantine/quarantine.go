// Package quarantine tells workers that fail every task from jobs that fail on
// every worker. It is pure: times are passed in.
//
// It answers workers that fail each task they start, and jobs that can never
// run. Without it a broken worker, always free because it fails at once, draws
// one gang after the other; and a broken job, started again and again, makes
// healthy workers look broken. Failures are therefore counted by distinct
// counterparts, and each piece of evidence counts for one side only: a job that
// failed on several workers says nothing against them, and a worker on which
// several jobs failed says nothing against these.
package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/corianderbank/corianderbank/internal/chart"
)

const (
	// sickJobs is the number of different jobs that must fail on a worker. Two
	// may be chance: with one job in twenty failing by its own fault, three
	// different ones in a row on one worker happen once in 8,000.
	sickJobs = 3
	// sickWorkers is the number of different healthy workers on which a job
	// must fail, for the same reason.
	sickWorkers = 3
	// window is how long a failure counts.
	window = time.Hour
	// firstCooling is the first stay in quarantine; each relapse doubles it up
	// to longestCooling, so that a broken worker costs ever fewer probes.
	firstCooling   = 2 * time.Minute
	longestCooling = time.Hour
	// maxRecords bounds the failures kept for one worker or job.
	maxRecords = 16
)

// The events of charts/worker.json that a Tracker raises.
const (
	EventSick        chart.Event = "sick"
	EventCooled      chart.Event = "cooled"
	EventProbeOK     chart.Event = "probe_ok"
	EventProbeFailed chart.Event = "probe_failed"
)

// Verdict is what a failure leads to.
type Verdict struct {
	// SickWorker names the worker to quarantine (EventSick), if any.
	SickWorker string
	// SickJob names the job to end as failed, if any.
	SickJob string
	// Evidence says what the verdict rests on.
	Evidence string
}

// record is one failure, seen from a worker or from a job.
type record struct {
	other string
	at    time.Time
}

// stay is a worker's stay in quarantine.
type stay struct {
	since   time.Time
	cooling time.Duration
	probing bool
}

// Tracker counts failures. It is not safe for concurrent use: the placer's
// goroutine owns it.
type Tracker struct {
	byWorker map[string][]record
	byJob    map[string][]record
	stays    map[string]*stay
}

// NewTracker returns a Tracker without failures.
func NewTracker() *Tracker {
	return &Tracker{byWorker: make(map[string][]record), byJob: make(map[string][]record), stays: make(map[string]*stay)}
}

// TaskFailed records that a task of a job failed on a worker, by its own exit
// rather than by a stop, and returns the verdict.
func (t *Tracker) TaskFailed(worker, job string, now time.Time) Verdict {
	t.byWorker[worker] = remember(t.byWorker[worker], job, now)
	t.byJob[job] = remember(t.byJob[job], worker, now)
	if workers := t.healthyWorkersOf(job); len(workers) >= sickWorkers {
		t.forgetJob(job)
		return Verdict{SickJob: job, Evidence: fmt.Sprintf("failed on %d healthy workers: %s", len(workers), strings.Join(workers, ", "))}
	}
	if jobs := others(t.byWorker[worker]); len(jobs) >= sickJobs && t.stays[worker] == nil {
		t.stays[worker] = &stay{since: now, cooling: firstCooling}
		return Verdict{SickWorker: worker, Evidence: fmt.Sprintf("%d different jobs failed on it: %s", len(jobs), strings.Join(jobs, ", "))}
	}
	return Verdict{}
}

// TaskSucceeded records that a task of a job ended well on a worker: neither is
// sick. The job's failures elsewhere stay as evidence against those workers.
func (t *Tracker) TaskSucceeded(worker, job string, _ time.Time) {
	delete(t.byWorker, worker)
	delete(t.byJob, job)
}

// JobEnded drops what is kept about a job that has ended for another reason.
func (t *Tracker) JobEnded(job string) { delete(t.byJob, job) }

// Cooled lists the quarantined workers that may be probed now (EventCooled). A
// worker is listed once for each stay.
func (t *Tracker) Cooled(now time.Time) []string {
	var cooled []string
	for worker, s := range t.stays {
		if !s.probing && now.Sub(s.since) >= s.cooling {
			s.probing = true
			cooled = append(cooled, worker)
		}
	}
	slices.Sort(cooled)
	return cooled
}

// Probed records the result of the task that a cooled worker was given and
// returns the event to raise.
func (t *Tracker) Probed(worker string, ok bool, now time.Time) chart.Event {
	s := t.stays[worker]
	if ok || s == nil {
		delete(t.stays, worker)
		delete(t.byWorker, worker)
		return EventProbeOK
	}
	s.probing = false
	s.since = now
	s.cooling = min(2*s.cooling, longestCooling)
	return EventProbeFailed
}

// Forget drops everything about a worker that left or came back new.
func (t *Tracker) Forget(worker string) {
	delete(t.stays, worker)
	delete(t.byWorker, worker)
}

// healthyWorkersOf lists the workers on which a job failed and no other did:
// those that several jobs failed on are no evidence against the job.
func (t *Tracker) healthyWorkersOf(job string) []string {
	var healthy []string
	for _, worker := range others(t.byJob[job]) {
		if len(others(t.byWorker[worker])) < sickJobs && t.stays[worker] == nil {
			healthy = append(healthy, worker)
		}
	}
	return healthy
}

// forgetJob drops a sick job and its failures on every worker.
func (t *Tracker) forgetJob(job string) {
	for _, r := range t.byJob[job] {
		t.byWorker[r.other] = slices.DeleteFunc(t.byWorker[r.other], func(r record) bool { return r.other == job })
		if len(t.byWorker[r.other]) == 0 {
			delete(t.byWorker, r.other)
		}
	}
	delete(t.byJob, job)
}

// remember adds a failure and drops those outside the window or the bound.
func remember(records []record, other string, now time.Time) []record {
	records = slices.DeleteFunc(records, func(r record) bool { return now.Sub(r.at) > window || r.other == other })
	records = append(records, record{other: other, at: now})
	return records[max(0, len(records)-maxRecords):]
}

// others lists the distinct counterparts of failures, in order of time.
func others(records []record) []string {
	names := make([]string, 0, len(records))
	for _, r := range records {
		names = append(names, r.other)
	}
	return names
}
