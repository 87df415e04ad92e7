package dispatch

import (
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// ActionKind says what an Action is.
type ActionKind int

// The kinds of action.
const (
	ActStart ActionKind = iota
	ActStop
	ActPoll
	// ActAsk asks the placement advisor.
	ActAsk
	// ActReason is for the log only: why a step waits.
	ActReason
	// ActGaveUp is for the log only: a job is given up, and why.
	ActGaveUp
	// ActLost is for the log only: a run is over because its worker was lost.
	ActLost
)

// Action is something for the driver to do. Its answer comes back as an event.
type Action struct {
	Kind  ActionKind
	Order workload.Order
	Poll  workload.Poll
	Ask   workload.Question
	// Sequence identifies a poll: what was ordered before it was sent.
	Sequence uint64
	// Quick looks run beside the waiting one.
	Quick bool
	// lane is the window that a poll counts in, sent when it was sent.
	lane pollLane
	sent time.Time
	// Reason, for the log: why this, and what decided it.
	Reason string
	// First, on one start of each job, says how long it waited for it.
	First *FirstStart
	// Lost says of a lost run how it was lost.
	Lost *LostRun
}

// LostRun is a run that is over because its worker was lost.
type LostRun struct {
	Cause LossCause
	// Ran is the time since its start, as far as this epoch knows.
	Ran time.Duration
	// Beside is the number of other runs that were lost with it.
	Beside int
}

// LossCause says how a leader knows that what ran on a worker is over.
type LossCause string

// The causes.
const (
	// LossReplaced means that another life of the worker answered.
	LossReplaced LossCause = "replaced"
	// LossSilent means that the worker was silent for longer than any lease: it may have
	// crashed, or run on behind a cut.
	LossSilent LossCause = "silent"
)

// FirstStart is the moment at which a job begins.
type FirstStart struct {
	// Guaranteed says that the job lies within its client account's guarantee.
	Guaranteed bool
	Priority   int
	// Waited is the time since the job was accepted, or its occurrence due.
	Waited time.Duration
}

// Core is the state of all work in a deployment, as the leader
// knows it. It is not safe for concurrent use.
type Core struct {
	bounds   workload.Bounds
	tuning   Tuning
	ways     ways
	epoch    int64
	attempts int64
	config   *workload.Configuration
	jobs     map[string]*job
	// queue holds the jobs that are not final, in the order of acceptance.
	queue   []*job
	workers map[string]*worker
	// fleet are the same workers in the order of their ids, so that the same events
	// lead to the same actions in the same order.
	fleet []*worker
	// gone are the workers that were forgotten and are still in the table.
	gone []string
	// sequence counts events; it tells which of two things came first.
	sequence uint64
	// earlier is until when an earlier epoch may have given orders.
	earlier time.Time
	// surelyQuiet is when nothing that an earlier epoch started can run on a
	// worker that has not answered yet.
	surelyQuiet time.Time
	// trustBegins says that an earlier epoch stored begins, storeBegins that this does.
	trustBegins, storeBegins bool
	unsynced                 unsyncedWorkers
	// waitEnded says that no worker is waited for any more.
	waitEnded bool
	// machineCrashes are the times that workers went down lately, by their addresses.
	machineCrashes map[string][]machineCrash
	// crashed are the runs whose worker went down just now.
	crashed []lapsedRun
	// lostUnseen says that a worker was lost on which an earlier epoch may have started
	// work that this one never saw.
	lostUnseen bool
	dirty      map[string]*job
	// suspicions are racks and zones of which somebody does not answer, by since when.
	suspects map[domain]time.Time
	// ordered are the runs whose start is not answered, in the order of their starts.
	ordered []*run
	repeats repeatBudget
	fenced  bool
	// pollWindow and startWindow bound what is under way to workers.
	pollWindow  pollWindow
	startWindow window
	answerTime  answerTime
	// drained are the availability zones that operators have drained.
	drained map[string]bool
	// startsHeld says that nothing may start for now.
	startsHeld bool
	// urgentUse is the average number of accelerators that work of the first
	// priority used lately, by pool, as of urgentAt.
	urgentUse map[string]float64
	urgentAt  time.Time
	// quietSince is since when a pool is less than half in use.
	quietSince map[string]time.Time
	// restarting are the steps whose gang is ending and will start again in a claim.
	restarting []*step
	// infeasible is what found no room in this round.
	infeasible infeasible
	// coming are the coming ends of this round, by pool; searches counts those for
	// reservations.
	coming   map[string][]release
	pools    map[string][]*room
	searches int
	// waiting counts the steps that waited in the last round, by priority.
	waiting   map[int]int
	estimates estimates
	// asking counts the questions to the advisor under way.
	asking int
	// watching looks extend no lease.
	watching bool
	actions  []Action
	now      time.Time
	wallMS   int64
}

// New returns the core of an epoch that begins now. earlier is until when a
// leader before may have given orders, which may even be later than now; zero if
// there was none.
func New(bounds workload.Bounds, epoch int64, now, earlier time.Time) *Core {
	c := &Core{
		bounds:         bounds,
		ways:           newWays(nil),
		epoch:          epoch,
		jobs:           make(map[string]*job),
		workers:        make(map[string]*worker),
		dirty:          make(map[string]*job),
		estimates:      newEstimates(),
		now:            now,
		urgentUse:      make(map[string]float64),
		quietSince:     make(map[string]time.Time),
		waiting:        make(map[int]int),
		urgentAt:       now,
		suspects:       make(map[domain]time.Time),
		machineCrashes: make(map[string][]machineCrash),
		repeats:        repeatsMost,
		pollWindow:     newPollWindow(),
		startWindow:    newWindow(),
	}
	if !earlier.IsZero() {
		c.earlier = earlier
		c.surelyQuiet = earlier.Add(slowest(bounds.LongestLease) + bounds.StopTime)
	}
	return c
}

// Fenced reports that a worker has seen a higher epoch: another holds the lease.
func (c *Core) Fenced() bool { return c.fenced }

// Configure puts a configuration in force.
func (c *Core) Configure(config *workload.Configuration) { c.config = config }

// tick sets the time of the event that follows.
func (c *Core) tick(now time.Time, wallMS int64) {
	c.now, c.wallMS = now, wallMS
	c.sequence++
}

// Decide returns what to do now. Call it after events, and at least every
// tenth of a second.
func (c *Core) Decide(now time.Time, wallMS int64) []Action {
	c.tick(now, wallMS)
	c.expireLeases()
	c.spreadSuspicion()
	c.repeatStarts()
	c.breakPartial()
	c.dropFinished()
	if c.config != nil && !c.startsHeld {
		c.place()
	}
	c.resendStops()
	c.evacuate()
	c.polls()
	actions := c.actions
	c.actions = nil
	return actions
}

// Watch returns polls that extend no lease, for a leader whose own lease ran out: it
// must not decide, but it may learn what has ended.
func (c *Core) Watch(now time.Time, wallMS int64) []Action {
	c.tick(now, wallMS)
	waiting := c.actions // what events led to waits for the lease
	c.actions, c.watching = nil, true
	c.polls()
	looks := c.actions
	c.actions, c.watching = waiting, false
	return looks
}

// dropFinished drops final jobs without runs from the queue.
func (c *Core) dropFinished() {
	kept := c.queue[:0]
	for _, j := range c.queue {
		if j.record.Final == "" || j.runs > 0 {
			kept = append(kept, j)
			continue
		}
		j.steps = nil
	}
	clear(c.queue[len(kept):])
	c.queue = kept
}
