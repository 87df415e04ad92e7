package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// What speaks for and against a worker, one witness beside the other. A health check is
// not among them: what counts is what becomes of orders and of work.
func TestWhichWitnessKeepsWorkFromAWorker(t *testing.T) {
	failedBy := func(w *worker, c *Core, jobs ...string) {
		for _, job := range jobs {
			w.health.ended(workload.Ended{Task: workload.TaskID{Job: job}, Kind: workload.EndFailed}, c.now)
		}
	}
	done := func(w *worker, c *Core) { w.health.ended(workload.Ended{Kind: workload.EndDone}, c.now) }
	for sentence, c := range map[string]struct {
		witness func(c *Core, w *worker)
		gets    bool
	}{
		"nothing speaks against it":                    {func(*Core, *worker) {}, true},
		"one job failed, which may be its own fault":   {func(c *Core, w *worker) { failedBy(w, c, "a") }, true},
		"one job failed there again and again":         {func(c *Core, w *worker) { failedBy(w, c, "a", "a", "a") }, true},
		"two jobs failed in a row":                     {func(c *Core, w *worker) { failedBy(w, c, "a", "b") }, false},
		"two jobs failed and one was done since":       {func(c *Core, w *worker) { failedBy(w, c, "a", "b"); done(w, c) }, true},
		"it left an order unanswered":                  {func(c *Core, w *worker) { c.missed(w) }, false},
		"it refused an order a moment ago":             {func(c *Core, w *worker) { w.refused(c.now) }, false},
		"it says that it leaves":                       {func(_ *Core, w *worker) { w.Leaving = true }, false},
		"it is no longer listed":                       {func(c *Core, w *worker) { w.unlistedSince = c.now }, false},
		"its rack is in doubt and it has not answered": {func(c *Core, w *worker) { c.suspectDomain(w.rack()); w.heardAt = c.now.Add(-time.Second) }, false},
		"its rack is in doubt and it has answered":     {func(c *Core, w *worker) { c.suspectDomain(w.rack()); w.heardAt = c.now.Add(time.Millisecond) }, true},
	} {
		t.Run(sentence, func(t *testing.T) {
			b := newBench(t, 1, false)
			b.pass(200 * time.Millisecond)
			c.witness(b.core, b.core.workers["w00"])
			b.add(gangJob("next", "batch", "other", 1, 8))
			started := 0
			for _, a := range b.core.Decide(b.now, b.wallMS) {
				if a.Kind == ActStart {
					started++
				}
			}
			assert.Equal(t, started == 1, c.gets)
		})
	}
}

func TestAWorkerThatGoesDownAndUpGetsWorkOnceItAnswersAndRunsNothingTwice(t *testing.T) {
	b := newBench(t, 2, false)
	b.add(gangJob("first", "batch", "other", 1, 8))
	b.pass(time.Second)
	flapping := b.hostOf("first")
	for range 3 {
		b.refusing[flapping] = true
		b.pass(700 * time.Millisecond)
		b.refusing[flapping] = false
		b.pass(700 * time.Millisecond)
	}
	assert.Equal(t, b.starts, 1, "its run goes on all the while")
	assert.Equal(t, b.runningOf("first"), 1)
	b.endAll(workload.EndDone)
	b.add(gangJob("both", "batch", "other", 2, 8))
	b.pass(time.Second)
	assert.Equal(t, b.runningOf("both"), 2, "it answers again")
}

func TestEmptyWorkersAreUsedWithinASecondOfTheirEntry(t *testing.T) {
	b := newBench(t, 1, false)
	b.add(gangJob("large", "batch", "other", 4, 8))
	b.pass(2 * time.Second)
	assert.Equal(t, b.runningOf("large"), 0)
	for _, id := range []string{"w10", "w11", "w12"} {
		b.addWorker(id)
	}
	b.list()
	b.pass(time.Second)
	assert.Equal(t, b.runningOf("large"), 4)
}
