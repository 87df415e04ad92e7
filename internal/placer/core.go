// Package placer runs the placement loop of one availability zone. It runs on
// every instance and is active while the instance holds the zone's placer lease.
//
// The core is a state machine without network, clock or locks: its inputs are
// events and the current time, its outputs are actions. The shell (Placer) runs
// the core in one goroutine, executes the actions in a pool, and posts their
// results as events through a bounded channel. charts/gang.json defines the
// transitions of gangs.
package placer

import (
	"fmt"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/chart"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/decision"
	"github.com/corianderbank/corianderbank/internal/estimate"
	"github.com/corianderbank/corianderbank/internal/jobstore"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/placement"
	"github.com/corianderbank/corianderbank/internal/quarantine"
)

// The events of charts/gang.json.
const (
	evPlace       chart.Event = "place"
	evReserved    chart.Event = "reserved"
	evShort       chart.Event = "short"
	evStarted     chart.Event = "started"
	evStartFailed chart.Event = "start_failed"
	evFinish      chart.Event = "finish"
	evFail        chart.Event = "fail"
	evReclaim     chart.Event = "reclaim"
	evStopped     chart.Event = "stopped"
	evWorkerLost  chart.Event = "worker_lost"
	evCancel      chart.Event = "cancel"
	evRefuse      chart.Event = "refuse"
	evLose        chart.Event = "lose"
)

// The states of charts/gang.json.
const (
	stWaiting    chart.State = "waiting"
	stReserving  chart.State = "reserving"
	stStarting   chart.State = "starting"
	stRunning    chart.State = "running"
	stStopping   chart.State = "stopping"
	stCancelling chart.State = "cancelling"
	stDone       chart.State = "done"
	stFailed     chart.State = "failed"
	stCancelled  chart.State = "cancelled"
	stNotRun     chart.State = "not_run"
	stUnknown    chart.State = "unknown"
)

// Limits, delays and intervals.
const (
	// placementRetryDelay keeps a job whose reservation was refused from
	// retrying the same workers in every round.
	placementRetryDelay = 500 * time.Millisecond
	// storeRetryDelay is the delay between write retries during a store outage.
	storeRetryDelay = time.Second
	// reconcileInterval is the time between reads of the open records, each of
	// which costs the store one read for each zone.
	reconcileInterval = 10 * time.Second
	// maxPlanInterval is the longest time between plans while nothing changes:
	// deadlines and estimates have a resolution of seconds.
	maxPlanInterval = time.Second
	// stopTimeout bounds a stop of tasks without a checkpoint.
	stopTimeout = 2 * time.Second
	// maxFailedAttempts bounds the failed attempts of one job, regardless of
	// their cause, so that a job cannot restart forever.
	maxFailedAttempts = 4
	// maxEndedJobs bounds the ended jobs kept in memory for late readers.
	maxEndedJobs = 4096
)

// entry is one job in the placer's memory.
type entry struct {
	record jobstore.Record
	state  chart.State
	// stateBeforeEnd is the last state that is not final.
	stateBeforeEnd     chart.State
	ref                api.GangRef
	parts              []part
	reports            map[string]partReport
	borrowed           bool
	expectedCompletion time.Time
	// notBefore is the earliest time at which a waiting job may be placed again.
	notBefore time.Time
	// mayHaveStarted reports whether any part of the current attempt may have
	// started.
	mayHaveStarted bool
	// mayHaveRunBefore reports whether an earlier attempt may have run.
	mayHaveRunBefore bool
	// checkpointed reports whether the stop of this attempt wrote a checkpoint.
	checkpointed bool
	// stopInFlight reports whether a stop has been sent and not yet answered.
	stopInFlight bool
	// leasesExpireAt is the time by which the leases of workers that did not
	// confirm the stop have definitely expired.
	leasesExpireAt time.Time
	stopReason     string
	// refusalKind is the error kind of a refusal; it is set before evRefuse.
	refusalKind api.Kind
	// writtenThisEpoch reports whether the row was written under the current
	// epoch, so that a delayed write by an earlier placer can no longer take
	// effect. A job is placed only after that.
	writtenThisEpoch bool
	// adopted reports whether the job was accepted by another placer.
	adopted bool
	// waiters are closed when callers may see the final outcome, when another placer
	// has ended the job or, if the job has not ended, when this instance loses the
	// lease.
	waiters map[chan struct{}]bool
	// dirty reports whether the record must be written because it has changed or its
	// last write failed. It is written when no other write of the row is in flight.
	dirty bool
	// writeInFlight is also set while the row is read after a failed write.
	writeInFlight bool
	nextWriteAt   time.Time
}

