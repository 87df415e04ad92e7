package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/estimate"
	"github.com/corianderbank/corianderbank/internal/model"
)

const testZone = "z1"

var testNow = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// testWorkers returns healthy workers with 8 accelerators each.
func testWorkers(racks, perRack int) []model.Worker {
	var workers []model.Worker
	for r := range racks {
		for w := range perRack {
			workers = append(workers, model.Worker{
				ID: fmt.Sprintf("r%02d-w%02d", r, w), Rack: fmt.Sprintf("r%02d", r), Zone: testZone,
				Accelerators: 8, Health: model.WorkerHealthy,
			})
		}
	}
	return workers
}

// testAccount returns an account with count guaranteed shapes of the given tasks of 8
// accelerators in one rack.
func testAccount(name string, count, tasks int) model.ClientAccount {
	shape := model.GuaranteedShape{Shape: api.Shape{Tasks: tasks, AcceleratorsPerTask: 8, SameRack: true}, Count: count}
	return model.ClientAccount{Name: name, Guarantees: map[string][]model.GuaranteedShape{testZone: {shape}}}
}

// testJob returns a preemptible job that may borrow.
func testJob(id, account string, tasks, perTask int) model.Job {
	return model.Job{
		ID: id, Account: account, Kind: "k", Shape: api.Shape{Tasks: tasks, AcceleratorsPerTask: perTask, SameRack: true},
		Idempotent: true, Checkpointable: true, SubmittedAt: testNow, DeclaredRunTime: time.Hour, MayBorrow: true,
	}
}

func testSnapshot(racks, perRack int, accounts ...model.ClientAccount) Snapshot {
	return Snapshot{
		Now: testNow, Zone: testZone, Workers: testWorkers(racks, perRack), Accounts: accounts,
		RunTimes: estimate.Declared{}, Objectives: model.Objectives{CompletionTime: 0.5, Fragmentation: 0.5},
	}
}

// applyPlan returns the snapshot after a plan: placed jobs run, reclaimed gangs are
// stopping and refused jobs are removed.
func applyPlan(s Snapshot, plan Plan) Snapshot {
	jobs := make(map[string]model.Job)
	for _, job := range s.Waiting {
		jobs[job.ID] = job
	}
	gangs := append([]model.Gang(nil), s.Gangs...)
	for _, reclaimed := range plan.Reclaims {
		for i := range gangs {
			if gangs[i].Job.ID == reclaimed.JobID {
				gangs[i].State = model.GangStopping
			}
		}
	}
	for _, p := range plan.Placements {
		gangs = append(gangs, model.Gang{
			Job: jobs[p.JobID], State: model.GangRunning, Placements: p.Tasks, StartedAt: s.Now,
			ExpectedCompletion: p.ExpectedCompletion, Borrowed: p.Borrowed,
		})
		delete(jobs, p.JobID)
	}
	for _, refused := range plan.Refusals {
		delete(jobs, refused.JobID)
	}
	var waiting []model.Job
	for _, job := range s.Waiting {
		if _, still := jobs[job.ID]; still {
			waiting = append(waiting, job)
		}
	}
	s.Gangs, s.Waiting, s.KeptRegions = gangs, waiting, plan.KeptRegions
	return s
}

// completeStops returns the snapshot without the gangs that are being stopped.
func completeStops(s Snapshot) Snapshot {
	var gangs []model.Gang
	for _, gang := range s.Gangs {
		if gang.State != model.GangStopping {
			gangs = append(gangs, gang)
		}
	}
	s.Gangs = gangs
	return s
}

func TestGuaranteeIsReclaimedFromBorrowers(t *testing.T) {
	s := testSnapshot(2, 2, testAccount("a", 1, 2), testAccount("b", 1, 2))
	for i := range 4 {
		s.Waiting = append(s.Waiting, testJob(fmt.Sprintf("a%d", i), "a", 1, 8))
	}
	s = applyPlan(s, Decide(s))
	assert.Equal(t, len(s.Gangs), 4, "a borrows what b does not use")

	claim := testJob("claim", "b", 2, 8)
	claim.Urgent = true
	s.Waiting = append(s.Waiting, claim)
	plan := Decide(s)
	assert.Equal(t, len(plan.Reclaims), 2)
	assert.Equal(t, len(plan.Placements), 0)

	s = applyPlan(s, plan)
	again := Decide(s)
	assert.Equal(t, len(again.Reclaims), 0, "the claim waits for borrowers that are being stopped")
	plan = Decide(completeStops(s))
	assert.Equal(t, len(plan.Placements), 1)
	assert.Equal(t, plan.Placements[0].JobID, "claim")
	assert.Assert(t, !plan.Placements[0].Borrowed)
	assert.NilError(t, Recheck(completeStops(s), plan.Placements[0]))
}

func TestNonPreemptibleJobsBreakNoGuarantee(t *testing.T) {
	s := testSnapshot(2, 2, testAccount("a", 1, 2), testAccount("b", 1, 2))
	for i := range 4 {
		job := testJob(fmt.Sprintf("a%d", i), "a", 1, 8)
		job.Idempotent, job.Checkpointable = false, false
		s.Waiting = append(s.Waiting, job)
	}
	plan := Decide(s)
	assert.Equal(t, len(plan.Placements), 2, "such jobs are confined to the guarantee of their account")
}

func TestCheckGuarantees(t *testing.T) {
	small := func(name string, count int) model.ClientAccount {
		shape := model.GuaranteedShape{Shape: api.Shape{Tasks: 1, AcceleratorsPerTask: 4}, Count: count}
		return model.ClientAccount{Name: name, Guarantees: map[string][]model.GuaranteedShape{testZone: {shape}}}
	}
	cases := map[string]struct {
		racks, perRack int
		accounts       []model.ClientAccount
		want           string
	}{
		"all whole workers may be guaranteed": {2, 4, []model.ClientAccount{testAccount("a", 2, 2), testAccount("b", 2, 2)}, ""},
		"a pair of workers cannot use one remaining worker in each of two racks": {
			2, 3,
			[]model.ClientAccount{testAccount("a", 2, 2), testAccount("b", 1, 2)},
			"no room for 2 tasks of 8 accelerators in one rack of account b",
		},
		"more than the zone has":                        {1, 2, []model.ClientAccount{testAccount("a", 1, 3)}, "of account a"},
		"partly used workers require a worker of slack": {1, 2, []model.ClientAccount{small("a", 3)}, "8 must be left"},
		"partly used workers with slack":                {1, 2, []model.ClientAccount{small("a", 2)}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := CheckGuarantees(testZone, testWorkers(c.racks, c.perRack), c.accounts)
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.want)
			assert.Assert(t, api.IsKind(err, api.KindConfigInvalid))
		})
	}
}
