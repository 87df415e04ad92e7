package membership

import (
	"time"

	"github.com/corianderbank/corianderbank/internal/backoff"
	"github.com/corianderbank/corianderbank/internal/model"
)

// With one exchange for each pair of instances at a fixed interval, the traffic
// of an instance would grow with the number of its peers, and at 60 instances
// it would be many times what the control traffic of a small instance may use.
// So the number of exchanges per second is bounded and the interval grows with
// the fleet. Peers of the same availability zone take precedence, because they
// share backend servers and the placer role; instances of other zones matter
// for forwarded requests only. Urgent changes do not wait for a scheduled
// exchange: a leaving signal is sent to every peer at once, a new configuration
// to every peer that lacks it.

const (
	// exchangesPerSecond bounds the exchanges of an instance with the peers of
	// its own availability zone, and separately those with all other peers. At
	// six, an availability zone with three peers per instance, the current
	// size, keeps an interval of half a second.
	exchangesPerSecond = 6
	// otherZoneFactor is the minimum ratio of the interval for other zones to
	// the base interval.
	otherZoneFactor = 2
	// sameZoneTimeoutIntervals and otherZoneTimeoutIntervals are the numbers of
	// intervals without a message after which a peer is not live. The number is
	// smaller for other zones, whose interval is already long.
	sameZoneTimeoutIntervals  = 6
	otherZoneTimeoutIntervals = 3
)

// exchangeIntervals are the times between two exchanges with one peer.
type exchangeIntervals struct {
	sameZone, otherZones time.Duration
}

// planIntervals returns the intervals for the given numbers of peers.
func planIntervals(base time.Duration, sameZonePeers, otherZonePeers int) exchangeIntervals {
	return exchangeIntervals{
		sameZone:   max(base, time.Duration(sameZonePeers)*time.Second/exchangesPerSecond),
		otherZones: max(otherZoneFactor*base, time.Duration(otherZonePeers)*time.Second/exchangesPerSecond),
	}
}

func (i exchangeIntervals) forPeer(sameZone bool) time.Duration {
	if sameZone {
		return i.sameZone
	}
	return i.otherZones
}

// timeout returns how long a peer without a message is still live.
func (i exchangeIntervals) timeout(sameZone bool) time.Duration {
	if sameZone {
		return sameZoneTimeoutIntervals * i.sameZone
	}
	return otherZoneTimeoutIntervals * i.otherZones
}

// schedule determines the peers that are due for an exchange. It does no I/O
// and is used by the gossip loop alone.
type schedule struct {
	self   model.Instance
	nextAt map[string]time.Time
}

func newSchedule(self model.Instance) *schedule {
	return &schedule{self: self, nextAt: make(map[string]time.Time)}
}

// due returns the peers to exchange states with now. In each pair, the instance
// with the lower id initiates the exchange, whose response also updates the
// other one. The instance with the higher id initiates it only if it has
// received nothing for two intervals, for example because it is new and not
// known to the other one yet. An urgent peer is always due. The random function
// returns values from 0 to 1, which spread the exchanges of instances that
// started together.
func (s *schedule) due(now time.Time, peers []model.Instance, intervals exchangeIntervals, urgent func(id string) bool, random func() float64) []model.Instance {
	var due []model.Instance
	next := make(map[string]time.Time, len(peers))
	for _, peer := range peers {
		interval := intervals.forPeer(peer.Zone == s.self.Zone)
		dueAt, known := s.nextAt[peer.ID]
		isUrgent := urgent(peer.ID)
		if known && now.Before(dueAt) && !isUrgent {
			next[peer.ID] = dueAt
			continue
		}
		next[peer.ID] = now.Add(backoff.Jitter(interval, random()) + interval/4)
		if isUrgent || !known || s.initiates(now, peer, interval) {
			due = append(due, peer)
		}
	}
	s.nextAt = next
	return due
}

func (s *schedule) initiates(now time.Time, peer model.Instance, interval time.Duration) bool {
	return s.self.ID < peer.ID || now.Sub(peer.LastSeen) > 2*interval
}
