// Package placer is the loop that drives placement in one availability zone. It
// runs on every instance and acts while the instance holds the zone's placer
// lease.
//
// The core is a state machine without network, clock or locks: events and the
// time go in, actions come out. The shell (Placer) runs the core in one
// goroutine, carries out actions in a pool, and posts their results as events
// through a bounded ring. Gangs move by charts/gang.json.
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

// Limits and times of the loop.
const (
	// retryPlacementAfter keeps a job whose reservation fell short from asking
	// the same workers again in every round.
	retryPlacementAfter = 500 * time.Millisecond
	// persistRetryAfter paces repeated writes while the store is out.
	persistRetryAfter = time.Second
	// reconcileInterval is the time between reads of the open records, each of
	// which costs the store one read for each zone.
	reconcileInterval = 10 * time.Second
	// idleRound is the longest time between plans while nothing changes:
	// deadlines and estimates go by seconds.
	idleRound = time.Second
	// stopWithin bounds a plain stop of tasks.
	stopWithin = 2 * time.Second
	// maxFailures bounds the failed attempts of one job whatever they are put
	// down to, so that a job cannot restart for ever.
	maxFailures = 4
	// keepEnded is how many ended jobs stay in memory for late readers.
	keepEnded = 4096
)

// entry is one job in the placer's memory.
type entry struct {
	record      jobstore.Record
	state       chart.State
	ref         api.GangRef
	parts       []part
	reports     map[string]seenReport
	borrowed    bool
	expectedEnd time.Time
	notBefore   time.Time
	// mayRun says that some part of the present attempt may have started.
	mayRun bool
	// ranEver says that an earlier attempt may have run.
	ranEver bool
	// checkpointed says that the stop of this attempt wrote a checkpoint.
	checkpointed bool
	// stopSent says that a stop is under way; it is sent again if it must be.
	stopSent bool
	// lapseAt is when the leases of unconfirmed workers have surely lapsed.
	lapseAt    time.Time
	stopReason string
	// refusal is the kind of a refusal, set before evRefuse.
	refusal api.Kind
	// fenced says that the row was written in this term: a write of an earlier
	// placer, paused until now, can no longer take effect. A job is placed only
	// then.
	fenced bool
	// adopted says that the job was accepted under another placer.
	adopted bool
	// dirty records are written when nothing is in flight for the row.
	// waiters are closed when the job ends or the term does.
	waiters   map[chan struct{}]bool
	dirty     bool
	writing   bool
	nextWrite time.Time
}

// seenReport is the last report of a part.
type seenReport struct {
	state api.TaskState
	ranS  float64
	msg   string
	// renewedAt is when the renewal that the worker confirmed was sent.
	renewedAt time.Time
}

// accountKey is an idempotency key, which is unique within its account.
type accountKey struct {
	account, key string
}

func keyOf(job api.JobSubmission) accountKey { return accountKey{job.Account, job.IdempotencyKey} }

// sameKey returns the job in memory that was submitted under the same key.
func (c *core) sameKey(job api.JobSubmission) *entry {
	if job.IdempotencyKey == "" {
		return nil
	}
	return c.byKey[keyOf(job)]
}

type workerState struct {
	model.Worker
	lastReport time.Time
	chartState chart.State
	// nextRenewal is when the worker is due to be asked again.
	nextRenewal time.Time
	// silent are the gangs that were stopped because it fell silent.
	silent map[*entry]bool
}

// core is owned by one goroutine; see the package comment.
type core struct {
	zone     string
	instance string
	epoch    int64
	// leastEpoch is the highest epoch that a worker has shown.
	leastEpoch  int64
	held        bool
	mayPlace    bool
	platform    bool
	recovered   bool
	recovering  bool
	recoverAt   time.Time
	reconcileAt time.Time
	chart       *chart.Chart
	workerChart *chart.Chart
	jobs        map[string]*entry
	open        []*entry // in order of submission
	onWorker    map[string]map[*entry]bool
	unsaved     map[string]*entry
	ended       []string
	byKey       map[accountKey]*entry
	workers     map[string]*workerState
	runs        estimate.Source
	health      *quarantine.Tracker
	config      *config.Snapshot
	recorder    *decision.Recorder
	workerLease time.Duration
	maxJobs     int
	actions     []action
	// touched says that something a plan depends on has changed since the last
	// one, which was made at plannedAt.
	touched   bool
	plannedAt time.Time
	// kept are the regions that the last plan keeps for claims.
	kept []placement.Kept
}

// newCore completes a core with its charts and empty memory.
func newCore(c core) *core {
	c.chart, c.workerChart = chart.MustLoad("gang"), chart.MustLoad("worker")
	c.workers = make(map[string]*workerState)
	c.clear()
	return &c
}

func (c *core) do(a action) { c.actions = append(c.actions, a) }

func (c *core) takeActions() []action {
	taken := c.actions
	c.actions = nil
	return taken
}

