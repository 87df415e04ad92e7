package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

// snapshotWithWaitingClaim returns a zone of one rack of three workers that account a
// fills. Account b has claimed its two workers, and the gangs of account a there are
// being stopped.
func snapshotWithWaitingClaim(t *testing.T) Snapshot {
	t.Helper()
	s := testSnapshot(1, 3, testAccount("a", 1, 1), testAccount("b", 1, 2))
	for _, id := range []string{"a0", "a1", "a2"} {
		s.Waiting = append(s.Waiting, testJob(id, "a", 1, 8))
	}
	s = applyPlan(s, Decide(s))
	assert.Equal(t, len(s.Gangs), 3)
	s.Waiting = append(s.Waiting, testJob("claim", "b", 2, 8))
	plan := Decide(s)
	assert.Equal(t, len(plan.KeptRegions), 1)
	return applyPlan(s, plan)
}

func TestKeptRegionIsHeldUntilItsClaimStarts(t *testing.T) {
	cases := map[string]struct {
		change func(s *Snapshot)
		want   bool
	}{
		"the gangs that held it have ended": {func(*Snapshot) {}, true},
		"an urgent job of the same account is submitted later": {func(s *Snapshot) {
			urgent := testJob("urgent", "b", 1, 8)
			urgent.Urgent = true
			s.Waiting = append(s.Waiting, urgent)
		}, true},
		"an urgent job of another account could borrow the region": {func(s *Snapshot) {
			urgent := testJob("urgent", "a", 1, 8)
			urgent.Urgent = true
			s.Waiting = append(s.Waiting, urgent)
		}, true},
		"a worker of the region is lost": {func(s *Snapshot) {
			lost := s.KeptRegions[0].Tasks[0].Worker
			s.Workers = slices.Clone(s.Workers)
			for i := range s.Workers {
				if s.Workers[i].ID == lost {
					s.Workers[i].Health = model.WorkerQuarantined
				}
			}
		}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := snapshotWithWaitingClaim(t)
			c.change(&s)
			kept := s.KeptRegions[0]
			plan := Decide(completeStops(s))
			at := slices.IndexFunc(plan.Placements, func(p Placement) bool { return p.JobID == kept.JobID })
			assert.Equal(t, at >= 0 && sameWorkers(plan.Placements[at].Tasks, kept.Tasks), c.want)
		})
	}
}

func sameWorkers(a, b []api.TaskPlacement) bool {
	return slices.EqualFunc(a, b, func(x, y api.TaskPlacement) bool { return x.Worker == y.Worker && x.Tasks == y.Tasks })
}

// TestUrgentBorrowingDoesNotTakeClaimedShapes checks that an urgent job that the gangs
// of its own account keep out of the guarantee borrows, but not what another account
// claims in the same round.
func TestUrgentBorrowingDoesNotTakeClaimedShapes(t *testing.T) {
	guarantee := func(name string, shape api.Shape, count int) model.ClientAccount {
		shapes := []model.GuaranteedShape{{Shape: shape, Count: count}}
		return model.ClientAccount{Name: name, Guarantees: map[string][]model.GuaranteedShape{testZone: shapes}}
	}
	large := api.Shape{Tasks: 3, AcceleratorsPerTask: 4, SameRack: true}
	spread := api.Shape{Tasks: 4, AcceleratorsPerTask: 2}
	s := testSnapshot(3, 2, guarantee("claims", large, 1), guarantee("scattered", spread, 2), model.ClientAccount{Name: "other"})
	running := func(account string, shape api.Shape, worker string, preemptible, borrowed bool) {
		job := testJob(fmt.Sprintf("j%d", len(s.Gangs)), account, 1, 1)
		job.Shape, job.Idempotent, job.Checkpointable = shape, preemptible, preemptible
		task := api.TaskPlacement{Worker: worker, Tasks: shape.Tasks, Accelerators: shape.Accelerators()}
		s.Gangs = append(s.Gangs, model.Gang{
			Job: job, State: model.GangRunning, Borrowed: borrowed, StartedAt: testNow,
			Placements: []api.TaskPlacement{task}, ExpectedCompletion: testNow.Add(time.Hour),
		})
	}
	one := api.Shape{Tasks: 1, AcceleratorsPerTask: 1}
	running("scattered", spread, "r01-w00", false, false)
	running("scattered", one, "r01-w01", false, false)
	running("scattered", spread, "r00-w00", true, true)
	running("other", one, "r01-w01", false, false)
	running("scattered", one, "r01-w01", false, false)
	running("scattered", one, "r02-w00", true, false)
	urgent := testJob("urgent", "scattered", 3, 2)
	urgent.Urgent, urgent.Shape.SameRack = true, false
	claim := testJob("claim", "claims", 1, 1)
	claim.Shape, claim.MayBorrow = large, false
	s.Waiting = []model.Job{urgent, claim}

	plan := Decide(s)
	assert.Assert(t, slices.ContainsFunc(plan.Placements, func(p Placement) bool { return p.JobID == "claim" }), "%v", plan.Decisions)
}
