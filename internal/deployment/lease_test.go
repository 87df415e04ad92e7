package deployment

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

func TestALeaseThatRanOutIsValidAgainOnceItIsRenewed(t *testing.T) {
	g := &grant{epoch: 1, until: bootTime().Add(-time.Millisecond)}
	assert.Assert(t, !g.valid())
	assert.Assert(t, !g.ended(), "the loop waits: nobody else may have it")
	g.renewed(7, bootTime().Add(time.Hour))
	assert.Assert(t, g.valid())
}

func TestALeaseThatWasGivenUpStaysOver(t *testing.T) {
	g := &grant{epoch: 1, until: bootTime().Add(time.Hour)}
	g.end()
	g.renewed(7, bootTime().Add(time.Hour))
	assert.Assert(t, !g.valid())
	assert.Assert(t, g.ended())
}

// candidate is a lease duty over a store that holds the row of another leader.
func candidate(t *testing.T, self string, store *memoryStore) *lease {
	t.Helper()
	return &lease{
		self: self, store: store, replica: newReplica(zap.NewNop()), logger: zap.NewNop(),
		eligible: func() bool { return true }, steady: func(time.Duration) bool { return true },
		holds:  func(context.Context, string) (bool, error) { return true, nil },
		rivals: func() []peerSize { return nil }, known: func() []peerSize { return nil },
		synced: func() bool { return true }, finish: func() {},
	}
}

// sees writes the row of a leader, and lets the candidate have seen it a while ago.
func (l *lease) sees(t *testing.T, row leaderRow, ago time.Duration) {
	t.Helper()
	store := l.store.(*memoryStore)
	_, err := store.Write(t.Context(), workload.Write{Put: []workload.Row{
		{Key: leaderKey, Value: encode(row)}, {Key: epochKey, Value: encode(row.Epoch)},
	}})
	assert.NilError(t, err)
	page, err := store.Read(t.Context(), workload.SourceOwn, mainPart, "", "")
	assert.NilError(t, err)
	l.replica.apply(page.Rows)
	l.replica.leader.since = bootTime().Add(-ago)
}

func TestWhenTheLeaseMayBeTaken(t *testing.T) {
	held := leaderRow{Leader: "other", Epoch: 4}
	silent := func(context.Context, string) (bool, error) { return false, errors.New("no answer") }
	steppedDown := func(context.Context, string) (bool, error) { return false, nil }
	holds := func(context.Context, string) (bool, error) { return true, nil }
	for name, c := range map[string]struct {
		row    leaderRow
		ago    time.Duration
		holds  func(context.Context, string) (bool, error)
		steady bool
		free   bool
	}{
		"renewed just now, whatever the leader says": {held, 0, silent, true, false},
		"released":                                    {leaderRow{Leader: "other", Epoch: 4, Released: true}, 0, holds, true, true},
		"of an earlier process at this address":       {leaderRow{Leader: "self", Epoch: 4}, 0, holds, true, true},
		"two renewals missed and no answer":           {held, suspectAfter + time.Second/2, silent, true, true},
		"two renewals missed and stepped down":        {held, suspectAfter + time.Second/2, steppedDown, true, true},
		"two renewals missed but the leader is there": {held, suspectAfter + time.Second/2, holds, true, false},
		"over, the leader had its chance":             {held, time.Minute, holds, true, true},
		"over, and the store is only just back":       {held, time.Minute, holds, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := candidate(t, "self", newMemoryStore())
			l.sees(t, c.row, c.ago)
			l.holds = c.holds
			l.steady = func(time.Duration) bool { return c.steady }
			assert.Equal(t, l.free(t.Context()), c.free)
			if c.free {
				g := l.take(t.Context())
				assert.Assert(t, g != nil)
				assert.Equal(t, g.epoch, int64(5))
				assert.Assert(t, g.valid())
			}
		})
	}
}

func TestOnlyTheRowThatWasJudgedIsReplaced(t *testing.T) {
	store := newMemoryStore()
	l := candidate(t, "self", store)
	l.sees(t, leaderRow{Leader: "dead", Epoch: 4}, time.Minute)
	l.holds = func(context.Context, string) (bool, error) {
		// While the dead leader is asked, another candidate takes the lease.
		l.sees(t, leaderRow{Leader: "quicker", Epoch: 5}, 0)
		return false, errors.New("no answer")
	}
	assert.Assert(t, l.take(t.Context()) == nil, "took the lease of a leader that was not judged")
}

func TestATakeWhoseAnswerWasLostIsRecognisedAsOnesOwn(t *testing.T) {
	l := candidate(t, "self", newMemoryStore())
	own := []workload.Row{
		{Key: leaderKey, Value: encode(leaderRow{Leader: "self", Epoch: 5}), Version: 9},
		{Key: epochKey, Value: encode(5), Version: 9},
	}
	g := &grant{epoch: 5}
	assert.Assert(t, l.mine(own, g))
	assert.Equal(t, g.epochVersion, int64(9))
	assert.Assert(t, !l.mine(own, &grant{epoch: 6}), "an older one of its own")
}

func TestAHolderThatAnswersNoPingsIsSuspectedSooner(t *testing.T) {
	held := leaderRow{Leader: "other", Epoch: 4}
	l := candidate(t, "self", newMemoryStore())
	l.holds = func(context.Context, string) (bool, error) { return false, errors.New("no answer") }
	l.sees(t, held, suspectSilent+50*time.Millisecond)
	seen := l.replica.seenLeader()
	assert.Assert(t, !l.free(t.Context()), "one renewal may be late")
	l.notePing(seen, false)
	assert.Assert(t, !l.free(t.Context()), "one ping may be lost")
	l.notePing(seen, false)
	assert.Assert(t, l.free(t.Context()))
	l.notePing(seen, true)
	assert.Assert(t, !l.free(t.Context()), "it answers again")
	l.notePing(seen, false)
	l.notePing(seenLeader{leaderRow: leaderRow{Leader: "third"}}, false)
	assert.Assert(t, !l.free(t.Context()), "another leader's silence says nothing of this one")
}
