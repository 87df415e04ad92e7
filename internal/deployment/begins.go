package deployment

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/chart"
	"github.com/corianderbank/corianderbank/internal/dispatch"
)

// This file decides whether the leader stores a start intent before the first start of
// a job (dispatch/begins.go). While the store is fast, the leader stores start intents,
// and the row of the lease promises this to the next leader. While the store is slow,
// each start would wait for it; the row is then first rewritten without the promise, and
// after that starts no longer wait.

const (
	// intentWaitLimit is the time that a start intent may wait for the store before
	// starts stop waiting for such writes.
	intentWaitLimit = 150 * time.Millisecond
	// maxQuickRenewal is the longest that a lease renewal takes on a fast store.
	// quickPeriod is the time for which all renewals must have been that fast before
	// start intents are stored again.
	maxQuickRenewal = 80 * time.Millisecond
	quickPeriod     = 1500 * time.Millisecond
)

var intentChart = chart.MustLoad("begins")

// The states and events of charts/begins.json.
const (
	stIntentStrict     chart.State = "strict"
	stIntentLoosening  chart.State = "loosening"
	stIntentLoose      chart.State = "loose"
	stIntentStoring    chart.State = "storing"
	stIntentTightening chart.State = "tightening"

	evIntentInherited       chart.Event = "inherited"
	evIntentSlow            chart.Event = "slow"
	evIntentQuick           chart.Event = "quick"
	evIntentAllStored       chart.Event = "all_stored"
	evIntentConfirmedLoose  chart.Event = "told_loose"
	evIntentConfirmedStrict chart.Event = "told_strict"
)

// intentPromise tracks what the row of the lease promises about start intents. Renewals
// write the row one after the other; a requested value is certain to be in the row once
// a renewal that was sent after the request has been answered. The zero value promises
// nothing. It is safe for concurrent use.
type intentPromise struct {
	mu sync.Mutex
	// strict is the promise that renewals write: whether every started job has its
	// start intent stored. requestedSeq counts its changes.
	strict       bool
	requestedSeq int
	// confirmedSeq is the last change that is certain to be in the row.
	confirmedSeq int
	// slowAt is the time at which a renewal last failed or was slow, or markSlow was
	// called.
	slowAt time.Time
	// wake triggers an immediate renewal.
	wake chan struct{}
}

// init sets the promise in the first row of this leader.
func (p *intentPromise) init(strict bool) {
	p.strict, p.slowAt, p.wake = strict, bootTime(), make(chan struct{}, 1)
}

// request changes the promise and triggers a renewal that writes it.
func (p *intentPromise) request(strict bool) {
	p.mu.Lock()
	p.strict = strict
	p.requestedSeq++
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default: // a renewal is already due
	}
}

// next returns the value that a renewal writes and the sequence number that confirms
// it.
func (p *intentPromise) next() (strict bool, seq int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.strict, p.requestedSeq
}

// renewed records the result of a renewal; seq is the sequence number that next returned
// for it.
func (p *intentPromise) renewed(stored bool, seq int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if stored {
		p.confirmedSeq = max(p.confirmedSeq, seq)
	}
	if !stored || took > maxQuickRenewal {
		p.slowAt = bootTime()
	}
}

// confirmed returns the requested promise. sure reports whether it is certain to be in
// the row.
func (p *intentPromise) confirmed() (strict, sure bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.strict, p.confirmedSeq == p.requestedSeq
}

// markSlow records that the store was slow until now, regardless of how long renewals
// took.
func (p *intentPromise) markSlow(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slowAt = now
}

// isQuick reports whether the store has not been slow for quickPeriod.
func (p *intentPromise) isQuick(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.slowAt) >= quickPeriod
}

// intentCore is the part of the core that intentMode uses.
type intentCore interface {
	StoreStartIntents(on bool)
	StoreAllStartIntents()
	StartIntentsLate(d time.Duration) bool
	StartIntentsStored() bool
}

// intentMode decides whether a leader stores start intents, following the state chart
// charts/begins.json.
type intentMode struct {
	state   chart.State
	promise *intentPromise
	core    intentCore
	// off is set if the leader neither promises nor stores start intents.
	off    bool
	logger *zap.Logger
}

// newIntentMode returns the mode that matches the row with which this leader took the
// lease.
func newIntentMode(p *intentPromise, core intentCore, tuning Tuning, logger *zap.Logger) *intentMode {
	m := &intentMode{state: intentChart.Initial, promise: p, core: core, off: !tuning.enabled(dispatch.MechStoredStartIntents), logger: logger}
	if strict, _ := p.confirmed(); strict {
		m.apply(evIntentInherited, time.Time{})
	}
	return m
}

// update applies what has changed since the last round.
func (m *intentMode) update(now time.Time) {
	if m.off {
		return
	}
	if m.core.StartIntentsLate(intentWaitLimit) {
		m.apply(evIntentSlow, now)
	}
	if strict, sure := m.promise.confirmed(); sure && strict {
		m.apply(evIntentConfirmedStrict, now)
	} else if sure {
		m.apply(evIntentConfirmedLoose, now)
	}
	if m.state == stIntentLoose && m.promise.isQuick(now) {
		m.apply(evIntentQuick, now)
	}
	if m.state == stIntentStoring && m.core.StartIntentsStored() {
		m.apply(evIntentAllStored, now)
	}
}

func (m *intentMode) apply(event chart.Event, now time.Time) {
	next, err := intentChart.Next(m.state, event)
	if err != nil {
		panic(err) // unreachable: a test checks that every state handles or ignores every event
	}
	if next == m.state {
		return
	}
	m.state = next
	switch next {
	case stIntentStrict:
		m.core.StoreStartIntents(true)
	case stIntentLoosening:
		m.promise.request(false)
	case stIntentLoose:
		m.core.StoreStartIntents(false)
		m.promise.markSlow(now)
	case stIntentStoring:
		m.core.StoreStartIntents(true)
		m.core.StoreAllStartIntents()
	case stIntentTightening:
		m.promise.request(true)
	}
	m.logger.Info("begins", zap.String("state", string(next)))
}
