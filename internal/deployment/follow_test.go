package deployment

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

func TestWhoIsFarFromTheLeaseAsksTheStoreSeldom(t *testing.T) {
	for sentence, c := range map[string]struct {
		holds bool
		place int
		want  time.Duration
	}{
		"the leader schedules what it finds": {true, 0, leaderGap},
		"the next one":                       {false, 0, othersGap},
		"the last one in line":               {false, inLine, othersGap},
		"behind those in line":               {false, inLine + 1, restGap},
	} {
		t.Run(sentence, func(t *testing.T) { assert.Equal(t, tableGap(c.holds, c.place), c.want) })
	}
}

func TestWhoIsFarFromTheLeaseSeesARenewalBeforeItSuspectsTheHolder(t *testing.T) {
	turn := time.Duration(inLine+1) * candidateStep
	assert.Assert(t, restGap+renewEvery < suspectAfter+turn)
}

func TestATableThatIsNoLongerFollowedIsDropped(t *testing.T) {
	i := leaf(t)
	store := i.store.direct.(*memoryStore)
	key := jobPrefix + "a"
	job := workload.Row{Key: key, Value: encode(workload.Job{ID: "a", Steps: []workload.Step{{Count: 1}}})}
	_, err := store.Write(t.Context(), workload.Write{Part: partOf(key), Put: []workload.Row{job}})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := &follower{
		store: store, source: workload.SourceOwn, logger: zap.NewNop(), whole: i.replica.reload, changes: i.replica.apply,
		gap: func() time.Duration { return 0 }, wanted: i.follows, idle: i.forgetTable,
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
	pause(ctx, 3*roleEvery)
	assert.Assert(t, known(), "it leads yet")
	i.replica.unpin()
	eventually("dropped", func() bool { return !known() && !i.replica.isLoaded() })
}
