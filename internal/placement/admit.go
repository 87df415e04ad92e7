package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

// Refusal of jobs that can never run and of deadlines that can no longer be met.
// Without it such jobs wait for hours, delay other jobs, and their callers learn too
// late that they need to submit elsewhere. A job is refused only if even the earliest
// possible placement is too late, so that a refusal is always correct.

// Admit checks a job at submission. It returns the estimated finish time, or the
// refusal.
func Admit(s Snapshot, job model.Job) (finish time.Time, refusal *Refusal) {
	d := newDecider(&s, Disabled{})
	if reason := d.neverFits(&job); reason != "" {
		return time.Time{}, newRefusal(&job, api.KindShapeNeverFits, reason)
	}
	start, found := d.earliestStart(&job)
	if !found {
		start = s.Now
	}
	finish = start.Add(remainingRun(&s, &job))
	if !job.Deadline.IsZero() && finish.After(job.Deadline) {
		return time.Time{}, newRefusal(&job, api.KindDeadlineUnreachable, lateReason(finish, job.Deadline))
	}
	return finish, nil
}

func newRefusal(job *model.Job, kind api.Kind, reason string) *Refusal {
	after := time.Duration(api.AnswerFor(kind).RetryAfterS * float64(time.Second))
	return &Refusal{JobID: job.ID, Kind: kind, Reason: reason, RetryAfter: after}
}

func lateReason(finish, deadline time.Time) string {
	return fmt.Sprintf("the earliest finish lies %s after the deadline", finish.Sub(deadline).Round(time.Second))
}

// neverFits returns the reason why a job does not fit into the zone even if all of it
// is free, or "" if it fits. Workers that take no tasks at the moment count as
// capacity because they may return.
func (d *decider) neverFits(job *model.Job) string {
	emptyZone := newZone(d.snapshot.Workers, true)
	usable := emptyZone.capacity
	if !job.Preemptible() {
		usable = d.nonPreemptibleCapacity(emptyZone, job)
	}
	if emptyZone.fit(usable, nil, job.Shape) != nil {
		return ""
	}
	return "no placement in the empty zone holds " + describeShape(job.Shape)
}

// nonPreemptibleCapacity returns the accelerators by worker that a job that cannot be
// stopped may use in the empty zone: those of its account's guaranteed shapes and
// those that belong to no shape.
func (d *decider) nonPreemptibleCapacity(emptyZone *zone, job *model.Job) []int {
	emptyPacking := emptyZone.pack(newHoldings(emptyZone, len(d.snapshot.Accounts)), d.guarantees)
	usable := append([]int(nil), emptyZone.capacity...)
	for account, cells := range emptyPacking.cells {
		if d.snapshot.Accounts[account].Name == job.Account {
			continue
		}
		for w, n := range cells {
			usable[w] -= n
		}
	}
	return usable
}

// earliestStart returns the time from which the job fits if no other job is placed
// before it, and false if it does not fit even after all releases. A job within the
// guarantee of its account is assumed to fit now.
func (d *decider) earliestStart(job *model.Job) (time.Time, bool) {
	if account, known := d.accounts[job.Account]; known && d.withinGuarantee(account, job) {
		return d.snapshot.Now, true
	}
	usable := slices.Clone(d.free)
	if d.zone.fit(usable, nil, job.Shape) != nil {
		return d.snapshot.Now, true
	}
	for _, r := range d.releases() {
		addParts(usable, r.parts, r.perTask)
		if d.zone.fit(d.zone.withinCapacity(usable), nil, job.Shape) != nil {
			return r.at, true
		}
	}
	return time.Time{}, false
}

// refuseExpired refuses a waiting job that can no longer meet its deadline or that has
// waited longer than its rule allows. A job that has already run is not refused,
// because not_run would be untrue.
func (d *decider) refuseExpired(e *entry) {
	if e.job.Attempt > 0 {
		return
	}
	finish := d.snapshot.Now.Add(e.runTime)
	switch {
	case !e.job.Deadline.IsZero() && finish.After(e.job.Deadline):
		d.refuse(e, api.KindDeadlineUnreachable, lateReason(finish, e.job.Deadline))
	case e.job.MaxWait > 0 && d.snapshot.Now.Sub(e.job.SubmittedAt) > e.job.MaxWait:
		d.refuse(e, api.KindQueueTimeout, "waited "+e.job.MaxWait.String())
	}
}
