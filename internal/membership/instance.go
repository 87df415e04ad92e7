package membership

import (
	"time"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/model"
)

// HeardState is the latest state message of a peer.
type HeardState struct {
	State *peerpb.State
	// HeardAt is the local time of its arrival.
	HeardAt time.Time
	// Fresh says that it is no older than silence is allowed to be.
	Fresh bool
}

// names of what is known of a peer, for the log.
const (
	instanceLive    = "live"
	instanceSilent  = "silent"
	instanceLeaving = "leaving"
)

// instanceEntry is what is known of one peer.
type instanceEntry struct {
	model.Instance
	// named is when the settings or the list first named it.
	named time.Time
	// listedAt is when the list last named it; zero for never.
	listedAt time.Time
	// seed says that the settings name it; a seed is never forgotten.
	seed  bool
	heard HeardState
	flaps flapping
	lost  bool
}

// seeded takes in an instance that the settings name.
func (s *state) seeded(instance model.Instance, now time.Time) {
	if instance.ID == s.self.ID {
		return
	}
	s.instances[instance.ID] = &instanceEntry{Instance: instance, named: now, seed: true}
}

// instanceListed takes in an entry of the instance list. The list says where a
// peer is and that it leaves; only the peer itself says that it lives.
func (s *state) instanceListed(listed api.ListedInstance, now time.Time) {
	if listed.ID == s.self.ID {
		return
	}
	entry := s.instanceSeen(listed.ID, listed.Incarnation, now)
	if entry == nil {
		return
	}
	entry.listedAt = now
	entry.Addr = listed.Addr
	entry.PeerAddr = listed.PeerAddr
	entry.Zone = listed.AvailabilityZone
	entry.Leaving = entry.Leaving || listed.Leaving
}

// instanceSaid takes in a peer's own message.
func (s *state) instanceSaid(message *peerpb.State, now time.Time) {
	id := message.GetInstance()
	if id == "" || id == s.self.ID {
		return
	}
	entry := s.instanceSeen(id, message.GetIncarnation(), now)
	if entry == nil {
		return
	}
	entry.Addr = message.GetAddr()
	entry.PeerAddr = message.GetPeerAddr()
	entry.Zone = message.GetAvailabilityZone()
	if message.GetLeaving() && !entry.Leaving {
		s.note(subjectInstance, id, entry.Incarnation, instanceLive, instanceLeaving)
	}
	entry.Leaving = entry.Leaving || message.GetLeaving()
	entry.LastSeen = now
	entry.heard = HeardState{State: message, HeardAt: now, Fresh: true}
	if entry.lost && !entry.flaps.held(now) {
		entry.lost = false
		s.note(subjectInstance, id, entry.Incarnation, instanceSilent, instanceLive)
	}
}

// instanceSeen returns the entry of a peer under an incarnation; nil if the
// sign is older than what is known.
func (s *state) instanceSeen(id string, incarnation int64, now time.Time) *instanceEntry {
	entry, ok := s.instances[id]
	if !ok {
		entry = &instanceEntry{named: now}
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
		entry.named = now
	}
	return entry
}

// instanceLive reports whether a peer was heard of lately, or was named so
// lately that it could not have been heard yet.
func (s *state) instanceLive(entry *instanceEntry, every intervals, now time.Time) bool {
	if entry.lost {
		return false
	}
	latest := entry.LastSeen
	if entry.named.After(latest) {
		latest = entry.named
	}
	return now.Sub(latest) <= every.silence(entry.Zone == s.self.Zone)
}

// heardLately reports whether the peer itself was heard within the silence that
// is allowed.
func (s *state) heardLately(entry *instanceEntry, every intervals, now time.Time) bool {
	return !entry.LastSeen.IsZero() && now.Sub(entry.LastSeen) <= every.silence(entry.Zone == s.self.Zone)
}

// instancesTick notes losses and forgets peers that nothing names any more.
func (s *state) instancesTick(now time.Time) {
	every := s.intervals()
	for id, entry := range s.instances {
		if !entry.lost && !s.instanceLive(entry, every, now) {
			entry.lost = true
			s.note(subjectInstance, id, entry.Incarnation, instanceLive, instanceSilent)
			entry.flaps.lost(now)
		}
		quiet := now.Sub(entry.LastSeen) > s.thresholds.Forget && now.Sub(entry.listedAt) > s.thresholds.Forget
		if quiet && !entry.seed && now.Sub(entry.named) > s.thresholds.Forget {
			delete(s.instances, id)
		}
	}
}
