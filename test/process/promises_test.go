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

// oneAccount is a configuration with one client account and one rule, which
// admits all work with up to two retries.
const oneAccount = `{"client_accounts": [{"name": "acme"}], "rules": [{"name": "all", "when": {}, "then": {"retries": 2}}]}`

// anyOutcome lists the outcomes allowed for work that faults interrupt.
var anyOutcome = []api.Outcome{api.OutcomeDone, api.OutcomeNotRun, api.OutcomeUnknown}

// driveAsync sends the input through the entry instances in the background. The
// returned function waits for the answers.
func driveAsync(c *cluster, input drive.Input, entries ...*node) (wait func() []drive.Answer) {
	var answers []drive.Answer
	var err error
	var done sync.WaitGroup
	done.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		answers, err = drive.Run(ctx, c.fleet(entries...), input)
	})
	return func() []drive.Answer {
		done.Wait()
		assert.NilError(c.t, err)
		return answers
	}
}

func assertNoViolations(t *testing.T, violations []string) {
	t.Helper()
	assert.Equal(t, strings.Join(violations, "\n"), "")
}

func TestKeyedRequestRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		inject, heal   func(c *cluster)
		missingAnswers bool
	}{
		"an instance is killed": {
			func(c *cluster) { c.entries[0].kill() }, func(c *cluster) { c.startEntry(0) }, true,
		},
		"an instance is frozen for a while": {
			func(c *cluster) { c.entries[0].freeze() }, func(c *cluster) { c.entries[0].thaw() }, true,
		},
		"the platform is down for a while": {
			func(c *cluster) { c.injectFaults(c.platform, standin.PlatformFaults{Down: true}) },
			func(c *cluster) { c.injectFaults(c.platform, standin.PlatformFaults{}) }, false,
		},
		"the platform is slow and loses answers": {
			func(c *cluster) { c.injectFaults(c.platform, standin.PlatformFaults{SlowMS: 100, LoseAnswers: 10}) },
			func(c *cluster) { c.injectFaults(c.platform, standin.PlatformFaults{}) }, false,
		},
		"an instance is cut off from the platform": {
			func(c *cluster) { c.entries[0].relay.setPartitioned(true) }, func(c *cluster) { c.entries[0].relay.setPartitioned(false) }, false,
		},
		"connections to backend servers are interrupted": {
			func(c *cluster) { c.backends[0].relay.setPartitioned(true) }, func(c *cluster) { c.backends[0].relay.setPartitioned(false) }, false,
		},
		"answers are swapped and truncated": {
			func(c *cluster) {
				c.injectFaults(c.backends[0].addr, standin.BackendFaults{SwapAnswers: 3, Truncate: 3})
			},
			func(c *cluster) { c.injectFaults(c.backends[0].addr, standin.BackendFaults{}) }, false,
		},
	}
	size := clusterSize{entries: 2, backends: 2, configuration: oneAccount}
	c := startCluster(t, size)
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := c.forSubtest(t) // the cases share the cluster and run one after the other
			before := len(c.collectRecords().Executions)
			input := requestInput(name)
			waitAnswers := driveAsync(c, input, c.entries...)
			c.waitFor("work has started", func() bool { return len(c.collectRecords().Executions) >= before+3 })
			tc.inject(c)
			time.Sleep(500 * time.Millisecond) // keeps the fault active; the length is arbitrary
			tc.heal(c)
			answers := waitAnswers()
			assertNoViolations(t, drive.Check(answers, c.collectRecords(), drive.Tolerance{MissingAnswers: tc.missingAnswers}))
			c.waitSettled(size)
			repeated := driveAsync(c, input, c.entries...)()
			assertNoViolations(t, drive.Check(repeated, c.collectRecords(), drive.Tolerance{}))
			assertNoViolations(t, drive.Check(append(answers, repeated...), c.collectRecords(), drive.Tolerance{MissingAnswers: tc.missingAnswers}))
		})
	}
}

