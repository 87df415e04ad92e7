package dispatch

import (
	"cmp"
	"slices"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// Claims protect urgent gangs that arrive in quick succession. A gang that preempts others
// starts once those have ended, several rounds later. Without a claim each round decided anew:
// the next urgent gang took the capacity as it became free, and the first gang preempted runs
// elsewhere, became late and was abandoned, so that dozens of tasks were stopped for a gang that
// never started.

// claim is the capacity that is being freed for a gang and in which it will start.
type claim struct {
	places []claimedPlace
}

// claimedPlace is a number of task slots on one worker.
type claimedPlace struct {
	worker *worker
	slots  int64
}

// claimCapacity records where an urgent gang will start.
func (c *Core) claimCapacity(u *pendingStep, places []claimedPlace) {
	if u.step.spec.Gang && c.enabled(MechClaims) {
		u.step.claim = &claim{places: places}
	}
}

// claimedPlaces counts the slots per worker in a list that has one entry per slot.
func claimedPlaces(workers []*workerCapacity) []claimedPlace {
	var places []claimedPlace
	for i, r := range workers {
		if i > 0 && workers[i-1] == r {
			places[len(places)-1].slots++
			continue
		}
		places = append(places, claimedPlace{r.worker, 1})
	}
	return places
}

// claimForRestart lets an urgent gang that failed by itself restart on the same workers.
// Without it the capacity of each member went to other work when its completion arrived, some
// milliseconds before that of the last member, and the gang preempted others a second time. A
// gang with a worker on which other jobs failed as well claims nothing.
func (c *Core) claimForRestart(r *run) {
	s, g := r.task.step, r.gang
	if g == nil || g.interrupted || !c.isInUrgentQueue(s) || !c.enabled(MechRestartClaims) {
		return
	}
	var workers []*workerCapacity
	byWorker := make(map[*worker]*workerCapacity)
	for i := range s.tasks {
		for _, member := range s.tasks[i].runs {
			if member.gang != g {
				continue
			}
			w := member.worker
			if c.mayFailOthers(w, s.job) {
				return
			}
			if byWorker[w] == nil {
				byWorker[w] = &workerCapacity{worker: w}
			}
			workers = append(workers, byWorker[w])
		}
	}
	slices.SortStableFunc(workers, func(a, b *workerCapacity) int { return cmp.Compare(a.ID, b.ID) })
	s.claim = &claim{places: claimedPlaces(workers)}
}

// isInUrgentQueue reports whether a step's queue has the highest priority.
func (c *Core) isInUrgentQueue(s *step) bool {
	q := c.queueOf(s.job)
	return q != nil && q.Priority == 0
}

// mayFailOthers reports whether a worker is likely to fail work of other jobs than the given one.
func (c *Core) mayFailOthers(w *worker, j *job) bool {
	if c.policies.weighsEvidence {
		return c.soundness.UnsoundWithout(w.ID, j.ID, c.now) >= avoidedFrom
	}
	return w.health.failedOthers(j.ID)
}

// applyRestartClaims subtracts the capacity in which gangs will restart while their members are
// still ending.
func (c *Core) applyRestartClaims(pools map[string][]*workerCapacity) {
	for _, s := range c.restarting {
		need := s.spec.CountedResources()
		for _, r := range pools[c.queueOf(s.job).Pool] {
			for _, place := range s.claim.places {
				if place.worker != r.worker {
					continue
				}
				ending := int64(c.runsOf(s, r.worker))
				r.freeSoon = r.freeSoon.Sub(need.Times(place.slots))
				r.free = r.free.Sub(need.Times(max(place.slots-ending, 0)))
			}
		}
	}
}

// applyClaims subtracts claimed capacity before any step is placed. A claim that can no longer
// be satisfied is dropped: one of its workers is gone, or its capacity is used by an adopted
// run.
func (c *Core) applyClaims(pending []*pendingStep, pools map[string][]*workerCapacity) {
	for _, u := range pending {
		if u.step.claim == nil {
			continue
		}
		u.claimedCapacity = c.capacityOfClaim(u, pools[u.queue.Pool])
		if u.claimedCapacity == nil {
			u.step.claim = nil
			continue
		}
		holdCapacity(u, u.claimedCapacity)
	}
}

// capacityOfClaim returns the claimed worker for each task of a step, or nil if the claim no
// longer holds.
func (c *Core) capacityOfClaim(u *pendingStep, workers []*workerCapacity) []*workerCapacity {
	byWorker := make(map[*worker]*workerCapacity, len(workers))
	for _, r := range workers {
		byWorker[r.worker] = r
	}
	var list []*workerCapacity
	for _, place := range u.step.claim.places {
		r := byWorker[place.worker]
		if r == nil || !r.freeSoon.Contains(u.step.spec.CountedResources().Times(place.slots)) || len(c.eligible(u, []*workerCapacity{r})) == 0 {
			return nil
		}
		for range place.slots {
			list = append(list, r)
		}
	}
	if len(list) != len(u.tasks) {
		return nil
	}
	return list
}

// releaseClaim makes a step's claimed capacity available again so that the step itself can be
// placed.
func (u *pendingStep) releaseClaim() {
	need := u.step.spec.CountedResources()
	for _, r := range u.claimedCapacity {
		r.freeSoon, r.free = r.freeSoon.Add(need), r.free.Add(need)
	}
}

// allFree reports whether every task's place is free now.
func allFree(places []*workerCapacity, need workload.Resources) bool {
	needed := make(map[*workerCapacity]workload.Resources, len(places))
	for _, r := range places {
		needed[r] = needed[r].Add(need)
	}
	for r, sum := range needed {
		if !r.free.Contains(sum) {
			return false
		}
	}
	return true
}
