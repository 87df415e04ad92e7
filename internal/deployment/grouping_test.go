package deployment

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// gatedStore carries out one write after the other, each once the gate lets it.
type gatedStore struct {
	*memoryStore
	one   sync.Mutex
	gate  chan struct{}
	asked chan workload.Write
}

func newGatedStore() *gatedStore {
	return &gatedStore{memoryStore: newMemoryStore(), gate: make(chan struct{}), asked: make(chan workload.Write, 100)}
}

// Write implements workload.Store.
func (s *gatedStore) Write(ctx context.Context, write workload.Write) (workload.Written, error) {
	s.asked <- write
	s.one.Lock()
	defer s.one.Unlock()
	select {
	case <-s.gate:
	case <-ctx.Done():
		return workload.Written{}, fmt.Errorf("%w: %w", workload.ErrUnknown, ctx.Err())
	}
	return s.memoryStore.Write(ctx, write)
}

func insert(id string) workload.Write {
	key := jobPrefix + id
	return workload.Write{Expect: []workload.Row{{Key: key}}, Put: []workload.Row{{Key: key, Value: []byte(id)}}}
}

// slowGrouping is a grouping over a slow store, which holds others back for long.
func slowGrouping(store workload.Store) *grouping {
	return &grouping{Store: store, took: time.Hour}
}

// writeAll starts writes and waits until all but the first are queued.
func writeAll(t *testing.T, g *grouping, writes ...workload.Write) []chan writeResult {
	t.Helper()
	var results []chan writeResult
	for n, w := range writes {
		result := make(chan writeResult, 1)
		results = append(results, result)
		go func() {
			written, err := g.Write(t.Context(), w)
			result <- writeResult{written, err}
		}()
		for queued := -1; queued != n; { // the first is under way
			g.mu.Lock()
			queued = len(g.queue)
			if g.busy == nil {
				queued = -1
			}
			g.mu.Unlock()
		}
	}
	return results
}

func TestABurstOnASlowStoreTakesTwoTransactions(t *testing.T) {
	store := newGatedStore()
	var writes []workload.Write
	for n := range 40 {
		writes = append(writes, insert(fmt.Sprint("job-", n)))
	}
	results := writeAll(t, slowGrouping(store), writes...)
	for range 2 {
		store.gate <- struct{}{}
	}
	for _, result := range results {
		r := <-result
		assert.NilError(t, r.err)
		assert.Assert(t, !r.written.Conflict && r.written.Version > 0)
	}
	assert.Equal(t, store.calls, 2)
	assert.Equal(t, len(store.rows), 40)
}

func TestAConflictIsOnlyThatOfTheWriteThatMetIt(t *testing.T) {
	store := newGatedStore()
	_, err := store.memoryStore.Write(t.Context(), insert("known"))
	assert.NilError(t, err)
	results := writeAll(t, slowGrouping(store), insert("first"), insert("second"), insert("known"), insert("third"))
	go func() {
		for range 4 { // the first, the group with the conflict, the two others
			store.gate <- struct{}{}
		}
	}()
	for n, result := range results {
		r := <-result
		assert.NilError(t, r.err)
		assert.Equal(t, r.written.Conflict, n == 2)
		if n == 2 {
			assert.Equal(t, r.written.Rows[0].Key, jobPrefix+"known")
			assert.Equal(t, len(r.written.Rows), 1)
		}
	}
}

func TestAWriteWithoutAnAnswerHoldsOthersBackOnlyShortly(t *testing.T) {
	store := newGatedStore()
	g := &grouping{Store: store}
	results := writeAll(t, g, insert("lost"), insert("next"))
	<-store.asked
	assert.Equal(t, (<-store.asked).Put[0].Key, jobPrefix+"next", "it went beside the first")
	for range results {
		store.gate <- struct{}{}
	}
	for _, result := range results {
		assert.NilError(t, (<-result).err)
	}
}

func TestAWriteThatWaitsAndIsGivenUpNeverHappens(t *testing.T) {
	store := newGatedStore()
	g := slowGrouping(store)
	first := writeAll(t, g, insert("first"))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := g.Write(ctx, insert("given-up"))
	assert.Assert(t, errors.Is(err, workload.ErrNotDone) && !errors.Is(err, workload.ErrUnknown))
	store.gate <- struct{}{}
	assert.NilError(t, (<-first[0]).err)
	assert.Equal(t, len(store.rows), 1)
}

func TestAWriteThatWasSentAndIsGivenUpMayHaveHappened(t *testing.T) {
	store := newGatedStore()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-store.asked
		cancel()
	}()
	_, err := slowGrouping(store).Write(ctx, insert("sent"))
	assert.Assert(t, errors.Is(err, workload.ErrUnknown))
	store.gate <- struct{}{}
}

