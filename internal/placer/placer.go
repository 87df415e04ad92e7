package placer

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/decision"
	"github.com/corianderbank/corianderbank/internal/estimate"
	"github.com/corianderbank/corianderbank/internal/jobstore"
	"github.com/corianderbank/corianderbank/internal/lease"
	"github.com/corianderbank/corianderbank/internal/membership"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/quarantine"
	"github.com/corianderbank/corianderbank/internal/worker"
)

// Limits of the shell.
const (
	// eventCapacity bounds the queued events. Senders block when the queue is
	// full, because the core needs every result.
	eventCapacity = 1024
	// poolSize bounds the concurrent actions; each makes a few calls to workers.
	poolSize = 64
	// fanOut bounds the concurrent calls of one gang: 512 parts take 8 rounds.
	fanOut = 64
	// leaseRenewalDivisor divides the lease into renewal intervals. A call may
	// take two of them, so that a slow store does not cost the lease.
	leaseRenewalDivisor = 3
	// steadyRenewalDivisor divides a worker lease into the usual renewal
	// intervals, frequentRenewalDivisor into those used while a change of the
	// worker's state is expected.
	steadyRenewalDivisor   = 5
	frequentRenewalDivisor = 15
	// cancelWait bounds how long a cancellation waits for the final outcome.
	cancelWait = 3 * time.Second
	// overdueDivisor divides a gang's expected run time into the time by which the
	// gang may exceed its expected end and still count as ending soon.
	overdueDivisor = 10
)

// Options configures a placer. Holder and OnEpoch are optional.
type Options struct {
	Zone     string
	Instance string
	// Holder is the name under which the lease is taken. It is unique to the
	// process, so that a process that restarts under the same instance name gets
	// a new epoch. The default is Instance.
	Holder      string
	Config      config.Source
	Fleet       membership.View
	Jobs        jobstore.Store
	Leases      lease.Leases
	Workers     worker.Client
	RunTimes    estimate.Source
	Health      *quarantine.Tracker
	Recorder    *decision.Recorder
	Logger      *zap.Logger
	PlacerLease time.Duration
	WorkerLease time.Duration
	// Interval is the time between rounds.
	Interval time.Duration
	// MaxJobs bounds the open jobs of the zone.
	MaxJobs int
	// MayPlace reports whether a holder whose lease has expired because the
	// store does not answer may still start new work.
	MayPlace func() bool
	// OnEpoch, if set, is called when this instance becomes the placer, with its
	// epoch, and when it ceases to be, with 0.
	OnEpoch func(epoch int64)
}

// Placer runs the core on this instance. Its methods are safe for concurrent use.
type Placer struct {
	opts   Options
	events chan event
	pool   pond.Pool
	core   *core

	mu    sync.Mutex
	epoch int64 // 0 while not the active placer; guarded by mu
	// load holds the float64 bits of the load after the last round.
	load atomic.Uint64

	// inFlight counts the actions in the pool.
	inFlight sync.WaitGroup

	leaveRequested chan struct{}
	leaveOnce      sync.Once
	leaseLoopDone  chan struct{}
	// loopDone is closed when the event loop has ended and answers no more calls.
	loopDone chan struct{}
}

// New returns a placer that does nothing until Run is called.
func New(opts Options) *Placer {
	if opts.Holder == "" {
		opts.Holder = opts.Instance
	}
	return &Placer{
		opts:           opts,
		events:         make(chan event, eventCapacity),
		pool:           pond.NewPool(poolSize),
		leaveRequested: make(chan struct{}),
		leaseLoopDone:  make(chan struct{}),
		loopDone:       make(chan struct{}),
		core: newCore(core{
			zone: opts.Zone, instance: opts.Instance, runTimes: opts.RunTimes, health: opts.Health, recorder: opts.Recorder,
			workerLease: opts.WorkerLease, maxJobs: opts.MaxJobs,
		}),
	}
}

// Run runs the placer until ctx ends and returns after its goroutines have ended.
func (p *Placer) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { p.leaseLoop(ctx) })
	loops.Go(func() { p.renewalLoop(ctx) })
	p.eventLoop(ctx)
	loops.Wait()
	p.inFlight.Wait()
}

// runInPool runs f in the pool. The pool keeps no idle goroutines, so it need
// not be stopped.
func (p *Placer) runInPool(f func()) {
	p.inFlight.Add(1)
	p.pool.Submit(func() {
		defer p.inFlight.Done()
		f()
	})
}

// Epoch returns the epoch under which this instance is the placer, or 0.
func (p *Placer) Epoch() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch
}

// Leave releases the lease and does not acquire it again. It returns when the
// lease is released or ctx ends.
func (p *Placer) Leave(ctx context.Context) {
	p.leaveOnce.Do(func() { close(p.leaveRequested) })
	select {
	case <-p.leaseLoopDone:
	case <-ctx.Done():
	}
}

