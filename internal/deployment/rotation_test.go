package deployment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/workload"
)

func TestRetryAfterIsZeroOnlyOnceTheBalancerRoutesElsewhere(t *testing.T) {
	start := time.Unix(100, 0)
	type check struct {
		at    time.Duration
		ready bool
	}
	for name, c := range map[string]struct {
		checks []check
		at     time.Duration
		want   time.Duration
	}{
		"no check yet":                    {nil, 0, minRetryAfter},
		"the last check found it ready":   {[]check{{0, true}}, 300 * time.Millisecond, minRetryAfter},
		"the first check failed just now": {[]check{{0, true}, {time.Second, false}}, time.Second, minRetryAfter},
		"the second failed check comes before the caller's attempts are over": {[]check{{0, true}, {time.Second, false}}, 1600 * time.Millisecond, 0},
		"two failed checks":                   {[]check{{0, false}, {time.Second, false}}, 1100 * time.Millisecond, 0},
		"many failed checks":                  {[]check{{0, false}, {time.Second, false}, {2 * time.Second, false}}, 2 * time.Second, 0},
		"ready again after two failed checks": {[]check{{0, false}, {time.Second, false}, {2 * time.Second, true}}, 2 * time.Second, minRetryAfter},
	} {
		t.Run(name, func(t *testing.T) {
			var r rotation
			for _, check := range c.checks {
				r.recordCheck(check.ready, start.Add(check.at))
			}
			assert.Equal(t, retryAfterElsewhere(r.timeUntilRemoval(start.Add(c.at))), c.want)
		})
	}
}

func TestACutOffInstanceSendsRetryAfterZeroOnceTheBalancerRemovedItsZone(t *testing.T) {
	i, _ := newCutOffInstance(t)
	caller := Caller{Queue: &workload.Queue{Name: "q"}}
	i.partition.markCutOff(bootTime())
	retryAfter := func() (time.Duration, bool) {
		return api.RetryAfterOf(i.Submit(t.Context(), caller, &workload.Job{ID: "job"}))
	}

	after, set := retryAfter()
	assert.Assert(t, set)
	assert.Equal(t, after, minRetryAfter)
	for range failedChecksUntilRemoval {
		assert.Assert(t, !i.CheckReady())
	}
	after, set = retryAfter()
	assert.Assert(t, set)
	assert.Equal(t, after, minRetryAfter, "other instances of the zone may still be routed to")
	i.partition.cutOffSince = i.partition.cutOffSince.Add(-failedChecksUntilRemoval * balancerCheckInterval)
	after, set = retryAfter()
	assert.Assert(t, set, "zero is sent explicitly")
	assert.Equal(t, after, time.Duration(0))
}

// Callers of a zone of fourteen instances arrive over the first two and a half seconds of a cut, and
// make five attempts each. The balancer checks each instance at its own moments.
func TestCallersOfACutOffZoneAreServedElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		wait   func(own, zone time.Duration) time.Duration
		served bool
	}{
		"by the removal of the zone":     {func(own, zone time.Duration) time.Duration { return max(own, zone) }, true},
		"by that of the instance itself": {func(own, _ time.Duration) time.Duration { return own }, false},
	} {
		t.Run(name, func(t *testing.T) {
			const instances, attempts = 14, 5
			cut := time.Unix(100, 0)
			removal := func(instance int) time.Time {
				firstCheck := time.Duration(instance) * balancerCheckInterval / instances
				return cut.Add(firstCheck + (failedChecksUntilRemoval-1)*balancerCheckInterval)
			}
			unserved := 0
			for arrival := range 250 {
				now := cut.Add(time.Duration(arrival) * 10 * time.Millisecond)
				served := false
				for attempt := range attempts {
					instance := (arrival*7 + attempt*5) % instances
					for !now.Before(removal(instance)) && instance < instances-1 {
						instance++ // the balancer routes to those that are left
					}
					if served = !now.Before(removal(instance)); served {
						break
					}
					own := max(removal(instance).Sub(now), 0)
					wait := retryAfterElsewhere(c.wait(own, timeUntilZoneRemoval(cut, now)))
					now = now.Add(wait + time.Duration(attempt+1)*50*time.Millisecond)
				}
				if !served {
					unserved++
				}
			}
			assert.Equal(t, unserved == 0, c.served, "%d of 250 callers are not served", unserved)
		})
	}
}
