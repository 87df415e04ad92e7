package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// fillRacks occupies the given number of workers on each of two racks, with tasks that are
// expected to take 20 s or are long-running.
func (b *bench) fillRacks(busy int, longRunning bool) {
	for _, rack := range []string{"r0", "r1"} {
		filler := singleJob("filler "+rack, "batch", "other", busy, 8)
		filler.Steps[0].DataRack, filler.Steps[0].LongRunning = rack, longRunning
		filler.Steps[0].EstimateMS = 20_000
		b.add(filler)
	}
}

// A gang that is bound to one rack, on two racks of ten workers each.
func TestAGangOfOneRackWaitsForItAsLongAsItWillHaveRoom(t *testing.T) {
	for name, c := range map[string]struct {
		// busy is the number of workers occupied on each rack, by tasks that are expected to
		// take 20 s or are long-running.
		busy        int
		longRunning bool
		// tasks is the size of the gang; each task needs a whole worker.
		tasks  int
		waited time.Duration
		// racks is the number of racks that the gang then runs on, zero while it waits.
		racks int
	}{
		"starts on a rack with enough capacity":                                 {4, false, 6, time.Second, 1},
		"keeps waiting on a nearly full deployment":                             {8, false, 4, 15 * time.Second, 0},
		"waits on a deployment that is half in use":                             {6, false, 8, 15 * time.Second, 0},
		"runs across racks occupied by long-running tasks":                      {8, true, 4, time.Second, 2},
		"waits briefly on a deployment that is less than half in use":           {4, false, 8, time.Second, 0},
		"runs across racks after the wait limit of a lightly loaded deployment": {4, false, 8, 3 * time.Second, 2},
		"runs across racks at once if it is larger than a rack":                 {2, false, 14, time.Second, 2},
		"runs across racks once the runs occupying them are overdue":            {8, false, 4, 45 * time.Second, 2},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 20, false)
			b.fillRacks(c.busy, c.longRunning)
			b.advance(time.Second)
			gang := gangJob("gang", "batch", "other", c.tasks, 8)
			gang.Steps[0].RackSensitive, gang.Steps[0].EstimateMS = true, 2000
			b.add(gang)
			b.advance(c.waited)
			assert.Equal(t, b.racksUsed("gang"), c.racks)
			if c.racks > 0 {
				assert.Equal(t, b.runningOf("gang"), c.tasks)
			}
		})
	}
}

// completeJob completes every run of a job.
func (b *bench) completeJob(job string) {
	for _, w := range b.workers {
		for key := range w.running {
			if key.task.Job == job {
				b.endRun(w, key.task, key.attempt, workload.CompletionDone)
			}
		}
	}
}

func TestOneRackGangStartsOnceItsRackIsFree(t *testing.T) {
	b := newBench(t, 20, false)
	b.fillRacks(8, false)
	b.advance(time.Second)
	gang := gangJob("gang", "batch", "other", 4, 8)
	gang.Steps[0].RackSensitive, gang.Steps[0].EstimateMS = true, 2000
	b.add(gang)
	b.advance(8 * time.Second)
	b.completeJob("filler r1")
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("gang"), 4)
	assert.Equal(t, b.racksUsed("gang"), 1)
}
