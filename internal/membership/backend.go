package membership

import (
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/chart"
	"github.com/corianderbank/corianderbank/internal/model"
)

// backendEntry is the known state of one backend server.
type backendEntry struct {
	model.BackendServer
	// knownSince is the time at which this incarnation became known or came
	// back.
	knownSince time.Time
	// lastSeen is the time at which the list last contained it or it last
	// answered.
	lastSeen time.Time
	// lastAnswer is the time of its last answer, lastProbe that of the last
	// probe sent to it.
	lastAnswer, lastProbe time.Time
	// confirmed reports that this incarnation has answered since knownSince.
	// The list may contain an incarnation that has started to leave in the
	// meantime, so the view leaves out an unconfirmed one at first (see
	// usable).
	confirmed  bool
	flapDamper flapDamper
}

// applyListedBackend applies an entry of the instance list. It reports whether
// the server is newly known to leave.
func (s *state) applyListedBackend(listed api.ListedInstance, now time.Time) bool {
	entry := s.upsertBackend(listed.ID, listed.Incarnation, now)
	if entry == nil {
		return false
	}
	entry.Addr = listed.Addr
	entry.Zone = listed.AvailabilityZone
	if listed.Leaving {
		return s.markBackendLeaving(listed.ID, listed.Incarnation, now)
	}
	return false
}

// applyBackendAnswer applies a backend server's own answer. It reports whether
// the server is newly known to leave. Only the list adds backend servers,
// because only the list contains their addresses; a leaving signal is kept in
// any case.
func (s *state) applyBackendAnswer(id string, incarnation int64, leaving bool, now time.Time) bool {
	if leaving {
		return s.markBackendLeaving(id, incarnation, now)
	}
	if _, known := s.backends[id]; !known {
		return false
	}
	if entry := s.upsertBackend(id, incarnation, now); entry != nil {
		entry.lastAnswer = now
		entry.confirmed = true
	}
	return false
}

// upsertBackend returns the entry of a backend server, created or updated for a
// signal of the given incarnation. It returns nil if the signal belongs to an
// earlier incarnation than the known one.
func (s *state) upsertBackend(id string, incarnation int64, now time.Time) *backendEntry {
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
		entry.restart(now)
		s.transitionBackend(entry, eventNewIncarnation)
		s.applyLeavingMark(entry)
	}
	entry.lastSeen = now
	if entry.State == model.BackendGone {
		s.restoreBackend(entry, now)
	}
	return entry
}

func (s *state) newBackend(id string, incarnation int64, now time.Time) *backendEntry {
	entry := &backendEntry{knownSince: now, lastSeen: now}
	entry.ID = id
	entry.Incarnation = incarnation
	entry.State = model.BackendState(s.backendChart.Initial)
	s.applyLeavingMark(entry)
	return entry
}

// restoreBackend puts a backend server that was gone back into its initial
// state, unless this incarnation is leaving or the server is held down because
// it flaps.
func (s *state) restoreBackend(entry *backendEntry, now time.Time) {
	if s.isMarkedLeaving(entry.ID, entry.Incarnation) || entry.flapDamper.heldDown(now) {
		return
	}
	entry.restart(now)
	s.recordChange(subjectBackend, entry.ID, entry.Incarnation, string(entry.State), string(s.backendChart.Initial))
	entry.State = model.BackendState(s.backendChart.Initial)
}

// transitionBackend sends an event to the state chart of a backend server.
func (s *state) transitionBackend(entry *backendEntry, event chart.Event) {
	from := entry.State
	entry.State = nextState(s.backendChart, from, event)
	s.recordChange(subjectBackend, entry.ID, entry.Incarnation, string(from), string(entry.State))
}

// applyBackendHealth applies the answer to a probe. It reports whether the
// server is newly known to leave.
func (s *state) applyBackendHealth(health api.BackendHealth, now time.Time) bool {
	newlyLeaving := s.applyBackendAnswer(health.ID, health.Incarnation, health.Leaving, now)
	if entry, ok := s.backends[health.ID]; ok && entry.Incarnation == health.Incarnation {
		entry.Slots = health.Slots
	}
	return newlyLeaving
}

// restart resets the times of an entry for a new incarnation, or for one that
// came back.
func (e *backendEntry) restart(now time.Time) {
	e.knownSince = now
	e.confirmed = false
	e.lastProbe = time.Time{}
}

// usable reports whether the view includes a backend server: it is not gone,
// and it has answered, or it has been known without an answer for at least
// BackendConfirmTimeout, or probes are disabled.
func (s *state) usable(entry *backendEntry, now time.Time) bool {
	available := entry.confirmed || !s.probesEnabled || now.Sub(entry.knownSince) >= s.thresholds.BackendConfirmTimeout
	return available && entry.State != model.BackendGone
}

// markBackendLeaving records that an incarnation leaves. It reports whether
// that is new.
func (s *state) markBackendLeaving(id string, incarnation int64, now time.Time) bool {
	mark, known := s.leavingBackends[id]
	if known && mark.incarnation >= incarnation {
		return false
	}
	s.leavingBackends[id] = leavingMark{incarnation: incarnation, at: now}
	if entry, ok := s.backends[id]; ok {
		s.applyLeavingMark(entry)
	}
	return true
}

func (s *state) isMarkedLeaving(id string, incarnation int64) bool {
	mark, ok := s.leavingBackends[id]
	return ok && incarnation <= mark.incarnation
}

func (s *state) applyLeavingMark(entry *backendEntry) {
	if s.isMarkedLeaving(entry.ID, entry.Incarnation) {
		s.transitionBackend(entry, eventLeave)
	}
}

// checkBackendTimeout applies the timeouts of one backend server, including the
// end of its ramp time. A server is only considered gone while the instance
// list is current (listFresh), because an outdated list is no evidence.
func (s *state) checkBackendTimeout(id string, entry *backendEntry, listFresh bool, now time.Time) {
	unseen := now.Sub(entry.lastSeen)
	if unseen > s.thresholds.Retention && listFresh {
		delete(s.backends, id)
		return
	}
	if listFresh && unseen > s.thresholds.BackendTimeout && entry.State != model.BackendGone {
		s.transitionBackend(entry, eventSilence)
		entry.flapDamper.recordLoss(now)
		return
	}
	if entry.State == model.BackendRamping && now.Sub(entry.knownSince) >= s.thresholds.BackendRampTime {
		s.transitionBackend(entry, eventRamped)
	}
}

// backendServers returns the usable backend servers of a zone, including
// leaving ones.
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
