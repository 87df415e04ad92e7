package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// speedsUsed returns the speeds of the workers on which a job runs, one per task.
func (s *speedBench) speedsUsed(job string) []float64 {
	var list []float64
	for id, w := range s.workers {
		for key := range w.running {
			if key.task.Job == job {
				list = append(list, s.speeds[id])
			}
		}
	}
	return list
}

func newLearnedBench(t *testing.T, workers int, speeds ...float64) *speedBench {
	s := newSpeedBench(t, workers, speeds...)
	s.learn()
	return s
}

// unlistFast removes all but the slow workers from the platform's list.
func (s *speedBench) unlistFast() {
	for id, speed := range s.speeds {
		s.unlisted[id] = speed >= 1
	}
	s.listWorkers()
	s.play(100 * time.Millisecond)
}

// The objective of the urgent queue is 1.5 times the work and 250 ms.
func TestUrgentWorkStartsOnlyWhereItEndsInTime(t *testing.T) {
	s := newLearnedBench(t, 12, 0.6, 1, 1.6)
	for n := range 4 {
		s.add(gangJob(fmt.Sprintf("urgent%d", n), "urgent", "other", 2, 8))
		s.play(100 * time.Millisecond)
		used := s.speedsUsed(fmt.Sprintf("urgent%d", n))
		assert.Equal(t, len(used), 2)
		for _, speed := range used {
			assert.Assert(t, speed >= 1, "%v", used)
		}
	}
}

func TestWorkThatHasTimeLeavesTheFastWorkersFree(t *testing.T) {
	s := newLearnedBench(t, 12, 0.6, 1, 1.6)
	s.add(gangJob("patient", "batch", "other", 4, 8))
	s.play(100 * time.Millisecond)
	assert.DeepEqual(t, s.speedsUsed("patient"), []float64{0.6, 0.6, 0.6, 0.6})
	s.add(singleJob("tasks", "batch", "other", 16, 2))
	s.play(100 * time.Millisecond)
	for _, speed := range s.speedsUsed("tasks") {
		assert.Equal(t, speed, 1.0)
	}
}

// A slow worker is free, but the gang would miss its objective there. It takes the capacity of
// work with a lower priority on a fast one.
func TestUrgentWorkPreemptsOnAFastWorkerRatherThanEndLateOnASlowOne(t *testing.T) {
	s := newLearnedBench(t, 12, 0.6, 1, 1.6)
	s.workOf = func(workload.TaskID) time.Duration { return time.Minute }
	s.add(singleJob("filler", "batch", "other", 12, 8))
	s.play(200 * time.Millisecond)
	s.workOf = func(workload.TaskID) time.Duration { return 2 * time.Second }
	s.completeOn("w00")
	s.play(200 * time.Millisecond)
	assert.Equal(t, s.speeds["w00"], 0.6)
	assert.Equal(t, len(s.workers["w00"].running), 0)
	s.add(gangJob("urgent", "urgent", "other", 1, 8))
	s.play(600 * time.Millisecond)
	used := s.speedsUsed("urgent")
	assert.Equal(t, len(used), 1)
	assert.Assert(t, used[0] >= 1, "%v", used)
}

func TestUrgentWorkStartsOnSlowWorkersIfThereAreNoOthers(t *testing.T) {
	s := newLearnedBench(t, 12, 0.6, 1, 1.6)
	s.unlistFast()
	s.add(gangJob("urgent", "urgent", "other", 2, 8))
	s.play(200 * time.Millisecond)
	assert.DeepEqual(t, s.speedsUsed("urgent"), []float64{0.6, 0.6})
}

// Every stop on the fast workers is lost, so that their capacity is never free. The guarantee goes
// before the objective.
func TestGuaranteedWorkStartsWithinItsBoundOnSlowWorkersIfFastOnesAreNotFreed(t *testing.T) {
	s := newLearnedBench(t, 12, 0.6, 1, 1.6)
	s.workOf = func(workload.TaskID) time.Duration { return time.Minute }
	s.add(singleJob("filler", "batch", "other", 12, 8))
	s.play(200 * time.Millisecond)
	s.completeOn("w00")
	s.play(200 * time.Millisecond)
	s.dropStops = func() bool { return true }
	long := gangJob("guaranteed", "urgent", "acme", 1, 8)
	long.Steps[0].Image, long.Steps[0].EstimateMS = "long", 20_000 // its objective leaves it time to wait
	s.add(long)
	s.play(testBounds.MaxReclaimTime)
	assert.Equal(t, len(s.speedsUsed("guaranteed")), 1)
}

func TestWorkThatIsLateAnywayWaitsForNoFastWorker(t *testing.T) {
	s := newLearnedBench(t, 12, 0.6, 1, 1.6)
	s.unlistFast()
	late := gangJob("late", "urgent", "other", 2, 8)
	late.AcceptedMS = s.wallMS - 20_000
	s.core.AddJob(late, Record{}, false, s.now, s.wallMS)
	s.play(200 * time.Millisecond)
	assert.Equal(t, len(s.speedsUsed("late")), 2)
}

func TestPoliciesForWorkersOfUnequalSpeed(t *testing.T) {
	for policy, want := range map[string]float64{"slack_bands": 0.6, "earliest_end": 1.6} {
		t.Run(policy, func(t *testing.T) {
			s := newLearnedBench(t, 12, 0.6, 1, 1.6)
			s.setPolicy(ChoiceSpeed, policy)
			s.add(gangJob("patient", "batch", "other", 1, 8))
			s.play(100 * time.Millisecond)
			assert.DeepEqual(t, s.speedsUsed("patient"), []float64{want})
		})
	}
}
