package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// Each case is one kind of evidence for or against a worker. Health checks are not among them:
// only the outcome of orders and work counts.
func TestWhichWitnessKeepsWorkFromAWorker(t *testing.T) {
	failedBy := func(w *worker, c *Core, jobs ...string) {
		for _, job := range jobs {
			c.recordEnd(w, workload.Completion{Task: workload.TaskID{Job: job}, Kind: workload.CompletionFailed}, c.now)
		}
	}
	done := func(w *worker, c *Core) {
		c.recordEnd(w, workload.Completion{Kind: workload.CompletionDone}, c.now.Add(time.Millisecond))
	}
	for name, c := range map[string]struct {
		evidence func(c *Core, w *worker)
		getsWork bool
	}{
		"no evidence against it":                      {func(*Core, *worker) {}, true},
		"one job failed, which may be its own fault":  {func(c *Core, w *worker) { failedBy(w, c, "a") }, true},
		"one job failed there repeatedly":             {func(c *Core, w *worker) { failedBy(w, c, "a", "a", "a") }, true},
		"two jobs failed in a row":                    {func(c *Core, w *worker) { failedBy(w, c, "a", "b") }, false},
		"two jobs failed and one was done since":      {func(c *Core, w *worker) { failedBy(w, c, "a", "b"); done(w, c) }, true},
		"it left an order unanswered":                 {func(c *Core, w *worker) { c.recordMiss(w) }, false},
		"it just refused an order":                    {func(c *Core, w *worker) { w.recordRefusal(c.now) }, false},
		"it announced that it leaves":                 {func(_ *Core, w *worker) { w.Leaving = true }, false},
		"it is no longer listed":                      {func(c *Core, w *worker) { w.unlistedSince = c.now }, false},
		"its rack is suspect and it has not answered": {func(c *Core, w *worker) { c.suspectDomain(w.rackDomain()); w.lastContact = c.now.Add(-time.Second) }, false},
		"its rack is suspect and it has answered":     {func(c *Core, w *worker) { c.suspectDomain(w.rackDomain()); w.lastContact = c.now.Add(time.Millisecond) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 1, false)
			b.advance(200 * time.Millisecond)
			c.evidence(b.core, b.core.workers["w00"])
			b.add(gangJob("next", "batch", "other", 1, 8))
			started := 0
			for _, a := range b.core.Decide(b.now, b.wallMS) {
				if a.Kind == ActStart {
					started++
				}
			}
			assert.Equal(t, started == 1, c.getsWork)
		})
	}
}

func TestAWorkerThatGoesDownAndUpGetsWorkOnceItAnswersAndRunsNothingTwice(t *testing.T) {
	b := newBench(t, 2, false)
	b.add(gangJob("first", "batch", "other", 1, 8))
	b.advance(time.Second)
	flapping := b.hostOf("first")
	for range 3 {
		b.refusing[flapping] = true
		b.advance(700 * time.Millisecond)
		b.refusing[flapping] = false
		b.advance(700 * time.Millisecond)
	}
	assert.Equal(t, b.starts, 1, "its run continues throughout")
	assert.Equal(t, b.runningOf("first"), 1)
	b.endAll(workload.CompletionDone)
	b.add(gangJob("both", "batch", "other", 2, 8))
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("both"), 2, "the worker answers again")
}

func TestEmptyWorkersAreUsedWithinASecondOfTheirEntry(t *testing.T) {
	b := newBench(t, 1, false)
	b.add(gangJob("large", "batch", "other", 4, 8))
	b.advance(2 * time.Second)
	assert.Equal(t, b.runningOf("large"), 0)
	for _, id := range []string{"w10", "w11", "w12"} {
		b.addWorker(id)
	}
	b.listWorkers()
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("large"), 4)
}