func TestWhichWritesGoTogether(t *testing.T) {
	epoch := func(version int64) []workload.Row { return []workload.Row{{Key: epochKey, Version: version}} }
	many := workload.Write{}
	for n := range entriesAtOnce - 1 {
		many.Put = append(many.Put, workload.Row{Key: fmt.Sprint("row-", n)})
	}
	for sentence, c := range map[string]struct {
		first, second workload.Write
		want          bool
	}{
		"two jobs":                             {insert("a"), insert("b"), true},
		"the same job twice":                   {insert("a"), insert("a"), false},
		"both expect the same epoch":           {workload.Write{Expect: epoch(3), Put: []workload.Row{{Key: "x"}}}, workload.Write{Expect: epoch(3), Put: []workload.Row{{Key: "y"}}}, true},
		"they expect different epochs":         {workload.Write{Expect: epoch(3), Put: []workload.Row{{Key: "x"}}}, workload.Write{Expect: epoch(4), Put: []workload.Row{{Key: "y"}}}, false},
		"one changes what the other expects":   {workload.Write{Put: []workload.Row{{Key: epochKey}}}, workload.Write{Expect: epoch(3)}, false},
		"one expects what the other changes":   {workload.Write{Expect: epoch(3)}, workload.Write{Put: []workload.Row{{Key: epochKey}}}, false},
		"one removes what the other puts":      {workload.Write{Put: []workload.Row{{Key: "x"}}}, workload.Write{Remove: []string{"x"}}, false},
		"more entries than a transaction has":  {many, insert("a"), false},
		"as many entries as a transaction has": {many, workload.Write{Put: []workload.Row{{Key: "x"}}}, true},
	} {
		t.Run(sentence, func(t *testing.T) {
			group := &writeGroup{}
			assert.Assert(t, group.take(&queuedWrite{write: c.first}))
			assert.Equal(t, group.take(&queuedWrite{write: c.second}), c.want)
		})
	}
}

func TestAllWriteThroughTheOneThatSchedules(t *testing.T) {
	r := newTestReach(newMemoryStore(), helper{store: newMemoryStore()})
	holder := ""
	r.writer = func() string { return holder }
	names := func(call string) []string {
		var list []string
		for _, path := range r.paths(call) {
			if by, isRelay := path.(*relay); isRelay {
				list = append(list, by.peer)
			} else {
				list = append(list, "direct")
			}
		}
		return list
	}
	assert.DeepEqual(t, names(callWrite), []string{"direct", "peer"})
	holder = "holder"
	assert.DeepEqual(t, names(callWrite), []string{"holder", "direct", "peer"})
	assert.DeepEqual(t, names(callRead), []string{"direct", "peer"})
	answered(r.direct, 300*time.Millisecond)
	assert.Assert(t, r.limitsNow().patience > pathPatience, "asking by more paths makes it slower still")
	for range 10 {
		answered(r.direct, 4*time.Millisecond)
	}
	assert.Equal(t, r.limitsNow(), limits{r.limit, pathPatience})
}

func TestAStoreThatTurnsSlowDoesNotGetOneAfterTheOther(t *testing.T) {
	g := &grouping{Store: newMemoryStore()}
	assert.Equal(t, g.holdsFor(), loneFor)
	g.unanswered = 3
	assert.Equal(t, g.holdsFor(), 4*loneFor)
	g.unanswered = 30
	assert.Equal(t, g.holdsFor(), loneFor<<mostDoublings)
}

// answered notes an answer of the store.
func answered(g *grouping, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answered(took)
}

func TestAStoreThatOwesAnAnswerIsSlow(t *testing.T) {
	g := &grouping{Store: newMemoryStore()}
	ended := g.calling()
	assert.Assert(t, !g.isSlow())
	for began := range g.pending {
		*began = began.Add(-slowStore)
	}
	assert.Assert(t, g.isSlow())
	ended(workload.ErrUnknown)
	assert.Assert(t, !g.isSlow(), "without an answer nothing is known of its time")
}

func TestOnlyTheOneThatSchedulesWritesForOthersWhileTheStoreIsSlow(t *testing.T) {
	settings := defaultSettings()
	settings.Listen.Peers = "127.0.0.1:1"
	i := New(Options{Settings: &settings, Store: newMemoryStore(), Logger: zap.NewNop()})
	write := &peerpb.StoreCall{Op: opWrite, Put: packRows(insert("a").Put)}
	assert.Equal(t, i.serveStore(t.Context(), write).GetFailure(), "")
	answered(i.store.direct, 300*time.Millisecond)
	assert.Equal(t, i.serveStore(t.Context(), write).GetFailure(), failureNotDone)
	assert.Equal(t, i.serveStore(t.Context(), &peerpb.StoreCall{Op: opRead, Source: string(workload.SourceOwn)}).GetFailure(), "")
	i.lease.set(&grant{})
	assert.Equal(t, i.serveStore(t.Context(), write).GetFailure(), "")
}
