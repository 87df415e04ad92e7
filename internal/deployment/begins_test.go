package deployment

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/chart"
	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// fakeIntentCore implements intentCore.
type fakeIntentCore struct {
	storing, late, stored bool
	all                   int
}

func (f *fakeIntentCore) StoreStartIntents(on bool)           { f.storing = on }
func (f *fakeIntentCore) StoreAllStartIntents()               { f.all++ }
func (f *fakeIntentCore) StartIntentsLate(time.Duration) bool { return f.late }
func (f *fakeIntentCore) StartIntentsStored() bool            { return f.stored }

func newTestIntentMode(strict bool) (*intentMode, *fakeIntentCore, *intentPromise) {
	p, core := &intentPromise{}, &fakeIntentCore{}
	p.init(strict)
	return newIntentMode(p, core, Tuning{}, zap.NewNop()), core, p
}

// renewQuickly reports a renewal that the store answered at once.
func renewQuickly(p *intentPromise) {
	_, seq := p.next()
	p.renewed(true, seq, time.Millisecond)
}

func TestStartsStopToWaitForASlowStoreOnceTheRowNoLongerPromises(t *testing.T) {
	m, core, p := newTestIntentMode(true)
	assert.Equal(t, m.state, stIntentStrict)
	assert.Assert(t, core.storing)
	_, before := p.next() // a renewal in flight
	core.late = true
	m.update(bootTime())
	p.renewed(true, before, time.Millisecond)
	m.update(bootTime())
	assert.Equal(t, m.state, stIntentLoosening, "the renewal that was in flight still wrote the promise")
	assert.Assert(t, core.storing)
	strict, seq := p.next()
	assert.Assert(t, !strict)
	p.renewed(false, seq, time.Second)
	m.update(bootTime())
	assert.Assert(t, core.storing, "a renewal without an answer proves nothing")
	renewQuickly(p)
	m.update(bootTime())
	assert.Equal(t, m.state, stIntentLoose)
	assert.Assert(t, !core.storing)
}

func TestThePromiseIsRestoredOnceEveryStartIntentIsStored(t *testing.T) {
	m, core, p := newTestIntentMode(false)
	now := bootTime()
	assert.Assert(t, !core.storing)
	m.update(now)
	assert.Equal(t, m.state, stIntentLoose, "the store has to be fast for quickPeriod")
	now = now.Add(2 * quickPeriod)
	m.update(now)
	assert.Equal(t, m.state, stIntentStoring)
	assert.Assert(t, core.storing)
	assert.Equal(t, core.all, 1)
	strict, _ := p.next()
	assert.Assert(t, !strict, "a start intent is not stored yet")
	core.stored = true
	m.update(now)
	assert.Equal(t, m.state, stIntentTightening)
	m.update(now)
	assert.Equal(t, m.state, stIntentTightening, "no renewal has been answered")
	renewQuickly(p)
	m.update(now)
	assert.Equal(t, m.state, stIntentStrict)
}

// When tightening is abandoned, the row may already promise start intents, or be about
// to.
func TestALeaderThatGivesUpTighteningHasTheRowWrittenAnewBeforeItStartsFreely(t *testing.T) {
	m, core, p := newTestIntentMode(false)
	now := bootTime().Add(2 * quickPeriod)
	core.stored = true
	m.update(now)
	assert.Equal(t, m.state, stIntentTightening)
	core.late = true
	m.update(now)
	assert.Equal(t, m.state, stIntentLoosening)
	assert.Assert(t, core.storing)
	renewQuickly(p)
	m.update(now)
	assert.Equal(t, m.state, stIntentLoose)
}

func TestASlowRenewalDelaysRestoringThePromise(t *testing.T) {
	p := &intentPromise{}
	p.init(false)
	p.renewed(true, 0, 2*maxQuickRenewal)
	assert.Assert(t, !p.isQuick(bootTime()))
	assert.Assert(t, p.isQuick(bootTime().Add(quickPeriod)))
}

func TestALeaderWithoutStoredIntentsPromisesNothing(t *testing.T) {
	core, p := &fakeIntentCore{stored: true}, &intentPromise{}
	p.init(false)
	m := newIntentMode(p, core, Tuning{Without: []dispatch.Mechanism{dispatch.MechStoredStartIntents}}, zap.NewNop())
	m.update(bootTime().Add(time.Hour))
	assert.Equal(t, m.state, stIntentLoose)
	assert.Assert(t, !core.storing)
}

// The row of the previous leader determines what the next one may trust and promise.
func TestALeaderPromisesOnlyWhatTheOneBeforePromised(t *testing.T) {
	for name, c := range map[string]struct {
		row                  leaderRow
		without              []dispatch.Mechanism
		trustIntents, strict bool
	}{
		"the previous leader promised":           {leaderRow{Leader: "self", Epoch: 4, StoresIntents: true}, nil, true, true},
		"the previous leader did not":            {leaderRow{Leader: "self", Epoch: 4}, nil, false, false},
		"it did, but this one stores no intents": {leaderRow{Leader: "self", Epoch: 4, StoresIntents: true}, []dispatch.Mechanism{dispatch.MechStoredStartIntents}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLease(t, "self", newMemoryStore())
			l.tuning.Without = c.without
			l.storeLeaderRow(t, c.row, 0)
			g := l.tryTake(t.Context())
			assert.Assert(t, g != nil)
			assert.Equal(t, g.trustIntents, c.trustIntents)
			assert.Equal(t, l.replica.seenLeader().promisesIntents(), c.strict)
			g.promise.request(true)
			assert.Assert(t, l.renewOnce(t.Context(), g, 1))
			assert.Assert(t, l.replica.seenLeader().promisesIntents())
			_, sure := g.promise.confirmed()
			assert.Assert(t, sure)
			l.release(g)
			page, err := l.store.Read(t.Context(), workload.SourceOwn, mainPart, leaderKey, leaderKey+"\x00")
			assert.NilError(t, err)
			l.replica.apply(page.Rows)
			released := l.replica.seenLeader()
			assert.Assert(t, released.Released && released.promisesIntents())
		})
	}
}

func TestTheFirstLeaderPromisesStartIntents(t *testing.T) {
	l := newTestLease(t, "self", newMemoryStore())
	l.startedAt = bootTime().Add(-time.Hour)
	g := l.tryTake(t.Context())
	assert.Assert(t, g != nil)
	assert.Assert(t, !g.trustIntents)
	assert.Assert(t, l.replica.seenLeader().promisesIntents())
}

func TestEveryStartIntentStateHandlesEveryEvent(t *testing.T) {
	for state := range intentChart.States {
		for _, event := range intentChart.Events {
			_, err := intentChart.Next(state, event)
			assert.NilError(t, err)
		}
	}
	assert.Equal(t, intentChart.Initial, chart.State("loose"))
}
