package deployment

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/internal/chart"
	"github.com/corianderbank/corianderbank/internal/dispatch"
)

// This file decides whether this leader stores that a job begins before the job's first
// start (dispatch/begins.go). It does while the store is quick, and the lease's row
// promises it to the next leader. While the store is slow each start would wait for it;
// then the row is written without the promise first, and starts no longer wait.

const (
	// beginsPatience is how long the store may owe a begin before starts stop to wait
	// for such writes.
	beginsPatience = 150 * time.Millisecond
	// quickRenewal is the longest that a renewal of the lease takes on a quick store,
	// quickFor how long all of them must have been quick before begins are stored again.
	quickRenewal = 80 * time.Millisecond
	quickFor     = 1500 * time.Millisecond
)

var beginsChart = chart.MustLoad("begins")

// The states and events of charts/begins.json.
const (
	stBeginsStrict     chart.State = "strict"
	stBeginsLoosening  chart.State = "loosening"
	stBeginsLoose      chart.State = "loose"
	stBeginsStoring    chart.State = "storing"
	stBeginsTightening chart.State = "tightening"

	beginsInherited  chart.Event = "inherited"
	beginsSlow       chart.Event = "slow"
	beginsQuick      chart.Event = "quick"
	beginsAllStored  chart.Event = "all_stored"
	beginsToldLoose  chart.Event = "told_loose"
	beginsToldStrict chart.Event = "told_strict"
)

// promise is what the lease's row says of begins. The row is written by renewals, one
// after the other; what was asked for is surely there once a renewal that was sent later
// has been answered. Its zero value promises nothing. It is safe for concurrent use.
type promise struct {
	mu sync.Mutex
	// strict is what renewals write, asked counts the changes of it.
	strict bool
	asked  int
	// written is the last change that is surely in the row.
	written int
	// slowAt is when a renewal last failed or took long.
	slowAt time.Time
	// changed wakes the renewals.
	changed chan struct{}
}

// begin sets what the row says from the first.
func (p *promise) begin(strict bool) {
	p.strict, p.slowAt, p.changed = strict, bootTime(), make(chan struct{}, 1)
}

// ask has the row written anew.
func (p *promise) ask(strict bool) {
	p.mu.Lock()
	p.strict = strict
	p.asked++
	p.mu.Unlock()
	select {
	case p.changed <- struct{}{}:
	default: // a renewal is about to be sent
	}
}

// next is what a renewal writes, and the number to confirm it by.
func (p *promise) next() (strict bool, number int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.strict, p.asked
}

// renewed takes how a renewal went; number is that of what it wrote.
func (p *promise) renewed(stored bool, number int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if stored {
		p.written = max(p.written, number)
	}
	if !stored || took > quickRenewal {
		p.slowAt = bootTime()
	}
}

// told is what the row surely says; false if a change is on its way.
func (p *promise) told() (strict, sure bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.strict, p.written == p.asked
}

// slow says that the store was slow until now, whatever renewals took.
func (p *promise) slow(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slowAt = now
}

// quick reports whether all renewals of late were quick.
func (p *promise) quick(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.slowAt) >= quickFor
}

// beginsCore is what the mode asks of the core and tells it.
type beginsCore interface {
	StoreBegins(on bool)
	StoreAllBegins()
	BeginsLate(d time.Duration) bool
	BeginsStored() bool
}

// beginsMode is where a leader stands with its begins.
type beginsMode struct {
	state   chart.State
	promise *promise
	core    beginsCore
	// off leaders promise nothing and store no begins.
	off    bool
	logger *zap.Logger
}

// newBeginsMode starts from what the row says that this leader took the lease with.
func newBeginsMode(p *promise, core beginsCore, tuning Tuning, logger *zap.Logger) *beginsMode {
	m := &beginsMode{state: beginsChart.Initial, promise: p, core: core, off: !tuning.has(dispatch.MechStoredBegins), logger: logger}
	if strict, _ := p.told(); strict {
		m.step(beginsInherited, time.Time{})
	}
	return m
}

// update takes what has changed since the last round.
func (m *beginsMode) update(now time.Time) {
	if m.off {
		return
	}
	if m.core.BeginsLate(beginsPatience) {
		m.step(beginsSlow, now)
	}
	if strict, sure := m.promise.told(); sure && strict {
		m.step(beginsToldStrict, now)
	} else if sure {
		m.step(beginsToldLoose, now)
	}
	if m.state == stBeginsLoose && m.promise.quick(now) {
		m.step(beginsQuick, now)
	}
	if m.state == stBeginsStoring && m.core.BeginsStored() {
		m.step(beginsAllStored, now)
	}
}

func (m *beginsMode) step(event chart.Event, now time.Time) {
	next, err := beginsChart.Next(m.state, event)
	if err != nil {
		panic(err) // every state answers or ignores every event: a test of the charts
	}
	if next == m.state {
		return
	}
	m.state = next
	switch next {
	case stBeginsStrict:
		m.core.StoreBegins(true)
	case stBeginsLoosening:
		m.promise.ask(false)
	case stBeginsLoose:
		m.core.StoreBegins(false)
		m.promise.slow(now)
	case stBeginsStoring:
		m.core.StoreBegins(true)
		m.core.StoreAllBegins()
	case stBeginsTightening:
		m.promise.ask(true)
	}
	m.logger.Info("begins", zap.String("state", string(next)))
}
