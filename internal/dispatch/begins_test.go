package dispatch

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// startsOf runs one round, executes its actions and counts the starts of a job.
func (b *bench) startsOf(job string) int {
	count := 0
	for _, a := range b.core.Decide(b.now, b.wallMS) {
		if a.Kind == ActStart && a.Order.Task.Job == job {
			count++
		}
		b.execute(a)
	}
	return count
}

func TestNothingOfAJobStartsBeforeItsBeginIsStored(t *testing.T) {
	b := newBench(t, 2, false)
	b.core.StoreStartIntents(true)
	b.round() // sync the workers
	b.add(gangJob("job", "batch", "other", 2, 8))
	assert.Equal(t, b.startsOf("job"), 0)
	list := b.core.UnstoredRecords(10)
	assert.Equal(t, len(list), 1)
	assert.Assert(t, list[0].StartIntent)
	record, err := DecodeRecord(list[0].Record)
	assert.NilError(t, err)
	assert.Assert(t, record.StartIntent)
	b.now = b.now.Add(2 * reasonDelay)
	assert.Equal(t, b.startsOf("job"), 0, "the store has not answered")
	assert.Equal(t, len(b.reasons), 1)
	assert.Assert(t, strings.HasPrefix(b.reasons[0], "its begin is being stored; "), b.reasons[0])
	assert.Assert(t, b.core.StartIntentsLate(-time.Millisecond))
	b.core.MarkRecordsStored(list, b.now, b.wallMS)
	assert.Assert(t, !b.core.StartIntentsLate(-time.Millisecond))
	assert.Equal(t, b.startsOf("job"), 2)
}

func TestCapacityIsHeldWhileAStartIntentIsBeingStored(t *testing.T) {
	b := newBench(t, 1, false)
	b.core.StoreStartIntents(true)
	b.round()
	b.add(gangJob("first", "batch", "other", 1, 8))
	b.add(gangJob("second", "batch", "other", 1, 8))
	assert.Equal(t, b.startsOf("first")+b.startsOf("second"), 0)
	list := b.core.UnstoredRecords(10)
	assert.Equal(t, len(list), 1, "the second job has no capacity and gets no start intent")
	assert.Equal(t, list[0].Job, "first")
}

func TestPendingStartIntentsAreStoredFirst(t *testing.T) {
	b := newBench(t, 1, false)
	b.core.StoreStartIntents(true)
	b.round()
	for _, id := range []string{"a", "b", "z"} {
		b.add(singleJob(id, "batch", "other", 1, 1))
	}
	b.core.MarkDirty("a")
	b.core.MarkDirty("b")
	b.core.recordStartIntent(b.core.jobs["z"])
	assert.Equal(t, b.core.UnstoredRecords(1)[0].Job, "z")
}

// A job that no leader ever started runs nowhere, whichever worker is unreachable.
func TestAfterATakeoverOnlyJobsThatBeganWaitForASilentWorker(t *testing.T) {
	for name, c := range map[string]struct {
		trust, started bool
		starts         int
	}{
		"no start intent, and the previous leader stored them": {true, false, 1},
		"start intent stored":                                            {true, true, 0},
		"the previous leader stored no start intents":                    {false, false, 0},
		"start intent stored, but the previous leader did not store all": {false, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 2, true)
			b.core = New(testBounds, 3, b.now, b.now.Add(time.Second))
			b.core.Configure(testConfig())
			if c.trust {
				b.core.TrustStartIntents()
			}
			b.unresponsive["w01"] = true
			b.listWorkers()
			job := gangJob("job", "batch", "other", 1, 8)
			job.AcceptedMS = b.wallMS
			b.core.AddJob(job, Record{StartIntent: c.started}, false, b.now, b.wallMS)
			b.advance(500 * time.Millisecond)
			assert.Equal(t, b.starts, c.starts)
			b.advance(testBounds.MaxLease + 2*time.Second)
			assert.Equal(t, b.starts, 1)
		})
	}
}

// Before the next leader may trust start intents, the store needs one for every job that may
// have been started, including a job that has ended since, as long as its final state is not
// stored.
func TestBeginsAreStoredOnceTheStoreKnowsOfEachOrOfItsEnd(t *testing.T) {
	b := newBench(t, 1, false)
	b.round()
	b.add(singleJob("runs", "batch", "other", 1, 1))
	b.add(singleJob("ended", "batch", "other", 1, 1))
	assert.Equal(t, b.startsOf("runs"), 1)
	assert.Assert(t, !b.core.StartIntentsStored())
	b.core.Cancel("ended", b.now, b.wallMS)
	b.core.StoreStartIntents(true)
	b.core.StoreAllStartIntents()
	var runs, ended []UnstoredRecord
	for _, u := range b.core.UnstoredRecords(10) {
		if u.Job == "runs" {
			runs = append(runs, u)
		} else {
			ended = append(ended, u)
		}
	}
	b.core.MarkRecordsStored(runs, b.now, b.wallMS)
	assert.Assert(t, !b.core.StartIntentsStored(), "the cancelled job was started")
	b.core.MarkRecordsStored(ended, b.now, b.wallMS)
	assert.Assert(t, b.core.StartIntentsStored())
}

func TestWithoutStoredStartIntentsJobsStartAtOnce(t *testing.T) {
	b := newBench(t, 1, false)
	b.core.Tune(Tuning{Without: []Mechanism{MechStoredStartIntents}})
	b.core.StoreStartIntents(true)
	b.round()
	b.add(singleJob("job", "batch", "other", 1, 1))
	assert.Equal(t, b.startsOf("job"), 1)
	assert.Equal(t, len(b.core.UnstoredRecords(10)), 0)
}

func TestRecordKeepsTheStartIntentAcrossLeaders(t *testing.T) {
	b := newBench(t, 1, false)
	b.core.AddJob(&workload.Job{ID: "job", Queue: "batch", Account: "other", Steps: gangJob("x", "batch", "other", 1, 8).Steps},
		Record{StartIntent: true}, false, b.now, b.wallMS)
	b.core.MarkDirty("job")
	record, err := DecodeRecord(b.core.UnstoredRecords(1)[0].Record)
	assert.NilError(t, err)
	assert.Assert(t, record.StartIntent)
}
