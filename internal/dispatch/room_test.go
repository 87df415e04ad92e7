package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// resize changes the capacity of a running worker and the capacity that it reports.
func (b *bench) resize(id string, capacity workload.Resources) {
	b.workers[id].capacity = capacity
	b.listWorkers()
}

// The fake worker fails the test if a start exceeds its capacity.
func TestNothingStartsOnAWorkerThatHasLessRoomThanItsRunsUse(t *testing.T) {
	full := workload.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: 8}
	for name, reduced := range map[string]workload.Resources{
		"fewer accelerators": {MilliCPU: 32000, MemoryMB: 64000, Accelerators: 2},
		"less memory":        {MilliCPU: 32000, MemoryMB: 3000, Accelerators: 8},
		"fewer cores":        {MilliCPU: 2000, MemoryMB: 64000, Accelerators: 8},
		"nothing":            {},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 1, false)
			b.add(independentJob("before", 5))
			b.advance(200 * time.Millisecond)
			assert.Equal(t, b.running(), 5)
			b.resize("w00", reduced)
			b.add(independentJob("after", 3))
			b.add(gangJob("urgent", "urgent", "acme", 1, 1))
			b.advance(time.Second)
			assert.Equal(t, b.runningOf("after"), 0)
			for key := range b.workers["w00"].running {
				if key.task.Job == "before" {
					b.endRun(b.workers["w00"], key.task, key.attempt, workload.CompletionDone)
				}
			}
			b.advance(time.Second)
			b.resize("w00", full)
			b.advance(time.Second)
			assert.Equal(t, b.runningOf("after"), 3)
			assert.Equal(t, b.runningOf("urgent"), 1)
		})
	}
}

// The runs preempted for an urgent gang still use their capacity while they stop, and by then
// the capacity that the gang claimed is gone.
func TestAClaimOnAWorkerWhoseRoomShrinksIsDropped(t *testing.T) {
	b := newBench(t, 2, false)
	b.stopTakes = 500 * time.Millisecond
	b.add(independentJob("batch", 16))
	b.advance(200 * time.Millisecond)
	b.add(gangJob("urgent", "urgent", "acme", 1, 8))
	b.advance(200 * time.Millisecond)
	assert.Assert(t, b.stops > 0)
	host := b.core.jobs["urgent"].steps[0].claim.places[0].worker.ID
	b.resize(host, workload.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: 4})
	b.advance(2 * time.Second)
	assert.Equal(t, b.runningOf("urgent"), 1)
	assert.Assert(t, b.hostOf("urgent") != host)
}

func TestNewLeaderUsesTheCurrentCapacityOfAWorker(t *testing.T) {
	b := newBench(t, 1, false)
	b.add(independentJob("before", 5))
	b.advance(200 * time.Millisecond)
	b.resize("w00", workload.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: 4})
	next := New(testBounds, 3, b.now, b.now)
	next.Configure(testConfig())
	b.core, b.starts = next, 0
	b.listWorkers()
	for _, id := range []string{"before", "after"} {
		b.add(independentJob(id, 5))
	}
	b.advance(2 * time.Second)
	assert.Equal(t, b.starts, 0)
}
