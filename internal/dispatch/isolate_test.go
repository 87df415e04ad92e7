package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// Both jobs fit on one worker, and both become pending when it crashes.
func TestHealthyWorkIsNotGivenUpWithTheTaskThatWasBesideIt(t *testing.T) {
	c := newCrashBench(t, 8, taskIs("crashing", 0))
	c.runTime = 5 * time.Second
	c.add(independentJob("healthy", 1))
	c.advance(100 * time.Millisecond)
	c.add(independentJob("crashing", 1))
	c.advance(40 * time.Second)
	assert.Equal(t, c.finalState("crashing"), FinalFailed)
	assert.Equal(t, c.finalState("healthy"), FinalCompleted)
	lost := slices.DeleteFunc(c.lostRuns, func(a Action) bool { return a.Order.Task.Job != "healthy" })
	assert.Equal(t, len(lost), 1)
}

// The third start runs alone as long as some worker is empty.
func TestLastAttemptOfATaskRunsAlone(t *testing.T) {
	c := newCrashBench(t, 8, taskIs("crashing", 0))
	c.runTime = time.Hour
	c.add(independentJob("beside", 3))
	c.advance(100 * time.Millisecond)
	c.add(independentJob("crashing", 1))
	c.advance(20 * time.Second)
	assert.Equal(t, c.finalState("crashing"), FinalFailed)
	var others []int
	for _, a := range c.lostRuns {
		if a.Order.Task.Job == "crashing" {
			others = append(others, a.Lost.OthersLost)
		}
	}
	assert.Equal(t, len(others), 3)
	assert.Equal(t, others[2], 0)
}

func TestFlappingMachineGetsNoNewWork(t *testing.T) {
	for name, test := range map[string]struct {
		workers, flapping int
		avoided           bool
	}{
		"one of eight":                         {8, 1, true},
		"half of the workers, as in an outage": {8, 4, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashBench(t, test.workers, noTask)
			c.runTime = time.Second
			c.advance(100 * time.Millisecond)
			for n := range 2 {
				c.add(independentJob(fmt.Sprintf("before%d", n), 8*test.workers))
				c.advance(200 * time.Millisecond)
				for n := range test.flapping {
					for id := range c.workers {
						if id[1:] == fmt.Sprintf("%02d", n) && !c.replaced[id] {
							c.crash(id)
						}
					}
				}
				c.advance(6 * time.Second)
			}
			c.startHosts = nil
			c.runTime = time.Hour
			c.add(independentJob("all", 8*(test.workers-test.flapping)))
			c.advance(time.Second)
			c.add(independentJob("rest", 1))
			c.advance(time.Second)
			assert.Equal(t, c.runningOf("rest") == 0, test.avoided)
			c.advance(crashMemory)
			assert.Equal(t, c.runningOf("rest"), 1, "the exclusion ends")
		})
	}
}

func TestCrashesOfAFailedJobAreNotCountedAgainstMachines(t *testing.T) {
	c := newCrashBench(t, 2, func(task workload.TaskID) bool { return task.Job != "after" })
	c.add(independentJob("one", 1))
	c.advance(20 * time.Second)
	c.add(independentJob("two", 1))
	c.advance(20 * time.Second)
	assert.Equal(t, c.finalState("two"), FinalFailed)
	assert.Equal(t, len(c.core.machineCrashes), 0)
}

// The deployment is full, so the sound job shares each of its workers with others.
func TestASoundJobIsNotFailedForCrashesThatOthersMayHaveCaused(t *testing.T) {
	c := newCrashBench(t, 4, noTask)
	c.runTime = 5 * time.Second
	c.add(independentJob("sound", 1))
	for range 3 {
		c.add(independentJob(fmt.Sprintf("other%d", len(c.accepted)), 40))
		host := c.hostAfter(workload.TaskID{Job: "sound"}, 0)
		c.advance(50 * time.Millisecond)
		c.crash(host)
		c.advance(4100 * time.Millisecond)
	}
	c.advance(time.Minute)
	assert.Equal(t, c.finalState("sound"), FinalCompleted)
}
