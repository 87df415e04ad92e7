package membership

import (
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/chart"
	"github.com/corianderbank/corianderbank/internal/model"
)

// backendEntry is what is known of one backend server.
type backendEntry struct {
	model.BackendServer
	// since is when this incarnation became known.
	since time.Time
	// lastSeen is when the list named it or it answered.
	lastSeen time.Time
	// lastAnswer is when it last answered, lastProbe when it was last asked.
	lastAnswer, lastProbe time.Time
	// confirmed says that this incarnation answered since it became known. The
	// list may name an incarnation that has started to leave meanwhile, so
	// until then it is left out of the view.
	confirmed bool
	flaps     flapping
}

// backendListed takes in an entry of the instance list.
func (s *state) backendListed(listed api.ListedInstance, now time.Time) bool {
	entry := s.backendSeen(listed.ID, listed.Incarnation, now)
	if entry == nil {
		return false
	}
	entry.Addr = listed.Addr
	entry.Zone = listed.AvailabilityZone
	if listed.Leaving {
		return s.backendLeft(listed.ID, listed.Incarnation, now)
	}
	return false
}

// backendSaid takes in a backend server's own answer. Only the list makes a
// backend server known, because only it has the address; a sign of leaving is
// kept in any case.
func (s *state) backendSaid(id string, incarnation int64, leaving bool, now time.Time) bool {
	if leaving {
		return s.backendLeft(id, incarnation, now)
	}
	if _, known := s.backends[id]; !known {
		return false
	}
	if entry := s.backendSeen(id, incarnation, now); entry != nil {
		entry.lastAnswer = now
		entry.confirmed = true
	}
	return false
}

// backendSeen notes a sign of life under an incarnation and returns the entry;
// nil if the sign is older than what is known.
func (s *state) backendSeen(id string, incarnation int64, now time.Time) *backendEntry {
	entry, ok := s.backends[id]
	if !ok {
		entry = s.newBackend(id, incarnation, now)
		s.backends[id] = entry
	}
	if incarnation < entry.Incarnation {
		return nil
	}
	if incarnation > entry.Incarnation {
		entry.Incarnation = incarnation
		entry.begin(now)
		s.moveBackend(entry, eventNewIncarnation)
		s.applyLeft(entry)
	}
	entry.lastSeen = now
	if entry.State == model.BackendGone {
		s.backendBack(entry, now)
	}
	return entry
}

func (s *state) newBackend(id string, incarnation int64, now time.Time) *backendEntry {
	entry := &backendEntry{since: now, lastSeen: now}
	entry.ID = id
	entry.Incarnation = incarnation
	entry.State = model.BackendState(s.backendSM.Initial)
	s.applyLeft(entry)
	return entry
}

// backendBack lets a backend server that was gone begin anew, unless it left
// under this incarnation or flaps.
func (s *state) backendBack(entry *backendEntry, now time.Time) {
	if s.hasLeft(entry.ID, entry.Incarnation) || entry.flaps.held(now) {
		return
	}
	entry.begin(now)
	s.note(subjectBackend, entry.ID, entry.Incarnation, string(entry.State), string(s.backendSM.Initial))
	entry.State = model.BackendState(s.backendSM.Initial)
}

// moveBackend sends an event to the chart of a backend server.
func (s *state) moveBackend(entry *backendEntry, event chart.Event) {
	from := entry.State
	entry.State = next(s.backendSM, from, event)
	s.note(subjectBackend, entry.ID, entry.Incarnation, string(from), string(entry.State))
}

// backendHealth takes in the answer to a probe.
func (s *state) backendHealth(health api.BackendHealth, now time.Time) bool {
	news := s.backendSaid(health.ID, health.Incarnation, health.Leaving, now)
	if entry, ok := s.backends[health.ID]; ok && entry.Incarnation == health.Incarnation {
		entry.Slots = health.Slots
	}
	return news
}

// begin starts the time of an incarnation, or of one that came back.
func (e *backendEntry) begin(now time.Time) {
	e.since = now
	e.confirmed = false
	e.lastProbe = time.Time{}
}

// usable reports whether the view names a server: it is not gone, and it
// answered, or could not be made to for so long that the list has to do.
func (s *state) usable(entry *backendEntry, now time.Time) bool {
	known := entry.confirmed || !s.probing || now.Sub(entry.since) >= s.thresholds.BackendConfirm
	return known && entry.State != model.BackendGone
}

// backendLeft notes that an incarnation leaves. It returns whether that is new.
func (s *state) backendLeft(id string, incarnation int64, now time.Time) bool {
	mark, known := s.leftBackends[id]
	if known && mark.incarnation >= incarnation {
		return false
	}
	s.leftBackends[id] = leftMark{incarnation: incarnation, at: now}
	if entry, ok := s.backends[id]; ok {
		s.applyLeft(entry)
	}
	return true
}

func (s *state) hasLeft(id string, incarnation int64) bool {
	mark, ok := s.leftBackends[id]
	return ok && incarnation <= mark.incarnation
}

func (s *state) applyLeft(entry *backendEntry) {
	if s.hasLeft(entry.ID, entry.Incarnation) {
		s.moveBackend(entry, eventLeave)
	}
}

// backendTick judges the silence of one backend server. A list that is not
// being read says nothing, so nobody is gone by it.
func (s *state) backendTick(id string, entry *backendEntry, listFresh bool, now time.Time) {
	silent := now.Sub(entry.lastSeen)
	if silent > s.thresholds.Forget && listFresh {
		delete(s.backends, id)
		return
	}
	if listFresh && silent > s.thresholds.BackendSilence && entry.State != model.BackendGone {
		s.moveBackend(entry, eventSilence)
		entry.flaps.lost(now)
		return
	}
	if entry.State == model.BackendRamping && now.Sub(entry.since) >= s.thresholds.BackendRamp {
		s.moveBackend(entry, eventRamped)
	}
}

// backendServers returns the usable backend servers of a zone, and the leaving
// ones.
func (s *state) backendServers(zone string, now time.Time) []model.BackendServer {
	var servers []model.BackendServer
	for _, id := range sortedKeys(s.backends) {
		entry := s.backends[id]
		if entry.Zone == zone && s.usable(entry, now) {
			servers = append(servers, entry.BackendServer)
		}
	}
	return servers
}
