package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

// runningGang returns a running gang that is expected to end after the given time.
func runningGang(job model.Job, end time.Duration, borrowed bool, tasks ...api.TaskPlacement) model.Gang {
	return model.Gang{
		Job: job, State: model.GangRunning, Placements: tasks, StartedAt: testNow.Add(-time.Minute),
		ExpectedCompletion: testNow.Add(end), Borrowed: borrowed,
	}
}

func placedOn(worker string, tasks, perTask int) api.TaskPlacement {
	return api.TaskPlacement{Worker: worker, Tasks: tasks, Accelerators: tasks * perTask}
}

func modified(job model.Job, change func(*model.Job)) model.Job {
	change(&job)
	return job
}

// placedIDs lists the IDs of the placed jobs in the order of the plan.
func placedIDs(plan Plan) []string {
	ids := []string{}
	for _, p := range plan.Placements {
		ids = append(ids, p.JobID)
	}
	return ids
}

func TestOrderOfPlacements(t *testing.T) {
	noGuarantee := model.ClientAccount{Name: "c"}
	cases := map[string]struct {
		accounts []model.ClientAccount
		gangs    []model.Gang
		waiting  []model.Job
		want     []string
	}{
		"the account furthest below its guarantee goes first": {
			accounts: []model.ClientAccount{testAccount("a", 1, 1), testAccount("b", 1, 1)},
			gangs:    []model.Gang{runningGang(testJob("r", "a", 1, 8), time.Hour, false, placedOn("r00-w00", 1, 8))},
			waiting:  []model.Job{testJob("a1", "a", 1, 8), testJob("b1", "b", 1, 8)},
			want:     []string{"b1"},
		},
		"priority precedes an earlier deadline": {
			accounts: []model.ClientAccount{noGuarantee},
			waiting: []model.Job{
				modified(testJob("soon", "c", 1, 8), func(j *model.Job) { j.Deadline = testNow.Add(2 * time.Hour) }),
				modified(testJob("high", "c", 2, 8), func(j *model.Job) { j.Priority = 1 }),
			},
			want: []string{"high"},
		},
		"the earliest latest start goes first": {
			accounts: []model.ClientAccount{noGuarantee},
			waiting: []model.Job{
				modified(testJob("late", "c", 2, 8), func(j *model.Job) { j.Deadline = testNow.Add(3 * time.Hour) }),
				modified(testJob("soon", "c", 2, 8), func(j *model.Job) { j.Deadline = testNow.Add(2 * time.Hour) }),
			},
			want: []string{"soon"},
		},
		"a short job precedes a long one": {
			accounts: []model.ClientAccount{noGuarantee},
			waiting: []model.Job{
				modified(testJob("long", "c", 2, 8), func(j *model.Job) { j.DeclaredRunTime = 10 * time.Hour }),
				modified(testJob("short", "c", 2, 8), func(j *model.Job) { j.DeclaredRunTime = time.Minute }),
			},
			want: []string{"short"},
		},
		"a job that waited long precedes a higher priority": {
			accounts: []model.ClientAccount{noGuarantee},
			waiting: []model.Job{
				modified(testJob("high", "c", 2, 8), func(j *model.Job) { j.Priority = 2 }),
				modified(testJob("aged", "c", 2, 8), func(j *model.Job) { j.SubmittedAt = testNow.Add(-3 * agingStep) }),
			},
			want: []string{"aged"},
		},
		"only jobs that end before the reservation backfill": {
			accounts: []model.ClientAccount{noGuarantee},
			gangs:    []model.Gang{runningGang(testJob("r", "c", 1, 8), time.Hour, true, placedOn("r00-w00", 1, 8))},
			waiting: []model.Job{
				modified(testJob("large", "c", 2, 8), func(j *model.Job) { j.SubmittedAt = testNow.Add(-9 * time.Hour) }),
				modified(testJob("long", "c", 1, 8), func(j *model.Job) { j.DeclaredRunTime = 2 * time.Hour }),
				modified(testJob("short", "c", 1, 8), func(j *model.Job) { j.DeclaredRunTime = 30 * time.Minute }),
			},
			want: []string{"short"},
		},
		"small jobs leave the guarantee to the large job of their account": {
			accounts: []model.ClientAccount{testAccount("a", 1, 2)},
			gangs:    []model.Gang{runningGang(testJob("r", "a", 1, 4), time.Hour, false, placedOn("r00-w00", 1, 4))},
			waiting: []model.Job{
				modified(testJob("large", "a", 2, 8), func(j *model.Job) { j.SubmittedAt = testNow.Add(-9 * time.Hour) }),
				modified(testJob("long", "a", 1, 4), func(j *model.Job) { j.DeclaredRunTime, j.MayBorrow = 2*time.Hour, false }),
				modified(testJob("short", "a", 1, 4), func(j *model.Job) { j.DeclaredRunTime, j.MayBorrow = time.Minute, false }),
			},
			want: []string{"short"},
		},
		"a job over the limit of its account waits": {
			accounts: []model.ClientAccount{{Name: "c", MaxAccelerators: 8}},
			waiting:  []model.Job{testJob("first", "c", 1, 8), testJob("second", "c", 1, 8)},
			want:     []string{"first"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := testSnapshot(1, 2, c.accounts...)
			s.Gangs, s.Waiting = c.gangs, c.waiting
			assert.DeepEqual(t, placedIDs(Decide(s)), c.want)
		})
	}
}

