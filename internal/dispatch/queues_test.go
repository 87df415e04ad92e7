package dispatch

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// without returns the test configuration without a queue.
func without(name string) *workload.Configuration {
	config := testConfig()
	config.Version++
	config.Queues = slices.DeleteFunc(config.Queues, func(q workload.Queue) bool { return q.Name == name })
	config.Index()
	return config
}

// Failure: the rest of an accepted job never ran once its queue was removed. The job has two steps of two
// tasks, of which the first attempt of one may fail.
func TestAnAcceptedJobRunsToItsEndWhenItsQueueIsRemoved(t *testing.T) {
	for name, removedAfter := range map[string]int{
		"before its first start": 0, "during the first step": 1, "between the steps": 2, "during the second step": 3,
	} {
		for leaders, takeover := range map[string]bool{"under one leader": false, "and another leader follows": true} {
			t.Run(name+", "+leaders, func(t *testing.T) {
				c := newCrashBench(t, 2, noTask)
				c.runTime = time.Hour
				job := independentJob("job", 2)
				job.Steps = append(job.Steps, job.Steps[0])
				job.Steps[1].After = []int{0}
				job.Terms = testConfig().Queue("batch").Terms()
				if removedAfter == 0 {
					c.core.Configure(without("batch"))
				}
				c.add(job)
				for ended := range 4 {
					c.advance(time.Second)
					if ended+1 == removedAfter {
						c.core.Configure(without("batch"))
					}
					if takeover {
						c.takeover()
						if ended+1 >= removedAfter {
							c.core.Configure(without("batch"))
						}
						c.advance(time.Second)
					}
					kind := workload.CompletionDone
					if ended == 0 {
						c.endOne(workload.CompletionFailed)
						c.advance(time.Second)
					}
					assert.Assert(t, c.endOne(kind), "nothing runs after %d ends", ended)
				}
				c.advance(time.Second)
				assert.Equal(t, c.finalState("job"), FinalCompleted)
			})
		}
	}
}

// endOne ends one run, and reports whether there was one.
func (c *crashBench) endOne(kind workload.CompletionKind) bool {
	for _, id := range []string{"w00", "w01"} {
		for _, key := range c.workers[id].sortedRuns() {
			c.endRun(c.workers[id], key.task, key.attempt, kind)
			return true
		}
	}
	return false
}

func TestAJobOfARemovedQueueLastsAndIsDueAsBefore(t *testing.T) {
	b := newBench(t, 2, false)
	lasting, repeated := independentJob("lasting", 2), independentJob("repeated", 1)
	lasting.Steps[0].LongRunning = true
	repeated.OccurrenceCount, repeated.FirstDueMS, repeated.IntervalMS = 2, b.wallMS+1000, 5000
	b.add(lasting)
	b.add(repeated)
	b.advance(500 * time.Millisecond)
	b.core.Configure(without("batch"))
	b.endAll(workload.CompletionDone)
	b.advance(2 * time.Second)
	assert.Equal(t, b.runningOf("lasting"), 2, "its tasks are started again")
	assert.Equal(t, b.runningOf("repeated"), 1, "its first occurrence is due")
	b.advance(5 * time.Second)
	assert.Equal(t, b.runningOf("repeated"), 2, "the second one too")
}

func TestAQueueThatComesBackGoesBeforeTheTermsOfItsJobs(t *testing.T) {
	b := newBench(t, 2, false)
	b.core.Configure(without("batch"))
	job := independentJob("job", 1)
	job.Terms = &workload.QueueTerms{Pool: "elsewhere", Attempts: 1}
	b.add(job)
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("job"), 0, "no worker of its pool")
	b.core.Configure(testConfig())
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("job"), 1)
	b.core.Configure(without("batch"))
	b.endAll(workload.CompletionFailed)
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("job"), 1, "as last configured: two attempts, in its pool")
}
