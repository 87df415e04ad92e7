package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// resize changes the room of a worker while it runs, and what it says of itself.
func (b *bench) resize(id string, room workload.Resources) {
	b.workers[id].room = room
	b.list()
}

// The fake worker fails the test if a start brings it over its room.
func TestNothingStartsOnAWorkerThatHasLessRoomThanItsRunsUse(t *testing.T) {
	whole := workload.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: 8}
	for name, small := range map[string]workload.Resources{
		"fewer accelerators": {MilliCPU: 32000, MemoryMB: 64000, Accelerators: 2},
		"less memory":        {MilliCPU: 32000, MemoryMB: 3000, Accelerators: 8},
		"fewer cores":        {MilliCPU: 2000, MemoryMB: 64000, Accelerators: 8},
		"nothing":            {},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 1, false)
			b.add(looseJob("before", 5))
			b.pass(200 * time.Millisecond)
			assert.Equal(t, b.running(), 5)
			b.resize("w00", small)
			b.add(looseJob("after", 3))
			b.add(gangJob("urgent", "urgent", "acme", 1, 1))
			b.pass(time.Second)
			assert.Equal(t, b.runningOf("after"), 0)
			for key := range b.workers["w00"].running {
				if key.task.Job == "before" {
					b.end(b.workers["w00"], key.task, key.attempt, workload.EndDone)
				}
			}
			b.pass(time.Second)
			b.resize("w00", whole)
			b.pass(time.Second)
			assert.Equal(t, b.runningOf("after"), 3)
			assert.Equal(t, b.runningOf("urgent"), 1)
		})
	}
}

// What makes room for an urgent gang still holds its room while it stops, and the room
// that the gang claimed is gone by then.
func TestAClaimOnAWorkerWhoseRoomShrinksIsDropped(t *testing.T) {
	b := newBench(t, 2, false)
	b.stopTakes = 500 * time.Millisecond
	b.add(looseJob("batch", 16))
	b.pass(200 * time.Millisecond)
	b.add(gangJob("urgent", "urgent", "acme", 1, 8))
	b.pass(200 * time.Millisecond)
	assert.Assert(t, b.stops > 0)
	host := b.core.jobs["urgent"].steps[0].claim.places[0].worker.ID
	b.resize(host, workload.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: 4})
	b.pass(2 * time.Second)
	assert.Equal(t, b.runningOf("urgent"), 1)
	assert.Assert(t, b.hostOf("urgent") != host)
}

func TestANewLeaderTakesTheRoomThatAWorkerHasNow(t *testing.T) {
	b := newBench(t, 1, false)
	b.add(looseJob("before", 5))
	b.pass(200 * time.Millisecond)
	b.resize("w00", workload.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: 4})
	next := New(testBounds, 3, b.now, b.now)
	next.Configure(testConfig())
	b.core, b.starts = next, 0
	b.list()
	for _, id := range []string{"before", "after"} {
		b.add(looseJob(id, 5))
	}
	b.pass(2 * time.Second)
	assert.Equal(t, b.starts, 0)
}
