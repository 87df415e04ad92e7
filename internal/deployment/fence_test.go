package deployment

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// newSuccessor returns the leader of epoch 2 on a store, which takes the lease while the leader of
// epoch 1 may still be active.
func newSuccessor(t *testing.T, store *memoryStore) *leader {
	i := newDrainInstance(store, zap.NewNop())
	g := &grant{epoch: 2, hasPredecessor: true, trustIntents: true, predecessorUntil: bootTime().Add(time.Hour)}
	return &leader{instance: i, grant: g, logger: zap.NewNop(), ctx: t.Context()}
}

// The predecessor was frozen or cut off.
func TestNoIntentIsStoredThatTheSuccessorDoesNotRead(t *testing.T) {
	for name, fallsBack := range map[string]bool{"it stores the intent before its successor reads the table": true, "it stores the intent afterwards": false} {
		t.Run(name, func(t *testing.T) {
			it := newIntentTest(t, mainPart)
			_ = it.starts(0) + it.starts(2*intentFallbackAfter)
			next := newSuccessor(t, it.store)
			if fallsBack {
				it.storeIntents()
			}
			_, loaded := next.load()
			assert.Assert(t, loaded)
			it.storeIntents()
			known, ok := next.instance.replica.jobForLeader(waitingJob)
			assert.Assert(t, ok)
			assert.Equal(t, it.starts(0) == 1, known.record.StartIntent, "the successor must know of each job that may start")
			assert.Equal(t, it.grant.ended(), !fallsBack)
		})
	}
}

func TestAPartThatTakesNoFenceIsNotTrusted(t *testing.T) {
	for name, c := range map[string]struct {
		refused string
		overFor time.Duration
		trusted bool
		written int
	}{
		"the predecessor may be active":                    {"", -time.Hour, true, jobParts},
		"it may, and a part takes no fence":                {jobPart(3), -time.Hour, false, jobParts - 1},
		"its time is over before the table is read":        {"", time.Hour, true, 0},
		"its time is over, and a part would take no fence": {jobPart(3), time.Hour, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			store := newMemoryStore()
			next := newSuccessor(t, store)
			next.instance.store.direct = &partStore{store, []string{c.refused}}
			next.grant.predecessorUntil = bootTime().Add(-c.overFor)
			core, logs := observer.New(zap.InfoLevel)
			next.logger = zap.New(core)
			_, loaded := next.load()
			assert.Assert(t, loaded)
			leading := logs.FilterMessage("leading").All()[0].ContextMap()
			assert.Equal(t, leading["intents_trusted"], c.trusted)
			assert.Equal(t, store.ver, int64(c.written), "writes")
		})
	}
}

func TestAFenceIsNeverReplacedByThatOfAnEarlierLeader(t *testing.T) {
	store := newMemoryStore()
	next := newSuccessor(t, store)
	assert.Assert(t, next.writeFences())
	late := newSuccessor(t, store)
	late.grant.epoch = 1
	assert.Assert(t, !late.writeFences())
	assert.Assert(t, late.grant.ended())
	assert.Equal(t, decodeFence([]workload.Row{store.rows[fencePrefix+jobPart(0)]}, fencePrefix+jobPart(0)).epoch, int64(2))
	again := newSuccessor(t, store)
	assert.Assert(t, again.writeFences(), "an earlier copy of its own write is its fence")
	assert.Assert(t, !again.grant.ended())
	slow := newSuccessor(t, store)
	slow.grant.epoch = 1
	rows, _, err := readTable(t.Context(), store, workload.SourceOwn)
	assert.NilError(t, err)
	slow.readFences(rows)
	assert.Assert(t, slow.grant.ended(), "it read the table after its successor had fenced it")
}

func TestAnIntentThatMeetsALateFenceOfItsOwnLeaderIsTriedAgain(t *testing.T) {
	it := newIntentTest(t, mainPart)
	_ = it.starts(0) + it.starts(2*intentFallbackAfter)
	key := fencePrefix + partOf(intentPrefix+waitingJob)
	_, err := it.store.Write(it.ctx, workload.Write{Put: []workload.Row{{Key: key, Value: encode(it.grant.epoch)}}})
	assert.NilError(t, err)
	it.storeIntents()
	assert.Equal(t, it.starts(0), 0)
	it.storeIntents()
	assert.Equal(t, it.starts(0), 1)
	assert.Assert(t, !it.grant.ended())
}

func TestAPromiseOfIntentsThatNoFenceStopsIsNotTrustedEarly(t *testing.T) {
	for name, c := range map[string]struct {
		row   leaderRow
		ago   time.Duration
		trust bool
	}{
		"intents expect a fence":                             {leaderRow{StoresIntentsFenced: true}, 0, true},
		"intents are in records only":                        {leaderRow{StoresIntents: true}, 0, true},
		"intents expect no fence":                            {leaderRow{StoresIntentsAnywhere: true}, 0, false},
		"intents expect no fence, but their leader is over":  {leaderRow{StoresIntentsAnywhere: true}, time.Minute, true},
		"intents expect no fence, but their leader released": {leaderRow{StoresIntentsAnywhere: true, Released: true}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			c.row.Leader, c.row.Epoch = "self", 4
			l := newTestLease(t, "self", newMemoryStore())
			l.storeLeaderRow(t, c.row, c.ago)
			g := l.tryTake(t.Context())
			assert.Assert(t, g != nil)
			assert.Equal(t, g.trustIntents, c.trust)
			assert.Equal(t, l.replica.seenLeader().StoresIntentsFenced, c.trust, "it promises no more than it knows")
			assert.Assert(t, !l.replica.seenLeader().StoresIntentsAnywhere, "an instance that writes no fences must not trust it")
		})
	}
}
