package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

// Protection of guaranteed shapes. Accounts may leave their guarantee idle and claim
// it after others have borrowed everything. Without protection such a claim finds its
// shape fragmented by gangs that may not be stopped. There is one rule: the guaranteed
// shapes of all accounts must pack, without overlap, into the accelerators that no
// fixed gang of another account holds. Borrowing gangs do not count, because they can
// be stopped. An account's own fixed gangs lie inside its own shapes.

// maxPackOrders bounds the number of orders in which packing is tried. After an order
// fails, packing is retried with the guarantees of the account whose shape failed in
// front. The limit of four equals the number of accounts: each may have to come first
// once.
const maxPackOrders = 4

// guarantee is one guaranteed shape of the account with the given index.
type guarantee struct {
	account int
	shape   api.Shape
}

// holdings are the accelerators held by fixed gangs.
type holdings struct {
	// total is indexed by worker, byAccount by account and worker.
	total     []int
	byAccount [][]int
}

// packing is the result of fitting the guaranteed shapes of a zone around the
// holdings.
type packing struct {
	// missing counts, by account, the shapes that do not fit.
	missing []int
	// outside counts, by account, the accelerators of its fixed gangs that lie in none
	// of its shapes.
	outside []int
	// cells are the accelerators, by account and worker, that belong to the account's
	// shapes and are not held by its own fixed gangs.
	cells [][]int
	// partlyUsedCells is the part of cells that belongs to shapes partly held by the
	// account's own fixed gangs.
	partlyUsedCells [][]int
	// failed is the first shape that does not fit.
	failed *guarantee
}

// guaranteesOf lists every guaranteed shape of a zone, the hardest to pack first.
func guaranteesOf(zoneName string, accounts []model.ClientAccount) []guarantee {
	var guarantees []guarantee
	for i, account := range accounts {
		for _, shape := range account.Guarantees[zoneName] {
			for range shape.Count {
				guarantees = append(guarantees, guarantee{account: i, shape: shape.Shape})
			}
		}
	}
	slices.SortStableFunc(guarantees, func(a, b guarantee) int { return compareDifficulty(a.shape, b.shape) })
	return guarantees
}

// compareDifficulty orders shapes by rack constraint, then by accelerators per task,
// then by number of tasks, the hardest to pack first. A single task always lies in one
// rack, so the rack constraint does not count for it.
func compareDifficulty(a, b api.Shape) int {
	aBound, bBound := a.SameRack && a.Tasks > 1, b.SameRack && b.Tasks > 1
	if aBound != bBound {
		if aBound {
			return -1
		}
		return 1
	}
	if a.AcceleratorsPerTask != b.AcceleratorsPerTask {
		return cmp.Compare(b.AcceleratorsPerTask, a.AcceleratorsPerTask)
	}
	return cmp.Compare(b.Tasks, a.Tasks)
}

func newHoldings(z *zone, accounts int) *holdings {
	h := &holdings{total: z.zeroVector(), byAccount: make([][]int, accounts)}
	for i := range h.byAccount {
		h.byAccount[i] = z.zeroVector()
	}
	return h
}

// add adds the parts of a gang. A negative perTask subtracts them.
func (h *holdings) add(account int, parts []part, perTask int) {
	addParts(h.total, parts, perTask)
	if account >= 0 {
		addParts(h.byAccount[account], parts, perTask)
	}
}

// pack fits all guarantees around the holdings. If neither an order nor the search
// succeeds, it returns the packing of the order that misses the fewest shapes.
func (z *zone) pack(h *holdings, guarantees []guarantee) packing {
	best := z.packInOrder(h, guarantees)
	order := guarantees
	for attempt := 1; attempt < maxPackOrders && best.failed != nil; attempt++ {
		order = toFront(order, *best.failed)
		next := z.packInOrder(h, order)
		if totalOf(next.missing) >= totalOf(best.missing) {
			break
		}
		best = next
	}
	if best.failed == nil {
		return best
	}
	k := newPacker(z, h)
	budget := searchBudget
	if k.search(guarantees, &budget) {
		return k.result()
	}
	return best
}

// packInOrder packs the guarantees in the given order.
func (z *zone) packInOrder(h *holdings, guarantees []guarantee) packing {
	k := newPacker(z, h)
	for _, g := range k.coverAll(guarantees) {
		if parts := z.fit(k.free, nil, g.shape); parts != nil {
			k.assign(g, parts, 1)
			continue
		}
		k.missing[g.account]++
		if k.failed == nil {
			k.failed = &g
		}
	}
	return k.result()
}

// packer is the state of one packing attempt.
type packer struct {
	packing
	zone *zone
	// free is held by no gang. uncovered is held by fixed gangs and not yet covered by
	// shapes of their account; uncoveredTotal is its sum by account.
	free           []int
	uncovered      [][]int
	uncoveredTotal []int
}

func newPacker(z *zone, h *holdings) *packer {
	accounts := len(h.byAccount)
	k := &packer{zone: z, free: z.zeroVector(), uncovered: make([][]int, accounts), uncoveredTotal: make([]int, accounts)}
	k.missing = make([]int, accounts)
	k.cells, k.partlyUsedCells = make([][]int, accounts), make([][]int, accounts)
	for w := range k.free {
		k.free[w] = max(0, z.capacity[w]-h.total[w])
	}
	for i := range h.byAccount {
		k.uncovered[i] = append([]int(nil), h.byAccount[i]...)
		k.uncoveredTotal[i] = totalOf(h.byAccount[i])
		k.cells[i], k.partlyUsedCells[i] = z.zeroVector(), z.zeroVector()
	}
	return k
}