// partReport is a worker's last report of a part.
type partReport struct {
	state      api.TaskState
	runSeconds float64
	message    string
	// renewedAt is the time at which the last confirmed renewal was sent. Until the
	// first one it is the time at which the start or the adoption was applied, which
	// is not earlier than the start of the lease on the worker.
	renewedAt time.Time
}

// jobKey is an idempotency key, which is unique within its account.
type jobKey struct {
	account, key string
}

func jobKeyOf(job api.JobSubmission) jobKey { return jobKey{job.Account, job.IdempotencyKey} }

// jobByKey returns the job in memory with the same idempotency key, or nil.
func (c *core) jobByKey(job api.JobSubmission) *entry {
	if job.IdempotencyKey == "" {
		return nil
	}
	return c.jobsByKey[jobKeyOf(job)]
}

// workerState is a worker with the times and chart state that the core tracks.
type workerState struct {
	model.Worker
	lastReport time.Time
	chartState chart.State
	// nextRenewalAt is the time at which the worker's next renewal is due.
	nextRenewalAt time.Time
	// stoppedGangs holds the gangs that were stopped because the worker stopped
	// responding, with the time in seconds for which they had run.
	stoppedGangs map[*entry]float64
}

// core is owned by one goroutine; see the package comment.
type core struct {
	zone     string
	instance string
	epoch    int64
	// minEpoch is the lowest epoch under which the core may place: the highest that
	// a worker has reported, or one more than an epoch that a worker refused.
	minEpoch          int64
	holdsLease        bool
	mayPlace          bool
	platformReachable bool
	recovered         bool
	recovering        bool
	nextRecoveryAt    time.Time
	nextReconcileAt   time.Time
	gangChart         *chart.Chart
	workerChart       *chart.Chart
	jobs              map[string]*entry
	open              []*entry // in order of submission
	gangsByWorker     map[string]map[*entry]bool
	unsaved           map[string]*entry
	ended             []string
	jobsByKey         map[jobKey]*entry
	workers           map[string]*workerState
	runTimes          estimate.Source
	health            *quarantine.Tracker
	config            *config.Snapshot
	recorder          *decision.Recorder
	workerLease       time.Duration
	maxJobs           int
	actions           []action
	// planOutdated reports whether an input of the plan has changed since the
	// last one, which was made at plannedAt.
	planOutdated bool
	plannedAt    time.Time
	// keptRegions are the regions that the last plan keeps free for claims.
	keptRegions []placement.KeptRegion
}

// newCore adds the charts and empty job tables to a core.
func newCore(c core) *core {
	c.gangChart, c.workerChart = chart.MustLoad("gang"), chart.MustLoad("worker")
	c.workers = make(map[string]*workerState)
	c.clear()
	return &c
}

func (c *core) emit(a action) { c.actions = append(c.actions, a) }

func (c *core) takeActions() []action {
	taken := c.actions
	c.actions = nil
	return taken
}

// transition applies a chart event to e. It returns false if the event does not
// change the state.
func (c *core) transition(e *entry, ev chart.Event, reason string, now time.Time) bool {
	next, err := c.gangChart.Next(e.state, ev)
	if err != nil {
		c.decide(now, e, "fault", string(ev), err.Error(), "")
		return false
	}
	if next == e.state {
		return false
	}
	c.decide(now, e, "gang", string(next), reason, "")
	e.stateBeforeEnd, e.state = e.state, next
	recordTransitionMetrics(e, next, now)
	c.planOutdated = true
	if c.gangChart.Final(next) {
		c.recordEnd(e, reason, now)
	}
	return true
}

func (c *core) decide(now time.Time, e *entry, step, choice, reason, second string) {
	c.recorder.Record(api.Decision{
		At: now, Step: step, Subject: e.record.ID, Account: e.record.Submission.Account,
		Rule: e.record.Rule, Choice: choice, Reason: reason, SecondBest: second,
	})
}

