package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/reclaim"
)

// Claims of guaranteed capacity, at any load. Without them an account waits for the
// work of other accounts to end. A claim is placed on free accelerators if possible.
// Otherwise the borrowers on the cheapest adjacent region are stopped, and the region
// is kept for the claim until they have ended.

// maxRegions bounds the number of regions tried for one claim, cheapest first. Each
// attempt costs one packing. The first one succeeds in nearly every case, because the
// guarantees leave few regions that break the shape of another account.
const maxRegions = 8

// region is a possible placement of a claim and the gangs to stop for it.
type region struct {
	parts   []part
	victims []reclaim.Victim
	cost    float64
}

// claimUrgent calls claimGuarantee for urgent jobs, which precede the other jobs of
// all accounts.
func (d *decider) claimUrgent(e *entry) {
	if e.job.Urgent {
		d.claimGuarantee(e)
	}
}

// borrowUrgent places an urgent job as a borrower on any free accelerators, including
// reserved ones, if the scattered gangs of its own account keep it out of the
// guarantee. It runs after the claims of all accounts, because accelerators that it
// took from their shapes would have to be reclaimed from it in the next round.
func (d *decider) borrowUrgent(e *entry) {
	if !e.job.Urgent || !e.job.Preemptible() || !e.job.MayBorrow || d.overLimit(e) || !d.withinGuarantee(e.account, e.job) {
		return
	}
	if parts := d.fit(e, d.free, nil); parts != nil {
		d.place(e, parts, true, "urgent, and its account's own gangs lie in the way")
	}
}

// claimGuarantee places a job inside the guarantee of its account, or stops the
// borrowers that occupy the guarantee. A job that could borrow instead is left to
// claimOrBorrow, because it must not take accelerators that were freed for another
// claim. A job that the guarantee does not cover is left to placeBeyondGuarantee.
func (d *decider) claimGuarantee(e *entry) {
	if !d.mayClaim(e) {
		return
	}
	available := d.available(e)
	if d.claimOn(e, minVector(available, d.packed.partlyUsedCells[e.account])) || d.claimPartlyUsedShapes(e) {
		return
	}
	if e.mayBorrowLater = d.canBorrow(e, d.partlyUsedWorkerCapacity(e, available)); e.mayBorrowLater || d.claimUnused(e, available) {
		return
	}
	if e.mayBorrowLater = d.canBorrow(e, available); !e.mayBorrowLater {
		d.tryReclaim(e)
	}
}

// claimOrBorrow places a job as a borrower if its claim would use an unused worker or
// stop other gangs. If the job cannot borrow, it makes the claim.
func (d *decider) claimOrBorrow(e *entry) {
	if !e.mayBorrowLater || !d.mayClaim(e) {
		return
	}
	available := d.available(e)
	switch {
	case d.borrowOn(e, d.partlyUsedWorkerCapacity(e, available), "borrows the rest of workers in use"):
	case d.claimUnused(e, available):
	case d.borrowOn(e, available, "borrows free accelerators in place of a reclaim"):
	default:
		d.tryReclaim(e)
	}
}

// mayClaim reports whether the guarantee covers a job and no equivalent claim has
// failed in this decision.
func (d *decider) mayClaim(e *entry) bool {
	return !d.failed[claimKey(e)] && !d.yieldsToHead(e) && d.withinGuarantee(e.account, e.job) && !d.overLimit(e)
}

func claimKey(e *entry) placementKey {
	return placementKey{
		account: e.account, avoidingJob: avoidingJob(e.job), shape: e.job.Shape, claim: true, urgent: e.job.Urgent,
		preemptible: e.job.Preemptible() && e.job.MayBorrow,
	}
}

// tryReclaim stops other gangs for a claim if it may, and otherwise records that the
// claim failed.
func (d *decider) tryReclaim(e *entry) {
	if d.disabled.Reclaim || !d.mayReclaim(e) || !d.reclaimFor(e) {
		d.failed[claimKey(e)] = true
	}
}

// claimUnused places a job on free accelerators of shapes that its account does not
// use, or else on any free accelerators around which all guarantees still pack.
func (d *decider) claimUnused(e *entry, available []int) bool {
	return d.claimOn(e, minVector(available, d.packed.cells[e.account])) || d.claimOn(e, available) || d.claimOn(e, d.free)
}

