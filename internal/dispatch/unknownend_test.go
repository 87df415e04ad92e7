package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// newUnknownEndBench returns a bench with a worker on which the previous leader started a task that is
// done. Its job is not known yet.
func newUnknownEndBench(t *testing.T) (*bench, *fakeWorker) {
	b := newTakeoverBench(t, time.Second)
	b.unresponsive["w01"], b.feedLate = false, true
	w := b.workers["w00"]
	b.endEarlierRun(w, "late")
	return b, w
}

// endEarlierRun lets a run that the previous leader started end on a worker.
func (b *bench) endEarlierRun(w *fakeWorker, job string) {
	key := runKey{workload.TaskID{Job: job}, 2_000_001}
	w.running[key] = &fakeRun{}
	b.endRun(w, key.task, key.attempt, workload.CompletionDone)
}

func TestATaskThatEndedBeforeItsJobWasKnownDoesNotRunAgain(t *testing.T) {
	b, w := newUnknownEndBench(t)
	b.advance(1500 * time.Millisecond)
	b.add(gangJob("late", "batch", "other", 1, 8))
	assert.Equal(t, b.core.workers["w00"].acknowledgeable, int64(0), "the end is not stored yet")
	b.advance(time.Second)
	assert.Equal(t, b.starts, 0)
	assert.Equal(t, b.finalState("late"), FinalCompleted)
	assert.Equal(t, len(w.ended), 0)
}

func TestOtherEndsAreSeenWhileTheJobOfAnEarlierOneIsUnknown(t *testing.T) {
	b, w := newUnknownEndBench(t)
	b.add(gangJob("known", "batch", "other", 1, 8))
	b.endEarlierRun(w, "known")
	polls := 0
	for end := b.now.Add(4 * time.Second); b.now.Before(end); b.advance(50 * time.Millisecond) {
		for _, a := range b.core.Decide(b.now, b.wallMS) {
			if a.Kind == ActPoll && a.Poll.Worker == "w00" {
				polls++
			}
			b.execute(a)
		}
	}
	assert.Equal(t, b.finalState("known"), FinalCompleted)
	assert.Equal(t, len(w.ended), 2, "the first end must not be acknowledged")
	assert.Assert(t, polls <= 10, "%d polls in 4 s", polls)
	b.add(gangJob("late", "batch", "other", 1, 8))
	b.advance(time.Second)
	assert.Equal(t, b.starts, 0)
	assert.Equal(t, len(w.ended), 0)
}

func TestEndsOfJobsThatAreGoneAreAcknowledgedOnceTheFeedIsComplete(t *testing.T) {
	b, w := newUnknownEndBench(t)
	b.advance(3 * time.Second)
	assert.Equal(t, len(w.ended), 1)
	b.feedLate = false
	b.advance(time.Second)
	assert.Equal(t, len(w.ended), 0)
	b.endEarlierRun(w, "gone")
	b.add(gangJob("new", "batch", "other", 1, 8))
	b.advance(time.Second)
	assert.Equal(t, b.starts, 1)
	assert.Equal(t, len(w.ended), 0)
}

func TestARestartedWorkersEndsAreNotMixedWithUnknownOnesOfItsEarlierIncarnation(t *testing.T) {
	b, w := newUnknownEndBench(t)
	w.incarnation = 1
	b.advance(500 * time.Millisecond)
	*w = fakeWorker{capacity: w.capacity, running: make(map[runKey]*fakeRun), closed: make(map[workload.TaskID]int64), incarnation: 2, listedIncarnation: 2}
	b.listWorkers()
	b.add(gangJob("known", "batch", "other", 1, 8))
	b.endEarlierRun(w, "known")
	b.advance(time.Second)
	assert.Equal(t, b.finalState("known"), FinalCompleted)
	assert.Equal(t, len(w.ended), 0, "the earlier incarnation's ends are over")
}
