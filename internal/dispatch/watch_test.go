package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

func TestLeaderWithoutLeaseReceivesCompletionsAndExtendsNothing(t *testing.T) {
	b := newBench(t, 2, false)
	b.add(gangJob("ends", "batch", "other", 1, 8))
	b.advance(time.Second)
	b.add(gangJob("waits", "batch", "other", 2, 8))
	b.advance(100 * time.Millisecond)
	for _, w := range b.workers {
		for key := range w.running {
			b.endRun(w, key.task, key.attempt, workload.CompletionDone)
		}
	}
	starts := b.starts
	for range 40 {
		b.now, b.wallMS = b.now.Add(50*time.Millisecond), b.wallMS+50
		for _, a := range b.core.Watch(b.now, b.wallMS) {
			assert.Equal(t, a.Kind, ActPoll)
			assert.Equal(t, a.Poll.UntilMS, int64(0))
			b.execute(a)
		}
	}
	assert.Equal(t, b.starts, starts)
	ended := b.core.UnstoredFinalRecords(time.Second)
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].Job, "ends")
	assert.Equal(t, ended[0].Final, FinalCompleted)
	b.advance(100 * time.Millisecond)
	assert.Equal(t, b.runningOf("waits"), 2, "the lease is back")
}

func TestAnEndThatIsNotStoredIsAnnouncedInTimeAlthoughTheTimeOfDayJumps(t *testing.T) {
	for _, jump := range []int64{-600_000, 0, 600_000} {
		b := newBench(t, 1, false)
		b.add(gangJob("ends", "batch", "other", 1, 8))
		b.advance(time.Second)
		b.endAll(workload.CompletionDone)
		b.advance(50 * time.Millisecond)
		b.core.MarkDirty("ends") // the store does not answer
		b.wallMS += jump
		b.core.Watch(b.now, b.wallMS)
		assert.Equal(t, len(b.core.UnstoredFinalRecords(time.Second)), 0, "too early, jump of %d ms", jump)
		b.now, b.wallMS = b.now.Add(time.Second), b.wallMS+1000
		b.core.Watch(b.now, b.wallMS)
		assert.Equal(t, len(b.core.UnstoredFinalRecords(time.Second)), 1, "too late, jump of %d ms", jump)
	}
}
