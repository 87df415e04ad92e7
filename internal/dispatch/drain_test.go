package dispatch

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// newZonedBench has racks r0, r1 and r2 of ten workers each, in zones of their own.
func newZonedBench(t *testing.T) *bench {
	b := newBench(t, 30, false)
	b.zones = map[string]string{"r0": "zone-0", "r1": "zone-1", "r2": "zone-2"}
	b.list()
	b.pass(100 * time.Millisecond)
	return b
}

func (b *bench) drain(zones ...string) { b.core.Drain(zones, b.now, b.wallMS) }

// runningIn counts what runs in a zone.
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
		// want is how many tasks run two seconds later.
		want int
	}{
		"a gang runs in the other zones":                   {[]string{"zone-0"}, wide("j", "batch", 20), 20},
		"a gang larger than the other zones waits whole":   {[]string{"zone-0"}, wide("j", "batch", 21), 0},
		"urgent work waits as well":                        {[]string{"zone-0"}, wide("j", "urgent", 21), 0},
		"tasks without a gang fill the other zones":        {[]string{"zone-0"}, singleJob("j", "batch", "other", 40, 8), 20},
		"two zones at once":                                {[]string{"zone-0", "zone-2"}, wide("j", "batch", 10), 10},
		"all zones":                                        {[]string{"zone-0", "zone-1", "zone-2"}, wide("j", "urgent", 1), 0},
		"a zone that nobody knows keeps nothing from work": {[]string{"elsewhere"}, wide("j", "batch", 30), 30},
	} {
		t.Run(name, func(t *testing.T) {
			b := newZonedBench(t)
			b.drain(c.drained...)
			b.add(c.job)
			b.pass(2 * time.Second)
			assert.Equal(t, b.running(), c.want)
			for _, zone := range c.drained {
				assert.Equal(t, b.startsIn(zone), 0, zone)
			}
			if c.want == c.job.Steps[0].Count {
				return
			}
			assert.Assert(t, strings.Contains(strings.Join(b.reasons, "\n"), "workers in drained zones"), "the reason names the drained zones")
			b.drain()
			b.pass(200 * time.Millisecond)
			assert.Assert(t, b.running() > c.want, "its workers are used at once when it is no longer drained")
		})
	}
}

func TestWhatRunsInAZoneThatIsDrainedRunsToItsEnd(t *testing.T) {
	b := newZonedBench(t)
	b.add(gangJob("wide", "batch", "other", 30, 8))
	b.pass(200 * time.Millisecond)
	b.drain("zone-1")
	b.pass(8 * time.Second)
	assert.Equal(t, b.stops, 0)
	assert.Equal(t, b.runningIn("zone-1"), 10, "its leases are extended")
	b.endAll(workload.EndDone)
	b.pass(time.Second)
	assert.Equal(t, b.state("wide"), FinalCompleted)
}

func TestAGangThatRestartsLeavesTheDrainedZone(t *testing.T) {
	for _, queue := range []string{"urgent", "batch"} {
		t.Run(queue, func(t *testing.T) {
			b := newZonedBench(t)
			b.add(gangJob("gang", queue, "other", 10, 8))
			b.pass(200 * time.Millisecond)
			zone := b.zones["r"+b.hostOf("gang")[1:2]]
			before := b.startsIn(zone)
			b.drain(zone)
			b.endAll(workload.EndFailed)
			b.pass(2 * time.Second)
			assert.Equal(t, b.runningOf("gang"), 10)
			assert.Equal(t, b.startsIn(zone), before)
		})
	}
}

func TestRoomThatWasClaimedInAZoneIsSoughtElsewhereOnceItIsDrained(t *testing.T) {
	b := newZonedBench(t)
	b.stopTakes = 150 * time.Millisecond
	b.add(singleJob("filler", "batch", "other", 30, 8))
	b.pass(200 * time.Millisecond)
	b.add(gangJob("urgent", "urgent", "acme", 2, 8))
	b.pass(60 * time.Millisecond)
	assert.Assert(t, b.stops >= 2, "others are being stopped for it")
	step := b.core.jobs["urgent"].steps[0]
	assert.Assert(t, step.claim != nil)
	zone := step.claim.places[0].worker.Zone
	before := b.startsIn(zone)
	b.drain(zone)
	b.pass(time.Second)
	assert.Equal(t, b.runningOf("urgent"), 2)
	assert.Equal(t, b.startsIn(zone), before)
}

func TestAStartWithoutAnAnswerIsNotRepeatedInADrainedZone(t *testing.T) {
	l := &loseFirst{bench: newZonedBench(t), kind: ActStart, worker: "w00"}
	l.add(gangJob("gang", "urgent", "other", 30, 8))
	l.pass(50 * time.Millisecond)
	assert.Equal(t, len(l.lost), 1)
	before := l.startsIn("zone-0")
	l.drain("zone-0")
	l.pass(time.Second)
	assert.Equal(t, l.startsIn("zone-0"), before)
}

func TestNothingStartsWhileStartsAreHeldAndAllGoesOnAfterwards(t *testing.T) {
	b := newZonedBench(t)
	b.add(gangJob("before", "batch", "other", 10, 8))
	b.pass(200 * time.Millisecond)
	b.core.HoldStarts(true)
	b.add(gangJob("held", "urgent", "other", 10, 8))
	b.pass(2 * time.Second)
	assert.Equal(t, b.runningOf("held"), 0)
	assert.Equal(t, b.runningOf("before"), 10, "leases are extended")
	b.core.HoldStarts(false)
	b.pass(100 * time.Millisecond)
	assert.Equal(t, b.runningOf("held"), 10)
}

func TestHeadroomIsNotCountedOnWorkersOfADrainedZone(t *testing.T) {
	b := newZonedBench(t)
	b.drain("zone-0")
	rooms := b.core.rooms()["pool"]
	assert.Equal(t, len(rooms), 20)
	assert.Equal(t, loadOf(rooms), 0.0)
}

func TestAZoneThatIsDrainedAgainBeforeItIsOver(t *testing.T) {
	b := newZonedBench(t)
	b.add(singleJob("many", "batch", "other", 60, 8))
	for range 3 {
		b.drain("zone-2")
		b.endAll(workload.EndDone)
		b.pass(300 * time.Millisecond)
		before := b.startsIn("zone-2")
		b.endAll(workload.EndDone)
		b.pass(300 * time.Millisecond)
		assert.Equal(t, b.startsIn("zone-2"), before)
		b.drain()
		b.pass(100 * time.Millisecond)
	}
}

func TestWorkWithItsDataInADrainedZoneGoesElsewhere(t *testing.T) {
	b := newZonedBench(t)
	b.drain("zone-0")
	job := singleJob("data", "batch", "other", 4, 8)
	job.Steps[0].DataRack = "r0"
	b.add(job)
	b.pass(time.Second)
	assert.Equal(t, b.runningOf("data"), 4)
	assert.Equal(t, b.runningIn("zone-0"), 0)
}
