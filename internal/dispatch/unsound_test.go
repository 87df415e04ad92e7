package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// unsoundBench is a bench on which some workers fail each run that they are given, and faulty jobs
// fail everywhere. All other runs succeed after a while.
type unsoundBench struct {
	*bench
	unsound map[string]bool
	faulty  map[string]bool
	// failAfter is the time after which an unsound worker fails a run.
	failAfter time.Duration
	// failures counts the failed runs by worker.
	failures map[string]int
	// runTimes holds the run times of jobs that take longer than the others.
	runTimes map[string]time.Duration
}

func newUnsoundBench(t *testing.T, workers int, unsound ...string) *unsoundBench {
	b := &unsoundBench{bench: newBench(t, workers, false), unsound: make(map[string]bool), faulty: make(map[string]bool), failures: make(map[string]int), runTimes: make(map[string]time.Duration)}
	for _, id := range unsound {
		b.unsound[id] = true
	}
	return b
}

// advance plays until the given time has passed.
func (b *unsoundBench) advance(d time.Duration) {
	const step = 50 * time.Millisecond
	for until := b.now.Add(d); b.now.Before(until); {
		for _, id := range slices.Sorted(maps.Keys(b.workers)) {
			w := b.workers[id]
			for _, key := range w.sortedRuns() {
				ran := b.now.Sub(w.running[key].startedAt)
				switch {
				case b.unsound[id] && ran >= max(b.failAfter, step) || b.faulty[key.task.Job] && ran >= time.Second:
					b.failures[id]++
					b.endRun(w, key.task, key.attempt, workload.CompletionFailed)
				case ran >= max(2*time.Second, b.runTimes[key.task.Job]):
					b.endRun(w, key.task, key.attempt, workload.CompletionDone)
				}
			}
		}
		b.bench.advance(step)
	}
}

// sortedRuns returns the keys of a worker's runs, by job, task and attempt.
func (w *fakeWorker) sortedRuns() []runKey {
	return slices.SortedFunc(maps.Keys(w.running), func(a, b runKey) int {
		return cmp.Or(cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Index, b.task.Index), cmp.Compare(a.attempt, b.attempt))
	})
}

// addLoad adds a job each 200 ms for a while, and returns their ids.
func (b *unsoundBench) addLoad(name string, jobs int) []string {
	var ids []string
	for n := range jobs {
		job := independentJob(fmt.Sprint(name, n), 4)
		b.add(job)
		ids = append(ids, job.ID)
		b.advance(200 * time.Millisecond)
	}
	return ids
}

func TestSoundJobsAreNotFailedByWorkersThatFailAll(t *testing.T) {
	b := newUnsoundBench(t, 8, "w02", "w05")
	ids := b.addLoad("job", 60)
	b.advance(10 * time.Second)
	for _, id := range ids {
		assert.Equal(t, b.finalState(id), FinalCompleted, id)
	}
	assert.Assert(t, b.failures["w02"] > 0 && b.failures["w02"] <= 16, "%d failed runs", b.failures["w02"])
}

func TestFaultyJobsStillFailAmongUnsoundWorkers(t *testing.T) {
	b := newUnsoundBench(t, 8, "w02")
	for n := range 6 {
		b.faulty[fmt.Sprint("faulty", n)] = true
		b.add(independentJob(fmt.Sprint("faulty", n), 2))
		b.addLoad(fmt.Sprint("job", n), 2)
	}
	b.advance(20 * time.Second)
	for n := range 6 {
		assert.Equal(t, b.finalState(fmt.Sprint("faulty", n)), FinalFailed)
	}
}

func TestAWorkerThatRecoversIsUsedAgain(t *testing.T) {
	b := newUnsoundBench(t, 4, "w01")
	b.addLoad("before", 20)
	assert.Assert(t, b.core.workers["w01"].soundness.closed)
	delete(b.unsound, "w01")
	b.addLoad("after", 200)
	assert.Assert(t, !b.core.workers["w01"].soundness.closed)
	assert.Assert(t, b.core.soundness.Unsound("w01", b.now) < avoidedFrom)
}

func TestWorkRunsWhereAllWorkersAreUnsound(t *testing.T) {
	b := newUnsoundBench(t, 4, "w00", "w01", "w02", "w03")
	b.addLoad("before", 10)
	clear(b.unsound)
	ids := b.addLoad("after", 10)
	b.advance(20 * time.Second)
	for _, id := range ids {
		assert.Equal(t, b.finalState(id), FinalCompleted, id)
	}
}

func TestTheNextLeaderKnowsUnsoundWorkers(t *testing.T) {
	b := newUnsoundBench(t, 8, "w02")
	b.addLoad("job", 20)
	known, failed := b.core.Knowledge(), b.failures["w02"]
	assert.Assert(t, known.Unsound["w02"] >= closedFrom, "%v", known.Unsound)
	b.core = New(testBounds, 3, b.now, b.now)
	b.core.Configure(testConfig())
	b.core.Restore(known, b.now, b.wallMS)
	b.listWorkers()
	b.addLoad("next", 20)
	assert.Assert(t, b.failures["w02"] <= failed+2, "%d failed runs after %d", b.failures["w02"], failed)
}

func TestWithoutFailedRunsNothingIsLimited(t *testing.T) {
	hosts := func(policy string) []string {
		b := newUnsoundBench(t, 4)
		b.core.Tune(Tuning{Choices: map[Choice]string{ChoiceSoundness: policy}})
		b.addLoad("job", 30)
		b.advance(10 * time.Second)
		return b.startHosts
	}
	assert.DeepEqual(t, hosts("evidence"), hosts("consecutive"))
}
