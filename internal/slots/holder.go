package slots

import (
	"time"
)

// Holder tracks how many slots of each backend server this instance may use.
type Holder struct {
	self    string
	members *Members
	servers map[string]*serverState
	owners  map[string]*ownerState
}

// serverState is the holder's state of one backend server.
type serverState struct {
	slots   int
	granted int
	// validUntil is the time at which the grant expires.
	validUntil time.Time
	// grantedBy is the owner that issued the grant.
	grantedBy string
	// lentTo is the owner that may use the share until lentUntil.
	lentTo    string
	lentUntil time.Time
}

// ownerState is the state of the exchange of demands and answers with one owner.
type ownerState struct {
	// serial identifies the last answer received.
	serial uint64
	// lastSent is the time at which the last demand was sent.
	lastSent time.Time
	// answeredAt is the time at which the last answered demand was sent.
	answeredAt time.Time
}

// Demand is a message to one owner.
type Demand struct {
	Owner string
	// Echo is the serial of the last answer received from the owner.
	Echo  uint64
	Wants []Want
}

// NewHolder returns a holder for the instance self, without slots.
func NewHolder(self string, members *Members) *Holder {
	return &Holder{
		self: self, members: members,
		servers: make(map[string]*serverState), owners: make(map[string]*ownerState),
	}
}

// SetServers replaces the backend servers. slotCounts holds their slots by id. The
// state of a removed backend server is kept until its loan has expired, so that
// it still applies if the backend server returns before.
func (h *Holder) SetServers(slotCounts map[string]int, now time.Time) {
	for id, slots := range slotCounts {
		server, ok := h.servers[id]
		if !ok {
			server = &serverState{}
			h.servers[id] = server
		}
		server.slots = slots
	}
	for id, server := range h.servers {
		if _, ok := slotCounts[id]; ok {
			continue
		}
		server.slots = 0
		if now.After(server.lentUntil) {
			delete(h.servers, id)
		}
	}
}

// Usable returns how many slots of the backend server this instance may use now:
// those granted, plus its own share unless that is lent to an owner.
func (h *Holder) Usable(id string, now time.Time) int {
	server, ok := h.servers[id]
	if !ok {
		return 0
	}
	usable := 0
	if now.Before(server.validUntil) {
		usable = server.granted
	}
	if !now.Before(server.lentUntil) {
		usable += h.members.Share(h.self, id, server.slots, now)
	}
	return min(usable, server.slots, MaxPerInstance)
}

// Demands returns the demand to send to each owner now, and records the loans
// that start with it. The function want returns the slots of a backend server
// that are in use and those that are wanted.
func (h *Holder) Demands(now time.Time, want func(server string) (inFlight, wanted int)) []Demand {
	byOwner := make(map[string][]Want)
	for _, id := range sortedKeys(h.servers) {
		server := h.servers[id]
		owner := h.members.OwnerOf(id)
		if owner == "" || server.slots == 0 {
			continue
		}
		lend := h.canLend(server, owner, now)
		if lend {
			server.lentTo, server.lentUntil = owner, now.Add(LoanDuration)
		}
		inFlight, wanted := want(id)
		byOwner[owner] = append(byOwner[owner], Want{
			BackendServer: id, Slots: server.slots, InFlight: inFlight, Wanted: wanted, Lend: lend,
		})
	}
	demands := make([]Demand, 0, len(byOwner))
	for _, owner := range sortedKeys(byOwner) {
		state := h.ownerState(owner)
		state.lastSent = now
		demands = append(demands, Demand{Owner: owner, Echo: state.serial, Wants: byOwner[owner]})
	}
	return demands
}

// canLend reports whether the share may be lent to owner: it is not lent to
// another owner, and this one answers demands.
func (h *Holder) canLend(server *serverState, owner string, now time.Time) bool {
	state := h.ownerState(owner)
	if state.serial == 0 || now.Sub(state.answeredAt) > OwnerTimeout {
		return false
	}
	return server.lentTo == owner || !now.Before(server.lentUntil)
}

func (h *Holder) ownerState(owner string) *ownerState {
	state, ok := h.owners[owner]
	if !ok {
		state = &ownerState{}
		h.owners[owner] = state
	}
	return state
}

// ApplyGrants applies an owner's answer to the demand that was sent at sentAt.
// Answers to demands other than the last one are ignored.
func (h *Holder) ApplyGrants(owner string, serial uint64, grants []Grant, sentAt time.Time) {
	state := h.ownerState(owner)
	if sentAt.Before(state.lastSent) {
		return
	}
	state.serial, state.answeredAt = serial, sentAt
	for _, grant := range grants {
		server, ok := h.servers[grant.BackendServer]
		if !ok || h.hasOtherGrant(server, owner, sentAt) {
			continue
		}
		server.granted, server.grantedBy = grant.Slots, owner
		server.validUntil = sentAt.Add(min(grant.Validity, GrantValidity))
	}
}

// hasOtherGrant reports whether a previous owner's grant of at least one slot is
// valid at the given time. Such a grant is kept, because a new owner may have no slots to
// grant yet.
func (h *Holder) hasOtherGrant(server *serverState, owner string, at time.Time) bool {
	return server.grantedBy != owner && server.granted > 0 && at.Before(server.validUntil)
}
