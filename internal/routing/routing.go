// Package routing decides which backend server a request goes to, which backend
// servers take none for a while, how fast a new one takes its share, and when
// requests go to another availability zone. It is pure: the time and the random
// source are passed in, and the caller serializes the calls.
//
// Load pattern: the backend servers of a zone differ: one is slow, one fails, one
// has just started, one is about to stop; and run times differ from request to
// request.
//
// Without it requests go in turn to each of them. The slow one gathers requests
// until a good part of all callers wait for it; a failing one answers fastest and
// so seems the least loaded; a leaving one cuts off what it still gets.
//
// Thresholds: see the constants; docs/design/011-requests-under-load.md has the
// measurement behind each.
package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/chart"
	"github.com/corianderbank/corianderbank/internal/model"
)

const (
	// RampTime is how long a new backend server takes to reach its whole share:
	// caches and connections of a cold server warm up in seconds.
	RampTime = 5 * time.Second
	// minRampShare is the share that a ramping backend server begins with.
	minRampShare = 0.1
	// latencyGain is the weight of one observation in the slowness of a server:
	// the last five or so count.
	latencyGain = 0.2
	// failureGain is the weight of one observation in the failures of a server.
	// Nine failures in a row eject; with 0.2, where three did, an account whose
	// requests all fail had healthy servers ejected.
	failureGain = 0.08
)

// The events of charts/backend_server.json.
const (
	eventRamped         chart.Event = "ramped"
	eventSlow           chart.Event = "slow"
	eventCooled         chart.Event = "cooled"
	eventLeave          chart.Event = "leave"
	eventSilence        chart.Event = "silence"
	eventNewIncarnation chart.Event = "new_incarnation"
)

// Candidate is a backend server that takes work and has a free slot.
type Candidate struct {
	ID string
	// InFlight counts the requests in flight from this instance.
	InFlight int
	// Slowness is the smoothed ratio of run time to expected run time.
	Slowness float64
}

// Choose returns the index of one of the candidates, of which there are at least
// two, and that of the best alternative.
type Choose func(candidates []Candidate, random *rand.Rand) (best, second int)

// Policy switches single decisions, for measuring what each is worth. The zero
// value is the product's.
type Policy struct {
	// Choose replaces the choice in turn.
	Choose Choose
	// NoEjection keeps slow and failing backend servers.
	NoEjection bool
	// NoRamp gives a new backend server its whole share at once.
	NoRamp bool
}

// Table is what one entry instance knows of the backend servers of a zone. Its
// methods must not be called concurrently.
type Table struct {
	policy  Policy
	chart   *chart.Chart
	servers []*server
	byID    map[string]*server
	turn    int
	// free is scratch space of Pick.
	free []Candidate
	// evaluatedAt is when slow servers were last looked for.
	evaluatedAt time.Time
	transitions []Transition
}

// server is the state of one backend server.
type server struct {
	model.BackendServer
	inFlight int
	// slowness is the smoothed ratio of run time to expected run time.
	slowness float64
	// failures is the smoothed share of attempts that failed.
	failures float64
	samples  int
	// since is when the present state began.
	since time.Time
	// ejections counts those in a row, for the length of the next one.
	ejections int
}

// Transition is a change of state of a backend server, for the log.
type Transition struct {
	BackendServer string
	From, To      model.BackendState
	Reason        string
}

// Choice is the backend server for a request.
type Choice struct {
	ID          string
	Addr        string
	Incarnation int64
	// SecondBest is the best alternative, if there was one.
	SecondBest string
	// Free is the number of backend servers with a free slot, InFlight and
	// Slowness describe the chosen one.
	Free     int
	InFlight int
	Slowness float64
}

// Reason says in words why the backend server was chosen.
func (c Choice) Reason() string {
	return fmt.Sprintf("its turn among %d with a free slot, %d in flight here, slowness %.2f", c.Free, c.InFlight, c.Slowness)
}

