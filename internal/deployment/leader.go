package deployment

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alitto/pond/v2"
	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/knowledge"
)

const (
	// eventCapacity bounds the queued events: a burst of answers from every worker at
	// once. Senders block while the queue is full.
	eventCapacity = 4096
	// maxRoundInterval is the longest time between two rounds.
	maxRoundInterval = 50 * time.Millisecond
	// minRoundInterval is the shortest time between two rounds. With a round for each
	// event, a burst takes processor time from renewals and answers.
	minRoundInterval = 15 * time.Millisecond
	// roundRestFactor is the multiple of the duration of a round for which the loop
	// rests after it, up to maxRoundRest. Without the rest, rounds take all available
	// processor time on a large deployment, and polls that extend leases are late.
	roundRestFactor = 3
	maxRoundRest    = 100 * time.Millisecond
	// leaderGCPercent is the heap growth between two garbage collections while this
	// instance leads. A leader allocates with each poll and round; at the default
	// setting collections take more processor time than deciding does.
	leaderGCPercent = 300
	// maxOrders bounds the orders in flight.
	maxOrders = 1024
	// maxPolls bounds the polls in flight; each worker has one that waits and at times
	// a quick one. Polls and orders have separate pools, since a start that queues
	// behind the polls of thousands of workers is seconds late.
	maxPolls = 16_384
)

// event changes the core. The loop runs events one after the other.
type event func(core *dispatch.Core, now time.Time, wallMS int64)

// leader runs the loop of one held lease: it feeds the core, executes its actions and
// stores its records.
type leader struct {
	instance *Instance
	grant    *grant
	core     *dispatch.Core
	events   chan event
	// takesJobs is set before the first read of the jobs: changes that came earlier are part of it.
	takesJobs atomic.Bool
	orders    pond.Pool
	polls     pond.Pool
	logger    *zap.Logger
	// writing is set while a write of records is in flight.
	writing bool
	// itemLimit bounds the items of the next write.
	itemLimit itemLimit
	// recordVersions holds the versions of record and worker rows; only the write in
	// flight uses it.
	recordVersions map[string]int64
	// announced holds the jobs whose completion was announced before it was stored.
	announced map[string]bool
	// expiredRemovedAt is the time at which removeExpired last looked for expired jobs.
	expiredRemovedAt time.Time
	// unsyncedLoggedAt is the time at which the workers that are waited for were last
	// logged.
	unsyncedLoggedAt time.Time
	// priorities holds the priorities for which steps have waited.
	priorities map[int]bool
	// unreadableReports holds the workers for which unreadable rows in a report were
	// logged.
	unreadableReports unreadableRows
	// intents decides whether a start intent is stored before the first start of a job.
	intents *intentMode
	// learned decides which knowledge is stored for the next leader; nil if none is.
	learned *knowledge.Tracker
	// intentWrites holds the jobs whose start intent is being written apart from their record.
	intentWrites map[string]bool
	// fences holds, by part, the fences as this leader has read them.
	fences map[string]fence
	// earlierJobsKnown is set once the core is told that it knows the jobs of earlier leaders.
	earlierJobsKnown atomic.Bool
	// startsHeld is set while nothing starts because the copy of the drained zones is
	// too old.
	startsHeld bool
	// synced is set while no worker is waited for; the lease reads it.
	synced atomic.Bool
	// quiescing is set once the leader makes no more decisions; inFlight counts the
	// unanswered orders and writes.
	quiescing atomic.Bool
	// closedPools are the pools that have had closed workers.
	closedPools map[string]bool
	// standPools are the pools that have had standing steps.
	standPools map[string]bool
	inFlight   atomic.Int64
	ctx        context.Context
}

// lead schedules until the context ends or the lease is over.
func (i *Instance) lead(ctx context.Context, g *grant) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := newLeader(ctx, i, g)
	defer c.stopPools()
	defer debug.SetGCPercent(debug.SetGCPercent(leaderGCPercent))
	// Events are accepted before the table is read: those that arrive meanwhile wait in
	// the queue, and adding a job twice has no effect.
	i.leader.Store(c)
	defer i.leader.Store(nil)
	i.replica.pin()
	defer i.replica.unpin()
	version, ok := c.load()
	if !ok {
		return
	}
	following := make(chan struct{})
	go func() {
		defer close(following)
		c.followWorkers(ctx, version)
	}()
	c.run()
	cancel()
	<-following
}

