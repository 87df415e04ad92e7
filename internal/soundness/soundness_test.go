package soundness

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func job(n int) Step { return Step{Job: fmt.Sprint("job", n)} }

func TestUnsoundWorkersAreToldFromFaultyJobs(t *testing.T) {
	for name, c := range map[string]struct {
		record   func(record func(worker string, s Step, failed bool))
		low, top float64
	}{
		"nothing is known":                           {func(func(string, Step, bool)) {}, 0, 0.03},
		"one failure of a job that ran nowhere else": {func(r func(string, Step, bool)) { r("w", job(1), true) }, 0.1, 0.3},
		"twelve failures of a job that ran nowhere else": {func(r func(string, Step, bool)) {
			for range 12 {
				r("w", job(1), true)
			}
		}, 0.1, 0.35},
		"two jobs failed": {func(r func(string, Step, bool)) { r("w", job(1), true); r("w", job(2), true) }, 0.5, 0.9},
		"two runs failed of a job that others have done": {func(r func(string, Step, bool)) {
			r("a", job(1), false)
			r("b", job(1), false)
			r("w", job(1), true)
			r("w", job(1), true)
		}, 0.7, 1},
		"a faulty job failed on every worker": {func(r func(string, Step, bool)) {
			for _, w := range []string{"a", "b", "c", "w"} {
				r(w, job(1), true)
			}
		}, 0, 0.1},
		"every second run fails": {func(r func(string, Step, bool)) {
			for n := range 12 {
				r("w", job(n), n%2 == 0)
			}
		}, 0.9, 1},
		"one success does not clear twenty failures": {func(r func(string, Step, bool)) {
			for n := range 20 {
				r("w", job(n), true)
			}
			r("w", job(20), false)
		}, 0.9, 1},
		"a long-running step failed and succeeded a thousand times": {func(r func(string, Step, bool)) {
			for n := range 2000 {
				r("w", job(1), n%2 == 0)
			}
		}, 0.7, 1},
		"a chance failure among many successes": {func(r func(string, Step, bool)) {
			r("w", job(0), true)
			for n := range 8 {
				r("w", job(n+1), false)
			}
		}, 0, 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			tracker, now := NewTracker(), start
			c.record(func(worker string, s Step, failed bool) {
				tracker.Record(worker, s, failed, now, now.Add(time.Millisecond))
				now = now.Add(2 * time.Millisecond)
			})
			p := tracker.Unsound("w", now)
			assert.Assert(t, p >= c.low && p <= c.top, "%.3f", p)
		})
	}
}

func TestEvidenceOutlivesItsJobAndFades(t *testing.T) {
	tracker := NewTracker()
	tracker.Record("w", job(1), true, start, start)
	tracker.Record("w", job(2), true, start, start)
	before := tracker.Unsound("w", start)
	tracker.Forget(job(1), start)
	tracker.Forget(job(2), start)
	assert.Equal(t, len(tracker.steps), 0)
	assert.Assert(t, tracker.Unsound("w", start) > before-0.01)
	assert.Assert(t, tracker.Unsound("w", start.Add(time.Hour)) < 0.03)
}

func TestSuccessesOfRunsThatBeganBeforeAFailureDoNotClearTheWorker(t *testing.T) {
	tracker := NewTracker()
	tracker.Record("w", job(1), true, start, start.Add(time.Second))
	tracker.Record("w", job(2), true, start, start.Add(time.Second))
	before := tracker.Unsound("w", start.Add(time.Second))
	for n := range 8 {
		assert.Assert(t, !tracker.Record("w", job(3+n), false, start, start.Add(time.Second)))
	}
	assert.Equal(t, tracker.Unsound("w", start.Add(time.Second)), before)
}
