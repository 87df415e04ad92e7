package process

import (
	"context"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/standin"
	"github.com/corianderbank/corianderbank/internal/standin/drive"
)

// oneAccount lets one client account do everything.
const oneAccount = `{"client_accounts": [{"name": "acme"}], "rules": [{"name": "all", "when": {}, "then": {"retries": 2}}]}`

// anyOutcome is what disturbed work may end with.
var anyOutcome = []api.Outcome{api.OutcomeDone, api.OutcomeNotRun, api.OutcomeUnknown}

// run drives work through entry instances in the background.
func run(c *cluster, input drive.Input, entries ...*node) (wait func() []drive.Answer) {
	var answers []drive.Answer
	var err error
	var done sync.WaitGroup
	done.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		answers, err = drive.Run(ctx, c.fleet(entries...), input)
	})
	return func() []drive.Answer {
		done.Wait()
		assert.NilError(c.t, err)
		return answers
	}
}

func noFaults(t *testing.T, faults []string) {
	t.Helper()
	assert.Equal(t, strings.Join(faults, "\n"), "")
}

func TestKeyedRequestRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		disturb, heal func(c *cluster)
		missing       bool
	}{
		"an instance is killed": {
			func(c *cluster) { c.entries[0].kill() }, func(c *cluster) { c.startEntry(0) }, true,
		},
		"an instance is frozen for a while": {
			func(c *cluster) { c.entries[0].freeze() }, func(c *cluster) { c.entries[0].thaw() }, true,
		},
		"the platform is down for a while": {
			func(c *cluster) { c.fault(c.platform, standin.PlatformFaults{Down: true}) },
			func(c *cluster) { c.fault(c.platform, standin.PlatformFaults{}) }, false,
		},
		"the platform is slow and loses answers": {
			func(c *cluster) { c.fault(c.platform, standin.PlatformFaults{SlowMS: 100, LoseAnswers: 10}) },
			func(c *cluster) { c.fault(c.platform, standin.PlatformFaults{}) }, false,
		},
		"an instance is cut off from the platform": {
			func(c *cluster) { c.entries[0].relay.setCut(true) }, func(c *cluster) { c.entries[0].relay.setCut(false) }, false,
		},
		"connections to backend servers break off": {
			func(c *cluster) { c.backends[0].relay.setCut(true) }, func(c *cluster) { c.backends[0].relay.setCut(false) }, false,
		},
		"answers are swapped and truncated": {
			func(c *cluster) { c.fault(c.backends[0].addr, standin.BackendFaults{SwapAnswers: 3, Truncate: 3}) },
			func(c *cluster) { c.fault(c.backends[0].addr, standin.BackendFaults{}) }, false,
		},
	}
	dimensions := size{entries: 2, backends: 2, configuration: oneAccount}
	c := startCluster(t, dimensions)
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := c.in(t) // the cases share the cluster, one after the other
			before := len(c.records().Executions)
			input := requestsOf(name)
			first := run(c, input, c.entries...)
			c.wait("work has begun", func() bool { return len(c.records().Executions) >= before+3 })
			tc.disturb(c)
			time.Sleep(500 * time.Millisecond) // the disturbance lasts; nothing depends on how long
			tc.heal(c)
			answers := first()
			noFaults(t, drive.Check(answers, c.records(), drive.Tolerance{MissingAnswers: tc.missing}))
			c.settle(dimensions)
			again := run(c, input, c.entries...)()
			noFaults(t, drive.Check(again, c.records(), drive.Tolerance{}))
			noFaults(t, drive.Check(append(answers, again...), c.records(), drive.Tolerance{MissingAnswers: tc.missing}))
		})
	}
}