func TestRefusals(t *testing.T) {
	whole := testAccount("a", 1, 2)
	cases := map[string]struct {
		job      model.Job
		atSubmit api.Kind
		waiting  api.Kind
	}{
		"a shape that no rack holds is not admitted": {
			modified(testJob("j", "a", 3, 8), func(*model.Job) {}), api.KindShapeNeverFits, "",
		},
		"a task larger than a worker is not admitted": {
			testJob("j", "a", 1, 16), api.KindShapeNeverFits, "",
		},
		"a job that cannot be stopped is not admitted to the shape of another account": {
			modified(testJob("j", "c", 1, 8), func(j *model.Job) { j.Idempotent, j.Checkpointable = false, false }), api.KindShapeNeverFits, "",
		},
		"a deadline before the run ends is refused": {
			modified(testJob("j", "a", 2, 8), func(j *model.Job) { j.Deadline = testNow.Add(30 * time.Minute) }),
			api.KindDeadlineUnreachable, api.KindDeadlineUnreachable,
		},
		"a deadline that leaves enough time is accepted": {
			modified(testJob("j", "a", 2, 8), func(j *model.Job) { j.Deadline = testNow.Add(2 * time.Hour) }), "", "",
		},
		"a job that waited longer than its rule allows is refused": {
			modified(testJob("j", "a", 2, 8), func(j *model.Job) { j.SubmittedAt, j.MaxWait = testNow.Add(-time.Hour), time.Minute }), "", api.KindQueueTimeout,
		},
		"a job that has run is not refused": {
			modified(testJob("j", "a", 2, 8), func(j *model.Job) { j.Attempt, j.Deadline = 1, testNow.Add(time.Minute) }),
			api.KindDeadlineUnreachable, "",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := testSnapshot(1, 2, whole, model.ClientAccount{Name: "c"})
			_, refusal := Admit(s, c.job)
			var got api.Kind
			if refusal != nil {
				got = refusal.Kind
				assert.Assert(t, refusal.Reason != "")
			}
			assert.Equal(t, got, c.atSubmit)
			s.Waiting, got = []model.Job{c.job}, ""
			if refusals := Decide(s).Refusals; len(refusals) > 0 {
				got = refusals[0].Kind
			}
			assert.Equal(t, got, c.waiting)
		})
	}
}

func TestLargestGangTakesTheFewestRacks(t *testing.T) {
	s := testSnapshot(80, 8, model.ClientAccount{Name: "c"})
	for w := range 40 {
		s.Gangs = append(s.Gangs, runningGang(testJob(fmt.Sprint(w), "c", 1, 1), time.Hour, true, placedOn(fmt.Sprintf("r%02d-w00", w), 1, 1)))
	}
	job := testJob("large", "c", api.MaxGangTasks, 8)
	job.Shape.SameRack = false
	s.Waiting = []model.Job{job}
	plan := Decide(s)
	assert.Equal(t, len(plan.Placements), 1)
	perRack := make(map[string]int)
	for _, task := range plan.Placements[0].Tasks {
		perRack[task.Worker[:3]]++
	}
	assert.Equal(t, len(perRack), 40+28, "40 whole racks of 8, then racks of 7")
	assert.NilError(t, Recheck(s, plan.Placements[0]))
}

