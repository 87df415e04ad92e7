package membership

import (
	"time"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/chart"
	"github.com/corianderbank/corianderbank/internal/model"
)

// Several signals about one server may arrive late, twice, and in any order.
// Without ordering rules a list that lags would bring a leaving backend server
// back, and a list that is unstable would empty the fleet. A leaving signal is
// kept per incarnation and never revoked within it. A missing list entry only
// counts while the instance list is current, because a list that cannot be read
// is no evidence. The timeouts are in Thresholds, with their reasons.

// Thresholds holds the timeouts for members that stop responding.
type Thresholds struct {
	// BackendTimeout is how long a backend server that is no longer listed
	// counts as present without an answer of its own, and how long a list
	// counts as current after it was received. It is longer than the gap that
	// one missed list read leaves, and shorter than callers wait.
	BackendTimeout time.Duration
	// BackendConfirmTimeout is how long a listed backend server may leave
	// probes unanswered before it is used anyway. It allows several probes, so
	// that a slow answer is awaited.
	BackendConfirmTimeout time.Duration
	// BackendRampTime is how long a backend server counts as ramping.
	BackendRampTime time.Duration
	// WorkerSuspectTimeout and WorkerLossTimeout are the times without a report
	// after which a worker is suspect and lost. A worker that neither is listed
	// nor reports for WorkerLossTimeout is removed. WorkerLossTimeout is longer
	// than any worker lease.
	WorkerSuspectTimeout, WorkerLossTimeout time.Duration
	// Retention is how long leaving signals and entries of lost members are
	// kept. It is far longer than the list lags.
	Retention time.Duration
}

// DefaultThresholds returns the thresholds for the default timing.
func DefaultThresholds() Thresholds {
	return Thresholds{
		BackendTimeout:        5 * time.Second,
		BackendConfirmTimeout: 5 * time.Second,
		BackendRampTime:       10 * time.Second,
		WorkerSuspectTimeout:  3 * time.Second,
		WorkerLossTimeout:     20 * time.Second,
		Retention:             time.Hour,
	}
}

// leavingMark is a leaving signal: every incarnation up to this one is leaving.
type leavingMark struct {
	incarnation int64
	at          time.Time
}

// state is the known state of the fleet. It does no I/O: events and the local
// time are passed in, and the views read it. It is not safe for concurrent use.
type state struct {
	self         model.Instance
	baseInterval time.Duration
	thresholds   Thresholds
	// leaving reports that this instance is leaving, probesEnabled that it
	// probes backend servers.
	leaving, probesEnabled bool
	backendChart           *chart.Chart
	workerChart            *chart.Chart

	// listReceivedAt is the local time of the last applied list, listAsOf the
	// platform's time of the newest one.
	listReceivedAt time.Time
	listAsOf       time.Time

	instances map[string]*instanceEntry
	backends  map[string]*backendEntry
	workers   map[string]*workerEntry
	// leavingBackends holds the leaving signals of backend servers, including
	// those of servers that are not known otherwise yet.
	leavingBackends map[string]leavingMark
	// changes are the changes since the last call of takeChanges, for the log.
	changes []change
}

// change is a change in the known state of a server or an instance.
type change struct {
	subject, id string
	incarnation int64
	from, to    string
}

// The subjects of changes.
const (
	subjectBackend  = "backend_server"
	subjectInstance = "instance"
)

// recordChange records a change for the log.
func (s *state) recordChange(subject, id string, incarnation int64, from, to string) {
	if from != to {
		s.changes = append(s.changes, change{subject, id, incarnation, from, to})
	}
}

// takeChanges returns the changes since the last call.
func (s *state) takeChanges() []change {
	changes := s.changes
	s.changes = nil
	return changes
}

func newState(self model.Instance, interval time.Duration, thresholds Thresholds) *state {
	return &state{
		self:            self,
		baseInterval:    interval,
		thresholds:      thresholds,
		backendChart:    chart.MustLoad("backend_server"),
		workerChart:     chart.MustLoad("worker"),
		instances:       make(map[string]*instanceEntry),
		backends:        make(map[string]*backendEntry),
		workers:         make(map[string]*workerEntry),
		leavingBackends: make(map[string]leavingMark),
	}
}