func (k *packer) result() packing {
	k.outside = k.uncoveredTotal
	return k.packing
}

// coverAll places guarantees over what their accounts already hold, so that fixed
// gangs lie inside the shapes of their account. It returns the guarantees, or parts of
// them, that remain to be packed.
func (k *packer) coverAll(guarantees []guarantee) []guarantee {
	rest := make([]guarantee, 0, len(guarantees))
	for _, g := range guarantees {
		if k.uncoveredTotal[g.account] > 0 {
			g.shape.Tasks -= k.cover(g)
		}
		if g.shape.Tasks > 0 {
			rest = append(rest, g)
		}
	}
	return rest
}

// cover places a guarantee over what its account holds and returns the number of tasks
// placed: all or none if the shape has to lie in one rack, otherwise those tasks that
// overlap with what the account holds.
func (k *packer) cover(g guarantee) int {
	uncovered := k.uncovered[g.account]
	usable := sumVectors(k.free, uncovered)
	var parts []part
	if g.shape.SameRack {
		parts = k.zone.fit(usable, uncovered, g.shape)
	} else {
		filled := filler{usable: usable, perTask: g.shape.AcceleratorsPerTask}
		filled.fillPreferred(rack{first: 0, end: len(usable)}, uncovered, g.shape.Tasks)
		parts = filled.parts
	}
	if !overlaps(parts, uncovered) {
		return 0
	}
	k.assignCovering(g, parts)
	return countTasks(parts)
}

// overlaps reports whether a part lies on a worker whose entry in vector is above
// zero.
func overlaps(parts []part, vector []int) bool {
	return slices.ContainsFunc(parts, func(p part) bool { return vector[p.worker] > 0 })
}

func countTasks(parts []part) int {
	total := 0
	for _, p := range parts {
		total += p.tasks
	}
	return total
}

// assignCovering assigns parts to a guarantee: first what its account already holds
// there, then free accelerators.
func (k *packer) assignCovering(g guarantee, parts []part) {
	uncovered, cells := k.uncovered[g.account], k.cells[g.account]
	partlyUsed := overlaps(parts, uncovered)
	for _, p := range parts {
		need := p.tasks * g.shape.AcceleratorsPerTask
		covered := min(need, uncovered[p.worker])
		uncovered[p.worker] -= covered
		k.uncoveredTotal[g.account] -= covered
		k.free[p.worker] -= need - covered
		cells[p.worker] += need - covered
		if partlyUsed {
			k.partlyUsedCells[g.account][p.worker] += need - covered
		}
	}
}

// assign assigns free accelerators to a guarantee, or returns them if sign is -1.
func (k *packer) assign(g guarantee, parts []part, sign int) {
	addParts(k.free, parts, -sign*g.shape.AcceleratorsPerTask)
	addParts(k.cells[g.account], parts, sign*g.shape.AcceleratorsPerTask)
}

// noWorseThan reports whether no account misses more shapes than in the packing
// before.
func (p *packing) noWorseThan(before *packing) bool {
	for account := range p.missing {
		if p.missing[account] > before.missing[account] {
			return false
		}
	}
	return true
}

// CheckGuarantees returns an error that names the account and shape of the first
// guarantee of a zone that does not pack, together with the others, into the given
// workers when they are empty. If guarantees use workers in part, the accelerators of
// one worker must also be left unguaranteed: without this slack, determining whether
// the guarantees still pack around running gangs is a search for which a decision has
// no time. The health of the workers is ignored.
func CheckGuarantees(zone string, workers []model.Worker, accounts []model.ClientAccount) error {
	z := newZone(workers, true)
	guarantees := guaranteesOf(zone, accounts)
	if p := z.pack(newHoldings(z, len(accounts)), guarantees); p.failed != nil {
		return api.NewError(api.KindConfigInvalid,
			"the guarantees of zone %s do not pack into its %d workers: no room for %s of account %s",
			zone, len(workers), describeShape(p.failed.shape), accounts[p.failed.account].Name)
	}
	slack, largest := totalOf(z.capacity), 0
	for _, n := range z.capacity {
		largest = max(largest, n)
	}
	var partial *guarantee
	for i := range guarantees {
		slack -= guarantees[i].shape.Accelerators()
		if guarantees[i].shape.AcceleratorsPerTask < largest {
			partial = &guarantees[i]
		}
	}
	if partial != nil && slack < largest {
		return api.NewError(api.KindConfigInvalid,
			"the guarantees of zone %s leave %d accelerators to nobody; because %s of account %s use workers in part, %d must be left",
			zone, slack, describeShape(partial.shape), accounts[partial.account].Name, largest)
	}
	return nil
}

// describeShape formats a shape for reasons and error messages.
func describeShape(shape api.Shape) string {
	where := "on any racks"
	if shape.SameRack {
		where = "in one rack"
	}
	return fmt.Sprintf("%d tasks of %d accelerators %s", shape.Tasks, shape.AcceleratorsPerTask, where)
}

// toFront returns the guarantees with those of the account of the failed one moved to
// the front.
func toFront(guarantees []guarantee, failed guarantee) []guarantee {
	order := slices.Clone(guarantees)
	slices.SortStableFunc(order, func(a, b guarantee) int {
		switch first := a.account == failed.account; {
		case first == (b.account == failed.account):
			return 0
		case first:
			return -1
		default:
			return 1
		}
	})
	return order
}

func totalOf(vector []int) int {
	total := 0
	for _, n := range vector {
		total += n
	}
	return total
}
