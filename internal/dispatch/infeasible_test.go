package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

func TestInfeasibleStepRulesOutOnlyStepsThatNeedAsMuch(t *testing.T) {
	found := gangJob("found", "batch", "other", 4, 4)
	for name, c := range map[string]struct {
		change   func(job *workload.Job, u *pendingStep)
		ruledOut bool
	}{
		"the same":              {func(*workload.Job, *pendingStep) {}, true},
		"a larger gang":         {func(j *workload.Job, _ *pendingStep) { j.Steps[0].Count = 5 }, true},
		"a longer one":          {func(_ *workload.Job, u *pendingStep) { u.duration *= 2 }, true},
		"a smaller gang":        {func(j *workload.Job, _ *pendingStep) { j.Steps[0].Count = 3 }, false},
		"a shorter one":         {func(_ *workload.Job, u *pendingStep) { u.duration /= 2 }, false},
		"tasks that need less":  {func(j *workload.Job, _ *pendingStep) { j.Steps[0].Need.Accelerators = 2 }, false},
		"another label":         {func(j *workload.Job, _ *pendingStep) { j.Steps[0].Label = "kind-b" }, false},
		"work that may preempt": {func(_ *workload.Job, u *pendingStep) { u.rank.class = 0 }, false},
		"a limit per worker":    {func(j *workload.Job, _ *pendingStep) { j.Steps[0].MaxPerWorker = 1 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 1, false)
			pendingStepOf := func(submitted *workload.Job, change func(*workload.Job, *pendingStep)) *pendingStep {
				u := &pendingStep{queue: b.core.config.Queue("batch"), duration: 4 * time.Second, rank: rank{class: 3}}
				change(submitted, u)
				s := newStep(&job{Job: submitted}, 0, 0)
				u.step = s
				for i := range s.tasks {
					u.tasks = append(u.tasks, &s.tasks[i])
				}
				return u
			}
			first := pendingStepOf(found, func(*workload.Job, *pendingStep) {})
			stepShape, cacheable := b.core.shapeOf(first)
			assert.Assert(t, cacheable)
			known := make(infeasible)
			known.record(stepShape, first)
			next := pendingStepOf(gangJob("next", "batch", "other", 4, 4), c.change)
			stepShape, cacheable = b.core.shapeOf(next)
			assert.Equal(t, cacheable && known.rulesOut(stepShape, next), c.ruledOut)
		})
	}
}

func TestFullDeploymentStartsWhatFitsBehindManyThatDoNot(t *testing.T) {
	b := newBench(t, 2, false)
	b.add(singleJob("filler", "batch", "other", 7, 2))
	b.advance(time.Second)
	for n := range 30 {
		b.add(gangJob(fmt.Sprintf("large-%02d", n), "batch", "other", 2, 8))
	}
	small := singleJob("small", "batch", "other", 1, 2)
	small.Steps[0].EstimateMS = 100
	b.add(small)
	b.advance(time.Second)
	assert.Equal(t, b.runningOf("small"), 1)
}
