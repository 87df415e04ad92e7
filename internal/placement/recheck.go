package placement

import (
	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

// Recheck reports why a placement of an earlier plan no longer holds in a newer
// snapshot: its job no longer waits, a worker takes no tasks or lacks the free
// accelerators, the gang would be partial, or a guarantee could no longer be
// given. The placements of a plan are checked in its order, each against a
// snapshot with the earlier ones. The error's kind is KindConflict or
// KindNoCapacity.
func Recheck(s Snapshot, p Placement) error {
	d := newDecider(&s, Off{})
	job := d.waiting(p.JobID)
	if job == nil {
		return api.NewError(api.KindConflict, "job %s is not waiting", p.JobID)
	}
	account, known := d.accounts[job.Account]
	if !known {
		return api.NewError(api.KindConflict, "account %s is not in the configuration", job.Account)
	}
	parts := d.z.holding(p.Tasks)
	if err := d.checkWhole(job, parts); err != nil {
		return err
	}
	for _, part := range parts {
		if d.free[part.worker] < part.tasks*job.Shape.AcceleratorsPerTask {
			return api.NewError(api.KindNoCapacity, "worker %s lacks free accelerators", d.z.workers[part.worker].ID)
		}
	}
	if p.Borrowed && job.Stoppable() {
		return nil
	}
	if !d.fix(account, job, parts, false) {
		return api.NewError(api.KindConflict, "a guaranteed shape could no longer be given")
	}
	return nil
}

func (d *decider) waiting(id string) *model.Job {
	for i := range d.s.Waiting {
		if d.s.Waiting[i].ID == id {
			return &d.s.Waiting[i]
		}
	}
	return nil
}

// checkWhole reports a gang that is partial or spread over racks against its shape.
func (d *decider) checkWhole(job *model.Job, parts []part) error {
	tasks := 0
	racks := make(map[string]bool)
	for _, part := range parts {
		tasks += part.tasks
		racks[d.z.workers[part.worker].Rack] = true
	}
	if tasks != job.Shape.Tasks {
		return api.NewError(api.KindConflict, "%d of %d tasks have a known worker", tasks, job.Shape.Tasks)
	}
	if job.Shape.SameRack && len(racks) > 1 {
		return api.NewError(api.KindConflict, "the tasks lie in %d racks", len(racks))
	}
	return nil
}
