package placement

import (
	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

// Recheck returns an error if a placement of an earlier plan is no longer valid in a
// newer snapshot: its job no longer waits, a worker takes no tasks or lacks the free
// accelerators, the gang would be partial, or a guarantee could no longer be provided.
// The placements of a plan must be checked in the order of the plan, each against a
// snapshot that includes the earlier ones. The kind of the error is KindConflict or
// KindNoCapacity.
func Recheck(s Snapshot, p Placement) error {
	d := newDecider(&s, Disabled{})
	job := d.waitingJob(p.JobID)
	if job == nil {
		return api.NewError(api.KindConflict, "job %s is not waiting", p.JobID)
	}
	account, known := d.accounts[job.Account]
	if !known {
		return api.NewError(api.KindConflict, "account %s is not in the configuration", job.Account)
	}
	parts := d.zone.partsOf(p.Tasks)
	if err := d.checkGang(job, parts); err != nil {
		return err
	}
	for _, part := range parts {
		if d.free[part.worker] < part.tasks*job.Shape.AcceleratorsPerTask {
			return api.NewError(api.KindNoCapacity, "worker %s lacks free accelerators", d.zone.workers[part.worker].ID)
		}
	}
	if p.Borrowed && job.Preemptible() {
		return nil
	}
	if !d.addFixed(account, job, parts, false) {
		return api.NewError(api.KindConflict, "a guaranteed shape could no longer be given")
	}
	return nil
}

func (d *decider) waitingJob(id string) *model.Job {
	for i := range d.snapshot.Waiting {
		if d.snapshot.Waiting[i].ID == id {
			return &d.snapshot.Waiting[i]
		}
	}
	return nil
}

// checkGang returns an error if a gang is partial, or spread over several racks
// although its shape requires one.
func (d *decider) checkGang(job *model.Job, parts []part) error {
	tasks := 0
	racks := make(map[string]bool)
	for _, part := range parts {
		tasks += part.tasks
		racks[d.zone.workers[part.worker].Rack] = true
	}
	if tasks != job.Shape.Tasks {
		return api.NewError(api.KindConflict, "%d of %d tasks have a known worker", tasks, job.Shape.Tasks)
	}
	if job.Shape.SameRack && len(racks) > 1 {
		return api.NewError(api.KindConflict, "the tasks lie in %d racks", len(racks))
	}
	return nil
}
