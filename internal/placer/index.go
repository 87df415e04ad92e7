package placer

import (
	"slices"
	"strings"
)

// This file maintains the core's indexes of the open jobs in order, the gangs on
// each worker, and the rows to write. Without them, each report would search all
// jobs: a zone of the target size has about 500 gangs and receives about 250
// reports a second.

// compareSubmission orders jobs by submission time, then by ID.
func compareSubmission(a, b *entry) int {
	if order := a.record.SubmittedAt.Compare(b.record.SubmittedAt); order != 0 {
		return order
	}
	return strings.Compare(a.record.ID, b.record.ID)
}

// openEntries returns a copy of the jobs that have not ended, in order of
// submission. The caller may end jobs while iterating over it.
func (c *core) openEntries() []*entry { return slices.Clone(c.open) }

func (c *core) addOpen(e *entry) {
	c.jobs[e.record.ID] = e
	at, _ := slices.BinarySearchFunc(c.open, e, compareSubmission)
	c.open = slices.Insert(c.open, at, e)
}

// removeOpen removes an ended job from the open jobs; it stays in memory for
// readers.
func (c *core) removeOpen(e *entry) {
	if at, found := slices.BinarySearchFunc(c.open, e, compareSubmission); found {
		c.open = slices.Delete(c.open, at, at+1)
	}
}

// dropJob removes a job that another placer has ended.
func (c *core) dropJob(e *entry) {
	c.removeOpen(e)
	e.notifyWaiters()
	c.setParts(e, nil)
	delete(c.jobs, e.record.ID)
	delete(c.unsaved, e.record.ID)
}

// setParts replaces the parts that a gang holds and updates gangsByWorker.
func (c *core) setParts(e *entry, parts []part) {
	for _, p := range e.parts {
		delete(c.gangsByWorker[p.worker], e)
	}
	e.parts = parts
	for _, p := range parts {
		if c.gangsByWorker[p.worker] == nil {
			c.gangsByWorker[p.worker] = make(map[*entry]bool)
		}
		c.gangsByWorker[p.worker][e] = true
	}
}

// gangsOn returns the gangs that hold a part of a worker, in order of submission.
func (c *core) gangsOn(worker string) []*entry {
	var list []*entry
	for e := range c.gangsByWorker[worker] {
		list = append(list, e)
	}
	slices.SortFunc(list, compareSubmission)
	return list
}

// markUnsaved schedules a write of the job's row, which waits for any write of
// the row that is in flight.
func (c *core) markUnsaved(e *entry) {
	e.dirty = true
	c.unsaved[e.record.ID] = e
}
