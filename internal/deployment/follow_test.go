package deployment

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

func TestLowerRankedInstancesPollTheStoreLessOften(t *testing.T) {
	for name, c := range map[string]struct {
		holdsLease bool
		rank       int
		want       time.Duration
	}{
		"the leader":                     {true, 0, leaderGap},
		"the next in line":               {false, 0, nextInLineGap},
		"the last of those next in line": {false, maxNextInLineRank, nextInLineGap},
		"after those next in line":       {false, maxNextInLineRank + 1, restGap},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, tableGap(c.holdsLease, c.rank), c.want) })
	}
}

func TestLowerRankedInstancesSeeARenewalBeforeSuspectingTheLeader(t *testing.T) {
	turn := time.Duration(maxNextInLineRank+1) * candidateDelay
	assert.Assert(t, restGap+renewInterval < suspectAfter+turn)
}

func TestATableThatIsNoLongerFollowedIsDropped(t *testing.T) {
	i := newTestLeaf(t)
	store := i.store.direct.(*memoryStore)
	key := jobPrefix + "a"
	job := workload.Row{Key: key, Value: encode(workload.Job{ID: "a", Steps: []workload.Step{{Count: 1}}})}
	_, err := store.Write(t.Context(), workload.Write{Part: partOf(key), Put: []workload.Row{job}})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := &follower{
		store: store, source: workload.SourceOwn, logger: zap.NewNop(), reload: i.replica.reload, apply: i.replica.apply,
		gap: func() time.Duration { return 0 }, wanted: i.followsTable, whileUnwanted: i.dropTable,
	}
	go f.run(ctx)
	eventually := func(what string, holds func() bool) {
		t.Helper()
		for until := time.Now().Add(20 * time.Second); !holds(); pause(ctx, 10*time.Millisecond) {
			assert.Assert(t, time.Now().Before(until), what)
		}
	}
	known := func() bool { _, known := i.replica.get("a"); return known }
	i.setRole(true)
	eventually("followed", func() bool { return known() && i.replica.isLoaded() })
	i.replica.pin()
	i.setRole(false)
	pause(ctx, 3*roleCheckInterval)
	assert.Assert(t, known(), "it still leads")
	i.replica.unpin()
	eventually("dropped", func() bool { return !known() && !i.replica.isLoaded() })
}
