package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// A victim may free several slots at once. The plans of victims.go add one slot at a time, so they
// miss capacity that only larger work could free; most of it ends by itself before urgent work is
// late, and stopping it at once costs more than it gains. A step inside a guarantee that has waited
// until its reclaim bound comes near gets a plan of whole blocks of slots.

// block is a part of the offers of a worker that is accepted as a whole. The blocks of a worker are
// accepted in their order.
type block struct {
	// from is the offer of the blocks before it, to that with it.
	from, to offer
}

func (b block) slots() int64 { return b.to.slots - b.from.slots }

// cost returns the work lost for the block.
func (b block) cost() float64 { return b.to.totalCost() - b.from.totalCost() }

func (b block) costPerSlot() float64 { return b.cost() / float64(b.slots()) }

// totalCost returns the work lost for all slots of an offer.
func (o offer) totalCost() float64 { return o.cost * float64(o.slots) }

// blockPlanOn returns the offers that make the step fit, in whole blocks, and their cost, or nil if
// none do.
func (c *Core) blockPlanOn(u *pendingStep, workers []*workerCapacity) ([]offer, float64) {
	var blocks []block
	for _, r := range workers {
		blocks = append(blocks, blocksOf(c.offers(u, r))...)
	}
	slices.SortStableFunc(blocks, func(a, b block) int {
		return cmp.Or(
			c.crashOrder(u, a.to.capacity, b.to.capacity),
			boolOrder(a.to.stopsLimited())-boolOrder(b.to.stopsLimited()),
			cmp.Compare(a.costPerSlot(), b.costPerSlot()),
			cmp.Compare(a.to.capacity.position, b.to.capacity.position),
		)
	})
	plan := slices.Collect(maps.Values(cheapestBlocks(blocks, int64(len(u.tasks)), c.newStoppedTasks())))
	slices.SortFunc(plan, func(a, b offer) int { return cmp.Compare(a.capacity.position, b.capacity.position) })
	cost := 0.0
	for _, o := range plan {
		cost += o.totalCost()
	}
	return plan, cost
}

// cheapestBlocks returns the offers to accept for a number of slots, or nil if there are too few. It
// takes the blocks in their order, but for those whose victims can't be spared. One that adds more slots than are left is taken only if that
// costs less than filling the rest with later ones.
func cheapestBlocks(blocks []block, slots int64, stopped stoppedTasks) map[*workerCapacity]offer {
	accepted := make(map[*workerCapacity]offer)
	left, cost := slots, 0.0
	var best map[*workerCapacity]offer
	bestCost := math.Inf(1)
	for _, b := range blocks {
		r := b.to.capacity
		if left == 0 {
			break
		}
		if accepted[r].slots != b.from.slots {
			continue // a block before it was too large
		}
		added := b.cost()
		victims := b.to.victims[len(b.from.victims):]
		if !stopped.take(victims) {
			continue
		}
		if b.slots() <= left {
			accepted[r] = b.to
			left -= b.slots()
			cost += added
			continue
		}
		stopped.drop(victims)
		if cost+added < bestCost {
			best, bestCost = maps.Clone(accepted), cost+added
			o := b.to
			o.slots = b.from.slots + left
			o.cost = b.to.totalCost() / float64(o.slots)
			best[r] = o
		}
	}
	if left == 0 && cost <= bestCost {
		return accepted
	}
	return best
}

// blocksOf groups the offers of a worker so that each block costs at least as much per slot as the
// one before it.
func blocksOf(offers []offer) []block {
	var blocks []block
	previous := offer{}
	for _, o := range offers {
		b := block{previous, o}
		for len(blocks) > 0 && b.costPerSlot() <= blocks[len(blocks)-1].costPerSlot() {
			b.from = blocks[len(blocks)-1].from
			blocks = blocks[:len(blocks)-1]
		}
		blocks = append(blocks, b)
		previous = o
	}
	return blocks
}
