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
	// serialBits leaves room for a million answers to slot demands a process
	// within one step of the incarnation, which is a millisecond.
	serialBits = 20
	// slotCallTimeout bounds a slot demand; it is below slots.SilenceLimit.
	slotCallTimeout = 500 * time.Millisecond
	// slotCalls bounds the slot demands under way.
	slotCalls = 16
)

// sharing exchanges slot demands with the owners. It belongs to the
// dispatcher's duty, except for the calls, which report back to it.
type sharing struct {
	dispatcher *Dispatcher
	pool       pond.Pool
	// running counts the calls in the pool. They are waited for here, because
	// stopping a pool goes through one that the whole process shares.
	running    sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
	lookedAt   time.Time
	demandedAt time.Time
	// underWay counts the calls that have not come back.
	underWay int
	need     slots.Need
	// lastWaiting is the number of waiting requests at the last demand.
	lastWaiting int
}

func newSharing(d *Dispatcher) *sharing {
	ctx, cancel := context.WithCancel(context.Background())
	return &sharing{
		dispatcher: d, ctx: ctx, cancel: cancel,
		pool: pond.NewPool(slotCalls, pond.WithQueueSize(slotCalls), pond.WithNonBlocking(true)),
	}
}

func (s *sharing) close() {
	s.cancel()
	s.running.Wait()
}

// look refreshes the members and the backend servers, and demands slots.
func (s *sharing) look(now time.Time) {
	s.lookedAt = now
	d := s.dispatcher
	d.members.Set(d.options.Fleet.ZoneMembers(d.options.Zone), s.live(), now)
	servers := d.options.Fleet.BackendServers(d.options.Zone)
	d.table.Sync(servers, now)
	sizes := make(map[string]int, len(servers))
	for _, server := range servers {
		sizes[server.ID] = sizeOf(server)
	}
	d.holder.SetServers(sizes, now)
	d.owner.Forget(now)
	if s.due(now) {
		s.demand(now)
	}
}

func sizeOf(server model.BackendServer) int {
	if server.Slots > 0 {
		return server.Slots
	}
	return defaultSlots
}

// live returns the instances of the zone that can own backend servers.
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

// due says whether slots are to be demanded now: at the interval, and sooner
// when requests began or ceased to wait.
func (s *sharing) due(now time.Time) bool {
	since := now.Sub(s.demandedAt)
	if s.underWay > 0 && since < slotCallTimeout {
		return false
	}
	if since >= slots.DemandInterval {
		return true
	}
	changed := (s.dispatcher.queue.Waiting() > 0) != (s.lastWaiting > 0)
	return changed && since >= slots.DemandMinInterval
}

func (s *sharing) demand(now time.Time) {
	d := s.dispatcher
	s.demandedAt, s.lastWaiting = now, d.queue.Waiting()
	wanted := s.need.Update(d.queue.InFlight()+s.lastWaiting, d.table.Takers(nil))
	demands := d.holder.Demands(now, func(id string) (int, int) { return d.table.InFlight(id), wanted })
	for _, demand := range demands {
		if demand.Owner == d.options.Instance {
			grants, serial := d.owner.Demand(d.options.Instance, demand.Echo, demand.Wants, now)
			d.holder.Granted(demand.Owner, serial, grants, now)
			continue
		}
		s.start(demand, now)
	}
}

// start asks another instance in the pool. A full pool leaves the demand to its
// next time.
func (s *sharing) start(demand slots.Demand, now time.Time) {
	s.underWay++
	s.running.Add(1)
	err := s.pool.Go(func() {
		defer s.running.Done()
		s.call(demand, now)
	})
	if err != nil {
		s.running.Done()
		s.underWay--
	}
}

// call asks another instance. It runs outside the duty.
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
	s.dispatcher.report(granted{owner: demand.Owner, sentAt: sentAt, grants: response.GetSlots(), failed: err != nil})
}

// granted is an owner's answer.
type granted struct {
	owner  string
	sentAt time.Time
	grants *peerpb.SlotGrants
	failed bool
}

func (g granted) apply(d *Dispatcher, now time.Time) {
	d.sharing.underWay--
	if g.failed || g.grants == nil {
		return
	}
	grants := make([]slots.Grant, 0, len(g.grants.GetGrants()))
	for _, grant := range g.grants.GetGrants() {
		grants = append(grants, slots.Grant{
			BackendServer: grant.GetBackendServer(), Slots: int(grant.GetSlots()),
			Validity: time.Duration(grant.GetValidMs()) * time.Millisecond,
		})
	}
	d.holder.Granted(g.owner, g.grants.GetSerial(), grants, g.sentAt)
	d.queue.SetCapacity(d.table.Capacity(d.usable(now)))
}

// peerDemand is the demand of another instance.
type peerDemand struct {
	from  string
	call  *peerpb.SlotDemand
	reply chan *peerpb.SlotGrants
}

func (p peerDemand) apply(d *Dispatcher, now time.Time) {
	wants := make([]slots.Want, 0, len(p.call.GetWants()))
	for _, want := range p.call.GetWants() {
		wants = append(wants, slots.Want{
			BackendServer: want.GetBackendServer(), Slots: int(want.GetSlots()), InFlight: int(want.GetInFlight()),
			Wanted: int(want.GetWanted()), Lend: want.GetLend(),
		})
	}
	grants, serial := d.owner.Demand(p.from, p.call.GetEcho(), wants, now)
	answer := &peerpb.SlotGrants{Serial: serial}
	for _, grant := range grants {
		answer.Grants = append(answer.Grants, &peerpb.SlotGrant{
			BackendServer: grant.BackendServer, Slots: int32(grant.Slots), ValidMs: grant.Validity.Milliseconds(),
		})
	}
	p.reply <- answer
}

// HandleSlots answers the slot demand of another instance; nil if this one is
// shutting down.
func (d *Dispatcher) HandleSlots(from string, call *peerpb.SlotDemand) *peerpb.SlotGrants {
	reply := make(chan *peerpb.SlotGrants, 1)
	d.report(peerDemand{from: from, call: call, reply: reply})
	select {
	case answer := <-reply:
		return answer
	case <-d.done:
		return nil
	}
}
