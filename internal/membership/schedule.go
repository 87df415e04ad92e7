package membership

import (
	"time"

	"github.com/corianderbank/corianderbank/internal/backoff"
	"github.com/corianderbank/corianderbank/internal/model"
)

// This file answers the pattern of a fleet that grows: with one exchange for
// each pair at a fixed interval, what an instance sends grows with the number
// of its peers, and at 60 instances it is many times what the control of a
// small instance may take. So the number of exchanges a second is bounded and
// the interval grows with the fleet. The availability zone comes first, because
// its instances share backend servers and the placer role; instances of other
// zones matter to forwarded requests only. News (a sign of leaving, a new
// configuration) does not wait for an exchange: it goes to everyone at once.

const (
	// exchangesPerSecond bounds the exchanges of an instance with the peers of
	// its own availability zone, and again with those of all the others. Six
	// keep three peers at half a second, which is today's size.
	exchangesPerSecond = 6
	// otherZoneFactor is how much longer the interval to other zones is at
	// least.
	otherZoneFactor = 2
	// ownSilentBeats and otherSilentBeats are the intervals without a word
	// after which a peer is not live. Fewer for other zones, whose interval is
	// long already.
	ownSilentBeats   = 6
	otherSilentBeats = 3
)

// intervals are the times between two exchanges with one peer.
type intervals struct {
	own, other time.Duration
}

// planIntervals returns the intervals for a number of peers.
func planIntervals(base time.Duration, ownPeers, otherPeers int) intervals {
	return intervals{
		own:   max(base, time.Duration(ownPeers)*time.Second/exchangesPerSecond),
		other: max(otherZoneFactor*base, time.Duration(otherPeers)*time.Second/exchangesPerSecond),
	}
}

func (i intervals) of(sameZone bool) time.Duration {
	if sameZone {
		return i.own
	}
	return i.other
}

// silence returns how long a peer may be silent and still be live.
func (i intervals) silence(sameZone bool) time.Duration {
	if sameZone {
		return ownSilentBeats * i.own
	}
	return otherSilentBeats * i.other
}

// schedule says which peers are due for an exchange. It is pure and used by the
// gossip duty alone.
type schedule struct {
	self model.Instance
	next map[string]time.Time
}

func newSchedule(self model.Instance) *schedule {
	return &schedule{self: self, next: make(map[string]time.Time)}
}

// due returns the peers to talk to now. Of each pair the instance with the
// lower id begins, and the answer serves the other; the other one begins only
// if it has heard nothing for two intervals, for example because it is new and
// the first does not know it yet. An urgent peer is due at any time. The fraction,
// from 0 to 1, spreads the exchanges of instances that started together.
func (s *schedule) due(now time.Time, peers []model.Instance, every intervals, urgent func(id string) bool, fraction func() float64) []model.Instance {
	var due []model.Instance
	next := make(map[string]time.Time, len(peers))
	for _, peer := range peers {
		interval := every.of(peer.Zone == s.self.Zone)
		at, known := s.next[peer.ID]
		news := urgent(peer.ID)
		if known && now.Before(at) && !news {
			next[peer.ID] = at
			continue
		}
		next[peer.ID] = now.Add(backoff.Spread(interval, fraction()) + interval/4)
		if news || !known || s.begins(now, peer, interval) {
			due = append(due, peer)
		}
	}
	s.next = next
	return due
}

func (s *schedule) begins(now time.Time, peer model.Instance, interval time.Duration) bool {
	return s.self.ID < peer.ID || now.Sub(peer.LastSeen) > 2*interval
}
