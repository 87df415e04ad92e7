package placement

import (
	"slices"
)

// This file is the way that was weighed against packing the guarantees anew for
// each decision: every guaranteed shape is bound to fixed accelerators, as if
// its account owned them (the simplest form of the cells of HiveD, OSDI 2020).
// It is reached by Off.Repack only. See docs/design/001-reclaim-safe-placement.md.

// packFixed packs the shapes into the empty zone and takes off what the
// accounts' own fixed gangs hold of them.
func (z *zone) packFixed(h *holdings, claims []claim) packing {
	p := z.pack(newHoldings(z, len(h.own)), claims)
	for account, own := range h.own {
		for w, n := range own {
			covered := takeFrom(p.cells[account], w, n)
			p.outside[account] += n - covered
		}
	}
	return p
}

// fixBeside enters parts that lie beside every fixed shape.
func (d *decider) fixBeside(account int, parts []part, perTask int) bool {
	if slices.ContainsFunc(parts, func(p part) bool {
		beside := d.z.capacity[p.worker] - d.held.total[p.worker]
		for _, cells := range d.packed.cells {
			beside -= cells[p.worker]
		}
		return beside < p.tasks*perTask
	}) {
		return false
	}
	d.held.add(account, parts, perTask)
	d.packed.outside[account] += tasksOf(parts) * perTask
	return true
}
