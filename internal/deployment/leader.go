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
)

const (
	// eventCapacity bounds the events that wait for the loop: a burst of answers
	// from every worker at once. A sender waits when it is full.
	eventCapacity = 4096
	// roundEvery is the longest time between two decisions.
	roundEvery = 50 * time.Millisecond
	// roundGap is the shortest: with a round for each event a burst takes the processor
	// from renewals and answers.
	roundGap = 15 * time.Millisecond
	// roundRest is how many times as long as a round took the loop rests after it, up to
	// roundRestMost. Without it rounds take what processor time there is on a large
	// deployment, and polls that extend leases come late.
	roundRest     = 3
	roundRestMost = 100 * time.Millisecond
	// leaderGCPercent is how much the heap grows between two collections while this
	// instance leads. A leader allocates with each poll and round: collecting as often as
	// the others takes more processor time than deciding.
	leaderGCPercent = 300
	// ordersAtOnce bounds the orders under way.
	ordersAtOnce = 1024
	// pollsAtOnce bounds the polls under way, of which each worker has a waiting one and
	// at times a quick one. They are apart from the orders: a start that waits behind
	// polls of thousands of workers comes seconds late.
	pollsAtOnce = 16_384
)

// event changes the core; the loop runs them one after the other.
type event func(core *dispatch.Core, now time.Time, wallMS int64)

// leader is the loop of one held lease: it feeds the core, carries out what
// the core decides, and stores its records.
type leader struct {
	instance *Instance
	grant    *grant
	core     *dispatch.Core
	events   chan event
	orders   pond.Pool
	polls    pond.Pool
	logger   *zap.Logger
	// writing says that records are on their way to the store.
	writing bool
	// recordVersions are the versions of the record rows.
	recordVersions map[string]int64
	// announced are the jobs whose end was announced before it was stored.
	announced   map[string]bool
	collectedAt time.Time
	// unsyncedAt is when a line last said which workers are waited for.
	unsyncedAt time.Time
	// priorities are those of which steps have waited.
	priorities map[int]bool
	// unreadSights are the workers of which a line said that what they list cannot be
	// read.
	unreadSights unreadRows
	// begins says whether the begin of a job is stored before its first start.
	begins *beginsMode
	// startsHeld says that nothing starts until it is known which zones are drained.
	startsHeld bool
	// synced says, for the lease, that no worker is waited for.
	synced atomic.Bool
	// a closing leader decides nothing any more; underWay counts the orders and
	// writes that are not answered.
	closing  atomic.Bool
	underWay atomic.Int64
	ctx      context.Context
}

// lead schedules until the context ends or the lease is over.
func (i *Instance) lead(ctx context.Context, g *grant) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := newLeader(ctx, i, g)
	defer c.stopPools()
	defer debug.SetGCPercent(debug.SetGCPercent(leaderGCPercent))
	// Events are taken from here on, before the table is read: what comes while
	// it is read waits in the ring, and adding a job twice changes nothing.
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
		orders:         pond.NewPool(ordersAtOnce),
		polls:          pond.NewPool(pollsAtOnce),
		logger:         i.logger.Named("leader"),
		recordVersions: make(map[string]int64),
		announced:      make(map[string]bool),
		priorities:     make(map[int]bool),
	}
}

func (c *leader) stopPools() {
	c.orders.Stop()
	c.polls.Stop()
}

// post hands an event to the loop; it waits while the ring is full, and gives
// up when the lease is over.
func (c *leader) post(e event) {
	select {
	case c.events <- e:
	case <-c.ctx.Done():
	}
}

func (c *leader) run() {
	next := time.NewTimer(0)
	defer next.Stop()
	var last pastRound
	for {
		select {
		case e := <-c.events:
			c.apply(e)
			c.drain()
			next.Reset(c.untilRound(last, time.Now()))
			continue
		case <-next.C:
		case <-c.ctx.Done():
			return
		}
		last = pastRound{at: time.Now()}
		next.Reset(roundEvery)
		if c.grant.ended() {
			return
		}
		if c.closing.Load() {
			continue
		}
		if !c.grant.valid() {
			c.watch() // nothing is decided until the lease is renewed
			continue
		}
		c.round()
		last.took = time.Since(last.at)
		next.Reset(max(roundEvery, last.took+last.rest()))
		if c.core.Fenced() {
			c.logger.Warn("a worker has seen a higher epoch", zap.Int64("epoch", c.grant.epoch))
			c.grant.end()
			return
		}
	}
}

// pastRound is when the last round began, and how long it took.
type pastRound struct {
	at   time.Time
	took time.Duration
}

// rest is how long no round comes after it.
func (r pastRound) rest() time.Duration { return min(roundRest*r.took, roundRestMost) }

