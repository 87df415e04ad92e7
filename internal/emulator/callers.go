package emulator

import "time"

const (
	// callerTimeout is the time for which a caller tries to submit a job;
	// callerRetryPause is the pause between tries, as requested by the retry-after of a
	// refusal.
	callerTimeout    = 3 * time.Second
	callerRetryPause = 1 * time.Second
	// acceptLatency is the time the store takes to store a job.
	acceptLatency = 10 * time.Millisecond
)

// acceptedAt returns the time at which a job is accepted, and false if its caller stops
// trying first. A try succeeds if the store is up and, in addition, the caller's zone is
// not partitioned or the balancer already routes the caller to another zone.
func (sim *simulation) acceptedAt(a *arrival) (time.Duration, bool) {
	for at := a.submitAt; at <= a.submitAt+callerTimeout; at += callerRetryPause {
		if sim.day.storeDown(at) {
			continue
		}
		if p := sim.day.partitionAt(a.zone, sim.deployment.Zones, at); p != nil && at < seconds(p.From)+a.rerouteDelay {
			continue
		}
		return at + acceptLatency, true
	}
	return 0, false
}
