package slots

import (
	"slices"
	"time"
)

// Want is the demand of one instance on one backend server.
type Want struct {
	BackendServer string
	// Slots is the size of the backend server.
	Slots int
	// InFlight is what the instance uses now.
	InFlight int
	// Wanted is how many it wants in all.
	Wanted int
	// Lend lets the owner count on the share of the instance.
	Lend bool
}

// Grant lets an instance use slots of a backend server for a while.
type Grant struct {
	BackendServer string
	Slots         int
	Validity      time.Duration
}

// Owner grants the slots of the backend servers that other instances ask it
// for. It needs not know whether it is the owner: it grants what was lent to it.
type Owner struct {
	members *Members
	// readyAt is when grants of an earlier process of the same id have lapsed.
	readyAt time.Time
	serial  uint64
	callers map[string]*caller
	servers map[string]map[string]*hold
}

// caller is what the owner remembers of one instance.
type caller struct {
	serial uint64
	sentAt time.Time
}

// hold is what one instance lent, wants and was granted of one backend server.
type hold struct {
	// loanEnds is when the loan of the instance's share ends.
	loanEnds time.Time
	inFlight int
	wanted   int
	// granted is the last grant; grantEnds is when the instance has let it lapse.
	granted   int
	grantEnds time.Time
	// earlier is the largest grant before, which the instance goes by until it
	// shows that it has received the last one.
	earlier     int
	earlierEnds time.Time
}

// NewOwner returns an owner that grants nothing before GrantValidity has
// passed. Serial must differ from that of every earlier process of the same id
// by more than the number of answers; the incarnation shifted left does.
func NewOwner(members *Members, serial uint64, now time.Time) *Owner {
	return &Owner{
		members: members, readyAt: now.Add(GrantValidity + LoanMargin), serial: serial,
		callers: make(map[string]*caller), servers: make(map[string]map[string]*hold),
	}
}

// Demand takes in the demand of an instance and returns its grants and the
// serial to echo. The echo shows which answer the instance has received, and so
// how old the demand can be at most: a loan counts from when that answer left.
func (o *Owner) Demand(from string, echo uint64, wants []Want, now time.Time) ([]Grant, uint64) {
	link, ok := o.callers[from]
	if !ok {
		link = &caller{}
		o.callers[from] = link
	}
	confirmed := link.serial != 0 && echo == link.serial
	loanEnds := time.Time{}
	if confirmed {
		loanEnds = link.sentAt.Add(LoanLength - LoanMargin)
	}
	grants := make([]Grant, 0, len(wants))
	for _, want := range wants {
		own := o.holdOf(want.BackendServer, from)
		own.confirm(confirmed)
		own.inFlight = want.InFlight
		own.wanted = min(want.Wanted, MaxPerInstance)
		if want.Lend && loanEnds.After(own.loanEnds) {
			own.loanEnds = loanEnds
		}
		grants = append(grants, o.grant(from, own, want, now))
	}
	o.serial++
	link.serial, link.sentAt = o.serial, now
	return grants, o.serial
}

func (o *Owner) holdOf(server, instance string) *hold {
	holds, ok := o.servers[server]
	if !ok {
		holds = make(map[string]*hold)
		o.servers[server] = holds
	}
	own, ok := holds[instance]
	if !ok {
		own = &hold{}
		holds[instance] = own
	}
	return own
}

// confirm moves the last grant to the earlier ones. If the instance has received
// it, it has replaced what was granted before.
func (h *hold) confirm(received bool) {
	if received {
		h.earlier, h.earlierEnds = h.granted, h.grantEnds
		return
	}
	h.earlier = max(h.earlier, h.granted)
	if h.grantEnds.After(h.earlierEnds) {
		h.earlierEnds = h.grantEnds
	}
}

func (o *Owner) grant(from string, own *hold, want Want, now time.Time) Grant {
	own.granted, own.grantEnds = 0, now.Add(GrantValidity)
	if !now.Before(o.readyAt) {
		budget, free := o.budget(want.BackendServer, from, want.Slots, now)
		own.granted = max(0, min(o.target(want.BackendServer, from, budget, now), free))
	}
	return Grant{BackendServer: want.BackendServer, Slots: own.granted, Validity: GrantValidity}
}

// budget returns the sum of the shares that are lent for at least the life of a
// grant, and what of it no other instance holds.
func (o *Owner) budget(server, from string, slots int, now time.Time) (budget, free int) {
	held := 0
	for id, other := range o.servers[server] {
		if !other.loanEnds.Before(now.Add(GrantValidity)) {
			budget += o.members.Share(id, server, slots, now)
		}
		if id != from {
			held += other.outstanding(now)
		}
	}
	return budget, budget - held
}

// outstanding is what the instance may be using now.
func (h *hold) outstanding(now time.Time) int {
	using := 0
	if !now.After(h.loanEnds) || !now.After(h.grantEnds) {
		using = h.inFlight
	}
	if !now.After(h.grantEnds) {
		using = max(using, h.granted)
	}
	if !now.After(h.earlierEnds) {
		using = max(using, h.earlier)
	}
	return using
}

// target divides budget max-min fairly by demand, then spreads the rest evenly
// so that an idle instance can dispatch without asking first.
func (o *Owner) target(server, from string, budget int, now time.Time) int {
	holds := o.servers[server]
	ids := make([]string, 0, len(holds))
	for id, h := range holds {
		if id == from || now.Before(h.grantEnds) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	first := turned(0, len(ids), server)
	ids = append(ids[first:], ids[:first]...)
	given := make([]int, len(ids))
	budget = spread(budget, given, func(i int) int { return holds[ids[i]].wanted })
	spread(budget, given, func(int) int { return MaxPerInstance })
	return given[slices.Index(ids, from)]
}

// spread gives out budget one by one in turns, up to the limit of each, and
// returns what is left.
func spread(budget int, given []int, limit func(i int) int) int {
	for progress := true; progress && budget > 0; {
		progress = false
		for i := range given {
			if budget > 0 && given[i] < limit(i) {
				given[i]++
				budget--
				progress = true
			}
		}
	}
	return budget
}

// Forget drops what is known of backend servers that are gone and of instances
// whose loans and grants have ended.
func (o *Owner) Forget(now time.Time) {
	for server, holds := range o.servers {
		for id, h := range holds {
			if now.After(h.loanEnds) && now.After(h.grantEnds) {
				delete(holds, id)
			}
		}
		if len(holds) == 0 {
			delete(o.servers, server)
		}
	}
}
