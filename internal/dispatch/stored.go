package dispatch

import (
	"slices"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// The stored table of workers covers workers whose entry in the platform's list expired while
// they kept running, cut off from the platform. An instance that started in the meantime has
// never seen them; as the leader it would run their tasks a second time. Each worker is
// therefore stored before it gets any work, and removed once no task of this deployment can run
// on it.

// UnstoredWorkers returns up to limit workers whose row in the stored table is missing or
// outdated.
func (c *Core) UnstoredWorkers(limit int) []workload.Worker {
	var list []workload.Worker
	for _, w := range c.fleet {
		if len(list) >= limit {
			break
		}
		if slices.Contains(c.pendingRemovals, w.ID) {
			continue // its old row is removed first
		}
		if w.unlistedSince.IsZero() && (!w.stored || w.storedLeaving != w.Leaving || w.storedIncarnation != w.Incarnation) {
			list = append(list, w.Worker)
		}
	}
	return list
}

// WorkersStored marks workers as stored. If a worker is due for removal by now its row will be
// deleted, so it must be stored again before it gets work.
func (c *Core) WorkersStored(list []workload.Worker) {
	for i := range list {
		w := c.workers[list[i].ID]
		if w != nil && !slices.Contains(c.pendingRemovals, w.ID) {
			w.stored, w.storedLeaving, w.storedIncarnation = true, list[i].Leaving, list[i].Incarnation
		}
	}
}

// unstore schedules the removal of a worker from the stored table: it is no longer listed and
// no task of this deployment can run on it. Otherwise work of a later epoch would wait for it
// for the longest lease.
func (c *Core) unstore(w *worker) {
	if w.stored {
		w.stored = false
		c.pendingRemovals = append(c.pendingRemovals, w.ID)
	}
}

// WorkersToRemove returns up to limit workers to remove from the stored table.
func (c *Core) WorkersToRemove(limit int) []string {
	return slices.Clone(c.pendingRemovals[:min(limit, len(c.pendingRemovals))])
}

// WorkersRemoved records that workers were removed from the stored table.
func (c *Core) WorkersRemoved(ids []string) {
	c.pendingRemovals = slices.DeleteFunc(c.pendingRemovals, func(id string) bool { return slices.Contains(ids, id) })
}
