package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// Headroom answers a mix of urgent work that comes in bursts and batch work that
// would fill every worker. Without it each urgent gang that needs whole workers
// has batch tasks stopped, which were started moments ago, lose what they did,
// and are stopped again at the next one: on a full deployment a third of all
// starts ended so. Some whole workers stay free for urgent work instead, as long
// as there is any.
const (
	// headroomOver is how much more than the urgent work lately is kept room
	// for: its use varies by about a third from burst to burst.
	headroomOver = 1.3
	// headroomMost bounds the share of a pool's workers that is kept.
	headroomMost = 0.35
	// headroomLoad is the share of a pool's accelerators in use from which room
	// is kept. Below it urgent work finds room anyway, and keeping it would let
	// large gangs wait on a deployment that is half empty.
	headroomLoad = 0.6
	// headroomMemory is the time over which the use by urgent work is averaged:
	// some bursts.
	headroomMemory = 8 * time.Second
)

// noteUrgent averages what urgent work uses in each pool.
func (c *Core) noteUrgent(pools map[string][]*room) {
	weight := 1 - math.Exp(-c.now.Sub(c.urgentAt).Seconds()/c.number(NumHeadroomMemory, headroomMemory.Seconds()))
	c.urgentAt = c.now
	for pool, rooms := range pools {
		used := int64(0)
		for _, r := range rooms {
			used += r.urgent
		}
		c.urgentUse[pool] += weight * (float64(used) - c.urgentUse[pool])
	}
}

// mayNotUseReserve reports whether the step may not use the workers that are kept for
// urgent work: work that is not urgent and loses what it did when it is stopped.
func (c *Core) mayNotUseReserve(u *pendingStep) bool {
	s := u.step.spec
	return u.queue.Priority != 0 && !s.Lasting && !s.Checkpoints
}

// withoutReserve drops workers that are kept for urgent work, of those that run
// nothing else.
func (c *Core) withoutReserve(pool string, rooms []*room) []*room {
	if loadOf(rooms) < c.number(NumHeadroomLoad, headroomLoad) {
		return rooms
	}
	most := int(c.number(NumHeadroomMost, headroomMost) * float64(len(rooms)))
	wanted := c.number(NumHeadroomOver, headroomOver) * c.urgentUse[pool]
	return slices.DeleteFunc(slices.Clone(rooms), func(r *room) bool {
		kept := most > 0 && wanted > 0 && r.urgentOnly
		if kept {
			most--
			wanted -= float64(r.Room.Accelerators)
		}
		return kept
	})
}

// loadOf is the share of the workers' accelerators that is in use, or of their
// processors if that is more.
func loadOf(rooms []*room) float64 {
	var all, free workload.Resources
	for _, r := range rooms {
		all, free = all.Add(r.Room), free.Add(r.soon)
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
