package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRound is one round of decisions on a full deployment: about three
// tasks run on each worker, and half as many jobs as there are workers wait.
// One event comes before each round, as it does under load.
func BenchmarkRound(b *testing.B) {
	for _, workers := range []int{48, 350, 1100, 3000, 6400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			d := newBench(b, 0, false)
			for n := range workers {
				d.addWorker(fmt.Sprintf("w%04d", n))
			}
			d.list()
			d.round()
			for n := range workers / 2 {
				d.add(singleJob(fmt.Sprintf("small-%d", n), "batch", "other", 5, 2))
				d.add(gangJob(fmt.Sprintf("gang-%d", n), "batch", "other", 2+n%6, 4))
			}
			d.pass(200 * time.Millisecond)
			b.ReportMetric(float64(d.running()), "tasks")
			b.ReportMetric(float64(len(d.core.queue)), "jobs")
			b.ReportAllocs()
			for b.Loop() {
				d.now = d.now.Add(time.Millisecond)
				d.wallMS++
				for _, a := range d.core.Decide(d.now, d.wallMS) {
					d.carryOut(a)
				}
			}
		})
	}
}

// BenchmarkRoundAfterTakeover is one round of a leader that has just taken over:
// each worker but the last has answered, and jobs of the leader before wait for it.
func BenchmarkRoundAfterTakeover(b *testing.B) {
	for _, workers := range []int{350, 3000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			d := newBench(b, workers, false)
			d.core = New(testBounds, 3, d.now, d.now.Add(time.Hour))
			d.core.Configure(testConfig())
			d.silent[fmt.Sprintf("w%02d", workers-1)] = true
			d.list()
			for n := range workers / 3 {
				d.add(gangJob(fmt.Sprintf("old-%d", n), "batch", "other", 2+n%6, 4))
			}
			d.pass(300 * time.Millisecond)
			b.ReportMetric(float64(len(d.core.Unsynced())), "unsynced")
			b.ReportAllocs()
			for b.Loop() {
				d.now = d.now.Add(time.Millisecond)
				d.wallMS++
				for _, a := range d.core.Decide(d.now, d.wallMS) {
					d.carryOut(a)
				}
			}
		})
	}
}