// recordEnd sets the final outcome of e and marks its record for writing.
func (c *core) recordEnd(e *entry, reason string, now time.Time) {
	e.record.Phase = jobstore.PhaseEnded
	e.record.EndedAt = now
	e.record.State = string(e.state)
	e.record.Message = reason
	e.record.Outcome, e.record.ErrorKind = finalOutcome(e)
	recordOutcomeMetrics(e.record.Outcome, e.record.ErrorKind)
	c.markUnsaved(e)
	c.removeOpen(e)
	c.health.JobEnded(e.record.ID)
	c.ended = append(c.ended, e.record.ID)
	c.evictEnded()
}

// finalOutcome maps a final chart state to the outcome returned to the caller.
func finalOutcome(e *entry) (api.Outcome, api.Kind) {
	switch e.state {
	case stDone:
		return api.OutcomeDone, ""
	case stFailed:
		return api.OutcomeDone, api.KindJobFailed
	case stUnknown:
		return api.OutcomeUnknown, api.KindResultUnknown
	case stCancelled:
		return notRunOrUnknown(e), api.KindCancelled
	default:
		return notRunOrUnknown(e), e.refusalKind
	}
}

// notRunOrUnknown returns not_run only if no attempt can have run, and unknown
// otherwise.
func notRunOrUnknown(e *entry) api.Outcome {
	if e.mayHaveRunBefore || e.mayHaveStarted {
		return api.OutcomeUnknown
	}
	return api.OutcomeNotRun
}

// evictEnded bounds the ended jobs in memory; their rows stay in the store.
func (c *core) evictEnded() {
	for len(c.ended) > maxEndedJobs {
		id := c.ended[0]
		e := c.jobs[id]
		if e != nil && (e.dirty || e.writeInFlight) {
			return
		}
		c.ended = c.ended[1:]
		delete(c.jobs, id)
		if e != nil && c.jobsByKey[jobKeyOf(e.record.Submission)] == e {
			delete(c.jobsByKey, jobKeyOf(e.record.Submission))
		}
	}
}

func (c *core) addWaiting(record jobstore.Record) *entry {
	// Records read from the store have no monotonic clock reading. Strip it from
	// all, so that the order of the open jobs compares wall clock times only.
	record.SubmittedAt = record.SubmittedAt.Round(0)
	e := &entry{record: record, state: c.gangChart.Initial, reports: make(map[string]partReport), waiters: make(map[chan struct{}]bool)}
	c.addOpen(e)
	if record.Submission.IdempotencyKey != "" {
		c.jobsByKey[jobKeyOf(record.Submission)] = e
	}
	c.planOutdated = true
	return e
}

// stepDown discards all job state, because another instance holds or may hold
// the lease.
func (c *core) stepDown() {
	c.holdsLease, c.recovered, c.recovering, c.mayPlace = false, false, false, false
	for _, e := range c.open {
		e.notifyWaiters()
	}
	c.clear()
}

// outcomeVisible reports whether the final outcome of an ended job may be
// returned to callers: only once it is stored. Until then a restart of all
// instances, together with the loss of the workers that report the end, loses it.
func (c *core) outcomeVisible(e *entry) bool {
	return c.gangChart.Final(e.state) && !e.dirty && !e.writeInFlight
}

func (e *entry) notifyWaiters() {
	for ended := range e.waiters {
		close(ended)
	}
	clear(e.waiters)
}

// clear discards all jobs in memory.
func (c *core) clear() {
	c.jobs = make(map[string]*entry)
	c.open, c.ended = nil, nil
	c.gangsByWorker = make(map[string]map[*entry]bool)
	c.unsaved = make(map[string]*entry)
	c.jobsByKey = make(map[jobKey]*entry)
}

func (c *core) apply(ev event, now time.Time) { ev.apply(c, now) }

// entryOfAttempt returns the entry whose current attempt is ref.
func (c *core) entryOfAttempt(ref api.GangRef) (*entry, bool) {
	e, ok := c.jobs[ref.Gang]
	if !ok || e.ref != ref {
		return nil, false
	}
	return e, true
}

func describeShape(shape api.Shape) string {
	text := fmt.Sprintf("%d x %d accelerators", shape.Tasks, shape.AcceleratorsPerTask)
	if shape.SameRack {
		return text + " in one rack"
	}
	return text
}