// NewTable returns an empty table.
func NewTable(policy Policy) *Table {
	return &Table{policy: policy, chart: chart.MustLoad("backend_server"), byID: make(map[string]*server)}
}

// Sync takes in the membership's view of the zone's backend servers. Those that
// were there before the first call need no ramp.
func (t *Table) Sync(servers []model.BackendServer, now time.Time) {
	first := len(t.servers) == 0
	listed := make(map[string]bool, len(servers))
	for _, listing := range servers {
		listed[listing.ID] = true
		known, ok := t.byID[listing.ID]
		if !ok {
			known = t.add(listing, now)
			if first || t.policy.NoRamp {
				t.apply(known, eventRamped, "there before this instance", now)
			}
		}
		t.update(known, listing, now)
	}
	for _, known := range t.servers {
		if !listed[known.ID] {
			t.apply(known, eventSilence, "no longer listed", now)
		}
	}
	t.servers = slices.DeleteFunc(t.servers, func(s *server) bool {
		drop := s.State == model.BackendGone && s.inFlight == 0
		if drop {
			delete(t.byID, s.ID)
		}
		return drop
	})
}

func (t *Table) add(listing model.BackendServer, now time.Time) *server {
	known := &server{BackendServer: listing, slowness: 1, since: now}
	known.State = model.BackendState(t.chart.Initial)
	t.byID[listing.ID] = known
	t.servers = append(t.servers, known)
	slices.SortFunc(t.servers, func(a, b *server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return known
}

// update applies a newer incarnation, and leaving under the present one. An
// older incarnation says nothing.
func (t *Table) update(known *server, listing model.BackendServer, now time.Time) {
	if listing.Incarnation < known.Incarnation {
		return
	}
	if listing.Incarnation > known.Incarnation {
		known.Incarnation, known.Addr, known.Slots = listing.Incarnation, listing.Addr, listing.Slots
		known.samples, known.slowness, known.failures, known.ejections = 0, 1, 0, 0
		t.apply(known, eventNewIncarnation, "came back", now)
	}
	switch listing.State {
	case model.BackendLeaving:
		t.apply(known, eventLeave, "membership says leaving", now)
	case model.BackendGone:
		t.apply(known, eventSilence, "membership says gone", now)
	}
}

// Leave records that the backend server itself said that it leaves.
func (t *Table) Leave(id string, incarnation int64, now time.Time) {
	if known, ok := t.byID[id]; ok && known.Incarnation <= incarnation {
		t.apply(known, eventLeave, "said so itself", now)
	}
}

// apply moves a server along its chart, and notes the transition.
func (t *Table) apply(known *server, event chart.Event, reason string, now time.Time) {
	next, err := t.chart.Next(chart.State(known.State), event)
	if err != nil || model.BackendState(next) == known.State {
		return
	}
	t.transitions = append(t.transitions, Transition{
		BackendServer: known.ID, From: known.State, To: model.BackendState(next), Reason: reason,
	})
	known.State, known.since = model.BackendState(next), now
}

// Transitions returns the changes of state since the last call.
func (t *Table) Transitions() []Transition {
	changes := t.transitions
	t.transitions = nil
	return changes
}

// Pick chooses a backend server. Usable says how many slots of a backend server
// this instance may use; tried ones are left out. It reports false if none has a
// free slot.
func (t *Table) Pick(now time.Time, random *rand.Rand, usable func(id string) int, tried []string) (Choice, bool) {
	t.evaluate(now)
	t.free = t.free[:0]
	for _, s := range t.servers {
		if t.takes(s, usable(s.ID), now, random) && !slices.Contains(tried, s.ID) {
			t.free = append(t.free, Candidate{ID: s.ID, InFlight: s.inFlight, Slowness: s.slowness})
		}
	}
	if len(t.free) == 0 {
		return Choice{}, false
	}
	best, second := t.choose(random)
	chosen := t.byID[t.free[best].ID]
	choice := Choice{
		ID: chosen.ID, Addr: chosen.Addr, Incarnation: chosen.Incarnation,
		Free: len(t.free), InFlight: chosen.inFlight, Slowness: chosen.slowness,
	}
	if second != best {
		choice.SecondBest = t.free[second].ID
	}
	return choice, true
}

// takes says whether a server may get one more request.
func (t *Table) takes(candidate *server, usable int, now time.Time, random *rand.Rand) bool {
	if candidate.inFlight >= usable {
		return false
	}
	switch candidate.State {
	case model.BackendReady:
		return true
	case model.BackendRamping:
		share := rampShare(candidate, now)
		limit := max(1, int(share*float64(usable)))
		return candidate.inFlight < limit && random.Float64() < share
	}
	return false
}

func rampShare(candidate *server, now time.Time) float64 {
	return max(minRampShare, float64(now.Sub(candidate.since))/float64(RampTime))
}

// choose takes the candidates in turn. The slots granted bound the requests on
// each server already, so that two random choices by requests in flight, and
// probes of them, showed no gain over this (docs/design/011).
func (t *Table) choose(random *rand.Rand) (best, second int) {
	n := len(t.free)
	if n == 1 {
		return 0, 0
	}
	if t.policy.Choose != nil {
		return t.policy.Choose(t.free, random)
	}
	t.turn++
	return t.turn % n, (t.turn + 1) % n
}

// Free reports whether any backend server that takes work has a free slot.
func (t *Table) Free(usable func(id string) int) bool {
	for _, s := range t.servers {
		if (s.State == model.BackendReady || s.State == model.BackendRamping) && s.inFlight < usable(s.ID) {
			return true
		}
	}
	return false
}

// Started records a dispatch.
func (t *Table) Started(id string) {
	if known, ok := t.byID[id]; ok {
		known.inFlight++
	}
}

// Result is how an attempt ended.
type Result struct {
	// Failed says that no whole answer came, or a failure of the server's own.
	Failed bool
	Took   time.Duration
	// Expected is the mean run time of this kind of request.
	Expected time.Duration
	// Incarnation is that of the choice.
	Incarnation int64
}

// Finished records the end of an attempt.
func (t *Table) Finished(id string, result Result) {
	known, ok := t.byID[id]
	if !ok {
		return
	}
	known.inFlight--
	if result.Incarnation != known.Incarnation {
		return
	}
	known.samples++
	failed := 0.0
	if result.Failed {
		failed = 1
	}
	known.failures += failureGain * (failed - known.failures)
	if result.Expected > 0 && !result.Failed {
		ratio := float64(result.Took) / float64(result.Expected)
		known.slowness += latencyGain * (min(ratio, maxRatio) - known.slowness)
	}
}

// InFlight returns the number of requests in flight from this instance.
func (t *Table) InFlight(id string) int {
	if known, ok := t.byID[id]; ok {
		return known.inFlight
	}
	return 0
}

// Takers returns the number of backend servers that take work, other than tried.
func (t *Table) Takers(tried []string) int {
	count := 0
	for _, s := range t.servers {
		if (s.State == model.BackendReady || s.State == model.BackendRamping) && !slices.Contains(tried, s.ID) {
			count++
		}
	}
	return count
}

// Capacity returns the slots that this instance may use in all.
func (t *Table) Capacity(usable func(id string) int) int {
	total := 0
	for _, s := range t.servers {
		if s.State == model.BackendReady || s.State == model.BackendRamping {
			total += usable(s.ID)
		}
	}
	return total
}

// Servers returns the backend servers in order of ids, with their states.
func (t *Table) Servers() []model.BackendServer {
	list := make([]model.BackendServer, 0, len(t.servers))
	for _, s := range t.servers {
		list = append(list, s.BackendServer)
	}
	return list
}
