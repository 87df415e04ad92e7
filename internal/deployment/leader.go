package deployment

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alitto/pond/v2"
	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
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
	// startsHeld says that nothing starts until it is known which zones are drained.
	startsHeld bool
	// calm says, for the lease, that no worker is waited for.
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

// followWorkers follows the list of workers from a version on.
func (c *leader) followWorkers(ctx context.Context, version int64) {
	list := &follower{
		store:   c.instance.store,
		source:  workload.SourceWorkers,
		logger:  c.instance.logger,
		whole:   c.instance.workers.reload,
		changes: c.instance.workers.apply,
		gap:     func() time.Duration { return workersGap },
	}
	list.follow(ctx, version)
	list.run(ctx)
}

// load fills the core with what the store has, and returns the version of the list of
// workers; false if the lease is over first. The read comes after the lease was taken,
// so nothing that an earlier leader wrote is missing.
func (c *leader) load() (int64, bool) {
	for c.ctx.Err() == nil {
		rows, version, err := readTable(c.ctx, c.instance.store, workload.SourceOwn)
		if err != nil {
			c.logger.Warn("reading the table failed", zap.Error(err))
			pause(c.ctx, followPause)
			continue
		}
		c.instance.replica.reload(rows, version)
		operators := c.readOperators()
		workers, listed, err := readTable(c.ctx, c.instance.store, workload.SourceWorkers)
		if err != nil {
			c.logger.Warn("reading the workers failed", zap.Error(err))
			pause(c.ctx, followPause)
			continue
		}
		c.instance.workers.reload(workers, 0)
		if err := <-operators; err != nil {
			c.logger.Warn("reading the operators' table failed", zap.Error(err))
			pause(c.ctx, followPause)
			continue
		}
		c.fill()
		return listed, true
	}
	return 0, false
}

// readOperators reads the operators' table beside the other reads: a leader must know
// which zones are drained before its first start.
func (c *leader) readOperators() <-chan error {
	done := make(chan error, 1)
	go func() { done <- c.instance.readOperatorTable(c.ctx) }()
	return done
}

func (c *leader) fill() {
	now, wallMS := bootTime(), time.Now().UnixMilli()
	c.core = dispatch.New(c.instance.live.Load().bounds(), c.grant.epoch, now, c.earlier(now))
	c.core.Tune(c.instance.settings.Tuning.ofCore())
	c.core.Configure(c.instance.configuration.Load())
	c.core.Drain(c.instance.drains.list(), now, wallMS)
	// Workers that are noted but not listed may run on behind a cut that this
	// instance did not live through. Others that the list lost run nothing: nobody gets
	// work before it is noted, and it is noted until nothing can run there.
	noted := c.instance.replica.storedWorkers()
	c.core.Listed(noted, now, wallMS)
	c.core.Listed(c.instance.listedWorkers(), now, wallMS)
	c.core.Stored(noted)
	jobs := c.instance.replica.snapshot()
	for _, known := range jobs {
		c.core.AddJob(known.job, known.record, known.cancelled, now, wallMS)
		if known.announced {
			c.core.MarkDirty(known.job.ID)
		}
	}
	c.logger.Info("leading", zap.Int64("epoch", c.grant.epoch), zap.Int("jobs", len(jobs)), zap.Int("workers_stored", len(noted)))
}

