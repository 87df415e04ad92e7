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
	// tickInterval is the minimum time between two refreshes from the fleet, and
	// the longest time that the event loop sleeps.
	tickInterval = 50 * time.Millisecond
	// spillInterval is the minimum time between two updates of the spill decision.
	spillInterval = 100 * time.Millisecond
	// eventCapacity bounds the events queued for the event loop. When the queue
	// is full the sender waits, but only briefly, as the event loop never blocks.
	eventCapacity = 1024
	// warmupTimeout bounds the wait for the first slots: an instance has shares
	// from slots.ViewWindow after its start.
	warmupTimeout = 2 * slots.ViewWindow
	// defaultSlots is the number of slots of a backend server that announces none.
	defaultSlots = 8
)

// Fleet is the part of the membership that the dispatcher uses.
type Fleet interface {
	// Instances and BackendServers are as in membership.View.
	Instances() []model.Instance
	BackendServers(zone string) []model.BackendServer
	// ZoneMembers returns the instances of a zone that may be running.
	ZoneMembers(zone string) []string
	// PeerStates returns the latest state message of each peer.
	PeerStates() map[string]membership.ReceivedState
}

// DispatcherOptions configures a Dispatcher.
type DispatcherOptions struct {
	Zone     string
	Instance string
	// Incarnation distinguishes this process from earlier ones with the same id.
	Incarnation int64
	Fleet       Fleet
	Caller      peer.Caller
	Config      config.Source
	Recorder    *decision.Recorder
	Logger      *zap.Logger
	// MaxRequests bounds the slot requests queued for the event loop.
	MaxRequests int
	// Seed initializes the random source.
	Seed uint64
}

// Dispatcher assigns requests to slots of backend servers. Its event loop, Run,
// owns all state and receives typed events from two bounded queues. The other
// methods are safe for concurrent use.
type Dispatcher struct {
	options DispatcherOptions
	// slotRequests refuses new entries when full.
	slotRequests *ring.Refusing[slotRequest]
	events       chan event
	done         chan struct{}
	// load is the load level in thousandths.
	load atomic.Int64
	// warmedUp is set once there are slots to use or warmupTimeout has passed.
	warmedUp atomic.Bool

	// The fields below are owned by the event loop.
	startedAt      time.Time
	queue          *admission.Queue
	table          *routing.Table
	budget         *retry.Budget
	spill          routing.Spill
	members        *slots.Members
	holder         *slots.Holder
	owner          *slots.Owner
	random         *rand.Rand
	waiting        map[string]slotRequest
	sharing        *sharing
	spillUpdatedAt time.Time
	// limitsSnapshot and limitsInstances are the configuration and the number of
	// instances from which the limits were last set.
	limitsSnapshot  *config.Snapshot
	limitsInstances int
}

// event is a message to the event loop, which calls apply.
type event interface {
	apply(d *Dispatcher, now time.Time)
}

// slotRequest requests a slot for one dispatch.
type slotRequest struct {
	request admission.Request
	// tried lists the ids of the backend servers to exclude.
	tried []string
	// isRetry reports that the request was already admitted.
	isRetry bool
	reply   chan assignment
}

// assignment is the reply to a slotRequest: a backend server or a refusal.
type assignment struct {
	choice  routing.Choice
	refusal *admission.Refusal
	// expected is the mean run time of the request's kind.
	expected time.Duration
	waited   time.Duration
}

// NewDispatcher returns a dispatcher, which assigns slots while Run is running.
func NewDispatcher(options DispatcherOptions) *Dispatcher {
	now := time.Now()
	members := slots.NewMembers(now)
	d := &Dispatcher{
		options: options, slotRequests: ring.NewRefusing[slotRequest](options.MaxRequests),
		events: make(chan event, eventCapacity), done: make(chan struct{}), startedAt: now,
		queue: admission.NewQueue(admission.Policy{}, admission.NewServiceTimes()), table: routing.NewTable(routing.Policy{}),
		budget: retry.NewBudget(), members: members, holder: slots.NewHolder(options.Instance, members),
		owner:  slots.NewOwner(members, uint64(options.Incarnation)<<serialBits, now),
		random: rand.New(rand.NewPCG(options.Seed, 1)), waiting: make(map[string]slotRequest),
	}
	d.sharing = newSharing(d)
	return d
}

// Load returns the load level: requests in flight and waiting divided by
// capacity.
func (d *Dispatcher) Load() float64 { return float64(d.load.Load()) / 1000 }

// WarmedUp reports whether the instance has had slots to assign since its start. It
// becomes true after warmupTimeout in any case, because a zone may have no backend
// servers, and stays true.
func (d *Dispatcher) WarmedUp() bool { return d.warmedUp.Load() }

