package slots

import (
	"slices"
	"time"
)

// Want is one instance's demand for slots of one backend server.
type Want struct {
	BackendServer string
	// Slots is the number of slots of the backend server.
	Slots int
	// InFlight is the number of slots that the instance uses now.
	InFlight int
	// Wanted is the total number of slots that it wants.
	Wanted int
	// Lend allows the owner to grant the instance's share to others.
	Lend bool
}

// Grant allows an instance to use slots of a backend server for a limited time.
type Grant struct {
	BackendServer string
	Slots         int
	Validity      time.Duration
}

// Owner grants the slots of backend servers to the instances that demand them.
// It does not check whether it owns a backend server: it only grants shares that
// were lent to it.
type Owner struct {
	members *Members
	// readyAt is the time at which all grants of an earlier process with the
	// same id have expired.
	readyAt   time.Time
	serial    uint64
	instances map[string]*instanceState
	servers   map[string]map[string]*allocation
}

// instanceState holds the serial and the time of the last answer to one instance.
type instanceState struct {
	serial uint64
	sentAt time.Time
}

// allocation is the slots of one backend server that one instance lent, wants
// and was granted.
type allocation struct {
	// loanEnds is the time at which the loan of the instance's share ends.
	loanEnds time.Time
	inFlight int
	wanted   int
	// granted is the last grant. By grantEnds it has expired at the instance.
	granted   int
	grantEnds time.Time
	// earlierGranted is the largest grant before the last one. The instance may
	// still use it until it confirms that it has received the last one.
	earlierGranted   int
	earlierGrantEnds time.Time
}

// NewOwner returns an owner that grants nothing until GrantValidity and LoanMargin
// have passed. The serial must differ from that of every earlier process with the same id by
// more than the number of answers; the incarnation shifted left satisfies this.
func NewOwner(members *Members, serial uint64, now time.Time) *Owner {
	return &Owner{
		members: members, readyAt: now.Add(GrantValidity + LoanMargin), serial: serial,
		instances: make(map[string]*instanceState), servers: make(map[string]map[string]*allocation),
	}
}

// Demand processes the demand of an instance and returns its grants and the
// serial to echo. The echo identifies the last answer that the instance has
// received, which bounds the age of the demand: a loan is counted from the
// sending of that answer.
func (o *Owner) Demand(from string, echo uint64, wants []Want, now time.Time) ([]Grant, uint64) {
	state, ok := o.instances[from]
	if !ok {
		state = &instanceState{}
		o.instances[from] = state
	}
	confirmed := state.serial != 0 && echo == state.serial
	loanEnds := time.Time{}
	if confirmed {
		loanEnds = state.sentAt.Add(LoanDuration - LoanMargin)
	}
	grants := make([]Grant, 0, len(wants))
	for _, want := range wants {
		alloc := o.allocationOf(want.BackendServer, from)
		alloc.confirm(confirmed)
		alloc.inFlight = want.InFlight
		alloc.wanted = min(want.Wanted, MaxPerInstance)
		if want.Lend && loanEnds.After(alloc.loanEnds) {
			alloc.loanEnds = loanEnds
		}
		grants = append(grants, o.grant(from, alloc, want, now))
	}
	o.serial++
	state.serial, state.sentAt = o.serial, now
	return grants, o.serial
}

func (o *Owner) allocationOf(server, instance string) *allocation {
	allocations, ok := o.servers[server]
	if !ok {
		allocations = make(map[string]*allocation)
		o.servers[server] = allocations
	}
	alloc, ok := allocations[instance]
	if !ok {
		alloc = &allocation{}
		allocations[instance] = alloc
	}
	return alloc
}

// confirm adds the last grant to the earlier ones, or replaces them with it if
// the instance has received it.
func (a *allocation) confirm(received bool) {
	if received {
		a.earlierGranted, a.earlierGrantEnds = a.granted, a.grantEnds
		return
	}
	a.earlierGranted = max(a.earlierGranted, a.granted)
	if a.grantEnds.After(a.earlierGrantEnds) {
		a.earlierGrantEnds = a.grantEnds
	}
}

func (o *Owner) grant(from string, alloc *allocation, want Want, now time.Time) Grant {
	alloc.granted, alloc.grantEnds = 0, now.Add(GrantValidity)
	if !now.Before(o.readyAt) {
		budget, free := o.budget(want.BackendServer, from, want.Slots, now)
		alloc.granted = max(0, min(o.target(want.BackendServer, from, budget, now), free))
	}
	return Grant{BackendServer: want.BackendServer, Slots: alloc.granted, Validity: GrantValidity}
}

// budget returns the sum of the shares whose loans last for at least another
// GrantValidity, and the part of it that other instances do not hold.
func (o *Owner) budget(server, from string, slots int, now time.Time) (budget, free int) {
	heldByOthers := 0
	for id, other := range o.servers[server] {
		if !other.loanEnds.Before(now.Add(GrantValidity)) {
			budget += o.members.Share(id, server, slots, now)
		}
		if id != from {
			heldByOthers += other.outstanding(now)
		}
	}
	return budget, budget - heldByOthers
}

// outstanding returns the number of slots that the instance may be using now.
func (a *allocation) outstanding(now time.Time) int {
	inUse := 0
	if !now.After(a.loanEnds) || !now.After(a.grantEnds) {
		inUse = a.inFlight
	}
	if !now.After(a.grantEnds) {
		inUse = max(inUse, a.granted)
	}
	if !now.After(a.earlierGrantEnds) {
		inUse = max(inUse, a.earlierGranted)
	}
	return inUse
}

// target divides budget by demand with max-min fairness, then distributes the
// rest evenly, so that an idle instance can dispatch without a demand first. It
// returns the part for the instance from.
func (o *Owner) target(server, from string, budget int, now time.Time) int {
	allocations := o.servers[server]
	ids := make([]string, 0, len(allocations))
	for id, alloc := range allocations {
		if id == from || now.Before(alloc.grantEnds) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	offset := rotatedRank(0, len(ids), server)
	ids = append(ids[offset:], ids[:offset]...)
	assigned := make([]int, len(ids))
	budget = distribute(budget, assigned, func(i int) int { return allocations[ids[i]].wanted })
	distribute(budget, assigned, func(int) int { return MaxPerInstance })
	return assigned[slices.Index(ids, from)]
}

// distribute assigns budget round-robin, one slot at a time, up to the limit of
// each instance, and returns the rest.
func distribute(budget int, assigned []int, limit func(i int) int) int {
	for progress := true; progress && budget > 0; {
		progress = false
		for i := range assigned {
			if budget > 0 && assigned[i] < limit(i) {
				assigned[i]++
				budget--
				progress = true
			}
		}
	}
	return budget
}

// Forget removes the allocations of instances whose loans and grants have ended,
// and the backend servers without allocations.
func (o *Owner) Forget(now time.Time) {
	for server, allocations := range o.servers {
		for id, alloc := range allocations {
			if now.After(alloc.loanEnds) && now.After(alloc.grantEnds) {
				delete(allocations, id)
			}
		}
		if len(allocations) == 0 {
			delete(o.servers, server)
		}
	}
}
