package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// Several mechanisms keep a step from free capacity for the sake of other work or of its own
// attempts. This file states, for a step that waits, which of them keep how much from it: a step
// that waits beside free capacity cannot be told from one that waits for capacity otherwise.

// Hold names a mechanism that keeps steps from free capacity.
type Hold string

// The holds.
const (
	// HoldUnsound is the doubt whether a worker fails what it is given.
	HoldUnsound Hold = "unsound_workers"
	// HoldFlapping excludes machines that crashed repeatedly.
	HoldFlapping Hold = "flapping_workers"
	// HoldHeadroom keeps workers free for expected urgent work.
	HoldHeadroom Hold = "headroom"
	// HoldClaims is capacity that is freed for other steps, or in which they are about to start.
	HoldClaims Hold = "claims"
	// HoldReservations is capacity reserved for steps that come first and do not fit yet.
	HoldReservations Hold = "reservations"
)

// HeldCapacity states how much free capacity a waiting step has beside it, as a number of its tasks,
// and what keeps it from using it.
type HeldCapacity struct {
	// Free is the number of the step's tasks that the free capacity of its pool would hold, Usable
	// the part that it may use now.
	Free, Usable int64
	// FreeWorkers and UsableWorkers are the workers with that capacity, of Workers in the pool.
	FreeWorkers, UsableWorkers, Workers int
	// By is the part that each hold keeps from the step.
	By map[Hold]int64
	// Load is the share of the pool that is in use.
	Load float64
	// Stood is the time for which the step has stood.
	Stood time.Duration
}

// Holds lists the holds with what each keeps from the step, largest first.
func (h *HeldCapacity) Holds() string {
	list := slices.SortedFunc(maps.Keys(h.By), func(a, b Hold) int {
		return cmp.Or(cmp.Compare(h.By[b], h.By[a]), cmp.Compare(a, b))
	})
	parts := make([]string, 0, len(list))
	for _, hold := range list {
		parts = append(parts, fmt.Sprintf("%s:%d", hold, h.By[hold]))
	}
	return strings.Join(parts, " ")
}

func (h *HeldCapacity) add(hold Hold, slots int64) {
	if slots > 0 {
		h.By[hold] += slots
	}
}

// heldCapacity returns the free capacity beside a step in this round.
func (c *Core) heldCapacity(u *pendingStep) *HeldCapacity {
	workers := c.pools[u.queue.Pool]
	h := &HeldCapacity{Workers: len(workers), By: make(map[Hold]int64), Load: loadOf(workers), Stood: u.step.stood}
	var kept map[*workerCapacity]bool
	if c.mustAvoidHeadroom(u) && c.enabled(MechHeadroom) {
		kept = c.headroom(u.queue.Pool, workers)
	}
	usableNow := c.freeFor(u)
	for _, r := range workers {
		if !c.canRun(u, r) {
			continue
		}
		free := c.countSlots(u, r, r.freeCapacity())
		if free == 0 {
			continue
		}
		h.Free += free
		h.FreeWorkers++
		switch {
		case !c.mayTrust(u, r):
			h.add(HoldUnsound, free)
			continue
		case r.flapping:
			h.add(HoldFlapping, free)
			continue
		case kept[r]:
			h.add(HoldHeadroom, free)
			continue
		}
		unclaimed := min(c.countSlots(u, r, r.free), free)
		unreserved := min(c.countSlots(u, r, usableNow(r)), unclaimed)
		usable := unreserved
		if r.doubt.maxRuns > 0 {
			usable = min(usable, max(int64(r.doubt.maxRuns-len(r.runs)), 0))
		}
		h.add(HoldClaims, free-unclaimed)
		h.add(HoldReservations, unclaimed-unreserved)
		h.add(HoldUnsound, unreserved-usable)
		if usable > 0 {
			h.Usable += usable
			h.UsableWorkers++
		}
	}
	return h
}

// canRun reports whether a worker could run the step if nothing kept the step from it.
func (c *Core) canRun(u *pendingStep, r *workerCapacity) bool {
	spec := u.step.spec
	return r.HasLabel(spec.Label) && r.Capacity.Contains(spec.CountedResources()) && !r.wouldInterfere(spec)
}

// countSlots returns the number of the step's tasks, of any number, that fit into a worker's free
// capacity.
func (c *Core) countSlots(u *pendingStep, r *workerCapacity, free workload.Resources) int64 {
	limit := int64(math.MaxInt32)
	if maxPerWorker := u.step.spec.MaxPerWorker; maxPerWorker > 0 {
		limit = int64(maxPerWorker - c.runsOf(u.step, r.worker))
	}
	return max(free.CountFitting(u.step.spec.CountedResources(), limit), 0)
}

// freeCapacity returns the capacity of a worker that nothing runs in.
func (w *worker) freeCapacity() workload.Resources {
	return w.Capacity.Sub(w.used).Sub(w.unknownRunsUse())
}
