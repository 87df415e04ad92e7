package reclaim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

var now = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func victim(id string, tasks, here int, ran time.Duration, checkpointable bool) Victim {
	job := model.Job{ID: id, Shape: api.Shape{Tasks: tasks, AcceleratorsPerTask: 1}, Checkpointable: checkpointable, Idempotent: true}
	return Victim{Gang: &model.Gang{Job: job, StartedAt: now.Add(-ran)}, Here: here}
}

func TestCheapest(t *testing.T) {
	cases := map[string]struct {
		victims []Victim
		want    int
		stopped []string
	}{
		"a checkpoint is cheaper than a stop": {
			[]Victim{victim("stop", 4, 4, time.Hour, false), victim("checkpoint", 4, 4, time.Hour, true)},
			4,
			[]string{"checkpoint"},
		},
		"young work is cheaper than old": {
			[]Victim{victim("old", 4, 4, time.Hour, false), victim("young", 4, 4, time.Minute, false)},
			4,
			[]string{"young"},
		},
		"a gang that lies here whole is cheaper than one spread widely": {
			[]Victim{victim("wide", 64, 4, 0, true), victim("whole", 4, 4, 0, true)},
			4,
			[]string{"whole"},
		},
		"a small victim that a later one made needless is spared": {
			[]Victim{victim("small", 1, 1, 0, true), victim("large", 8, 8, time.Minute, false)},
			8,
			[]string{"large"},
		},
		"too few accelerators give nothing": {
			[]Victim{victim("a", 2, 2, 0, true)},
			4, nil,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, v := range Cheapest(c.victims, c.want, now) {
				got = append(got, v.Gang.Job.ID)
			}
			assert.DeepEqual(t, got, c.stopped)
		})
	}
}

func TestLimitsLeaveTimeToStartUrgentWork(t *testing.T) {
	assert.Assert(t, CheckpointWithin+StopWithin < UrgentStart-time.Second)
}
