package requestload

import (
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/slots"
)

// sharingState is the state of an entry instance for the sharing of slots.
type sharingState struct {
	lastDemandAt time.Duration
	// waitingAtLastDemand is the number of requests that waited at lastDemandAt.
	waitingAtLastDemand int
	need                slots.Need
	// publishedDemand is the demand for each server that the peers have received
	// from the instance. It is used for sharing without an owner.
	publishedDemand map[string]int
}

// usableSlots returns a function that reports how many slots of a server the
// instance may currently use.
func (sim *simulation) usableSlots(e *entry) func(string) int {
	switch sim.policy.sharing {
	case shareFixed:
		now := sim.wallTime()
		return func(id string) int { return e.members.Share(e.id, id, serverSlots, now) }
	case shareByDemand:
		return func(id string) int { return demandShare(e, id) }
	}
	now := sim.wallTime()
	return func(id string) int { return e.holder.Usable(id, now) }
}

// demandShare returns the instance's share of a server's slots, computed from the
// published demand of the other instances and from its own current demand.
func demandShare(e *entry, id string) int {
	demands := make([]int, len(e.zone.entries))
	for i, other := range e.zone.entries {
		demands[i] = other.sharing.publishedDemand[id]
	}
	demands[slices.Index(e.zone.entries, e)] = e.table.InFlight(id) + waitingPerServer(e)
	parts := make([]int, len(demands))
	remaining := serverSlots
	for _, limit := range []func(i int) int{func(i int) int { return demands[i] }, func(int) int { return slots.MaxPerInstance }} {
		for progress := true; progress && remaining > 0; {
			progress = false
			for i := range parts {
				if remaining > 0 && parts[i] < limit(i) {
					parts[i]++
					remaining--
					progress = true
				}
			}
		}
	}
	return parts[slices.Index(e.zone.entries, e)]
}

// waitingPerServer returns the number of the instance's waiting requests divided by
// the number of servers, rounded up.
func waitingPerServer(e *entry) int {
	servers := max(1, e.table.AcceptingServers(nil))
	return (e.queue.Waiting() + servers - 1) / servers
}

// updateShares sends the demand of the instance if it is due, as the product's
// dispatcher does. It also updates the members and the slot counts that package slots
// uses; shareByDemand does not need them.
func (sim *simulation) updateShares(e *entry) {
	if sim.policy.sharing == shareFixed {
		sim.refreshMembers(e)
		return
	}
	since := sim.now - e.sharing.lastDemandAt
	changed := (e.queue.Waiting() > 0) != (e.sharing.waitingAtLastDemand > 0)
	if since < slots.DemandInterval && (!changed || since < slots.DemandMinInterval) {
		sim.refreshMembers(e)
		return
	}
	e.sharing.lastDemandAt, e.sharing.waitingAtLastDemand = sim.now, e.queue.Waiting()
	if sim.policy.sharing == shareByDemand {
		sim.publishDemand(e)
		return
	}
	sim.refreshMembers(e)
	sim.requestGrants(e)
}

func (sim *simulation) publishDemand(e *entry) {
	demand := make(map[string]int, len(e.zone.serverList))
	for _, s := range e.zone.serverList {
		demand[s.ID] = e.table.InFlight(s.ID) + waitingPerServer(e)
	}
	sim.after(intraZoneLatency, func() { e.sharing.publishedDemand = demand })
}

func (sim *simulation) refreshMembers(e *entry) {
	ids := make([]string, len(e.zone.entries))
	for i, other := range e.zone.entries {
		ids[i] = other.id
	}
	e.members.Set(ids, ids, sim.wallTime())
	sizes := make(map[string]int, len(e.zone.serverList))
	for _, s := range e.zone.serverList {
		sizes[s.ID] = serverSlots
	}
	e.holder.SetServers(sizes, sim.wallTime())
}

func (sim *simulation) requestGrants(e *entry) {
	sentAt := sim.wallTime()
	wanted := e.sharing.need.Update(e.queue.InFlight()+e.queue.Waiting(), e.table.AcceptingServers(nil))
	for _, demand := range e.holder.Demands(sentAt, func(id string) (int, int) { return e.table.InFlight(id), wanted }) {
		for _, owner := range e.zone.entries {
			if owner.id != demand.Owner {
				continue
			}
			sim.after(intraZoneLatency, func() {
				grants, serial := owner.owner.Demand(e.id, demand.Echo, demand.Wants, sim.wallTime())
				sim.after(intraZoneLatency, func() {
					e.holder.ApplyGrants(demand.Owner, serial, grants, sentAt)
					sim.dispatchQueued(e)
				})
			})
		}
	}
}

// codelState implements shedding by queue delay (after CoDel, Nichols and Jacobson
// 2012). Once the wait has stayed above the target for an interval, requests are
// shed at an increasing rate until the wait falls below the target.
type codelState struct {
	aboveSince time.Duration
	above      bool
	nextShed   time.Duration
	shedCount  int
}

const (
	delayTarget   = 50 * time.Millisecond
	delayInterval = 200 * time.Millisecond
)

func (q *codelState) shouldShed(waited, now time.Duration) bool {
	if waited < delayTarget {
		*q = codelState{}
		return false
	}
	if !q.above {
		q.above, q.aboveSince, q.nextShed = true, now, now+delayInterval
		return false
	}
	if now < q.nextShed {
		return false
	}
	q.shedCount++
	q.nextShed += time.Duration(float64(delayInterval) / float64(q.shedCount))
	return true
}
