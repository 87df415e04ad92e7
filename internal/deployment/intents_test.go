package deployment

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// intentTest is a leader with one worker and one waiting job, whose store takes writes of some parts
// only.
type intentTest struct {
	*leader
	store *memoryStore
	now   time.Time
}

// partStore refuses writes of some parts.
type partStore struct {
	*memoryStore
	refused []string
}

// Write implements workload.Store.
func (s *partStore) Write(ctx context.Context, write workload.Write) (workload.WriteResult, error) {
	if slices.Contains(s.refused, write.Part) {
		return workload.WriteResult{}, errors.Join(workload.ErrUnknown, context.DeadlineExceeded)
	}
	return s.memoryStore.Write(ctx, write)
}

const waitingJob = "00000000000000aa"

func newIntentTest(t *testing.T, refused ...string) *intentTest {
	store := newMemoryStore()
	takeEpoch(store, 1)
	l := newKnowledgeLeader(t, store, 1)
	l.instance.store.direct = &partStore{store, refused}
	l.orders, l.intentWrites, l.fences = pond.NewPool(4), make(map[string]bool), make(map[string]fence)
	it := &intentTest{leader: l, store: store, now: time.Unix(1000, 0)}
	config := &workload.Configuration{Queues: []workload.Queue{{Name: "q", Pool: "pool", Attempts: 1, LatencyFactor: 2}}}
	config.Index()
	l.core.Configure(config)
	l.core.StoreStartIntents(true)
	worker := workload.Worker{ID: "w", Addr: "a", Pool: "pool", Capacity: workload.Resources{Accelerators: 8}}
	l.core.WorkersListed([]workload.Worker{worker}, it.now, 0)
	l.core.WorkersStored([]workload.Worker{worker})
	for _, action := range l.core.Decide(it.now, 0) {
		l.core.PollAnswered(action, workload.Report{ClockMS: 1}, it.now, 0)
	}
	job := &workload.Job{ID: waitingJob, Queue: "q", Steps: []workload.Step{{Count: 1, EstimateMS: 1000, Need: workload.Resources{Accelerators: 1}}}}
	l.core.AddJob(job, dispatch.Record{}, false, it.now, 0)
	row := workload.Row{Key: jobPrefix + waitingJob, Value: encode(job)}
	_, err := store.Write(l.ctx, workload.Write{Part: partOf(row.Key), Put: []workload.Row{row}})
	assert.NilError(t, err)
	return it
}

// starts decides after a while and returns the number of starts.
func (it *intentTest) starts(after time.Duration) int {
	it.now = it.now.Add(after)
	count := 0
	for _, action := range it.core.Decide(it.now, after.Milliseconds()) {
		if action.Kind == dispatch.ActStart {
			count++
		}
	}
	return count
}

// storeIntents writes owed intents and applies the answers.
func (it *intentTest) storeIntents() {
	it.writeOwedIntents()
	for range len(it.intentWrites) {
		it.apply(<-it.events)
	}
}

func TestAJobStartsWhileItsRecordCannotBeStored(t *testing.T) {
	it := newIntentTest(t, mainPart)
	assert.Equal(t, it.starts(0), 0)
	it.writeOwedIntents()
	assert.Equal(t, len(it.intentWrites), 0, "its record may still take the intent")
	assert.Equal(t, it.starts(2*intentFallbackAfter), 0)
	it.storeIntents()
	assert.Equal(t, it.starts(0), 1)
}

func TestAJobWaitsWhileNoPartTakesItsIntent(t *testing.T) {
	it := newIntentTest(t, mainPart, partOf(jobPrefix+waitingJob))
	assert.Equal(t, it.starts(0)+it.starts(2*intentFallbackAfter), 0)
	it.storeIntents()
	assert.Equal(t, it.starts(0), 0)
	assert.Equal(t, len(it.intentWrites), 0, "it is tried again")
}

// The leader dies after the start. The next one must not take the job for one that never started.
func TestTheNextLeaderReadsSeparateIntents(t *testing.T) {
	it := newIntentTest(t, mainPart)
	_ = it.starts(0) + it.starts(2*intentFallbackAfter)
	it.storeIntents()
	rows, _, err := readTable(it.ctx, it.store, workload.SourceOwn)
	assert.NilError(t, err)
	slices.Reverse(rows) // in any order
	r := newReplica(it.logger)
	r.reload(rows, it.store.ver)
	jobs := r.snapshot()
	assert.Equal(t, len(jobs), 1)
	assert.Assert(t, jobs[0].record.StartIntent)
}

// An instance of an earlier version knows neither separate intents nor the promise that counts them.
func TestThePromiseOfSeparateIntentsIsNotThatOfRecords(t *testing.T) {
	row := leaderRow{StoresIntentsAnywhere: true}
	assert.Assert(t, row.promisesIntents() && !row.StoresIntents)
	assert.Assert(t, leaderRow{StoresIntents: true}.promisesIntents(), "a predecessor of an earlier version")
}

func TestTheRowsOfAnEndedJobAreRemovedWithItsIntent(t *testing.T) {
	for _, write := range removals([]string{waitingJob}, nil, func(string) int64 { return 1 }, 1) {
		if write.Part == partOf(jobPrefix+waitingJob) {
			assert.Assert(t, slices.Contains(write.Remove, intentPrefix+waitingJob))
			return
		}
	}
	t.Fatal("no write removes the job")
}