// step moves e by an event of the chart. It returns false if the chart ignores
// the event in the present state.
func (c *core) step(e *entry, ev chart.Event, reason string, now time.Time) bool {
	next, err := c.chart.Next(e.state, ev)
	if err != nil {
		c.decide(now, e, "fault", string(ev), err.Error(), "")
		return false
	}
	if next == e.state {
		return false
	}
	c.decide(now, e, "gang", string(next), reason, "")
	e.state = next
	showTransition(e, next, now)
	c.touched = true
	if c.chart.Final(next) {
		c.end(e, reason, now)
	}
	return true
}

func (c *core) decide(now time.Time, e *entry, step, choice, reason, second string) {
	c.recorder.Record(api.Decision{
		At: now, Step: step, Subject: e.record.ID, Account: e.record.Submission.Account,
		Rule: e.record.Rule, Choice: choice, Reason: reason, SecondBest: second,
	})
}

// end records the final outcome of e and sees to it that it is written.
func (c *core) end(e *entry, reason string, now time.Time) {
	e.record.Phase = jobstore.PhaseEnded
	e.record.EndedAt = now
	e.record.State = string(e.state)
	e.record.Message = reason
	e.record.Outcome, e.record.ErrorKind = finalOutcome(e)
	showOutcome(e.record.Outcome, e.record.ErrorKind)
	c.markUnsaved(e)
	c.closeJob(e)
	c.health.JobEnded(e.record.ID)
	c.ended = append(c.ended, e.record.ID)
	c.forgetOldest()
}

// finalOutcome maps an end of the chart to the outcome that the caller gets.
func finalOutcome(e *entry) (api.Outcome, api.Kind) {
	switch e.state {
	case stDone:
		return api.OutcomeDone, ""
	case stFailed:
		return api.OutcomeDone, api.KindJobFailed
	case stUnknown:
		return api.OutcomeUnknown, api.KindResultUnknown
	case stCancelled:
		return notRunUnlessRan(e), api.KindCancelled
	default:
		return notRunUnlessRan(e), e.refusal
	}
}

// notRunUnlessRan keeps not_run truthful: a job of which an earlier attempt may
// have run ends as unknown.
func notRunUnlessRan(e *entry) api.Outcome {
	if e.ranEver || e.mayRun {
		return api.OutcomeUnknown
	}
	return api.OutcomeNotRun
}

// forgetOldest bounds the ended jobs in memory; their rows stay in the store.
func (c *core) forgetOldest() {
	for len(c.ended) > keepEnded {
		id := c.ended[0]
		e := c.jobs[id]
		if e != nil && (e.dirty || e.writing) {
			return
		}
		c.ended = c.ended[1:]
		delete(c.jobs, id)
		if e != nil && c.byKey[keyOf(e.record.Submission)] == e {
			delete(c.byKey, keyOf(e.record.Submission))
		}
	}
}

func (c *core) addWaiting(record jobstore.Record) *entry {
	// Records read from the store have no monotonic time; the order of the open
	// jobs must compare all of them alike.
	record.SubmittedAt = record.SubmittedAt.Round(0)
	e := &entry{record: record, state: c.chart.Initial, reports: make(map[string]seenReport), waiters: make(map[chan struct{}]bool)}
	c.openJob(e)
	if record.Submission.IdempotencyKey != "" {
		c.byKey[keyOf(record.Submission)] = e
	}
	c.touched = true
	return e
}

// stepDown forgets everything: another instance holds the lease, or may.
func (c *core) stepDown() {
	c.held, c.recovered, c.recovering, c.mayPlace = false, false, false, false
	for _, e := range c.open {
		e.wakeWaiters()
	}
	c.clear()
}

// settled says whether callers may be told the final outcome of an ended job.
// That it did not run is said only once its row says so: until then, the next
// placer would find the job accepted and run it. Other outcomes wait for the row
// too, unless the store is out.
func (c *core) settled(e *entry) bool {
	if !c.chart.Final(e.state) {
		return false
	}
	durable := !e.dirty && !e.writing
	return durable || (!c.platform && e.record.Outcome != api.OutcomeNotRun)
}

func (e *entry) wakeWaiters() {
	for ended := range e.waiters {
		close(ended)
	}
	clear(e.waiters)
}

// clear empties the memory of jobs.
func (c *core) clear() {
	c.jobs = make(map[string]*entry)
	c.open, c.ended = nil, nil
	c.onWorker = make(map[string]map[*entry]bool)
	c.unsaved = make(map[string]*entry)
	c.byKey = make(map[accountKey]*entry)
}

func (c *core) apply(ev event, now time.Time) { ev.apply(c, now) }

// current returns the entry whose present attempt ref names.
func (c *core) current(ref api.GangRef) (*entry, bool) {
	e, ok := c.jobs[ref.Gang]
	if !ok || e.ref != ref {
		return nil, false
	}
	return e, true
}

func describe(shape api.Shape) string {
	text := fmt.Sprintf("%d x %d accelerators", shape.Tasks, shape.AcceleratorsPerTask)
	if shape.SameRack {
		return text + " in one rack"
	}
	return text
}
