package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

// This file answers jobs that can never run and deadlines that can no longer
// be met. Without it they wait for hours, take turns from others, and their
// callers learn too late to go elsewhere. A job is refused only when even the
// earliest placement cannot make it, so that a refusal is true.

// Admit judges a job at its submission: it returns the estimated finish, or
// the refusal.
func Admit(s Snapshot, job model.Job) (finish time.Time, refusal *Refusal) {
	d := newDecider(&s, Off{})
	if reason := d.neverFits(&job); reason != "" {
		return time.Time{}, newRefusal(&job, api.KindShapeNeverFits, reason)
	}
	start, found := d.earliestStart(&job)
	if !found {
		start = s.Now
	}
	finish = start.Add(remaining(&s, &job))
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

// neverFits says why a job fits in no state of the zone, or "". Workers that
// take no tasks at the moment count, since they may return.
func (d *decider) neverFits(job *model.Job) string {
	every := newZone(d.s.Workers, true)
	usable := every.capacity
	if !job.Stoppable() {
		usable = d.unbroken(every, job)
	}
	if every.fit(usable, nil, job.Shape) != nil {
		return ""
	}
	return "no placement in the empty zone holds " + describe(job.Shape)
}

// unbroken is what a job that cannot be stopped may ever use: its account's
// shapes and what belongs to no shape.
func (d *decider) unbroken(every *zone, job *model.Job) []int {
	empty := every.pack(newHoldings(every, len(d.s.Accounts)), d.claims)
	usable := append([]int(nil), every.capacity...)
	for account, cells := range empty.cells {
		if d.s.Accounts[account].Name == job.Account {
			continue
		}
		for w, n := range cells {
			usable[w] -= n
		}
	}
	return usable
}

// earliestStart returns the time from which the job fits if nothing else is
// placed before it.
func (d *decider) earliestStart(job *model.Job) (time.Time, bool) {
	if account, known := d.accounts[job.Account]; known && d.entitled(account, job) {
		return d.s.Now, true
	}
	usable := slices.Clone(d.free)
	if d.z.fit(usable, nil, job.Shape) != nil {
		return d.s.Now, true
	}
	for _, end := range d.ends() {
		add(usable, end.parts, end.perTask)
		if d.z.fit(d.z.withinCapacity(usable), nil, job.Shape) != nil {
			return end.at, true
		}
	}
	return time.Time{}, false
}

// refuseIfLost ends a waiting job that can no longer finish in time, that can
// never run, or that waited as long as its rule allows. A job that has run is
// not refused, because not_run would be untrue.
func (d *decider) refuseIfLost(e *entry) {
	if e.job.Attempt > 0 {
		return
	}
	finish := d.s.Now.Add(e.run)
	switch {
	case !e.job.Deadline.IsZero() && finish.After(e.job.Deadline):
		d.refuse(e, api.KindDeadlineUnreachable, lateReason(finish, e.job.Deadline))
	case e.job.MaxWait > 0 && d.s.Now.Sub(e.job.SubmittedAt) > e.job.MaxWait:
		d.refuse(e, api.KindQueueTimeout, "waited "+e.job.MaxWait.String())
	}
}
