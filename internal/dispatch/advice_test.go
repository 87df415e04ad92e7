package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// newAdvisedBench returns a bench whose batch queue has an advisor that allows the given
// workers, and the number of requests it received.
func newAdvisedBench(t *testing.T, allowed ...string) (*bench, *int) {
	b := newBench(t, 4, false)
	config := testConfig()
	config.Queues[1].Advice = &workload.AdvisorTiming{DecisionMS: 10, PerItemMS: 1, ValidityMS: 1000}
	b.core.Configure(config)
	requests := 0
	b.advise = func(q workload.AdviceRequest) workload.AdviceResponse {
		requests++
		response := workload.AdviceResponse{ValidFor: time.Second}
		for _, named := range q.Workers {
			for _, w := range allowed {
				if named == w {
					response.Allowed = append(response.Allowed, workload.Ticket{Worker: w, Ticket: "t-" + w})
				}
			}
		}
		return response
	}
	return b, &requests
}

func TestAdvisedStepRunsOnlyOnAllowedWorkers(t *testing.T) {
	b, _ := newAdvisedBench(t, "w01", "w03")
	b.add(singleJob("job", "batch", "other", 3, 8))
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("job"), 2)
	assert.Equal(t, len(b.workers["w00"].running)+len(b.workers["w02"].running), 0)
	assert.DeepEqual(t, b.tickets, map[string]bool{"t-w01": true, "t-w03": true})
}

func TestExpiredTicketIsRequestedAgainAndRefusalIsRemembered(t *testing.T) {
	b, requests := newAdvisedBench(t, "w01")
	b.add(singleJob("job", "batch", "other", 2, 8))
	b.advance(300 * time.Millisecond)
	first := *requests
	b.advance(1500 * time.Millisecond) // the second task waits, and the ticket expires
	b.endAll(workload.CompletionDone)
	b.advance(500 * time.Millisecond)
	assert.Equal(t, b.runningOf("job"), 1, "the second task runs on the one allowed worker")
	assert.Assert(t, *requests > first, "the ticket had expired")
	assert.Assert(t, *requests <= first+4, "asked %d times", *requests)
}

func TestUnansweredAdvisorIsAskedAgainAfterAPause(t *testing.T) {
	b, requests := newAdvisedBench(t)
	b.advise = func(workload.AdviceRequest) workload.AdviceResponse {
		*requests++
		return workload.AdviceResponse{Err: workload.ErrNotDone}
	}
	b.add(singleJob("job", "batch", "other", 1, 1))
	b.advance(2 * time.Second)
	assert.Assert(t, *requests >= 3 && *requests <= 5, "asked %d times in two seconds", *requests)
}

func TestALeavingWorkerIsEmptiedBeforeItGoes(t *testing.T) {
	for name, c := range map[string]struct {
		checkpoints bool
		timeLeft    time.Duration
		stopped     bool
	}{
		"checkpointable work that will not finish here is stopped":         {true, 1500 * time.Millisecond, true},
		"work that finishes in time continues":                             {true, 10 * time.Second, false},
		"work without checkpoints that may finish in time continues":       {false, 2500 * time.Millisecond, false},
		"work without checkpoints that clearly will not finish is stopped": {false, 600 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 2, false)
			job := singleJob("job", "batch", "other", 1, 1)
			job.Steps[0].Checkpoints = c.checkpoints
			b.add(job)
			b.advance(500 * time.Millisecond)
			b.announceLeaving(b.hostOf("job"), c.timeLeft)
			b.advance(300 * time.Millisecond)
			assert.Equal(t, b.stops > 0, c.stopped)
		})
	}
}
