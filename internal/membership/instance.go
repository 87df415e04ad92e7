package membership

import (
	"time"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/model"
)

// ReceivedState is the latest state message received from a peer.
type ReceivedState struct {
	State *peerpb.State
	// ReceivedAt is the local time at which it arrived.
	ReceivedAt time.Time
	// Fresh reports whether it is no older than the timeout for a peer.
	Fresh bool
}

// The states of a peer, for the log.
const (
	instanceLive         = "live"
	instanceUnresponsive = "silent"
	instanceLeaving      = "leaving"
)

// instanceEntry is the known state of one peer.
type instanceEntry struct {
	model.Instance
	// knownSince is the time at which this incarnation was first named by the
	// settings, the list or a message of its own.
	knownSince time.Time
	// listedAt is the time at which the list last contained it; zero for never.
	listedAt time.Time
	// seed reports that the settings name it. A seed is never removed.
	seed         bool
	lastState    ReceivedState
	flapDamper   flapDamper
	unresponsive bool
}

// addSeed adds an instance that the settings name.
func (s *state) addSeed(instance model.Instance, now time.Time) {
	if instance.ID == s.self.ID {
		return
	}
	s.instances[instance.ID] = &instanceEntry{Instance: instance, knownSince: now, seed: true}
}

// applyListedInstance applies an entry of the instance list. The list provides
// a peer's addresses and whether it is leaving; only the peer's own messages
// show that it is live.
func (s *state) applyListedInstance(listed api.ListedInstance, now time.Time) {
	if listed.ID == s.self.ID {
		return
	}
	entry := s.upsertInstance(listed.ID, listed.Incarnation, now)
	if entry == nil {
		return
	}
	entry.listedAt = now
	entry.Addr = listed.Addr
	entry.PeerAddr = listed.PeerAddr
	entry.Zone = listed.AvailabilityZone
	entry.Leaving = entry.Leaving || listed.Leaving
}

// applyInstanceState applies a peer's own state message.
func (s *state) applyInstanceState(message *peerpb.State, now time.Time) {
	id := message.GetInstance()
	if id == "" || id == s.self.ID {
		return
	}
	entry := s.upsertInstance(id, message.GetIncarnation(), now)
	if entry == nil {
		return
	}
	entry.Addr = message.GetAddr()
	entry.PeerAddr = message.GetPeerAddr()
	entry.Zone = message.GetAvailabilityZone()
	if message.GetLeaving() && !entry.Leaving {
		s.recordChange(subjectInstance, id, entry.Incarnation, instanceLive, instanceLeaving)
	}
	entry.Leaving = entry.Leaving || message.GetLeaving()
	entry.LastSeen = now
	entry.lastState = ReceivedState{State: message, ReceivedAt: now, Fresh: true}
	if entry.unresponsive && !entry.flapDamper.heldDown(now) {
		entry.unresponsive = false
		s.recordChange(subjectInstance, id, entry.Incarnation, instanceUnresponsive, instanceLive)
	}
}

// upsertInstance returns the entry of a peer, created or updated for a signal
// of the given incarnation. It returns nil if the signal belongs to an earlier
// incarnation than the known one.
func (s *state) upsertInstance(id string, incarnation int64, now time.Time) *instanceEntry {
	entry, ok := s.instances[id]
	if !ok {
		entry = &instanceEntry{knownSince: now}
		entry.ID = id
		entry.Incarnation = incarnation
		s.instances[id] = entry
	}
	if incarnation < entry.Incarnation {
		return nil
	}
	if incarnation > entry.Incarnation {
		entry.Incarnation = incarnation
		entry.Leaving = false
		entry.knownSince = now
	}
	return entry
}

// isLive reports whether a peer sent a message recently, or became known so
// recently that it could not have sent one yet.
func (s *state) isLive(entry *instanceEntry, intervals exchangeIntervals, now time.Time) bool {
	if entry.unresponsive {
		return false
	}
	latest := entry.LastSeen
	if entry.knownSince.After(latest) {
		latest = entry.knownSince
	}
	return now.Sub(latest) <= intervals.timeout(entry.Zone == s.self.Zone)
}

// hasRecentState reports whether the peer itself sent a message within its
// timeout.
func (s *state) hasRecentState(entry *instanceEntry, intervals exchangeIntervals, now time.Time) bool {
	return !entry.LastSeen.IsZero() && now.Sub(entry.LastSeen) <= intervals.timeout(entry.Zone == s.self.Zone)
}

// checkInstanceTimeouts marks peers that stopped responding and removes peers
// that neither the settings, the list nor a message has named for the retention
// time.
func (s *state) checkInstanceTimeouts(now time.Time) {
	intervals := s.intervals()
	for id, entry := range s.instances {
		if !entry.unresponsive && !s.isLive(entry, intervals, now) {
			entry.unresponsive = true
			s.recordChange(subjectInstance, id, entry.Incarnation, instanceLive, instanceUnresponsive)
			entry.flapDamper.recordLoss(now)
		}
		expired := now.Sub(entry.LastSeen) > s.thresholds.Retention && now.Sub(entry.listedAt) > s.thresholds.Retention
		if expired && !entry.seed && now.Sub(entry.knownSince) > s.thresholds.Retention {
			delete(s.instances, id)
		}
	}
}
