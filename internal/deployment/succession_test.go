package deployment

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

func TestLargerInstancesComeFirst(t *testing.T) {
	small, large, other := peerSize{"10.0.0.1:1", 0.2}, peerSize{"10.0.0.9:1", 0.8}, peerSize{"10.0.0.5:1", 0.8}
	assert.Equal(t, rankAmong(other, []peerSize{small, large}), 0)
	assert.Equal(t, rankAmong(large, []peerSize{small, other}), 1)
	assert.Equal(t, rankAmong(small, []peerSize{large, other}), 2, "although its address comes first")
	assert.Assert(t, anyLarger(small, []peerSize{large}, yieldFactor))
	assert.Assert(t, !anyLarger(large, []peerSize{small, other}, yieldFactor))
}

func TestAFreeLeaseIsLeftToLargerInstancesFirst(t *testing.T) {
	released := leaderRow{Leader: "other", Epoch: 4, Released: true}
	own := leaderRow{Leader: "self", Epoch: 4}
	one := []peerSize{{"big", 2}}
	for name, c := range map[string]struct {
		row     leaderRow
		ago     time.Duration
		others  []peerSize
		canTake bool
	}{
		"released, no larger instance":                                         {released, 0, nil, true},
		"released, a larger instance goes first":                               {released, 0, one, false},
		"released, and the larger instance did not take it":                    {released, 2 * candidateDelay, one, true},
		"its own from an earlier process, no larger instance":                  {own, 0, nil, true},
		"its own from an earlier process, a larger instance goes first":        {own, suspectAfter, one, false},
		"its own from an earlier process, the larger instance did not take it": {own, suspectAfter + 2*candidateDelay, one, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLease(t, "self", newMemoryStore())
			l.cores = 1
			l.otherCandidates = func() []peerSize { return c.others }
			l.otherInstances = l.otherCandidates
			l.holdsLease = func(context.Context, string) (bool, error) { return false, errors.New("no answer") }
			l.storeLeaderRow(t, c.row, c.ago)
			assert.Equal(t, l.canTake(t.Context()), c.canTake)
		})
	}
}

func TestANeverHeldLeaseIsTakenOnlyAfterTheInitialWait(t *testing.T) {
	l := newTestLease(t, "self", newMemoryStore())
	l.startedAt = bootTime()
	assert.Assert(t, !l.canTake(t.Context()))
	l.startedAt = bootTime().Add(-initialLeaseWait)
	assert.Assert(t, l.canTake(t.Context()))
}

func TestASmallHolderHandsTheLeaseOnInACalmMoment(t *testing.T) {
	l := newTestLease(t, "self", newMemoryStore())
	l.cores = 0.2
	larger := []peerSize{{"big", 0.8}}
	l.otherCandidates = func() []peerSize { return larger }
	synced := true
	l.synced = func() bool { return synced }
	longAgo := bootTime().Add(-yieldAfter)
	assert.Assert(t, l.shouldYield(longAgo))
	assert.Assert(t, !l.shouldYield(bootTime()), "it took the lease only just now")
	synced = false
	assert.Assert(t, !l.shouldYield(longAgo), "a worker has not answered yet")
	synced, larger = true, []peerSize{{"same", 0.2}}
	assert.Assert(t, !l.shouldYield(longAgo), "no larger instance is available")
}

func TestAHolderThatGivesTheLeaseUpLetsItsOrdersEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := &leader{ctx: ctx, logger: zap.NewNop()}
	c.inFlight.Add(1)
	ended := make(chan struct{})
	go func() {
		c.quiesce()
		close(ended)
	}()
	for !c.quiescing.Load() {
		pause(ctx, time.Millisecond)
	}
	select {
	case <-ended:
		t.Fatal("an order is in flight")
	default:
	}
	c.inFlight.Add(-1)
	<-ended
}
