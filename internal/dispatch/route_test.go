package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// sentStart lets the core start a job, and returns the start without answering it.
func (b *bench) sentStart(job *workload.Job) Action {
	b.add(job)
	for range 100 {
		b.now, b.wallMS = b.now.Add(50*time.Millisecond), b.wallMS+50
		b.core.WorkersStored(b.core.UnstoredWorkers(len(b.workers)))
		for _, a := range b.core.Decide(b.now, b.wallMS) {
			if a.Kind == ActStart {
				return a
			}
			b.execute(a)
		}
	}
	b.t.Fatal("no start")
	return Action{}
}

func TestRunsAreKeptWhenAnAddressThatTheirWorkerNoLongerHasAnswersForAnother(t *testing.T) {
	for name, kind := range map[string]ActionKind{"a start": ActStart, "a stop": ActStop, "a poll": ActPoll} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 1, false)
			b.add(gangJob("job", "batch", "other", 1, 4))
			b.advance(time.Second)
			w := b.core.workers["w00"]
			sent := b.sentStart(gangJob("next", "batch", "other", 1, 4))
			sent.Kind, sent.Poll = kind, workload.Poll{Worker: "w00", Addr: w.Addr}
			w.Addr = "moved"
			b.answerWith(sent, workload.VerdictOtherIncarnation)
			b.advance(time.Second)
			assert.Equal(t, b.runningOf("job"), 1)
			assert.Equal(t, len(b.lostRuns), 0)
			sent.Kind, sent.Poll.Addr = ActPoll, w.Addr
			b.answerWith(sent, workload.VerdictOtherIncarnation)
			assert.Equal(t, len(w.runs), 0)
		})
	}
}

// addEnds adds ends of a job that is not known any more.
func (w *fakeWorker) addEnds(count int) {
	for range count {
		w.number++
		w.ended = append(w.ended, workload.Completion{Number: w.number, Task: workload.TaskID{Job: "gone"}, Attempt: 1, Kind: workload.CompletionStopped})
	}
}

func TestARunThatEndedBeyondTheListedEndsIsNotStartedAgain(t *testing.T) {
	b := newBench(t, 2, false)
	b.add(gangJob("job", "batch", "other", 1, 8))
	b.advance(time.Second)
	host := b.hostOf("job")
	w := b.workers[host]
	w.addEnds(5000)
	b.completeOn(host)
	b.advance(3 * time.Second)
	assert.Equal(t, b.finalState("job"), FinalCompleted)
	assert.Equal(t, b.starts, 1)
	assert.Equal(t, b.stops, 0)
}

func TestATaskWhoseEndTheFirstReportToANewLeaderLeftOutIsNotStartedAgain(t *testing.T) {
	b := newBench(t, 2, true)
	w := b.workers["w00"]
	w.addEnds(5000)
	key := runKey{workload.TaskID{Job: "job"}, 1_000_001}
	w.running[key] = &fakeRun{need: workload.Resources{Accelerators: 8}}
	b.endRun(w, key.task, key.attempt, workload.CompletionDone)
	b.add(gangJob("job", "batch", "other", 1, 8))
	b.advance(3 * time.Second)
	assert.Equal(t, b.finalState("job"), FinalCompleted)
	assert.Equal(t, b.starts, 0)
}

func TestARunWhoseRowCannotBeReadIsNotStartedAgainWhileItStops(t *testing.T) {
	b := newBench(t, 2, false)
	b.core.bounds.MaxStopTime, b.stopTakes = 900*time.Millisecond, 900*time.Millisecond
	b.add(gangJob("job", "batch", "other", 1, 8))
	b.advance(time.Second)
	b.unreadable = func(string) bool { return true }
	b.advance(5 * time.Second)
	assert.Assert(t, b.starts > 1)
}

func TestATaskWhoseRowANewLeaderCannotReadIsNotStartedAgainBeforeItsLeaseIsOver(t *testing.T) {
	b := newBench(t, 2, true)
	b.unreadable = func(string) bool { return true }
	b.workers["w00"].running[runKey{workload.TaskID{Job: "job"}, 1_000_001}] = &fakeRun{need: workload.Resources{Accelerators: 8}}
	b.add(gangJob("job", "batch", "other", 1, 8))
	b.advance(testBounds.MaxLease)
	assert.Equal(t, b.starts, 0)
}

func TestALateStartDoesNotRunBesideTheNextOneWhenItsFirstStopIsLost(t *testing.T) {
	b := newIncarnationBench(t, 2)
	late := b.sentStart(gangJob("late", "batch", "other", 1, 4)).Order
	b.answerWith(Action{Kind: ActStart, Order: late}, workload.VerdictUnknown)
	b.restart(late.Worker)
	b.listWorkers()
	lost := 0
	b.dropStops = func() bool { lost++; return lost <= 2 }
	for b.starts == 0 && b.now.Sub(testStart) < 10*time.Second {
		b.advance(50 * time.Millisecond)
	}
	assert.Equal(t, b.runningOf("late"), 1)
	late.UntilMS = b.clockOf(b.workers[late.Worker])
	assert.Equal(t, b.startRun(b.workers[late.Worker], late).Verdict, workload.VerdictOld)
}

