package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// observedFleet returns a core whose workers have been observed, with errors of the given standard
// deviation, to have speeds around the centers in turn.
func observedFleet(workers int, deviation float64, centers ...float64) *Core {
	random := rand.New(rand.NewPCG(1, 7))
	c := newBench(nil, workers, false).core
	c.speeds.unequal, c.speeds.variance = true, 0.15
	for n, w := range c.fleet {
		w.speed.settled = centers[n%len(centers)] + deviation*random.NormFloat64()
		w.speed.precision = 1 / (deviation * deviation)
		w.speed.compute(&c.speeds.speedPrior)
	}
	return c
}

func TestKindsOfWorkersAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		deviation float64
		centers   []float64
		kinds     int
	}{
		"three kinds":                         {0.1, []float64{-0.5, 0, 0.47}, 3},
		"two kinds, one of them rare":         {0.1, []float64{0, 0, 0, 0, 0, -0.6}, 2},
		"kinds that observations blur":        {0.15, []float64{-0.2, 0, 0.2}, 0},
		"one kind":                            {0.12, []float64{0}, 0},
		"speeds that are too little observed": {0.3, []float64{-0.5, 0, 0.47}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			core := observedFleet(90, c.deviation, c.centers...)
			core.findKinds()
			assert.Equal(t, len(core.speeds.kinds), c.kinds, "%+v", core.speeds.kinds)
		})
	}
}

func TestOnAFewWorkersNoKindsAreFound(t *testing.T) {
	core := observedFleet(12, 0.1, -0.5, 0, 0.47)
	core.findKinds()
	assert.Equal(t, len(core.speeds.kinds), 0)
}

// Without kinds the worker would count as 0.8 of the usual speed.
func TestAWorkerWithAFewRunsHasTheSpeedOfItsKind(t *testing.T) {
	core := observedFleet(90, 0.1, -0.5, 0, 0.47)
	core.findKinds()
	w := &workerSpeed{settled: -0.42, precision: 1 / (0.2 * 0.2)}
	w.compute(&core.speeds.speedPrior)
	assert.Assert(t, math.Abs(w.value+0.5) < 0.1, "%.2f", w.value)
	unclear := &workerSpeed{settled: -0.25, precision: 1 / (0.2 * 0.2)}
	unclear.compute(&core.speeds.speedPrior)
	assert.Assert(t, unclear.variance > 2*w.variance, "%.3f between two kinds, %.3f beside one", unclear.variance, w.variance)
}

// A quarter of the workers is replaced while urgent work continues.
func TestReplacedWorkersAreKnownWithinSeconds(t *testing.T) {
	for name, without := range map[string][]Mechanism{"explored": nil, "not explored": {MechExploreSpeeds}} {
		t.Run(name, func(t *testing.T) {
			s := newSpeedBench(t, 40, 0.6, 1, 1.6)
			s.core.Tune(Tuning{Without: without})
			s.learn()
			for n := range 10 {
				s.unlisted[fmt.Sprintf("w%02d", n)] = true
				id := fmt.Sprintf("w%02d", 40+n)
				s.addWorker(id)
				s.speeds[id] = []float64{0.6, 1, 1.6}[n%3]
			}
			s.listWorkers()
			s.play(200 * time.Millisecond)
			for n := range 3 {
				s.add(gangJob(fmt.Sprintf("gang%d", n), "batch", "other", 5, 8))
				s.play(1500 * time.Millisecond)
			}
			known := 0
			for n := range 10 {
				if s.core.workers[fmt.Sprintf("w%02d", 40+n)].speed.isKnown() {
					known++
				}
			}
			assert.Equal(t, known >= 8, without == nil, "%d of 10 are known", known)
		})
	}
}
