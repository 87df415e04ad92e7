package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// numberIncarnations makes the workers of a bench report their first incarnation.
func (b *bench) numberIncarnations() {
	for _, w := range b.workers {
		w.incarnation, w.listedIncarnation = 1, 1
	}
	b.listWorkers()
}

func newIncarnationBench(t *testing.T, workers int) *bench {
	b := newBench(t, workers, false)
	b.numberIncarnations()
	return b
}

// restart starts the next incarnation of a worker under its id. Its entry in the platform's list
// follows.
func (b *bench) restart(id string) {
	b.restartBeforeItsEntry(id)
	b.workers[id].listedIncarnation++
}

func (b *bench) restartBeforeItsEntry(id string) {
	old := b.workers[id]
	b.addWorker(id)
	next := b.workers[id]
	next.capacity = old.capacity
	next.incarnation, next.listedIncarnation = old.incarnation+1, old.listedIncarnation
	next.clockZero = b.now.UnixMilli()
}

// completeOn ends all runs on a worker as done.
func (b *bench) completeOn(id string) {
	w := b.workers[id]
	for key := range w.running {
		b.endRun(w, key.task, key.attempt, workload.CompletionDone)
	}
}

func TestRunsOfAnEarlierIncarnationAreLostAndStartAgainOnce(t *testing.T) {
	for name, relist := range map[string]bool{"its entry is the old one": false, "its entry is the new one": true} {
		t.Run(name, func(t *testing.T) {
			b := newIncarnationBench(t, 2)
			b.add(gangJob("lost", "batch", "other", 1, 8))
			b.advance(time.Second)
			host := b.hostOf("lost")
			b.restartBeforeItsEntry(host)
			if relist {
				b.workers[host].listedIncarnation++
				b.listWorkers()
			}
			b.advance(2 * time.Second)
			assert.Equal(t, b.starts, 2)
			assert.Equal(t, b.runningOf("lost"), 1)
			assert.Equal(t, len(b.lostRuns), 1)
			assert.Equal(t, b.lostRuns[0].Lost.Cause, LossReplaced)
			assert.Equal(t, len(b.core.machineCrashes), 1, "it counts as a crash of the machine")
			b.completeOn(b.hostOf("lost"))
			b.advance(time.Second)
			assert.Equal(t, b.finalState("lost"), FinalCompleted)
			assert.Equal(t, b.starts, 2)
		})
	}
}

// The completions of the new incarnation have numbers that the earlier one has used.
func TestCompletionsWithTheNumbersOfAnEarlierIncarnationAreProcessed(t *testing.T) {
	b := newIncarnationBench(t, 1)
	for n := range 3 {
		b.add(gangJob(fmt.Sprintf("before%d", n), "batch", "other", 1, 8))
		b.advance(500 * time.Millisecond)
		b.completeOn("w00")
		b.advance(500 * time.Millisecond)
	}
	b.restart("w00")
	b.listWorkers()
	b.advance(time.Second)
	starts := b.starts
	for n := range 3 {
		id := fmt.Sprintf("after%d", n)
		b.add(gangJob(id, "batch", "other", 1, 8))
		b.advance(500 * time.Millisecond)
		b.completeOn("w00")
		b.advance(500 * time.Millisecond)
		assert.Equal(t, b.finalState(id), FinalCompleted)
	}
	assert.Equal(t, b.starts, starts+3)
	assert.Equal(t, len(b.workers["w00"].ended), 0, "every completion is acknowledged")
}

// An idle worker is not polled, so that a start can reach an incarnation that nobody knows.
func TestAStartThatReachesANewIncarnationKeepsRunningThere(t *testing.T) {
	b := newIncarnationBench(t, 1)
	b.add(gangJob("before", "batch", "other", 1, 8))
	b.advance(500 * time.Millisecond)
	b.completeOn("w00")
	b.advance(2 * time.Second)
	b.restartBeforeItsEntry("w00")
	b.add(gangJob("blind", "batch", "other", 1, 8))
	b.advance(time.Second)
	assert.Equal(t, b.starts, 2)
	assert.Equal(t, b.runningOf("blind"), 1)
	assert.Equal(t, len(b.lostRuns), 0)
	b.completeOn("w00")
	b.advance(time.Second)
	assert.Equal(t, b.finalState("blind"), FinalCompleted)
	assert.Equal(t, b.starts, 2)
}

