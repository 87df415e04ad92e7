package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestWhatRanOnAWorkerThatIsGoneRunsElsewhereOnceItsLeaseIsOver(t *testing.T) {
	b := newBench(t, 3, false)
	b.add(gangJob("gang", "batch", "other", 2, 8))
	b.pass(3 * time.Second)
	assert.Equal(t, b.runningOf("gang"), 2)
	for id, w := range b.workers {
		if len(w.running) > 0 {
			b.silent[id] = true
			break
		}
	}
	for id, w := range b.workers {
		if !b.silent[id] {
			for key := range w.running {
				b.end(w, key.task, key.attempt, "broken")
			}
		}
	}
	b.pass(testBounds.LongestLease / 2)
	assert.Equal(t, b.starts, 2, "the silent worker may run its member yet")
	b.pass(testBounds.LongestLease)
	assert.Equal(t, b.starts, 4, "nobody may wait for a worker for ever")
}
