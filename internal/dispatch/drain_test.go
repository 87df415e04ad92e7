package dispatch

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// newZonedBench returns a bench with racks r0, r1 and r2 of ten workers each, each rack in its
// own zone.
func newZonedBench(t *testing.T) *bench {
	b := newBench(t, 30, false)
	b.zones = map[string]string{"r0": "zone-0", "r1": "zone-1", "r2": "zone-2"}
	b.listWorkers()
	b.advance(100 * time.Millisecond)
	return b
}

func (b *bench) drain(zones ...string) { b.core.SetDrainedZones(zones, b.now, b.wallMS) }

// runningIn counts the runs in a zone.
func (b *bench) runningIn(zone string) int {
	count := 0
	for id, w := range b.workers {
		if b.zones["r"+id[1:len(id)-1]] == zone {
			count += len(w.running)
		}
	}
	return count
}

func TestNothingStartsInADrainedZone(t *testing.T) {
	wide := func(id, queue string, tasks int) *workload.Job { return gangJob(id, queue, "other", tasks, 8) }
	for name, c := range map[string]struct {
		drained []string
		job     *workload.Job
		// runningTasks is the number of tasks that run two seconds later.
		runningTasks int
	}{
		"a gang runs in the other zones":                         {[]string{"zone-0"}, wide("j", "batch", 20), 20},
		"no member of a gang larger than the other zones starts": {[]string{"zone-0"}, wide("j", "batch", 21), 0},
		"urgent work waits too":                                  {[]string{"zone-0"}, wide("j", "urgent", 21), 0},
		"tasks without a gang fill the other zones":              {[]string{"zone-0"}, singleJob("j", "batch", "other", 40, 8), 20},
		"two zones at once":                                      {[]string{"zone-0", "zone-2"}, wide("j", "batch", 10), 10},
		"all zones":                                              {[]string{"zone-0", "zone-1", "zone-2"}, wide("j", "urgent", 1), 0},
		"an unknown zone has no effect":                          {[]string{"elsewhere"}, wide("j", "batch", 30), 30},
	} {
		t.Run(name, func(t *testing.T) {
			b := newZonedBench(t)
			b.drain(c.drained...)
			b.add(c.job)
			b.advance(2 * time.Second)
			assert.Equal(t, b.running(), c.runningTasks)
			for _, zone := range c.drained {
				assert.Equal(t, b.startsIn(zone), 0, zone)
			}
			if c.runningTasks == c.job.Steps[0].Count {
				return
			}
			assert.Assert(t, strings.Contains(strings.Join(b.reasons, "\n"), "workers in drained zones"), "the reason names the drained zones")
			b.drain()
			b.advance(200 * time.Millisecond)
			assert.Assert(t, b.running() > c.runningTasks, "its workers are used immediately once it is no longer drained")
		})
	}
}

func TestRunsInADrainedZoneRunToCompletion(t *testing.T) {
	b := newZonedBench(t)
	b.add(gangJob("wide", "batch", "other", 30, 8))
	b.advance(200 * time.Millisecond)
	b.drain("zone-1")
	b.advance(8 * time.Second)
	assert.Equal(t, b.stops, 0)
	assert.Equal(t, b.runningIn("zone-1"), 10, "its leases are extended")
	b.endAll(workload.CompletionDone)
	b.advance(time.Second)
	assert.Equal(t, b.finalState("wide"), FinalCompleted)
}

func TestRestartedGangLeavesTheDrainedZone(t *testing.T) {
	for _, queue := range []string{"urgent", "batch"} {
		t.Run(queue, func(t *testing.T) {
			b := newZonedBench(t)
			b.add(gangJob("gang", queue, "other", 10, 8))
			b.advance(200 * time.Millisecond)
			zone := b.zones["r"+b.hostOf("gang")[1:2]]
			before := b.startsIn(zone)
			b.drain(zone)
			b.endAll(workload.CompletionFailed)
			b.advance(2 * time.Second)
			assert.Equal(t, b.runningOf("gang"), 10)
			assert.Equal(t, b.startsIn(zone), before)
		})
	}
}

func TestClaimInADrainedZoneMovesElsewhere(t *testing.T) {
	b := newZonedBench(t)
	b.stopTakes = 150 * time.Millisecond
	b.add(singleJob("filler", "batch", "other", 30, 8))
	b.advance(200 * time.Millisecond)
	b.add(gangJob("urgent", "urgent", "acme", 2, 8))
	b.advance(60 * time.Millisecond)
	assert.Assert(t, b.stops >= 2, "other runs are being stopped for it")
	step := b.core.jobs["urgent"].steps[0]
	assert.Assert(t, step.claim != nil)
	zone := step.claim.places[0].worker.Zone
	before := b.startsIn(zone)
	b.drain(zone)
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("urgent"), 2)
	assert.Equal(t, b.startsIn(zone), before)
}

func TestUnansweredStartIsNotResentInADrainedZone(t *testing.T) {
	l := &dropFirst{bench: newZonedBench(t), kind: ActStart, worker: "w00"}
	l.add(gangJob("gang", "urgent", "other", 30, 8))
	l.advance(50 * time.Millisecond)
	assert.Equal(t, len(l.dropped), 1)
	before := l.startsIn("zone-0")
	l.drain("zone-0")
	l.advance(time.Second)
	assert.Equal(t, l.startsIn("zone-0"), before)
}

func TestNothingStartsWhileStartsAreHeldAndWorkResumesAfterwards(t *testing.T) {
	b := newZonedBench(t)
	b.add(gangJob("before", "batch", "other", 10, 8))
	b.advance(200 * time.Millisecond)
	b.core.HoldStarts(true)
	b.add(gangJob("held", "urgent", "other", 10, 8))
	b.advance(2 * time.Second)
	assert.Equal(t, b.runningOf("held"), 0)
	assert.Equal(t, b.runningOf("before"), 10, "leases are extended")
	b.core.HoldStarts(false)
	b.advance(100 * time.Millisecond)
	assert.Equal(t, b.runningOf("held"), 10)
}

func TestCapacityOfADrainedZoneIsNotCounted(t *testing.T) {
	b := newZonedBench(t)
	b.drain("zone-0")
	workers := b.core.capacities()["pool"]
	assert.Equal(t, len(workers), 20)
	assert.Equal(t, loadOf(workers), 0.0)
}

func TestRepeatedDrainsOfAZone(t *testing.T) {
	b := newZonedBench(t)
	b.add(singleJob("many", "batch", "other", 60, 8))
	for range 3 {
		b.drain("zone-2")
		b.endAll(workload.CompletionDone)
		b.advance(300 * time.Millisecond)
		before := b.startsIn("zone-2")
		b.endAll(workload.CompletionDone)
		b.advance(300 * time.Millisecond)
		assert.Equal(t, b.startsIn("zone-2"), before)
		b.drain()
		b.advance(100 * time.Millisecond)
	}
}

func TestWorkWithDataInADrainedZoneRunsElsewhere(t *testing.T) {
	b := newZonedBench(t)
	b.drain("zone-0")
	job := singleJob("data", "batch", "other", 4, 8)
	job.Steps[0].DataRack = "r0"
	b.add(job)
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("data"), 4)
	assert.Equal(t, b.runningIn("zone-0"), 0)
}