// requestsOf is the work of one case: keyed requests that come to both
// instances, and idempotent ones among them.
func requestsOf(name string) drive.Input {
	name = strings.ReplaceAll(name, " ", "-")
	return drive.Input{Items: []drive.Item{{
		Name: name + "-award", Count: 20, SpacingMS: 20, Deliveries: 2, Keyed: true, Expect: anyOutcome, Work: standin.WorkPayload{WorkMS: 100},
		Request: &api.RequestSubmission{Account: "acme", Kind: "award", DeadlineMS: 3000},
	}, {
		Name: name + "-check", Count: 10, SpacingMS: 40, Expect: anyOutcome, Work: standin.WorkPayload{WorkMS: 50},
		Request: &api.RequestSubmission{Account: "acme", Kind: "check", Idempotent: true, DeadlineMS: 3000},
	}}}
}

func TestGangRunsWholeOrNotAtAll(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		disturb, heal func(c *cluster, placer int)
	}{
		"the placer is killed": {
			func(c *cluster, placer int) { c.entries[placer].kill() }, func(c *cluster, placer int) { c.startEntry(placer) },
		},
		"the placer is frozen past its lease": {
			func(c *cluster, placer int) {
				c.entries[placer].freeze()
				c.wait("another instance places", func() bool {
					now := c.placer()
					return now >= 0 && now != placer
				})
			},
			func(c *cluster, placer int) { c.entries[placer].thaw() },
		},
		"a worker is cut off past its leases": {
			func(c *cluster, _ int) {
				c.workers[0].relay.setCut(true)
				c.wait("the cut worker runs nothing", func() bool {
					var report api.WorkerReport
					return get(c.workers[0].addr, "/v1/report", &report) == nil && !runs(report)
				})
			},
			func(c *cluster, _ int) { c.workers[0].relay.setCut(false) },
		},
		"the platform is down for a while": {
			func(c *cluster, _ int) { c.fault(c.platform, standin.PlatformFaults{Down: true}) },
			func(c *cluster, _ int) {
				time.Sleep(time.Second) // the outage lasts; nothing depends on how long
				c.fault(c.platform, standin.PlatformFaults{})
			},
		},
	}
	dimensions := size{entries: 2, workers: 4, configuration: strings.Replace(oneAccount, `"acme"`,
		`"acme", "guarantees": {"zone-1": [{"tasks": 2, "accelerators_per_task": 8, "same_rack": true, "count": 2}]}`, 1)}
	c := startCluster(t, dimensions)
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := c.in(t) // the cases share the cluster, one after the other
			c.wait("the zone has a placer", func() bool { return c.placer() >= 0 })
			placer := c.placer()
			before := len(c.records().Starts)
			jobs := run(c, gangsOf(name), c.entries[1-placer])
			c.wait("a gang has started", func() bool { return len(c.records().Starts) >= before+2 })
			tc.disturb(c, placer)
			tc.heal(c, placer)
			answers := jobs()
			noFaults(t, drive.Check(answers, c.records(), drive.Tolerance{StoppedParts: true}))
			c.settle(dimensions)
		})
	}
}

// gangsOf is the work of one case: gangs that may be started again, and gangs
// that may not.
func gangsOf(name string) drive.Input {
	name = strings.ReplaceAll(name, " ", "-")
	shape := api.Shape{Tasks: 2, AcceleratorsPerTask: 8, SameRack: true}
	return drive.Input{Items: []drive.Item{{
		Name: name + "-suite", Count: 4, SpacingMS: 10, Keyed: true, Expect: anyOutcome, Work: standin.WorkPayload{RunMS: 400},
		Job: &api.JobSubmission{Account: "acme", Kind: "suite", Shape: shape, Idempotent: true, DeclaredRunS: 1},
	}, {
		Name: name + "-award", Count: 3, SpacingMS: 10, Keyed: true, Expect: anyOutcome, Work: standin.WorkPayload{RunMS: 400},
		Job: &api.JobSubmission{Account: "acme", Kind: "award", Shape: shape, DeclaredRunS: 1},
	}}}
}

