package dispatch

import (
	"cmp"
	"math"
	"slices"
)

// Stopping one member of a gang loses the work of all of them. Urgent gangs that need whole workers
// on a deployment full of large gangs used to stop one member each of many: a dozen victims lost the
// work of four hundred runs. This file looks for victims that share a gang, because the members of
// one that is lost anyway free their workers at no further cost.

// maxGangPlans is the number of searches in a round: on thousands of workers one takes as long as
// the rest of the round.
const maxGangPlans = 4

// gangPlan is a search for victims that lose as few gangs as possible.
type gangPlan struct {
	core *Core
	step *pendingStep
	// lost holds the gangs that the accepted offers interrupt.
	lost map[*gang]bool
	left int64
	// open are the workers without an accepted offer, best their cheapest ones.
	open []*workerCapacity
	best map[*workerCapacity]offer
	// gangs are those with runs that may be stopped, in the order of their workers, and hosts the
	// workers of each.
	gangs []*gang
	hosts map[*gang][]*workerCapacity
	// victims holds the runs that may be stopped, by worker.
	victims map[*workerCapacity][]*run
}

// gangPlanOn returns the offers that make the step fit at the lowest cost that the search finds, or
// nil if there are none. It is not used for steps whose earlier workers crashed, since those choose
// their workers by other criteria.
func (c *Core) gangPlanOn(u *pendingStep, workers []*workerCapacity) []offer {
	if u.maxCrashes > 0 || c.gangPlans >= maxGangPlans || !c.enabled(MechGangVictims) {
		return nil
	}
	c.gangPlans++
	p := &gangPlan{
		core: c, step: u, lost: make(map[*gang]bool), left: int64(len(u.tasks)),
		best: make(map[*workerCapacity]offer), hosts: make(map[*gang][]*workerCapacity), victims: make(map[*workerCapacity][]*run),
	}
	for _, r := range workers {
		p.reopen(r)
		p.addHost(r)
	}
	var plan []offer
	for p.left > 0 {
		o := p.cheapest()
		if g := p.cheapestGang(o); g != nil {
			p.lose(g)
			continue
		}
		if o.slots == 0 {
			return nil
		}
		plan = append(plan, o)
		p.accept(o)
	}
	slices.SortFunc(plan, func(a, b offer) int { return cmp.Compare(a.capacity.position, b.capacity.position) })
	return plan
}

func (p *gangPlan) victimsOn(r *workerCapacity) []*run {
	list, known := p.victims[r]
	if !known {
		list = slices.DeleteFunc(p.core.victims(p.step, r), func(v *run) bool { return v.task.step.limitsUnavailable() })
		p.victims[r] = list
	}
	return list
}

// addHost records the gangs that a worker hosts.
func (p *gangPlan) addHost(r *workerCapacity) {
	for _, v := range p.victimsOn(r) {
		if v.gang == nil {
			continue
		}
		list := p.hosts[v.gang]
		if list == nil {
			p.gangs = append(p.gangs, v.gang)
		}
		if len(list) == 0 || list[len(list)-1] != r {
			p.hosts[v.gang] = append(list, r)
		}
	}
}

// cheapestGang returns the gang whose loss costs least for each slot that it frees, or nil if
// another offer costs less.
func (p *gangPlan) cheapestGang(o offer) *gang {
	if o.slots > 0 && o.cost == 0 {
		return nil
	}
	var cheapest *gang
	cost := math.Inf(1)
	if o.slots > 0 {
		cost = o.cost
	}
	for _, g := range p.gangs {
		if p.lost[g] {
			continue
		}
		slots, lost := p.freedBy(g)
		if slots > 0 && lost/float64(slots) < cost {
			cheapest, cost = g, lost/float64(slots)
		}
	}
	return cheapest
}

