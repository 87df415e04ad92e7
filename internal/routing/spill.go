package routing

import (
	"math"
	"time"
)

// Load pattern: one availability zone has more load than it can carry, or has lost
// its backend servers, while another has room.
//
// Without spill callers of the one zone are refused while slots of the other are
// empty. Without hysteresis the zones send their load back and forth, each late
// by the time that a load level takes to arrive.
const (
	// spillOnLoad starts spilling: half as many requests wait as run.
	spillOnLoad = 1.5
	// spillOffLoad ends it: nothing waits on average.
	spillOffLoad = 0.95
	// remoteOnLoad and remoteOffLoad bound the load of the zone that takes it.
	remoteOnLoad  = 0.7
	remoteOffLoad = 0.95
	// spillHold is how long the load must last before spilling starts: longer
	// than a burst that the queue absorbs.
	spillHold = 200 * time.Millisecond
	// spillStep is how much of the load moves with each update, and maxSpill the
	// most; a remote zone shows its new load to us only after a few updates.
	spillStep = 0.05
	maxSpill  = 0.6
)

// ZoneLoad is the load level of another availability zone.
type ZoneLoad struct {
	Zone string
	Load float64
}

// Spill decides what part of the requests goes to another zone. Its methods must
// not be called concurrently.
type Spill struct {
	zone string
	// share is the part of the requests that goes there.
	share float64
	// overSince is when the local load rose above spillOnLoad.
	overSince time.Time
	// credit spreads the spilled requests evenly.
	credit float64
}

// Update takes in the load levels. It is called at a regular interval. An infinite local load says that no backend server takes work here:
// then everything goes to the zone with the least load.
func (s *Spill) Update(local float64, remotes []ZoneLoad, now time.Time) {
	if best, found := least(remotes); found && math.IsInf(local, 1) {
		s.zone, s.share = best.Zone, 1
		return
	}
	if s.zone == "" {
		s.start(local, remotes, now)
		return
	}
	remote, known := loadOf(remotes, s.zone)
	switch {
	case !known || remote > remoteOffLoad || local < spillOffLoad:
		s.share -= 2 * spillStep
	case local > spillOnLoad && remote < remoteOnLoad:
		s.share = min(s.share+spillStep, maxSpill)
	}
	s.share = min(s.share, maxSpill)
	if s.share <= 0 || !known {
		*s = Spill{}
	}
}

func (s *Spill) start(local float64, remotes []ZoneLoad, now time.Time) {
	if local < spillOnLoad {
		s.overSince = time.Time{}
		return
	}
	if s.overSince.IsZero() {
		s.overSince = now
	}
	best, found := least(remotes)
	if found && best.Load < remoteOnLoad && now.Sub(s.overSince) >= spillHold {
		s.zone, s.share = best.Zone, spillStep
	}
}

// Next says which zone the next request goes to; empty for this one.
func (s *Spill) Next() string {
	if s.zone == "" {
		return ""
	}
	s.credit += s.share
	if s.credit < 1 {
		return ""
	}
	s.credit--
	return s.zone
}

// Rescue returns the zone that takes a request which would be refused here;
// empty if none has room. A zone that sheds has a short queue, so that its load
// level alone does not show what it refuses.
func Rescue(remotes []ZoneLoad) string {
	best, found := least(remotes)
	if !found || best.Load >= remoteOnLoad {
		return ""
	}
	return best.Zone
}

// Active returns the zone and the part of the requests that goes there.
func (s *Spill) Active() (zone string, share float64) { return s.zone, s.share }

func loadOf(remotes []ZoneLoad, zone string) (float64, bool) {
	for _, remote := range remotes {
		if remote.Zone == zone {
			return remote.Load, true
		}
	}
	return 0, false
}

func least(remotes []ZoneLoad) (ZoneLoad, bool) {
	var best ZoneLoad
	found := false
	for _, remote := range remotes {
		if !found || remote.Load < best.Load {
			best, found = remote, true
		}
	}
	return best, found
}
