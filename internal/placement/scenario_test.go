package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

// running places a gang by hand.
func running(job model.Job, end time.Duration, borrowed bool, tasks ...api.TaskPlacement) model.Gang {
	return model.Gang{
		Job: job, State: model.GangRunning, Placements: tasks, StartedAt: testNow.Add(-time.Minute),
		ExpectedEnd: testNow.Add(end), Borrowed: borrowed,
	}
}

func on(worker string, tasks, perTask int) api.TaskPlacement {
	return api.TaskPlacement{Worker: worker, Tasks: tasks, Accelerators: tasks * perTask}
}

func with(job model.Job, change func(*model.Job)) model.Job {
	change(&job)
	return job
}

// placedIDs lists the placed jobs in the order of the plan.
func placedIDs(plan Plan) []string {
	ids := []string{}
	for _, p := range plan.Placements {
		ids = append(ids, p.JobID)
	}
	return ids
}

func TestOrderOfPlacements(t *testing.T) {
	none := model.ClientAccount{Name: "c"}
	cases := map[string]struct {
		accounts []model.ClientAccount
		gangs    []model.Gang
		waiting  []model.Job
		want     []string
	}{
		"the account furthest below its guarantee goes first": {
			accounts: []model.ClientAccount{testAccount("a", 1, 1), testAccount("b", 1, 1)},
			gangs:    []model.Gang{running(testJob("r", "a", 1, 8), time.Hour, false, on("r00-w00", 1, 8))},
			waiting:  []model.Job{testJob("a1", "a", 1, 8), testJob("b1", "b", 1, 8)},
			want:     []string{"b1"},
		},
		"priority goes before an earlier deadline": {
			accounts: []model.ClientAccount{none},
			waiting: []model.Job{
				with(testJob("soon", "c", 1, 8), func(j *model.Job) { j.Deadline = testNow.Add(2 * time.Hour) }),
				with(testJob("high", "c", 2, 8), func(j *model.Job) { j.Priority = 1 }),
			},
			want: []string{"high"},
		},
		"the earliest latest start goes first": {
			accounts: []model.ClientAccount{none},
			waiting: []model.Job{
				with(testJob("late", "c", 2, 8), func(j *model.Job) { j.Deadline = testNow.Add(3 * time.Hour) }),
				with(testJob("soon", "c", 2, 8), func(j *model.Job) { j.Deadline = testNow.Add(2 * time.Hour) }),
			},
			want: []string{"soon"},
		},
		"a short job goes before a long one": {
			accounts: []model.ClientAccount{none},
			waiting: []model.Job{
				with(testJob("long", "c", 2, 8), func(j *model.Job) { j.DeclaredRun = 10 * time.Hour }),
				with(testJob("short", "c", 2, 8), func(j *model.Job) { j.DeclaredRun = time.Minute }),
			},
			want: []string{"short"},
		},
		"a job that waited long goes before a higher priority": {
			accounts: []model.ClientAccount{none},
			waiting: []model.Job{
				with(testJob("high", "c", 2, 8), func(j *model.Job) { j.Priority = 2 }),
				with(testJob("aged", "c", 2, 8), func(j *model.Job) { j.SubmittedAt = testNow.Add(-3 * agingStep) }),
			},
			want: []string{"aged"},
		},
		"only work that ends before the reservation backfills": {
			accounts: []model.ClientAccount{none},
			gangs:    []model.Gang{running(testJob("r", "c", 1, 8), time.Hour, true, on("r00-w00", 1, 8))},
			waiting: []model.Job{
				with(testJob("large", "c", 2, 8), func(j *model.Job) { j.SubmittedAt = testNow.Add(-9 * time.Hour) }),
				with(testJob("long", "c", 1, 8), func(j *model.Job) { j.DeclaredRun = 2 * time.Hour }),
				with(testJob("short", "c", 1, 8), func(j *model.Job) { j.DeclaredRun = 30 * time.Minute }),
			},
			want: []string{"short"},
		},
		"small jobs leave the guarantee to their account's large one": {
			accounts: []model.ClientAccount{testAccount("a", 1, 2)},
			gangs:    []model.Gang{running(testJob("r", "a", 1, 4), time.Hour, false, on("r00-w00", 1, 4))},
			waiting: []model.Job{
				with(testJob("large", "a", 2, 8), func(j *model.Job) { j.SubmittedAt = testNow.Add(-9 * time.Hour) }),
				with(testJob("long", "a", 1, 4), func(j *model.Job) { j.DeclaredRun, j.MayBorrow = 2*time.Hour, false }),
				with(testJob("short", "a", 1, 4), func(j *model.Job) { j.DeclaredRun, j.MayBorrow = time.Minute, false }),
			},
			want: []string{"short"},
		},
		"a job over its account's bound waits": {
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
		"a shape that no rack holds is never let in": {
			with(testJob("j", "a", 3, 8), func(*model.Job) {}), api.KindShapeNeverFits, "",
		},
		"a task larger than a worker is never let in": {
			testJob("j", "a", 1, 16), api.KindShapeNeverFits, "",
		},
		"work that cannot be stopped never takes another account's shape": {
			with(testJob("j", "c", 1, 8), func(j *model.Job) { j.Idempotent, j.Checkpointable = false, false }), api.KindShapeNeverFits, "",
		},
		"a deadline before the run ends is refused": {
			with(testJob("j", "a", 2, 8), func(j *model.Job) { j.Deadline = testNow.Add(30 * time.Minute) }),
			api.KindDeadlineUnreachable, api.KindDeadlineUnreachable,
		},
		"a deadline that leaves time is not": {
			with(testJob("j", "a", 2, 8), func(j *model.Job) { j.Deadline = testNow.Add(2 * time.Hour) }), "", "",
		},
		"a job that waited as long as its rule allows is refused": {
			with(testJob("j", "a", 2, 8), func(j *model.Job) { j.SubmittedAt, j.MaxWait = testNow.Add(-time.Hour), time.Minute }), "", api.KindQueueTimeout,
		},
		"a job that has run is not refused": {
			with(testJob("j", "a", 2, 8), func(j *model.Job) { j.Attempt, j.Deadline = 1, testNow.Add(time.Minute) }),
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
		s.Gangs = append(s.Gangs, running(testJob(fmt.Sprint(w), "c", 1, 1), time.Hour, true, on(fmt.Sprintf("r%02d-w00", w), 1, 1)))
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

func TestUrgentReclaimStaysInsideItsLimits(t *testing.T) {
	s := testSnapshot(1, 2, testAccount("a", 1, 2), model.ClientAccount{Name: "c"})
	kept := testJob("kept", "c", 1, 8)
	stoppedOnly := with(testJob("stopped", "c", 1, 8), func(j *model.Job) { j.Checkpointable = false })
	s.Gangs = []model.Gang{
		running(kept, time.Hour, true, on("r00-w00", 1, 8)),
		running(stoppedOnly, time.Hour, true, on("r00-w01", 1, 8)),
	}
	s.Waiting = []model.Job{with(testJob("urgent", "a", 2, 8), func(j *model.Job) { j.Urgent = true })}
	methods := make(map[string]Method)
	for _, r := range Decide(s).Reclaims {
		methods[r.JobID] = r.Method
		assert.Assert(t, r.Within <= 4*time.Second)
		assert.Equal(t, r.For, "urgent")
	}
	assert.DeepEqual(t, methods, map[string]Method{"kept": MethodCheckpoint, "stopped": MethodStop})
}

func TestUrgentJobIsNotHeldUpByItsOwnAccountsScatteredGangs(t *testing.T) {
	s := testSnapshot(2, 2, testAccount("a", 2, 2))
	s.Gangs = []model.Gang{
		running(testJob("x", "a", 1, 1), time.Hour, false, on("r00-w00", 1, 1)),
		running(testJob("y", "a", 1, 1), time.Hour, false, on("r01-w00", 1, 1)),
	}
	large := testJob("large", "a", 2, 8)
	s.Waiting = []model.Job{large}
	assert.Equal(t, len(Decide(s).Reclaims), 0, "a job that is not urgent waits for its own account")
	large.Urgent = true
	s.Waiting = []model.Job{large}
	plan := Decide(s)
	assert.Equal(t, len(plan.Reclaims), 1)
	s = stopped(apply(s, plan))
	assert.DeepEqual(t, placedIDs(Decide(s)), []string{"large"})
}

func TestObjectivesDecideWhereSmallJobsGo(t *testing.T) {
	s := testSnapshot(1, 4, testAccount("a", 1, 1), testAccount("b", 1, 1))
	s.Gangs = []model.Gang{running(testJob("r", "b", 1, 4), time.Hour, false, on("r00-w00", 1, 4))}
	s.Waiting = []model.Job{testJob("small", "a", 1, 4)}
	s.Objectives = model.Objectives{CompletionTime: 0.8, Fragmentation: 0.2}
	plan := Decide(s)
	assert.Assert(t, !plan.Placements[0].Borrowed, "inside the guarantee, where nobody stops it")
	s.Objectives = model.Objectives{CompletionTime: 0.3, Fragmentation: 0.7}
	plan = Decide(s)
	assert.Assert(t, plan.Placements[0].Borrowed, "beside the other, so that workers stay whole")
	assert.Equal(t, plan.Placements[0].Tasks[0].Worker, "r00-w00")
}

func TestFragmentation(t *testing.T) {
	s := testSnapshot(1, 2, testAccount("a", 1, 2))
	assert.Equal(t, Fragmentation(s), 0.0)
	s.Gangs = []model.Gang{running(testJob("r", "a", 1, 1), time.Hour, true, on("r00-w00", 1, 1))}
	assert.Equal(t, Fragmentation(s), 1.0, "no shape of two whole workers is left")
	s.Waiting = []model.Job{testJob("small", "a", 1, 4)}
	assert.Equal(t, Fragmentation(s), 3.0/15, "4 of 7 and 8 of 8 take part in the small shape")
}

// TestCancellationWaveCostsNoTurn checks that thousands of jobs that will be
// cancelled do not delay a claim, and that their going frees nothing else.
func TestCancellationWaveCostsNoTurn(t *testing.T) {
	s := testSnapshot(2, 8, testAccount("a", 1, 2), model.ClientAccount{Name: "c"})
	for i := range 5000 {
		s.Waiting = append(s.Waiting, testJob(fmt.Sprintf("wave%04d", i), "c", 1, 1))
	}
	s = apply(s, Decide(s))
	claim := with(testJob("claim", "a", 2, 8), func(j *model.Job) { j.Urgent = true })
	s.Waiting = append(s.Waiting, claim)
	plan := Decide(s)
	assert.Assert(t, len(plan.Reclaims) > 0)
	s = stopped(apply(s, plan))
	assert.DeepEqual(t, placedIDs(Decide(s)), []string{"claim"})
	s.Waiting = []model.Job{claim}
	assert.DeepEqual(t, placedIDs(Decide(s)), []string{"claim"})
}

// TestFreedRegionIsNotBorrowedAgain is a fault that the harness showed: the
// borrower that was stopped for a claim was started again on the freed
// accelerators, because its account's turn came first, and stopped again.
func TestFreedRegionIsNotBorrowedAgain(t *testing.T) {
	s := testSnapshot(1, 2, testAccount("a", 1, 1), testAccount("b", 1, 1))
	s.Gangs = []model.Gang{
		running(with(testJob("fixed", "a", 1, 4), func(j *model.Job) { j.Urgent = true }), time.Hour, false, on("r00-w00", 1, 4)),
		running(testJob("other", "b", 1, 2), time.Hour, true, on("r00-w01", 1, 2)),
		running(testJob("borrower", "b", 1, 2), time.Hour, true, on("r00-w00", 1, 2)),
		running(testJob("rest", "b", 1, 2), time.Hour, true, on("r00-w00", 1, 2)),
	}
	s.Objectives = model.Objectives{CompletionTime: 0.3, Fragmentation: 0.7}
	s.Waiting = []model.Job{with(testJob("claim", "a", 1, 4), func(j *model.Job) { j.Urgent = true })}
	for _, job := range s.Gangs[2:] {
		assert.Assert(t, job.Borrowed)
	}
	s = stopped(apply(s, Decide(s)))
	s.Waiting = append(s.Waiting, testJob("borrower", "b", 1, 2), testJob("rest", "b", 1, 2))
	ids := placedIDs(Decide(s))
	assert.Assert(t, len(ids) > 0 && ids[0] == "claim", "placed %v", ids)
}

// TestUrgentJobBorrowsWhatIsReserved is a scenario that the harness showed: an
// urgent job that its account's own gangs kept out of the guarantee waited
// beside free accelerators that were reserved for a large gang.
func TestUrgentJobBorrowsWhatIsReserved(t *testing.T) {
	s := testSnapshot(1, 4, testAccount("a", 2, 1), model.ClientAccount{Name: "c"})
	urgent := func(id string, tasks, perTask int, stoppable bool) model.Job {
		return with(testJob(id, "a", tasks, perTask), func(j *model.Job) {
			j.Urgent, j.Idempotent, j.Checkpointable = true, stoppable, stoppable
		})
	}
	s.Gangs = []model.Gang{
		running(urgent("x", 1, 1, true), time.Hour, false, on("r00-w00", 1, 1)),
		running(urgent("y", 1, 1, false), time.Hour, false, on("r00-w01", 1, 1)),
		running(testJob("z", "c", 1, 8), time.Hour, true, on("r00-w02", 1, 8)),
	}
	large := with(testJob("large", "c", 2, 8), func(j *model.Job) { j.SubmittedAt = testNow.Add(-9 * time.Hour) })
	s.Waiting = []model.Job{large, urgent("claim", 1, 8, true)}
	assert.DeepEqual(t, placedIDs(Decide(s)), []string{"claim"})
}
