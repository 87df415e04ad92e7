package deployment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// newSweepWriter returns a writer whose core has one job of many tasks, all with a checkpoint.
func newSweepWriter(t *testing.T, tasks int) (*writer, dispatch.Record) {
	w := newWriter(t, 0, 0)
	w.store.rowBytes = w.instance.settings.RowBytes
	w.core.LimitWrites(w.instance.settings.writeLimits())
	record := dispatch.Record{StartIntent: true, Checkpoints: make(map[string]string)}
	for n := range tasks {
		record.Checkpoints[fmt.Sprintf("0.0.%d", n)] = fmt.Sprintf("%016x", n)
	}
	w.core.AddJob(&workload.Job{ID: "a", Steps: []workload.Step{{Count: tasks, Checkpoints: true}}}, record, false, w.now, 0)
	w.core.MarkDirty("a")
	return w, record
}

// rowsOf returns all rows of a store in a random order.
func rowsOf(store *memoryStore, random *rand.Rand) []workload.Row {
	var rows []workload.Row
	for _, row := range store.rows {
		rows = append(rows, row)
	}
	random.Shuffle(len(rows), func(a, b int) { rows[a], rows[b] = rows[b], rows[a] })
	return rows
}

func TestALargeRecordIsStoredWithinTheBoundsOfTheStoreAndReadByTheNextLeader(t *testing.T) {
	for _, tasks := range []int{10, 4_000, 20_000} {
		w, record := newSweepWriter(t, tasks)
		w.writeFor(dispatch.MaxRefusalPause)
		assert.Equal(t, w.store.refusals, 0, "%d tasks", tasks)
		r := newReplica(zap.NewNop())
		r.apply(append(rowsOf(w.store.memoryStore, rand.New(rand.NewPCG(1, 1))), workload.Row{
			Key: jobPrefix + "a", Version: 1, Value: encode(&workload.Job{ID: "a", Steps: []workload.Step{{Count: tasks}}}),
		}))
		jobs := r.snapshot()
		assert.Equal(t, len(jobs), 1)
		found := jobs[0].record
		found.Parts = 0
		assert.DeepEqual(t, found, record)
		assert.Equal(t, len(r.recordPartKeys([]string{"a"}))+1, len(w.store.rows), "all rows of the record must be removed with the job")
	}
}

// What the job has completed would be unknown.
func TestAJobWhoseRecordLacksAPartDoesNotRun(t *testing.T) {
	w, _ := newSweepWriter(t, 4_000)
	w.writeFor(dispatch.MaxRefusalPause)
	rows := rowsOf(w.store.memoryStore, rand.New(rand.NewPCG(1, 1)))
	rows = slices.DeleteFunc(rows, func(row workload.Row) bool { return row.Key == recordPartKey("a", 16, 3) })
	assert.Assert(t, len(rows) < len(w.store.rows))
	r := newReplica(zap.NewNop())
	r.apply(append(rows, jobRow("a", 1)))
	assert.Equal(t, len(r.snapshot()), 0)
}
