package deployment

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// newOverlapLeader returns a leader of epoch 2 whose predecessor's time is over, but was not when the
// table was read.
func newOverlapLeader(t *testing.T) *leader {
	store := newMemoryStore()
	takeEpoch(store, 2)
	c := newKnowledgeLeader(t, store, 2)
	now := bootTime()
	c.grant.hasPredecessor, c.grant.predecessorUntil = true, now.Add(-time.Minute)
	c.core = dispatch.New(workload.Bounds{}, 2, now.Add(-time.Hour), c.grant.predecessorUntil)
	c.core.StoreStartIntents(true)
	c.instance.leader.Store(c)
	c.takesJobs.Store(true)
	return c
}

func TestAJobIsNewOnlyOnceTheFeedHasAllThatThePredecessorMayHaveStarted(t *testing.T) {
	c := newOverlapLeader(t)
	before, after := c.grant.predecessorUntil, c.grant.predecessorUntil.Add(2*leaseMargin)
	c.grant.noteAnswer(before, 90)
	c.instance.tableAdvanced(95)
	c.grant.noteAnswer(after, 100)
	c.grant.noteAnswer(after.Add(time.Second), 200)
	c.instance.replica.apply([]workload.Row{jobRow("aaaaaaaaaaaaaaaa", 99)})
	<-c.events // its note is still on its way when the feed is complete
	c.instance.tableAdvanced(99)
	assert.Equal(t, len(c.events), 0, "the table may lack jobs of the predecessor")
	c.instance.tableAdvanced(100)
	c.instance.tableAdvanced(101)
	assert.Equal(t, len(c.events), 1)
	c.apply(<-c.events)
	c.instance.replica.apply([]workload.Row{jobRow("bbbbbbbbbbbbbbbb", 102)})
	c.apply(<-c.events)
	assert.Assert(t, c.core.Knows("bbbbbbbbbbbbbbbb"))
	records := c.core.UnstoredRecords(10)
	assert.Equal(t, len(records), 1)
	assert.Equal(t, records[0].Job, "aaaaaaaaaaaaaaaa", "the predecessor may have started it")
	assert.Assert(t, records[0].StartIntent)
}

func TestARenewalSentBeforeThePredecessorsTimeIsOverProvesNothing(t *testing.T) {
	for name, c := range map[string]struct {
		overFor time.Duration
		covers  bool
	}{
		"the predecessor may give orders": {-time.Minute, false},
		"its time is over":                {2 * leaseMargin, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLease(t, "self", newMemoryStore())
			l.storeLeaderRow(t, leaderRow{Leader: "other", Epoch: 4}, time.Hour)
			g := l.tryTake(t.Context())
			assert.Assert(t, g != nil)
			g.predecessorUntil = bootTime().Add(-c.overFor)
			assert.Assert(t, l.renewOnce(t.Context(), g, 1))
			assert.Equal(t, g.coversPredecessor(g.version), c.covers)
			assert.Assert(t, !g.coversPredecessor(g.version-1))
		})
	}
}

func TestAJobThatIsLearnedLateHasItsWholeRecord(t *testing.T) {
	head, err := dispatch.DecodeRecord([]byte(`{"parts":1}`))
	assert.NilError(t, err)
	assert.Equal(t, head.Parts, 1)
	for name, c := range map[string]struct {
		rows    []workload.Row
		known   bool
		intents bool
	}{
		"its start intent is stored apart":   {[]workload.Row{{Key: intentPrefix + waitingJob, Version: 3, Value: encode(1)}}, true, true},
		"a part of its record is missing":    {[]workload.Row{{Key: recordPrefix + waitingJob, Version: 3, Value: head.Encode()}}, false, false},
		"it has neither a record nor intent": {nil, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := newOverlapLeader(t)
			core, logs := observer.New(zap.InfoLevel)
			l.logger = zap.New(core)
			l.core.TrustStartIntents()
			l.instance.replica.apply(append(c.rows, jobRow(waitingJob, 2)))
			for range len(l.events) {
				l.apply(<-l.events)
			}
			assert.Equal(t, l.core.Knows(waitingJob), c.known)
			assert.Equal(t, logs.FilterMessage("job may have been started by an earlier epoch").Len() == 1, c.intents)
		})
	}
}

func TestALeaderThatSeesItsSuccessorGivesUp(t *testing.T) {
	c := newOverlapLeader(t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*maxRoundInterval)
	defer cancel()
	c.ctx, c.grant.expiresAt = ctx, bootTime().Add(time.Hour)
	c.quiescing.Store(true) // it decides nothing
	record := dispatch.Record{StartIntent: true}
	c.instance.replica.apply([]workload.Row{
		jobRow(waitingJob, 10),
		{Key: leaderKey, Version: 11, Value: encode(leaderRow{Leader: "next", Epoch: c.grant.epoch + 1})},
		{Key: recordPrefix + waitingJob, Version: 12, Value: record.Encode()},
	})
	c.run()
	assert.Assert(t, c.grant.ended(), "it would take its successor's start intents for its own")
}