// Run is the event loop. It returns when ctx ends, and refuses the requests that
// are waiting then.
func (d *Dispatcher) Run(ctx context.Context) {
	// done is closed before the calls in flight are awaited: such a call may
	// wait for another dispatcher that stops at the same time and waits for
	// this one.
	defer d.sharing.close()
	defer close(d.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			d.refuseWaiting()
			return
		case req := <-d.slotRequests.C():
			d.enqueue(req, time.Now())
		case e := <-d.events:
			e.apply(d, time.Now())
		case <-timer.C:
		}
		now := time.Now()
		d.tick(now)
		d.assignSlots(now)
		timer.Reset(d.wakeupDelay(now))
	}
}

// wakeupDelay returns the time until the next tick or expiry.
func (d *Dispatcher) wakeupDelay(now time.Time) time.Duration {
	if at, ok := d.queue.NextExpiry(); ok {
		return max(0, min(tickInterval, at.Sub(now)))
	}
	return tickInterval
}

func (d *Dispatcher) enqueue(req slotRequest, now time.Time) {
	if req.isRetry {
		d.queue.Restore(req.request)
	} else if refusal := d.queue.Offer(req.request, now); refusal != nil {
		req.reply <- assignment{refusal: refusal}
		return
	}
	d.waiting[req.request.ID] = req
}

// assignSlots refuses expired requests and assigns waiting ones to free slots.
func (d *Dispatcher) assignSlots(now time.Time) {
	for _, refusal := range d.queue.Expire(now) {
		d.reply(refusal.Request.ID, assignment{refusal: &refusal})
	}
	usable := d.usableSlots(now)
	var unassigned []admission.Request
	for d.table.HasFreeSlot(usable) {
		next, ok := d.queue.Next()
		if !ok {
			break
		}
		req := d.waiting[next.ID]
		choice, ok := d.table.Pick(now, d.random, usable, req.tried)
		if !ok {
			d.queue.Finish(next.ID, 0)
			unassigned = append(unassigned, next)
			if len(req.tried) == 0 {
				break
			}
			continue
		}
		d.table.RecordStart(choice.ID)
		d.reply(next.ID, assignment{choice: choice, expected: d.queue.Expected(next), waited: now.Sub(next.Arrived)})
	}
	for _, request := range unassigned {
		d.queue.Restore(request)
	}
	d.load.Store(int64(1000 * d.queue.Load()))
}

func (d *Dispatcher) reply(id string, result assignment) {
	req := d.waiting[id]
	delete(d.waiting, id)
	req.reply <- result
}

func (d *Dispatcher) refuseWaiting() {
	for id, req := range d.waiting {
		d.queue.Cancel(id)
		d.reply(id, assignment{refusal: shutdownRefusal(req.request)})
	}
}

func shutdownRefusal(request admission.Request) *admission.Refusal {
	return &admission.Refusal{
		Request: request, Kind: api.KindStopping, Reason: "this instance is shutting down", RetryAfter: admission.MinRetryAfter,
	}
}

func (d *Dispatcher) usableSlots(now time.Time) func(string) int {
	return func(id string) int { return d.holder.Usable(id, now) }
}

// tick updates the state from the fleet and the configuration, at most once per
// tickInterval.
func (d *Dispatcher) tick(now time.Time) {
	if now.Sub(d.sharing.refreshedAt) < tickInterval {
		return
	}
	d.sharing.refresh(now)
	d.applyLimits()
	capacity := d.table.Capacity(d.usableSlots(now))
	d.queue.SetCapacity(capacity)
	if capacity > 0 || now.Sub(d.startedAt) > warmupTimeout {
		d.warmedUp.Store(true)
	}
	d.recordTransitions(now)
	if now.Sub(d.spillUpdatedAt) >= spillInterval {
		d.spillUpdatedAt = now
		d.updateSpill(now)
	}
}

// applyLimits sets the accounts' limits. An account's limit on requests in flight
// applies to the zone, so it is divided among the live instances.
func (d *Dispatcher) applyLimits() {
	snapshot, instances := d.options.Config.Current(), max(1, len(d.members.Live()))
	if snapshot == nil || (snapshot == d.limitsSnapshot && instances == d.limitsInstances) {
		return
	}
	d.limitsSnapshot, d.limitsInstances = snapshot, instances
	for _, account := range snapshot.Document.Accounts {
		limits := admission.Limits{Weight: account.Weight, MaxQueued: account.MaxQueued}
		if account.MaxInFlight > 0 {
			limits.MaxInFlight = max(1, account.MaxInFlight/instances)
		}
		d.queue.SetLimits(account.Name, limits)
	}
}

func (d *Dispatcher) recordTransitions(now time.Time) {
	for _, change := range d.table.Transitions() {
		countTransition(change)
		d.options.Recorder.Record(api.Decision{
			At: now, Step: "backend_server", Subject: change.BackendServer, Choice: string(change.To),
			Reason: change.Reason, SecondBest: string(change.From),
		})
	}
}