// applyList applies one read of the instance list. It reports whether a backend
// server is newly known to leave.
func (s *state) applyList(list api.InstanceList, now time.Time) bool {
	if list.AsOf.Before(s.listAsOf) {
		return false
	}
	s.listAsOf = list.AsOf
	s.listReceivedAt = now
	newlyLeaving := false
	for _, entry := range list.Instances {
		switch entry.Role {
		case api.RoleEntry:
			s.applyListedInstance(entry, now)
		case api.RoleBackendServer:
			newlyLeaving = s.applyListedBackend(entry, now) || newlyLeaving
		case api.RoleWorker:
			s.applyListedWorker(entry, now)
		}
	}
	return newlyLeaving
}

// applyPeerState applies a state message of a peer. It reports whether a
// backend server is newly known to leave.
func (s *state) applyPeerState(message *peerpb.State, now time.Time) bool {
	s.applyInstanceState(message, now)
	newlyLeaving := false
	for _, signal := range message.GetBackends() {
		if signal.GetLeaving() {
			newlyLeaving = s.markBackendLeaving(signal.GetBackendServer(), signal.GetIncarnation(), now) || newlyLeaving
		}
	}
	return newlyLeaving
}

// checkTimeouts applies the timeouts of all members and removes outdated
// leaving signals.
func (s *state) checkTimeouts(now time.Time) {
	listFresh := now.Sub(s.listReceivedAt) < s.thresholds.BackendTimeout
	for id, entry := range s.backends {
		s.checkBackendTimeout(id, entry, listFresh, now)
	}
	for id, entry := range s.workers {
		s.checkWorkerTimeout(id, entry, listFresh, now)
	}
	s.checkInstanceTimeouts(now)
	for id, mark := range s.leavingBackends {
		if now.Sub(mark.at) > s.thresholds.Retention {
			delete(s.leavingBackends, id)
		}
	}
}

// nextState returns the state of a chart after an event. An error, which leaves
// the state unchanged, is not expected: the charts handle every event in every
// state, which a test of package chart checks.
func nextState[S ~string](machine *chart.Chart, from S, event chart.Event) S {
	to, err := machine.Next(chart.State(from), event)
	if err != nil {
		return from
	}
	return S(to)
}

// The chart events that this package sends.
const (
	eventRamped         chart.Event = "ramped"
	eventLeave          chart.Event = "leave"
	eventSilence        chart.Event = "silence"
	eventLongSilence    chart.Event = "long_silence"
	eventReport         chart.Event = "report"
	eventNewIncarnation chart.Event = "new_incarnation"
)

// leavingSignals returns the backend servers known to be leaving, for state
// messages.
func (s *state) leavingSignals() []*peerpb.BackendSignal {
	signals := make([]*peerpb.BackendSignal, 0, len(s.leavingBackends))
	for _, id := range sortedKeys(s.leavingBackends) {
		signals = append(signals, &peerpb.BackendSignal{
			BackendServer: id, Incarnation: s.leavingBackends[id].incarnation, Leaving: true,
		})
	}
	return signals
}

func (s *state) liveInstances(now time.Time) []model.Instance {
	var live []model.Instance
	intervals := s.intervals()
	for _, id := range sortedKeys(s.instances) {
		if entry := s.instances[id]; s.isLive(entry, intervals, now) {
			live = append(live, entry.Instance)
		}
	}
	return live
}

// intervals returns the times between exchanges for the current size of the
// fleet.
func (s *state) intervals() exchangeIntervals {
	sameZonePeers := 0
	for _, entry := range s.instances {
		if entry.Zone == s.self.Zone {
			sameZonePeers++
		}
	}
	return planIntervals(s.baseInterval, sameZonePeers, len(s.instances)-sameZonePeers)
}
