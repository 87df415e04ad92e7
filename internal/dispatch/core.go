package dispatch

import (
	"time"

	"github.com/corianderbank/corianderbank/internal/knowledge"
	"github.com/corianderbank/corianderbank/internal/soundness"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// ActionKind is the type of an Action.
type ActionKind int

// The kinds of action.
const (
	ActStart ActionKind = iota
	ActStop
	ActPoll
	// ActAskAdvisor sends a request to the placement advisor.
	ActAskAdvisor
	// ActReason is only logged: the reason why a step waits.
	ActReason
	// ActJobAbandoned is only logged: a job failed permanently, and why.
	ActJobAbandoned
	// ActWorkerSoundness is only logged: a worker was closed to all but probes, or opened again.
	ActWorkerSoundness
	// ActLost is only logged: a run ended because its worker was lost.
	ActLost
	// ActTrial is only logged: a step tries doubted workers, or its trial has ended.
	ActTrial
	// ActUnknownEnd is only logged: a run ended whose job is not known.
	ActUnknownEnd
)

// Action is an operation for the driver to perform. Its answer is passed back as an event.
type Action struct {
	Kind          ActionKind
	Order         workload.Order
	Poll          workload.Poll
	AdviceRequest workload.AdviceRequest
	// Sequence is the event sequence at which a poll was sent. Its answer is reliable only for runs
	// whose last order had been answered by then.
	Sequence uint64
	// Quick polls are answered immediately and may be sent while a long poll is waiting.
	Quick bool
	// class selects the window that counts the poll, and sentAt is the time at which it was
	// sent.
	class  pollClass
	sentAt time.Time
	// Reason is logged with the action and states the deciding values.
	Reason string
	// WorkerSpeed is the observed speed of the worker of a start, relative to the usual one; zero
	// if it is not known or the workers count as equal.
	WorkerSpeed float64
	// Held is the free capacity beside the step of an ActReason, or nil if it was not looked at.
	Held *HeldCapacity
	// First is set on one start of each job and states how long the job waited for it.
	First *FirstStart
	// Lost describes how a run was lost.
	Lost *LostRun
	// State is the new state of the worker of an ActWorkerSoundness, or of an ActTrial.
	State string
	// Number is the number of the completion of an ActUnknownEnd.
	Number int64
	// FailureCause is the cause of an ActJobAbandoned.
	FailureCause FailureCause
}

// LostRun describes a run that ended because its worker was lost.
type LostRun struct {
	Cause LossCause
	// Ran is the time since the run started, or since this epoch adopted it.
	Ran time.Duration
	// Observed is the time, on the worker's clock, for which the worker has reported the run.
	Observed time.Duration
	// Unheard is the time since the worker's last answer.
	Unheard time.Duration
	// OthersLost is the number of other runs that were lost with it.
	OthersLost int
}

// FailureCause states why a job failed permanently.
type FailureCause string

// The causes of a permanent failure.
const (
	// FailureAttempts means that the allowed attempts of a task or gang ended in failure.
	FailureAttempts FailureCause = "attempts"
	// FailureCrashes means that a task crashed its workers.
	FailureCrashes FailureCause = "crashes"
)

// LossCause states how a leader learned that the runs on a worker are over.
type LossCause string

// The causes of a loss.
const (
	// LossReplaced means that another incarnation of the worker answered.
	LossReplaced LossCause = "replaced"
	// LossUnresponsive means that the worker did not respond for longer than any lease: it may
	// have crashed, or have continued behind a network partition.
	LossUnresponsive LossCause = "silent"
)

// FirstStart describes the first start of a job.
type FirstStart struct {
	// Guaranteed reports whether the job lies within its client account's guarantee.
	Guaranteed bool
	Priority   int
	// Waited is the time since the job was accepted or its occurrence became due.
	Waited time.Duration
}

// Core is the leader's state of all work in a deployment. It is not safe for concurrent use.
type Core struct {
	bounds   workload.Bounds
	tuning   Tuning
	policies policies
	epoch    int64
	attempts int64
	config   *workload.Configuration
	jobs     map[string]*job
	// queue holds the jobs that are not final, in the order of acceptance.
	queue   []*job
	workers map[string]*worker
	// fleet holds the same workers sorted by id, so that the same events lead to the same
	// actions in the same order.
	fleet []*worker
	// pendingRemovals lists removed workers that are still in the stored table.
	pendingRemovals []string
	// sequence counts events and orders them.
	sequence uint64
	// earlierOrdersUntil is the time until which an earlier epoch may have given orders.
	earlierOrdersUntil time.Time
	// earlierJobsKnown is set once every job that an earlier epoch may have started is known.
	earlierJobsKnown bool
	// definitelyStoppedAt is the time after which nothing that an earlier epoch started can run
	// on a worker that has not answered yet.
	definitelyStoppedAt time.Time
	// jobsRead is set once the jobs of the first read of the table were added.
	jobsRead bool
	// trustStartIntents is set if earlier epochs stored start intents, storeStartIntents if
	// this one does.
	trustStartIntents, storeStartIntents bool
	// writeLimits are the bounds of the writes that store records; zero means none.
	writeLimits workload.WriteLimits
	unsynced    unsyncedWorkers
	// unsyncedWaitEnded is set once no worker is waited for any more.
	unsyncedWaitEnded bool
	// machineCrashes holds the recent crashes of workers by address.
	machineCrashes map[string][]machineCrash
	// unsettledCrashes are the lost runs of workers that crashed within the last outageWindow.
	unsettledCrashes []lostAttempt
	// lostUnsynced is set once a worker was lost on which an earlier epoch may have started
	// work that this epoch never saw.
	lostUnsynced bool
	// hasDeferred is set once a worker has had deferred completions.
	hasDeferred bool
	dirty       map[string]*job
	// suspects holds the racks and zones with unresponsive workers and the time of the last
	// suspicion.
	suspects map[domain]time.Time
	// pendingStarts are the runs whose start is unanswered, in the order of their starts.
	pendingStarts []*run
	resends       resendBudget
	fenced        bool
	// pollWindow and startWindow limit the number of concurrent calls to workers.
	pollWindow   pollWindow
	startWindow  window
	responseTime responseTime
	// drained holds the availability zones that operators have drained.
	drained map[string]bool
	// startsHeld is set while nothing may start.
	startsHeld bool
	// urgentUsage is the average number of accelerators recently used by work of the highest
	// priority, by pool, as of urgentUsageAt.
	urgentUsage   map[string]float64
	urgentUsageAt time.Time
	// demand holds the forecasts of the demand of urgent work, by pool.
	demand map[string]*demandForecast
	// lightLoadSince holds the pools that are less than half in use and the time at which that was
	// first observed.
	lightLoadSince map[string]time.Time
	// restarting are the steps whose gang is ending and will restart in the capacity that it
	// claims.
	restarting []*step
	// trials are the attempts on doubted workers, by pool.
	trials map[string]*trials
	// trialCandidates are the steps of this round that stand and fit on no sound workers.
	trialCandidates []*pendingStep
	// longestStands holds, by pool, the longest time for which a step of the last round has stood.
	longestStands map[string]time.Duration
	// freeByNeed caches the free capacity of this round, as a number of tasks by their need.
	freeByNeed map[need]freeSlots
	// infeasible records the demands that found no capacity in this round.
	infeasible infeasible
	// upcomingReleases caches the expected releases of this round by pool, pools holds the
	// capacities of this round by pool, and reservationSearches counts the searches for
	// reservations.
	upcomingReleases    map[string][]release
	pools               map[string][]*workerCapacity
	reservationSearches int
	// gangPlans counts this round's searches for victims that share a gang.
	gangPlans int
	// waiting counts the steps that waited in the last round, by priority.
	waiting   map[int]int
	estimates estimates
	// provenPools holds the pools with a worker that is proven, or may be once its runs end.
	provenPools map[string]bool
	// soundness holds the evidence of failed runs against workers.
	soundness *soundness.Tracker
	speeds    speeds
	// inheritedSpeeds holds the speeds that earlier leaders observed of workers that are not
	// listed yet.
	inheritedSpeeds map[string]knowledge.Speed
	// advisorCalls counts the requests to the advisor in flight.
	advisorCalls int
	// watching is set while polls must not extend leases.
	watching bool
	actions  []Action
	now      time.Time
	wallMS   int64
}

// New returns the core of an epoch that starts now. earlier is the time until which a previous
// leader may have given orders; it may be later than now, and is zero if there was no previous
// leader.
func New(bounds workload.Bounds, epoch int64, now, earlierOrdersUntil time.Time) *Core {
	c := &Core{
		bounds:         bounds,
		policies:       newPolicies(nil),
		epoch:          epoch,
		jobs:           make(map[string]*job),
		workers:        make(map[string]*worker),
		dirty:          make(map[string]*job),
		estimates:      newEstimates(),
		provenPools:    make(map[string]bool),
		soundness:      soundness.NewTracker(),
		speeds:         speeds{speedPrior: speedPrior{variance: initialSpeedVariance}, fastest: 1},
		now:            now,
		urgentUsage:    make(map[string]float64),
		lightLoadSince: make(map[string]time.Time),
		demand:         make(map[string]*demandForecast),
		trials:         make(map[string]*trials),
		longestStands:  make(map[string]time.Duration),
		waiting:        make(map[int]int),
		urgentUsageAt:  now,
		suspects:       make(map[domain]time.Time),
		machineCrashes: make(map[string][]machineCrash),
		resends:        maxResends,
		pollWindow:     newPollWindow(),
		startWindow:    newWindow(),
	}
	c.earlierJobsKnown = earlierOrdersUntil.IsZero()
	if !earlierOrdersUntil.IsZero() {
		c.earlierOrdersUntil = earlierOrdersUntil
		c.definitelyStoppedAt = earlierOrdersUntil.Add(maxElapsed(bounds.MaxLease) + bounds.MaxStopTime)
	}
	return c
}

// EarlierJobsKnown records that every job that an earlier epoch may have started was added, unless
// its row was removed. Jobs that are added later are new. It has no effect while an earlier epoch
// may still give orders.
func (c *Core) EarlierJobsKnown(now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	if c.earlierJobsKnown || now.Before(c.earlierOrdersUntil) {
		return
	}
	c.earlierJobsKnown = true
	c.dropDeferred()
}

// Fenced reports whether a worker has seen a higher epoch, which means that another instance
// holds the lease.
func (c *Core) Fenced() bool { return c.fenced }

// configVersion returns the version of the configuration in force, or zero if there is none.
func (c *Core) configVersion() int64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// tick starts a new event: it sets the current time and increments the event sequence.
func (c *Core) tick(now time.Time, wallMS int64) {
	c.now, c.wallMS = now, wallMS
	c.sequence++
}

// Decide returns the actions to perform now. Call it after events, and at least every tenth of
// a second.
func (c *Core) Decide(now time.Time, wallMS int64) []Action {
	c.tick(now, wallMS)
	c.expireLeases()
	c.spreadSuspicion()
	c.resendStarts()
	c.interruptPartialGangs()
	c.dropFinished()
	c.learnSpeeds()
	if c.config != nil && !c.startsHeld {
		c.place()
	}
	c.resendStops()
	c.evacuate()
	c.sendPolls()
	actions := c.actions
	c.actions = nil
	return actions
}

// Watch returns polls that extend no lease, for a leader whose own lease expired: it must not
// make decisions but may receive completions.
func (c *Core) Watch(now time.Time, wallMS int64) []Action {
	c.tick(now, wallMS)
	deferred := c.actions // actions from events stay queued until the leader's lease is back
	c.actions, c.watching = nil, true
	c.sendPolls()
	polls := c.actions
	c.actions, c.watching = deferred, false
	return polls
}

// dropFinished removes final jobs without runs from the queue.
func (c *Core) dropFinished() {
	kept := c.queue[:0]
	for _, j := range c.queue {
		if j.record.Final == "" || j.runs > 0 {
			kept = append(kept, j)
			continue
		}
		c.forgetEnds(j)
		j.steps = nil
	}
	clear(c.queue[len(kept):])
	c.queue = kept
}
