package membership

import (
	"time"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/chart"
	"github.com/corianderbank/corianderbank/internal/model"
)

// This file answers the pattern in which several signals about one server
// arrive late, twice, and in any order. Without it a list that lags would bring
// a leaving backend server back, and a list that flickers would empty the
// fleet. A sign of leaving is kept by incarnation and never undone within it.
// Silence is judged only while the instance list is being read: a list that
// cannot be read says nothing. Thresholds are in Thresholds, with reasons.

// Thresholds are the times after which silence counts.
type Thresholds struct {
	// BackendSilence is how long a backend server that the list no longer names
	// counts as there without an answer of its own. Longer than a list read
	// that skips a beat, shorter than a caller's patience.
	BackendSilence time.Duration
	// BackendConfirm is how long a backend server that the list names may leave
	// a probe unanswered before it is used all the same. Several probes, so that
	// a slow answer is waited for.
	BackendConfirm time.Duration
	// BackendRamp is how long a backend server counts as ramping.
	BackendRamp time.Duration
	// WorkerSilence and WorkerLoss are the silences after which a worker is
	// suspect and lost. A lost worker is silent longer than any worker lease.
	WorkerSilence, WorkerLoss time.Duration
	// Forget is how long signs of leaving and dead entries are kept. Longer
	// than the list lags by far.
	Forget time.Duration
}

// DefaultThresholds returns the thresholds for the default timing.
func DefaultThresholds() Thresholds {
	return Thresholds{
		BackendSilence: 5 * time.Second,
		BackendConfirm: 5 * time.Second,
		BackendRamp:    10 * time.Second,
		WorkerSilence:  3 * time.Second,
		WorkerLoss:     20 * time.Second,
		Forget:         time.Hour,
	}
}

// leftMark is a sign of leaving: every incarnation up to this one has left.
type leftMark struct {
	incarnation int64
	at          time.Time
}

// state is everything known of the fleet. It is pure: events and the local time
// go in, and the views read it. It is not safe for concurrent use.
type state struct {
	self       model.Instance
	interval   time.Duration
	thresholds Thresholds
	// leaving says that this instance leaves, probing that it asks backend
	// servers for their health.
	leaving, probing bool
	backendSM        *chart.Chart
	workerSM         *chart.Chart

	// listAt is the local time of the last list that was taken in, listAsOf the
	// platform's time of the newest one.
	listAt   time.Time
	listAsOf time.Time

	instances map[string]*instanceEntry
	backends  map[string]*backendEntry
	workers   map[string]*workerEntry
	// leftBackends holds the signs of leaving of backend servers, also of those
	// that nothing else is known of yet.
	leftBackends map[string]leftMark
	// changes are those since the last drain, for the log.
	changes []change
}

// change is one change of what is known of a server or an instance.
type change struct {
	subject, id string
	incarnation int64
	from, to    string
}

// subjects of changes.
const (
	subjectBackend  = "backend_server"
	subjectInstance = "instance"
)

// note records a change for the log.
func (s *state) note(subject, id string, incarnation int64, from, to string) {
	if from != to {
		s.changes = append(s.changes, change{subject, id, incarnation, from, to})
	}
}

// drainChanges returns the changes since the last call.
func (s *state) drainChanges() []change {
	changes := s.changes
	s.changes = nil
	return changes
}

func newState(self model.Instance, interval time.Duration, thresholds Thresholds) *state {
	return &state{
		self:         self,
		interval:     interval,
		thresholds:   thresholds,
		backendSM:    chart.MustLoad("backend_server"),
		workerSM:     chart.MustLoad("worker"),
		instances:    make(map[string]*instanceEntry),
		backends:     make(map[string]*backendEntry),
		workers:      make(map[string]*workerEntry),
		leftBackends: make(map[string]leftMark),
	}
}

// listed takes in one read of the instance list. It returns whether a backend
// server is newly known to leave.
func (s *state) listed(list api.InstanceList, now time.Time) bool {
	if list.AsOf.Before(s.listAsOf) {
		return false
	}
	s.listAsOf = list.AsOf
	s.listAt = now
	news := false
	for _, entry := range list.Instances {
		switch entry.Role {
		case api.RoleEntry:
			s.instanceListed(entry, now)
		case api.RoleBackendServer:
			news = s.backendListed(entry, now) || news
		case api.RoleWorker:
			s.workerListed(entry, now)
		}
	}
	return news
}

// peerSaid takes in a state message of a peer. It returns whether a backend
// server is newly known to leave.
func (s *state) peerSaid(message *peerpb.State, now time.Time) bool {
	s.instanceSaid(message, now)
	news := false
	for _, signal := range message.GetBackends() {
		if signal.GetLeaving() {
			news = s.backendLeft(signal.GetBackendServer(), signal.GetIncarnation(), now) || news
		}
	}
	return news
}

// tick judges silence.
func (s *state) tick(now time.Time) {
	listFresh := now.Sub(s.listAt) < s.thresholds.BackendSilence
	for id, entry := range s.backends {
		s.backendTick(id, entry, listFresh, now)
	}
	for id, entry := range s.workers {
		s.workerTick(id, entry, listFresh, now)
	}
	s.instancesTick(now)
	for id, mark := range s.leftBackends {
		if now.Sub(mark.at) > s.thresholds.Forget {
			delete(s.leftBackends, id)
		}
	}
}

// next interprets a chart. The charts answer every event in every state, which
// a test of package chart holds, so an error keeps the state.
func next[S ~string](machine *chart.Chart, from S, event chart.Event) S {
	to, err := machine.Next(chart.State(from), event)
	if err != nil {
		return from
	}
	return S(to)
}

// events of the charts that this package sends.
const (
	eventRamped         chart.Event = "ramped"
	eventLeave          chart.Event = "leave"
	eventSilence        chart.Event = "silence"
	eventLongSilence    chart.Event = "long_silence"
	eventReport         chart.Event = "report"
	eventNewIncarnation chart.Event = "new_incarnation"
)

// leavingSignals lists the backend servers known to leave, for state messages.
func (s *state) leavingSignals() []*peerpb.BackendSignal {
	signals := make([]*peerpb.BackendSignal, 0, len(s.leftBackends))
	for _, id := range sortedKeys(s.leftBackends) {
		signals = append(signals, &peerpb.BackendSignal{
			BackendServer: id, Incarnation: s.leftBackends[id].incarnation, Leaving: true,
		})
	}
	return signals
}

func (s *state) liveInstances(now time.Time) []model.Instance {
	var live []model.Instance
	every := s.intervals()
	for _, id := range sortedKeys(s.instances) {
		if entry := s.instances[id]; s.instanceLive(entry, every, now) {
			live = append(live, entry.Instance)
		}
	}
	return live
}

// intervals returns the times between exchanges for the present fleet.
func (s *state) intervals() intervals {
	own := 0
	for _, entry := range s.instances {
		if entry.Zone == s.self.Zone {
			own++
		}
	}
	return planIntervals(s.interval, own, len(s.instances)-own)
}
