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

// Bounds of the shell.
const (
	// eventCapacity bounds the events that wait for the core. A poster waits
	// when it is full: every event is a result that the core needs.
	eventCapacity = 1024
	// poolSize bounds the concurrent actions; each is a few calls to workers.
	poolSize = 64
	// fanOut bounds the concurrent calls of one gang: 512 parts in 8 rounds.
	fanOut = 64
	// leasePart is the part of a lease after which it is renewed. A call may
	// take two such parts, so that a slow store does not cost the lease.
	leasePart = 3
	// steadyPart is the part of a worker lease after which a worker is renewed;
	// watchPart that while news is expected of it.
	steadyPart = 5
	watchPart  = 15
	// cancelWait is how long a cancellation waits for the final outcome.
	cancelWait = 3 * time.Second
	// overduePart is the part of a gang's run time by which it may be late and
	// still be expected to end soon.
	overduePart = 10
)

// Options are what a placer works with. Holder and OnEpoch may be left out.
type Options struct {
	Zone     string
	Instance string
	// Holder takes the lease. It is unique to the process, so that a process
	// that comes back under its old name gets a new epoch. Instance by default.
	Holder      string
	Config      config.Source
	Fleet       membership.View
	Jobs        jobstore.Store
	Leases      lease.Leases
	Workers     worker.Client
	Runs        estimate.Source
	Health      *quarantine.Tracker
	Recorder    *decision.Recorder
	Logger      *zap.Logger
	PlacerLease time.Duration
	WorkerLease time.Duration
	Interval    time.Duration
	MaxJobs     int
	// MayPlace says whether a holder whose lease is past its time (the store
	// does not answer) may still start new work.
	MayPlace func() bool
	// OnEpoch, if set, is told when this instance
	// becomes the placer, or is no longer: epoch 0 means it is not.
	OnEpoch func(epoch int64)
}

// Placer runs the core on this instance. Its methods are safe for concurrent use.
type Placer struct {
	opts   Options
	events chan event
	pool   pond.Pool
	core   *core

	mu    sync.Mutex
	epoch int64 // epoch while ready; read by other goroutines
	// load holds the bits of the last round's load level.
	load atomic.Uint64

	// underWay counts the actions in the pool.
	underWay sync.WaitGroup

	leaving   chan struct{}
	leaveOnce sync.Once
	left      chan struct{}
	// ended is closed when the loop has ended and answers nobody any more.
	ended chan struct{}
}

// New returns a placer; Run makes it work.
func New(opts Options) *Placer {
	if opts.Holder == "" {
		opts.Holder = opts.Instance
	}
	return &Placer{
		opts:    opts,
		events:  make(chan event, eventCapacity),
		pool:    pond.NewPool(poolSize),
		leaving: make(chan struct{}),
		left:    make(chan struct{}),
		ended:   make(chan struct{}),
		core: newCore(core{
			zone: opts.Zone, instance: opts.Instance, runs: opts.Runs, health: opts.Health, recorder: opts.Recorder,
			workerLease: opts.WorkerLease, maxJobs: opts.MaxJobs,
		}),
	}
}

// Run works until ctx ends. It returns after its goroutines have ended.
func (p *Placer) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { p.leaseDuty(ctx) })
	duties.Go(func() { p.watchDuty(ctx) })
	p.loop(ctx)
	duties.Wait()
	p.underWay.Wait()
}

// submit runs f in the pool. The pool keeps no idle goroutines, so it needs no
// stop of its own.
func (p *Placer) submit(f func()) {
	p.underWay.Add(1)
	p.pool.Submit(func() {
		defer p.underWay.Done()
		f()
	})
}

// Epoch returns the epoch under which this instance places, or 0.
func (p *Placer) Epoch() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch
}

// Leave gives the lease up and takes it no more. It returns when the lease is
// released, or ctx ends.
func (p *Placer) Leave(ctx context.Context) {
	p.leaveOnce.Do(func() { close(p.leaving) })
	select {
	case <-p.left:
	case <-ctx.Done():
	}
}

// loop owns the core.
func (p *Placer) loop(ctx context.Context) {
	defer close(p.ended)
	ticker := time.NewTicker(p.opts.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-p.events:
			p.core.apply(ev, time.Now())
			p.drain()
			p.core.persist(time.Now())
		case <-ticker.C:
			p.tick(time.Now())
		}
		p.publish()
		p.carryOut(ctx)
	}
}

// drain applies what else is waiting, so that a burst costs one round.
func (p *Placer) drain() {
	for range len(p.events) {
		p.core.apply(<-p.events, time.Now())
	}
}

func (p *Placer) tick(now time.Time) {
	p.core.setConfig(p.opts.Config.Current())
	p.core.setWorkers(p.opts.Fleet.Workers(p.opts.Zone), now)
	p.core.round(now)
	p.core.showRound(time.Since(now))
	p.load.Store(math.Float64bits(p.core.load()))
}

