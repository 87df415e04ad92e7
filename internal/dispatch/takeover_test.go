package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// takeover is a bench whose leader before may give orders for a while yet.
func takeover(t *testing.T, overlap time.Duration) *bench {
	b := newBench(t, 2, true)
	b.core = New(testBounds, 3, b.now, b.now.Add(overlap))
	b.core.Configure(testConfig())
	b.silent["w01"] = true
	b.list()
	return b
}

func TestWorkThatMayRunUnseenWaitsForEveryWorkerOrForTheLongestLease(t *testing.T) {
	b := takeover(t, 0)
	b.add(gangJob("old", "batch", "other", 1, 8))
	b.pass(testBounds.LongestLease)
	assert.Equal(t, b.runningOf("old"), 0, "the silent worker may run it")
	b.pass(time.Second)
	assert.Equal(t, b.runningOf("old"), 1)
}

func TestWorkAcceptedWhileTheHolderBeforeMayGiveOrdersWaitsAsWell(t *testing.T) {
	b := takeover(t, time.Second)
	b.pass(500 * time.Millisecond)
	b.add(gangJob("between", "batch", "other", 1, 8))
	b.pass(time.Second)
	assert.Equal(t, b.runningOf("between"), 0, "the leader before may have started it on the silent worker")
	b.add(gangJob("after", "batch", "other", 1, 8))
	b.pass(time.Second)
	assert.Equal(t, b.runningOf("after"), 1)
}

func TestOnceEveryWorkerHasAnsweredNothingWaits(t *testing.T) {
	b := takeover(t, time.Second)
	b.silent["w01"] = false
	b.add(gangJob("old", "batch", "other", 1, 8))
	b.pass(200 * time.Millisecond)
	assert.Equal(t, b.runningOf("old"), 1)
}

func TestAJobThatBecomesKnownAfterARunOfItWasMetWaitsUntilThatIsGone(t *testing.T) {
	b := newBench(t, 2, true)
	w := b.workers["w00"]
	met := runKey{workload.TaskID{Job: "job"}, 1_000_001}
	w.running[met] = &fakeRun{need: workload.Resources{Accelerators: 8}}
	stopping := true
	b.ignoreStops = func() bool { return stopping }
	b.pass(100 * time.Millisecond) // the run is met, its job is not known
	b.add(gangJob("job", "batch", "other", 1, 8))
	b.pass(time.Second)
	assert.Equal(t, b.starts, 0, "a second run beside the one that is being stopped")
	stopping = false
	b.pass(3 * time.Second)
	assert.Assert(t, w.running[met] == nil)
	assert.Equal(t, b.starts, 1)
}

func TestARunOfAnEarlierEpochMayGoOnForTheLongestLeaseOnceItsWorkerFallsSilent(t *testing.T) {
	b := newBench(t, 2, true)
	w := b.workers["w00"]
	met := runKey{workload.TaskID{Job: "job"}, 1_000_001}
	w.running[met] = &fakeRun{need: workload.Resources{Accelerators: 8}}
	b.add(gangJob("job", "batch", "other", 1, 8))
	for _, a := range b.core.Decide(b.now, b.wallMS) {
		b.carryOut(a)
	}
	b.silent["w00"] = true
	b.pass(testBounds.LongestLease - 500*time.Millisecond)
	assert.Equal(t, b.starts, 0, "its lease, by an earlier epoch, is not over")
	b.pass(2 * time.Second)
	assert.Equal(t, b.starts, 1)
}

func TestAGangOfWhichAnEarlierEpochStartedSomeMembersIsStoppedAtOnce(t *testing.T) {
	for name, silent := range map[string]bool{"all workers answer": false, "one worker answers later": true} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 2, true)
			alone := runKey{workload.TaskID{Job: "gang", Index: 1}, 1_000_001}
			b.workers["w00"].running[alone] = &fakeRun{need: workload.Resources{Accelerators: 8}}
			b.silent["w01"] = silent
			b.add(gangJob("gang", "batch", "other", 2, 8))
			b.pass(time.Second)
			if silent {
				assert.Assert(t, b.workers["w00"].running[alone] != nil, "the silent worker may run the other member")
				b.silent["w01"] = false
				b.pass(time.Second)
			}
			assert.Assert(t, b.workers["w00"].running[alone] == nil, "it would wait until it gives up")
			assert.Equal(t, b.runningOf("gang"), 2, "started again whole")
		})
	}
}

func TestTheLastAnswerEndsTheWaitInTheNextRound(t *testing.T) {
	b := takeover(t, 0)
	b.add(gangJob("old", "batch", "other", 1, 8))
	b.pass(time.Second)
	assert.Equal(t, b.runningOf("old"), 0)
	b.silent["w01"] = false
	b.pass(300 * time.Millisecond)
	assert.Equal(t, len(b.core.Unsynced()), 0)
	assert.Equal(t, b.runningOf("old"), 1)
}