func newLeader(ctx context.Context, i *Instance, g *grant) *leader {
	return &leader{
		instance:       i,
		grant:          g,
		events:         make(chan event, eventCapacity),
		ctx:            ctx,
		orders:         pond.NewPool(maxOrders),
		polls:          pond.NewPool(maxPolls),
		logger:         i.logger.Named("leader"),
		itemLimit:      newItemLimit(),
		recordVersions: make(map[string]int64),
		announced:      make(map[string]bool),
		intentWrites:   make(map[string]bool),
		priorities:     make(map[int]bool),
		closedPools:    make(map[string]bool),
		standPools:     make(map[string]bool),
	}
}

func (c *leader) stopPools() {
	c.orders.Stop()
	c.polls.Stop()
}

// post queues an event for the loop. It blocks while the queue is full, and drops the
// event once the lease is over.
func (c *leader) post(e event) {
	select {
	case c.events <- e:
	case <-c.ctx.Done():
	}
}

func (c *leader) run() {
	next := time.NewTimer(0)
	defer next.Stop()
	var last roundTiming
	for {
		select {
		case e := <-c.events:
			c.apply(e)
			c.applyQueued()
			next.Reset(c.delayUntilRound(last, time.Now()))
			continue
		case <-next.C:
		case <-c.ctx.Done():
			return
		}
		last = roundTiming{startedAt: time.Now()}
		next.Reset(maxRoundInterval)
		if c.endIfReplaced(); c.grant.ended() {
			return
		}
		if c.quiescing.Load() {
			continue
		}
		if !c.grant.valid() {
			c.watchWorkers() // no decisions until the lease is renewed
			continue
		}
		c.runRound()
		last.duration = time.Since(last.startedAt)
		next.Reset(max(maxRoundInterval, last.duration+last.rest()))
		if c.core.Fenced() {
			c.logger.Warn("a worker has seen a higher epoch", zap.Int64("epoch", c.grant.epoch))
			c.grant.end()
			return
		}
	}
}

// roundTiming is the start and the duration of a round.
type roundTiming struct {
	startedAt time.Time
	duration  time.Duration
}

// rest returns how long the loop rests after the round.
func (r roundTiming) rest() time.Duration { return min(roundRestFactor*r.duration, maxRoundRest) }

// delayUntilRound returns how long an event waits for the next round. A single event
// does not wait; many events that arrive together share a round.
func delayUntilRound(last roundTiming, now time.Time) time.Duration {
	return max(max(minRoundInterval, last.duration+last.rest())-now.Sub(last.startedAt), 0)
}

func (c *leader) delayUntilRound(last roundTiming, now time.Time) time.Duration {
	if !c.instance.settings.Tuning.enabled(mechRoundGap) {
		return 0
	}
	return delayUntilRound(last, now)
}

// apply applies an event, unless this leader was replaced: what it learns then may be the work of its
// successor, such as a start intent, which must not pass for its own.
func (c *leader) apply(e event) {
	if c.endIfReplaced(); !c.grant.ended() {
		e(c.core, bootTime(), time.Now().UnixMilli())
	}
}

// endIfReplaced ends the grant once this instance's copy of the table has a later epoch.
func (c *leader) endIfReplaced() {
	r, g := c.instance.replica, c.grant
	seen := r.seenLeader().Epoch
	if g.ended() || seen <= g.epoch && r.version(epochKey) <= g.epochVersion {
		return
	}
	c.logger.Warn("the table has a higher epoch", zap.Int64("epoch", g.epoch), zap.Int64("higher_epoch", seen))
	c.grant.end()
}

// applyQueued applies all queued events, so that one round handles them.
func (c *leader) applyQueued() {
	for range eventCapacity {
		select {
		case e := <-c.events:
			c.apply(e)
		default:
			return
		}
	}
}

// watchWorkers polls the workers without deciding or extending anything, and announces
// completions, which remain true under any leader.
func (c *leader) watchWorkers() {
	for _, action := range c.core.Watch(bootTime(), time.Now().UnixMilli()) {
		c.execute(action)
	}
	c.announceCompletions()
}

// runRound runs one round: it decides, executes the actions, and stores records.
func (c *leader) runRound() {
	started := bootTime()
	c.holdStarts(started)
	c.intents.update(started)
	for _, action := range c.core.Decide(started, time.Now().UnixMilli()) {
		c.execute(action)
	}
	took := bootTime().Sub(started)
	metricRound.Update(took.Seconds())
	if took > slowRoundThreshold {
		c.logger.Warn("slow round", zap.Duration("took", took), zap.Int64("epoch", c.grant.epoch))
	}
	c.updateWaitingGauges()
	c.updateClosedGauges()
	c.updateStandGauges()
	c.logUnsynced(started)
	c.write()
	c.writeOwedIntents()
	c.announceCompletions()
	c.removeExpired()
	c.instance.replica.setStarted(c.grant.epoch, c.core.StartedJobs())
	c.synced.Store(c.core.Synced())
}