// eventLoop runs in the goroutine that owns the core.
func (p *Placer) eventLoop(ctx context.Context) {
	defer close(p.loopDone)
	ticker := time.NewTicker(p.opts.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-p.events:
			p.core.apply(ev, time.Now())
			p.drainEvents()
			p.core.writeUnsaved(time.Now())
		case <-ticker.C:
			p.tick(time.Now())
		}
		p.publishEpoch()
		p.dispatchActions(ctx)
	}
}

// drainEvents applies the other queued events, so that a burst is persisted and
// published once.
func (p *Placer) drainEvents() {
	for range len(p.events) {
		p.core.apply(<-p.events, time.Now())
	}
}

func (p *Placer) tick(now time.Time) {
	p.core.setConfig(p.opts.Config.Current())
	p.core.setWorkers(p.opts.Fleet.Workers(p.opts.Zone), now)
	p.core.round(now)
	p.core.recordRoundMetrics(time.Since(now))
	p.load.Store(math.Float64bits(p.core.load()))
}

func (p *Placer) publishEpoch() {
	epoch := int64(0)
	if p.core.checkActive() == nil {
		epoch = p.core.epoch
	}
	p.mu.Lock()
	changed := p.epoch != epoch
	p.epoch = epoch
	p.mu.Unlock()
	if changed {
		p.opts.Logger.Info("placer", zap.Int64("epoch", epoch), zap.Bool("active", epoch > 0))
		if p.opts.OnEpoch != nil {
			p.opts.OnEpoch(epoch)
		}
	}
}

// post sends an event to the core and blocks while the queue is full. It reports
// whether the event was sent.
func (p *Placer) post(ctx context.Context, ev event) bool {
	select {
	case p.events <- ev:
		return true
	case <-p.loopDone:
		return false
	case <-ctx.Done():
		return false
	}
}

// leaseLoop acquires and renews the zone's lease.
func (p *Placer) leaseLoop(ctx context.Context) {
	defer close(p.leaseLoopDone)
	var held lease.Held
	for {
		next := time.Now().Add(p.opts.PlacerLease / leaseRenewalDivisor)
		held = p.renewLease(ctx, held)
		select {
		case <-ctx.Done():
			return
		case <-p.leaveRequested:
			p.post(ctx, leaseEvent{})
			if held.Epoch > 0 {
				if err := p.opts.Leases.Release(ctx, held, p.opts.Holder); err != nil {
					p.opts.Logger.Warn("placer lease not released; it lapses", zap.Error(err))
				}
			}
			return
		case <-time.After(time.Until(next)):
		}
	}
}

// renewLease tries to acquire or renew the lease once and posts the result to
// the core. While the store does not answer, a holder remains the holder: the
// role changes hands only through the table, and the workers refuse an older
// epoch.
func (p *Placer) renewLease(ctx context.Context, held lease.Held) lease.Held {
	callCtx, cancel := context.WithTimeout(ctx, p.opts.PlacerLease*2/leaseRenewalDivisor)
	defer cancel()
	fresh, err := p.opts.Leases.Acquire(callCtx, p.opts.Zone, p.opts.Holder)
	switch {
	case err == nil:
		p.post(ctx, leaseEvent{epoch: fresh.Epoch, holdsLease: true, mayPlace: true, platformReachable: true})
		return fresh
	case api.IsKind(err, api.KindConflict):
		p.post(ctx, leaseEvent{platformReachable: true})
		return lease.Held{}
	}
	unexpired := time.Now().Before(held.Until)
	p.post(ctx, leaseEvent{epoch: held.Epoch, holdsLease: held.Epoch > 0, mayPlace: unexpired || p.opts.MayPlace()})
	return held
}

// Admit checks whether the job may be accepted, without changing anything. An
// answer with an id other than the submission's describes an earlier job with
// the same idempotency key.
func (p *Placer) Admit(ctx context.Context, s Submission) (api.JobAnswer, error) {
	return p.call(ctx, func(r chan reply) event { return admitJobCall{s, r} })
}

// Submit admits and durably accepts the job. A submission whose idempotency key
// belongs to an earlier job returns that job's answer, regardless of whether the
// job would be admitted now.
func (p *Placer) Submit(ctx context.Context, s Submission) (api.JobAnswer, error) {
	answer, err := p.Admit(ctx, s)
	if err != nil {
		return p.refusalOrExisting(ctx, s, err)
	}
	if answer.ID != s.ID {
		return answer, nil
	}
	record := p.core.newRecord(s, time.Now())
	accepted, earlier, err := p.opts.Jobs.Accept(ctx, record)
	if err != nil {
		return api.JobAnswer{}, err
	}
	if earlier {
		return p.existingAnswer(ctx, accepted), nil
	}
	answer, err = p.call(ctx, func(r chan reply) event { return jobAcceptedCall{accepted, r} })
	if err != nil {
		// The row is written: the zone's placer will find it.
		return jobstore.Answer(accepted), nil
	}
	return answer, nil
}

