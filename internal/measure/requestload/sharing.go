package requestload

import (
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/slots"
)

// shareState is an entry instance's part in the sharing of slots.
type shareState struct {
	demandedAt  time.Duration
	lastWaiting int
	need        slots.Need
	// told is, for sharing without an owner, what the peers know of its demand
	// on each server.
	told map[string]int
}

// usable says how many slots of a server the instance may use now.
func (w *world) usable(e *entry) func(string) int {
	switch w.policy.sharing {
	case shareFixed:
		now := w.time()
		return func(id string) int { return e.members.Share(e.id, id, serverSlots, now) }
	case shareByDemand:
		return func(id string) int { return partOf(e, id) }
	}
	now := w.time()
	return func(id string) int { return e.holder.Usable(id, now) }
}

// partOf computes the instance's part from what it knows of the others' demand
// and from its own present one.
func partOf(e *entry, id string) int {
	wants := make([]int, len(e.zone.entries))
	for i, other := range e.zone.entries {
		wants[i] = other.sharing.told[id]
	}
	wants[slices.Index(e.zone.entries, e)] = e.table.InFlight(id) + perServer(e)
	parts := make([]int, len(wants))
	left := serverSlots
	for _, limit := range []func(i int) int{func(i int) int { return wants[i] }, func(int) int { return slots.MaxPerInstance }} {
		for progress := true; progress && left > 0; {
			progress = false
			for i := range parts {
				if left > 0 && parts[i] < limit(i) {
					parts[i]++
					left--
					progress = true
				}
			}
		}
	}
	return parts[slices.Index(e.zone.entries, e)]
}

// perServer is the instance's waiting requests for each server.
func perServer(e *entry) int {
	servers := max(1, e.table.Takers(nil))
	return (e.queue.Waiting() + servers - 1) / servers
}

// share exchanges demands when they are due, as the dispatcher does.
func (w *world) share(e *entry) {
	if w.policy.sharing == shareFixed {
		w.refreshMembers(e)
		return
	}
	since := w.now - e.sharing.demandedAt
	changed := (e.queue.Waiting() > 0) != (e.sharing.lastWaiting > 0)
	if since < slots.DemandInterval && (!changed || since < slots.DemandMinInterval) {
		w.refreshMembers(e)
		return
	}
	e.sharing.demandedAt, e.sharing.lastWaiting = w.now, e.queue.Waiting()
	if w.policy.sharing == shareByDemand {
		w.tellPeers(e)
		return
	}
	w.refreshMembers(e)
	w.demand(e)
}

func (w *world) tellPeers(e *entry) {
	told := make(map[string]int, len(e.zone.listing))
	for _, s := range e.zone.listing {
		told[s.ID] = e.table.InFlight(s.ID) + perServer(e)
	}
	w.after(withinZone, func() { e.sharing.told = told })
}

func (w *world) refreshMembers(e *entry) {
	ids := make([]string, len(e.zone.entries))
	for i, other := range e.zone.entries {
		ids[i] = other.id
	}
	e.members.Set(ids, ids, w.time())
	sizes := make(map[string]int, len(e.zone.listing))
	for _, s := range e.zone.listing {
		sizes[s.ID] = serverSlots
	}
	e.holder.SetServers(sizes, w.time())
}

func (w *world) demand(e *entry) {
	sentAt := w.time()
	wanted := e.sharing.need.Update(e.queue.InFlight()+e.queue.Waiting(), e.table.Takers(nil))
	for _, demand := range e.holder.Demands(sentAt, func(id string) (int, int) { return e.table.InFlight(id), wanted }) {
		for _, owner := range e.zone.entries {
			if owner.id != demand.Owner {
				continue
			}
			w.after(withinZone, func() {
				grants, serial := owner.owner.Demand(e.id, demand.Echo, demand.Wants, w.time())
				w.after(withinZone, func() {
					e.holder.Granted(demand.Owner, serial, grants, sentAt)
					w.serve(e)
				})
			})
		}
	}
}

// queueDelay sheds by the controlled-delay rule (CoDel, Nichols and Jacobson
// 2012): when the wait has stayed above a target for an interval, requests are
// shed at a rising rate until it falls below.
type queueDelay struct {
	aboveSince time.Duration
	above      bool
	nextShed   time.Duration
	count      int
}

const (
	delayTarget   = 50 * time.Millisecond
	delayInterval = 200 * time.Millisecond
)

func (q *queueDelay) sheds(waited, now time.Duration) bool {
	if waited < delayTarget {
		*q = queueDelay{}
		return false
	}
	if !q.above {
		q.above, q.aboveSince, q.nextShed = true, now, now+delayInterval
		return false
	}
	if now < q.nextShed {
		return false
	}
	q.count++
	q.nextShed += time.Duration(float64(delayInterval) / float64(q.count))
	return true
}
