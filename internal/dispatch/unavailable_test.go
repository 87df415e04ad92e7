package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// serviceJob returns a job that lasts and may have some of its tasks unavailable.
func serviceJob(id string, tasks, maxUnavailable int) *workload.Job {
	job := singleJob(id, "batch", "other", tasks, 1)
	job.Steps[0].LongRunning, job.Steps[0].MaxUnavailable = true, maxUnavailable
	return job
}

// newServiceBench returns a bench with four services of four tasks that fill two workers and have run for
// some time. Their tasks come to work after startup.
func newServiceBench(t *testing.T, ran, startup time.Duration, without ...Mechanism) *bench {
	b := newBench(t, 2, false)
	b.core.Tune(Tuning{Without: without})
	b.percentOf = func(_ string, _ runKey, r *fakeRun) int {
		if b.now.Sub(r.startedAt) < startup {
			return 0
		}
		return fullPercent
	}
	for n := range 4 {
		b.add(serviceJob(fmt.Sprint("service", n), 4, 1))
	}
	b.advance(ran)
	assert.Equal(t, b.running(), 16)
	return b
}

func TestAClaimOfGuaranteedCapacityStartsBesideWorkThatLasts(t *testing.T) {
	type claimCase struct {
		claim        *workload.Job
		ran, startup time.Duration
		without      []Mechanism
		// started and stopped are the tasks of the claim and of the services, left the least that run of a service.
		started, stopped, left int
	}
	const atWork, never = time.Second, time.Hour
	for name, c := range map[string]claimCase{
		"single tasks, one of each service":       {singleJob("claim", "urgent", "acme", 3, 1), 3 * atWork, atWork, nil, 3, 3, 3},
		"a gang":                                  {gangJob("claim", "urgent", "acme", 4, 1), 3 * atWork, atWork, nil, 4, 4, 3},
		"a task that takes the place of several":  {singleJob("claim", "urgent", "acme", 1, 2), 3 * atWork, atWork, nil, 1, 2, 3},
		"more than the services can spare":        {gangJob("claim", "urgent", "acme", 5, 1), 3 * atWork, atWork, nil, 0, 0, 4},
		"services whose tasks still start":        {singleJob("claim", "urgent", "acme", 3, 1), time.Second, never, nil, 0, 0, 4},
		"services whose tasks never come to work": {gangJob("claim", "urgent", "acme", 8, 1), 2 * startupLimit, never, nil, 8, 8, 0},
		"a claim beyond the guarantee":            {singleJob("claim", "urgent", "other", 1, 1), 3 * atWork, atWork, nil, 0, 0, 4},
		"services are never stopped for claims":   {singleJob("claim", "urgent", "acme", 3, 1), 3 * atWork, atWork, []Mechanism{MechServiceVictims}, 0, 0, 4},
	} {
		t.Run(name, func(t *testing.T) {
			b := newServiceBench(t, c.ran, c.startup, c.without...)
			b.add(c.claim)
			b.advance(testBounds.MaxReclaimTime)
			assert.Equal(t, b.runningOf("claim"), c.started)
			assert.Equal(t, b.stops, c.stopped)
			for n := range 4 {
				assert.Assert(t, b.runningOf(fmt.Sprint("service", n)) >= c.left, "more tasks are stopped than the service allows")
			}
		})
	}
}