// The first poll of an incarnation that nobody knew must not acknowledge its completions by the
// numbers of the earlier one.
func TestAShortRunOnAnUnknownIncarnationCompletesItsJob(t *testing.T) {
	b := newIncarnationBench(t, 1)
	for n := range 3 {
		b.add(gangJob(fmt.Sprintf("before%d", n), "batch", "other", 1, 8))
		b.advance(500 * time.Millisecond)
		b.completeOn("w00")
		b.advance(500 * time.Millisecond)
	}
	b.advance(2 * time.Second)
	b.restartBeforeItsEntry("w00")
	b.workers["w00"].unnamed = true
	b.add(gangJob("short", "batch", "other", 1, 8))
	for b.starts < 4 {
		b.now = b.now.Add(10 * time.Millisecond)
		b.core.WorkersStored(b.core.UnstoredWorkers(1))
		for _, a := range b.core.Decide(b.now, b.wallMS) {
			b.execute(a)
			if a.Kind == ActStart {
				b.completeOn("w00") // before the next poll
			}
		}
	}
	b.advance(2 * time.Second)
	assert.Equal(t, b.finalState("short"), FinalCompleted)
	assert.Equal(t, b.starts, 4)
}

func TestANewIncarnationGetsNoWorkBeforeItsEntryIsListedAndStored(t *testing.T) {
	b := newIncarnationBench(t, 1)
	b.add(gangJob("lost", "batch", "other", 1, 8))
	b.advance(time.Second)
	b.restartBeforeItsEntry("w00")
	b.workers["w00"].capacity.Accelerators = 4 // the same machine may return as another kind
	b.advance(3 * time.Second)
	assert.Equal(t, b.runningOf("lost"), 0, "its capacity is not known yet")
	b.add(gangJob("smaller", "batch", "other", 1, 4))
	b.workers["w00"].listedIncarnation++
	b.listWorkers()
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("lost"), 0)
	assert.Equal(t, b.runningOf("smaller"), 1)
}

// An entry or an answer of an earlier incarnation may arrive after those of the next one.
func TestWhatAnEarlierIncarnationSaidIsIgnoredOnceTheNextOneAnswers(t *testing.T) {
	b := newIncarnationBench(t, 1)
	b.add(gangJob("lost", "batch", "other", 1, 8))
	b.advance(time.Second)
	w := b.core.workers["w00"]
	oldReport := b.report(b.workers["w00"], workload.Poll{})
	b.restart("w00")
	b.listWorkers()
	b.advance(time.Second)
	assert.Equal(t, b.starts, 2)
	clock := w.clockMS
	for _, incarnation := range []int64{0, 1} { // an answer need not name its incarnation
		oldReport.Incarnation = incarnation
		b.core.PollAnswered(Action{Kind: ActPoll, Poll: workload.Poll{Worker: "w00", Incarnation: 1}, Sequence: b.core.sequence}, oldReport, b.now, b.wallMS)
		b.core.StartAnswered(workload.Order{Worker: "w00", Incarnation: 1, Task: workload.TaskID{Job: "lost"}},
			workload.OrderResult{ClockMS: oldReport.ClockMS, Incarnation: incarnation}, b.now, b.wallMS)
	}
	assert.Equal(t, w.incarnation, int64(2))
	assert.Equal(t, w.clockMS, clock)
	b.workers["w00"].listedIncarnation = 1
	b.listWorkers()
	assert.Equal(t, w.Incarnation, int64(2))
	b.advance(time.Second)
	assert.Equal(t, b.starts, 2)
	assert.Equal(t, b.runningOf("lost"), 1)
}

