package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestWhatRanOnAWorkerThatIsGoneRunsElsewhereOnceItsLeaseIsOver(t *testing.T) {
	b := newBench(t, 3, false)
	b.add(gangJob("gang", "batch", "other", 2, 8))
	b.advance(3 * time.Second)
	assert.Equal(t, b.runningOf("gang"), 2)
	for id, w := range b.workers {
		if len(w.running) > 0 {
			b.unresponsive[id] = true
			break
		}
	}
	for id, w := range b.workers {
		if !b.unresponsive[id] {
			for key := range w.running {
				b.endRun(w, key.task, key.attempt, "broken")
			}
		}
	}
	b.advance(testBounds.MaxLease / 2)
	assert.Equal(t, b.starts, 2, "the unresponsive worker may still run its member")
	b.advance(testBounds.MaxLease)
	assert.Equal(t, b.starts, 4, "the wait for a worker must end")
}
