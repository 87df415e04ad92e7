package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// lapse ends what runs on workers whose lease is over, as they do by themselves.
func (b *bench) lapse() {
	for _, w := range b.workers {
		for key := range w.running {
			if b.clock() > w.leaseMS {
				b.end(w, key.task, key.attempt, workload.EndLapsed)
			}
		}
	}
}

// goneBehindACut has a job run on a worker that says that it leaves, is dropped from
// the list, and refuses connections while it runs on.
func goneBehindACut(t *testing.T) (b *bench, host string) {
	b = newBench(t, 3, false)
	b.add(gangJob("gang", "batch", "other", 1, 8))
	b.pass(time.Second)
	host = b.hostOf("gang")
	b.leave(host, time.Minute)
	b.pass(testBounds.LongestLease)
	b.unlisted[host], b.refusing[host] = true, true
	b.list()
	return b, host
}

func TestALeavingWorkerThatRefusesConnectionsMayRunOnUntilItsLeaseIsOver(t *testing.T) {
	b, host := goneBehindACut(t)
	for b.starts == 1 {
		b.pass(50 * time.Millisecond)
		assert.Assert(t, b.now.Sub(epochStart) < time.Minute, "nobody may wait for a worker for ever")
		if b.starts == 1 {
			b.lapse()
		}
	}
	assert.Equal(t, len(b.workers[host].running), 0, "the same task runs on two workers")
}

func TestWhatRanOnALeavingWorkerThatIsGoneRunsElsewhereSoon(t *testing.T) {
	b, _ := goneBehindACut(t)
	b.pass(slowest(leavingLease) + testBounds.StopTime + 200*time.Millisecond)
	assert.Equal(t, b.starts, 2)
}

func TestALookThatIsLostDoesNotEndWhatALeavingWorkerRuns(t *testing.T) {
	b := newBench(t, 2, false)
	b.add(gangJob("gang", "batch", "other", 1, 8))
	b.pass(time.Second)
	host := b.hostOf("gang")
	b.leave(host, time.Minute)
	b.pass(testBounds.LongestLease)
	b.silent[host] = true
	b.pass(pollWait + pollAgain) // what one lost poll takes, and the pause after it
	b.lapse()
	assert.Equal(t, b.runningOf("gang"), 1)
}
