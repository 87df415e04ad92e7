package routing

import (
	"math"
	"time"
)

// Load pattern: one availability zone is overloaded or has lost its backend
// servers, while another one has free capacity.
//
// Without spill, callers of the overloaded zone are refused while slots of the
// other zone are free. Without hysteresis, the zones send their load back and
// forth, because each acts on load levels that are late by their transmission.
const (
	// spillStartLoad is the load from which requests spill: half as many
	// requests wait as run.
	spillStartLoad = 1.5
	// spillStopLoad is the load below which spilling is reduced: on average no
	// request waits.
	spillStopLoad = 0.95
	// remoteStartLoad is the load of the receiving zone below which spilling
	// starts, its share increases, and the zone receives requests that are refused
	// here. remoteStopLoad is the load above which the share is reduced.
	remoteStartLoad = 0.7
	remoteStopLoad  = 0.95
	// spillDelay is how long the overload must last before spilling starts. It
	// is longer than a burst that the queue absorbs.
	spillDelay = 200 * time.Millisecond
	// spillStep is the increase of the spilled share with each update, and
	// maxSpillShare its maximum while backend servers accept work in this zone.
	// The share is reduced in steps of twice spillStep. The steps are small
	// because the new load of a remote zone is known here only after a few
	// updates.
	spillStep     = 0.05
	maxSpillShare = 0.6
)

// ZoneLoad is the load level of another availability zone.
type ZoneLoad struct {
	Zone string
	Load float64
}

// Spill decides what share of the requests is sent to another zone. Its methods
// must not be called concurrently.
type Spill struct {
	zone string
	// share is the part of the requests that is sent to zone.
	share float64
	// overloadedSince is the time at which the local load reached
	// spillStartLoad, zero while it is lower.
	overloadedSince time.Time
	// credit accumulates share per request, which distributes the spilled
	// requests evenly.
	credit float64
}

// Update adjusts the share to the load levels. It must be called at a regular
// interval. An infinite local load means that no backend server accepts work in
// this zone; then all requests are sent to the zone with the least load.
func (s *Spill) Update(local float64, remotes []ZoneLoad, now time.Time) {
	if best, found := leastLoaded(remotes); found && math.IsInf(local, 1) {
		s.zone, s.share = best.Zone, 1
		return
	}
	if s.zone == "" {
		s.start(local, remotes, now)
		return
	}
	remote, known := loadOf(remotes, s.zone)
	switch {
	case !known || remote > remoteStopLoad || local < spillStopLoad:
		s.share -= 2 * spillStep
	case local > spillStartLoad && remote < remoteStartLoad:
		s.share = min(s.share+spillStep, maxSpillShare)
	}
	s.share = min(s.share, maxSpillShare)
	if s.share <= 0 || !known {
		*s = Spill{}
	}
}

func (s *Spill) start(local float64, remotes []ZoneLoad, now time.Time) {
	if local < spillStartLoad {
		s.overloadedSince = time.Time{}
		return
	}
	if s.overloadedSince.IsZero() {
		s.overloadedSince = now
	}
	best, found := leastLoaded(remotes)
	if found && best.Load < remoteStartLoad && now.Sub(s.overloadedSince) >= spillDelay {
		s.zone, s.share = best.Zone, spillStep
	}
}

// Next returns the zone that the next request is sent to, or "" for this zone.
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

// OverflowZone returns the zone for a request that would otherwise be refused in this
// zone, or "" if no zone has free capacity. It is independent of the spilled
// share: a zone that sheds load has a short queue, so its load level does not
// show the refused requests.
func OverflowZone(remotes []ZoneLoad) string {
	best, found := leastLoaded(remotes)
	if !found || best.Load >= remoteStartLoad {
		return ""
	}
	return best.Zone
}

// Active returns the zone to which requests spill, "" if none, and their share.
func (s *Spill) Active() (zone string, share float64) { return s.zone, s.share }

func loadOf(remotes []ZoneLoad, zone string) (float64, bool) {
	for _, remote := range remotes {
		if remote.Zone == zone {
			return remote.Load, true
		}
	}
	return 0, false
}

func leastLoaded(remotes []ZoneLoad) (ZoneLoad, bool) {
	var best ZoneLoad
	found := false
	for _, remote := range remotes {
		if !found || remote.Load < best.Load {
			best, found = remote, true
		}
	}
	return best, found
}