func (p *Placer) publish() {
	epoch := int64(0)
	if p.core.ready() == nil {
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

// post hands an event to the core. It waits when the ring is full.
func (p *Placer) post(ctx context.Context, ev event) bool {
	select {
	case p.events <- ev:
		return true
	case <-p.ended:
		return false
	case <-ctx.Done():
		return false
	}
}

// leaseDuty takes and keeps the zone's lease.
func (p *Placer) leaseDuty(ctx context.Context) {
	defer close(p.left)
	var held lease.Held
	for {
		next := time.Now().Add(p.opts.PlacerLease / leasePart)
		held = p.renewLease(ctx, held)
		select {
		case <-ctx.Done():
			return
		case <-p.leaving:
			p.post(ctx, termEvent{})
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

// renewLease asks for the lease once and tells the core what is known. While
// the store does not answer, a holder stays holder: the role changes hands only
// through the table, and the workers refuse an older epoch.
func (p *Placer) renewLease(ctx context.Context, held lease.Held) lease.Held {
	callCtx, cancel := context.WithTimeout(ctx, p.opts.PlacerLease*2/leasePart)
	defer cancel()
	fresh, err := p.opts.Leases.Acquire(callCtx, p.opts.Zone, p.opts.Holder)
	switch {
	case err == nil:
		p.post(ctx, termEvent{epoch: fresh.Epoch, held: true, mayPlace: true, platform: true})
		return fresh
	case api.IsKind(err, api.KindConflict):
		p.post(ctx, termEvent{platform: true})
		return lease.Held{}
	}
	inTime := time.Now().Before(held.Until)
	p.post(ctx, termEvent{epoch: held.Epoch, held: held.Epoch > 0, mayPlace: inTime || p.opts.MayPlace()})
	return held
}

// Admit asks whether the job may be accepted. It changes nothing. An answer
// with another id than the submission's is an earlier job of the same key.
func (p *Placer) Admit(ctx context.Context, s Submission) (api.JobAnswer, error) {
	return p.call(ctx, func(r chan reply) event { return admitCall{s, r} })
}

// Submit admits and durably accepts the job. A submission whose idempotency key
// names an earlier job gets that job's answer, whether it would be admitted now
// or not.
func (p *Placer) Submit(ctx context.Context, s Submission) (api.JobAnswer, error) {
	answer, err := p.Admit(ctx, s)
	if err != nil {
		return p.refused(ctx, s, err)
	}
	if answer.ID != s.ID {
		return answer, nil
	}
	record := p.core.record(s, time.Now())
	accepted, earlier, err := p.opts.Jobs.Accept(ctx, record)
	if err != nil {
		return api.JobAnswer{}, err
	}
	if earlier {
		return p.known(ctx, accepted), nil
	}
	answer, err = p.call(ctx, func(r chan reply) event { return acceptedCall{accepted, r} })
	if err != nil {
		// The row is written: the zone's placer finds it.
		return jobstore.Answer(accepted), nil
	}
	return answer, nil
}

// refused returns the refusal of a submission, unless its key names a job that
// was accepted before: then that is the truth about it.
func (p *Placer) refused(ctx context.Context, s Submission, refusal error) (api.JobAnswer, error) {
	if s.Job.IdempotencyKey == "" || api.IsKind(refusal, api.KindNoPlacer) || api.IsKind(refusal, api.KindKeyReused) {
		return api.JobAnswer{}, refusal
	}
	found, err := p.opts.Jobs.Find(ctx, s.Job)
	switch {
	case err == nil:
		return p.known(ctx, found), nil
	case api.IsKind(err, api.KindNotFound):
		return api.JobAnswer{}, refusal
	}
	return api.JobAnswer{}, err
}

// known is the answer of a job that was accepted before, by this zone or another.
func (p *Placer) known(ctx context.Context, record jobstore.Record) api.JobAnswer {
	answer, err := p.call(ctx, func(r chan reply) event { return getCall{record.ID, nil, r} })
	if err != nil {
		return jobstore.Answer(record)
	}
	return answer
}

// Get returns the job's answer. It waits up to wait for a final one.
func (p *Placer) Get(ctx context.Context, id string, wait time.Duration) (api.JobAnswer, error) {
	ended := make(chan struct{})
	answer, err := p.call(ctx, func(r chan reply) event { return getCall{id, ended, r} })
	if err != nil || answer.Outcome != api.OutcomeAccepted || wait <= 0 {
		p.post(ctx, forgetCall{id, ended})
		return answer, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ended:
		return p.call(ctx, func(r chan reply) event { return getCall{id, nil, r} })
	case <-timer.C:
	case <-p.ended:
	case <-ctx.Done():
	}
	p.post(context.WithoutCancel(ctx), forgetCall{id, ended})
	return answer, nil
}

// Cancel cancels the job and returns its answer, which it waits for a while: a
// gang has to stop, and the outcome has to be written, before it is final.
func (p *Placer) Cancel(ctx context.Context, id string) (api.JobAnswer, error) {
	answer, err := p.call(ctx, func(r chan reply) event { return cancelCall{id, r} })
	if err != nil || answer.Outcome != api.OutcomeAccepted {
		return answer, err
	}
	return p.Get(ctx, id, cancelWait)
}

// CheckGuarantees returns an error of KindShapeNeverFits if the guarantees of
// all accounts do not pack into the zone's workers.
func (p *Placer) CheckGuarantees(ctx context.Context, accounts []model.ClientAccount) error {
	_, err := p.call(ctx, func(r chan reply) event { return checkCall{accounts, r} })
	return err
}

// Load returns the accelerators that are held or asked for over those that take
// work, as of the last round; 0 while this instance is not the placer.
func (p *Placer) Load() float64 { return math.Float64frombits(p.load.Load()) }

// Status returns the zone as this placer sees it; without zones if it is not
// the placer.
func (p *Placer) Status(ctx context.Context) api.Status {
	answer := make(chan api.Status, 1)
	if !p.post(ctx, statusCall{answer}) {
		return api.Status{Instance: p.opts.Instance}
	}
	select {
	case status := <-answer:
		return status
	case <-p.ended:
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
	case <-p.ended:
		return api.JobAnswer{}, errNoPlacer
	case <-ctx.Done():
		return api.JobAnswer{}, api.NewError(api.KindNoPlacer, "the placer did not answer in time")
	}
}
