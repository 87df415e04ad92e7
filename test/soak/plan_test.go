package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// kind is a kind of fault.
type kind string

// The faults from outside.
const (
	freeze       kind = "freeze"
	kill         kind = "kill"
	killAll      kind = "kill-all"
	stopSeries   kind = "stop-series"
	hangup       kind = "hangup"
	configure    kind = "configure"
	storeSilent  kind = "store-silent"
	storePart    kind = "store-part-silent"
	storeSlow    kind = "store-slow"
	storeLost    kind = "store-lost"
	storeLate    kind = "store-late"
	storeRefuse  kind = "store-refuses"
	storeCompact kind = "store-history-gone"
	storeNotes   kind = "store-late-notes"
	storeCut     kind = "store-cut"
	peersCut     kind = "peers-cut"
	pairCut      kind = "pair-cut"
	zoneCut      kind = "zone-cut"
	workersCut   kind = "workers-cut"
	workersLate  kind = "workers-late"
	workersLost  kind = "workers-lost"
	workersCrash kind = "workers-crash"
	workersLeave kind = "workers-leave"
	power        kind = "power"
	// usurp has the leader replaced while its own lease lasts: it is frozen or not, can't reach its
	// peers and the part of the store that holds the lease, but workers and the other parts. Its
	// successor doesn't reach all workers.
	usurp kind = "usurp"
	// orphans cuts off workers with work, and then has the leader replaced.
	orphans kind = "orphans"
)

// shares are how often the kinds are drawn.
var shares = []struct {
	kind  kind
	share int
}{
	{freeze, 16},
	{kill, 7},
	{killAll, 3},
	{stopSeries, 4},
	{hangup, 3},
	{configure, 3},
	{storeSilent, 4},
	{storePart, 3},
	{storeSlow, 4},
	{storeLost, 4},
	{storeLate, 4},
	{storeRefuse, 3},
	{storeCompact, 4},
	{storeNotes, 4},
	{storeCut, 4},
	{peersCut, 9},
	{pairCut, 3},
	{zoneCut, 3},
	{workersCut, 6},
	{workersLate, 7},
	{workersLost, 4},
	{workersCrash, 5},
	{workersLeave, 3},
	{power, 5},
	{usurp, 14},
	{orphans, 7},
}

// manner is how a link is disturbed.
type manner string

// The manners of links.
const (
	silent  manner = "silent"
	there   manner = "there-only" // calls arrive, answers don't
	back    manner = "back-only"  // nothing arrives, what is under way comes back
	reset   manner = "reset"
	delayed manner = "delayed"
	frozen  manner = "frozen"
)

var manners = []manner{silent, silent, there, back, reset, delayed}

// state returns what a link does in this manner.
func (m manner) state(delay time.Duration) linkState {
	switch m {
	case there:
		return linkState{holdBack: true}
	case back:
		return linkState{holdThere: true}
	case reset:
		return linkState{refuse: true}
	case delayed:
		return linkState{delay: delay}
	default:
		return linkState{holdThere: true, holdBack: true}
	}
}

// reversed returns the manner of the links the other way, when a process as a whole is heard or hears
// but not both.
func (m manner) reversed() manner {
	switch m {
	case there:
		return back
	case back:
		return there
	}
	return m
}

// event is one fault of a plan.
type event struct {
	At   time.Duration `json:"at"`
	Kind kind          `json:"kind"`
	For  time.Duration `json:"for,omitempty"`
	// Leader aims at the leader of that moment in place of Instances[0].
	Leader    bool          `json:"leader,omitempty"`
	Instances []int         `json:"instances,omitempty"`
	Workers   []int         `json:"workers,omitempty"`
	Manner    manner        `json:"manner,omitempty"`
	Delay     time.Duration `json:"delay,omitempty"`
	// Part is a zone, or a share of the store's parts.
	Part int `json:"part,omitempty"`
}

// String implements fmt.Stringer.
func (e event) String() string {
	text := fmt.Sprintf("%5.2f %s", e.At.Seconds(), e.Kind)
	if e.For > 0 {
		text += fmt.Sprintf(" for %.2f", e.For.Seconds())
	}
	if e.Leader {
		text += " leader"
	}
	if len(e.Instances) > 0 {
		text += fmt.Sprintf(" instances %v", e.Instances)
	}
	if len(e.Workers) > 0 {
		text += fmt.Sprintf(" workers %v", e.Workers)
	}
	if e.Manner != "" {
		text += " " + string(e.Manner)
	}
	if e.Part > 0 {
		text += fmt.Sprintf(" part %d", e.Part)
	}
	return text
}

// plan is all that is drawn from a seed.
type plan struct {
	Seed       uint64
	Length     time.Duration
	SlowClocks [workerCount]bool
	Events     []event
	Jobs       []*job
}

// String implements fmt.Stringer.
func (p *plan) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "plan of seed %d: %d jobs in %s\n", p.Seed, len(p.Jobs), p.Length)
	for _, e := range p.Events {
		fmt.Fprintln(&text, e)
	}
	return text.String()
}

// drawer draws parts of a plan.
type drawer struct{ *rand.Rand }

// between draws a duration of two bounds in milliseconds.
func (d drawer) between(low, high int) time.Duration {
	return time.Duration(low+d.IntN(high-low+1)) * time.Millisecond
}

