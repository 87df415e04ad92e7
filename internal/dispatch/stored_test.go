package dispatch

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// unlist removes a worker from the platform's list; it continues to answer.
func (b *bench) unlist(id string) {
	w := b.workers[id]
	delete(b.workers, id)
	b.listWorkers()
	b.workers[id] = w
}

func TestWorkerGetsNoWorkBeforeItIsStored(t *testing.T) {
	core := New(testBounds, 2, testStart, time.Time{})
	core.Configure(testConfig())
	capacity := workload.Resources{MilliCPU: 8000, MemoryMB: 8000, Accelerators: 8}
	core.WorkersListed([]workload.Worker{{ID: "w00", Pool: "pool", Capacity: capacity}}, testStart, 0)
	core.AddJob(singleJob("job", "batch", "other", 1, 1), Record{}, false, testStart, 0)
	starts := func() int {
		count := 0
		for _, a := range core.Decide(testStart, 0) {
			switch a.Kind {
			case ActPoll:
				core.PollAnswered(a, workload.Report{ClockMS: 1}, testStart, 0)
			case ActStart:
				count++
			}
		}
		return count
	}
	assert.Equal(t, starts()+starts(), 0)
	list := core.UnstoredWorkers(10)
	assert.Equal(t, len(list), 1)
	core.WorkersStored(list)
	assert.Equal(t, len(core.UnstoredWorkers(10)), 0)
	assert.Equal(t, starts(), 1)
}

func TestAWorkerLeavesTheTableOnceNothingCanRunThere(t *testing.T) {
	for name, c := range map[string]struct {
		job          bool
		unresponsive bool
		waited       time.Duration
		gone         bool
	}{
		"at once where nothing runs":                            {false, false, 200 * time.Millisecond, true},
		"not while a task runs":                                 {true, false, 3 * time.Second, false},
		"not while it is unresponsive and a lease may be valid": {true, true, 5 * time.Second, false},
		"once its lease has expired, even if unresponsive":      {true, true, 9 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 1, false)
			if c.job {
				b.add(singleJob("job", "batch", "other", 1, 1))
			}
			b.advance(time.Second)
			b.unlist("w00")
			b.unresponsive["w00"] = c.unresponsive
			b.advance(c.waited)
			assert.Equal(t, slices.Contains(b.core.WorkersToRemove(10), "w00"), c.gone)
		})
	}
}

func TestReturningWorkerIsStoredAgain(t *testing.T) {
	b := newBench(t, 1, false)
	b.advance(time.Second)
	b.unlist("w00")
	b.advance(200 * time.Millisecond)
	gone := b.core.WorkersToRemove(10)
	assert.DeepEqual(t, gone, []string{"w00"})
	b.listWorkers()
	assert.Equal(t, len(b.core.UnstoredWorkers(10)), 0, "the old row is removed first")
	b.core.WorkersRemoved(gone)
	assert.Equal(t, len(b.core.UnstoredWorkers(10)), 1)
}

// A row is written while its worker disappears from the list and returns: the removal decided
// in between is still carried out, so the worker is not stored.
func TestAWorkerWhoseRemovalIsUnderWayIsNotTakenForStored(t *testing.T) {
	b := newBench(t, 1, false)
	b.advance(time.Second)
	inFlight := []workload.Worker{b.core.workers["w00"].Worker}
	b.unlist("w00")
	b.core.Decide(b.now, b.wallMS)
	assert.DeepEqual(t, b.core.WorkersToRemove(10), []string{"w00"})
	b.core.WorkersStored(inFlight)
	b.listWorkers()
	assert.Assert(t, !b.core.workers["w00"].usable(b.now), "work would start there while its row is removed")
	b.core.WorkersRemoved(b.core.WorkersToRemove(10))
	assert.Equal(t, len(b.core.UnstoredWorkers(10)), 1)
}

// Failure: a worker gets nothing while entries of another writer name its address.
func TestEntriesThatNameALiveWorkersAddressDoNotShutItOut(t *testing.T) {
	for name, takeover := range map[string]bool{"entries that appear": false, "entries that a new leader finds": true} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 5, takeover)
			b.addrs = map[string]string{"w90": "00", "w91": "00", "w92": "00"}
			for id := range b.addrs {
				b.addWorker(id)
				b.replaced[id] = true
			}
			if !takeover {
				b.advance(time.Second)
			}
			b.listWorkers()
			b.add(gangJob("all", "batch", "other", 5, 8))
			b.advance(2 * time.Second)
			assert.Equal(t, b.runningOf("all"), 5)
			assert.Equal(t, len(b.core.machineCrashes), 0)
		})
	}
}
