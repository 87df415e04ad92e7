package placement

import (
	"slices"
	"time"
)

// This file answers large gangs among a stream of small ones. Without it small
// gangs take each accelerator that comes free, and a large gang never finds its
// whole shape. The jobs that are due first among those that do not fit get a
// reservation in time: the region that comes free first by the corrected run
// times. Other jobs may take the region only if they end before the reservation
// starts (EASY backfill, Lifka 1995). A claim of a guarantee uses the region
// last. Jobs that wait for their own account's guarantee need no reservation:
// see head.go.

// overdueShare is how much longer a gang that has outlived its estimate is
// taken to run, as a share of its run so far. A quarter: an estimate that was
// wrong says little, and a larger share would open the reservation's region to
// backfill that does not end in time.
const overdueShare = 4

// maxReservations bounds the regions that are reserved at the same time. In a
// zone of two whole racks a third region of half a rack would leave hardly
// anything to backfill; in the measured patterns two did better than one, and
// four no better than two.
const maxReservations = 2

// reservation keeps a region for one job from a time on.
type reservation struct {
	start time.Time
	// spare is what a job that runs past start may use, by worker.
	spare []int
	// parts are the region.
	parts   []part
	perTask int
}

// reserve makes reservations for the jobs that do not fit now and are due
// first, as far as maxReservations allows.
func (d *decider) reserve(q *queue) {
	if d.off.Reservation {
		return
	}
	for _, e := range q.byDue() {
		if len(d.reserved) == maxReservations {
			return
		}
		if d.needsReservation(e) {
			d.reserveFor(e)
		}
	}
}

// needsReservation reports whether a job waits for accelerators beyond its
// account's guarantee.
func (d *decider) needsReservation(e *entry) bool {
	if e.done || d.barred(e) || d.heads[e.account].entry == e || d.entitled(e.account, e.job) {
		return false
	}
	return d.fit(e, d.free, nil) == nil
}

// reserveFor reserves the region that comes free first. Without a time at which
// the job would fit, nothing is reserved.
func (d *decider) reserveFor(e *entry) {
	usable := slices.Clone(d.free)
	for _, r := range d.reserved {
		add(usable, r.parts, -r.perTask)
	}
	for _, end := range d.ends() {
		add(usable, end.parts, end.perTask)
		parts := d.fit(e, d.z.withinCapacity(usable), nil)
		if parts == nil {
			continue
		}
		spare := d.z.withinCapacity(usable)
		add(spare, parts, -e.job.Shape.AcceleratorsPerTask)
		d.reserved = append(d.reserved, reservation{
			start: end.at, spare: spare, parts: parts, perTask: e.job.Shape.AcceleratorsPerTask,
		})
		return
	}
}

// available is what a job may use beside the reservations that it would outlast.
func (d *decider) available(e *entry) []int {
	usable := d.free
	for i := range d.reserved {
		if d.outlasts(e, i) {
			usable = minimum(usable, d.reserved[i].spare)
		}
	}
	return usable
}

// outlasts reports whether a job placed now would run past the start of a
// reservation.
func (d *decider) outlasts(e *entry, i int) bool {
	return d.s.Now.Add(e.run).After(d.reserved[i].start)
}

// outlasted counts the reservations that the job would outlast.
func (d *decider) outlasted(e *entry) int {
	count := 0
	for i := range d.reserved {
		if d.outlasts(e, i) {
			count++
		}
	}
	return count
}

// end is the release of a gang's accelerators.
type end struct {
	at      time.Time
	parts   []part
	perTask int
}

// ends lists the releases that are to come, in order of time: of the gangs of
// the snapshot and of those that this decision places.
func (d *decider) ends() []end {
	ends := make([]end, 0, len(d.holders)+len(d.placed))
	for i := range d.holders {
		h := &d.holders[i]
		ends = append(ends, end{at: d.expectedEnd(h), parts: h.parts, perTask: h.gang.Job.Shape.AcceleratorsPerTask})
	}
	ends = append(ends, d.placed...)
	slices.SortStableFunc(ends, func(a, b end) int { return a.at.Compare(b.at) })
	return ends
}

// expectedEnd is when a gang is expected to give its accelerators back.
func (d *decider) expectedEnd(h *holder) time.Time {
	if h.ending {
		return d.s.Now
	}
	if h.gang.ExpectedEnd.After(d.s.Now) {
		return h.gang.ExpectedEnd
	}
	return d.s.Now.Add(d.s.Now.Sub(h.gang.StartedAt) / overdueShare)
}

// withinCapacity returns a copy bounded by the workers that take tasks.
func (z *zone) withinCapacity(usable []int) []int {
	return minimum(usable, z.capacity)
}
