package placement

import "github.com/corianderbank/corianderbank/internal/model"

// Avoidance of workers on which a task of the job has failed. Without it the same
// worker is again the best fit, and the job fails there until it is abandoned, which
// does not show whether the job or the worker is faulty. Failures on three different
// workers distinguish the two (see package quarantine). A job therefore avoids the
// workers on which it failed, unless the other workers could not hold it even if they
// were empty.

// fit returns the placement of a job on the usable accelerators, without the workers
// that the job avoids; see zone.fit.
func (d *decider) fit(e *entry, usable, preferred []int) []part {
	return d.zone.fit(d.withoutAvoided(e.job, usable), preferred, e.job.Shape)
}

// withoutAvoided returns usable without the workers that the job avoids. It returns
// usable unchanged if the other workers could not hold the job even if they were
// empty.
func (d *decider) withoutAvoided(job *model.Job, usable []int) []int {
	if len(job.Avoid) == 0 {
		return usable
	}
	if d.zone.fit(d.zone.without(d.zone.capacity, job.Avoid), nil, job.Shape) == nil {
		return usable
	}
	return d.zone.without(usable, job.Avoid)
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

// avoidingJob returns the ID of a job that avoids workers, and "" for other jobs. What
// fits a job that avoids workers may not fit other jobs of the same shape.
func avoidingJob(job *model.Job) string {
	if len(job.Avoid) == 0 {
		return ""
	}
	return job.ID
}
