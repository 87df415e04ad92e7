package dispatch

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// unlist takes a worker off the platform's list; it goes on answering.
func (b *bench) unlist(id string) {
	w := b.workers[id]
	delete(b.workers, id)
	b.list()
	b.workers[id] = w
}

func TestAWorkerGetsNothingBeforeItIsInTheTable(t *testing.T) {
	core := New(testBounds, 2, epochStart, time.Time{})
	core.Configure(testConfig())
	room := workload.Resources{MilliCPU: 8000, MemoryMB: 8000, Accelerators: 8}
	core.Listed([]workload.Worker{{ID: "w00", Pool: "pool", Room: room}}, epochStart, 0)
	core.AddJob(singleJob("job", "batch", "other", 1, 1), Record{}, false, epochStart, 0)
	starts := func() int {
		count := 0
		for _, a := range core.Decide(epochStart, 0) {
			switch a.Kind {
			case ActPoll:
				core.PollAnswered(a, workload.Report{ClockMS: 1}, epochStart, 0)
			case ActStart:
				count++
			}
		}
		return count
	}
	assert.Equal(t, starts()+starts(), 0)
	list := core.Unstored(10)
	assert.Equal(t, len(list), 1)
	core.Stored(list)
	assert.Equal(t, len(core.Unstored(10)), 0)
	assert.Equal(t, starts(), 1)
}

func TestAWorkerLeavesTheTableOnceNothingCanRunThere(t *testing.T) {
	for name, c := range map[string]struct {
		job    bool
		silent bool
		after  time.Duration
		gone   bool
	}{
		"at once where nothing runs":                   {false, false, 200 * time.Millisecond, true},
		"not while a task runs":                        {true, false, 3 * time.Second, false},
		"not while it is silent and a lease may hold":  {true, true, 5 * time.Second, false},
		"once its lease is over, however silent it is": {true, true, 9 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 1, false)
			if c.job {
				b.add(singleJob("job", "batch", "other", 1, 1))
			}
			b.pass(time.Second)
			b.unlist("w00")
			b.silent["w00"] = c.silent
			b.pass(c.after)
			assert.Equal(t, slices.Contains(b.core.Gone(10), "w00"), c.gone)
		})
	}
}

func TestAWorkerThatComesBackIsPutIntoTheTableAgain(t *testing.T) {
	b := newBench(t, 1, false)
	b.pass(time.Second)
	b.unlist("w00")
	b.pass(200 * time.Millisecond)
	gone := b.core.Gone(10)
	assert.DeepEqual(t, gone, []string{"w00"})
	b.list()
	assert.Equal(t, len(b.core.Unstored(10)), 0, "it is taken out first")
	b.core.Removed(gone)
	assert.Equal(t, len(b.core.Unstored(10)), 1)
}

// A row is written while its worker comes off the list and back: the removal that
// was decided in between still goes out, so the worker is not in the table.
func TestAWorkerWhoseRemovalIsUnderWayIsNotTakenForStored(t *testing.T) {
	b := newBench(t, 1, false)
	b.pass(time.Second)
	underWay := []workload.Worker{b.core.workers["w00"].Worker}
	b.unlist("w00")
	b.core.Decide(b.now, b.wallMS)
	assert.DeepEqual(t, b.core.Gone(10), []string{"w00"})
	b.core.Stored(underWay)
	b.list()
	assert.Assert(t, !b.core.workers["w00"].usable(b.now), "work would start there while its row goes")
	b.core.Removed(b.core.Gone(10))
	assert.Equal(t, len(b.core.Unstored(10)), 1)
}
