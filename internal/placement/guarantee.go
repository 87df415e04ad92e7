package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

// This file answers accounts that leave their guarantee idle and later claim it
// while others have borrowed everything. Without it a claim finds its shape cut
// up by gangs that may not be stopped. Its one rule: the guaranteed shapes of
// all accounts must pack, side by side, into the accelerators that no other
// account's fixed gang holds. Gangs that borrow do not count, since they can be
// stopped; an account's own fixed gangs lie inside its own shapes.

// packAttempts bounds the orders in which packing is tried. An order that fails
// is retried with the shape that failed in front. Four equal the number of
// accounts: each may have to go first once.
const packAttempts = 4

// claim is one guaranteed shape of one account, by its index.
type claim struct {
	account int
	shape   api.Shape
}

// holdings is what fixed gangs hold.
type holdings struct {
	// total is by worker, own by account and worker.
	total []int
	own   [][]int
}

// packing says how the guaranteed shapes of a zone fit around the holdings.
type packing struct {
	// missing counts, by account, the shapes that found no room.
	missing []int
	// outside counts, by account, the accelerators of its fixed gangs that lie
	// in none of its shapes.
	outside []int
	// cells are the accelerators, by account and worker, that belong to the
	// account's shapes and are not held by its own fixed gangs.
	cells [][]int
	// begun is the part of cells that belongs to shapes of which the account's
	// own fixed gangs hold something.
	begun [][]int
	// failed is the first shape that found no room.
	failed *claim
}

// claimsOf lists every guaranteed shape of a zone, the hardest to pack first.
func claimsOf(zoneName string, accounts []model.ClientAccount) []claim {
	var claims []claim
	for i, account := range accounts {
		for _, shape := range account.Guarantees[zoneName] {
			for range shape.Count {
				claims = append(claims, claim{account: i, shape: shape.Shape})
			}
		}
	}
	slices.SortStableFunc(claims, func(a, b claim) int { return harder(a.shape, b.shape) })
	return claims
}