// A start without an answer can reach the next incarnation, which has seen no stop of it and
// whose clock is far behind the latest time for the start.
func TestALateStartIsRejectedByTheNextIncarnation(t *testing.T) {
	b := newIncarnationBench(t, 2)
	b.add(gangJob("late", "batch", "other", 1, 8))
	var late workload.Order
	for late.Worker == "" {
		b.now = b.now.Add(50 * time.Millisecond)
		b.core.WorkersStored(b.core.UnstoredWorkers(2))
		for _, a := range b.core.Decide(b.now, b.wallMS) {
			if a.Kind != ActStart {
				b.execute(a)
				continue
			}
			late = a.Order
			b.answerWith(a, workload.VerdictUnknown)
		}
	}
	b.restart(late.Worker)
	b.listWorkers()
	b.advance(time.Second)
	w := b.workers[late.Worker]
	result := b.startRun(w, late)
	assert.Equal(t, result.Verdict, workload.VerdictOld)
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("late"), 1)
}

// A worker that restarts between two leaders answers the second one at once, without the runs
// that the first one started.
func TestARestartBetweenTwoLeadersIsNoticed(t *testing.T) {
	b := newBench(t, 1, true)
	b.numberIncarnations()
	b.core = New(testBounds, 3, b.now, b.now)
	b.core.Configure(testConfig())
	b.listWorkers()
	listed := b.core.workers["w00"].Worker
	b.core.WorkersStored([]workload.Worker{listed})
	b.restart("w00")
	b.listWorkers()
	b.core.AddJob(gangJob("earlier", "batch", "other", 1, 8), Record{}, false, b.now, b.wallMS)
	b.advance(time.Second)
	assert.Assert(t, b.core.lostUnsynced, "what the first leader started there was lost")
	assert.Equal(t, b.runningOf("earlier"), 1)
	assert.Equal(t, b.core.workers["w00"].storedIncarnation, int64(2))
}

func TestATaskThatCrashesWorkersThatKeepTheirIDsFailsWithinTheLimit(t *testing.T) {
	task := workload.TaskID{Job: "crashing"}
	for name, test := range map[string]struct {
		takeoverEvery time.Duration
		dropAnswers   bool
	}{
		"one leader":               {},
		"its starts go unanswered": {dropAnswers: true},
		"a leader every second":    {takeoverEvery: time.Second},
		"a leader every 330 ms":    {takeoverEvery: 330 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashBench(t, 12, taskIs("crashing", 0))
			c.keepIDs()
			if test.dropAnswers {
				c.dropAnswer = func(o workload.Order) bool { return o.Task == task }
			}
			c.add(independentJob("crashing", 3))
			for range 6000 {
				c.advance(crashAfter)
				if test.takeoverEvery > 0 && c.now.Sub(testStart)%test.takeoverEvery == 0 {
					c.takeover()
				}
			}
			c.advance(time.Minute)
			assert.Equal(t, c.finalState("crashing"), FinalFailed)
			assert.Assert(t, c.startsOf[task] <= maxStartsPerTask, "%d starts", c.startsOf[task])
		})
	}
}

func TestWorkHitByThreeOutagesOfWorkersThatKeepTheirIDsStillRuns(t *testing.T) {
	c := newCrashBench(t, 20, noTask)
	c.keepIDs()
	c.runTime = 10 * time.Second
	for n := range 10 {
		c.add(gangJob(fmt.Sprintf("other%d", n), "batch", "other", 1, 8))
	}
	c.add(gangJob("unlucky", "batch", "other", 1, 8))
	for range 3 {
		c.advance(time.Second)
		c.crash(c.hostOf("unlucky"))
		for id, w := range c.workers {
			if len(w.running) > 0 && len(c.restartAt) < 8 && id != c.hostOf("unlucky") {
				c.crash(id)
			}
		}
		c.advance(5 * time.Second)
	}
	assert.Assert(t, c.finalState("unlucky") != FinalFailed)
	c.advance(time.Minute)
	assert.Equal(t, c.finalState("unlucky"), FinalCompleted)
}