// withinGuarantee reports whether the account's use, including this job, stays within
// its guaranteed number of accelerators. Gangs outside the account's shapes do not
// count. For an urgent job, gangs of the account that it may stop do not count either.
func (d *decider) withinGuarantee(account int, job *model.Job) bool {
	inside := d.fixedUse[account] - d.packed.outside[account]
	if job.Urgent {
		inside -= d.preemptibleByUrgent[account]
	}
	return inside+job.Shape.Accelerators() <= d.guaranteed[account]
}

// mayReclaim reports whether a claim may stop other gangs. If the account already uses
// its guaranteed number of accelerators, because it borrows elsewhere, only urgent
// jobs and whole shapes may. Otherwise small jobs would stop large gangs only to run
// on different workers.
func (d *decider) mayReclaim(e *entry) bool {
	size := e.job.Shape.Accelerators()
	if e.job.Urgent || d.use[e.account]+size <= d.guaranteed[e.account] {
		return true
	}
	return slices.ContainsFunc(d.snapshot.Accounts[e.account].Guarantees[d.snapshot.Zone], func(g model.GuaranteedShape) bool {
		return size >= g.Accelerators()
	})
}

// reclaimFor stops borrowers for a claim. For an urgent job that finds no region this
// way, it also stops gangs of the job's own account that are not urgent and that fill
// the account's shapes or are scattered over them.
func (d *decider) reclaimFor(e *entry) bool {
	if d.claimCheapestRegion(e) {
		return true
	}
	if !e.job.Urgent {
		return false
	}
	d.mayStopOwn = true
	defer func() { d.mayStopOwn = false }()
	return d.claimCheapestRegion(e)
}

// claimOn places a job inside its guarantee on the given accelerators and reports
// whether it fits.
func (d *decider) claimOn(e *entry, usable []int) bool {
	parts := d.fit(e, usable, nil)
	if parts == nil || !d.addFixed(e.account, e.job, parts, true) {
		return false
	}
	d.place(e, parts, false, "lies within the account's guarantee")
	return true
}

// partlyUsedWorkerCapacity returns what a claim may borrow on partly used workers
// before it takes an unused worker of its guarantee. This keeps whole workers free but
// causes more reclaims, so it applies only to deployments that weight fragmentation
// above completion time. In other deployments and for urgent jobs it returns a zero
// vector.
func (d *decider) partlyUsedWorkerCapacity(e *entry, available []int) []int {
	used := d.zone.zeroVector()
	if d.disabled.Objectives || d.snapshot.Objectives.Fragmentation <= d.snapshot.Objectives.CompletionTime || e.job.Urgent {
		return used
	}
	for w := range used {
		if d.free[w] < d.zone.capacity[w] {
			used[w] = available[w]
		}
	}
	return used
}

// canBorrow reports whether a job would start as a borrower on the given accelerators.
// Urgent jobs do not borrow where they can claim.
func (d *decider) canBorrow(e *entry, usable []int) bool {
	return !e.job.Urgent && e.job.Preemptible() && e.job.MayBorrow && d.fit(e, usable, nil) != nil
}

// borrowOn places a job as a borrower on the given accelerators and reports whether it
// fits.
func (d *decider) borrowOn(e *entry, usable []int, reason string) bool {
	if !d.canBorrow(e, usable) {
		return false
	}
	d.place(e, d.fit(e, usable, nil), true, reason)
	return true
}

// claimCheapestRegion claims the cheapest region that the job can have once other gangs
// are stopped, and stops them.
func (d *decider) claimCheapestRegion(e *entry) bool {
	return d.claimFirstRegion(e, d.regions(e))
}

// claimPartlyUsedShapes places a job that cannot be stopped or is urgent inside shapes
// that its account already uses in part, even if borrowers there must be stopped.
// Elsewhere such a job would occupy part of another whole shape of its account for as
// long as it runs.
func (d *decider) claimPartlyUsedShapes(e *entry) bool {
	if (e.job.Preemptible() && !e.job.Urgent) || d.disabled.Reclaim {
		return false
	}
	parts := d.fit(e, d.packed.partlyUsedCells[e.account], sumVectors(d.free, d.releasing))
	return parts != nil && d.claimFirstRegion(e, []region{d.priceRegion(e, parts)})
}

// claimFirstRegion claims the first of the regions around which all guarantees still
// pack.
func (d *decider) claimFirstRegion(e *entry, regions []region) bool {
	for _, r := range regions[:min(len(regions), maxRegions)] {
		d.adjustHoldings(r.victims, 1)
		if !d.addFixed(e.account, e.job, r.parts, true) {
			d.adjustHoldings(r.victims, -1)
			continue
		}
		d.startOrKeep(e, r)
		return true
	}
	return false
}