func (d drawer) chance(percent int) bool { return d.IntN(100) < percent }

// some draws up to most different numbers below n.
func (d drawer) some(most, n int) []int { return d.Perm(n)[:1+d.IntN(most)] }

// newPlan draws the plan of a seed.
func newPlan(seed uint64, length time.Duration) *plan {
	d := drawer{rand.New(rand.NewPCG(seed, 0x50a4))}
	p := &plan{Seed: seed, Length: length}
	for n := range p.SlowClocks {
		p.SlowClocks[n] = d.chance(30)
	}
	// Faults come in series that overlap, with calmer times between.
	for at := d.between(500, 2000); at < length; {
		for range 1 + d.IntN(6) {
			p.Events = append(p.Events, d.event(at))
			at += d.between(0, 800)
		}
		at += d.between(1500, 4500)
	}
	d = drawer{rand.New(rand.NewPCG(seed, 0x10b5))}
	for at := time.Duration(0); at < length; at += d.between(40, 180) {
		p.Jobs = append(p.Jobs, d.job(seed, len(p.Jobs), at))
	}
	return p
}

func (d drawer) event(at time.Duration) event {
	total := 0
	for _, s := range shares {
		total += s.share
	}
	n, drawn := d.IntN(total), 0
	for n >= shares[drawn].share {
		n -= shares[drawn].share
		drawn++
	}
	e := event{At: at, Kind: shares[drawn].kind, Leader: d.chance(60), Instances: []int{d.IntN(len(instanceZones))}, For: d.between(700, 4000), Delay: d.between(100, 500)}
	switch e.Kind {
	case freeze:
		e.For = d.between(700, 1900)
		if d.chance(35) {
			e.For = d.between(300, 4000)
		}
	case kill:
		e.For = d.between(50, 1800)
	case killAll:
		e.Leader, e.Instances, e.For = false, nil, d.between(50, 1000)
	case stopSeries:
		e.Instances, e.For = d.some(3, len(instanceZones)), d.between(0, 500)
	case storeRefuse, storeNotes, storeCut, storeLost, storeLate:
		e.Instances = d.some(len(instanceZones), len(instanceZones))
	case storePart:
		e.Leader, e.Instances, e.Part = false, nil, 1+d.IntN(partShares)
	case hangup, configure, storeSilent, storeSlow, storeCompact:
		e.Leader, e.Instances = false, nil
	case peersCut:
		e.Manner = manners[d.IntN(len(manners))]
	case pairCut:
		e.Manner, e.Instances = manners[d.IntN(len(manners))], d.Perm(len(instanceZones))[:2]
	case zoneCut:
		e.Leader, e.Instances, e.Part = false, nil, 1+d.IntN(3)
	case workersCut:
		e.Manner, e.Workers, e.For = manners[d.IntN(len(manners))], d.some(8, workerCount), d.between(700, 8000)
		if e.Instances = d.some(len(instanceZones)-1, len(instanceZones)); d.chance(40) {
			e.Instances = d.Perm(len(instanceZones))
		}
	case workersLate, workersLost, workersCrash:
		e.Leader, e.Instances, e.Workers = false, nil, d.some(8, workerCount)
	case workersLeave:
		e.Leader, e.Instances, e.Workers = false, nil, d.some(3, workerCount)
	case usurp:
		e.Leader, e.For, e.Workers = true, d.between(900, 1800), d.Perm(workerCount)[:workerCount/2]
		if e.Manner = silent; d.chance(60) {
			e.Manner = frozen
		}
	case orphans:
		e.Leader, e.For = true, d.between(4000, 8000)
		if e.Manner = silent; d.chance(30) {
			e.Manner = there
		}
	case power:
		e.Leader, e.Instances, e.For = false, nil, d.between(2500, 4500)
	}
	return e
}

// need is what a task needs.
type need struct{ cpu, memMB, gpu int64 }

// stepPlan is one step of a job.
type stepPlan struct {
	Count       int
	Gang        bool
	Checkpoints bool
	// Fails lets the first run of the first task end as failed.
	Fails bool
	Takes time.Duration
	need  need
}

func (d drawer) job(seed uint64, n int, at time.Duration) *job {
	j := &job{ID: fmt.Sprintf("%06x%010x", seed&0xffffff, n), At: at, account: d.IntN(len(accounts)), queue: d.IntN(len(queues))}
	for range 1 + d.IntN(4)/3 {
		s := stepPlan{Count: 1 + d.IntN(4), Takes: d.between(100, 2000), need: need{cpu: 2000, memMB: 4000, gpu: 1}}
		if d.chance(20) {
			s.Takes = d.between(2500, 5000)
		}
		s.Gang = s.Count > 1 && d.chance(60)
		s.Fails = d.chance(4)
		if s.Checkpoints = d.chance(20); s.Checkpoints {
			s.Takes += 1500 * time.Millisecond
		}
		j.Steps = append(j.Steps, s)
	}
	if d.chance(8) {
		j.cancelAfter = d.between(1, 3000)
	}
	if d.chance(15) {
		j.againAfter = d.between(300, 5000)
	}
	j.draw = d.Uint64()
	return j
}
