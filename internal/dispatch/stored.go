package dispatch

import (
	"slices"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file answers workers whose entry in the platform's list lapsed while they ran
// on, cut off from the platform. An instance that started meanwhile has never seen
// them; as the leader it would run their tasks a second time. So each
// worker is put into the product's own table before it gets any work, and taken out
// once nothing of ours can run there.

// Unstored lists up to limit workers that the table does not have as they are.
func (c *Core) Unstored(limit int) []workload.Worker {
	var list []workload.Worker
	for _, w := range c.fleet {
		if len(list) >= limit {
			break
		}
		if slices.Contains(c.gone, w.ID) {
			continue // first it is taken out
		}
		if w.unlistedSince.IsZero() && (!w.stored || w.storedLeaving != w.Leaving) {
			list = append(list, w.Worker)
		}
	}
	return list
}

// Stored says that the table has these workers. Of one that is to be taken out since,
// the row will be gone: it has to be put in again before it gets work.
func (c *Core) Stored(list []workload.Worker) {
	for i := range list {
		w := c.workers[list[i].ID]
		if w != nil && !slices.Contains(c.gone, w.ID) {
			w.stored, w.storedLeaving = true, list[i].Leaving
		}
	}
}

// unstore has a worker taken out of the table: it is no longer listed, and nothing
// of ours can run there. Work of a next epoch would wait for it otherwise, for as
// long as the longest lease.
func (c *Core) unstore(w *worker) {
	if w.stored {
		w.stored = false
		c.gone = append(c.gone, w.ID)
	}
}

// Gone lists up to limit workers that are to be taken out of the table.
func (c *Core) Gone(limit int) []string { return slices.Clone(c.gone[:min(limit, len(c.gone))]) }

// Removed says that the table no longer has these workers.
func (c *Core) Removed(ids []string) {
	c.gone = slices.DeleteFunc(c.gone, func(id string) bool { return slices.Contains(ids, id) })
}
