package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// newFullBench returns a bench of workers filled with batch tasks, where a stop takes the full
// stop time.
func newFullBench(t *testing.T, workers int) *bench {
	b := newBench(t, workers, false)
	b.add(singleJob("batch", "batch", "other", 8*workers, 1))
	b.advance(time.Second)
	assert.Equal(t, b.running(), 8*workers)
	b.stopTakes = testBounds.MaxStopTime
	return b
}

func urgentGang(id string, tasks int, estimate time.Duration) *workload.Job {
	job := gangJob(id, "urgent", "other", tasks, 8)
	job.Steps[0].EstimateMS = estimate.Milliseconds()
	return job
}

func TestRoomThatIsFreedForOneUrgentGangIsNotTakenByTheNext(t *testing.T) {
	b := newFullBench(t, 6)
	b.add(urgentGang("first", 3, 4*time.Second))
	b.advance(100 * time.Millisecond)
	assert.Equal(t, b.stops, 24, "three whole workers are freed")
	// Two more arrive, due before the first, while its victims are being stopped.
	b.add(urgentGang("second", 1, time.Second))
	b.add(urgentGang("third", 1, time.Second))
	b.advance(testBounds.MaxStopTime)
	assert.Equal(t, b.runningOf("first"), 3)
	b.advance(testBounds.MaxStopTime)
	assert.Equal(t, b.runningOf("second")+b.runningOf("third"), 2)
	assert.Equal(t, b.stops, 40, "every preemption leads to a start")
}

func TestClaimEndsWithItsWorkerAndDoesNotKeepAGangFromFreeCapacity(t *testing.T) {
	b := newFullBench(t, 3)
	b.add(urgentGang("gang", 2, 4*time.Second))
	b.advance(100 * time.Millisecond)
	assert.Equal(t, b.stops, 16)
	claimed := b.core.jobs["gang"].steps[0].claim.places
	delete(b.workers, claimed[0].worker.ID)
	b.addWorker("w90")
	b.addWorker("w91")
	b.listWorkers()
	b.advance(100 * time.Millisecond)
	assert.Equal(t, b.runningOf("gang"), 2, "two new workers are free")
}

func TestFailedUrgentGangRestartsOnItsWorkers(t *testing.T) {
	b := newBench(t, 2, false)
	b.stopTakes = 900 * time.Millisecond
	b.add(gangJob("urgent", "urgent", "other", 2, 8))
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("urgent"), 2)
	b.add(gangJob("waits-1", "batch", "other", 1, 8))
	b.add(gangJob("waits-2", "batch", "other", 1, 8))
	b.advance(time.Second)

	first, second := b.workers["w00"], b.workers["w01"]
	for key := range first.running {
		b.endRun(first, key.task, key.attempt, workload.CompletionFailed)
	}
	b.unresponsive["w01"] = true // its member's completion arrives later
	b.advance(100 * time.Millisecond)
	b.unresponsive["w01"] = false
	for key := range second.running {
		b.endRun(second, key.task, key.attempt, workload.CompletionInterrupted)
	}
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("urgent"), 2)
	assert.Equal(t, b.runningOf("waits-1")+b.runningOf("waits-2"), 0)
	assert.Equal(t, b.starts, 4, "nothing else started in its capacity only to be preempted")
}

func TestFailedUrgentGangDoesNotClaimAnUnhealthyWorker(t *testing.T) {
	b := newBench(t, 2, false)
	b.add(gangJob("other", "batch", "other", 1, 8))
	b.advance(500 * time.Millisecond)
	for _, w := range b.workers {
		for key := range w.running {
			b.endRun(w, key.task, key.attempt, workload.CompletionFailed)
		}
	}
	b.core.Cancel("other", b.now, b.wallMS)
	b.advance(500 * time.Millisecond)
	b.add(gangJob("urgent", "urgent", "other", 2, 8))
	b.advance(500 * time.Millisecond)
	s := b.core.jobs["urgent"].steps[0]
	for key := range b.workers["w00"].running {
		b.endRun(b.workers["w00"], key.task, key.attempt, workload.CompletionFailed)
	}
	for key := range b.workers["w01"].running {
		b.endRun(b.workers["w01"], key.task, key.attempt, workload.CompletionInterrupted)
	}
	b.core.tick(b.now, b.wallMS)
	for _, id := range []string{"w00", "w01"} {
		w := b.core.workers[id]
		b.core.receiveCompletions(w, b.report(b.workers[id], workload.Poll{Acknowledged: w.acknowledgeable}).Ended)
	}
	assert.Assert(t, s.claim == nil, "work of two jobs failed on one of its workers")
}
