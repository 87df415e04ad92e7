package deployment

import (
	"sync"
	"time"
)

// This file chooses the Retry-After for callers of an availability zone that is cut
// off. A caller that is asked to wait a second although the balancer already routes its
// next attempt elsewhere loses that second, and an urgent job can wait for little more.
// A caller that is asked to retry at once while the balancer still routes here uses up
// all its attempts in one second. An instance therefore tracks the readiness checks
// that it answered, and derives from them when the balancer removes it.

const (
	// balancerCheckInterval is the interval at which a balancer checks whether an
	// instance is ready, and failedChecksUntilRemoval the number of consecutive checks
	// that must fail until it routes no callers there.
	balancerCheckInterval    = 1 * time.Second
	failedChecksUntilRemoval = 2
	// callerRetrySpan is the time over which a caller that is asked to retry at once
	// makes its attempts: it pauses between them on its own, about a tenth of a second
	// longer each time.
	callerRetrySpan = 500 * time.Millisecond
)

// rotation tracks whether the balancer still routes callers to this instance.
type rotation struct {
	mu sync.Mutex
	// failedChecks counts the most recent consecutive checks that were answered with
	// not ready; checkedAt is the time of the latest check.
	failedChecks int
	checkedAt    time.Time
}

// recordCheck records the answer to a check.
func (r *rotation) recordCheck(ready bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkedAt = now
	r.failedChecks++
	if ready {
		r.failedChecks = 0
	}
}

// timeUntilRemoval returns how long the balancer will continue to route callers here if
// no check finds the instance ready.
func (r *rotation) timeUntilRemoval(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	remaining := time.Duration(failedChecksUntilRemoval-r.failedChecks) * balancerCheckInterval
	if r.checkedAt.IsZero() || remaining <= 0 {
		return max(remaining, 0)
	}
	return max(remaining-now.Sub(r.checkedAt), 0)
}

// timeUntilZoneRemoval returns how long the balancer may still route callers to instances of an
// availability zone that was cut off at a time. It checks each instance at its own moments, and
// callers of the zone go to those that are left, so the removal of one of them does not help.
func timeUntilZoneRemoval(cutOffSince, now time.Time) time.Duration {
	return max(failedChecksUntilRemoval*balancerCheckInterval-now.Sub(cutOffSince), 0)
}

// retryAfterElsewhere returns the Retry-After for a caller that the balancer will route
// to other instances after untilRemoval: zero if the caller's attempts last until then.
func retryAfterElsewhere(untilRemoval time.Duration) time.Duration {
	if untilRemoval <= callerRetrySpan {
		return 0
	}
	return minRetryAfter
}
