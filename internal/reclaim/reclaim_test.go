package reclaim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

var now = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func newVictim(id string, tasks, onWorker int, ran time.Duration, checkpointable bool) Victim {
	job := model.Job{ID: id, Shape: api.Shape{Tasks: tasks, AcceleratorsPerTask: 1}, Checkpointable: checkpointable, Idempotent: true}
	return Victim{Gang: &model.Gang{Job: job, StartedAt: now.Add(-ran)}, OnWorker: onWorker}
}

func TestCheapest(t *testing.T) {
	cases := map[string]struct {
		victims     []Victim
		want        int
		wantStopped []string
	}{
		"a checkpoint is cheaper than a stop": {
			[]Victim{newVictim("stop", 4, 4, time.Hour, false), newVictim("checkpoint", 4, 4, time.Hour, true)},
			4,
			[]string{"checkpoint"},
		},
		"recently started work is cheaper than old work": {
			[]Victim{newVictim("old", 4, 4, time.Hour, false), newVictim("young", 4, 4, time.Minute, false)},
			4,
			[]string{"young"},
		},
		"a gang on this worker only is cheaper than a widely spread one": {
			[]Victim{newVictim("wide", 64, 4, 0, true), newVictim("whole", 4, 4, 0, true)},
			4,
			[]string{"whole"},
		},
		"a small victim that a later one made redundant is not stopped": {
			[]Victim{newVictim("small", 1, 1, 0, true), newVictim("large", 8, 8, time.Minute, false)},
			8,
			[]string{"large"},
		},
		"too few accelerators yield no victims": {
			[]Victim{newVictim("a", 2, 2, 0, true)},
			4, nil,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, v := range Cheapest(c.victims, c.want, now) {
				got = append(got, v.Gang.Job.ID)
			}
			assert.DeepEqual(t, got, c.wantStopped)
		})
	}
}

func TestLimitsLeaveTimeToStartUrgentWork(t *testing.T) {
	assert.Assert(t, CheckpointTimeout+StopTimeout < UrgentStartLimit-time.Second)
}