func TestNothingOfALateStartsJobStartsBeforeTheNextIncarnationHasClosedIt(t *testing.T) {
	b := newIncarnationBench(t, 2)
	sent := b.sentStart(gangJob("late", "batch", "other", 1, 4))
	b.answerWith(sent, workload.VerdictUnknown)
	b.restart(sent.Order.Worker)
	b.listWorkers()
	other := sent.Order
	other.Task.Job = "other"
	b.core.StopAnswered(other, workload.OrderResult{Incarnation: 2, ClockMS: 1}, b.now, b.wallMS)
	b.unresponsive[sent.Order.Worker] = true
	b.advance(time.Second)
	assert.Equal(t, b.starts, 0)
	b.unresponsive[sent.Order.Worker] = false
	b.advance(2 * time.Second)
	assert.Equal(t, b.runningOf("late"), 1)
	assert.Equal(t, b.workers[sent.Order.Worker].closed[sent.Order.Task], sent.Order.Attempt)
}

func TestARunOnANewIncarnationIsKeptForTheLongestLeaseWhenItFallsSilentBeforeItsFirstPoll(t *testing.T) {
	b := newIncarnationBench(t, 2)
	b.advance(time.Second)
	sent := b.sentStart(gangJob("job", "batch", "other", 1, 8))
	b.restart(sent.Order.Worker)
	b.listWorkers()
	b.execute(sent)
	b.unresponsive[sent.Order.Worker] = true
	b.advance(testBounds.MaxLease - time.Second)
	assert.Equal(t, b.starts, 1)
}

func TestALateStartThatTheEarlierIncarnationClosedIsClosedOnTheNextOne(t *testing.T) {
	for name, seen := range map[string]bool{"before a poll showed it": false, "after a poll showed it": true} {
		t.Run(name, func(t *testing.T) {
			b := newIncarnationBench(t, 2)
			sent := b.sentStart(gangJob("late", "batch", "other", 1, 4))
			b.answerWith(sent, workload.VerdictUnknown)
			for _, a := range b.core.Decide(b.now, b.wallMS) {
				if a.Kind == ActStop {
					b.execute(a)
				}
			}
			assert.Equal(t, b.stops, 1)
			if seen {
				b.advance(time.Second)
			}
			b.restart(sent.Order.Worker)
			b.listWorkers()
			b.advance(2 * time.Second)
			sent.Order.UntilMS = b.clockOf(b.workers[sent.Order.Worker])
			assert.Equal(t, b.startRun(b.workers[sent.Order.Worker], sent.Order).Verdict, workload.VerdictOld)
		})
	}
}

func TestAReportThatALaterOneOvertookChangesNoRuns(t *testing.T) {
	b := newBench(t, 2, false)
	b.add(gangJob("job", "batch", "other", 1, 8))
	b.advance(time.Second)
	host := b.hostOf("job")
	poll := func(sequence uint64) Action {
		return Action{Kind: ActPoll, Poll: workload.Poll{Worker: host}, Sequence: sequence}
	}
	sequence := b.core.sequence
	running := b.report(b.workers[host], workload.Poll{})
	b.completeOn(host)
	ended := b.report(b.workers[host], workload.Poll{})
	b.core.PollAnswered(poll(sequence+1), ended, b.now, b.wallMS)
	b.core.PollAnswered(poll(sequence), running, b.now, b.wallMS)
	assert.Equal(t, len(b.core.workers[host].runs), 0)
	b.advance(time.Second)
	assert.Equal(t, b.finalState("job"), FinalCompleted)
	assert.Equal(t, b.starts, 1)
}

func TestAPollThatWasSentBeforeTheAnswerToAStopDoesNotEndTheRun(t *testing.T) {
	b := newBench(t, 2, false)
	sent := b.sentStart(gangJob("job", "batch", "other", 1, 8))
	host := sent.Order.Worker
	before := Action{Kind: ActPoll, Poll: workload.Poll{Worker: host}, Sequence: b.core.sequence}
	empty := b.report(b.workers[host], workload.Poll{})
	b.answerWith(sent, workload.VerdictUnknown)
	b.startRun(b.workers[host], sent.Order)
	b.stopTakes = time.Hour
	for _, a := range b.core.Decide(b.now, b.wallMS) {
		if a.Kind == ActStop {
			b.execute(a)
		}
	}
	assert.Equal(t, b.stops, 1)
	b.core.PollAnswered(before, empty, b.now, b.wallMS)
	assert.Equal(t, len(b.core.workers[host].runs), 1)
}
