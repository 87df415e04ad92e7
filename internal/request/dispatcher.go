package request

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/admission"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/decision"
	"github.com/corianderbank/corianderbank/internal/membership"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/peer"
	"github.com/corianderbank/corianderbank/internal/retry"
	"github.com/corianderbank/corianderbank/internal/ring"
	"github.com/corianderbank/corianderbank/internal/routing"
	"github.com/corianderbank/corianderbank/internal/slots"
)

const (
	// tickInterval is the longest time between two looks at the fleet.
	tickInterval = 50 * time.Millisecond
	// spillInterval is the time between two updates of the spill decision.
	spillInterval = 100 * time.Millisecond
	// reportCapacity bounds the reports on their way to the duty. When it is
	// full the reporter waits, which is short: the duty waits for nobody.
	reportCapacity = 1024
	// warmWithin bounds the wait for the first slots: the shares of an instance
	// begin slots.ViewWindow after its start.
	warmWithin = 2 * slots.ViewWindow
	// defaultSlots is the size of a backend server that names none.
	defaultSlots = 8
)

// Fleet is what the dispatcher asks of the membership.
type Fleet interface {
	// Instances and BackendServers are those of membership.View.
	Instances() []model.Instance
	BackendServers(zone string) []model.BackendServer
	// ZoneMembers returns the instances of a zone that may be running.
	ZoneMembers(zone string) []string
	// PeerStates returns the latest state message of each peer.
	PeerStates() map[string]membership.HeardState
}

// DispatcherOptions are what a Dispatcher needs.
type DispatcherOptions struct {
	Zone     string
	Instance string
	// Incarnation tells this process from earlier ones of the same id.
	Incarnation int64
	Fleet       Fleet
	Caller      peer.Caller
	Config      config.Source
	Recorder    *decision.Recorder
	Logger      *zap.Logger
	// MaxRequests bounds the submissions on their way to the duty.
	MaxRequests int
	// Seed is that of the random choices.
	Seed uint64
}

// Dispatcher gives requests their turn on a backend server. One duty, Run, owns
// all its state and takes typed events from two bounded queues. The other
// methods are safe for concurrent use.
type Dispatcher struct {
	options DispatcherOptions
	// submissions refuses the newest when full.
	submissions *ring.Refusing[submission]
	reports     chan event
	done        chan struct{}
	// load is the load level in thousandths.
	load atomic.Int64
	// warm is set once there are slots to use, or warmWithin has passed.
	warm atomic.Bool

	// The fields below belong to the duty.
	started  time.Time
	queue    *admission.Queue
	table    *routing.Table
	budget   *retry.Budget
	spill    routing.Spill
	members  *slots.Members
	holder   *slots.Holder
	owner    *slots.Owner
	random   *rand.Rand
	waiting  map[string]submission
	sharing  *sharing
	spillAt  time.Time
	limitsOf *config.Snapshot
	limitsN  int
}

// event is a message to the duty.
type event interface {
	apply(d *Dispatcher, now time.Time)
}

// submission asks for a turn.
type submission struct {
	request admission.Request
	// tried names the backend servers that are left out.
	tried []string
	// again says that the request had been let in before.
	again bool
	reply chan turn
}

// turn answers a submission: the choice of a backend server, or a refusal.
type turn struct {
	choice  routing.Choice
	refusal *admission.Refusal
	// expected is the mean run time of the kind.
	expected time.Duration
	waited   time.Duration
}

// NewDispatcher returns a dispatcher; Run makes it work.
func NewDispatcher(options DispatcherOptions) *Dispatcher {
	now := time.Now()
	members := slots.NewMembers(now)
	d := &Dispatcher{
		options: options, submissions: ring.NewRefusing[submission](options.MaxRequests),
		reports: make(chan event, reportCapacity), done: make(chan struct{}), started: now,
		queue: admission.NewQueue(admission.Policy{}, admission.NewServiceTimes()), table: routing.NewTable(routing.Policy{}),
		budget: retry.NewBudget(), members: members, holder: slots.NewHolder(options.Instance, members),
		owner:  slots.NewOwner(members, uint64(options.Incarnation)<<serialBits, now),
		random: rand.New(rand.NewPCG(options.Seed, 1)), waiting: make(map[string]submission),
	}
	d.sharing = newSharing(d)
	return d
}

// Load returns the load level: requests in flight and waiting over capacity.
func (d *Dispatcher) Load() float64 { return float64(d.load.Load()) / 1000 }

// Warm reports whether the instance has slots to give turns on. It is true some
// time after the start in any case, because a zone may have no backend servers.
func (d *Dispatcher) Warm() bool { return d.warm.Load() }

