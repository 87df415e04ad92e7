package emulator

import "time"

const (
	// callerPatience is how long a caller tries to hand a job in, retryPause the time
	// after which it comes back, as it was told.
	callerPatience = 3 * time.Second
	retryPause     = 1 * time.Second
	// acceptTakes is how long the store takes to have a job.
	acceptTakes = 10 * time.Millisecond
)

// acceptedAt is when a caller's job is accepted: at its first try at which the store
// is there and reached from its zone, or from where the balancer leads it; false if
// it gives up before.
func (pl *player) acceptedAt(a *arrival) (time.Duration, bool) {
	for at := a.at; at <= a.at+callerPatience; at += retryPause {
		if pl.day.storeAway(at) {
			continue
		}
		if c := pl.day.cutAt(a.zone, pl.deployment.Zones, at); c != nil && at < seconds(c.From)+a.reroute {
			continue
		}
		return at + acceptTakes, true
	}
	return 0, false
}
