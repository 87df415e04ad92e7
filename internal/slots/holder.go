package slots

import (
	"time"
)

// Holder knows how many slots of each backend server this instance may use.
type Holder struct {
	self    string
	members *Members
	servers map[string]*holding
	owners  map[string]*ownerLink
}

// holding is the state of one backend server.
type holding struct {
	slots   int
	granted int
	// validUntil is when the grant lapses.
	validUntil time.Time
	// grantedBy is the owner that answered last.
	grantedBy string
	// lentTo is the owner that may still count on the share, until lentUntil.
	lentTo    string
	lentUntil time.Time
}

// ownerLink is the state of the conversation with one owner.
type ownerLink struct {
	serial   uint64
	lastSent time.Time
	// answeredAt is when the last answered demand was sent.
	answeredAt time.Time
}

// Demand is what to send to one owner now.
type Demand struct {
	Owner string
	Echo  uint64
	Wants []Want
}

// NewHolder returns a holder that holds nothing yet.
func NewHolder(self string, members *Members) *Holder {
	return &Holder{
		self: self, members: members,
		servers: make(map[string]*holding), owners: make(map[string]*ownerLink),
	}
}

// SetServers replaces the backend servers, given as sizes by id. What was lent
// or granted of a backend server that comes back is forgotten only once it has
// lapsed.
func (h *Holder) SetServers(sizes map[string]int, now time.Time) {
	for id, slots := range sizes {
		held, ok := h.servers[id]
		if !ok {
			held = &holding{}
			h.servers[id] = held
		}
		held.slots = slots
	}
	for id, held := range h.servers {
		if _, ok := sizes[id]; ok {
			continue
		}
		held.slots = 0
		if now.After(held.lentUntil) {
			delete(h.servers, id)
		}
	}
}

// Usable returns how many slots of the backend server may be in use now: what is
// granted, and the instance's own share unless an owner may count on it.
func (h *Holder) Usable(server string, now time.Time) int {
	held, ok := h.servers[server]
	if !ok {
		return 0
	}
	usable := 0
	if now.Before(held.validUntil) {
		usable = held.granted
	}
	if !now.Before(held.lentUntil) {
		usable += h.members.Share(h.self, server, held.slots, now)
	}
	return min(usable, held.slots, MaxPerInstance)
}

// Demands returns what to send to each owner now, and records what is lent from
// now on. Want gives the use and the need of a backend server.
func (h *Holder) Demands(now time.Time, want func(server string) (inFlight, wanted int)) []Demand {
	byOwner := make(map[string][]Want)
	for _, id := range sortedKeys(h.servers) {
		held := h.servers[id]
		owner := h.members.OwnerOf(id)
		if owner == "" || held.slots == 0 {
			continue
		}
		lend := h.mayLend(held, owner, now)
		if lend {
			held.lentTo, held.lentUntil = owner, now.Add(LoanLength)
		}
		inFlight, wanted := want(id)
		byOwner[owner] = append(byOwner[owner], Want{
			BackendServer: id, Slots: held.slots, InFlight: inFlight, Wanted: wanted, Lend: lend,
		})
	}
	demands := make([]Demand, 0, len(byOwner))
	for _, owner := range sortedKeys(byOwner) {
		link := h.link(owner)
		link.lastSent = now
		demands = append(demands, Demand{Owner: owner, Echo: link.serial, Wants: byOwner[owner]})
	}
	return demands
}

// mayLend says whether the share may be lent to owner: no other owner counts on
// it, and this one answers.
func (h *Holder) mayLend(held *holding, owner string, now time.Time) bool {
	link := h.link(owner)
	if link.serial == 0 || now.Sub(link.answeredAt) > SilenceLimit {
		return false
	}
	return held.lentTo == owner || !now.Before(held.lentUntil)
}

func (h *Holder) link(owner string) *ownerLink {
	link, ok := h.owners[owner]
	if !ok {
		link = &ownerLink{}
		h.owners[owner] = link
	}
	return link
}

// Granted takes in an owner's answer to the demand that was sent at sentAt.
// Answers to older demands change nothing.
func (h *Holder) Granted(owner string, serial uint64, grants []Grant, sentAt time.Time) {
	link := h.link(owner)
	if sentAt.Before(link.lastSent) {
		return
	}
	link.serial, link.answeredAt = serial, sentAt
	for _, grant := range grants {
		held, ok := h.servers[grant.BackendServer]
		if !ok || h.otherGrantValid(held, owner, sentAt) {
			continue
		}
		held.granted, held.grantedBy = grant.Slots, owner
		held.validUntil = sentAt.Add(min(grant.Validity, GrantValidity))
	}
}

// otherGrantValid keeps a grant of a former owner while it is worth more than
// nothing: the new owner may have nothing to give yet.
func (h *Holder) otherGrantValid(held *holding, owner string, now time.Time) bool {
	return held.grantedBy != owner && held.granted > 0 && now.Before(held.validUntil)
}
