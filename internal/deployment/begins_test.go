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

// fakeBegins is a core as the mode sees it.
type fakeBegins struct {
	storing, late, stored bool
	all                   int
}

func (f *fakeBegins) StoreBegins(on bool)           { f.storing = on }
func (f *fakeBegins) StoreAllBegins()               { f.all++ }
func (f *fakeBegins) BeginsLate(time.Duration) bool { return f.late }
func (f *fakeBegins) BeginsStored() bool            { return f.stored }

func inMode(strict bool) (*beginsMode, *fakeBegins, *promise) {
	p, core := &promise{}, &fakeBegins{}
	p.begin(strict)
	return newBeginsMode(p, core, Tuning{}, zap.NewNop()), core, p
}

// renewal is one that the store has answered at once.
func renewal(p *promise) {
	_, number := p.next()
	p.renewed(true, number, time.Millisecond)
}

func TestStartsStopToWaitForASlowStoreOnceTheRowNoLongerPromises(t *testing.T) {
	m, core, p := inMode(true)
	assert.Equal(t, m.state, stBeginsStrict)
	assert.Assert(t, core.storing)
	_, before := p.next() // a renewal under way
	core.late = true
	m.update(bootTime())
	p.renewed(true, before, time.Millisecond)
	m.update(bootTime())
	assert.Equal(t, m.state, stBeginsLoosening, "the renewal that was answered still wrote the promise")
	assert.Assert(t, core.storing)
	strict, number := p.next()
	assert.Assert(t, !strict)
	p.renewed(false, number, time.Second)
	m.update(bootTime())
	assert.Assert(t, core.storing, "a renewal without an answer proves nothing")
	renewal(p)
	m.update(bootTime())
	assert.Equal(t, m.state, stBeginsLoose)
	assert.Assert(t, !core.storing)
}

func TestThePromiseComesBackOnceEveryBeginIsStored(t *testing.T) {
	m, core, p := inMode(false)
	now := bootTime()
	assert.Assert(t, !core.storing)
	m.update(now)
	assert.Equal(t, m.state, stBeginsLoose, "the store has to be quick for a while")
	now = now.Add(2 * quickFor)
	m.update(now)
	assert.Equal(t, m.state, stBeginsStoring)
	assert.Assert(t, core.storing)
	assert.Equal(t, core.all, 1)
	strict, _ := p.next()
	assert.Assert(t, !strict, "a begin is not stored yet")
	core.stored = true
	m.update(now)
	assert.Equal(t, m.state, stBeginsTightening)
	m.update(now)
	assert.Equal(t, m.state, stBeginsTightening, "no renewal has been answered")
	renewal(p)
	m.update(now)
	assert.Equal(t, m.state, stBeginsStrict)
}

// Given up on the way, the row may already promise, or come to.
func TestALeaderThatGivesUpTighteningHasTheRowWrittenAnewBeforeItStartsFreely(t *testing.T) {
	m, core, p := inMode(false)
	now := bootTime().Add(2 * quickFor)
	core.stored = true
	m.update(now)
	assert.Equal(t, m.state, stBeginsTightening)
	core.late = true
	m.update(now)
	assert.Equal(t, m.state, stBeginsLoosening)
	assert.Assert(t, core.storing)
	renewal(p)
	m.update(now)
	assert.Equal(t, m.state, stBeginsLoose)
}

func TestASlowRenewalDelaysTheReturn(t *testing.T) {
	p := &promise{}
	p.begin(false)
	p.renewed(true, 0, 2*quickRenewal)
	assert.Assert(t, !p.quick(bootTime()))
	assert.Assert(t, p.quick(bootTime().Add(quickFor)))
}

func TestALeaderWithoutStoredBeginsPromisesNothing(t *testing.T) {
	core, p := &fakeBegins{stored: true}, &promise{}
	p.begin(false)
	m := newBeginsMode(p, core, Tuning{Without: []dispatch.Mechanism{dispatch.MechStoredBegins}}, zap.NewNop())
	m.update(bootTime().Add(time.Hour))
	assert.Equal(t, m.state, stBeginsLoose)
	assert.Assert(t, !core.storing)
}

// What the row of the leader before says decides what the next one may trust and promise.
func TestALeaderPromisesOnlyWhatTheOneBeforePromised(t *testing.T) {
	for name, c := range map[string]struct {
		row           leaderRow
		without       []dispatch.Mechanism
		trust, strict bool
	}{
		"the one before promised":          {leaderRow{Leader: "self", Epoch: 4, Begins: true}, nil, true, true},
		"the one before did not":           {leaderRow{Leader: "self", Epoch: 4}, nil, false, false},
		"it did, and this one stores none": {leaderRow{Leader: "self", Epoch: 4, Begins: true}, []dispatch.Mechanism{dispatch.MechStoredBegins}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := candidate(t, "self", newMemoryStore())
			l.tuning.Without = c.without
			l.sees(t, c.row, 0)
			g := l.take(t.Context())
			assert.Assert(t, g != nil)
			assert.Equal(t, g.trust, c.trust)
			assert.Equal(t, l.replica.seenLeader().Begins, c.strict)
			g.promise.ask(true)
			assert.Assert(t, l.renewOnce(t.Context(), g, 1))
			assert.Assert(t, l.replica.seenLeader().Begins)
			_, sure := g.promise.told()
			assert.Assert(t, sure)
			l.release(g)
			page, err := l.store.Read(t.Context(), workload.SourceOwn, mainPart, leaderKey, leaderKey+"\x00")
			assert.NilError(t, err)
			l.replica.apply(page.Rows)
			released := l.replica.seenLeader()
			assert.Assert(t, released.Released && released.Begins)
		})
	}
}

func TestTheFirstLeaderOfAllPromises(t *testing.T) {
	l := candidate(t, "self", newMemoryStore())
	l.since = bootTime().Add(-time.Hour)
	g := l.take(t.Context())
	assert.Assert(t, g != nil)
	assert.Assert(t, !g.trust)
	assert.Assert(t, l.replica.seenLeader().Begins)
}

func TestEveryStateOfBeginsTakesEveryEvent(t *testing.T) {
	for state := range beginsChart.States {
		for _, event := range beginsChart.Events {
			_, err := beginsChart.Next(state, event)
			assert.NilError(t, err)
		}
	}
	assert.Equal(t, beginsChart.Initial, chart.State("loose"))
}