func TestLostWorkersPutTheGuaranteeAtRisk(t *testing.T) {
	s := testSnapshot(1, 2, testAccount("a", 1, 2))
	assert.Equal(t, len(Decide(s).AtRisk), 0)
	s.Workers[1].Health = model.WorkerLost
	risk := Decide(s).AtRisk
	assert.Assert(t, risk["a"] != "")
	assert.Equal(t, Accounts(s)[0].AtRisk, risk["a"])
}

func TestUrgentReclaimStaysWithinItsTimeLimits(t *testing.T) {
	s := testSnapshot(1, 2, testAccount("a", 1, 2), model.ClientAccount{Name: "c"})
	checkpointable := testJob("kept", "c", 1, 8)
	notCheckpointable := modified(testJob("stopped", "c", 1, 8), func(j *model.Job) { j.Checkpointable = false })
	s.Gangs = []model.Gang{
		runningGang(checkpointable, time.Hour, true, placedOn("r00-w00", 1, 8)),
		runningGang(notCheckpointable, time.Hour, true, placedOn("r00-w01", 1, 8)),
	}
	s.Waiting = []model.Job{modified(testJob("urgent", "a", 2, 8), func(j *model.Job) { j.Urgent = true })}
	methods := make(map[string]Method)
	for _, r := range Decide(s).Reclaims {
		methods[r.JobID] = r.Method
		assert.Assert(t, r.Timeout <= 4*time.Second)
		assert.Equal(t, r.ClaimantID, "urgent")
	}
	assert.DeepEqual(t, methods, map[string]Method{"kept": MethodCheckpoint, "stopped": MethodStop})
}

func TestUrgentJobStopsScatteredGangsOfItsOwnAccount(t *testing.T) {
	s := testSnapshot(2, 2, testAccount("a", 2, 2))
	s.Gangs = []model.Gang{
		runningGang(testJob("x", "a", 1, 1), time.Hour, false, placedOn("r00-w00", 1, 1)),
		runningGang(testJob("y", "a", 1, 1), time.Hour, false, placedOn("r01-w00", 1, 1)),
	}
	large := testJob("large", "a", 2, 8)
	s.Waiting = []model.Job{large}
	assert.Equal(t, len(Decide(s).Reclaims), 0, "a job that is not urgent waits for its own account")
	large.Urgent = true
	s.Waiting = []model.Job{large}
	plan := Decide(s)
	assert.Equal(t, len(plan.Reclaims), 1)
	s = completeStops(applyPlan(s, plan))
	assert.DeepEqual(t, placedIDs(Decide(s)), []string{"large"})
}

func TestObjectivesDetermineWhereSmallJobsArePlaced(t *testing.T) {
	s := testSnapshot(1, 4, testAccount("a", 1, 1), testAccount("b", 1, 1))
	s.Gangs = []model.Gang{runningGang(testJob("r", "b", 1, 4), time.Hour, false, placedOn("r00-w00", 1, 4))}
	s.Waiting = []model.Job{testJob("small", "a", 1, 4)}
	s.Objectives = model.Objectives{CompletionTime: 0.8, Fragmentation: 0.2}
	plan := Decide(s)
	assert.Assert(t, !plan.Placements[0].Borrowed, "placed inside the guarantee, where it is not stopped")
	s.Objectives = model.Objectives{CompletionTime: 0.3, Fragmentation: 0.7}
	plan = Decide(s)
	assert.Assert(t, plan.Placements[0].Borrowed, "placed on the partly used worker, so that whole workers stay free")
	assert.Equal(t, plan.Placements[0].Tasks[0].Worker, "r00-w00")
}

func TestFragmentation(t *testing.T) {
	s := testSnapshot(1, 2, testAccount("a", 1, 2))
	assert.Equal(t, Fragmentation(s), 0.0)
	s.Gangs = []model.Gang{runningGang(testJob("r", "a", 1, 1), time.Hour, true, placedOn("r00-w00", 1, 1))}
	assert.Equal(t, Fragmentation(s), 1.0, "no shape of two whole workers is left")
	s.Waiting = []model.Job{testJob("small", "a", 1, 4)}
	assert.Equal(t, Fragmentation(s), 3.0/15, "the small shape can use 4 of 7 and 8 of 8")
}

