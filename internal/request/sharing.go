package request

import (
	"context"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/slots"
)

const (
	// serialBits is the number of low bits of a serial that count the answers to
	// slot demands of one process. The bits above start at the incarnation, which
	// is the start time in milliseconds, so the serials of two processes overlap
	// only if the earlier one gave about a million answers per millisecond.
	serialBits = 20
	// slotCallTimeout bounds a slot demand. It is shorter than
	// slots.OwnerTimeout.
	slotCallTimeout = 500 * time.Millisecond
	// maxSlotCalls bounds the slot demands sent concurrently, and those queued to
	// be sent.
	maxSlotCalls = 16
)

// sharing exchanges slot demands with the owners. It is owned by the dispatcher's
// event loop, except for the calls, which run in a pool and send their results to
// the event loop.
type sharing struct {
	dispatcher *Dispatcher
	pool       pond.Pool
	// calls counts the calls in the pool. They are awaited here, because
	// stopping a pool uses another pool, which the whole process shares.
	calls       sync.WaitGroup
	ctx         context.Context
	cancel      context.CancelFunc
	refreshedAt time.Time
	demandedAt  time.Time
	// inFlight counts the calls whose result has not been processed yet.
	inFlight int
	need     slots.Need
	// lastWaiting is the number of waiting requests at the last demand.
	lastWaiting int
}

func newSharing(d *Dispatcher) *sharing {
	ctx, cancel := context.WithCancel(context.Background())
	return &sharing{
		dispatcher: d, ctx: ctx, cancel: cancel,
		pool: pond.NewPool(maxSlotCalls, pond.WithQueueSize(maxSlotCalls), pond.WithNonBlocking(true)),
	}
}

func (s *sharing) close() {
	s.cancel()
	s.calls.Wait()
}

// refresh updates the members and the backend servers from the fleet, and demands
// slots if due.
func (s *sharing) refresh(now time.Time) {
	s.refreshedAt = now
	d := s.dispatcher
	d.members.Set(d.options.Fleet.ZoneMembers(d.options.Zone), s.live(), now)
	servers := d.options.Fleet.BackendServers(d.options.Zone)
	d.table.Sync(servers, now)
	slotCounts := make(map[string]int, len(servers))
	for _, server := range servers {
		slotCounts[server.ID] = slotCount(server)
	}
	d.holder.SetServers(slotCounts, now)
	d.owner.Forget(now)
	if s.demandDue(now) {
		s.sendDemands(now)
	}
}

func slotCount(server model.BackendServer) int {
	if server.Slots > 0 {
		return server.Slots
	}
	return defaultSlots
}

// live returns the instances of the zone that can own backend servers: this one
// and those that are not leaving.
func (s *sharing) live() []string {
	d := s.dispatcher
	live := []string{d.options.Instance}
	for _, other := range d.options.Fleet.Instances() {
		if other.Zone == d.options.Zone && !other.Leaving {
			live = append(live, other.ID)
		}
	}
	return live
}

// demandDue reports whether slots are to be demanded now: after DemandInterval,
// or after DemandMinInterval if requests have started or stopped waiting. While
// calls are in flight, no demands are due before slotCallTimeout.
func (s *sharing) demandDue(now time.Time) bool {
	elapsed := now.Sub(s.demandedAt)
	if s.inFlight > 0 && elapsed < slotCallTimeout {
		return false
	}
	if elapsed >= slots.DemandInterval {
		return true
	}
	changed := (s.dispatcher.queue.Waiting() > 0) != (s.lastWaiting > 0)
	return changed && elapsed >= slots.DemandMinInterval
}

func (s *sharing) sendDemands(now time.Time) {
	d := s.dispatcher
	s.demandedAt, s.lastWaiting = now, d.queue.Waiting()
	wanted := s.need.Update(d.queue.InFlight()+s.lastWaiting, d.table.AcceptingServers(nil))
	demands := d.holder.Demands(now, func(id string) (int, int) { return d.table.InFlight(id), wanted })
	for _, demand := range demands {
		if demand.Owner == d.options.Instance {
			grants, serial := d.owner.Demand(d.options.Instance, demand.Echo, demand.Wants, now)
			d.holder.ApplyGrants(demand.Owner, serial, grants, now)
			continue
		}
		s.startCall(demand, now)
	}
}