// freedBy returns the slots, of those that are left, that the loss of a gang frees, and its cost.
func (p *gangPlan) freedBy(g *gang) (slots int64, cost float64) {
	for _, r := range p.hosts[g] {
		if _, open := p.best[r]; !open {
			continue
		}
		free := r.freeSoon
		for _, v := range p.victimsOn(r) {
			if v.gang != nil && (v.gang == g || p.lost[v.gang]) {
				free = free.Add(v.need)
			}
			if v.gang == g {
				cost = p.core.workLost(v)
			}
		}
		slots += p.core.slots(p.step, r, free)
	}
	return min(slots, p.left), cost
}

// lose records that a gang is interrupted, and computes the offers anew that get cheaper.
func (p *gangPlan) lose(g *gang) {
	p.lost[g] = true
	for _, r := range p.hosts[g] {
		if _, open := p.best[r]; open {
			p.reopen(r)
		}
	}
}

// reopen computes the cheapest offer of a worker per slot, with the gangs that are lost already.
func (p *gangPlan) reopen(r *workerCapacity) {
	best := offer{cost: math.Inf(1)}
	for _, o := range p.offers(r) {
		if o.cost <= best.cost {
			best = o
		}
	}
	if best.slots == 0 {
		return
	}
	if _, open := p.best[r]; !open {
		p.open = append(p.open, r)
	}
	p.best[r] = best
}

// offers works like Core.offers, for at most the slots that are left. Members of lost gangs come
// first and cost nothing.
func (p *gangPlan) offers(r *workerCapacity) []offer {
	victims := slices.Clone(p.victimsOn(r))
	slices.SortStableFunc(victims, func(a, b *run) int { return cmp.Compare(p.order(a), p.order(b)) })
	lostHere := make(map[*gang]bool)
	free, cost, next := r.freeSoon, 0.0, 0
	var list []offer
	for n := int64(1); n <= min(p.left, p.core.slots(p.step, r, r.Capacity)); n++ {
		for p.core.slots(p.step, r, free) < n && next < len(victims) {
			v := victims[next]
			free = free.Add(v.need)
			if v.gang == nil || !p.lost[v.gang] && !lostHere[v.gang] {
				cost += p.core.workLost(v)
			}
			lostHere[v.gang] = true
			next++
		}
		if p.core.slots(p.step, r, free) < n {
			break
		}
		list = append(list, offer{capacity: r, slots: n, victims: victims[:next], cost: cost / float64(n)})
	}
	return list
}

func (p *gangPlan) order(r *run) int {
	if r.gang != nil && p.lost[r.gang] {
		return 0
	}
	return 1
}

func (p *gangPlan) cheapest() offer {
	var cheapest offer
	for _, r := range p.open {
		if o, open := p.best[r]; open && (cheapest.slots == 0 || o.cost < cheapest.cost) {
			cheapest = o
		}
	}
	return cheapest
}

// accept takes an offer, and computes those anew that it makes cheaper or too large.
func (p *gangPlan) accept(o offer) {
	p.left -= o.slots
	delete(p.best, o.capacity)
	p.open = slices.DeleteFunc(p.open, func(r *workerCapacity) bool { return r == o.capacity })
	for _, v := range o.victims {
		if v.gang != nil && !p.lost[v.gang] {
			p.lose(v.gang)
		}
	}
	for _, r := range p.open {
		if p.best[r].slots > p.left {
			p.reopen(r)
		}
	}
}

// planCost returns the work lost by a plan, counting each gang once, and whether it interrupts one.
func (c *Core) planCost(plan []offer) (cost float64, interrupts bool) {
	lost := make(map[*gang]bool)
	for _, o := range plan {
		for _, v := range o.victims {
			if v.gang != nil && lost[v.gang] {
				continue
			}
			if v.gang != nil {
				lost[v.gang], interrupts = true, true
			}
			cost += c.workLost(v)
		}
	}
	return cost, interrupts
}

// cheaperForGangs returns the better one of a plan and that for the same workers which loses as few
// gangs as possible.
func (c *Core) cheaperForGangs(u *pendingStep, workers []*workerCapacity, plan []offer) []offer {
	cost, interrupts := c.planCost(plan)
	if !interrupts {
		return plan
	}
	other := c.gangPlanOn(u, workers)
	if otherCost, _ := c.planCost(other); other != nil && otherCost < cost {
		return other
	}
	return plan
}
