package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// outageBench is a worker with eight jobs of one task each, of which one ends every half second while
// the store takes nothing for 4.5 s.
type outageBench struct {
	*bench
	worker *fakeWorker
	// polls counts the polls while ends wait for the store.
	polls int
}

func newOutageBench(t *testing.T) *outageBench {
	b := &outageBench{bench: newBench(t, 1, false)}
	b.round() // the worker answers
	for n := range 8 {
		b.add(&workload.Job{ID: fmt.Sprintf("job%d", n), Queue: "batch", Account: "other", Steps: []workload.Step{
			{Count: 1, Need: workload.Resources{MilliCPU: 1000, Accelerators: 1}, EstimateMS: 4000},
		}})
	}
	b.advance(100 * time.Millisecond)
	b.worker = b.workers["w00"]
	assert.Equal(t, len(b.worker.running), 8)
	return b
}

// playOutage plays the outage. The leader's own lease ends after two seconds of it if leaseEnds is set.
func (b *outageBench) playOutage(leaseEnds bool) {
	started := b.now
	for end := started.Add(4500 * time.Millisecond); b.now.Before(end); {
		b.now = b.now.Add(50 * time.Millisecond)
		b.wallMS += 50
		elapsed := b.now.Sub(started)
		if elapsed%(500*time.Millisecond) == 0 && len(b.worker.running) > 0 {
			key := b.worker.sortedRuns()[0]
			b.endRun(b.worker, key.task, key.attempt, workload.CompletionDone)
		}
		decide := b.core.Decide
		if leaseEnds && elapsed > 2*time.Second {
			decide = b.core.Watch
		}
		for _, a := range decide(b.now, b.wallMS) {
			if a.Kind == ActPoll && len(b.worker.ended) > 0 {
				b.polls++
			}
			b.execute(a)
		}
	}
}

func TestEndsOnAWorkerAreSeenWhileAnEarlierOneWaitsForTheStore(t *testing.T) {
	for name, leaseEnds := range map[string]bool{"the leader's lease is valid": false, "the leader's lease ends": true} {
		t.Run(name, func(t *testing.T) {
			b := newOutageBench(t)
			b.playOutage(leaseEnds)
			assert.Equal(t, len(b.core.UnstoredFinalRecords(0)), 8, "one write must store all ends")
			assert.Equal(t, len(b.worker.ended), 8, "an end that is not stored must not be acknowledged")
			assert.Assert(t, b.polls <= 10, "%d polls in 4 s", b.polls)
			b.core.MarkRecordsStored(b.core.UnstoredRecords(50), b.now, b.wallMS)
			b.advance(50 * time.Millisecond)
			assert.Equal(t, len(b.worker.ended), 0)
		})
	}
}

// The leader may go on scheduling while records are slow.
func TestTheLeaseOfAWorkerIsExtendedWhileItsEndsWaitForTheStore(t *testing.T) {
	b := newOutageBench(t)
	key := b.worker.sortedRuns()[0]
	b.endRun(b.worker, key.task, key.attempt, workload.CompletionDone)
	for range 2 * int(testBounds.MaxLease/(50*time.Millisecond)) {
		b.now = b.now.Add(50 * time.Millisecond)
		b.wallMS += 50
		for _, a := range b.core.Decide(b.now, b.wallMS) {
			b.execute(a)
		}
		assert.Assert(t, b.worker.leaseUntilMS > b.clockOf(b.worker), "the runs of the worker would end")
	}
}

func TestTheRecordOfARemovedJobIsNotWrittenForever(t *testing.T) {
	b := newBench(t, 1, false)
	b.add(gangJob("ends", "batch", "other", 1, 8))
	b.advance(time.Second)
	b.endAll(workload.CompletionDone)
	b.advance(time.Second)
	b.core.MarkDirty("ends") // its record changes while its rows are being removed
	b.core.RemoveJob("ends")
	for range 3 {
		b.core.MarkRecordsStored(b.core.UnstoredRecords(10), b.now, b.wallMS)
	}
	assert.Equal(t, b.core.UnstoredRecordCount(), 0)
	b.core.RemoveJob("ends")
	assert.Equal(t, len(b.core.jobs), 0)
}
