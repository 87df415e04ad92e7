// Package routing decides which backend server a request is sent to, which
// backend servers are ejected for some time, how fast the load of a new one is
// ramped up, and when requests spill to another availability zone. It does no
// I/O: the time and the random source are passed in, and the caller must
// serialize the calls.
//
// Load pattern: the backend servers of a zone differ: one is slow, one fails, one
// has just started, one is about to stop. Run times also differ between requests.
//
// Without routing, requests are sent to all servers in turn. The slow one
// accumulates requests until a large part of all callers wait for it; a failing
// one answers fastest and so appears the least loaded; a leaving one interrupts
// the requests that it still receives.
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
	// RampTime is how long a new backend server takes to reach its full share of
	// the load: caches and connections of a cold server warm up in seconds.
	RampTime = 5 * time.Second
	// minRampShare is the share with which a ramping backend server starts.
	minRampShare = 0.1
	// slownessGain is the weight of one observation in the slowness of a server:
	// about the last five count.
	slownessGain = 0.2
	// failureGain is the weight of one observation in the failure rate of a
	// server. Nine consecutive failures eject a server. At 0.2, where three did,
	// an account whose requests all fail caused healthy servers to be ejected.
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

// Candidate is a backend server that accepts work and has a free slot.
type Candidate struct {
	ID string
	// InFlight counts the requests in flight from this instance.
	InFlight int
	// Slowness is the smoothed ratio of run time to expected run time.
	Slowness float64
}

// Choose returns the indices of the chosen candidate and of the best alternative.
// There are at least two candidates.
type Choose func(candidates []Candidate, random *rand.Rand) (best, second int)

// Policy changes individual decisions, to measure the value of each. The zero
// value is the one used in production.
type Policy struct {
	// Choose replaces the round-robin choice.
	Choose Choose
	// NoEjection keeps slow and failing backend servers in use.
	NoEjection bool
	// NoRamp gives a new backend server its full share at once.
	NoRamp bool
}

// Table holds one entry instance's view of the backend servers of a zone. Its
// methods must not be called concurrently.
type Table struct {
	policy  Policy
	chart   *chart.Chart
	servers []*server
	byID    map[string]*server
	// turns counts the round-robin choices.
	turns int
	// candidates is a buffer that Pick reuses.
	candidates []Candidate
	// evaluatedAt is the time of the last evaluation.
	evaluatedAt time.Time
	transitions []Transition
}

// server is the state of one backend server.
type server struct {
	model.BackendServer
	inFlight int
	// slowness is the smoothed ratio of run time to expected run time.
	slowness float64
	// failureRate is the smoothed share of failed attempts.
	failureRate float64
	// samples counts the attempts since the last ejection or new incarnation.
	samples int
	// stateSince is the time of the last change of state.
	stateSince time.Time
	// consecutiveEjections determines the duration of the next ejection.
	consecutiveEjections int
}

// Transition is a change of a backend server's state, to be recorded.
type Transition struct {
	BackendServer string
	From, To      model.BackendState
	Reason        string
}

// Choice is the backend server chosen for a request.
type Choice struct {
	ID          string
	Addr        string
	Incarnation int64
	// SecondBest is the best alternative, if there was one.
	SecondBest string
	// Free is the number of backend servers with a free slot; InFlight and
	// Slowness are those of the chosen one.
	Free     int
	InFlight int
	Slowness float64
}

// Reason describes why the backend server was chosen.
func (c Choice) Reason() string {
	return fmt.Sprintf("its turn among %d with a free slot, %d in flight here, slowness %.2f", c.Free, c.InFlight, c.Slowness)
}

// NewTable returns an empty table.
func NewTable(policy Policy) *Table {
	return &Table{policy: policy, chart: chart.MustLoad("backend_server"), byID: make(map[string]*server)}
}

