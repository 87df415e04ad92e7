package placement

import (
	"slices"
)

// Search for a packing in zones whose guarantees leave hardly any slack. Without it,
// guarantees that do pack, but in none of the tried orders, would be reported as at
// risk. It is a depth-first search over the candidate placements of each guarantee and
// runs only after every order has failed.

// searchBudget bounds the steps of a search. Random zones without slack of up to 12
// workers pack within it. A zone of 640 workers spends a few milliseconds on it, and
// only while a guarantee is at risk.
const searchBudget = 400

// search packs the guarantees and reports whether it succeeded before the budget of
// steps was spent.
func (k *packer) search(guarantees []guarantee, budget *int) bool {
	if len(guarantees) == 0 {
		return true
	}
	g := guarantees[0]
	free, uncoveredTotal := slices.Clone(k.free), k.uncoveredTotal[g.account]
	uncovered, cells, partlyUsed := slices.Clone(k.uncovered[g.account]), slices.Clone(k.cells[g.account]), slices.Clone(k.partlyUsedCells[g.account])
	for _, parts := range k.candidates(g) {
		if *budget == 0 {
			return false
		}
		*budget--
		k.assignCovering(g, parts)
		if k.search(guarantees[1:], budget) {
			return true
		}
		copy(k.free, free)
		copy(k.uncovered[g.account], uncovered)
		copy(k.cells[g.account], cells)
		copy(k.partlyUsedCells[g.account], partlyUsed)
		k.uncoveredTotal[g.account] = uncoveredTotal
	}
	return false
}

// candidates lists the placements of a guarantee that search tries, the most promising
// first.
func (k *packer) candidates(g guarantee) [][]part {
	uncovered := k.uncovered[g.account]
	usable := sumVectors(k.free, uncovered)
	var candidates [][]part
	addCandidate := func(parts []part) {
		if countTasks(parts) == g.shape.Tasks {
			candidates = append(candidates, parts)
		}
	}
	addCandidate(k.zone.fitAround(usable, uncovered, g.shape))
	addCandidate(k.zone.fit(usable, nil, g.shape))
	if g.shape.Tasks == 1 {
		for w := range usable {
			if usable[w] >= g.shape.AcceleratorsPerTask && !sameAsPrevious(usable, uncovered, w) {
				addCandidate([]part{{worker: w, tasks: 1}})
			}
		}
		return candidates
	}
	for _, r := range k.zone.racks {
		if slots, _ := k.zone.countSlots(r, usable, g.shape.AcceleratorsPerTask); slots >= g.shape.Tasks {
			addCandidate(k.zone.fill(nil, r, usable, uncovered, g.shape, g.shape.Tasks))
			addCandidate(k.zone.fill(nil, r, usable, nil, g.shape, g.shape.Tasks))
			addCandidate(k.zone.fill(nil, r, usable, usable, g.shape, g.shape.Tasks))
		}
	}
	return candidates
}

// sameAsPrevious reports whether a worker has the same usable and uncovered
// accelerators as the worker before it.
func sameAsPrevious(usable, uncovered []int, worker int) bool {
	return worker > 0 && usable[worker] == usable[worker-1] && uncovered[worker] == uncovered[worker-1]
}