// refusalOrExisting returns the refusal of a submission, unless its key belongs
// to a job that was accepted before; then it returns that job's answer.
func (p *Placer) refusalOrExisting(ctx context.Context, s Submission, refusal error) (api.JobAnswer, error) {
	if s.Job.IdempotencyKey == "" || api.IsKind(refusal, api.KindNoPlacer) || api.IsKind(refusal, api.KindKeyReused) {
		return api.JobAnswer{}, refusal
	}
	found, err := p.opts.Jobs.FindByKey(ctx, s.Job)
	switch {
	case err == nil:
		return p.existingAnswer(ctx, found), nil
	case api.IsKind(err, api.KindNotFound):
		return api.JobAnswer{}, refusal
	}
	return api.JobAnswer{}, err
}

// existingAnswer returns the answer of a job that this zone or another accepted
// before.
func (p *Placer) existingAnswer(ctx context.Context, record jobstore.Record) api.JobAnswer {
	answer, err := p.call(ctx, func(r chan reply) event { return getJobCall{record.ID, nil, r} })
	if err != nil {
		return jobstore.Answer(record)
	}
	return answer
}

// Get returns the job's answer. It waits up to wait for a final one.
func (p *Placer) Get(ctx context.Context, id string, wait time.Duration) (api.JobAnswer, error) {
	ended := make(chan struct{})
	answer, err := p.call(ctx, func(r chan reply) event { return getJobCall{id, ended, r} })
	if err != nil || answer.Outcome != api.OutcomeAccepted || wait <= 0 {
		p.post(ctx, stopWaitingCall{id, ended})
		return answer, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ended:
		return p.call(ctx, func(r chan reply) event { return getJobCall{id, nil, r} })
	case <-timer.C:
	case <-p.loopDone:
	case <-ctx.Done():
	}
	p.post(context.WithoutCancel(ctx), stopWaitingCall{id, ended})
	return answer, nil
}

// Cancel cancels the job and returns its answer. It waits up to cancelWait for
// the final outcome, which requires that the gang has stopped and the outcome is
// stored.
func (p *Placer) Cancel(ctx context.Context, id string) (api.JobAnswer, error) {
	answer, err := p.call(ctx, func(r chan reply) event { return cancelJobCall{id, r} })
	if api.IsKind(err, api.KindNotFound) {
		answer, err = p.cancelStored(ctx, id)
	}
	if err != nil || answer.Outcome != api.OutcomeAccepted {
		return answer, err
	}
	return p.Get(ctx, id, cancelWait)
}

// cancelStored cancels a job that is not in memory. Its row may have been stored by a call whose answer
// was lost, and is adopted only at the next reconciliation.
func (p *Placer) cancelStored(ctx context.Context, id string) (api.JobAnswer, error) {
	record, err := p.opts.Jobs.Get(ctx, id)
	switch {
	case err != nil:
		return api.JobAnswer{}, err
	case record.Phase == jobstore.PhaseEnded || record.Zone != p.opts.Zone:
		return jobstore.Answer(record), nil
	}
	return p.call(ctx, func(r chan reply) event { return cancelStoredCall{record, r} })
}

// CheckGuarantees returns an error of KindShapeNeverFits if the guarantees of
// all accounts do not pack into the zone's workers.
func (p *Placer) CheckGuarantees(ctx context.Context, accounts []model.ClientAccount) error {
	_, err := p.call(ctx, func(r chan reply) event { return checkGuaranteesCall{accounts, r} })
	return err
}

// Load returns the ratio of accelerators that open jobs hold or request to those
// of workers that accept work, as of the last round, or 0 while this instance is
// not the placer.
func (p *Placer) Load() float64 { return math.Float64frombits(p.load.Load()) }

// Status returns the zone's state in this placer's memory, or a status without
// zones if this instance is not the placer.
func (p *Placer) Status(ctx context.Context) api.Status {
	answer := make(chan api.Status, 1)
	if !p.post(ctx, statusCall{answer}) {
		return api.Status{Instance: p.opts.Instance}
	}
	select {
	case status := <-answer:
		return status
	case <-p.loopDone:
		return api.Status{Instance: p.opts.Instance}
	case <-ctx.Done():
		return api.Status{Instance: p.opts.Instance}
	}
}

func (p *Placer) call(ctx context.Context, newCall func(chan reply) event) (api.JobAnswer, error) {
	answer := make(chan reply, 1)
	if !p.post(ctx, newCall(answer)) {
		return api.JobAnswer{}, errNoPlacer
	}
	select {
	case r := <-answer:
		return r.answer, r.err
	case <-p.loopDone:
		return api.JobAnswer{}, errNoPlacer
	case <-ctx.Done():
		return api.JobAnswer{}, api.NewError(api.KindNoPlacer, "the placer did not answer in time")
	}
}