// adjustHoldings removes the fixed gangs among victims from the holdings if sign is 1,
// and adds them again if it is -1.
func (d *decider) adjustHoldings(victims []reclaim.Victim, sign int) {
	for _, v := range victims {
		h := &d.holders[v.Index]
		if !h.fixed {
			continue
		}
		d.held.add(h.account, h.parts, -sign*h.gang.Job.Shape.AcceleratorsPerTask)
		d.fixedUse[h.account] -= sign * h.gang.Job.Shape.Accelerators()
		d.preemptibleByUrgent[h.account] -= sign * h.gang.Job.Shape.Accelerators()
	}
}

// mayStop reports whether a holder may be stopped for a claim.
func (d *decider) mayStop(h *holder, e *entry) bool {
	if h.stopping {
		return false
	}
	return !h.fixed || (d.mayStopOwn && h.account == e.account && h.preemptibleByUrgent())
}

// isFree reports whether the job can start on the parts now.
func (d *decider) isFree(e *entry, parts []part) bool {
	return !slices.ContainsFunc(parts, func(p part) bool {
		return d.free[p.worker] < p.tasks*e.job.Shape.AcceleratorsPerTask
	})
}

// regions returns the regions where a job could be placed if other gangs were stopped,
// cheapest first: the cheapest workers of each rack that would hold it whole, and the
// placements that fit finds in the account's shapes and anywhere.
func (d *decider) regions(e *entry) []region {
	reclaimable := d.withoutAvoided(e.job, d.reclaimableCapacity(e))
	prices := d.taskPrices(e, reclaimable)
	var regions []region
	for _, r := range d.zone.racks {
		if d.zone.slots(r, reclaimable, e.job.Shape.AcceleratorsPerTask) >= e.job.Shape.Tasks {
			regions = append(regions, d.priceRegion(e, fillCheapest(r, reclaimable, prices, e.job.Shape)))
		}
	}
	idle := sumVectors(d.free, d.releasing)
	for _, usable := range [][]int{d.packed.cells[e.account], reclaimable} {
		if parts := d.fit(e, usable, idle); parts != nil {
			regions = append(regions, d.priceRegion(e, parts))
		}
	}
	if d.disabled.CheapestReclaim {
		return regions
	}
	slices.SortStableFunc(regions, func(a, b region) int { return cmp.Compare(a.cost, b.cost) })
	return regions
}

// taskPrices returns, by worker, the cost of freeing the accelerators of one task.
func (d *decider) taskPrices(e *entry, reclaimable []int) []float64 {
	prices := make([]float64, len(reclaimable))
	for w := range prices {
		if reclaimable[w] >= e.job.Shape.AcceleratorsPerTask {
			prices[w] = d.priceRegion(e, []part{{worker: w, tasks: 1}}).cost
		}
	}
	return prices
}

// fillCheapest places the tasks of a gang on the workers of one rack by rising price,
// and among equal prices by rising usable accelerators.
func fillCheapest(r rack, usable []int, prices []float64, shape api.Shape) []part {
	workers := make([]int, 0, r.end-r.first)
	for w := r.first; w < r.end; w++ {
		workers = append(workers, w)
	}
	slices.SortStableFunc(workers, func(a, b int) int {
		if prices[a] != prices[b] {
			return cmp.Compare(prices[a], prices[b])
		}
		return cmp.Compare(usable[a], usable[b])
	})
	var parts []part
	left := shape.Tasks
	for _, w := range workers {
		if tasks := min(left, usable[w]/shape.AcceleratorsPerTask); tasks > 0 {
			parts = append(parts, part{worker: w, tasks: tasks})
			left -= tasks
		}
	}
	return parts
}

// reclaimableCapacity returns, by worker, the accelerators that are neither held by
// gangs that may not be stopped nor assigned to an earlier claim. An urgent claim that
// may stop gangs of its own account considers only the account's shapes, because it
// replaces one of these gangs there.
func (d *decider) reclaimableCapacity(e *entry) []int {
	if d.mayStopOwn {
		return d.ownShapes(e.account)
	}
	usable := d.zone.zeroVector()
	for w := range usable {
		usable[w] = max(0, d.zone.capacity[w]-d.held.total[w])
	}
	return usable
}

