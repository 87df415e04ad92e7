package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// maxLateRun is the longest time for which a start that was carried out late may run although its
// job is over.
const maxLateRun = 2 * time.Second

// unansweredStart lets the core start a job whose start order is not answered, and returns the
// order. Nothing reaches the worker.
func (b *bench) unansweredStart(job *workload.Job) workload.Order {
	b.add(job)
	for {
		b.now, b.wallMS = b.now.Add(50*time.Millisecond), b.wallMS+50
		b.core.WorkersStored(b.core.UnstoredWorkers(len(b.workers)))
		for _, a := range b.core.Decide(b.now, b.wallMS) {
			if a.Kind == ActStart {
				b.answerWith(a, workload.VerdictUnknown)
				return a.Order
			}
			b.execute(a)
		}
	}
}

// runsFor returns how long a run continues, at most 10 s.
func (b *bench) runsFor(o workload.Order) time.Duration {
	started := b.now
	for b.workers[o.Worker].running[runKey{o.Task, o.Attempt}] != nil && b.now.Sub(started) < 10*time.Second {
		b.advance(50 * time.Millisecond)
	}
	return b.now.Sub(started)
}

func TestAStartCarriedOutAfterItsJobWasCancelledIsStopped(t *testing.T) {
	for name, stopsLost := range map[string]int{"its stop arrives": 0, "three stops are lost": 3} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 1, false)
			b.dropStops = func() bool { stopsLost--; return stopsLost >= 0 }
			order := b.unansweredStart(gangJob("cancelled", "batch", "other", 1, 8))
			b.core.Cancel("cancelled", b.now, b.wallMS)
			b.startRun(b.workers[order.Worker], order)
			assert.Assert(t, b.runsFor(order) <= maxLateRun)
			assert.Equal(t, b.starts, 0)
		})
	}
}

func TestAStartCarriedOutAfterItsStopIsRejected(t *testing.T) {
	b := newBench(t, 1, false)
	order := b.unansweredStart(gangJob("cancelled", "batch", "other", 1, 8))
	b.core.Cancel("cancelled", b.now, b.wallMS)
	b.advance(time.Second)
	assert.Equal(t, b.startRun(b.workers[order.Worker], order).Verdict, workload.VerdictOld)
}

// The instance that gave the order is gone for good. The job was cancelled under the next leader,
// or before it, so that it does not know the job.
func TestAStartOfARemovedLeaderThatIsCarriedOutLateIsStoppedByTheNext(t *testing.T) {
	for name, known := range map[string]bool{"a job that the next leader cancelled": true, "a job that it does not know": false} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 1, false)
			job := gangJob("cancelled", "batch", "other", 1, 8)
			order := b.unansweredStart(job)
			b.core = New(testBounds, 3, b.now, b.now)
			b.core.Configure(testConfig())
			b.listWorkers()
			if known {
				b.core.AddJob(job, Record{}, true, b.now, b.wallMS)
			}
			b.workers[order.Worker].running[runKey{order.Task, order.Attempt}] = &fakeRun{startedAt: b.now}
			assert.Assert(t, b.runsFor(order) <= maxLateRun)
		})
	}
}
