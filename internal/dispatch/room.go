package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/quarantine"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// workerCapacity is a worker's capacity during one round of decisions.
type workerCapacity struct {
	*worker
	// free is the capacity that is free now, freeSoon the capacity that will be free once the
	// runs being stopped have ended.
	free, freeSoon workload.Resources
	// reserved is the capacity that is reserved for a waiting step from reservedFrom on; work
	// that ends before reservedFrom may use it.
	reserved     workload.Resources
	reservedFrom time.Time
	// guaranteedUse is the capacity used by work inside a guarantee.
	guaranteedUse workload.Resources
	// urgentOnly is set if the worker runs nothing but work of the highest priority, or nothing
	// at all.
	urgentOnly bool
	// serving and batch count the runs of either kind.
	serving, batch int
	// urgentAccelerators is the number of accelerators used by work of the highest priority.
	urgentAccelerators int64
	// position is the worker's index in the default order of its pool.
	position int
	// flapping is set if the worker gets no new work because its machine crashed repeatedly.
	flapping bool
	// doubt limits what the worker may start if runs have failed there.
	doubt doubt
	// crashSuspects are the jobs on the worker whose tasks lost other workers to crashes.
	crashSuspects crashSuspects
	// overdueUse is the capacity used by runs without a predictable completion, valid if
	// overdueKnown is set.
	overdueUse   workload.Resources
	overdueKnown bool
	// lastSearch is the last reservation search that included the worker.
	lastSearch int
}

func (c *Core) capacities() map[string][]*workerCapacity {
	pools := make(map[string][]*workerCapacity)
	clear(c.provenPools)
	for _, w := range c.fleet {
		if !w.usable(c.now) || c.isSuspect(w) || c.isDrained(w) {
			continue
		}
		free := w.freeCapacity()
		r := &workerCapacity{worker: w, free: free, freeSoon: free, urgentOnly: true}
		for _, run := range w.runs {
			r.countKind(run.task.step.spec)
			if run.task.crashDecision() != quarantine.StartFreely {
				r.crashSuspects.add(run.task.step.job)
			}
			r.countUse(run, c.queueOf(run.task.step.job))
			if run.task.step.job.guaranteed {
				r.guaranteedUse = r.guaranteedUse.Add(run.need)
			}
		}
		if c.policies.weighsEvidence && c.enabled(MechUnhealthyWorkers) {
			r.doubt = c.doubtOf(w)
			c.provenPools[w.Pool] = c.provenPools[w.Pool] || c.isProven(w) || len(w.runs) > 0 && r.doubt.unsound < avoidedFrom
		}
		pools[w.Pool] = append(pools[w.Pool], r)
	}
	for _, workers := range pools {
		c.limitClosed(workers)
		slices.SortFunc(workers, c.compareByRack)
		for i, r := range workers {
			r.position = i
		}
	}
	return pools
}

// compareByRack is the default order of the workers of a pool: rack by rack, so that filled and
// free workers each lie together.
func (c *Core) compareByRack(a, b *workerCapacity) int {
	byRack := 0
	if c.enabled(MechRackOrder) {
		byRack = cmp.Compare(a.Rack, b.Rack)
	}
	return cmp.Or(byRack, cmp.Compare(a.ID, b.ID))
}

// countUse adds a run's use to the worker's totals.
func (r *workerCapacity) countUse(run *run, q *workload.Queue) {
	switch {
	case run.freesSoon():
		r.freeSoon = r.freeSoon.Add(run.need)
	case q != nil && q.Priority == 0:
		r.urgentAccelerators += run.need.Accelerators
	default:
		r.urgentOnly = false
	}
}

// countKind counts a run of a step as serving or batch.
func (r *workerCapacity) countKind(spec *workload.Step) {
	if spec.TargetMS > 0 {
		r.serving++
	} else {
		r.batch++
	}
}

// freeUntil returns the capacity available to work that ends at the given time.
func (r *workerCapacity) freeUntil(completion time.Time) workload.Resources {
	free := r.free
	if !r.reservedFrom.IsZero() && completion.After(r.reservedFrom) {
		free = free.Sub(r.reserved)
	}
	return free
}

// holdCapacity withholds capacity, free or being freed, from other steps for the rest of the round
// because the given step waits for it. places has one entry per task.
func holdCapacity(u *pendingStep, places []*workerCapacity) {
	need := u.step.spec.CountedResources()
	for _, r := range places {
		r.freeSoon = r.freeSoon.Sub(need)
		r.free = r.free.Sub(need)
		u.markCrashSuspects(r)
	}
}

// wouldInterfere reports whether a serving task would share the worker with a batch task.
// Interference varies by image and changes within seconds, so the two kinds are never placed
// together: no serving task misses its latency target because of its placement.
func (r *workerCapacity) wouldInterfere(spec *workload.Step) bool {
	if spec.TargetMS > 0 {
		return r.batch > 0
	}
	return r.serving > 0
}
