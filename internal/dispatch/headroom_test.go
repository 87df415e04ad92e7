package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// runUrgentBursts adds urgent gangs of whole workers every two seconds to a backlog of small
// batch tasks, and returns the number of stopped tasks and of completed urgent jobs.
func runUrgentBursts(t *testing.T, checkpoints bool) (stops, urgentDone int) {
	b := newBench(t, 12, false)
	for n := range 40 {
		job := singleJob(fmt.Sprintf("batch-%d", n), "batch", "other", 16, 1)
		job.Steps[0].Checkpoints = checkpoints
		b.add(job)
	}
	for n := range 20 {
		b.add(gangJob(fmt.Sprintf("urgent-%d", n), "urgent", "other", 2, 8))
		b.advance(2 * time.Second)
		for id, w := range b.workers {
			_ = id
			for key, r := range w.running {
				if b.now.Sub(r.startedAt) > 2900*time.Millisecond {
					b.endRun(w, key.task, key.attempt, workload.CompletionDone)
				}
			}
		}
	}
	for n := range 20 {
		if b.finalState(fmt.Sprintf("urgent-%d", n)) == FinalCompleted {
			urgentDone++
		}
	}
	return b.stops, urgentDone
}

func TestBurstsOfUrgentWorkOverABacklogStopFewTasksOnceTheyAreKnown(t *testing.T) {
	stops, done := runUrgentBursts(t, false)
	// Without headroom, 20 gangs of two whole workers would each have 16 tasks stopped.
	assert.Assert(t, stops < 20*16/4, "%d tasks were stopped", stops)
	assert.Assert(t, done >= 18, "%d urgent jobs of 20 are done", done)
}

func TestLargeGangStartsAtOnceOnAHalfEmptyDeployment(t *testing.T) {
	b := newBench(t, 12, false)
	b.add(gangJob("urgent", "urgent", "other", 4, 8))
	b.advance(12 * time.Second) // urgent work used a third of the deployment for a long time
	b.add(gangJob("large", "batch", "other", 8, 8))
	b.advance(500 * time.Millisecond)
	assert.Equal(t, b.runningOf("large"), 8)
}
