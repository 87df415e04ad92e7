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
	assert.Equal(t, placeAmong(other, []peerSize{small, large}), 0)
	assert.Equal(t, placeAmong(large, []peerSize{small, other}), 1)
	assert.Equal(t, placeAmong(small, []peerSize{large, other}), 2, "though its address comes first")
	assert.Assert(t, anyLarger(small, []peerSize{large}, yieldFactor))
	assert.Assert(t, !anyLarger(large, []peerSize{small, other}, yieldFactor))
}

func TestAFreeLeaseIsLeftToLargerInstancesFirst(t *testing.T) {
	released := leaderRow{Leader: "other", Epoch: 4, Released: true}
	own := leaderRow{Leader: "self", Epoch: 4}
	one := []peerSize{{"big", 2}}
	for name, c := range map[string]struct {
		row   leaderRow
		ago   time.Duration
		there []peerSize
		free  bool
	}{
		"released, nobody larger is there":             {released, 0, nil, true},
		"released, a larger one has its turn":          {released, 0, one, false},
		"released, and the larger one did not take it": {released, 2 * candidateStep, one, true},
		"its own from before, nobody larger":           {own, 0, nil, true},
		"its own from before, a larger one may":        {own, suspectAfter, one, false},
		"its own from before, nobody took it":          {own, suspectAfter + 2*candidateStep, one, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := candidate(t, "self", newMemoryStore())
			l.cores = 1
			l.rivals = func() []peerSize { return c.there }
			l.known = l.rivals
			l.holds = func(context.Context, string) (bool, error) { return false, errors.New("no answer") }
			l.sees(t, c.row, c.ago)
			assert.Equal(t, l.free(t.Context()), c.free)
		})
	}
}

func TestALeaseThatNobodyEverHadWaitsUntilTheOthersAreKnown(t *testing.T) {
	l := candidate(t, "self", newMemoryStore())
	l.since = bootTime()
	assert.Assert(t, !l.free(t.Context()))
	l.since = bootTime().Add(-firstWait)
	assert.Assert(t, l.free(t.Context()))
}

func TestASmallHolderHandsTheLeaseOnInACalmMoment(t *testing.T) {
	l := candidate(t, "self", newMemoryStore())
	l.cores = 0.2
	larger := []peerSize{{"big", 0.8}}
	l.rivals = func() []peerSize { return larger }
	synced := true
	l.synced = func() bool { return synced }
	long := bootTime().Add(-yieldAfter)
	assert.Assert(t, l.yields(long))
	assert.Assert(t, !l.yields(bootTime()), "it took it only just now")
	synced = false
	assert.Assert(t, !l.yields(long), "a worker is waited for")
	synced, larger = true, []peerSize{{"same", 0.2}}
	assert.Assert(t, !l.yields(long), "nobody larger is there")
}

func TestAHolderThatGivesTheLeaseUpLetsItsOrdersEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := &leader{ctx: ctx, logger: zap.NewNop()}
	c.underWay.Add(1)
	ended := make(chan struct{})
	go func() {
		c.finish()
		close(ended)
	}()
	for !c.closing.Load() {
		pause(ctx, time.Millisecond)
	}
	select {
	case <-ended:
		t.Fatal("an order is under way")
	default:
	}
	c.underWay.Add(-1)
	<-ended
}
