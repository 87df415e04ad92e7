package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRound measures one round of decisions on a full deployment: about three tasks run on
// each worker, and half as many jobs as there are workers wait. One event precedes each round,
// as under load.
func BenchmarkRound(b *testing.B) {
	for _, workers := range []int{48, 350, 1100, 3000, 6400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			d := newBench(b, 0, false)
			for n := range workers {
				d.addWorker(fmt.Sprintf("w%04d", n))
			}
			d.listWorkers()
			d.round()
			for n := range workers / 2 {
				d.add(singleJob(fmt.Sprintf("small-%d", n), "batch", "other", 5, 2))
				d.add(gangJob(fmt.Sprintf("gang-%d", n), "batch", "other", 2+n%6, 4))
			}
			d.advance(200 * time.Millisecond)
			b.ReportMetric(float64(d.running()), "tasks")
			b.ReportMetric(float64(len(d.core.queue)), "jobs")
			b.ReportAllocs()
			for b.Loop() {
				d.now = d.now.Add(time.Millisecond)
				d.wallMS++
				for _, a := range d.core.Decide(d.now, d.wallMS) {
					d.execute(a)
				}
			}
		})
	}
}

// BenchmarkRoundAfterTakeover measures one round of a leader that has just taken over: every
// worker except the last has answered, and jobs of the previous leader wait for that one.
func BenchmarkRoundAfterTakeover(b *testing.B) {
	for _, workers := range []int{350, 3000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			d := newBench(b, workers, false)
			d.core = New(testBounds, 3, d.now, d.now.Add(time.Hour))
			d.core.Configure(testConfig())
			d.unresponsive[fmt.Sprintf("w%02d", workers-1)] = true
			d.listWorkers()
			for n := range workers / 3 {
				d.add(gangJob(fmt.Sprintf("old-%d", n), "batch", "other", 2+n%6, 4))
			}
			d.advance(300 * time.Millisecond)
			b.ReportMetric(float64(len(d.core.Unsynced())), "unsynced")
			b.ReportAllocs()
			for b.Loop() {
				d.now = d.now.Add(time.Millisecond)
				d.wallMS++
				for _, a := range d.core.Decide(d.now, d.wallMS) {
					d.execute(a)
				}
			}
		})
	}
}

// BenchmarkLearnSpeeds measures one computation of the speeds, with three observed runs on each
// worker. It takes place at most each half second for each thousand workers.
func BenchmarkLearnSpeeds(b *testing.B) {
	for _, workers := range []int{350, 3000, 6000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			d := newBench(b, 0, false)
			for n := range workers {
				d.addWorker(fmt.Sprintf("w%04d", n))
			}
			d.listWorkers()
			rates := make([]*stepRate, workers/10)
			for n := range rates {
				rates[n] = &stepRate{variance: taskDeviation * taskDeviation}
			}
			for n, w := range d.core.fleet {
				for k := range 3 {
					o := &speedObservation{step: rates[(n+k*7)%len(rates)], rate: float64(n%3) / 2, rounding: 0.001}
					w.speed.observations = append(w.speed.observations, o)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				d.core.now = d.core.now.Add(time.Minute)
				d.core.speeds.changed = true
				d.core.learnSpeeds()
			}
		})
	}
}
