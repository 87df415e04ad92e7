package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

func singleJob(id, queue, account string, tasks int, accelerators int64) *workload.Job {
	job := gangJob(id, queue, account, tasks, accelerators)
	job.Steps[0].Gang = false
	return job
}

// racksUsed counts the racks (the second letter of a worker's id) on which tasks of a job run.
func (b *bench) racksUsed(job string) int {
	racks := make(map[byte]bool)
	for id, w := range b.workers {
		for key := range w.running {
			if key.task.Job == job {
				racks[id[1]] = true
			}
		}
	}
	return len(racks)
}

func (b *bench) runningOf(job string) int {
	count := 0
	for _, w := range b.workers {
		for key := range w.running {
			if key.task.Job == job {
				count++
			}
		}
	}
	return count
}

func TestUrgentWorkOfOneRackHasOthersStoppedThereRatherThanSpreading(t *testing.T) {
	for name, account := range map[string]string{"inside the guarantee": "acme", "outside of any guarantee": "other"} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 20, false) // two racks of ten
			for _, rack := range []string{"r0", "r1"} {
				filler := singleJob("filler "+rack, "batch", "other", 9, 8)
				filler.Steps[0].DataRack = rack
				filler.Steps[0].EstimateMS = 60_000
				b.add(filler)
			}
			b.advance(time.Second)
			assert.Equal(t, b.running(), 18)
			urgent := gangJob("urgent", "urgent", account, 2, 8)
			urgent.Steps[0].RackSensitive = true
			// One worker is free in each rack: the gang would fit across both.
			b.add(urgent)
			b.advance(time.Second)
			assert.Equal(t, b.runningOf("urgent"), 2)
			assert.Equal(t, b.racksUsed("urgent"), 1)
		})
	}
}

func TestLateWorkPreemptsNothing(t *testing.T) {
	b := newBench(t, 1, false)
	b.add(singleJob("filler", "batch", "other", 8, 1))
	b.advance(time.Second)
	late := gangJob("late", "urgent", "other", 1, 8)
	late.AcceptedMS = b.wallMS - 6000 // its objective is 1.5 x 3 s + 0.25 s
	b.core.AddJob(late, Record{}, false, b.now, b.wallMS)
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("filler"), 8, "work was stopped for a job that is late anyway")
	assert.Equal(t, b.stops, 0)
}

func TestABurstOfUrgentWorkInsideTheGuaranteeBeginsWithinItsBound(t *testing.T) {
	b := newBench(t, 4, false)
	filler := singleJob("filler", "batch", "other", 32, 1)
	filler.Steps[0].EstimateMS = 60_000
	b.add(filler)
	b.advance(time.Second)
	b.add(gangJob("first", "urgent", "acme", 1, 8))
	b.add(singleJob("second", "urgent", "acme", 8, 1))
	b.advance(testBounds.MaxReclaimTime)
	assert.Equal(t, b.runningOf("first"), 1)
	assert.Equal(t, b.runningOf("second"), 8)
	assert.Equal(t, b.runningOf("filler"), 16, "only the necessary runs are stopped")
}

func TestUrgentWorkWithSlackWaitsForCompletions(t *testing.T) {
	b := newBench(t, 1, false)
	filler := singleJob("filler", "batch", "other", 8, 1)
	filler.Steps[0].EstimateMS = 2000
	b.add(filler)
	b.advance(1500 * time.Millisecond)
	b.add(gangJob("urgent", "urgent", "other", 1, 8)) // 4.75 s for 3 s of work
	b.advance(400 * time.Millisecond)
	assert.Equal(t, b.stops, 0)
	b.endAll(workload.CompletionDone)
	b.advance(1500 * time.Millisecond)
	assert.Equal(t, b.runningOf("urgent"), 1)
	assert.Equal(t, b.stops, 0)
}

func TestUrgentWorkPreemptsRunsThatExceedTheirEstimates(t *testing.T) {
	b := newBench(t, 1, false)
	filler := singleJob("filler", "batch", "other", 8, 1)
	filler.Steps[0].EstimateMS = 2000
	b.add(filler)
	b.advance(1500 * time.Millisecond)
	b.add(gangJob("urgent", "urgent", "other", 1, 8))
	b.advance(1750 * time.Millisecond)
	assert.Equal(t, b.runningOf("urgent"), 1, "the urgent job starts before it is late")
}

func TestServingTasksShareNoWorkerWithBatchTasks(t *testing.T) {
	b := newBench(t, 3, false)
	serving := singleJob("serving", "batch", "other", 2, 1)
	serving.Steps[0].TargetMS, serving.Steps[0].LongRunning = 50, true
	b.add(serving)
	b.advance(200 * time.Millisecond)
	b.add(singleJob("filler", "batch", "other", 24, 1))
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("serving"), 2)
	assert.Equal(t, b.runningOf("filler"), 16, "one worker is reserved for serving tasks")
}

func TestLongRunningTaskRestartsAfterAnyEnd(t *testing.T) {
	b := newBench(t, 1, false)
	job := singleJob("lasting", "batch", "other", 1, 1)
	job.Steps[0].LongRunning = true
	b.add(job)
	for _, kind := range []workload.CompletionKind{workload.CompletionDone, workload.CompletionFailed, workload.CompletionFailed, workload.CompletionFailed, workload.CompletionExpired} {
		b.advance(500 * time.Millisecond)
		assert.Equal(t, b.runningOf("lasting"), 1)
		b.endAll(kind)
	}
	b.advance(500 * time.Millisecond)
	assert.Equal(t, b.runningOf("lasting"), 1)
	b.core.Cancel("lasting", b.now, b.wallMS)
	b.advance(500 * time.Millisecond)
	assert.Equal(t, b.running(), 0)
	assert.Equal(t, b.finalState("lasting"), FinalCancelled)
}

func TestOccurrencesStartWhenDueAndMayOverlap(t *testing.T) {
	b := newBench(t, 4, false)
	job := singleJob("timed", "batch", "other", 1, 1)
	job.OccurrenceCount, job.FirstDueMS, job.IntervalMS = 3, b.wallMS+1000, 1000
	b.add(job)
	b.advance(900 * time.Millisecond)
	assert.Equal(t, b.starts, 0)
	b.advance(1200 * time.Millisecond)
	assert.Equal(t, b.runningOf("timed"), 2)
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("timed"), 3)
	b.endAll(workload.CompletionDone)
	b.advance(2 * time.Second)
	assert.Equal(t, b.finalState("timed"), FinalCompleted)
}

func TestASickJobEndsAfterItsAttemptsAndASickWorkerGetsNothingNew(t *testing.T) {
	b := newBench(t, 2, false)
	b.add(singleJob("sick", "batch", "other", 1, 1))
	for range 2 {
		b.advance(400 * time.Millisecond)
		b.endAll(workload.CompletionFailed)
	}
	b.advance(400 * time.Millisecond)
	assert.Equal(t, b.finalState("sick"), FinalFailed)
	assert.Equal(t, b.starts, 2)
}
