package placement

import (
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

// This file answers an account whose small jobs keep its own guarantee busy.
// Without it each accelerator of the guarantee that comes free goes to the next
// small job, and the account's large job, for whose shape the guarantee was
// bought, waits until the small ones run out. The first job in an account's
// order that its guarantee would hold, if the account's own gangs were gone, is
// the account's head: later jobs take the guarantee only if they end before the
// head's turn. They may still borrow.

// head is the job that waits for its account's own gangs.
type head struct {
	entry *entry
	// turn is when enough of the account's fixed gangs have ended.
	turn time.Time
}

// findHeads looks for the head of each account.
func (d *decider) findHeads(q *queue) {
	if d.off.Heads {
		return
	}
	for account, list := range q.lists {
		for _, e := range list {
			if e.done {
				continue
			}
			if !d.entitled(account, e.job) && d.coveredWhole(account, e.job.Shape) {
				d.heads[account] = head{entry: e, turn: d.turnOf(e)}
			}
			if d.heads[account].entry != nil || e.job.Shape.Tasks > 1 {
				break
			}
		}
	}
}

// coveredWhole reports whether one of the account's guaranteed shapes holds the
// given one.
func (d *decider) coveredWhole(account int, shape api.Shape) bool {
	return slices.ContainsFunc(d.s.Accounts[account].Guarantees[d.s.Zone], func(g model.GuaranteedShape) bool {
		together := g.SameRack || !shape.SameRack || shape.Tasks == 1
		return together && shape.Tasks <= g.Tasks && shape.AcceleratorsPerTask <= g.AcceleratorsPerTask
	})
}

// turnOf is when the account's fixed gangs leave room for the job in the guarantee.
func (d *decider) turnOf(e *entry) time.Time {
	var own []*holder
	for i := range d.holders {
		if h := &d.holders[i]; h.account == e.account && h.fixed {
			own = append(own, h)
		}
	}
	slices.SortStableFunc(own, func(a, b *holder) int { return d.expectedEnd(a).Compare(d.expectedEnd(b)) })
	inside := d.fixedUse[e.account] - d.packed.outside[e.account]
	turn := d.s.Now
	for _, h := range own {
		if inside+e.job.Shape.Accelerators() <= d.guaranteed[e.account] {
			break
		}
		inside -= h.gang.Job.Shape.Accelerators()
		turn = d.expectedEnd(h)
	}
	return turn
}

// yields reports whether a job has to leave its account's guarantee to the head.
func (d *decider) yields(e *entry) bool {
	h := &d.heads[e.account]
	if h.entry == nil || h.entry == e || before(e, h.entry) < 0 {
		return false
	}
	return d.s.Now.Add(e.run).After(h.turn)
}
