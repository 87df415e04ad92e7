package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// interrupted returns the jobs of a prefix that have runs which were ordered to stop.
func (b *bench) interrupted(prefix string) int {
	count := 0
	for id, j := range b.core.jobs {
		stopping := false
		for _, s := range j.steps {
			for i := range s.tasks {
				for _, r := range s.tasks[i].runs {
					stopping = stopping || r.stopping()
				}
			}
		}
		if stopping && strings.HasPrefix(id, prefix) {
			count++
		}
	}
	return count
}

// fullOfGangs returns a bench with 16 workers full of large gangs. The gangs started at different
// times, so that the members that lose least by themselves belong to different ones.
func fullOfGangs(t *testing.T, without ...Mechanism) *bench {
	b := newBench(t, 16, false)
	b.core.Tune(Tuning{Without: without})
	b.stopTakes = 100 * time.Millisecond
	for n := range 4 {
		large := gangJob(fmt.Sprintf("large%d", n), "batch", "other", 16, 2)
		large.Steps[0].MaxPerWorker = 1 // a member of each on every worker
		b.add(large)
		b.advance(100 * time.Millisecond)
	}
	assert.Equal(t, b.runningOf("large0")+b.runningOf("large3"), 32)
	return b
}

func TestVictimsShareAGang(t *testing.T) {
	for name, c := range map[string]struct {
		tasks       int
		need        int64
		without     []Mechanism
		interrupted int
	}{
		"a gang of eight takes the places of one large gang": {8, 2, nil, 1},
		"one that needs half of each worker that of two":     {8, 4, nil, 2},
		"whole workers cost all gangs":                       {4, 8, nil, 4},
	} {
		t.Run(name, func(t *testing.T) {
			b := fullOfGangs(t, c.without...)
			b.add(gangJob("urgent", "urgent", "other", c.tasks, c.need))
			b.advance(50 * time.Millisecond)
			assert.Equal(t, b.interrupted("large"), c.interrupted)
			b.advance(400 * time.Millisecond)
			assert.Equal(t, b.runningOf("urgent"), c.tasks)
		})
	}
}

// Each worker runs a member of a small gang and one of a large gang that has started later. A member
// of a small gang loses less, the places of all of them lose more than the large one.
func TestAnUrgentGangInterruptsAsFewGangsAsPossible(t *testing.T) {
	for name, c := range map[string]struct {
		without      []Mechanism
		large, small int
	}{
		"victims that share a gang": {nil, 1, 0},
		"victim by victim":          {[]Mechanism{MechGangVictims}, 0, 4},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 8, false)
			b.core.Tune(Tuning{Without: c.without})
			for n := range 4 {
				b.add(gangJob(fmt.Sprintf("small%d", n), "batch", "other", 2, 5))
			}
			b.advance(200 * time.Millisecond)
			b.add(gangJob("large", "batch", "other", 8, 3))
			b.advance(200 * time.Millisecond)
			b.stopTakes = time.Second
			b.add(gangJob("urgent", "urgent", "other", 8, 3))
			b.advance(100 * time.Millisecond)
			assert.Equal(t, b.interrupted("large"), c.large)
			assert.Equal(t, b.interrupted("small"), c.small)
		})
	}
}

// The rest of a victim's gang would run on until the victim has ended.
func TestAVictimsGangIsStoppedAtOnce(t *testing.T) {
	b := fullOfGangs(t)
	b.add(gangJob("urgent", "urgent", "other", 1, 2))
	b.advance(50 * time.Millisecond)
	stopping := 0
	for n := range 4 {
		for i := range b.core.jobs[fmt.Sprintf("large%d", n)].steps[0].tasks {
			for _, r := range b.core.jobs[fmt.Sprintf("large%d", n)].steps[0].tasks[i].runs {
				if r.stopping() {
					stopping++
				}
			}
		}
	}
	assert.Equal(t, stopping, 16)
}

// The stops are lost: the urgent gang starts once they have been repeated, and the other gangs
// restart as a whole.
func TestLostStopsDelayButNothingRunsInPart(t *testing.T) {
	b := fullOfGangs(t)
	dropped := 0
	b.dropStops = func() bool { dropped++; return dropped <= 12 }
	b.add(gangJob("urgent", "urgent", "other", 8, 2))
	b.advance(3 * time.Second)
	assert.Equal(t, b.runningOf("urgent"), 8)
	for n := range 4 {
		running := b.runningOf(fmt.Sprintf("large%d", n))
		assert.Assert(t, running == 0 || running == 16, "large%d runs with %d of 16", n, running)
	}
	b.endAll(workload.CompletionDone)
	b.advance(time.Second)
}

// The workers of a large deployment are full of gangs; an urgent one needs thirty whole workers.
func BenchmarkVictimsOfGangs(b *testing.B) {
	for _, workers := range []int{350, 3000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			bench := newBench(b, workers, false)
			for n := range workers / 10 {
				large := gangJob(fmt.Sprintf("large%d", n), "batch", "other", 40, 2)
				large.Steps[0].MaxPerWorker = 1
				bench.add(large)
			}
			bench.advance(time.Second)
			c := bench.core
			c.AddJob(gangJob("urgent", "urgent", "other", 30, 8), Record{}, false, bench.now, bench.wallMS)
			var u *pendingStep
			for _, pending := range c.pendingSteps() {
				if pending.step.job.ID == "urgent" {
					u = pending
				}
			}
			workers := c.capacities()["pool"]
			b.ResetTimer()
			for range b.N {
				c.gangPlans = 0
				c.gangPlanOn(u, workers)
			}
		})
	}
}
