package deployment

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// batchCore returns a core with changed records and workers that are not stored.
func batchCore(jobs, workers int) *dispatch.Core {
	now := time.Unix(1_000_000, 0)
	core := dispatch.New(workload.Bounds{}, 1, now, time.Time{})
	for n := range jobs {
		job := &workload.Job{ID: fmt.Sprintf("%016x", n), Steps: []workload.Step{{Count: 1}}}
		core.AddJob(job, dispatch.Record{}, true, now, 0) // its cancellation has to be recorded
	}
	var list []workload.Worker
	for n := range workers {
		list = append(list, workload.Worker{ID: fmt.Sprintf("w%03d", n)})
	}
	core.WorkersListed(list, now, 0)
	return core
}

func TestABatchStaysWithinTheEntriesOfATransaction(t *testing.T) {
	for name, c := range map[string]struct{ jobs, workers, records, stored int }{
		"few of both":           {3, 10, 3, 10},
		"many records":          {200, 0, maxRecordsPerWrite, 0},
		"many workers":          {0, 350, 0, maxEntriesPerWrite - 1},
		"many of both":          {200, 350, maxRecordsPerWrite, maxEntriesPerWrite - 1 - 2*maxRecordsPerWrite},
		"nothing to be written": {0, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			core := batchCore(c.jobs, c.workers)
			b := nextBatch(core, maxEntriesPerWrite)
			assert.Equal(t, len(b.records), c.records)
			assert.Equal(t, len(b.workers), c.stored)
			leader := &leader{grant: &grant{}, recordVersions: make(map[string]int64), instance: &Instance{replica: newReplica(nil)}}
			tx := leader.transaction(&b)
			assert.Assert(t, len(tx.Expect)+len(tx.Put)+len(tx.Remove) <= maxEntriesPerWrite)
		})
	}
}

// A worker's row is removed once the records of the runs that were lost with it are stored.
func TestWorkersAreRemovedOnlyInAWriteThatHoldsAllRecords(t *testing.T) {
	for name, c := range map[string]struct {
		jobs    int
		limits  workload.WriteLimits
		removed int
	}{
		"all records fit":               {3, workload.WriteLimits{}, 1},
		"too many records":              {maxRecordsPerWrite + 1, workload.WriteLimits{}, 0},
		"the bytes of a write are full": {3, workload.WriteLimits{RowBytes: 4096, Bytes: 50, Entries: maxEntriesPerWrite}, 0},
		"no records":                    {0, workload.WriteLimits{}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			core := batchCore(c.jobs, 1)
			core.LimitWrites(c.limits)
			now := time.Unix(1_000_000, 0)
			core.WorkersStored([]workload.Worker{{ID: "w000"}})
			core.WorkersListed(nil, now, 0)
			for range 100 { // the worker answers nothing and is given up
				now = now.Add(time.Second)
				for _, a := range core.Decide(now, now.UnixMilli()) {
					if a.Kind == dispatch.ActPoll {
						core.PollAnswered(a, workload.Report{Verdict: workload.VerdictConnectionRefused}, now, now.UnixMilli())
					}
				}
			}
			assert.Equal(t, len(core.WorkersToRemove(10)), 1)
			b := nextBatch(core, maxEntriesPerWrite)
			assert.Equal(t, len(b.removed), c.removed)
		})
	}
}

func TestAMissingRowIsExpectedToBeMissing(t *testing.T) {
	c := &leader{grant: &grant{epochVersion: 5}, recordVersions: map[string]int64{"w/a": 7, "e/b": 8}}
	expected := []workload.Row{{Key: epochKey, Version: 5}, {Key: "w/a", Version: 7}, {Key: "e/b", Version: 8}}
	c.resolveConflict(expected, []workload.Row{{Key: epochKey, Version: 5}, {Key: "e/b", Version: 9}})
	assert.Equal(t, c.recordVersion("w/a"), int64(0), "its removal was performed and the answer was lost")
	assert.Equal(t, c.recordVersion("e/b"), int64(9))
	assert.Assert(t, !c.grant.ended())
}

func TestOnlyFinalRecordsAreSentToHubs(t *testing.T) {
	b := &batch{
		records: []dispatch.UnstoredRecord{{Job: "a"}, {Job: "b", Final: dispatch.FinalCompleted}, {Job: "c"}, {Job: "d", Final: dispatch.FinalFailed}},
		workers: []workload.Worker{{ID: "w"}},
	}
	leader := &leader{grant: &grant{}, recordVersions: make(map[string]int64), instance: &Instance{replica: newReplica(nil)}}
	rows := finalRows(b, leader.transaction(b).Put)
	assert.Equal(t, len(rows), 2)
	assert.Equal(t, rows[0].Key, recordPrefix+"b")
	assert.Equal(t, rows[1].Key, recordPrefix+"d")
}

