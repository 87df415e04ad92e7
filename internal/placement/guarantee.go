package placement

import (
	"fmt"
	"sort"

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
	sort.SliceStable(claims, func(i, j int) bool { return harder(claims[i].shape, claims[j].shape) })
	return claims
}

// harder orders shapes by rack constraint, size of a task, then size.
func harder(a, b api.Shape) bool {
	if a.SameRack != b.SameRack {
		return a.SameRack
	}
	if a.AcceleratorsPerTask != b.AcceleratorsPerTask {
		return a.AcceleratorsPerTask > b.AcceleratorsPerTask
	}
	return a.Tasks > b.Tasks
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

// pack fits all claims around the holdings. The order of claims is not changed.
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
	return best
}

func (z *zone) packInOrder(h *holdings, claims []claim) packing {
	p := packing{
		missing: make([]int, len(h.own)),
		outside: make([]int, len(h.own)),
		cells:   make([][]int, len(h.own)),
	}
	open := z.vector()
	for w := range open {
		open[w] = max(0, z.capacity[w]-h.total[w])
	}
	left := make([][]int, len(h.own))
	for i := range left {
		left[i] = append([]int(nil), h.own[i]...)
		p.cells[i] = z.vector()
	}
	usable := z.vector()
	for i := range claims {
		c := &claims[i]
		own := left[c.account]
		for w := range usable {
			usable[w] = open[w] + own[w]
		}
		parts := z.fit(usable, own, c.shape)
		if parts == nil {
			p.missing[c.account]++
			if p.failed == nil {
				p.failed = c
			}
			continue
		}
		p.take(c, parts, own, open)
	}
	for i := range left {
		p.outside[i] = totalOf(left[i])
	}
	return p
}

// take gives a claim its parts: what its account holds there already, then
// what is open.
func (p *packing) take(c *claim, parts []part, own, open []int) {
	for _, part := range parts {
		need := part.tasks * c.shape.AcceleratorsPerTask
		covered := min(need, own[part.worker])
		own[part.worker] -= covered
		open[part.worker] -= need - covered
		p.cells[c.account][part.worker] += need - covered
	}
}

// CheckGuarantees reports, by account and shape, the first guarantee of a zone
// that does not pack with the others into the given workers when they are
// empty. The health of the workers is not looked at.
func CheckGuarantees(zone string, workers []model.Worker, accounts []model.ClientAccount) error {
	z := newZone(workers, true)
	p := z.pack(newHoldings(z, len(accounts)), claimsOf(zone, accounts))
	if p.failed == nil {
		return nil
	}
	return api.NewError(api.KindConfigInvalid,
		"the guarantees of zone %s do not pack into its %d workers: no room for %s of account %s",
		zone, len(workers), describe(p.failed.shape), accounts[p.failed.account].Name)
}

// describe names a shape for people.
func describe(shape api.Shape) string {
	where := "on any racks"
	if shape.SameRack {
		where = "in one rack"
	}
	return fmt.Sprintf("%d tasks of %d accelerators %s", shape.Tasks, shape.AcceleratorsPerTask, where)
}

func toFront(claims []claim, first claim) []claim {
	order := make([]claim, 0, len(claims))
	order = append(order, first)
	skipped := false
	for _, c := range claims {
		if !skipped && c == first {
			skipped = true
			continue
		}
		order = append(order, c)
	}
	return order
}

func totalOf(vector []int) int {
	total := 0
	for _, n := range vector {
		total += n
	}
	return total
}
