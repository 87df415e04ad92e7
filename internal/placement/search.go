package placement

import (
	"slices"
)

// This file answers zones whose guarantees leave hardly any slack. Without it
// an order of claims that fails is taken for shapes that do not pack, and an
// account's guarantee is reported at risk that could be given. It is a
// depth-first search over the places of each claim, run only after every order
// has failed.

// searchBudget bounds the steps of a search. Random zones without slack of up
// to 12 workers pack within it; a zone of 640 workers spends a few milliseconds
// on it, and only while a guarantee is at risk.
const searchBudget = 400

// search packs the claims. It gives up when the budget of steps is spent.
func (k *packer) search(claims []claim, budget *int) bool {
	if len(claims) == 0 {
		return true
	}
	c := claims[0]
	open, left := slices.Clone(k.open), k.left[c.account]
	own, cells, begun := slices.Clone(k.own[c.account]), slices.Clone(k.cells[c.account]), slices.Clone(k.begun[c.account])
	for _, parts := range k.options(c) {
		if *budget == 0 {
			return false
		}
		*budget--
		k.take(c, parts)
		if k.search(claims[1:], budget) {
			return true
		}
		copy(k.open, open)
		copy(k.own[c.account], own)
		copy(k.cells[c.account], cells)
		copy(k.begun[c.account], begun)
		k.left[c.account] = left
	}
	return false
}

// options lists the places of a claim that search tries, the likeliest first.
func (k *packer) options(c claim) [][]part {
	own := k.own[c.account]
	usable := sumOf(k.open, own)
	var options [][]part
	propose := func(parts []part) {
		if tasksOf(parts) == c.shape.Tasks {
			options = append(options, parts)
		}
	}
	propose(k.z.fitAround(usable, own, c.shape))
	propose(k.z.fit(usable, nil, c.shape))
	if c.shape.Tasks == 1 {
		for w := range usable {
			if usable[w] >= c.shape.AcceleratorsPerTask && !sameAsBefore(usable, own, w) {
				propose([]part{{worker: w, tasks: 1}})
			}
		}
		return options
	}
	for _, r := range k.z.racks {
		if slots, _ := k.z.slotsBegun(r, usable, c.shape.AcceleratorsPerTask); slots >= c.shape.Tasks {
			propose(k.z.fill(nil, r, usable, own, c.shape, c.shape.Tasks))
			propose(k.z.fill(nil, r, usable, nil, c.shape, c.shape.Tasks))
			propose(k.z.fill(nil, r, usable, usable, c.shape, c.shape.Tasks))
		}
	}
	return options
}

// sameAsBefore reports whether a worker offers what the one before it offers.
func sameAsBefore(usable, own []int, worker int) bool {
	return worker > 0 && usable[worker] == usable[worker-1] && own[worker] == own[worker-1]
}