// holdStarts keeps the core from starting work while this instance's knowledge of
// drained zones is too old, and logs each change.
func (c *leader) holdStarts(now time.Time) {
	hold := !c.instance.drainsCurrent(now)
	if hold != c.startsHeld {
		c.startsHeld = hold
		c.logger.Warn("starts held", zap.Bool("held", hold), zap.Int64("epoch", c.grant.epoch),
			zap.Duration("operators_table_age", c.instance.drains.age(now)))
	}
	c.core.HoldStarts(hold)
}

const (
	// quiesceTimeout bounds how long a leader that gives up the lease waits for its
	// orders: the next leader would interrupt a gang that was only partly started.
	// Workers answer within milliseconds, and a planned stop has seconds.
	quiesceTimeout      = 400 * time.Millisecond
	quiescePollInterval = 5 * time.Millisecond
)

// quiesce stops deciding and waits for the orders and writes in flight.
func (c *leader) quiesce() {
	c.quiescing.Store(true)
	ctx, cancel := context.WithTimeout(c.ctx, quiesceTimeout)
	defer cancel()
	pause(ctx, quiescePollInterval) // a round may be running
	for ctx.Err() == nil && c.inFlight.Load() > 0 {
		pause(ctx, quiescePollInterval)
	}
}

// unsyncedLogInterval is the interval at which the workers that a new leader waits for
// are logged.
const unsyncedLogInterval = time.Second

// logUnsynced logs how many workers must answer before work of an earlier epoch can
// continue, and the first of them.
func (c *leader) logUnsynced(now time.Time) {
	if now.Sub(c.unsyncedLoggedAt) < unsyncedLogInterval {
		return
	}
	if unsynced := c.core.Unsynced(); len(unsynced) > 0 {
		c.unsyncedLoggedAt = now
		c.logger.Info("waiting for workers", zap.Int64("epoch", c.grant.epoch), zap.Int("count", len(unsynced)), zap.String("first", unsynced[0]))
	}
}

// recordFirstStart updates the histogram of the time that jobs wait for their first
// start.
func recordFirstStart(first *dispatch.FirstStart) {
	if first == nil {
		return
	}
	name := fmt.Sprintf(`corianderbank_deployment_first_start_seconds{priority="%d",guaranteed="%t"}`, first.Priority, first.Guaranteed)
	metrics.GetOrCreateHistogram(name).Update(first.Waited.Seconds())
}

// updateWaitingGauges updates the number of waiting steps by priority; priorities
// without waiting steps go to zero.
func (c *leader) updateWaitingGauges() {
	waiting := c.core.Waiting()
	for priority := range waiting {
		c.priorities[priority] = true
	}
	for priority := range c.priorities {
		metrics.GetOrCreateGauge(fmt.Sprintf(`corianderbank_deployment_waiting_steps{priority="%d"}`, priority), nil).Set(float64(waiting[priority]))
	}
}

// updateStandGauges updates, by pool, the longest time for which a step has stood beside free
// capacity; pools without such steps go to zero.
func (c *leader) updateStandGauges() {
	longest := c.core.LongestStands()
	for pool := range longest {
		c.standPools[pool] = true
	}
	for pool := range c.standPools {
		metrics.GetOrCreateGauge(fmt.Sprintf(`corianderbank_deployment_longest_stand_seconds{pool=%q}`, pool), nil).Set(longest[pool].Seconds())
	}
}

// updateClosedGauges updates the number of workers that are closed to all but probes, by pool.
func (c *leader) updateClosedGauges() {
	closed := c.core.ClosedWorkers()
	for pool := range closed {
		c.closedPools[pool] = true
	}
	for pool := range c.closedPools {
		metrics.GetOrCreateGauge(fmt.Sprintf(`corianderbank_deployment_closed_workers{pool=%q}`, pool), nil).Set(float64(closed[pool]))
	}
}

// slowRoundThreshold is the duration above which a round is logged as slow: a fifth of
// the time between two renewals, which compete with rounds for the processor.
const slowRoundThreshold = renewInterval / 5

var metricRound = metrics.NewHistogram("corianderbank_deployment_round_seconds")
