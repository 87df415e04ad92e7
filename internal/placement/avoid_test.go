package placement

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/estimate"
	"github.com/corianderbank/corianderbank/internal/model"
)

func TestJobAvoidsWorkersItFailedOn(t *testing.T) {
	cases := map[string]struct {
		workers []string
		tasks   int
		avoid   []string
		want    []string
	}{
		"another worker is used":                      {[]string{"a", "b", "c"}, 1, []string{"a"}, []string{"b"}},
		"two failures leave the third worker":         {[]string{"a", "b", "c"}, 1, []string{"a", "b"}, []string{"c"}},
		"a gang avoids the worker":                    {[]string{"a", "b", "c"}, 2, []string{"b"}, []string{"a", "c"}},
		"the other workers cannot hold the job":       {[]string{"a", "b"}, 2, []string{"a"}, []string{"a", "b"}},
		"an avoided worker that left is ignored":      {[]string{"a", "b"}, 1, []string{"gone"}, []string{"a"}},
		"all workers are used after failures on each": {[]string{"a", "b"}, 1, []string{"a", "b"}, []string{"a"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			s := Snapshot{Now: time.Unix(1000, 0), Zone: "z1", RunTimes: estimate.Declared{}, Accounts: []model.ClientAccount{{Name: "acme"}}}
			for _, id := range test.workers {
				s.Workers = append(s.Workers, model.Worker{ID: id, Rack: "r", Zone: "z1", Accelerators: 8, Health: model.WorkerHealthy})
			}
			s.Waiting = []model.Job{{
				ID: "j", Account: "acme", Shape: api.Shape{Tasks: test.tasks, AcceleratorsPerTask: 8}, Idempotent: true,
				SubmittedAt: s.Now, DeclaredRunTime: time.Minute, MayBorrow: true, Avoid: test.avoid,
			}}
			plan := Decide(s)
			assert.Equal(t, len(plan.Placements), 1)
			var got []string
			for _, task := range plan.Placements[0].Tasks {
				got = append(got, task.Worker)
			}
			slices.Sort(got)
			assert.DeepEqual(t, got, test.want)
		})
	}
}

func TestClaimStopsBorrowersOutsideAvoidedWorkers(t *testing.T) {
	shape := api.Shape{Tasks: 1, AcceleratorsPerTask: 8}
	s := Snapshot{Now: time.Unix(1000, 0), Zone: "z1", RunTimes: estimate.Declared{}, Accounts: []model.ClientAccount{
		{Name: "acme", Guarantees: map[string][]model.GuaranteedShape{"z1": {{Shape: shape, Count: 1}}}}, {Name: "orbit"},
	}}
	for _, id := range []string{"a", "b"} {
		s.Workers = append(s.Workers, model.Worker{ID: id, Rack: "r", Zone: "z1", Accelerators: 8, Health: model.WorkerHealthy})
		s.Gangs = append(s.Gangs, model.Gang{
			Job:        model.Job{ID: "borrower-" + id, Account: "orbit", Shape: shape, Idempotent: true, MayBorrow: true, DeclaredRunTime: time.Hour},
			State:      model.GangRunning,
			Placements: []api.TaskPlacement{{Worker: id, Tasks: 1, Accelerators: 8}},
			StartedAt:  s.Now, ExpectedCompletion: s.Now.Add(time.Hour), Borrowed: true,
		})
	}
	s.Waiting = []model.Job{{ID: "j", Account: "acme", Shape: shape, Idempotent: true, SubmittedAt: s.Now, DeclaredRunTime: time.Minute, Urgent: true, Avoid: []string{"a"}}}
	plan := Decide(s)
	assert.Equal(t, len(plan.Reclaims), 1)
	assert.Equal(t, plan.Reclaims[0].JobID, "borrower-b")
}
