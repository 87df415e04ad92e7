package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// crashes is a bench with tasks that take down the worker that starts them. Another life
// of the worker answers at its address after a while. All other runs end done.
type crashes struct {
	*bench
	// guilty tasks take their worker down.
	guilty func(task workload.TaskID) bool
	// down are the workers that have crashed, by when their next life begins.
	down map[string]time.Time
	// startsOf counts the starts of each task, crashesOf those that took a worker down.
	startsOf, crashesOf map[workload.TaskID]int
	// runTime is how long a task takes that harms nobody.
	runTime time.Duration
}

const (
	// downFor is how long a crashed worker answers nothing.
	downFor = 3 * time.Second
	// crashAfter is how long a guilty task runs.
	crashAfter = 10 * time.Millisecond
)

func newCrashes(t *testing.T, workers int, guilty func(task workload.TaskID) bool) *crashes {
	return &crashes{
		bench:     newBench(t, workers, false),
		guilty:    guilty,
		down:      make(map[string]time.Time),
		startsOf:  make(map[workload.TaskID]int),
		crashesOf: make(map[workload.TaskID]int),
		runTime:   2 * time.Second,
	}
}

func (c *crashes) pass(d time.Duration) {
	for until := c.now.Add(d); c.now.Before(until); {
		c.now, c.wallMS = c.now.Add(crashAfter), c.wallMS+crashAfter.Milliseconds()
		c.revive()
		c.endStops()
		c.work()
		c.core.Stored(c.core.Unstored(len(c.workers)))
		for _, a := range c.core.Decide(c.now, c.wallMS) {
			if a.Kind == ActStart {
				c.startsOf[a.Order.Task]++
			}
			c.carryOut(a)
		}
		if list := c.core.Unpersisted(50); len(list) > 0 {
			c.core.Recorded(list, c.now, c.wallMS)
		}
	}
}

// work ends what is due, and takes workers down that run a guilty task.
func (c *crashes) work() {
	for id, w := range c.workers {
		for key, r := range w.running {
			switch {
			case c.guilty(key.task) && c.now.Sub(r.began) >= crashAfter:
				c.crashesOf[key.task]++
				c.crash(id)
			case c.now.Sub(r.began) >= c.runTime:
				c.end(w, key.task, key.attempt, workload.EndDone)
			}
		}
	}
}

// crash ends a life of a worker.
func (c *crashes) crash(id string) {
	w := c.workers[id]
	w.running, w.ended = make(map[runKey]*fakeRun), nil
	c.refusing[id] = true
	c.down[id] = c.now.Add(downFor)
}

// revive lets the next life begin of workers that were down for long enough.
func (c *crashes) revive() {
	for id, until := range c.down {
		if c.now.Before(until) {
			continue
		}
		delete(c.down, id)
		delete(c.refusing, id)
		c.replaced[id], c.unlisted[id] = true, true
		next := string(id[0]+1) + id[1:]
		c.addWorker(next)
		c.list()
	}
}

// taskOf is guilty for one task of a job.
func taskOf(job string, index int) func(workload.TaskID) bool {
	return func(task workload.TaskID) bool { return task.Job == job && task.Index == index }
}

func TestATaskThatTakesDownItsWorkersIsNotStartedWithoutEnd(t *testing.T) {
	c := newCrashes(t, 12, taskOf("crashing", 0))
	c.add(looseJob("crashing", 3))
	c.pass(40 * time.Second)
	task := workload.TaskID{Job: "crashing"}
	assert.Assert(t, c.crashesOf[task] <= 3, "%d workers were taken down", c.crashesOf[task])
	assert.Equal(t, c.startsOf[task], c.crashesOf[task])
	assert.Equal(t, c.state("crashing"), FinalFailed)
}

func TestALostRunIsSaidWithItsCause(t *testing.T) {
	for name, c := range map[string]struct {
		lose  func(b *crashes)
		cause LossCause
		ran   time.Duration
	}{
		"another life answers":         {func(b *crashes) { b.crash("w00") }, LossReplaced, downFor},
		"silent longer than its lease": {func(b *crashes) { b.silent["w00"] = true }, LossSilent, testBounds.LongestLease},
	} {
		t.Run(name, func(t *testing.T) {
			b := newCrashes(t, 1, func(workload.TaskID) bool { return false })
			b.runTime = time.Minute
			b.add(looseJob("job", 2))
			b.pass(time.Second)
			c.lose(b)
			b.pass(10 * time.Second)
			assert.Equal(t, len(b.lost), 2)
			for _, a := range b.lost {
				assert.Equal(t, a.Order.Worker, "w00")
				assert.Equal(t, a.Lost.Cause, c.cause)
				assert.Equal(t, a.Lost.Beside, 1)
				assert.Assert(t, a.Lost.Ran >= c.ran, "ran %v", a.Lost.Ran)
			}
		})
	}
}
