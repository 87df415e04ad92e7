package placement

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

// TestViolationsCatchesPlantedFaults checks that violations detects the states that a
// faulty decision would lead to.
func TestViolationsCatchesPlantedFaults(t *testing.T) {
	whole := api.Shape{Tasks: 2, AcceleratorsPerTask: 8, SameRack: true}
	guaranteed := model.ClientAccount{Name: "a", Guarantees: map[string][]model.GuaranteedShape{testZone: {{Shape: whole, Count: 1}}}}
	makeNonPreemptible := func(job *model.Job) { job.Idempotent, job.Checkpointable = false, false }
	cases := map[string]struct {
		gang func(workers []model.Worker) model.Gang
		want string
	}{
		"a valid state": {func(w []model.Worker) model.Gang {
			return runningGang(testJob("j", "b", 2, 8), time.Hour, true, placedOn(w[0].ID, 1, 8), placedOn(w[1].ID, 1, 8))
		}, ""},
		"a gang runs only part of its tasks": {func(w []model.Worker) model.Gang {
			return runningGang(testJob("j", "b", 2, 8), time.Hour, true, placedOn(w[0].ID, 1, 8))
		}, "runs 1 of 2 tasks"},
		"a worker is oversubscribed": {func(w []model.Worker) model.Gang {
			return runningGang(testJob("j", "b", 2, 8), time.Hour, true, placedOn(w[0].ID, 2, 8))
		}, "holds 16 accelerators"},
		"a gang is spread over racks": {func(w []model.Worker) model.Gang {
			return runningGang(testJob("j", "b", 2, 8), time.Hour, true, placedOn(w[0].ID, 1, 8), placedOn(w[2].ID, 1, 8))
		}, "is spread over racks"},
		"a job that cannot be stopped borrows": {func(w []model.Worker) model.Gang {
			return runningGang(modified(testJob("j", "b", 1, 8), makeNonPreemptible), time.Hour, true, placedOn(w[0].ID, 1, 8))
		}, "cannot be stopped"},
		"a guarantee is fragmented by a fixed gang": {func(w []model.Worker) model.Gang {
			job := modified(testJob("j", "b", 2, 8), makeNonPreemptible)
			job.Shape.SameRack = false
			return runningGang(job, time.Hour, false, placedOn(w[0].ID, 1, 8), placedOn(w[2].ID, 1, 8))
		}, "cannot be reclaimed"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			s := testSnapshot(2, 2, guaranteed, model.ClientAccount{Name: "b"})
			s.Gangs = []model.Gang{test.gang(s.Workers)}
			found := strings.Join(violations(s), "; ")
			if test.want == "" {
				assert.Equal(t, found, "")
				return
			}
			assert.Assert(t, strings.Contains(found, test.want), "found %q", found)
		})
	}
}