// earlier is until when a leader before this one may have given orders.
func (c *leader) earlier(now time.Time) time.Time {
	if !c.grant.earlier {
		return time.Time{}
	}
	if c.grant.overlap.After(now) {
		return c.grant.overlap
	}
	return now
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

func (c *leader) carryOut(action dispatch.Action) {
	switch action.Kind {
	case dispatch.ActStart:
		c.logOrder("start", action, zap.Bool("resumes", action.Order.Checkpoint != ""))
		measureStart(action.First)
		c.underWay.Add(1)
		c.orders.Submit(func() { c.give("start", action, c.instance.workerReach.Start, (*dispatch.Core).StartAnswered) })
	case dispatch.ActStop:
		c.logOrder("stop", action)
		c.underWay.Add(1)
		c.orders.Submit(func() { c.give("stop", action, c.instance.workerReach.Stop, (*dispatch.Core).StopAnswered) })
	case dispatch.ActPoll:
		c.polls.Submit(func() { c.poll(action) })
	case dispatch.ActReason:
		c.logger.Info("wait", append(taskFields(action.Order.Task), zap.Int64("epoch", action.Order.Epoch), zap.String("reason", action.Reason))...)
	case dispatch.ActAsk:
		c.orders.Submit(func() { c.ask(action.Ask) })
	}
}

// ask puts a question to the placement advisor.
func (c *leader) ask(question workload.Question) {
	ctx, cancel := context.WithTimeout(c.ctx, question.Within)
	defer cancel()
	counsel := workload.Counsel{Err: errNoAdvisor}
	if advisor := c.instance.options.Advisor; advisor != nil {
		counsel = advisor.Advise(ctx, question)
	}
	c.logger.Info("advice", zap.String("job", question.Step.Job), zap.Int("occurrence", question.Step.Occurrence),
		zap.Int("step", question.Step.Step), zap.Int("asked", len(question.Workers)), zap.Int("allowed", len(counsel.Allowed)), zap.Error(counsel.Err))
	c.post(func(core *dispatch.Core, now time.Time, wallMS int64) { core.Advised(question, counsel, now, wallMS) })
}

func (c *leader) logOrder(what string, action dispatch.Action, more ...zap.Field) {
	fields := orderFields(what, action.Order, zap.Int64("epoch", action.Order.Epoch), zap.String("reason", action.Reason))
	c.logger.Info("order", append(fields, more...)...)
}

// orderFields name an order in a log line.
func orderFields(what string, o workload.Order, more ...zap.Field) []zap.Field {
	fields := append([]zap.Field{zap.String("order", what)}, taskFields(o.Task)...)
	fields = append(fields, zap.Int64("attempt", o.Attempt), zap.String("worker", o.Worker))
	return append(fields, more...)
}

// taskFields name a task in a log line.
func taskFields(t workload.TaskID) []zap.Field {
	return []zap.Field{
		zap.String("job", t.Job), zap.Int("occurrence", t.Occurrence), zap.Int("step", t.Step), zap.Int("task", t.Index),
	}
}

// give gives an order, if the lease still holds at the moment it leaves, and
// hands the answer to the core.
func (c *leader) give(
	what string, action dispatch.Action, send func(context.Context, workload.Order) workload.Receipt,
	answered func(*dispatch.Core, workload.Order, workload.Receipt, time.Time, int64),
) {
	defer c.underWay.Add(-1)
	receipt := workload.Receipt{Verdict: workload.VerdictUnsent, Err: errLeaseOver}
	sent := time.Now()
	if c.grant.valid() {
		receipt = send(c.ctx, action.Order)
	}
	metricOrder(what, receipt.Verdict).UpdateDuration(sent)
	c.logReceipt(what, action, receipt)
	c.post(func(core *dispatch.Core, now time.Time, wallMS int64) {
		answered(core, action.Order, receipt, now, wallMS)
	})
}

func (c *leader) poll(action dispatch.Action) {
	report := workload.Report{Verdict: workload.VerdictUnsent, Err: errLeaseOver}
	if action.Poll.UntilMS == 0 || c.grant.valid() {
		report = c.instance.workerReach.Poll(c.ctx, action.Poll)
	}
	if report.Unread > 0 && c.unreadSights.first(action.Poll.Worker, c.grant.epoch) {
		c.logger.Error("worker lists what cannot be read", zap.String("worker", action.Poll.Worker), zap.Int("rows", report.Unread))
	}
	for _, e := range report.Ended {
		if e.Number > action.Poll.Acknowledged {
			c.logger.Info("end", append(taskFields(e.Task), zap.Int64("attempt", e.Attempt), zap.String("worker", action.Poll.Worker),
				zap.String("kind", string(e.Kind)), zap.Int64("number", e.Number))...)
		}
	}
	c.post(func(core *dispatch.Core, now time.Time, wallMS int64) { core.PollAnswered(action, report, now, wallMS) })
}

var (
	errLeaseOver = errors.New("the lease is over")
	// errNoAdvisor meets jobs that were accepted before their queue got an advisor
	// that the settings do not name.
	errNoAdvisor = errors.New("the settings name no placement advisor")
)

func metricOrder(kind string, verdict workload.Verdict) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(`corianderbank_deployment_order_seconds{order="` + kind + `",verdict="` + verdict.String() + `"}`)
}

func (c *leader) logReceipt(what string, action dispatch.Action, receipt workload.Receipt) {
	if receipt.Verdict == workload.VerdictDone {
		return
	}
	c.logger.Warn("order not carried out", orderFields(what, action.Order,
		zap.Stringer("verdict", receipt.Verdict), zap.Error(receipt.Err))...)
}
