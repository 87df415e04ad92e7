package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// configWithout returns the test configuration without a queue.
func configWithout(queue string) *workload.Configuration {
	config := testConfig()
	config.Version = 2
	for i := range config.Queues {
		if config.Queues[i].Name == queue {
			config.Queues[i].Name += " (renamed)"
		}
	}
	config.Index()
	return config
}

// failRuns fails all runs of a job.
func (b *bench) failRuns(job string) {
	for _, w := range b.workers {
		for key := range w.running {
			if key.task.Job == job {
				b.endRun(w, key.task, key.attempt, workload.CompletionFailed)
			}
		}
	}
}

func TestAJobIsNotFailedBeforeItsAttemptsWhileItsQueueIsMissing(t *testing.T) {
	for name, test := range map[string]struct {
		config *workload.Configuration
		// takeover is set if the next leader starts without the queue.
		takeover bool
	}{
		"no configuration":                         {nil, false},
		"the queue was removed":                    {configWithout("batch"), false},
		"a new leader without a configuration":     {nil, true},
		"a new leader after the queue was removed": {configWithout("batch"), true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashBench(t, 2, noTask)
			c.runTime = time.Hour
			c.add(independentJob("job", 1))
			c.advance(time.Second)
			if test.takeover {
				c.takeover()
			}
			c.core.Configure(test.config)
			c.advance(time.Second)
			c.failRuns("job")
			c.advance(5 * time.Second)
			assert.Equal(t, c.finalState("job"), Final(""))
			c.core.Configure(testConfig())
			c.advance(time.Second)
			assert.Equal(t, c.running(), 1, "its second attempt")
			c.failRuns("job")
			c.advance(time.Second)
			assert.Equal(t, c.finalState("job"), FinalFailed)
			assert.Equal(t, len(c.core.jobs["job"].record.Failed["0.0.0"]), 2)
		})
	}
}

func TestAJobWhoseAttemptsFailedWhileItsQueueWasMissingEndsOnceItIsBack(t *testing.T) {
	c := newCrashBench(t, 2, noTask)
	c.runTime = time.Hour
	c.add(independentJob("job", 1))
	c.advance(time.Second)
	c.failRuns("job")
	c.advance(time.Second)
	c.takeover()
	c.core.Configure(configWithout("batch"))
	c.advance(time.Second)
	c.failRuns("job")
	c.advance(time.Second)
	starts := c.startsOf[workload.TaskID{Job: "job"}]
	c.core.Configure(testConfig())
	c.advance(time.Second)
	assert.Equal(t, c.finalState("job"), FinalFailed)
	assert.Equal(t, c.startsOf[workload.TaskID{Job: "job"}], starts)
}
