package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/chart"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func TestVerdicts(t *testing.T) {
	type failure struct {
		worker, job string
		after       time.Duration
		succeeded   bool
	}
	cases := map[string]struct {
		failures              []failure
		wantWorkers, wantJobs []string
	}{
		"a worker that fails three jobs is unhealthy": {
			[]failure{{worker: "w", job: "a"}, {worker: "w", job: "b"}, {worker: "w", job: "c"}},
			[]string{"w"},
			nil,
		},
		"a job that fails on three workers is faulty": {
			[]failure{{worker: "u", job: "a"}, {worker: "v", job: "a"}, {worker: "w", job: "a"}},
			nil,
			[]string{"a"},
		},
		"one job that fails three times on one worker is no evidence": {
			[]failure{{worker: "w", job: "a"}, {worker: "w", job: "a"}, {worker: "w", job: "a"}},
			nil, nil,
		},
		"failures outside the window do not count": {
			[]failure{{worker: "w", job: "a"}, {worker: "w", job: "b"}, {worker: "w", job: "c", after: 2 * failureWindow}},
			nil, nil,
		},
		"a success clears the worker": {
			[]failure{{worker: "w", job: "a"}, {worker: "w", job: "b"}, {worker: "w", job: "d", succeeded: true}, {worker: "w", job: "c"}},
			nil, nil,
		},
		"failures on unhealthy workers are no evidence against a job": {
			[]failure{
				{worker: "u", job: "a"},
				{worker: "u", job: "b"},
				{worker: "u", job: "x"},
				{worker: "v", job: "a"},
				{worker: "v", job: "b"},
				{worker: "v", job: "x"},
				{worker: "w", job: "x"},
			},
			[]string{"u", "v"},
			nil,
		},
		"faulty jobs do not make their workers unhealthy": {
			[]failure{
				{worker: "u", job: "a"},
				{worker: "v", job: "a"},
				{worker: "w", job: "a"},
				{worker: "u", job: "b"},
				{worker: "v", job: "b"},
				{worker: "w", job: "b"},
				{worker: "u", job: "c"},
				{worker: "v", job: "c"},
				{worker: "w", job: "c"},
			},
			nil,
			[]string{"a", "b", "c"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			now := start
			var workers, jobs []string
			for _, f := range c.failures {
				now = now.Add(f.after)
				if f.succeeded {
					tracker.TaskSucceeded(f.worker, f.job, now)
					continue
				}
				verdict := tracker.TaskFailed(f.worker, f.job, now)
				if verdict.UnhealthyWorker != "" {
					workers = append(workers, verdict.UnhealthyWorker)
				}
				if verdict.FaultyJob != "" {
					jobs = append(jobs, verdict.FaultyJob)
				}
			}
			assert.DeepEqual(t, workers, c.wantWorkers)
			assert.DeepEqual(t, jobs, c.wantJobs)
		})
	}
}

// TestRandomFaults combines unhealthy workers and faulty jobs and checks that every
// unhealthy worker is found and that no healthy worker or job is blamed.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		tracker := NewTracker()
		unhealthyWorkers, failingJobs := map[string]bool{"w0": true, "w1": true}, map[string]bool{}
		found := make(map[string]bool)
		for i := range 200 {
			job := fmt.Sprintf("j%d", i)
			failingJobs[job] = random.IntN(10) == 0
			for attempt := 0; attempt < 6 && !found[job]; attempt++ {
				worker := fmt.Sprintf("w%d", random.IntN(12))
				if found[worker] {
					continue
				}
				if !unhealthyWorkers[worker] && !failingJobs[job] {
					tracker.TaskSucceeded(worker, job, start)
					break
				}
				verdict := tracker.TaskFailed(worker, job, start)
				assert.Assert(t, verdict.UnhealthyWorker == "" || unhealthyWorkers[verdict.UnhealthyWorker], "seed %d: %s", seed, verdict.Evidence)
				assert.Assert(t, verdict.FaultyJob == "" || failingJobs[verdict.FaultyJob], "seed %d: %s", seed, verdict.Evidence)
				found[verdict.UnhealthyWorker], found[verdict.FaultyJob] = true, true
			}
		}
		assert.Assert(t, found["w0"] && found["w1"], "seed %d", seed)
	}
}

func TestQuarantineEndsByProbe(t *testing.T) {
	tracker := NewTracker()
	for _, job := range []string{"a", "b", "c"} {
		tracker.TaskFailed("w", job, start)
	}
	now := start.Add(initialCooldown)
	assert.Equal(t, len(tracker.StartProbes(now.Add(-time.Second))), 0)
	assert.DeepEqual(t, tracker.StartProbes(now), []string{"w"})
	assert.Equal(t, len(tracker.StartProbes(now)), 0, "a worker is probed once per cooldown")
	assert.Equal(t, tracker.Probed("w", false, now), EventProbeFailed)
	assert.Equal(t, len(tracker.StartProbes(now.Add(initialCooldown))), 0, "a failed probe doubles the cooldown")
	now = now.Add(2 * initialCooldown)
	assert.DeepEqual(t, tracker.StartProbes(now), []string{"w"})
	assert.Equal(t, tracker.Probed("w", true, now), EventProbeOK)
	assert.Equal(t, tracker.TaskFailed("w", "d", now), Verdict{}, "the worker has no earlier failures")
}

func TestEventsAreInTheChart(t *testing.T) {
	worker := chart.MustLoad("worker")
	for _, event := range []chart.Event{EventUnhealthy, EventCooldownEnded, EventProbeOK, EventProbeFailed} {
		_, err := worker.Next("probing", event)
		assert.NilError(t, err)
	}
}
