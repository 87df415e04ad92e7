package placement

import (
	"slices"
	"time"
)

// Reservations and backfill for large gangs among many small ones. Without them small
// gangs take each accelerator that becomes free, and a large gang never finds its
// whole shape. Among the jobs that do not fit, those with the earliest latest start
// get a reservation: the region that, by the corrected run times, becomes free first.
// Other jobs may use the region only if they end before the reservation starts (EASY
// backfill, Lifka 1995). A claim of a guarantee may use the region, but prefers other
// free accelerators; an urgent job may borrow it. Jobs that wait for the guarantee of
// their own account need no reservation: see head.go.

// overdueDivisor determines the expected remaining run time of a gang that has
// exceeded its estimate: its run time so far divided by overdueDivisor, i.e. a
// quarter. An estimate that was already wrong contains little information, and a
// larger share would open the region of the reservation to backfill that does not end
// in time.
const overdueDivisor = 4

// maxReservations bounds the number of regions reserved at the same time. In a zone of
// two whole racks a third region of half a rack would leave hardly anything to
// backfill. In the measured workloads two reservations were better than one, and four
// were no better than two.
const maxReservations = 2

// reservation keeps a region for one job from a start time on.
type reservation struct {
	start time.Time
	// spare is, by worker, what jobs that run past start may use.
	spare []int
	// parts is the reserved region.
	parts   []part
	perTask int
}

// reserve makes up to maxReservations reservations for the jobs that do not fit now,
// in order of their latest start.
func (d *decider) reserve(q *queue) {
	if d.disabled.Reservation {
		return
	}
	for _, e := range q.byLatestStart() {
		if len(d.reserved) == maxReservations {
			return
		}
		if d.needsReservation(e) {
			d.reserveFor(e)
		}
	}
}

// needsReservation reports whether a job waits for accelerators beyond the guarantee
// of its account.
func (d *decider) needsReservation(e *entry) bool {
	if e.done || d.confinedToGuarantee(e) || d.heads[e.account].entry == e || d.withinGuarantee(e.account, e.job) {
		return false
	}
	return d.fit(e, d.free, nil) == nil
}

// reserveFor reserves the region that becomes free first for the job. It reserves
// nothing if the job does not fit at any time.
func (d *decider) reserveFor(e *entry) {
	usable := slices.Clone(d.free)
	for _, r := range d.reserved {
		addParts(usable, r.parts, -r.perTask)
	}
	for _, r := range d.releases() {
		addParts(usable, r.parts, r.perTask)
		parts := d.fit(e, d.zone.withinCapacity(usable), nil)
		if parts == nil {
			continue
		}
		spare := d.zone.withinCapacity(usable)
		addParts(spare, parts, -e.job.Shape.AcceleratorsPerTask)
		d.reserved = append(d.reserved, reservation{
			start: r.at, spare: spare, parts: parts, perTask: e.job.Shape.AcceleratorsPerTask,
		})
		return
	}
}

// available returns the free accelerators that the job may use without delaying the
// reservations that it would outlast.
func (d *decider) available(e *entry) []int {
	usable := d.free
	for i := range d.reserved {
		if d.outlasts(e, i) {
			usable = minVector(usable, d.reserved[i].spare)
		}
	}
	return usable
}

// outlasts reports whether a job placed now would run past the start of reservation i.
func (d *decider) outlasts(e *entry, i int) bool {
	return d.snapshot.Now.Add(e.runTime).After(d.reserved[i].start)
}

// countOutlasted returns the number of reservations that the job would outlast.
func (d *decider) countOutlasted(e *entry) int {
	count := 0
	for i := range d.reserved {
		if d.outlasts(e, i) {
			count++
		}
	}
	return count
}

// release is the point in time at which a gang returns its accelerators.
type release struct {
	at      time.Time
	parts   []part
	perTask int
}

// releases returns the expected releases in order of time: those of the gangs in the
// snapshot and those of the gangs that this decision places.
func (d *decider) releases() []release {
	releases := make([]release, 0, len(d.holders)+len(d.placedReleases))
	for i := range d.holders {
		h := &d.holders[i]
		releases = append(releases, release{at: d.expectedCompletion(h), parts: h.parts, perTask: h.gang.Job.Shape.AcceleratorsPerTask})
	}
	releases = append(releases, d.placedReleases...)
	slices.SortStableFunc(releases, func(a, b release) int { return a.at.Compare(b.at) })
	return releases
}

// expectedCompletion returns the time at which a gang is expected to return its
// accelerators.
func (d *decider) expectedCompletion(h *holder) time.Time {
	if h.stopping {
		return d.snapshot.Now
	}
	if h.gang.ExpectedCompletion.After(d.snapshot.Now) {
		return h.gang.ExpectedCompletion
	}
	return d.snapshot.Now.Add(d.snapshot.Now.Sub(h.gang.StartedAt) / overdueDivisor)
}

// withinCapacity returns a copy of usable, limited to the capacity of each worker,
// which is zero for workers that take no new tasks.
func (z *zone) withinCapacity(usable []int) []int {
	return minVector(usable, z.capacity)
}
