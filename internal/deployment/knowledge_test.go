package deployment

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/knowledge"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// newKnowledgeLeader returns a leader of an epoch whose row the store has.
func newKnowledgeLeader(t *testing.T, store *memoryStore, epoch int64) *leader {
	i := newTestLeaf(t)
	i.store.direct = store
	c := &leader{
		instance: i, logger: zap.NewNop(), recordVersions: make(map[string]int64), ctx: context.Background(), events: make(chan event, 8),
		grant: &grant{epoch: epoch, epochVersion: store.rows[epochKey].Version},
		core:  dispatch.New(workload.Bounds{}, epoch, time.Unix(1000, 0), time.Time{}),
	}
	page, err := store.Read(c.ctx, workload.SourceOwn, mainPart, "", "")
	assert.NilError(t, err)
	i.replica.reload(page.Rows, page.Version)
	c.restoreKnowledge(time.Unix(1000, 0), time.Now().UnixMilli())
	return c
}

// learn makes the core know a number of run times.
func (c *leader) learn(runTimes int) {
	k := knowledge.Knowledge{RunTimes: make(map[string]knowledge.RunTime)}
	for n := range runTimes {
		k.RunTimes[fmt.Sprintf("queue %d", n)] = knowledge.RunTime{Count: 9, Time: 7}
	}
	c.core.Restore(k, time.Unix(1000, 0), 0)
}

func (c *leader) storeKnowledge() {
	b := batch{workers: []workload.Worker{{ID: "w"}}}
	c.addKnowledge(&b)
	c.writeBatch(&b)
	c.apply(<-c.events)
}

func takeEpoch(store *memoryStore, epoch int64) {
	_, _ = store.Write(context.Background(), workload.Write{Put: []workload.Row{{Key: epochKey, Value: encode(epoch)}}})
}

func TestANewLeaderKnowsWhatItsPredecessorStored(t *testing.T) {
	store := newMemoryStore()
	takeEpoch(store, 1)
	first := newKnowledgeLeader(t, store, 1)
	first.learn(3)
	first.storeKnowledge()
	takeEpoch(store, 2)
	second := newKnowledgeLeader(t, store, 2)
	assert.Equal(t, len(second.core.Knowledge().RunTimes), 3)
}

// The first leader was replaced and has not noticed.
func TestAReplacedLeaderStoresNoKnowledge(t *testing.T) {
	store := newMemoryStore()
	takeEpoch(store, 1)
	first := newKnowledgeLeader(t, store, 1)
	takeEpoch(store, 2)
	second := newKnowledgeLeader(t, store, 2)
	second.learn(2)
	second.storeKnowledge()
	first.learn(5)
	first.storeKnowledge()
	assert.Equal(t, len(newKnowledgeLeader(t, store, 2).core.Knowledge().RunTimes), 2)
}

func TestKnowledgeThatWasNotStoredIsWrittenAgain(t *testing.T) {
	store := newMemoryStore()
	takeEpoch(store, 1)
	c := newKnowledgeLeader(t, store, 1)
	c.learn(1)
	store.fail = func() error { return fmt.Errorf("%w: away", workload.ErrNotDone) }
	c.storeKnowledge()
	store.fail = nil
	assert.Equal(t, len(store.rows[knowledgePrefix+"work"].Value), 0)
	c.learned = knowledge.NewTracker(1, nil, knowledge.Knowledge{}) // due at once
	c.storeKnowledge()
	assert.Assert(t, len(store.rows[knowledgePrefix+"work"].Value) > 0)
}

func TestKnowledgeWaitsForRecords(t *testing.T) {
	store := newMemoryStore()
	c := newKnowledgeLeader(t, store, 1)
	c.learn(1)
	b := batch{records: make([]dispatch.UnstoredRecord, maxRecordsPerWrite)}
	c.addKnowledge(&b)
	assert.Equal(t, len(b.learned.rows), 0)
}