// While a write is slow, a second route sends it too, and may still read its rows when the first
// route has been answered.
func TestTheRowsOfAWriteAreNotChangedOnceItIsStored(t *testing.T) {
	i := newTestLeaf(t)
	c := &leader{instance: i, logger: i.logger, recordVersions: make(map[string]int64)}
	tx := workload.Write{Put: []workload.Row{{Key: recordPrefix + "a", Value: []byte("{}")}}}
	c.applyWritten(&batch{}, tx, 7)
	assert.Equal(t, tx.Put[0].Version, int64(0))
	assert.Equal(t, c.recordVersions[recordPrefix+"a"], int64(7))
}

// A caller whose answer was lost hands its job in again seconds later, and must not find the rows gone.
func TestRowsOfAJobThatHasJustEndedAreKeptWhateverTheWallClocksSay(t *testing.T) {
	for name, endedAgo := range map[string]time.Duration{
		"the clock of the leader that ended it is behind": 10 * time.Minute,
		"the clocks are equal":                            0,
		"the clock of the leader that ended it is ahead":  -10 * time.Minute,
	} {
		t.Run(name, func(t *testing.T) {
			w := newWriter(t, 0, 0)
			record := dispatch.Record{Final: dispatch.FinalCompleted, EndedMS: time.Now().Add(-endedAgo).UnixMilli()}
			w.store.putRows(jobRow("a", 0), workload.Row{Key: recordPrefix + "a", Value: record.Encode()})
			w.instance.replica.reload(rowsOf(w.store.memoryStore, rand.New(rand.NewPCG(1, 1))), w.store.ver)
			w.orders = pond.NewPool(1)
			w.removeExpired()
			assert.NilError(t, w.orders.Submit(func() {}).Wait())
			assert.Equal(t, len(w.store.rows), 2)
		})
	}
}

func TestRowsOfAJobAreRemovedOnceItsEndHasBeenKnownForLong(t *testing.T) {
	r := newReplica(zap.NewNop())
	ahead := dispatch.Record{Final: dispatch.FinalCompleted, EndedMS: time.Now().Add(time.Hour).UnixMilli()}
	before := bootTime()
	r.apply([]workload.Row{jobRow("a", 1), jobRow("b", 2), {Key: recordPrefix + "a", Value: ahead.Encode(), Version: 3}})
	assert.Equal(t, len(r.expired(before, 10)), 0)
	r.apply([]workload.Row{{Key: recordPrefix + "a", Value: ahead.Encode(), Version: 4}})
	assert.DeepEqual(t, r.expired(bootTime().Add(time.Nanosecond), 10), []string{"a"})
}

// A removal that is performed late must not remove a worker that came back, or the next leader would
// not wait for what runs there.
func TestALateRemovalDoesNotRemoveAWorkerThatCameBack(t *testing.T) {
	w := newWriter(t, 0, 1)
	listed := []workload.Worker{{ID: "w000"}}
	key := workerPrefix + "w000"
	takeEpoch(w.store.memoryStore, 1)
	w.grant.epochVersion = w.store.rows[epochKey].Version
	// next returns the next write, and write performs one and applies its answer.
	next := func() (*batch, workload.Write) {
		b := nextBatch(w.core, maxEntriesPerWrite)
		return &b, w.transaction(&b)
	}
	perform := func(tx workload.Write) workload.WriteResult {
		result, err := w.store.Write(t.Context(), tx)
		assert.NilError(t, err)
		return result
	}
	write := func() {
		b, tx := next()
		if result := perform(tx); result.Conflict {
			w.resolveConflict(tx.Expect, result.Rows)
		} else {
			w.applyWritten(b, tx, result.Version)
			w.batchStored(b, w.now, 0)
		}
	}
	write()
	for range 100 { // the worker leaves
		w.now = w.now.Add(time.Second)
		w.core.WorkersListed(nil, w.now, 0)
		for _, a := range w.core.Decide(w.now, 0) {
			if a.Kind == dispatch.ActPoll {
				w.core.PollAnswered(a, workload.Report{Verdict: workload.VerdictConnectionRefused}, w.now, 0)
			}
		}
	}
	b, removal := next()
	assert.Equal(t, len(b.removed), 1)
	w.core.WorkersListed(listed, w.now, 0)
	assert.Equal(t, len(w.core.UnstoredWorkers(10)), 0, "it is not stored before its old row is removed")
	perform(removal) // its answer is lost
	write()          // finds the row missing
	write()          // removes it again
	write()          // stores the worker that came back
	_, stored := w.store.rows[key]
	assert.Assert(t, stored)
	assert.Assert(t, perform(removal).Conflict, "the late copy")
	_, stored = w.store.rows[key]
	assert.Assert(t, stored)
	assert.Equal(t, len(w.core.UnstoredWorkers(10)), 0)
}
