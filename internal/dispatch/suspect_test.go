package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newTwoZoneBench returns a bench with two zones of two racks, ten workers per rack.
func newTwoZoneBench(t *testing.T) *bench {
	t.Helper()
	b := newBench(t, 40, false)
	b.zones = map[string]string{"r0": "za", "r1": "za", "r2": "zb", "r3": "zb"}
	b.listWorkers()
	b.advance(time.Second)
	return b
}

// partitionZone makes all workers of a zone unresponsive.
func (b *bench) partitionZone(zone string) {
	for id := range b.workers {
		if b.zones["r"+id[1:2]] == zone {
			b.unresponsive[id] = true
		}
	}
}

func (b *bench) startsIn(zone string) int {
	count := 0
	for _, id := range b.startHosts {
		if b.zones["r"+id[1:2]] == zone {
			count++
		}
	}
	return count
}

func TestAZoneThatFallsSilentGetsNothingNewAfterTheFirstSilence(t *testing.T) {
	b := newTwoZoneBench(t)
	b.partitionZone("za")
	b.add(gangJob("first", "urgent", "other", 2, 8))
	b.advance(100 * time.Millisecond)
	assert.Equal(t, b.startsIn("za"), 2, "the failure is not detected yet")
	for n := range 6 {
		b.advance(200 * time.Millisecond)
		b.add(gangJob(fmt.Sprint("later-", n), "urgent", "other", 2, 8))
	}
	b.advance(time.Second)
	assert.Equal(t, b.startsIn("za"), 2)
	for n := range 6 {
		assert.Equal(t, b.runningOf(fmt.Sprint("later-", n)), 2)
	}
}

func TestSuspectZoneIsPolledBeforeItGetsWork(t *testing.T) {
	b := newTwoZoneBench(t)
	b.partitionZone("za")
	b.core.SuspectZone("za", b.now, b.wallMS)
	b.add(gangJob("gang", "urgent", "other", 2, 8))
	b.advance(100 * time.Millisecond)
	assert.Equal(t, b.startsIn("za"), 0)
	assert.Equal(t, b.runningOf("gang"), 2)
}

func TestOneUnresponsiveWorkerCostsItsNeighboursOnePoll(t *testing.T) {
	b := newTwoZoneBench(t)
	b.unresponsive["w00"] = true
	b.add(gangJob("first", "urgent", "other", 1, 8))
	b.advance(200 * time.Millisecond)
	assert.DeepEqual(t, b.startHosts, []string{"w00"})
	assert.Assert(t, !b.core.isSuspect(b.core.workers["w01"]), "it answered")
	b.add(gangJob("second", "urgent", "other", 1, 8))
	b.advance(100 * time.Millisecond)
	assert.DeepEqual(t, b.startHosts, []string{"w00", "w01"})
}

func TestUnansweredOrderMakesItsRackSuspect(t *testing.T) {
	b := newTwoZoneBench(t)
	b.add(gangJob("first", "urgent", "other", 2, 8))
	for range 10 { // its starts stay in flight
		b.now = b.now.Add(50 * time.Millisecond)
		for _, a := range b.core.Decide(b.now, b.wallMS) {
			if a.Kind != ActStart && a.Kind != ActPoll {
				b.execute(a)
			}
		}
	}
	assert.Assert(t, b.core.isSuspect(b.core.workers["w05"]))
	assert.Assert(t, b.core.isSuspect(b.core.workers["w15"]), "no worker of the rack answered, so its zone is suspect")
	assert.Assert(t, !b.core.isSuspect(b.core.workers["w25"]))
}