// TestMassCancellationDoesNotDelayAClaim checks that thousands of waiting jobs that
// will be cancelled do not delay a claim, and that their removal does not change its
// placement.
func TestMassCancellationDoesNotDelayAClaim(t *testing.T) {
	s := testSnapshot(2, 8, testAccount("a", 1, 2), model.ClientAccount{Name: "c"})
	for i := range 5000 {
		s.Waiting = append(s.Waiting, testJob(fmt.Sprintf("wave%04d", i), "c", 1, 1))
	}
	s = applyPlan(s, Decide(s))
	claim := modified(testJob("claim", "a", 2, 8), func(j *model.Job) { j.Urgent = true })
	s.Waiting = append(s.Waiting, claim)
	plan := Decide(s)
	assert.Assert(t, len(plan.Reclaims) > 0)
	s = completeStops(applyPlan(s, plan))
	assert.DeepEqual(t, placedIDs(Decide(s)), []string{"claim"})
	s.Waiting = []model.Job{claim}
	assert.DeepEqual(t, placedIDs(Decide(s)), []string{"claim"})
}

// TestFreedRegionIsNotBorrowedAgain guards against a fault found by the harness: a
// borrower that was stopped for a claim was started again on the freed accelerators,
// because its account was served first, and was stopped again.
func TestFreedRegionIsNotBorrowedAgain(t *testing.T) {
	s := testSnapshot(1, 2, testAccount("a", 1, 1), testAccount("b", 1, 1))
	s.Gangs = []model.Gang{
		runningGang(modified(testJob("fixed", "a", 1, 4), func(j *model.Job) { j.Urgent = true }), time.Hour, false, placedOn("r00-w00", 1, 4)),
		runningGang(testJob("other", "b", 1, 2), time.Hour, true, placedOn("r00-w01", 1, 2)),
		runningGang(testJob("borrower", "b", 1, 2), time.Hour, true, placedOn("r00-w00", 1, 2)),
		runningGang(testJob("rest", "b", 1, 2), time.Hour, true, placedOn("r00-w00", 1, 2)),
	}
	s.Objectives = model.Objectives{CompletionTime: 0.3, Fragmentation: 0.7}
	s.Waiting = []model.Job{modified(testJob("claim", "a", 1, 4), func(j *model.Job) { j.Urgent = true })}
	for _, gang := range s.Gangs[2:] {
		assert.Assert(t, gang.Borrowed)
	}
	s = completeStops(applyPlan(s, Decide(s)))
	s.Waiting = append(s.Waiting, testJob("borrower", "b", 1, 2), testJob("rest", "b", 1, 2))
	ids := placedIDs(Decide(s))
	assert.Assert(t, len(ids) > 0 && ids[0] == "claim", "placed %v", ids)
}

// TestUrgentJobBorrowsReservedAccelerators guards against a fault found by the
// harness: an urgent job that the gangs of its own account kept out of the guarantee
// waited although accelerators were free, because these were reserved for a large
// gang.
func TestUrgentJobBorrowsReservedAccelerators(t *testing.T) {
	s := testSnapshot(1, 4, testAccount("a", 2, 1), model.ClientAccount{Name: "c"})
	urgent := func(id string, tasks, perTask int, preemptible bool) model.Job {
		return modified(testJob(id, "a", tasks, perTask), func(j *model.Job) {
			j.Urgent, j.Idempotent, j.Checkpointable = true, preemptible, preemptible
		})
	}
	s.Gangs = []model.Gang{
		runningGang(urgent("x", 1, 1, true), time.Hour, false, placedOn("r00-w00", 1, 1)),
		runningGang(urgent("y", 1, 1, false), time.Hour, false, placedOn("r00-w01", 1, 1)),
		runningGang(testJob("z", "c", 1, 8), time.Hour, true, placedOn("r00-w02", 1, 8)),
	}
	large := modified(testJob("large", "c", 2, 8), func(j *model.Job) { j.SubmittedAt = testNow.Add(-9 * time.Hour) })
	s.Waiting = []model.Job{large, urgent("claim", 1, 8, true)}
	assert.DeepEqual(t, placedIDs(Decide(s)), []string{"claim"})
}
