package placer

import (
	"slices"
	"strings"
)

// This file keeps what the core would otherwise search all jobs for: the open
// jobs in order, the gangs on each worker, and the rows to write. A zone of the
// target has about 500 gangs and takes in some 250 reports a second.

// byAge orders jobs by submission.
func byAge(a, b *entry) int {
	if order := a.record.SubmittedAt.Compare(b.record.SubmittedAt); order != 0 {
		return order
	}
	return strings.Compare(a.record.ID, b.record.ID)
}

// live returns the jobs that have not ended, in order of submission. The caller
// may end jobs while it goes through them.
func (c *core) live() []*entry { return slices.Clone(c.open) }

func (c *core) openJob(e *entry) {
	c.jobs[e.record.ID] = e
	at, _ := slices.BinarySearchFunc(c.open, e, byAge)
	c.open = slices.Insert(c.open, at, e)
}

// closeJob takes an ended job off the open ones; it stays in memory for readers.
func (c *core) closeJob(e *entry) {
	if at, found := slices.BinarySearchFunc(c.open, e, byAge); found {
		c.open = slices.Delete(c.open, at, at+1)
	}
}

// dropJob forgets a job that another placer has ended.
func (c *core) dropJob(e *entry) {
	c.closeJob(e)
	e.wakeWaiters()
	c.setParts(e, nil)
	delete(c.jobs, e.record.ID)
	delete(c.unsaved, e.record.ID)
}

// setParts changes what a gang holds.
func (c *core) setParts(e *entry, parts []part) {
	for _, p := range e.parts {
		delete(c.onWorker[p.worker], e)
	}
	e.parts = parts
	for _, p := range parts {
		if c.onWorker[p.worker] == nil {
			c.onWorker[p.worker] = make(map[*entry]bool)
		}
		c.onWorker[p.worker][e] = true
	}
}

// gangsOn returns the gangs that hold a part of a worker, in order of submission.
func (c *core) gangsOn(worker string) []*entry {
	var list []*entry
	for e := range c.onWorker[worker] {
		list = append(list, e)
	}
	slices.SortFunc(list, byAge)
	return list
}

// markUnsaved has a job's row written when nothing else is under way for it.
func (c *core) markUnsaved(e *entry) {
	e.dirty = true
	c.unsaved[e.record.ID] = e
}
