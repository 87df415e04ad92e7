package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// endExpiredRuns ends runs on workers whose lease has expired, as the workers do themselves.
func (b *bench) endExpiredRuns() {
	for _, w := range b.workers {
		for key := range w.running {
			if b.clockOf(w) > w.leaseUntilMS {
				b.endRun(w, key.task, key.attempt, workload.CompletionExpired)
			}
		}
	}
}

// newPartitionedLeavingWorker runs a job on a worker that announces that it leaves, is dropped
// from the list, and refuses connections while its run continues.
func newPartitionedLeavingWorker(t *testing.T) (b *bench, host string) {
	b = newBench(t, 3, false)
	b.add(gangJob("gang", "batch", "other", 1, 8))
	b.advance(time.Second)
	host = b.hostOf("gang")
	b.announceLeaving(host, time.Minute)
	b.advance(testBounds.MaxLease)
	b.unlisted[host], b.refusing[host] = true, true
	b.listWorkers()
	return b, host
}

func TestALeavingWorkerThatRefusesConnectionsMayRunOnUntilItsLeaseIsOver(t *testing.T) {
	b, host := newPartitionedLeavingWorker(t)
	for b.starts == 1 {
		b.advance(50 * time.Millisecond)
		assert.Assert(t, b.now.Sub(testStart) < time.Minute, "the wait for a worker must end")
		if b.starts == 1 {
			b.endExpiredRuns()
		}
	}
	assert.Equal(t, len(b.workers[host].running), 0, "the same task runs on two workers")
}

func TestWhatRanOnALeavingWorkerThatIsGoneRunsElsewhereSoon(t *testing.T) {
	b, _ := newPartitionedLeavingWorker(t)
	b.advance(maxElapsed(leavingWorkerLease) + testBounds.MaxStopTime + 200*time.Millisecond)
	assert.Equal(t, b.starts, 2)
}

func TestLostPollDoesNotEndRunsOnALeavingWorker(t *testing.T) {
	b := newBench(t, 2, false)
	b.add(gangJob("gang", "batch", "other", 1, 8))
	b.advance(time.Second)
	host := b.hostOf("gang")
	b.announceLeaving(host, time.Minute)
	b.advance(testBounds.MaxLease)
	b.unresponsive[host] = true
	b.advance(longPollWait + pollRetryPause) // one lost poll and the pause after it
	b.endExpiredRuns()
	assert.Equal(t, b.runningOf("gang"), 1)
}