func runs(report api.WorkerReport) bool {
	for _, reservation := range report.Reservations {
		if reservation.State == api.TaskRunning {
			return true
		}
	}
	return false
}

func TestPlannedStopCutsNoRequest(t *testing.T) {
	t.Parallel()
	cases := map[string]func(c *cluster) []*node{
		"one instance": func(c *cluster) []*node { return c.entries[:1] },
		"one instance that is told twice": func(c *cluster) []*node {
			c.entries[0].signal(syscall.SIGTERM)
			return c.entries[:1]
		},
		"every instance at once": func(c *cluster) []*node {
			for _, entry := range c.entries {
				entry.signal(syscall.SIGTERM)
			}
			return c.entries
		},
	}
	for name, stopping := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, size{entries: 2, backends: 2, configuration: oneAccount})
			input := drive.Input{Items: []drive.Item{{
				Name: "check", Count: 16, Work: standin.WorkPayload{WorkMS: 1000},
				Request: &api.RequestSubmission{Account: "acme", Kind: "check", DeadlineMS: 30000},
			}}}
			answers := run(c, input, c.entries[0])
			c.wait("every request runs", func() bool { return len(c.records().Executions) == 16 })
			for _, entry := range stopping(c) {
				assert.NilError(t, entry.stop())
			}
			noFaults(t, drive.Check(answers(), c.records(), drive.Tolerance{}))
		})
	}
}

func TestPlannedStopAnswersWhoWaitsForAJob(t *testing.T) {
	t.Parallel()
	c := startCluster(t, size{entries: 2, workers: 1, configuration: oneAccount})
	var job api.JobAnswer
	response, err := client.R().SetBody(api.JobSubmission{
		Account: "acme", Kind: "long", Idempotent: true, DeclaredRunS: 60, Shape: api.Shape{Tasks: 1, AcceleratorsPerTask: 1},
		Payload: []byte(`{"run_ms": 60000}`),
	}).SetResult(&job).Post("http://" + c.entries[0].addr + "/v1/jobs")
	assert.NilError(t, err)
	assert.Equal(t, job.Outcome, api.OutcomeAccepted, response.String())
	var waited api.JobAnswer
	var waiting sync.WaitGroup
	waiting.Go(func() {
		_, err = client.R().SetResult(&waited).Get("http://" + c.entries[0].addr + "/v1/jobs/" + job.ID + "?wait_ms=60000")
	})
	time.Sleep(300 * time.Millisecond) // lets the call arrive; if it does not, nothing is shown
	assert.NilError(t, c.entries[0].stop())
	waiting.Wait()
	assert.NilError(t, err)
	assert.Equal(t, waited.ID, job.ID)
	assert.Equal(t, waited.Outcome, api.OutcomeAccepted)
}

func TestLeavingBackendServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := startCluster(t, size{entries: 2, backends: 2, configuration: oneAccount})
	burst := drive.Input{Items: []drive.Item{{
		Name: "check", Count: 20, SpacingMS: 5, Work: standin.WorkPayload{WorkMS: 5},
		Request: &api.RequestSubmission{Account: "acme", Kind: "check", Idempotent: true, DeadlineMS: 10000},
	}}}
	leaving := c.backends[0]
	c.fault(c.platform, standin.PlatformFaults{ListLagMS: 600_000})
	c.fault(leaving.addr, standin.BackendFaults{Leave: true})
	ranOnLeaving := func() int {
		var before, after []standin.Execution
		assert.NilError(t, get(leaving.addr, "/v1/executions", &before))
		noFaults(t, drive.Check(run(c, burst, c.entries...)(), c.records(), drive.Tolerance{}))
		assert.NilError(t, get(leaving.addr, "/v1/executions", &after))
		return len(after) - len(before)
	}
	c.wait("a burst avoids the leaving backend server", func() bool { return ranOnLeaving() == 0 })
	for range 5 {
		assert.Equal(t, ranOnLeaving(), 0)
	}
}
