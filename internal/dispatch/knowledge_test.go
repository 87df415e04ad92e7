package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/knowledge"
)

// replaceLeader starts a new epoch with stored knowledge.
func (s *speedBench) replaceLeader(k knowledge.Knowledge) {
	s.core = New(testBounds, s.core.epoch+1, s.now, s.now)
	s.core.Configure(testConfig())
	s.core.Restore(k, s.now, s.wallMS)
	s.listWorkers()
}

func TestUrgentWorkAfterATakeoverStartsWhereItEndsInTime(t *testing.T) {
	for name, restored := range map[string]bool{"with what the predecessor learned": true, "without it": false} {
		t.Run(name, func(t *testing.T) {
			s := newLearnedBench(t, 12, 0.6, 1, 1.6)
			var k knowledge.Knowledge
			if restored {
				k = s.core.Knowledge()
			}
			s.replaceLeader(k)
			slow := 0
			for n := range 3 {
				s.add(gangJob(fmt.Sprintf("urgent%d", n), "urgent", "other", 2, 8))
			}
			s.play(100 * time.Millisecond)
			for n := range 3 {
				used := s.speedsUsed(fmt.Sprintf("urgent%d", n))
				assert.Equal(t, len(used), 2)
				for _, speed := range used {
					if speed < 1 {
						slow++
					}
				}
			}
			assert.Equal(t, slow == 0, restored, "%d of 6 workers are slow", slow)
		})
	}
}

func TestRestoredRunTimesAndUseAreThoseOfThePredecessor(t *testing.T) {
	s := newLearnedBench(t, 12, 0.6, 1, 1.6)
	s.core.urgentUsage["pool"] = 24
	step := s.core.jobs["learn0"].probeStep()
	before := s.core.estimates.taskDuration(step)
	s.replaceLeader(s.core.Knowledge())
	step.durationAsOf = 0
	assert.Equal(t, s.core.estimates.taskDuration(step), before)
	assert.Equal(t, s.core.urgentUsage["pool"], 24.0)
}

func TestACrashThatThePredecessorSawCountsAgainstItsMachine(t *testing.T) {
	s := newSpeedBench(t, 12, 1)
	s.core.machineCrashes["00"] = []machineCrash{{at: s.now.Add(-4 * time.Second)}, {at: s.now.Add(-crashMemory + time.Second)}}
	k := s.core.Knowledge()
	s.replaceLeader(k)
	assert.Equal(t, s.core.recentCrashes(s.core.workers["w00"]), 2)
	s.play(2 * time.Second)
	assert.Equal(t, s.core.recentCrashes(s.core.workers["w00"]), 1)
}

// The worker restarted while there was no leader.
func TestTheSpeedOfAnEarlierIncarnationIsNotReliedOn(t *testing.T) {
	s := newSpeedBench(t, 12, 0.6, 1, 1.6)
	s.numberIncarnations()
	s.learn()
	k := s.core.Knowledge()
	s.restart("w00")
	s.replaceLeader(k)
	s.play(100 * time.Millisecond)
	known := s.core.Speeds()
	assert.Assert(t, known["w00"] == 0 && known["w03"] != 0, "%v", known)
}

func TestEqualWorkersLeaveNoSpeeds(t *testing.T) {
	s := newLearnedBench(t, 12, 1)
	assert.Equal(t, len(s.core.Knowledge().Speeds), 0)
}
