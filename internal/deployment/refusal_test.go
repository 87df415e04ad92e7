package deployment

import (
	"context"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// refusingStore refuses writes with certain keys.
type refusingStore struct {
	*memoryStore
	refuses map[string]bool
	// rowBytes, if set, bounds the values in base64.
	rowBytes int
	// refusals counts the refused writes.
	refusals int
}

// Write implements workload.Store.
func (s *refusingStore) Write(ctx context.Context, write workload.Write) (workload.WriteResult, error) {
	for _, row := range write.Put {
		if s.refuses[row.Key] || s.rowBytes > 0 && base64.StdEncoding.EncodedLen(len(row.Value)) > s.rowBytes {
			s.refusals++
			return workload.WriteResult{}, fmt.Errorf("%w: %w", workload.ErrRefused, workload.ErrNotDone)
		}
	}
	return s.memoryStore.Write(ctx, write)
}

// writer plays the writes of a leader, in the leader's own time.
type writer struct {
	*leader
	t     *testing.T
	store *refusingStore
	now   time.Time
}

func newWriter(t *testing.T, jobs, workers int) *writer {
	store := &refusingStore{memoryStore: newMemoryStore(), refuses: make(map[string]bool)}
	settings := defaultSettings()
	i := New(Options{Settings: &settings, Store: store, Decoder: plainDecoder{}, Logger: zap.NewNop()})
	c := newLeader(t.Context(), i, &grant{epoch: 1})
	c.core = batchCore(jobs, workers)
	return &writer{leader: c, t: t, store: store, now: time.Unix(1_000_000, 0)}
}

// writeFor writes what is unstored for a duration, one write each ten milliseconds.
func (w *writer) writeFor(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(10 * time.Millisecond) {
		w.core.Watch(w.now, 0) // sets the time of the core
		b := nextBatch(w.core, w.itemLimit.items)
		if b.items() == 0 {
			continue
		}
		tx := w.transaction(&b)
		assert.Assert(w.t, len(tx.Expect)+len(tx.Put)+len(tx.Remove) <= maxEntriesPerWrite)
		assert.Assert(w.t, base64.StdEncoding.EncodedLen(sizeOf(tx)) <= maxWriteBytes)
		_, err := w.store.Write(w.ctx, workload.Write{Put: tx.Put, Remove: tx.Remove})
		if err != nil {
			w.narrowDown(&b, w.now, 0)
		} else {
			w.batchStored(&b, w.now, 0)
		}
	}
}

// A record that is too large, for instance, is sent together with those of other jobs.
func TestARefusedRecordDoesNotKeepOthersFromBeingStored(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 7))
		jobs, workers, refused := 1+random.IntN(200), random.IntN(120), 1+random.IntN(3)
		w := newWriter(t, jobs, workers)
		for range refused {
			w.store.refuses[recordPrefix+fmt.Sprintf("%016x", random.IntN(jobs))] = true
		}
		w.writeFor(3 * time.Second)
		for n := range jobs {
			key := recordPrefix + fmt.Sprintf("%016x", n)
			_, stored := w.store.rows[key]
			assert.Equal(t, stored, !w.store.refuses[key], "seed %d, %s", seed, key)
		}
		for n := range workers {
			_, stored := w.store.rows[workerPrefix+fmt.Sprintf("w%03d", n)]
			assert.Assert(t, stored, "seed %d: a worker gets no work until it is stored", seed)
		}
		assert.Equal(t, w.core.RefusedRecords(), len(w.store.refuses))
		refusals := w.store.refusals
		w.writeFor(time.Minute)
		assert.Equal(t, w.store.refusals, refusals, "seed %d: a refused record is not sent again unchanged", seed)
	}
}

// Each change makes the record larger.
func TestARefusedRecordThatChangesIsSentAloneAndSeldom(t *testing.T) {
	w := newWriter(t, 50, 0)
	refused := fmt.Sprintf("%016x", 7)
	w.store.refuses[recordPrefix+refused] = true
	w.writeFor(time.Second)
	refusals := w.store.refusals
	for range 100 { // 50 s
		w.core.MarkDirty(refused)
		other := fmt.Sprintf("%016x", 8)
		w.core.MarkDirty(other)
		w.writeFor(500 * time.Millisecond)
		assert.Equal(t, len(w.core.UnstoredFinalRecords(0)), 1, "the other job's record is stored")
	}
	assert.Assert(t, w.store.refusals-refusals <= 8, "%d refusals in 50 s", w.store.refusals-refusals)
	w.store.refuses = nil
	w.core.MarkDirty(refused)
	w.writeFor(dispatch.MaxRefusalPause)
	assert.Equal(t, w.core.RefusedRecords(), 0)
	assert.Equal(t, len(w.core.UnstoredFinalRecords(0)), 0)
}
