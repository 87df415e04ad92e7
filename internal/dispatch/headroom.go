package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// Headroom serves deployments with bursts of urgent work and batch work that would fill every
// worker. Without it each urgent gang that needs whole workers preempts batch tasks that were
// started moments ago, lose their work, and are preempted again by the next gang: on a full
// deployment a third of all starts ended this way. Some whole workers are therefore kept free, in
// proportion to the recent use by urgent work.
const (
	// headroomFactor scales the recent urgent usage that capacity is kept for: the usage varies
	// by about a third between bursts.
	headroomFactor = 1.3
	// headroomMaxShare bounds the share of a pool's workers that is kept free.
	headroomMaxShare = 0.35
	// headroomMinLoad is the load of a pool from which capacity is kept free. Below it urgent
	// work finds capacity anyway, and keeping it would make large gangs wait on a half empty
	// deployment.
	headroomMinLoad = 0.6
	// headroomWindow is the averaging time of the urgent usage: several bursts.
	headroomWindow = 8 * time.Second
)

// recordUrgentUsage updates the average urgent usage of each pool.
func (c *Core) recordUrgentUsage(pools map[string][]*workerCapacity) {
	weight := 1 - math.Exp(-c.now.Sub(c.urgentUsageAt).Seconds()/c.numberOr(NumHeadroomWindow, headroomWindow.Seconds()))
	c.urgentUsageAt = c.now
	for pool, workers := range pools {
		used := int64(0)
		for _, r := range workers {
			used += r.urgentAccelerators
		}
		c.urgentUsage[pool] += weight * (float64(used) - c.urgentUsage[pool])
	}
}

// mustAvoidHeadroom reports whether the step must not use the workers kept for urgent work: it is
// not in a queue of the highest priority, and either loses its work if preempted or takes long to stop.
func (c *Core) mustAvoidHeadroom(u *pendingStep) bool {
	s := u.step.spec
	return u.queue.Priority != 0 && !s.LongRunning && (!s.Checkpoints || c.stopsTakeTooLong(u.queue.Pool))
}

// excludeHeadroom returns the workers without those that are kept for urgent work.
func (c *Core) excludeHeadroom(pool string, workers []*workerCapacity) []*workerCapacity {
	kept := c.headroom(pool, workers)
	if len(kept) == 0 {
		return workers
	}
	return slices.DeleteFunc(slices.Clone(workers), func(r *workerCapacity) bool { return kept[r] })
}

// headroom returns the workers that are kept for urgent work. Only workers that run nothing but
// urgent work, or nothing at all, are kept.
func (c *Core) headroom(pool string, workers []*workerCapacity) map[*workerCapacity]bool {
	if loadOf(workers) < c.numberOr(NumHeadroomMinLoad, headroomMinLoad) {
		return nil
	}
	maxKept := int(c.numberOr(NumHeadroomMaxShare, headroomMaxShare) * float64(len(workers)))
	wanted := c.expectedUrgentUse(pool)
	kept := make(map[*workerCapacity]bool)
	for _, r := range c.fastWorkersFirst(workers) {
		if maxKept == 0 || wanted <= 0 {
			break
		}
		if r.urgentOnly {
			kept[r] = true
			maxKept--
			wanted -= float64(r.Capacity.Accelerators)
		}
	}
	return kept
}

// fastWorkersFirst moves the workers that are slower than usual to the end of a list: most urgent
// work misses its objective on them.
func (c *Core) fastWorkersFirst(workers []*workerCapacity) []*workerCapacity {
	if !c.speeds.unequal {
		return workers
	}
	sorted := slices.Clone(workers)
	slices.SortStableFunc(sorted, func(a, b *workerCapacity) int { return cmp.Compare(max(0, -a.band()), max(0, -b.band())) })
	return sorted
}

// loadOf returns the share of the workers' accelerators in use, or that of their processors if
// it is higher.
func loadOf(workers []*workerCapacity) float64 {
	var all, free workload.Resources
	for _, r := range workers {
		all, free = all.Add(r.Capacity), free.Add(r.freeSoon)
	}
	load := 0.0
	if all.Accelerators > 0 {
		load = 1 - float64(free.Accelerators)/float64(all.Accelerators)
	}
	if all.MilliCPU > 0 {
		load = max(load, 1-float64(free.MilliCPU)/float64(all.MilliCPU))
	}
	return load
}
