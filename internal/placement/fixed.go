package placement

import (
	"slices"
)

// The alternative to packing the guarantees again for each decision: every guaranteed
// shape is bound to fixed accelerators, as if its account owned them (the simplest
// form of the cells of HiveD, OSDI 2020). It exists for comparison and is used with
// Disabled.Repack only. See docs/design/001-reclaim-safe-placement.md.

// packFixed packs the shapes into the empty zone and subtracts what the accounts' own
// fixed gangs hold of them.
func (z *zone) packFixed(h *holdings, guarantees []guarantee) packing {
	p := z.pack(newHoldings(z, len(h.byAccount)), guarantees)
	for account, own := range h.byAccount {
		for w, n := range own {
			covered := takeFrom(p.cells[account], w, n)
			p.outside[account] += n - covered
		}
	}
	return p
}

// addFixedOutside adds parts that lie outside every fixed shape to the holdings, and
// reports whether they do.
func (d *decider) addFixedOutside(account int, parts []part, perTask int) bool {
	if slices.ContainsFunc(parts, func(p part) bool {
		unassigned := d.zone.capacity[p.worker] - d.held.total[p.worker]
		for _, cells := range d.packed.cells {
			unassigned -= cells[p.worker]
		}
		return unassigned < p.tasks*perTask
	}) {
		return false
	}
	d.held.add(account, parts, perTask)
	d.packed.outside[account] += countTasks(parts) * perTask
	return true
}