// harder orders shapes by rack constraint, size of a task, then size. One task
// lies in one rack in any case.
func harder(a, b api.Shape) int {
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

// newHoldings returns empty holdings.
func newHoldings(z *zone, accounts int) *holdings {
	h := &holdings{total: z.vector(), own: make([][]int, accounts)}
	for i := range h.own {
		h.own[i] = z.vector()
	}
	return h
}

// add adds a gang's parts; a negative perTask takes them away.
func (h *holdings) add(account int, parts []part, perTask int) {
	add(h.total, parts, perTask)
	if account >= 0 {
		add(h.own[account], parts, perTask)
	}
}

// pack fits all claims around the holdings. If no order does, the packing of
// the order that misses the fewest shapes is returned.
func (z *zone) pack(h *holdings, claims []claim) packing {
	best := z.packInOrder(h, claims)
	order := claims
	for attempt := 1; attempt < packAttempts && best.failed != nil; attempt++ {
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
	if k.search(claims, &budget) {
		return k.result()
	}
	return best
}

// packInOrder tries one order of claims.
func (z *zone) packInOrder(h *holdings, claims []claim) packing {
	k := newPacker(z, h)
	for _, c := range k.coverAll(claims) {
		if parts := z.fit(k.open, nil, c.shape); parts != nil {
			k.give(c, parts, 1)
			continue
		}
		k.missing[c.account]++
		if k.failed == nil {
			k.failed = &c
		}
	}
	return k.result()
}

// packer is the state of packing in one order.
type packer struct {
	packing
	z *zone
	// open is held by nobody; own is held by fixed gangs and not covered by
	// their account's shapes yet; left is the sum of own by account.
	open []int
	own  [][]int
	left []int
}

func newPacker(z *zone, h *holdings) *packer {
	accounts := len(h.own)
	k := &packer{z: z, open: z.vector(), own: make([][]int, accounts), left: make([]int, accounts)}
	k.missing = make([]int, accounts)
	k.cells, k.begun = make([][]int, accounts), make([][]int, accounts)
	for w := range k.open {
		k.open[w] = max(0, z.capacity[w]-h.total[w])
	}
	for i := range h.own {
		k.own[i] = append([]int(nil), h.own[i]...)
		k.left[i] = totalOf(h.own[i])
		k.cells[i], k.begun[i] = z.vector(), z.vector()
	}
	return k
}

// result returns the packing.
func (k *packer) result() packing {
	k.outside = k.left
	return k.packing
}

// coverAll lays the claims of accounts that hold something over it, so that
// fixed gangs come to lie inside their account's shapes, and returns what is
// left to pack.
func (k *packer) coverAll(claims []claim) []claim {
	rest := make([]claim, 0, len(claims))
	for _, c := range claims {
		if k.left[c.account] > 0 {
			c.shape.Tasks -= k.cover(c)
		}
		if c.shape.Tasks > 0 {
			rest = append(rest, c)
		}
	}
	return rest
}

// cover lays a claim over what its account holds, and returns the number of
// tasks that found their room so: the whole claim or nothing if it has to lie in
// one rack, else those tasks that touch what the account holds.
func (k *packer) cover(c claim) int {
	own := k.own[c.account]
	usable := sumOf(k.open, own)
	var parts []part
	if c.shape.SameRack {
		parts = k.z.fit(usable, own, c.shape)
	} else {
		around := filling{usable: usable, perTask: c.shape.AcceleratorsPerTask}
		around.cover(rack{first: 0, end: len(usable)}, own, c.shape.Tasks)
		parts = around.parts
	}
	if !touches(parts, own) {
		return 0
	}
	k.take(c, parts)
	return tasksOf(parts)
}

// touches reports whether a part lies on a worker with an entry above zero.
func touches(parts []part, vector []int) bool {
	return slices.ContainsFunc(parts, func(p part) bool { return vector[p.worker] > 0 })
}

func tasksOf(parts []part) int {
	total := 0
	for _, p := range parts {
		total += p.tasks
	}
	return total
}

// take gives a claim its parts: what its account holds there already, then
// what is open.
func (k *packer) take(c claim, parts []part) {
	own, cells := k.own[c.account], k.cells[c.account]
	begun := touches(parts, own)
	for _, p := range parts {
		need := p.tasks * c.shape.AcceleratorsPerTask
		covered := min(need, own[p.worker])
		own[p.worker] -= covered
		k.left[c.account] -= covered
		k.open[p.worker] -= need - covered
		cells[p.worker] += need - covered
		if begun {
			k.begun[c.account][p.worker] += need - covered
		}
	}
}

// give gives a claim parts of what is open, or takes them back with sign -1.
func (k *packer) give(c claim, parts []part, sign int) {
	add(k.open, parts, -sign*c.shape.AcceleratorsPerTask)
	add(k.cells[c.account], parts, sign*c.shape.AcceleratorsPerTask)
}

// keeps reports whether no account misses more shapes than before.
func (p *packing) keeps(before *packing) bool {
	for account := range p.missing {
		if p.missing[account] > before.missing[account] {
			return false
		}
	}
	return true
}

// CheckGuarantees reports, by account and shape, the first guarantee of a zone
// that does not pack with the others into the given workers when they are
// empty. Guarantees that use workers in part must also leave one worker's
// accelerators to nobody: without slack, whether they still pack around running
// gangs is a search that a decision has no time for. The health of the workers
// is not looked at.
func CheckGuarantees(zone string, workers []model.Worker, accounts []model.ClientAccount) error {
	z := newZone(workers, true)
	claims := claimsOf(zone, accounts)
	if p := z.pack(newHoldings(z, len(accounts)), claims); p.failed != nil {
		return api.NewError(api.KindConfigInvalid,
			"the guarantees of zone %s do not pack into its %d workers: no room for %s of account %s",
			zone, len(workers), describe(p.failed.shape), accounts[p.failed.account].Name)
	}
	slack, largest := totalOf(z.capacity), 0
	for _, n := range z.capacity {
		largest = max(largest, n)
	}
	var partial *claim
	for i := range claims {
		slack -= claims[i].shape.Accelerators()
		if claims[i].shape.AcceleratorsPerTask < largest {
			partial = &claims[i]
		}
	}
	if partial != nil && slack < largest {
		return api.NewError(api.KindConfigInvalid,
			"the guarantees of zone %s leave %d accelerators to nobody; because %s of account %s use workers in part, %d must be left",
			zone, slack, describe(partial.shape), accounts[partial.account].Name, largest)
	}
	return nil
}

// describe names a shape for people.
func describe(shape api.Shape) string {
	where := "on any racks"
	if shape.SameRack {
		where = "in one rack"
	}
	return fmt.Sprintf("%d tasks of %d accelerators %s", shape.Tasks, shape.AcceleratorsPerTask, where)
}

// toFront returns the claims with those of one account, the failed one's, in front.
func toFront(claims []claim, failed claim) []claim {
	order := slices.Clone(claims)
	slices.SortStableFunc(order, func(a, b claim) int {
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
