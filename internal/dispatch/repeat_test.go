package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// dropFirst drops the first start or stop to a worker: it stays unanswered for the duration of
// a call, and is kept so that it can be carried out later.
type dropFirst struct {
	*bench
	kind    ActionKind
	worker  string
	dropped []Action
}

func (l *dropFirst) advance(d time.Duration) {
	for until := l.now.Add(d); l.now.Before(until); {
		l.now, l.wallMS = l.now.Add(10*time.Millisecond), l.wallMS+10
		l.endStops()
		l.core.WorkersStored(l.core.UnstoredWorkers(len(l.workers)))
		for _, a := range l.core.Decide(l.now, l.wallMS) {
			if a.Kind == l.kind && a.Order.Worker == l.worker && len(l.dropped) == 0 {
				l.dropped = append(l.dropped, a)
				continue
			}
			l.execute(a)
		}
	}
}

// independentJob returns a job with tasks of one accelerator that need not run together.
func independentJob(id string, tasks int) *workload.Job {
	return &workload.Job{ID: id, Queue: "batch", Account: "other", Steps: []workload.Step{{
		Count: tasks, EstimateMS: 3000, Need: workload.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1},
	}}}
}

func TestAGangOutlivesALostStart(t *testing.T) {
	l := &dropFirst{bench: newBench(t, 3, false), kind: ActStart, worker: "w01"}
	l.advance(50 * time.Millisecond)
	l.add(gangJob("gang", "urgent", "other", 3, 8))
	l.advance(200 * time.Millisecond)
	assert.Equal(t, len(l.dropped), 1)
	assert.Equal(t, l.runningOf("gang"), 3, "the start was resent")

	l.core.StartAnswered(l.dropped[0].Order, workload.OrderResult{Verdict: workload.VerdictUnknown}, l.now, l.wallMS)
	l.advance(300 * time.Millisecond)
	assert.Equal(t, l.runningOf("gang"), 3, "the missing answer to the first message has no effect")
	assert.Equal(t, l.stops, 0)
}

func TestARefusedCopyDoesNotSayThatTheOtherWasNotCarriedOut(t *testing.T) {
	for _, verdict := range []workload.Verdict{
		workload.VerdictOld, workload.VerdictNoCapacity, workload.VerdictLate, workload.VerdictConnectionRefused,
		workload.VerdictUnsent, workload.VerdictUnavailable, workload.VerdictRejected, workload.VerdictNoTicket,
	} {
		t.Run(verdict.String(), func(t *testing.T) {
			l := &dropFirst{bench: newBench(t, 1, false), kind: ActStart, worker: "w00"}
			l.advance(50 * time.Millisecond)
			l.add(gangJob("gang", "urgent", "other", 1, 8))
			var copies []Action
			for range 20 {
				l.now, l.wallMS = l.now.Add(10*time.Millisecond), l.wallMS+10
				for _, a := range l.core.Decide(l.now, l.wallMS) {
					if a.Kind == ActStart {
						copies = append(copies, a)
					}
				}
			}
			assert.Equal(t, len(copies), 2)
			assert.DeepEqual(t, copies[0].Order, copies[1].Order)
			l.core.StartAnswered(copies[1].Order, workload.OrderResult{Verdict: verdict}, l.now, l.wallMS)
			assert.Equal(t, l.core.jobs["gang"].runs, 1, "its capacity stays in use until a stop has closed the attempt")
		})
	}
}

func TestALostStopIsRepeatedSoon(t *testing.T) {
	l := &dropFirst{bench: newBench(t, 1, false), kind: ActStop, worker: "w00"}
	l.advance(50 * time.Millisecond)
	l.add(independentJob("batch", 8))
	l.advance(50 * time.Millisecond)
	assert.Equal(t, l.runningOf("batch"), 8)
	l.add(gangJob("gang", "urgent", "other", 1, 8))
	l.advance(300 * time.Millisecond)
	assert.Equal(t, len(l.dropped), 1)
	assert.Equal(t, l.runningOf("gang"), 1)
}

func TestUnresponsiveWorkerGetsFewStops(t *testing.T) {
	b := newBench(t, 1, false)
	b.advance(50 * time.Millisecond)
	b.add(independentJob("batch", 1))
	b.advance(50 * time.Millisecond)
	b.unresponsive["w00"] = true
	stops := 0
	b.core.Cancel("batch", b.now, b.wallMS)
	for range 200 {
		b.now, b.wallMS = b.now.Add(10*time.Millisecond), b.wallMS+10
		for _, a := range b.core.Decide(b.now, b.wallMS) {
			if a.Kind == ActStop {
				stops++
			}
		}
	}
	assert.Assert(t, stops <= 5, "%d stops in two seconds", stops)
}

func TestResendsAreBoundedByAnswers(t *testing.T) {
	b := newBench(t, 40, false)
	b.advance(50 * time.Millisecond)
	b.add(independentJob("batch", 300))
	starts := 0
	for range 30 {
		b.now, b.wallMS = b.now.Add(10*time.Millisecond), b.wallMS+10
		for _, a := range b.core.Decide(b.now, b.wallMS) {
			if a.Kind == ActStart {
				starts++ // no start is answered
			}
		}
	}
	assert.Assert(t, starts <= 300+maxResends, "%d starts of 300 tasks", starts)
}