// startCall sends a demand to another instance from the pool. If the pool is
// full, the demand is dropped until the next interval.
func (s *sharing) startCall(demand slots.Demand, now time.Time) {
	s.inFlight++
	s.calls.Add(1)
	err := s.pool.Go(func() {
		defer s.calls.Done()
		s.call(demand, now)
	})
	if err != nil {
		s.calls.Done()
		s.inFlight--
	}
}

// call sends a demand to another instance. It runs outside the event loop.
func (s *sharing) call(demand slots.Demand, sentAt time.Time) {
	ctx, cancel := context.WithTimeout(s.ctx, slotCallTimeout)
	defer cancel()
	message := &peerpb.SlotDemand{Echo: demand.Echo}
	for _, want := range demand.Wants {
		message.Wants = append(message.Wants, &peerpb.SlotWant{
			BackendServer: want.BackendServer, InFlight: int32(want.InFlight), Wanted: int32(want.Wanted),
			Slots: int32(want.Slots), Lend: want.Lend,
		})
	}
	response, err := s.dispatcher.options.Caller.Call(ctx, demand.Owner, &peerpb.Request{Body: &peerpb.Request_Slots{Slots: message}})
	s.dispatcher.postEvent(grantsEvent{owner: demand.Owner, sentAt: sentAt, grants: response.GetSlots(), failed: err != nil})
}

// grantsEvent is an owner's answer to a demand, or the failure of the call.
type grantsEvent struct {
	owner  string
	sentAt time.Time
	grants *peerpb.SlotGrants
	failed bool
}

func (e grantsEvent) apply(d *Dispatcher, now time.Time) {
	d.sharing.inFlight--
	if e.failed || e.grants == nil {
		return
	}
	grants := make([]slots.Grant, 0, len(e.grants.GetGrants()))
	for _, grant := range e.grants.GetGrants() {
		grants = append(grants, slots.Grant{
			BackendServer: grant.GetBackendServer(), Slots: int(grant.GetSlots()),
			Validity: time.Duration(grant.GetValidMs()) * time.Millisecond,
		})
	}
	d.holder.ApplyGrants(e.owner, e.grants.GetSerial(), grants, e.sentAt)
	d.queue.SetCapacity(d.table.Capacity(d.usableSlots(now)))
}

// demandEvent is a demand from another instance.
type demandEvent struct {
	from  string
	call  *peerpb.SlotDemand
	reply chan *peerpb.SlotGrants
}

func (e demandEvent) apply(d *Dispatcher, now time.Time) {
	wants := make([]slots.Want, 0, len(e.call.GetWants()))
	for _, want := range e.call.GetWants() {
		wants = append(wants, slots.Want{
			BackendServer: want.GetBackendServer(), Slots: int(want.GetSlots()), InFlight: int(want.GetInFlight()),
			Wanted: int(want.GetWanted()), Lend: want.GetLend(),
		})
	}
	grants, serial := d.owner.Demand(e.from, e.call.GetEcho(), wants, now)
	answer := &peerpb.SlotGrants{Serial: serial}
	for _, grant := range grants {
		answer.Grants = append(answer.Grants, &peerpb.SlotGrant{
			BackendServer: grant.BackendServer, Slots: int32(grant.Slots), ValidMs: grant.Validity.Milliseconds(),
		})
	}
	e.reply <- answer
}

// AnswerSlotDemand answers the slot demand of another instance. It returns nil if the
// dispatcher has stopped.
func (d *Dispatcher) AnswerSlotDemand(from string, call *peerpb.SlotDemand) *peerpb.SlotGrants {
	reply := make(chan *peerpb.SlotGrants, 1)
	d.postEvent(demandEvent{from: from, call: call, reply: reply})
	select {
	case answer := <-reply:
		return answer
	case <-d.done:
		return nil
	}
}
