package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// loseFirst drops the first start or stop to a worker: it gets no answer for as long as
// a call waits, and is kept to be carried out later.
type loseFirst struct {
	*bench
	kind   ActionKind
	worker string
	lost   []Action
}

func (l *loseFirst) pass(d time.Duration) {
	for until := l.now.Add(d); l.now.Before(until); {
		l.now, l.wallMS = l.now.Add(10*time.Millisecond), l.wallMS+10
		l.endStops()
		l.core.Stored(l.core.Unstored(len(l.workers)))
		for _, a := range l.core.Decide(l.now, l.wallMS) {
			if a.Kind == l.kind && a.Order.Worker == l.worker && len(l.lost) == 0 {
				l.lost = append(l.lost, a)
				continue
			}
			l.carryOut(a)
		}
	}
}

// looseJob has tasks of one accelerator that need not run together.
func looseJob(id string, tasks int) *workload.Job {
	return &workload.Job{ID: id, Queue: "batch", Account: "other", Steps: []workload.Step{{
		Count: tasks, EstimateMS: 3000, Need: workload.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1},
	}}}
}

func TestAGangOutlivesALostStart(t *testing.T) {
	l := &loseFirst{bench: newBench(t, 3, false), kind: ActStart, worker: "w01"}
	l.pass(50 * time.Millisecond)
	l.add(gangJob("gang", "urgent", "other", 3, 8))
	l.pass(200 * time.Millisecond)
	assert.Equal(t, len(l.lost), 1)
	assert.Equal(t, l.runningOf("gang"), 3, "the start was repeated")

	l.core.StartAnswered(l.lost[0].Order, workload.Receipt{Verdict: workload.VerdictUnknown}, l.now, l.wallMS)
	l.pass(300 * time.Millisecond)
	assert.Equal(t, l.runningOf("gang"), 3, "the first copy's missing answer says nothing new")
	assert.Equal(t, l.stops, 0)
}

func TestARefusedCopyDoesNotSayThatTheOtherWasNotCarriedOut(t *testing.T) {
	for _, verdict := range []workload.Verdict{workload.VerdictOld, workload.VerdictNoRoom, workload.VerdictLate, workload.VerdictClosed} {
		t.Run(verdict.String(), func(t *testing.T) {
			l := &loseFirst{bench: newBench(t, 1, false), kind: ActStart, worker: "w00"}
			l.pass(50 * time.Millisecond)
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
			l.core.StartAnswered(copies[1].Order, workload.Receipt{Verdict: verdict}, l.now, l.wallMS)
			assert.Equal(t, l.core.jobs["gang"].runs, 1, "its room stays taken until a stop has closed the attempt")
		})
	}
}

func TestALostStopIsRepeatedSoon(t *testing.T) {
	l := &loseFirst{bench: newBench(t, 1, false), kind: ActStop, worker: "w00"}
	l.pass(50 * time.Millisecond)
	l.add(looseJob("batch", 8))
	l.pass(50 * time.Millisecond)
	assert.Equal(t, l.runningOf("batch"), 8)
	l.add(gangJob("gang", "urgent", "other", 1, 8))
	l.pass(300 * time.Millisecond)
	assert.Equal(t, len(l.lost), 1)
	assert.Equal(t, l.runningOf("gang"), 1)
}

func TestAWorkerThatAnswersNothingIsNotToldToStopMoreOftenThanBefore(t *testing.T) {
	b := newBench(t, 1, false)
	b.pass(50 * time.Millisecond)
	b.add(looseJob("batch", 1))
	b.pass(50 * time.Millisecond)
	b.silent["w00"] = true
	told := 0
	b.core.Cancel("batch", b.now, b.wallMS)
	for range 200 {
		b.now, b.wallMS = b.now.Add(10*time.Millisecond), b.wallMS+10
		for _, a := range b.core.Decide(b.now, b.wallMS) {
			if a.Kind == ActStop {
				told++
			}
		}
	}
	assert.Assert(t, told <= 5, "%d stops in two seconds", told)
}

func TestRepeatsAreBoundedByWhatIsAnswered(t *testing.T) {
	b := newBench(t, 40, false)
	b.pass(50 * time.Millisecond)
	b.add(looseJob("batch", 300))
	given := 0
	for range 30 {
		b.now, b.wallMS = b.now.Add(10*time.Millisecond), b.wallMS+10
		for _, a := range b.core.Decide(b.now, b.wallMS) {
			if a.Kind == ActStart {
				given++ // nobody answers
			}
		}
	}
	assert.Assert(t, given <= 300+repeatsMost, "%d starts of 300 tasks", given)
}
