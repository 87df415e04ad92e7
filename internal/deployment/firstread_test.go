package deployment

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// newReadingLeader returns the leader of epoch 2 before it reads the store, all of whose rows are older.
func newReadingLeader(t *testing.T, store *memoryStore) *leader {
	settings := defaultSettings()
	i := New(Options{Settings: &settings, Store: store, Decoder: plainDecoder{}, Logger: zap.NewNop()})
	config := &workload.Configuration{}
	config.Index()
	i.configuration.Store(config)
	c := newLeader(t.Context(), i, &grant{epoch: 2, epochVersion: store.ver, hasPredecessor: true})
	i.leader.Store(c)
	i.replica.keepAll()
	return c
}

// takeOver returns the leader of epoch 2 after it has read the store. Notes are rows that peers send
// while it reads.
func takeOver(t *testing.T, store *memoryStore, notes ...workload.Row) *leader {
	c := newReadingLeader(t, store)
	c.instance.replica.apply(notes)
	_, ok := c.load()
	assert.Assert(t, ok)
	c.applyQueued()
	return c
}

// knows reports whether the core has a job.
func (c *leader) knows(id string) bool {
	c.core.MarkDirty(id)
	list := slices.DeleteFunc(c.core.UnstoredRecords(maxEntriesPerWrite), func(u dispatch.UnstoredRecord) bool { return u.Job != id })
	c.core.MarkRecordsStored(list, time.Now(), 0)
	return len(list) == 1
}

// putRows stores rows.
func (s *memoryStore) putRows(rows ...workload.Row) {
	for _, row := range rows {
		s.ver++
		row.Version = s.ver
		s.rows[row.Key] = row
	}
}

// What the job has completed would be unknown.
func TestAJobWhoseRecordCannotBeReadNeverReachesTheCore(t *testing.T) {
	split := dispatch.Record{StartIntent: true, Parts: 2}
	part := dispatch.Record{Done: map[string]string{"0.0": "01"}}
	head := func(data []byte) workload.Row { return workload.Row{Key: recordPrefix + "a", Value: data} }
	partRow := func(index int, data []byte) workload.Row {
		return workload.Row{Key: recordPartKey("a", 2, index), Value: data}
	}
	cancel := workload.Row{Key: cancelPrefix + "a", Value: []byte("1")}
	for name, rows := range map[string][]workload.Row{
		"the head cannot be decoded": {head([]byte("?"))},
		"a part is missing":          {head(split.Encode()), partRow(0, part.Encode())},
		"a part cannot be decoded":   {head(split.Encode()), partRow(0, part.Encode()), partRow(1, []byte("?"))},
	} {
		t.Run(name, func(t *testing.T) {
			store := newMemoryStore()
			store.putRows(jobRow("a", 0), jobRow("b", 0))
			store.putRows(rows...)
			c := takeOver(t, store)
			assert.Assert(t, c.knows("b"))
			assert.Assert(t, !c.knows("a"), "added by the first read of the table")
			c.instance.replica.apply([]workload.Row{{Key: cancel.Key, Value: cancel.Value, Version: store.ver + 1}})
			c.applyQueued()
			assert.Assert(t, !c.knows("a"), "added by its cancellation")
		})
	}
}

func TestAJobThatArrivesWhileTheTableIsReadIsNotAddedWithoutItsRecord(t *testing.T) {
	store := newMemoryStore()
	store.putRows(jobRow("a", 0), workload.Row{Key: recordPrefix + "a", Value: []byte("?")})
	c := takeOver(t, store, store.rows[jobPrefix+"a"])
	assert.Assert(t, !c.knows("a"))
}

func TestAnOldCopyOfARemovedRowDoesNotBringItsJobBack(t *testing.T) {
	deleted := func(key string, version int64) workload.Row {
		return workload.Row{Key: key, Version: version, Deleted: true}
	}
	for name, late := range map[string]func(r *replica, old workload.Row){
		"a note":             func(r *replica, old workload.Row) { r.apply([]workload.Row{old}) },
		"a read from before": func(r *replica, old workload.Row) { r.reload([]workload.Row{old}, old.Version) },
	} {
		t.Run(name, func(t *testing.T) {
			store := newMemoryStore()
			store.putRows(jobRow("a", 0), recordRow("a", dispatch.FinalCompleted, 0))
			c := takeOver(t, store)
			assert.Assert(t, c.knows("a"))
			removedAt := store.ver + 1
			c.instance.replica.applyFeed([]workload.Row{deleted(jobPrefix+"a", removedAt), deleted(recordPrefix+"a", removedAt+1)})
			c.core.RemoveJob("a")
			late(c.instance.replica, store.rows[jobPrefix+"a"])
			c.applyQueued()
			assert.Assert(t, !c.knows("a"), "it would run again")
			_, known := c.instance.replica.get("a")
			assert.Assert(t, !known)
			c.instance.replica.apply([]workload.Row{jobRow("a", removedAt+2)})
			c.applyQueued()
			assert.Assert(t, c.knows("a"), "a new job of the same id")
		})
	}
}

func TestAHubAgainAcceptsTheRowsThatItHadDropped(t *testing.T) {
	r := newReplica(zap.NewNop())
	rows := []workload.Row{jobRow("a", 1), recordRow("a", dispatch.FinalCompleted, 2)}
	r.reload(rows, 7)
	r.advance(9)
	r.keepOnlyInstances()
	r.advance(11)
	r.reload(rows, 12)
	state, _, known := r.state("a")
	assert.Assert(t, known)
	assert.Equal(t, state, StateCompleted)
}

// A row that a peer sends ahead of the feed does not make what the feed still brings old.
func TestTheFeedBringsRowsThatAreOlderThanANote(t *testing.T) {
	r := newReplica(zap.NewNop())
	r.reload(nil, 3)
	r.apply([]workload.Row{jobRow("b", 9)})
	removes := workload.Row{Key: jobPrefix + "x", Version: 5, Deleted: true}
	r.applyFeed([]workload.Row{jobRow("a", 4), removes, jobRow("c", 5)})
	for _, id := range []string{"a", "b", "c"} {
		_, known := r.get(id)
		assert.Assert(t, known, id)
	}
}

func TestANewLeaderDoesNotHangOnMoreJobsThanItsEventsHold(t *testing.T) {
	store := newMemoryStore()
	for n := range eventCapacity + 10 {
		store.putRows(jobRow(fmt.Sprintf("%016x", n), 0))
	}
	c := takeOver(t, store)
	assert.Assert(t, c.knows(fmt.Sprintf("%016x", eventCapacity+9)))
}
