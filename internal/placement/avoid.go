package placement

import "github.com/corianderbank/corianderbank/internal/model"

// This file answers a job whose task failed on a worker. Without it the same
// worker is the best fit again, and the job fails there until it is given up:
// nobody learns whether the job is broken or the worker. Three different
// workers tell them apart (see package quarantine), so the job is kept off
// those that it failed on, unless no other workers could hold it even if they
// were empty.

// fit returns where a job goes when usable accelerators are free; see zone.fit.
func (d *decider) fit(e *entry, usable, bonus []int) []part {
	return d.z.fit(d.avoiding(e.job, usable), bonus, e.job.Shape)
}

// avoiding takes the workers that a job is to avoid out of usable.
func (d *decider) avoiding(job *model.Job, usable []int) []int {
	if len(job.Avoid) == 0 {
		return usable
	}
	if d.z.fit(d.z.without(d.z.capacity, job.Avoid), nil, job.Shape) == nil {
		return usable
	}
	return d.z.without(usable, job.Avoid)
}

// without returns a copy of vector that is zero at the named workers.
func (z *zone) without(vector []int, workers []string) []int {
	rest := append([]int(nil), vector...)
	for _, id := range workers {
		if w, ok := z.index[id]; ok {
			rest[w] = 0
		}
	}
	return rest
}

// only names the job if what fits it may not fit others of its shape.
func only(job *model.Job) string {
	if len(job.Avoid) == 0 {
		return ""
	}
	return job.ID
}
