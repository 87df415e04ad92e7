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
	g := &grant{epoch: 1, expiresAt: bootTime().Add(-time.Millisecond)}
	assert.Assert(t, !g.valid())
	assert.Assert(t, !g.ended(), "the loop waits, since no other instance may hold it")
	g.renewed(7, bootTime().Add(time.Hour))
	assert.Assert(t, g.valid())
}

func TestALeaseThatWasGivenUpStaysOver(t *testing.T) {
	g := &grant{epoch: 1, expiresAt: bootTime().Add(time.Hour)}
	g.end()
	g.renewed(7, bootTime().Add(time.Hour))
	assert.Assert(t, !g.valid())
	assert.Assert(t, g.ended())
}

// newTestLease returns a lease that is eligible, with a leader that always answers.
func newTestLease(t *testing.T, self string, store *memoryStore) *lease {
	t.Helper()
	return &lease{
		self: self, store: store, replica: newReplica(zap.NewNop()), logger: zap.NewNop(),
		eligible: func() bool { return true }, storeStable: func(time.Duration) bool { return true },
		holdsLease:      func(context.Context, string) (bool, error) { return true, nil },
		otherCandidates: func() []peerSize { return nil }, otherInstances: func() []peerSize { return nil },
		synced: func() bool { return true }, quiesce: func() {},
	}
}

// storeLeaderRow writes a leader row that the candidate first saw some time ago.
func (l *lease) storeLeaderRow(t *testing.T, row leaderRow, ago time.Duration) {
	t.Helper()
	store := l.store.(*memoryStore)
	_, err := store.Write(t.Context(), workload.Write{Put: []workload.Row{
		{Key: leaderKey, Value: encode(row)}, {Key: epochKey, Value: encode(row.Epoch)},
	}})
	assert.NilError(t, err)
	page, err := store.Read(t.Context(), workload.SourceOwn, mainPart, "", "")
	assert.NilError(t, err)
	l.replica.apply(page.Rows)
	l.replica.leader.firstSeen = bootTime().Add(-ago)
}

func TestWhenTheLeaseMayBeTaken(t *testing.T) {
	held := leaderRow{Leader: "other", Epoch: 4}
	noAnswer := func(context.Context, string) (bool, error) { return false, errors.New("no answer") }
	steppedDown := func(context.Context, string) (bool, error) { return false, nil }
	holdsLease := func(context.Context, string) (bool, error) { return true, nil }
	for name, c := range map[string]struct {
		row         leaderRow
		ago         time.Duration
		holdsLease  func(context.Context, string) (bool, error)
		storeStable bool
		canTake     bool
	}{
		"renewed just now, whatever the leader answers": {held, 0, noAnswer, true, false},
		"released": {leaderRow{Leader: "other", Epoch: 4, Released: true}, 0, holdsLease, true, true},
		"held by an earlier process at this address":  {leaderRow{Leader: "self", Epoch: 4}, 0, holdsLease, true, true},
		"two renewals missed and no answer":           {held, suspectAfter + time.Second/2, noAnswer, true, true},
		"two renewals missed and stepped down":        {held, suspectAfter + time.Second/2, steppedDown, true, true},
		"two renewals missed but the leader holds it": {held, suspectAfter + time.Second/2, holdsLease, true, false},
		"expired, the leader had its head start":      {held, time.Minute, holdsLease, true, true},
		"expired, the store has only just recovered":  {held, time.Minute, holdsLease, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLease(t, "self", newMemoryStore())
			l.storeLeaderRow(t, c.row, c.ago)
			l.holdsLease = c.holdsLease
			l.storeStable = func(time.Duration) bool { return c.storeStable }
			assert.Equal(t, l.canTake(t.Context()), c.canTake)
			if c.canTake {
				g := l.tryTake(t.Context())
				assert.Assert(t, g != nil)
				assert.Equal(t, g.epoch, int64(5))
				assert.Assert(t, g.valid())
			}
		})
	}
}

func TestOnlyTheRowThatWasJudgedIsReplaced(t *testing.T) {
	store := newMemoryStore()
	l := newTestLease(t, "self", store)
	l.storeLeaderRow(t, leaderRow{Leader: "dead", Epoch: 4}, time.Minute)
	l.holdsLease = func(context.Context, string) (bool, error) {
		// While the dead leader is asked, another candidate takes the lease.
		l.storeLeaderRow(t, leaderRow{Leader: "quicker", Epoch: 5}, 0)
		return false, errors.New("no answer")
	}
	assert.Assert(t, l.tryTake(t.Context()) == nil, "took the lease of a leader that was not checked")
}

func TestATakeWhoseAnswerWasLostIsRecognisedAsOnesOwn(t *testing.T) {
	l := newTestLease(t, "self", newMemoryStore())
	own := []workload.Row{
		{Key: leaderKey, Value: encode(leaderRow{Leader: "self", Epoch: 5}), Version: 9},
		{Key: epochKey, Value: encode(5), Version: 9},
	}
	g := &grant{epoch: 5}
	assert.Assert(t, l.isOwnWrite(own, g))
	assert.Equal(t, g.epochVersion, int64(9))
	assert.Assert(t, !l.isOwnWrite(own, &grant{epoch: 6}), "its own, but of another epoch")
}

func TestAHolderThatAnswersNoPingsIsSuspectedSooner(t *testing.T) {
	held := leaderRow{Leader: "other", Epoch: 4}
	l := newTestLease(t, "self", newMemoryStore())
	l.holdsLease = func(context.Context, string) (bool, error) { return false, errors.New("no answer") }
	l.storeLeaderRow(t, held, suspectAfterMissedPings+50*time.Millisecond)
	seen := l.replica.seenLeader()
	assert.Assert(t, !l.canTake(t.Context()), "one renewal may be late")
	l.recordPing(seen, false)
	assert.Assert(t, !l.canTake(t.Context()), "one ping may be lost")
	l.recordPing(seen, false)
	assert.Assert(t, l.canTake(t.Context()))
	l.recordPing(seen, true)
	assert.Assert(t, !l.canTake(t.Context()), "it answers again")
	l.recordPing(seen, false)
	l.recordPing(seenLeader{leaderRow: leaderRow{Leader: "third"}}, false)
	assert.Assert(t, !l.canTake(t.Context()), "missed pings of another leader do not count")
}

func TestALeaderDoesNotReleaseTheLeaseWhileTheOneBeforeItMayGiveOrders(t *testing.T) {
	for name, c := range map[string]struct {
		predecessorUntil time.Time
		releases         bool
	}{
		"it followed no other leader":                 {time.Time{}, true},
		"the lease of the one before has expired":     {bootTime().Add(-time.Millisecond), true},
		"the one before may take its lease for valid": {bootTime().Add(time.Minute), false},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLease(t, "self", newMemoryStore())
			l.storeLeaderRow(t, leaderRow{Leader: "self", Epoch: 5}, 0)
			l.lead = func(ctx context.Context, _ *grant) { <-ctx.Done() }
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			seen := l.replica.seenLeader()
			l.hold(ctx, &grant{epoch: 5, version: seen.version, expiresAt: bootTime().Add(time.Hour), predecessorUntil: c.predecessorUntil})
			page, err := l.store.Read(t.Context(), workload.SourceOwn, mainPart, "", "")
			assert.NilError(t, err)
			l.replica.apply(page.Rows)
			assert.Equal(t, l.replica.seenLeader().Released, c.releases)
		})
	}
}