// Run is the duty. Requests that wait when ctx ends are refused.
func (d *Dispatcher) Run(ctx context.Context) {
	// The end is told first: a call under way may wait for another dispatcher
	// that ends at the same time and waits for this one.
	defer d.sharing.close()
	defer close(d.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			d.refuseAll()
			return
		case asked := <-d.submissions.C():
			d.submit(asked, time.Now())
		case report := <-d.reports:
			report.apply(d, time.Now())
		case <-timer.C:
		}
		now := time.Now()
		d.tick(now)
		d.serve(now)
		timer.Reset(d.pause(now))
	}
}

// pause is the time to the next thing that comes without an event.
func (d *Dispatcher) pause(now time.Time) time.Duration {
	if at, ok := d.queue.NextExpiry(); ok {
		return max(0, min(tickInterval, at.Sub(now)))
	}
	return tickInterval
}

func (d *Dispatcher) submit(asked submission, now time.Time) {
	if asked.again {
		d.queue.Restore(asked.request)
	} else if refusal := d.queue.Offer(asked.request, now); refusal != nil {
		asked.reply <- turn{refusal: refusal}
		return
	}
	d.waiting[asked.request.ID] = asked
}

// serve gives turns while there are free slots.
func (d *Dispatcher) serve(now time.Time) {
	for _, refusal := range d.queue.Expire(now) {
		d.answer(refusal.Request.ID, turn{refusal: &refusal})
	}
	usable := d.usable(now)
	var stalled []admission.Request
	for d.table.Free(usable) {
		next, ok := d.queue.Next()
		if !ok {
			break
		}
		asked := d.waiting[next.ID]
		choice, ok := d.table.Pick(now, d.random, usable, asked.tried)
		if !ok {
			d.queue.Finish(next.ID, 0)
			stalled = append(stalled, next)
			if len(asked.tried) == 0 {
				break
			}
			continue
		}
		d.table.Started(choice.ID)
		d.answer(next.ID, turn{choice: choice, expected: d.queue.Expected(next), waited: now.Sub(next.Arrived)})
	}
	for _, request := range stalled {
		d.queue.Restore(request)
	}
	d.load.Store(int64(1000 * d.queue.Load()))
}

func (d *Dispatcher) answer(id string, result turn) {
	asked := d.waiting[id]
	delete(d.waiting, id)
	asked.reply <- result
}

func (d *Dispatcher) refuseAll() {
	for id, asked := range d.waiting {
		d.queue.Cancel(id)
		d.answer(id, turn{refusal: stopping(asked.request)})
	}
}

func stopping(request admission.Request) *admission.Refusal {
	return &admission.Refusal{
		Request: request, Kind: api.KindStopping, Reason: "this instance is shutting down", RetryAfter: admission.MinRetryAfter,
	}
}

func (d *Dispatcher) usable(now time.Time) func(string) int {
	return func(id string) int { return d.holder.Usable(id, now) }
}

// tick takes in what the fleet and the configuration say now.
func (d *Dispatcher) tick(now time.Time) {
	if now.Sub(d.sharing.lookedAt) < tickInterval {
		return
	}
	d.sharing.look(now)
	d.applyLimits()
	capacity := d.table.Capacity(d.usable(now))
	d.queue.SetCapacity(capacity)
	if capacity > 0 || now.Sub(d.started) > warmWithin {
		d.warm.Store(true)
	}
	d.logTransitions(now)
	if now.Sub(d.spillAt) >= spillInterval {
		d.spillAt = now
		d.updateSpill(now)
	}
}

// applyLimits sets the accounts' limits. An account's bound on requests in
// flight is for the zone, so each live instance takes its part of it.
func (d *Dispatcher) applyLimits() {
	snapshot, instances := d.options.Config.Current(), max(1, len(d.members.Live()))
	if snapshot == nil || (snapshot == d.limitsOf && instances == d.limitsN) {
		return
	}
	d.limitsOf, d.limitsN = snapshot, instances
	for _, account := range snapshot.Document.Accounts {
		limits := admission.Limits{Weight: account.Weight, MaxQueued: account.MaxQueued}
		if account.MaxInFlight > 0 {
			limits.MaxInFlight = max(1, account.MaxInFlight/instances)
		}
		d.queue.SetLimits(account.Name, limits)
	}
}

func (d *Dispatcher) logTransitions(now time.Time) {
	for _, change := range d.table.Transitions() {
		countTransition(change)
		d.options.Recorder.Record(api.Decision{
			At: now, Step: "backend_server", Subject: change.BackendServer, Choice: string(change.To),
			Reason: change.Reason, SecondBest: string(change.From),
		})
	}
}
