package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// twoZones is a bench of two racks in each of two zones, ten workers a rack.
func twoZones(t *testing.T) *bench {
	t.Helper()
	b := newBench(t, 40, false)
	b.zones = map[string]string{"r0": "za", "r1": "za", "r2": "zb", "r3": "zb"}
	b.list()
	b.pass(time.Second)
	return b
}

// cut lets all workers of a zone fall silent.
func (b *bench) cut(zone string) {
	for id := range b.workers {
		if b.zones["r"+id[1:2]] == zone {
			b.silent[id] = true
		}
	}
}

func (b *bench) startsIn(zone string) int {
	count := 0
	for _, id := range b.startedAt {
		if b.zones["r"+id[1:2]] == zone {
			count++
		}
	}
	return count
}

func TestAZoneThatFallsSilentGetsNothingNewAfterTheFirstSilence(t *testing.T) {
	b := twoZones(t)
	b.cut("za")
	b.add(gangJob("first", "urgent", "other", 2, 8))
	b.pass(100 * time.Millisecond)
	assert.Equal(t, b.startsIn("za"), 2, "nobody knows yet")
	for n := range 6 {
		b.pass(200 * time.Millisecond)
		b.add(gangJob(fmt.Sprint("later-", n), "urgent", "other", 2, 8))
	}
	b.pass(time.Second)
	assert.Equal(t, b.startsIn("za"), 2)
	for n := range 6 {
		assert.Equal(t, b.runningOf(fmt.Sprint("later-", n)), 2)
	}
}

func TestAZoneWhoseInstancesDoNotAnswerIsLookedAtBeforeItGetsWork(t *testing.T) {
	b := twoZones(t)
	b.cut("za")
	b.core.Suspect("za", b.now, b.wallMS)
	b.add(gangJob("gang", "urgent", "other", 2, 8))
	b.pass(100 * time.Millisecond)
	assert.Equal(t, b.startsIn("za"), 0)
	assert.Equal(t, b.runningOf("gang"), 2)
}

func TestOneSilentWorkerCostsItsNeighboursOneLook(t *testing.T) {
	b := twoZones(t)
	b.silent["w00"] = true
	b.add(gangJob("first", "urgent", "other", 1, 8))
	b.pass(200 * time.Millisecond)
	assert.DeepEqual(t, b.startedAt, []string{"w00"})
	assert.Assert(t, !b.core.isSuspect(b.core.workers["w01"]), "it answered")
	b.add(gangJob("second", "urgent", "other", 1, 8))
	b.pass(100 * time.Millisecond)
	assert.DeepEqual(t, b.startedAt, []string{"w00", "w01"})
}

func TestAnOrderThatWaitsForItsAnswerPutsItsRackInDoubt(t *testing.T) {
	b := twoZones(t)
	b.add(gangJob("first", "urgent", "other", 2, 8))
	for range 10 { // its starts are under way all the time
		b.now = b.now.Add(50 * time.Millisecond)
		for _, a := range b.core.Decide(b.now, b.wallMS) {
			if a.Kind != ActStart && a.Kind != ActPoll {
				b.carryOut(a)
			}
		}
	}
	assert.Assert(t, b.core.isSuspect(b.core.workers["w05"]))
	assert.Assert(t, b.core.isSuspect(b.core.workers["w15"]), "nobody of the rack answered, so its zone is in doubt")
	assert.Assert(t, !b.core.isSuspect(b.core.workers["w25"]))
}