// ownShapes returns the unused accelerators of an account's shapes plus those held by
// gangs of the account that urgent jobs may stop.
func (d *decider) ownShapes(account int) []int {
	usable := slices.Clone(d.packed.cells[account])
	for i := range d.holders {
		if h := &d.holders[i]; h.account == account && h.preemptibleByUrgent() {
			addParts(usable, h.parts, h.gang.Job.Shape.AcceleratorsPerTask)
		}
	}
	return d.zone.withinCapacity(usable)
}

// priceRegion determines the gangs to stop on a region and the cost of stopping them.
// A gang that is stopped for one worker also frees its accelerators on the region's
// other workers.
func (d *decider) priceRegion(e *entry, parts []part) region {
	r := region{parts: parts}
	chosen := make(map[int]bool)
	for _, p := range parts {
		want := p.tasks*e.job.Shape.AcceleratorsPerTask - d.free[p.worker] - d.releasing[p.worker]
		var victims []reclaim.Victim
		for _, index := range d.onWorker[p.worker] {
			victim := d.victim(index, p.worker)
			switch {
			case !d.mayStop(&d.holders[index], e):
			case chosen[index]:
				want -= victim.OnWorker
			default:
				victims = append(victims, victim)
			}
		}
		if want <= 0 {
			continue
		}
		for _, victim := range reclaim.Cheapest(victims, want, d.snapshot.Now) {
			chosen[victim.Index] = true
			r.victims = append(r.victims, victim)
			r.cost += reclaim.Cost(victim.Gang, d.snapshot.Now)
		}
	}
	return r
}

// victim returns a holder as a candidate for reclaim on one of its workers.
func (d *decider) victim(index, worker int) reclaim.Victim {
	h := &d.holders[index]
	v := reclaim.Victim{Gang: h.gang, Index: index}
	for _, p := range h.parts {
		if p.worker == worker {
			v.OnWorker += p.tasks * h.gang.Job.Shape.AcceleratorsPerTask
		}
	}
	return v
}

// keepRegion stops the victims of a region and keeps the region for the job.
func (d *decider) keepRegion(e *entry, r region) {
	for _, victim := range r.victims {
		d.stop(victim, e)
	}
	for _, p := range r.parts {
		need := p.tasks * e.job.Shape.AcceleratorsPerTask
		need -= takeFrom(d.free, p.worker, need)
		takeFrom(d.releasing, p.worker, need)
	}
	d.use[e.account] += e.job.Shape.Accelerators()
	e.done = true
	d.plan.KeptRegions = append(d.plan.KeptRegions, KeptRegion{JobID: e.job.ID, Tasks: d.zone.placements(r.parts, e.job.Shape)})
	d.decided("reclaim", e.job, fmt.Sprintf("stop %d gangs", len(r.victims)), "the account claims its guarantee")
}

// stop adds a reclaim to the plan. The whole gang is stopped.
func (d *decider) stop(victim reclaim.Victim, claimant *entry) {
	h := &d.holders[victim.Index]
	h.stopping, h.fixed = true, false
	addParts(d.releasing, h.parts, h.gang.Job.Shape.AcceleratorsPerTask)
	if h.account >= 0 {
		d.use[h.account] -= h.gang.Job.Shape.Accelerators()
	}
	reclaimed := Reclaim{JobID: h.gang.Job.ID, ClaimantID: claimant.job.ID, Method: MethodStop, Timeout: reclaim.StopTimeout}
	if h.gang.Job.Checkpointable {
		reclaimed.Method, reclaimed.Timeout = MethodCheckpoint, reclaim.CheckpointTimeout
	}
	d.plan.Reclaims = append(d.plan.Reclaims, reclaimed)
	d.plan.Decisions = append(d.plan.Decisions, api.Decision{
		At: d.snapshot.Now, Step: "stop", Subject: h.gang.Job.ID, Account: h.gang.Job.Account, Choice: string(reclaimed.Method),
		Reason: fmt.Sprintf("holds what job %s of account %s claims", claimant.job.ID, claimant.job.Account),
	})
}

// takeFrom subtracts up to want from the entry of one worker and returns the amount
// subtracted.
func takeFrom(vector []int, worker, want int) int {
	taken := min(want, vector[worker])
	vector[worker] -= taken
	return taken
}

// minVector returns the element-wise minimum of two vectors.
func minVector(a, b []int) []int {
	out := make([]int, len(a))
	for i := range a {
		out[i] = min(a[i], b[i])
	}
	return out
}

// sumVectors returns the element-wise sum of two vectors.
func sumVectors(a, b []int) []int {
	out := make([]int, len(a))
	for i := range a {
		out[i] = a[i] + b[i]
	}
	return out
}
