package placement

import (
	"slices"

	"github.com/corianderbank/corianderbank/api"
)

// Regions kept for claims, needed when several claims, including urgent ones, are made
// at once. A claim that stops other gangs starts some rounds later, when they have
// ended. If its region were chosen again in each round, the first claim would take
// what was freed for the second, which would stop other gangs again, and an idle
// account would wait one more round for each such exchange. A region is therefore kept
// for its claim until the claim starts.

// KeptRegion is the region that is kept for a claim: the placement of its tasks once the
// gangs there have ended.
type KeptRegion struct {
	JobID string
	Tasks []api.TaskPlacement
}

// resumeKept assigns the claims of earlier plans their kept regions before any other
// job is placed: they start there or continue to wait. If a region is no longer valid,
// because a worker was lost or the guarantee of the account was lowered, the claim
// gets a new region later in the decision.
func (d *decider) resumeKept(q *queue) {
	for _, k := range d.snapshot.KeptRegions {
		e := q.find(k.JobID)
		if e == nil || e.done || !d.mayClaim(e) {
			continue
		}
		parts := d.zone.partsOf(k.Tasks)
		if d.checkGang(e.job, parts) != nil || !d.freeAfterStops(e, parts) || !d.addFixed(e.account, e.job, parts, true) {
			continue
		}
		d.startOrKeep(e, region{parts: parts})
	}
}

// freeAfterStops reports whether the parts are free, or will be once the gangs that
// are already stopping have ended.
func (d *decider) freeAfterStops(e *entry, parts []part) bool {
	return !slices.ContainsFunc(parts, func(p part) bool {
		return d.free[p.worker]+d.releasing[p.worker] < p.tasks*e.job.Shape.AcceleratorsPerTask
	})
}

// startOrKeep starts a claim on its region if the region is free, and otherwise keeps
// the region for it.
func (d *decider) startOrKeep(e *entry, r region) {
	if d.isFree(e, r.parts) {
		d.place(e, r.parts, false, "lies within the account's guarantee")
		return
	}
	d.keepRegion(e, r)
}

// find returns the waiting job with the given ID, or nil.
func (q *queue) find(id string) *entry {
	for _, list := range q.byAccount {
		for _, e := range list {
			if e.job.ID == id {
				return e
			}
		}
	}
	return nil
}
