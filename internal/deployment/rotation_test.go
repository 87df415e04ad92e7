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

func TestACutOffInstanceSendsRetryAfterZeroOnceTheBalancerRemovedIt(t *testing.T) {
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
	assert.Assert(t, set, "zero is sent explicitly")
	assert.Equal(t, after, time.Duration(0))
}
