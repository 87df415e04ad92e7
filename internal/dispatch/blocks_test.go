package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// taskShape is a number of tasks, each with a number of accelerators.
type taskShape struct {
	tasks        int
	accelerators int64
}

func (s taskShape) String() string { return fmt.Sprintf("%dx%d", s.tasks, s.accelerators) }

// A worker of 8 accelerators is full of one kind of work. Guaranteed gangs of all shapes get it within
// the reclaim bound, also where one victim frees several slots or a slot takes several victims.
func TestGuaranteedGangsPreemptWorkOfAnyShape(t *testing.T) {
	shapes := []taskShape{{1, 8}, {2, 4}, {4, 2}, {8, 1}}
	for _, filler := range shapes {
		for _, urgent := range shapes {
			t.Run(fmt.Sprintf("%s for %s", filler, urgent), func(t *testing.T) {
				b := newBench(t, 1, false)
				b.add(singleJob("filler", "batch", "other", filler.tasks, filler.accelerators))
				b.advance(time.Second)
				assert.Equal(t, b.runningOf("filler"), filler.tasks)
				b.add(gangJob("urgent", "urgent", "acme", urgent.tasks, urgent.accelerators))
				b.advance(testBounds.MaxReclaimTime)
				assert.Equal(t, b.runningOf("urgent"), urgent.tasks)
			})
		}
	}
}

// Of the work that could be stopped, as little as possible is.
func TestAGangStopsNoMoreThanItNeeds(t *testing.T) {
	b := newBench(t, 3, false)
	for n, filler := range []taskShape{{1, 8}, {2, 4}, {8, 1}} { // one on each worker
		b.add(singleJob(fmt.Sprintf("filler%d", n), "batch", "other", filler.tasks, filler.accelerators))
		b.advance(200 * time.Millisecond)
	}
	assert.Equal(t, b.running(), 11)
	b.add(gangJob("urgent", "urgent", "acme", 3, 1))
	b.advance(testBounds.MaxReclaimTime)
	assert.Equal(t, b.runningOf("urgent"), 3)
	assert.Equal(t, b.stops, 3, "three tasks of one accelerator are less work than one of eight or four")
}

func TestBlocksCostMoreAndMorePerSlot(t *testing.T) {
	r := &workerCapacity{worker: &worker{Worker: workload.Worker{ID: "a"}}}
	offers := []offer{
		{capacity: r, slots: 1, cost: 0}, // free
		{capacity: r, slots: 2, cost: 5}, // one victim frees three slots
		{capacity: r, slots: 3, cost: 10.0 / 3},
		{capacity: r, slots: 4, cost: 2.5},
		{capacity: r, slots: 5, cost: 6},
	}
	blocks := blocksOf(offers)
	var sizes []int64
	for _, b := range blocks {
		sizes = append(sizes, b.slots())
	}
	assert.DeepEqual(t, sizes, []int64{1, 3, 1})
	for slots, want := range map[int64]float64{1: 0, 2: 10, 4: 10, 5: 30} {
		accepted := cheapestBlocks(blocks, slots, stoppedTasks{})
		assert.Equal(t, accepted[r].slots, slots)
		assert.Assert(t, math.Abs(accepted[r].totalCost()-want) < 1e-9, "%d slots: %.1f", slots, accepted[r].totalCost())
	}
	assert.Assert(t, cheapestBlocks(blocks, 6, stoppedTasks{}) == nil)
}