// requestInput returns the work of one case: keyed requests delivered to both
// instances, mixed with idempotent ones.
func requestInput(name string) drive.Input {
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
		inject, heal func(c *cluster, placer int)
	}{
		"the placer is killed": {
			func(c *cluster, placer int) { c.entries[placer].kill() }, func(c *cluster, placer int) { c.startEntry(placer) },
		},
		"the placer is frozen past its lease": {
			func(c *cluster, placer int) {
				c.entries[placer].freeze()
				c.waitFor("another instance is the placer", func() bool {
					now := c.placer()
					return now >= 0 && now != placer
				})
			},
			func(c *cluster, placer int) { c.entries[placer].thaw() },
		},
		"a worker is cut off past its leases": {
			func(c *cluster, _ int) {
				c.workers[0].relay.setPartitioned(true)
				c.waitFor("the partitioned worker runs nothing", func() bool {
					var report api.WorkerReport
					return get(c.workers[0].addr, "/v1/report", &report) == nil && !hasRunningTask(report)
				})
			},
			func(c *cluster, _ int) { c.workers[0].relay.setPartitioned(false) },
		},
		"the platform is down for a while": {
			func(c *cluster, _ int) { c.injectFaults(c.platform, standin.PlatformFaults{Down: true}) },
			func(c *cluster, _ int) {
				time.Sleep(time.Second) // keeps the outage active; the length is arbitrary
				c.injectFaults(c.platform, standin.PlatformFaults{})
			},
		},
	}
	size := clusterSize{entries: 2, workers: 4, configuration: strings.Replace(oneAccount, `"acme"`,
		`"acme", "guarantees": {"zone-1": [{"tasks": 2, "accelerators_per_task": 8, "same_rack": true, "count": 2}]}`, 1)}
	c := startCluster(t, size)
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := c.forSubtest(t) // the cases share the cluster and run one after the other
			c.waitFor("the zone has a placer", func() bool { return c.placer() >= 0 })
			placer := c.placer()
			before := len(c.collectRecords().Starts)
			waitAnswers := driveAsync(c, gangInput(name), c.entries[1-placer])
			c.waitFor("a gang has started", func() bool { return len(c.collectRecords().Starts) >= before+2 })
			tc.inject(c, placer)
			tc.heal(c, placer)
			answers := waitAnswers()
			assertNoViolations(t, drive.Check(answers, c.collectRecords(), drive.Tolerance{IncompleteGangs: true}))
			c.waitSettled(size)
		})
	}
}

// gangInput returns the work of one case: gangs that may be restarted, and
// gangs that may not.
func gangInput(name string) drive.Input {
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

func hasRunningTask(report api.WorkerReport) bool {
	for _, reservation := range report.Reservations {
		if reservation.State == api.TaskRunning {
			return true
		}
	}
	return false
}

func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	t.Parallel()
	// Each case returns the instances to stop, and may already have sent them a
	// stop signal.
	cases := map[string]func(c *cluster) []*node{
		"one instance": func(c *cluster) []*node { return c.entries[:1] },
		"one instance with two stop signals": func(c *cluster) []*node {
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
	for name, beginStop := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, clusterSize{entries: 2, backends: 2, configuration: oneAccount})
			input := drive.Input{Items: []drive.Item{{
				Name: "check", Count: 16, Work: standin.WorkPayload{WorkMS: 1000},
				Request: &api.RequestSubmission{Account: "acme", Kind: "check", DeadlineMS: 30000},
			}}}
			waitAnswers := driveAsync(c, input, c.entries[0])
			c.waitFor("every request runs", func() bool { return len(c.collectRecords().Executions) == 16 })
			for _, entry := range beginStop(c) {
				assert.NilError(t, entry.stop())
			}
			assertNoViolations(t, drive.Check(waitAnswers(), c.collectRecords(), drive.Tolerance{}))
		})
	}
}

func TestPlannedStopAnswersCallersWaitingForAJob(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterSize{entries: 2, workers: 1, configuration: oneAccount})
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
	time.Sleep(300 * time.Millisecond) // gives the call time to arrive; if it does not, the test proves nothing
	assert.NilError(t, c.entries[0].stop())
	waiting.Wait()
	assert.NilError(t, err)
	assert.Equal(t, waited.ID, job.ID)
	assert.Equal(t, waited.Outcome, api.OutcomeAccepted)
}

func TestLeavingBackendServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterSize{entries: 2, backends: 2, configuration: oneAccount})
	burst := drive.Input{Items: []drive.Item{{
		Name: "check", Count: 20, SpacingMS: 5, Work: standin.WorkPayload{WorkMS: 5},
		Request: &api.RequestSubmission{Account: "acme", Kind: "check", Idempotent: true, DeadlineMS: 10000},
	}}}
	leaving := c.backends[0]
	// The list lags by ten minutes, so that it does not yet show the server as
	// leaving.
	c.injectFaults(c.platform, standin.PlatformFaults{ListLagMS: 600_000})
	c.injectFaults(leaving.addr, standin.BackendFaults{Leave: true})
	ranOnLeaving := func() int {
		var before, after []standin.Execution
		assert.NilError(t, get(leaving.addr, "/v1/executions", &before))
		assertNoViolations(t, drive.Check(driveAsync(c, burst, c.entries...)(), c.collectRecords(), drive.Tolerance{}))
		assert.NilError(t, get(leaving.addr, "/v1/executions", &after))
		return len(after) - len(before)
	}
	c.waitFor("a burst does not reach the leaving backend server", func() bool { return ranOnLeaving() == 0 })
	for range 5 {
		assert.Equal(t, ranOnLeaving(), 0)
	}
}
