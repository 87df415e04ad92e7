package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// newTakeoverBench returns a bench whose previous leader may give orders for the given time.
func newTakeoverBench(t *testing.T, overlap time.Duration) *bench {
	b := newBench(t, 2, true)
	b.core = New(testBounds, 3, b.now, b.now.Add(overlap))
	b.core.Configure(testConfig())
	b.unresponsive["w01"] = true
	b.listWorkers()
	return b
}

func TestWorkThatMayRunUnseenWaitsForEveryWorkerOrForTheLongestLease(t *testing.T) {
	b := newTakeoverBench(t, 0)
	b.add(gangJob("old", "batch", "other", 1, 8))
	b.advance(testBounds.MaxLease)
	assert.Equal(t, b.runningOf("old"), 0, "the unresponsive worker may run it")
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("old"), 1)
}

func TestWorkAcceptedWhileThePreviousLeaderMayGiveOrdersWaitsToo(t *testing.T) {
	b := newTakeoverBench(t, time.Second)
	b.advance(500 * time.Millisecond)
	b.add(gangJob("between", "batch", "other", 1, 8))
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("between"), 0, "the previous leader may have started it on the unresponsive worker")
	b.add(gangJob("after", "batch", "other", 1, 8))
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("after"), 1)
}

func TestAJobThatThePreviousLeaderMayHaveStartedWaitsHoweverLateItBecomesKnown(t *testing.T) {
	b := newTakeoverBench(t, time.Second)
	b.feedLate = true
	b.advance(1500 * time.Millisecond)
	b.add(gangJob("late", "batch", "other", 1, 4))
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("late"), 0, "the previous leader may have started it on the unresponsive worker")
	b.feedLate = false
	b.add(gangJob("new", "batch", "other", 1, 4))
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("late"), 0)
	assert.Equal(t, b.runningOf("new"), 1)
	b.advance(testBounds.MaxLease)
	assert.Equal(t, b.runningOf("late"), 1)
}

func TestNoStartIntentCountsAsStoredWhileAJobOfThePreviousLeaderMayBeUnknown(t *testing.T) {
	b := newTakeoverBench(t, time.Second)
	b.unresponsive["w01"], b.feedLate = false, true
	b.core.StoreStartIntents(true)
	b.core.StoreAllStartIntents()
	b.advance(1500 * time.Millisecond)
	assert.Assert(t, !b.core.StartIntentsStored(), "the next leader would take an unknown job for one that never started")
	b.core.AddJob(gangJob("late", "urgent", "other", 3, 8), Record{}, false, b.now, b.wallMS)
	b.feedLate = false
	b.round()
	assert.Assert(t, !b.core.StartIntentsStored())
	b.core.MarkRecordsStored(b.core.UnstoredRecords(50), b.now, b.wallMS)
	assert.Equal(t, b.runningOf("late"), 0, "it does not fit")
	assert.Assert(t, b.core.StartIntentsStored(), "a job that waits must not delay the promise")
}

func TestOnceEveryWorkerHasAnsweredNothingWaits(t *testing.T) {
	b := newTakeoverBench(t, time.Second)
	b.unresponsive["w01"] = false
	b.add(gangJob("old", "batch", "other", 1, 8))
	b.advance(200 * time.Millisecond)
	assert.Equal(t, b.runningOf("old"), 1)
}

func TestAJobThatBecomesKnownAfterARunOfItWasMetWaitsUntilThatIsGone(t *testing.T) {
	b := newBench(t, 2, true)
	w := b.workers["w00"]
	adopted := runKey{workload.TaskID{Job: "job"}, 1_000_001}
	w.running[adopted] = &fakeRun{need: workload.Resources{Accelerators: 8}}
	stopping := true
	b.dropStops = func() bool { return stopping }
	b.advance(100 * time.Millisecond) // the run is seen, its job is not known
	b.add(gangJob("job", "batch", "other", 1, 8))
	b.advance(time.Second)
	assert.Equal(t, b.starts, 0, "a second run would overlap the one being stopped")
	stopping = false
	b.advance(3 * time.Second)
	assert.Assert(t, w.running[adopted] == nil)
	assert.Equal(t, b.starts, 1)
}

func TestARunOfAnEarlierEpochMayGoOnForTheLongestLeaseOnceItsWorkerFallsSilent(t *testing.T) {
	b := newBench(t, 2, true)
	w := b.workers["w00"]
	adopted := runKey{workload.TaskID{Job: "job"}, 1_000_001}
	w.running[adopted] = &fakeRun{need: workload.Resources{Accelerators: 8}}
	b.add(gangJob("job", "batch", "other", 1, 8))
	for _, a := range b.core.Decide(b.now, b.wallMS) {
		b.execute(a)
	}
	b.unresponsive["w00"] = true
	b.advance(testBounds.MaxLease - 500*time.Millisecond)
	assert.Equal(t, b.starts, 0, "its lease from an earlier epoch has not expired")
	b.advance(2 * time.Second)
	assert.Equal(t, b.starts, 1)
}

func TestAGangOfWhichAnEarlierEpochStartedSomeMembersIsStoppedAtOnce(t *testing.T) {
	for name, unresponsive := range map[string]bool{"all workers answer": false, "one worker answers later": true} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 2, true)
			member := runKey{workload.TaskID{Job: "gang", Index: 1}, 1_000_001}
			b.workers["w00"].running[member] = &fakeRun{need: workload.Resources{Accelerators: 8}}
			b.unresponsive["w01"] = unresponsive
			b.add(gangJob("gang", "batch", "other", 2, 8))
			b.advance(time.Second)
			if unresponsive {
				assert.Assert(t, b.workers["w00"].running[member] != nil, "the unresponsive worker may run the other member")
				b.unresponsive["w01"] = false
				b.advance(time.Second)
			}
			assert.Assert(t, b.workers["w00"].running[member] == nil, "the member would wait until its timeout")
			assert.Equal(t, b.runningOf("gang"), 2, "the whole gang started again")
		})
	}
}

func TestLastAnswerEndsTheWaitInTheNextRound(t *testing.T) {
	b := newTakeoverBench(t, 0)
	b.add(gangJob("old", "batch", "other", 1, 8))
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("old"), 0)
	b.unresponsive["w01"] = false
	b.advance(300 * time.Millisecond)
	assert.Equal(t, len(b.core.Unsynced()), 0)
	assert.Equal(t, b.runningOf("old"), 1)
}
