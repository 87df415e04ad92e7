package placement

import (
	"slices"
)

// This file answers accounts whose load goes up and down around their
// guarantee. Without it a gang that started as a borrower stays one when its
// account's other gangs have ended: it is stopped for another account although
// its own uses less than its guarantee, and its account then stops others in
// turn. Each decision takes an account's borrowers into the guarantee that the
// account does not use, the longest running first, because they lose the most
// when they are stopped.

// protectAttempts bounds, for one account and decision, the borrowers that do
// not lie in the account's shapes as packed now: each of them costs a packing.
const protectAttempts = 4

// protectBorrowers takes borrowers into their accounts' unused guarantees.
func (d *decider) protectBorrowers() {
	if d.off.Protect {
		return
	}
	attempts := make([]int, len(d.s.Accounts))
	for _, h := range d.borrowersByAge() {
		job := &h.gang.Job
		if d.heads[h.account].entry != nil || !d.entitled(h.account, job) {
			continue
		}
		if attempts[h.account] == protectAttempts {
			continue
		}
		if h.fixed = d.fix(h.account, job, h.parts, true); !h.fixed {
			attempts[h.account]++
		}
	}
}

// borrowersByAge lists the borrowers of known accounts, the oldest first.
func (d *decider) borrowersByAge() []*holder {
	var borrowers []*holder
	for i := range d.holders {
		if h := &d.holders[i]; !h.fixed && !h.ending && h.account >= 0 {
			borrowers = append(borrowers, h)
		}
	}
	slices.SortStableFunc(borrowers, func(a, b *holder) int { return a.gang.StartedAt.Compare(b.gang.StartedAt) })
	return borrowers
}
