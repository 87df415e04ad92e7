package deployment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/workload"
)

func TestACallerIsToldToComeBackAtOnceOnlyOnceTheBalancerLeadsElsewhere(t *testing.T) {
	start := time.Unix(100, 0)
	type check struct {
		at    time.Duration
		ready bool
	}
	for sentence, c := range map[string]struct {
		checks []check
		at     time.Duration
		want   time.Duration
	}{
		"no check was seen yet":                           {nil, 0, comeBackSoonest},
		"the last check found it ready":                   {[]check{{0, true}}, 300 * time.Millisecond, comeBackSoonest},
		"the first miss was just now":                     {[]check{{0, true}, {time.Second, false}}, time.Second, comeBackSoonest},
		"the second miss comes before its tries are over": {[]check{{0, true}, {time.Second, false}}, 1600 * time.Millisecond, 0},
		"two misses":  {[]check{{0, false}, {time.Second, false}}, 1100 * time.Millisecond, 0},
		"many misses": {[]check{{0, false}, {time.Second, false}, {2 * time.Second, false}}, 2 * time.Second, 0},
		"ready again after two misses, the balancer is back": {[]check{{0, false}, {time.Second, false}, {2 * time.Second, true}}, 2 * time.Second, comeBackSoonest},
	} {
		t.Run(sentence, func(t *testing.T) {
			var r rotation
			for _, check := range c.checks {
				r.checked(check.ready, start.Add(check.at))
			}
			assert.Equal(t, comeBackElsewhere(r.outIn(start.Add(c.at))), c.want)
		})
	}
}

func TestACallerOfACutOffZoneIsLedElsewhereAtOnceOnceTheBalancerKnows(t *testing.T) {
	i, _ := cutOffInstance(t)
	caller := Caller{Queue: &workload.Queue{Name: "q"}}
	i.cut.notice(bootTime())
	retryAfter := func() (time.Duration, bool) {
		return api.RetryAfterOf(i.Submit(t.Context(), caller, &workload.Job{ID: "job"}))
	}

	after, told := retryAfter()
	assert.Assert(t, told)
	assert.Equal(t, after, comeBackSoonest)
	for range missesOut {
		assert.Assert(t, !i.CheckReady())
	}
	after, told = retryAfter()
	assert.Assert(t, told, "at once is said, not left out")
	assert.Equal(t, after, time.Duration(0))
}