// Sync updates the table from the membership's view of the zone's backend
// servers. Servers added to an empty table are not ramped: those in the first list
// were running before this instance.
func (t *Table) Sync(servers []model.BackendServer, now time.Time) {
	first := len(t.servers) == 0
	listed := make(map[string]bool, len(servers))
	for _, listing := range servers {
		listed[listing.ID] = true
		s, ok := t.byID[listing.ID]
		if !ok {
			s = t.add(listing, now)
			if first || t.policy.NoRamp {
				t.apply(s, eventRamped, "there before this instance", now)
			}
		}
		t.update(s, listing, now)
	}
	for _, s := range t.servers {
		if !listed[s.ID] {
			t.apply(s, eventSilence, "no longer listed", now)
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
	s := &server{BackendServer: listing, slowness: 1, stateSince: now}
	s.State = model.BackendState(t.chart.Initial)
	t.byID[listing.ID] = s
	t.servers = append(t.servers, s)
	slices.SortFunc(t.servers, func(a, b *server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return s
}

// update applies a newer incarnation, and a leaving or gone state of the current
// one. A listing with an older incarnation is ignored.
func (t *Table) update(s *server, listing model.BackendServer, now time.Time) {
	if listing.Incarnation < s.Incarnation {
		return
	}
	if listing.Incarnation > s.Incarnation {
		s.Incarnation, s.Addr, s.Slots = listing.Incarnation, listing.Addr, listing.Slots
		s.samples, s.slowness, s.failureRate, s.consecutiveEjections = 0, 1, 0, 0
		t.apply(s, eventNewIncarnation, "came back", now)
	}
	switch listing.State {
	case model.BackendLeaving:
		t.apply(s, eventLeave, "membership says leaving", now)
	case model.BackendGone:
		t.apply(s, eventSilence, "membership says gone", now)
	}
}

// Leave records that the backend server itself reported that it is leaving.
func (t *Table) Leave(id string, incarnation int64, now time.Time) {
	if s, ok := t.byID[id]; ok && s.Incarnation <= incarnation {
		t.apply(s, eventLeave, "said so itself", now)
	}
}

// apply changes a server's state according to the chart, and records the
// transition. Events that the chart does not declare for the state are ignored.
func (t *Table) apply(s *server, event chart.Event, reason string, now time.Time) {
	next, err := t.chart.Next(chart.State(s.State), event)
	if err != nil || model.BackendState(next) == s.State {
		return
	}
	t.transitions = append(t.transitions, Transition{
		BackendServer: s.ID, From: s.State, To: model.BackendState(next), Reason: reason,
	})
	s.State, s.stateSince = model.BackendState(next), now
}

// Transitions returns and clears the changes of state since the last call.
func (t *Table) Transitions() []Transition {
	changes := t.transitions
	t.transitions = nil
	return changes
}

// Pick chooses a backend server. The function usable returns how many slots of a
// backend server this instance may use; servers in tried are excluded. Pick
// returns false if no server has a free slot.
func (t *Table) Pick(now time.Time, random *rand.Rand, usable func(id string) int, tried []string) (Choice, bool) {
	t.evaluate(now)
	t.candidates = t.candidates[:0]
	for _, s := range t.servers {
		if t.accepts(s, usable(s.ID), now, random) && !slices.Contains(tried, s.ID) {
			t.candidates = append(t.candidates, Candidate{ID: s.ID, InFlight: s.inFlight, Slowness: s.slowness})
		}
	}
	if len(t.candidates) == 0 {
		return Choice{}, false
	}
	best, second := t.choose(random)
	chosen := t.byID[t.candidates[best].ID]
	choice := Choice{
		ID: chosen.ID, Addr: chosen.Addr, Incarnation: chosen.Incarnation,
		Free: len(t.candidates), InFlight: chosen.inFlight, Slowness: chosen.slowness,
	}
	if second != best {
		choice.SecondBest = t.candidates[second].ID
	}
	return choice, true
}

// accepts reports whether a server may receive one more request.
func (t *Table) accepts(s *server, usable int, now time.Time, random *rand.Rand) bool {
	if s.inFlight >= usable {
		return false
	}
	switch s.State {
	case model.BackendReady:
		return true
	case model.BackendRamping:
		share := rampShare(s, now)
		limit := max(1, int(share*float64(usable)))
		return s.inFlight < limit && random.Float64() < share
	}
	return false
}

func rampShare(s *server, now time.Time) float64 {
	return max(minRampShare, float64(now.Sub(s.stateSince))/float64(RampTime))
}

// choose selects the candidates round-robin. The granted slots already bound the
// requests on each server; picking the less loaded of two random candidates, and
// probing them, showed no gain over this (docs/design/011).
func (t *Table) choose(random *rand.Rand) (best, second int) {
	n := len(t.candidates)
	if n == 1 {
		return 0, 0
	}
	if t.policy.Choose != nil {
		return t.policy.Choose(t.candidates, random)
	}
	t.turns++
	return t.turns % n, (t.turns + 1) % n
}

// HasFreeSlot reports whether any backend server that accepts work has a free slot.
func (t *Table) HasFreeSlot(usable func(id string) int) bool {
	for _, s := range t.servers {
		if (s.State == model.BackendReady || s.State == model.BackendRamping) && s.inFlight < usable(s.ID) {
			return true
		}
	}
	return false
}

// RecordStart records the dispatch of a request to a backend server.
func (t *Table) RecordStart(id string) {
	if s, ok := t.byID[id]; ok {
		s.inFlight++
	}
}

// Result describes the end of an attempt.
type Result struct {
	// Failed reports that there was no whole answer, or that the server itself
	// failed.
	Failed bool
	Took   time.Duration
	// Expected is the mean run time of the request's kind.
	Expected time.Duration
	// Incarnation is the backend server's incarnation at the choice.
	Incarnation int64
}

// RecordResult records the end of an attempt. Results of an earlier incarnation only
// free the slot.
func (t *Table) RecordResult(id string, result Result) {
	s, ok := t.byID[id]
	if !ok {
		return
	}
	s.inFlight--
	if result.Incarnation != s.Incarnation {
		return
	}
	s.samples++
	failed := 0.0
	if result.Failed {
		failed = 1
	}
	s.failureRate += failureGain * (failed - s.failureRate)
	if result.Expected > 0 && !result.Failed {
		ratio := float64(result.Took) / float64(result.Expected)
		s.slowness += slownessGain * (min(ratio, maxSlownessSample) - s.slowness)
	}
}

// InFlight returns the number of requests in flight from this instance to the
// backend server.
func (t *Table) InFlight(id string) int {
	if s, ok := t.byID[id]; ok {
		return s.inFlight
	}
	return 0
}

// AcceptingServers returns the number of backend servers that accept work, except
// those in tried.
func (t *Table) AcceptingServers(tried []string) int {
	count := 0
	for _, s := range t.servers {
		if (s.State == model.BackendReady || s.State == model.BackendRamping) && !slices.Contains(tried, s.ID) {
			count++
		}
	}
	return count
}

// Capacity returns the total number of slots that this instance may use.
func (t *Table) Capacity(usable func(id string) int) int {
	total := 0
	for _, s := range t.servers {
		if s.State == model.BackendReady || s.State == model.BackendRamping {
			total += usable(s.ID)
		}
	}
	return total
}

// Servers returns the backend servers with their states, sorted by id.
func (t *Table) Servers() []model.BackendServer {
	list := make([]model.BackendServer, 0, len(t.servers))
	for _, s := range t.servers {
		list = append(list, s.BackendServer)
	}
	return list
}
