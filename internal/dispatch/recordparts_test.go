package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

var testWriteLimits = workload.WriteLimits{RowBytes: 4096, Bytes: 30_000, Entries: 100}

// largeRecord returns the record of a job of one step whose tasks have saved checkpoints and failed.
func largeRecord(random *rand.Rand, tasks int) Record {
	var r Record
	for n := range tasks {
		key := taskKey(0, 0, n)
		if random.IntN(2) == 0 {
			r.setCheckpoint(key, fmt.Sprintf("%016x", random.Uint64()))
		}
		if random.IntN(2) == 0 { // fewer than the attempts that its queue allows
			r.addFailed(key, 1_000_000+random.Int64N(9000))
		}
		if random.IntN(20) == 0 {
			r.addCrash(key, 1_000_001, true)
			r.addUnanswered(key, 1_000_002)
			r.addSharedCrash(key, 1_000_003)
			r.beginAttempt(key, 1_000_004)
			r.setObserved(key, 1_000_001, 1e9)
			r.setSurvived(key, 2e9)
		}
		if random.IntN(50) == 0 {
			r.setDone(stepKey(0, 0), n, tasks)
		}
	}
	return r
}

// storedRecord plays the rows of one record in the store.
type storedRecord struct {
	t     *testing.T
	head  []byte
	parts map[string][]byte
	// bytes and writes count what was written.
	bytes, writes int
}

func (s *storedRecord) partName(count, index int) string { return fmt.Sprintf("%d/%d", count, index) }

// write applies a write, and checks its bounds.
func (s *storedRecord) write(u UnstoredRecord) {
	bytes, entries := 0, reservedEntries
	for _, p := range u.Parts {
		assert.Assert(s.t, len(p.Data) <= testWriteLimits.RowBytes)
		s.parts[s.partName(p.Count, p.Index)] = p.Data
		bytes += len(p.Data)
		entries += entriesPerRow
	}
	if !u.Incomplete {
		assert.Assert(s.t, len(u.Record) <= testWriteLimits.RowBytes)
		s.head = u.Record
		bytes += len(u.Record)
		entries += entriesPerRow + u.ObsoleteRows
		for n := range u.ObsoleteRows {
			delete(s.parts, s.partName(u.Obsolete.Count, u.Obsolete.From+n))
		}
	}
	assert.Assert(s.t, bytes <= testWriteLimits.Bytes && entries <= testWriteLimits.Entries, "%d bytes, %d entries", bytes, entries)
	s.bytes += bytes
	s.writes++
}

// read returns the record as a new leader reads it.
func (s *storedRecord) read() Record {
	if s.head == nil {
		return Record{}
	}
	r, err := DecodeRecord(s.head)
	assert.NilError(s.t, err)
	for n := range r.Parts {
		data, found := s.parts[s.partName(r.Parts, n)]
		assert.Assert(s.t, found, "part %d of %d is missing", n, r.Parts)
		assert.NilError(s.t, r.Join(data))
	}
	r.Parts = 0
	return r
}

// storeAll writes until the core has nothing left to store.
func (s *storedRecord) storeAll(b *bench) {
	for range 50 {
		list := b.core.UnstoredRecords(40)
		if len(list) == 0 {
			return
		}
		for _, u := range list {
			s.write(u)
			s.read()
		}
		b.core.MarkRecordsStored(list, b.now, b.wallMS)
	}
	s.t.Fatal("the record is never stored")
}

// A reader after any write finds all parts of a version.
func TestARecordThatIsTooLargeForARowIsStoredInParts(t *testing.T) {
	for seed := range uint64(6) {
		random := rand.New(rand.NewPCG(seed, 11))
		tasks := 1 + random.IntN(3000)
		b := newBench(t, 0, false)
		b.core.LimitWrites(testWriteLimits)
		job := &workload.Job{ID: "sweep", Queue: "batch", Account: "other", Steps: []workload.Step{{Count: tasks, Checkpoints: true}}}
		record := largeRecord(random, tasks)
		b.core.AddJob(job, record, false, b.now, b.wallMS)
		store := &storedRecord{t: t, parts: make(map[string][]byte)}
		for range 3 {
			for range 4 { // one write does not always have room to remove all obsolete rows
				b.core.MarkDirty("sweep")
				store.storeAll(b)
			}
			j := b.core.jobs["sweep"]
			assert.DeepEqual(t, store.read(), j.record)
			assert.Equal(t, len(store.parts), j.parts.count, "rows that are no longer read remain")
			for range 1 + tasks/4 { // the record grows
				j.record.addFailed(taskKey(0, 0, random.IntN(tasks)), random.Int64())
			}
		}
	}
}

// A write whose answer is lost may have been performed.
func TestPartsWhoseWriteHadNoAnswerAreWrittenAgain(t *testing.T) {
	b := newBench(t, 0, false)
	b.core.LimitWrites(testWriteLimits)
	const tasks = 500
	job := &workload.Job{ID: "sweep", Queue: "batch", Account: "other", Steps: []workload.Step{{Count: tasks}}}
	b.core.AddJob(job, largeRecord(rand.New(rand.NewPCG(1, 1)), tasks), false, b.now, b.wallMS)
	store := &storedRecord{t: t, parts: make(map[string][]byte)}
	b.core.MarkDirty("sweep")
	store.storeAll(b)
	j := b.core.jobs["sweep"]
	key := taskKey(0, 0, 7)
	before := j.record.clone()
	j.record.setCheckpoint(key, "0123456789abcdef")
	b.core.MarkDirty("sweep")
	store.write(b.core.UnstoredRecords(1)[0]) // its answer is lost
	j.record = before
	b.core.MarkDirty("sweep")
	store.storeAll(b)
	assert.DeepEqual(t, store.read(), j.record)
}

// One write takes what has changed, whatever the size of the record.
func TestAChangeOfALargeRecordWritesFewBytes(t *testing.T) {
	written := make(map[int]int)
	for _, tasks := range []int{5_640, 20_000} {
		b := newBench(t, 0, false)
		limits := workload.WriteLimits{RowBytes: 49_152, Bytes: 675_000, Entries: 100}
		b.core.LimitWrites(limits)
		job := &workload.Job{ID: "sweep", Queue: "batch", Account: "other", Steps: []workload.Step{{Count: tasks, Checkpoints: true}}}
		b.core.AddJob(job, largeRecord(rand.New(rand.NewPCG(2, 2)), tasks), false, b.now, b.wallMS)
		b.core.MarkDirty("sweep")
		for list := b.core.UnstoredRecords(1); len(list) > 0; list = b.core.UnstoredRecords(1) {
			b.core.MarkRecordsStored(list, b.now, b.wallMS)
		}
		j := b.core.jobs["sweep"]
		j.record.addFailed(taskKey(0, 0, 5), 2_000_000)
		b.core.MarkDirty("sweep")
		u := b.core.UnstoredRecords(1)[0]
		assert.Equal(t, len(u.Parts), 1)
		written[tasks] = len(u.Record) + len(u.Parts[0].Data)
		assert.Assert(t, written[tasks] <= limits.RowBytes/partsPerRowBound+100)
	}
	t.Logf("bytes written for one failure, by tasks: %v", written)
}
