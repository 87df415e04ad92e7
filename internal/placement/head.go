package placement

import (
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

// Protection of large jobs from small jobs of the same account that keep its guarantee
// busy. Without it each accelerator of the guarantee that becomes free goes to the
// next small job, and the large job, for whose shape the guarantee was bought, waits
// until the small ones run out. The head of an account is the first job in its order
// that the guarantee would hold if the account's own gangs were gone. Later jobs may
// use the guarantee only if they end before the expected start of the head. They may
// still borrow.

// head is the job that waits for gangs of its own account to end.
type head struct {
	entry *entry
	// expectedStart is the time at which enough of the account's fixed gangs are
	// expected to have ended.
	expectedStart time.Time
}

// findHeads determines the head of each account. It considers the waiting jobs of an
// account in order, up to the first one with several tasks.
func (d *decider) findHeads(q *queue) {
	if d.disabled.Heads {
		return
	}
	for account, list := range q.byAccount {
		for _, e := range list {
			if e.done {
				continue
			}
			if !d.withinGuarantee(account, e.job) && d.coveredByGuaranteedShape(account, e.job.Shape) {
				d.heads[account] = head{entry: e, expectedStart: d.expectedHeadStart(e)}
			}
			if d.heads[account].entry != nil || e.job.Shape.Tasks > 1 {
				break
			}
		}
	}
}

// coveredByGuaranteedShape reports whether one of the account's guaranteed shapes
// holds the given shape.
func (d *decider) coveredByGuaranteedShape(account int, shape api.Shape) bool {
	return slices.ContainsFunc(d.snapshot.Accounts[account].Guarantees[d.snapshot.Zone], func(g model.GuaranteedShape) bool {
		rackCovered := g.SameRack || !shape.SameRack || shape.Tasks == 1
		return rackCovered && shape.Tasks <= g.Tasks && shape.AcceleratorsPerTask <= g.AcceleratorsPerTask
	})
}

// expectedHeadStart returns the time at which the account's fixed gangs are expected
// to leave enough of the guarantee for the job.
func (d *decider) expectedHeadStart(e *entry) time.Time {
	var own []*holder
	for i := range d.holders {
		if h := &d.holders[i]; h.account == e.account && h.fixed {
			own = append(own, h)
		}
	}
	slices.SortStableFunc(own, func(a, b *holder) int { return d.expectedCompletion(a).Compare(d.expectedCompletion(b)) })
	inside := d.fixedUse[e.account] - d.packed.outside[e.account]
	start := d.snapshot.Now
	for _, h := range own {
		if inside+e.job.Shape.Accelerators() <= d.guaranteed[e.account] {
			break
		}
		inside -= h.gang.Job.Shape.Accelerators()
		start = d.expectedCompletion(h)
	}
	return start
}

// yieldsToHead reports whether a job must leave the guarantee of its account to the
// head.
func (d *decider) yieldsToHead(e *entry) bool {
	h := &d.heads[e.account]
	if h.entry == nil || h.entry == e || compareEntries(e, h.entry) < 0 {
		return false
	}
	return d.snapshot.Now.Add(e.runTime).After(h.expectedStart)
}
