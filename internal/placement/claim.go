package placement

import (
	"fmt"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/reclaim"
)

// This file answers accounts that claim their guarantee, at any load. Without
// it they wait for the end of other accounts' work. A claim goes into free
// accelerators if some do; else the borrowers on the cheapest adjacent region
// are stopped, and the region is kept for the claim until they are gone.

// claimGuarantee places a job inside its account's guarantee, or stops the
// borrowers that stand in its way. A job that the guarantee does not cover is
// left for placeBeyondGuarantee.
func (d *decider) claimGuarantee(e *entry) {
	if d.fixedUse[e.account]+e.job.Shape.Accelerators() > d.guaranteed[e.account] || d.overLimit(e) {
		return
	}
	for _, usable := range [][]int{minimum(d.free, d.packed.cells[e.account]), d.free} {
		parts := d.z.fit(usable, nil, e.job.Shape)
		if parts != nil && d.keepsGuarantees(e, parts, true) {
			d.fix(e, parts)
			d.place(e, parts, false, "lies within the account's guarantee")
			return
		}
	}
	d.reclaimFor(e)
}

// reclaimFor looks for a region of the account's guarantee that is held by
// nothing but borrowers, and stops them.
func (d *decider) reclaimFor(e *entry) {
	for _, usable := range [][]int{d.unfixed(), d.packed.cells[e.account]} {
		parts := d.z.fit(usable, d.idle(), e.job.Shape)
		if parts != nil && d.keepsGuarantees(e, parts, true) {
			d.keepFor(e, parts)
			return
		}
	}
}

// unfixed is what no fixed gang holds and no earlier claim waits for.
func (d *decider) unfixed() []int {
	usable := d.z.vector()
	for w := range usable {
		usable[w] = max(0, d.z.capacity[w]-d.held.total[w])
	}
	return usable
}

// idle is what is free or about to be.
func (d *decider) idle() []int {
	idle := d.z.vector()
	for w := range idle {
		idle[w] = d.free[w] + d.coming[w]
	}
	return idle
}

// keepFor keeps a region for a job and stops the borrowers on it.
func (d *decider) keepFor(e *entry, parts []part) {
	stopped := 0
	for _, p := range parts {
		need := p.tasks * e.job.Shape.AcceleratorsPerTask
		need -= takeFrom(d.free, p.worker, need)
		need -= takeFrom(d.coming, p.worker, need)
		if need == 0 {
			continue
		}
		for _, victim := range reclaim.Cheapest(d.borrowersOn(p.worker), need, d.s.Now) {
			d.stop(victim, e)
			stopped++
		}
		takeFrom(d.coming, p.worker, need)
	}
	d.fix(e, parts)
	d.use[e.account] += e.job.Shape.Accelerators()
	e.done = true
	d.decided("reclaim", e.job, fmt.Sprintf("stop %d gangs", stopped), "the account claims its guarantee")
}

// takeFrom takes up to want from one worker's entry and returns what it took.
func takeFrom(vector []int, worker, want int) int {
	taken := min(want, vector[worker])
	vector[worker] -= taken
	return taken
}

// borrowersOn lists the gangs on a worker that may be stopped.
func (d *decider) borrowersOn(worker int) []reclaim.Victim {
	var victims []reclaim.Victim
	for i := range d.holders {
		h := &d.holders[i]
		if h.fixed || h.ending {
			continue
		}
		for _, p := range h.parts {
			if p.worker == worker {
				here := p.tasks * h.gang.Job.Shape.AcceleratorsPerTask
				victims = append(victims, reclaim.Victim{Gang: h.gang, Index: i, Here: here})
			}
		}
	}
	return victims
}

// stop enters a reclaim into the plan; the whole gang ends.
func (d *decider) stop(victim reclaim.Victim, claimant *entry) {
	h := &d.holders[victim.Index]
	h.ending = true
	add(d.coming, h.parts, h.gang.Job.Shape.AcceleratorsPerTask)
	if h.account >= 0 {
		d.use[h.account] -= h.gang.Job.Shape.Accelerators()
	}
	method, within := MethodStop, time.Duration(0)
	checkpoint, stop := reclaim.Limits(claimant.job.Urgent)
	within = stop
	if h.gang.Job.Checkpointable {
		method, within = MethodCheckpoint, checkpoint
	}
	d.plan.Reclaims = append(d.plan.Reclaims, Reclaim{JobID: h.gang.Job.ID, For: claimant.job.ID, Method: method, Within: within})
	d.plan.Decisions = append(d.plan.Decisions, api.Decision{
		At: d.s.Now, Step: "stop", Subject: h.gang.Job.ID, Account: h.gang.Job.Account,
		Choice: string(method), Reason: "borrows what job " + claimant.job.ID + " of account " + claimant.job.Account + " claims",
	})
}

// minimum returns the smaller of two vectors, entry by entry.
func minimum(a, b []int) []int {
	out := make([]int, len(a))
	for i := range a {
		out[i] = min(a[i], b[i])
	}
	return out
}
