package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// advisedBench is a bench whose batch queue has an advisor that allows some
// workers.
func advisedBench(t *testing.T, allowed ...string) (*bench, *int) {
	b := newBench(t, 4, false)
	config := testConfig()
	config.Queues[1].Advice = &workload.Advice{DecisionMS: 10, PerItemMS: 1, ValidityMS: 1000}
	b.core.Configure(config)
	asked := 0
	b.answer = func(q workload.Question) workload.Counsel {
		asked++
		counsel := workload.Counsel{ValidFor: time.Second}
		for _, named := range q.Workers {
			for _, w := range allowed {
				if named == w {
					counsel.Allowed = append(counsel.Allowed, workload.Ticket{Worker: w, Ticket: "t-" + w})
				}
			}
		}
		return counsel
	}
	return b, &asked
}

func TestAnAdvisedStepRunsOnlyWhereTheAdvisorAllowsIt(t *testing.T) {
	b, _ := advisedBench(t, "w01", "w03")
	b.add(singleJob("job", "batch", "other", 3, 8))
	b.pass(time.Second)
	assert.Equal(t, b.runningOf("job"), 2)
	assert.Equal(t, len(b.workers["w00"].running)+len(b.workers["w02"].running), 0)
	assert.DeepEqual(t, b.tickets, map[string]bool{"t-w01": true, "t-w03": true})
}

func TestATicketThatRanOutIsAskedForAgainAndARefusalIsRemembered(t *testing.T) {
	b, asked := advisedBench(t, "w01")
	b.add(singleJob("job", "batch", "other", 2, 8))
	b.pass(300 * time.Millisecond)
	first := *asked
	b.pass(1500 * time.Millisecond) // the second task waits, and the ticket runs out
	b.endAll(workload.EndDone)
	b.pass(500 * time.Millisecond)
	assert.Equal(t, b.runningOf("job"), 1, "the second task runs on the one allowed worker")
	assert.Assert(t, *asked > first, "the ticket had run out")
	assert.Assert(t, *asked <= first+4, "asked %d times", *asked)
}

func TestAnAdvisorWithoutAnAnswerIsAskedAgainLater(t *testing.T) {
	b, asked := advisedBench(t)
	b.answer = func(workload.Question) workload.Counsel {
		*asked++
		return workload.Counsel{Err: workload.ErrNotDone}
	}
	b.add(singleJob("job", "batch", "other", 1, 1))
	b.pass(2 * time.Second)
	assert.Assert(t, *asked >= 3 && *asked <= 5, "asked %d times in two seconds", *asked)
}

func TestALeavingWorkerIsEmptiedBeforeItGoes(t *testing.T) {
	for name, c := range map[string]struct {
		saves   bool
		left    time.Duration
		stopped bool
	}{
		"saved work that will not end here is stopped":       {true, 1500 * time.Millisecond, true},
		"work that ends in time stays":                       {true, 10 * time.Second, false},
		"unsaved work that may end in time stays":            {false, 2500 * time.Millisecond, false},
		"unsaved work that surely will not starts elsewhere": {false, 600 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 2, false)
			job := singleJob("job", "batch", "other", 1, 1)
			job.Steps[0].Checkpoints = c.saves
			b.add(job)
			b.pass(500 * time.Millisecond)
			b.leave(b.hostOf("job"), c.left)
			b.pass(300 * time.Millisecond)
			assert.Equal(t, b.stops > 0, c.stopped)
		})
	}
}
