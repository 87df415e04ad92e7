package placement

import (
	"github.com/corianderbank/corianderbank/api"
)

// Accounts returns what each client account is guaranteed, uses, borrows and lends in
// the zone, in accelerators, in the order of the configuration.
func Accounts(s Snapshot) []api.AccountStatus {
	d := newDecider(&s, Disabled{})
	risks := d.atRisk()
	lent := d.lent()
	statuses := make([]api.AccountStatus, len(s.Accounts))
	for i := range s.Accounts {
		name := s.Accounts[i].Name
		statuses[i] = api.AccountStatus{
			Account: name, AvailabilityZone: s.Zone,
			Guaranteed: d.guaranteed[i], Used: d.use[i], Borrowed: d.use[i] - d.fixedUse[i],
			Lent: lent[i], AtRisk: risks[name],
		}
	}
	for i := range s.Waiting {
		if account, known := d.accounts[s.Waiting[i].Account]; known {
			statuses[account].Waiting += s.Waiting[i].Shape.Accelerators()
		}
	}
	return statuses
}

// lent counts, by account, the accelerators of its shapes that gangs that are not fixed
// hold: borrowers of any account and gangs that are being stopped. On each worker such
// gangs are counted against the accelerators outside all shapes first.
func (d *decider) lent() []int {
	borrowed := d.zone.zeroVector()
	for i := range d.holders {
		if h := &d.holders[i]; !h.fixed {
			addParts(borrowed, h.parts, h.gang.Job.Shape.AcceleratorsPerTask)
		}
	}
	lent := make([]int, len(d.snapshot.Accounts))
	for w := range borrowed {
		inCells := 0
		for _, cells := range d.packed.cells {
			inCells += cells[w]
		}
		outside := max(0, d.zone.capacity[w]-d.held.total[w]-inCells)
		left := max(0, borrowed[w]-outside)
		for account, cells := range d.packed.cells {
			lent[account] += min(left, cells[w])
			left -= min(left, cells[w])
		}
	}
	return lent
}

// Fragmentation returns the fraction of the zone's free accelerators that no waiting
// or guaranteed shape can use. It returns 0 if none is free.
func Fragmentation(s Snapshot) float64 {
	d := newDecider(&s, Disabled{})
	free := totalOf(d.free)
	if free == 0 {
		return 0
	}
	usable := d.zone.zeroVector()
	for shape := range d.wantedShapes() {
		d.zone.markUsable(usable, d.free, shape)
	}
	return float64(free-totalOf(usable)) / float64(free)
}

// wantedShapes returns the set of the waiting and guaranteed shapes.
func (d *decider) wantedShapes() map[api.Shape]bool {
	shapes := make(map[api.Shape]bool)
	for i := range d.snapshot.Waiting {
		shapes[d.snapshot.Waiting[i].Shape] = true
	}
	for _, g := range d.guarantees {
		shapes[g.shape] = true
	}
	return shapes
}

// markUsable raises the entries of usable to the free accelerators that the shape can
// use.
func (z *zone) markUsable(usable, free []int, shape api.Shape) {
	all := rack{first: 0, end: len(z.workers)}
	groups := z.racks
	if !shape.SameRack {
		groups = []rack{all}
	}
	for _, group := range groups {
		if z.slots(group, free, shape.AcceleratorsPerTask) < shape.Tasks {
			continue
		}
		for w := group.first; w < group.end; w++ {
			whole := free[w] / shape.AcceleratorsPerTask * shape.AcceleratorsPerTask
			usable[w] = max(usable[w], whole)
		}
	}
}
