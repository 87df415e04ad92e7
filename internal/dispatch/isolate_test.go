package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// Both fit on one worker, and both become pending as it goes down.
func TestHealthyWorkIsNotGivenUpWithTheTaskThatWasBesideIt(t *testing.T) {
	c := newCrashes(t, 8, taskOf("crashing", 0))
	c.runTime = 5 * time.Second
	c.add(looseJob("healthy", 1))
	c.pass(100 * time.Millisecond)
	c.add(looseJob("crashing", 1))
	c.pass(40 * time.Second)
	assert.Equal(t, c.state("crashing"), FinalFailed)
	assert.Equal(t, c.state("healthy"), FinalCompleted)
	assert.Equal(t, len(c.core.jobs["healthy"].record.Crashed["0.0.0"]), 1)
}

// The third start is beside nothing as long as some worker is empty.
func TestTheLastAttemptOfATaskIsBesideNothing(t *testing.T) {
	c := newCrashes(t, 8, taskOf("crashing", 0))
	c.runTime = time.Hour
	c.add(looseJob("beside", 3))
	c.pass(100 * time.Millisecond)
	c.add(looseJob("crashing", 1))
	c.pass(20 * time.Second)
	assert.Equal(t, c.state("crashing"), FinalFailed)
	var beside []int
	for _, a := range c.lost {
		if a.Order.Task.Job == "crashing" {
			beside = append(beside, a.Lost.Beside)
		}
	}
	assert.Equal(t, len(beside), 3)
	assert.Equal(t, beside[2], 0)
}

func TestAMachineThatGoesDownAgainAndAgainGetsNothingNew(t *testing.T) {
	for name, test := range map[string]struct {
		workers, flapping int
		avoided           bool
	}{
		"one of eight":                  {8, 1, true},
		"half of them, as in an outage": {8, 4, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashes(t, test.workers, nobody)
			c.runTime = time.Second
			c.pass(100 * time.Millisecond)
			for n := range 2 {
				c.add(looseJob(fmt.Sprintf("before%d", n), 8*test.workers))
				c.pass(200 * time.Millisecond)
				for n := range test.flapping {
					for id := range c.workers {
						if id[1:] == fmt.Sprintf("%02d", n) && !c.replaced[id] {
							c.crash(id)
						}
					}
				}
				c.pass(6 * time.Second)
			}
			c.startedAt = nil
			c.runTime = time.Hour
			c.add(looseJob("all", 8*(test.workers-test.flapping)))
			c.pass(time.Second)
			c.add(looseJob("rest", 1))
			c.pass(time.Second)
			assert.Equal(t, c.runningOf("rest") == 0, test.avoided)
			c.pass(crashMemory)
			assert.Equal(t, c.runningOf("rest"), 1, "not for ever")
		})
	}
}

func TestCrashesUnderATaskThatIsGivenUpAreNotHeldAgainstItsMachines(t *testing.T) {
	c := newCrashes(t, 2, func(task workload.TaskID) bool { return task.Job != "after" })
	c.add(looseJob("one", 1))
	c.pass(20 * time.Second)
	c.add(looseJob("two", 1))
	c.pass(20 * time.Second)
	assert.Equal(t, c.state("two"), FinalFailed)
	assert.Equal(t, len(c.core.machineCrashes), 0)
}