// untilRound is how long an event waits for the next round: one that comes alone
// does not, and of many that come together one round answers all.
func untilRound(last pastRound, now time.Time) time.Duration {
	return max(max(roundGap, last.took+last.rest())-now.Sub(last.at), 0)
}

func (c *leader) untilRound(last pastRound, now time.Time) time.Duration {
	if !c.instance.settings.Tuning.has(mechRoundGap) {
		return 0
	}
	return untilRound(last, now)
}

func (c *leader) apply(e event) { e(c.core, bootTime(), time.Now().UnixMilli()) }

// drain takes what else waits, so that one round answers all of it.
func (c *leader) drain() {
	for range eventCapacity {
		select {
		case e := <-c.events:
			c.apply(e)
		default:
			return
		}
	}
}

// watch looks at the workers without deciding or extending anything, and announces
// what has ended: ends are true whoever schedules.
func (c *leader) watch() {
	for _, action := range c.core.Watch(bootTime(), time.Now().UnixMilli()) {
		c.carryOut(action)
	}
	c.announce()
}

// round decides and carries out.
func (c *leader) round() {
	started := bootTime()
	c.holdStarts(started)
	c.begins.update(started)
	for _, action := range c.core.Decide(started, time.Now().UnixMilli()) {
		c.carryOut(action)
	}
	took := bootTime().Sub(started)
	metricRound.Update(took.Seconds())
	if took > slowRound {
		c.logger.Warn("slow round", zap.Duration("took", took), zap.Int64("epoch", c.grant.epoch))
	}
	c.measureWaiting()
	c.logUnsynced(started)
	c.write()
	c.announce()
	c.collect()
	c.instance.replica.setBegan(c.grant.epoch, c.core.Began())
	c.synced.Store(c.core.Synced())
}

// holdStarts keeps the core from starting work while this instance has not heard for long
// which zones are drained, and says so once.
func (c *leader) holdStarts(now time.Time) {
	hold := !c.instance.drainsKnown(now)
	if hold != c.startsHeld {
		c.startsHeld = hold
		c.logger.Warn("starts held", zap.Bool("held", hold), zap.Int64("epoch", c.grant.epoch),
			zap.Duration("operators_table_age", c.instance.drains.age(now)))
	}
	c.core.HoldStarts(hold)
}

const (
	// finishWithin bounds how long a leader that gives the lease up lets its orders
	// end: a gang of which some members were started would be broken by the next one.
	// Workers answer within milliseconds; a planned stop has seconds.
	finishWithin = 400 * time.Millisecond
	finishPoll   = 5 * time.Millisecond
)

// finish decides nothing any more and waits for what is under way.
func (c *leader) finish() {
	c.closing.Store(true)
	ctx, cancel := context.WithTimeout(c.ctx, finishWithin)
	defer cancel()
	pause(ctx, finishPoll) // a round may be under way
	for ctx.Err() == nil && c.underWay.Load() > 0 {
		pause(ctx, finishPoll)
	}
}

// unsyncedEvery is how often a line says which workers a new leader waits for.
const unsyncedEvery = time.Second

// logUnsynced says which workers work of an earlier epoch waits for.
func (c *leader) logUnsynced(now time.Time) {
	if now.Sub(c.unsyncedAt) < unsyncedEvery {
		return
	}
	if unsynced := c.core.Unsynced(); len(unsynced) > 0 {
		c.unsyncedAt = now
		c.logger.Info("waiting for workers", zap.Int64("epoch", c.grant.epoch), zap.Int("count", len(unsynced)), zap.String("first", unsynced[0]))
	}
}

// measureStart keeps how long a job waited for its first start.
func measureStart(first *dispatch.FirstStart) {
	if first == nil {
		return
	}
	name := fmt.Sprintf(`corianderbank_deployment_first_start_seconds{priority="%d",guaranteed="%t"}`, first.Priority, first.Guaranteed)
	metrics.GetOrCreateHistogram(name).Update(first.Waited.Seconds())
}

// measureWaiting shows how many steps wait, by priority; those of which none waits
// any more go to zero.
func (c *leader) measureWaiting() {
	waiting := c.core.Waiting()
	for priority := range waiting {
		c.priorities[priority] = true
	}
	for priority := range c.priorities {
		metrics.GetOrCreateGauge(fmt.Sprintf(`corianderbank_deployment_waiting_steps{priority="%d"}`, priority), nil).Set(float64(waiting[priority]))
	}
}

// slowRound is what a round may take before a line says so: a fifth of the time
// between two renewals, which wait for the processor as well.
const slowRound = renewEvery / 5

var metricRound = metrics.NewHistogram("corianderbank_deployment_round_seconds")
