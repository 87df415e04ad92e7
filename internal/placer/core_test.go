package placer

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/chart"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/decision"
	"github.com/corianderbank/corianderbank/internal/estimate"
	"github.com/corianderbank/corianderbank/internal/jobstore"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/quarantine"
	"github.com/corianderbank/corianderbank/internal/rules"
)

const testLease = 15 * time.Second

var testStart = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

// newTestCore returns a core that holds epoch 1 and has recovered no jobs.
func newTestCore(workers int) *core {
	c := newCore(core{
		zone: "z", instance: "i-1", runTimes: estimate.Declared{}, health: quarantine.NewTracker(),
		recorder: decision.NewRecorder(zap.NewNop(), "i-1", 100), workerLease: testLease, maxJobs: 100,
		config: &config.Snapshot{Version: 1, Document: &config.Document{Accounts: []model.ClientAccount{{Name: "acme"}}}},
	})
	var list []model.Worker
	for i := range workers {
		id := string(rune('a' + i))
		list = append(list, model.Worker{ID: id, Addr: id, Zone: "z"})
	}
	c.apply(leaseEvent{epoch: 1, holdsLease: true, mayPlace: true, platformReachable: true}, testStart)
	event := recoveredEvent{epoch: 1, workers: list}
	for _, w := range list {
		event.reports = append(event.reports, testReport(w.ID, 1, 1))
	}
	c.apply(event, testStart)
	c.takeActions()
	return c
}

func testReport(worker string, epoch, highest int64, held ...api.ReservationReport) reportEvent {
	return reportEvent{worker: worker, epoch: epoch, sentAt: testStart, report: api.WorkerReport{
		ID: worker, Rack: "r", Incarnation: 1, Accelerators: 8, HighestEpoch: highest, Reservations: held,
	}}
}

func testRecord(id string, phase jobstore.Phase, idempotent bool) jobstore.Record {
	return jobstore.Record{ID: id, Zone: "z", Phase: phase, Attempt: 1, Epoch: 1, SubmittedAt: testStart, Submission: api.JobSubmission{
		Account: "acme", Kind: "k", Shape: api.Shape{Tasks: 2, AcceleratorsPerTask: 8}, Idempotent: idempotent, DeclaredRunS: 60,
	}}
}

func TestLaterWorkerEpochMakesPlacerStepDown(t *testing.T) {
	cases := map[string]struct {
		report     reportEvent
		holdsLease bool
	}{
		"a report of the same epoch":         {testReport("a", 1, 1), true},
		"a report that shows a later epoch":  {testReport("a", 1, 2), false},
		"a refusal of this epoch":            {reportEvent{worker: "a", epoch: 1, err: api.NewError(api.KindStaleEpoch, "stale")}, false},
		"a late refusal of an earlier epoch": {reportEvent{worker: "a", epoch: 0, err: api.NewError(api.KindStaleEpoch, "stale")}, true},
		"an unanswered renewal":              {reportEvent{worker: "a", epoch: 1, err: api.NewError(api.KindResultUnknown, "lost")}, true},
		"a report of an unlisted worker":     {testReport("x", 1, 9), true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(2)
			c.apply(test.report, testStart)
			assert.Equal(t, c.holdsLease, test.holdsLease)
			// The store may be unreachable: the old epoch must not become active again.
			c.apply(leaseEvent{epoch: 1, holdsLease: true, mayPlace: true}, testStart)
			assert.Equal(t, c.holdsLease, test.holdsLease)
			c.apply(leaseEvent{epoch: 9, holdsLease: true, mayPlace: true}, testStart)
			assert.Assert(t, c.holdsLease)
		})
	}
}

func TestRecoveredGang(t *testing.T) {
	part := func(worker string, state api.TaskState) reportEvent {
		ref := api.GangRef{Epoch: 1, Gang: "j", Attempt: 1}
		return testReport(worker, 2, 2, api.ReservationReport{GangRef: ref, Tasks: 1, Accelerators: 8, State: state})
	}
	cases := map[string]struct {
		phase          jobstore.Phase
		idempotent     bool
		reports        []reportEvent
		state          chart.State
		mayHaveStarted bool
	}{
		"continues if every part runs":                              {jobstore.PhaseStarted, false, []reportEvent{part("a", api.TaskRunning), part("b", api.TaskRunning)}, stRunning, true},
		"ends if every part has finished":                           {jobstore.PhaseStarted, false, []reportEvent{part("a", api.TaskDone), part("b", api.TaskDone)}, stDone, true},
		"is stopped if a part is missing":                           {jobstore.PhaseStarted, true, []reportEvent{part("a", api.TaskRunning), testReport("b", 2, 2)}, stStopping, true},
		"is stopped if a part never started":                        {jobstore.PhaseStarted, false, []reportEvent{part("a", api.TaskRunning), part("b", api.TaskReserved)}, stStopping, true},
		"did not run if every part is only reserved":                {jobstore.PhaseStarted, false, []reportEvent{part("a", api.TaskReserved), part("b", api.TaskReserved)}, stStopping, false},
		"may have run if a reserved part is missing":                {jobstore.PhaseStarted, false, []reportEvent{part("a", api.TaskReserved), testReport("b", 2, 2)}, stStopping, true},
		"may have run if no worker reports it":                      {jobstore.PhaseStarted, false, []reportEvent{testReport("a", 2, 2), testReport("b", 2, 2)}, stStopping, true},
		"waits if it was only accepted":                             {jobstore.PhaseAccepted, false, []reportEvent{testReport("a", 2, 2), testReport("b", 2, 2)}, stWaiting, false},
		"releases a reservation made before its start was recorded": {jobstore.PhaseAccepted, false, []reportEvent{part("a", api.TaskReserved), testReport("b", 2, 2)}, stStopping, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(2)
			c.apply(leaseEvent{epoch: 2, holdsLease: true, mayPlace: true, platformReachable: true}, testStart)
			var workers []model.Worker
			for _, id := range []string{"a", "b"} {
				workers = append(workers, model.Worker{ID: id, Addr: id, Zone: "z"})
			}
			record := testRecord("j", test.phase, test.idempotent)
			c.apply(recoveredEvent{epoch: 2, workers: workers, records: []jobstore.Record{record}, reports: test.reports}, testStart)
			assert.Equal(t, c.jobs["j"].state, test.state)
			assert.Equal(t, c.jobs["j"].mayHaveStarted, test.mayHaveStarted)
		})
	}
}

func TestAccountLimits(t *testing.T) {
	c := newTestCore(2)
	c.config.Document.Accounts[0].MaxJobs = 2
	submission := func(account, rule string, maxQueued int) Submission {
		return Submission{ID: "new", Job: api.JobSubmission{Account: account}, Verdict: rules.Verdict{Rule: rule, MaxQueued: maxQueued}}
	}
	first := testRecord("j-1", jobstore.PhaseAccepted, true)
	first.Rule = "narrow"
	c.addWaiting(first)
	assert.NilError(t, c.checkAccountLimits(submission("acme", "wide", 0)))
	assert.Assert(t, api.IsKind(c.checkAccountLimits(submission("acme", "narrow", 1)), api.KindQueueFull))
	assert.Assert(t, api.IsKind(c.checkAccountLimits(submission("orbit", "wide", 0)), api.KindUnknownAccount))
	c.addWaiting(testRecord("j-2", jobstore.PhaseAccepted, true))
	assert.Assert(t, api.IsKind(c.checkAccountLimits(submission("acme", "wide", 0)), api.KindAccountLimit))
}

func TestStartRecordedByReplacedPlacerIsNotRepeated(t *testing.T) {
	cases := map[string]struct {
		idempotent bool
		epoch      int64
		state      chart.State
	}{
		"work that is not idempotent may have run": {false, 1, stUnknown},
		"idempotent work may be started again":     {true, 1, stWaiting},
		"a start by this placer is not foreign":    {false, 2, stWaiting},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(2)
			c.epoch = 2
			e := c.addWaiting(testRecord("j", jobstore.PhaseAccepted, test.idempotent))
			found := testRecord("j", jobstore.PhaseStarted, test.idempotent)
			found.Epoch, found.Version = test.epoch, 7
			c.apply(recordWrittenEvent{id: "j", record: found}, testStart)
			assert.Equal(t, e.state, test.state)
			assert.Equal(t, e.record.Version, int64(7))
		})
	}
}

func TestGuaranteesAreCheckedOnceAllWorkersReported(t *testing.T) {
	shape := model.GuaranteedShape{Shape: api.Shape{Tasks: 2, AcceleratorsPerTask: 8, SameRack: true}, Count: 1}
	accounts := func(count int) []model.ClientAccount {
		wanted := shape
		wanted.Count = count
		return []model.ClientAccount{{Name: "acme", Guarantees: map[string][]model.GuaranteedShape{"z": {wanted}}}}
	}
	reported := newTestCore(4)
	assert.NilError(t, reported.checkGuarantees(accounts(1)))
	assert.Assert(t, api.IsKind(reported.checkGuarantees(accounts(3)), api.KindShapeNeverFits))
	reported.setWorkers([]model.Worker{{ID: "new", Addr: "new", Zone: "z"}}, testStart)
	assert.Assert(t, api.IsKind(reported.checkGuarantees(accounts(3)), api.KindNotReady))
	assert.Assert(t, api.IsKind(newTestCore(0).checkGuarantees(accounts(1)), api.KindNotReady))
}

func TestGangsBeyondNewGuaranteeBecomeBorrowers(t *testing.T) {
	shape := api.Shape{Tasks: 2, AcceleratorsPerTask: 8}
	cases := map[string]struct {
		guaranteed int
		idempotent bool
		borrowed   []bool
	}{
		"the guarantee is unchanged":                  {2, true, []bool{false, false}},
		"half of it remains":                          {1, true, []bool{false, true}},
		"none of it remains":                          {0, true, []bool{true, true}},
		"gangs that cannot be stopped are not marked": {0, false, []bool{false, false}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(4)
			for i, id := range []string{"j-1", "j-2"} {
				record := testRecord(id, jobstore.PhaseStarted, test.idempotent)
				record.SubmittedAt = testStart.Add(time.Duration(i) * time.Second)
				c.setParts(c.addWaiting(record), []part{{worker: "a"}})
			}
			guarantees := map[string][]model.GuaranteedShape{"z": {{Shape: shape, Count: test.guaranteed}}}
			document := &config.Document{Accounts: []model.ClientAccount{{Name: "acme", Guarantees: guarantees}}}
			c.setConfig(&config.Snapshot{Version: 2, Document: document})
			assert.DeepEqual(t, []bool{c.jobs["j-1"].borrowed, c.jobs["j-2"].borrowed}, test.borrowed)
		})
	}
}

func TestNewPlacerLearnsRunTimesFromStore(t *testing.T) {
	const runs = 50
	c := newTestCore(2)
	c.runTimes = estimate.NewHistory()
	var recent []jobstore.Record
	for range runs {
		record := testRecord("j", jobstore.PhaseEnded, true)
		record.Outcome, record.StartedAt, record.EndedAt = api.OutcomeDone, testStart, testStart.Add(5*time.Minute)
		recent = append(recent, record)
	}
	failed := recent[0]
	failed.ErrorKind, failed.EndedAt = api.KindJobFailed, testStart.Add(time.Hour)
	c.learnRunTimes(append(recent, failed))
	estimated := c.runTimes.Run("acme", "k", time.Minute)
	assert.Assert(t, estimated >= 5*time.Minute && estimated < 10*time.Minute, "%s", estimated)
}

// A restart of all instances during a store outage loses an end that is not stored.
func TestAnEndIsReturnedOnlyOnceStored(t *testing.T) {
	cases := map[string]struct {
		platformReachable bool
		end               chart.Event
		state             chart.State
	}{
		"a cancelled job waits for its row":           {true, evCancel, stWaiting},
		"a cancelled job waits during a store outage": {false, evCancel, stWaiting},
		"a refused job waits for its row":             {true, evRefuse, stWaiting},
		"a finished job waits for its row":            {true, evFinish, stRunning},
		"a finished job waits during a store outage":  {false, evFinish, stRunning},
		"a failed job waits during a store outage":    {false, evFail, stRunning},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(2)
			c.platformReachable = test.platformReachable
			e := c.addWaiting(testRecord("j", jobstore.PhaseAccepted, true))
			e.state = test.state
			assert.Assert(t, c.transition(e, test.end, "test", testStart))
			assertEndHidden := func() {
				t.Helper()
				answer := c.answer(e)
				assert.Equal(t, answer.Outcome, api.OutcomeAccepted)
				assert.Equal(t, answer.State, string(test.state))
				assert.Assert(t, answer.EndedAt == nil)
			}
			waiter := make(chan struct{})
			e.waiters[waiter] = true
			assertEndHidden()
			c.writeUnsaved(testStart)
			assertEndHidden()
			select {
			case <-waiter:
				t.Fatal("a caller that waits for the end was told of it")
			default:
			}
			c.apply(recordWrittenEvent{id: "j", record: e.record}, testStart)
			assert.Equal(t, c.answer(e).Outcome, e.record.Outcome)
			assert.Equal(t, c.answer(e).State, string(e.state))
		})
	}
}

func TestAdoptedJobIsPlacedOnlyOnceItsRowHasThisEpoch(t *testing.T) {
	c := newTestCore(2)
	c.apply(leaseEvent{epoch: 2, holdsLease: true, mayPlace: true, platformReachable: true}, testStart)
	workers := []model.Worker{{ID: "a", Addr: "a", Zone: "z"}, {ID: "b", Addr: "b", Zone: "z"}}
	record := testRecord("j", jobstore.PhaseAccepted, true)
	record.Borrow = true
	c.apply(recoveredEvent{
		epoch: 2, workers: workers, records: []jobstore.Record{record},
		reports: []reportEvent{testReport("a", 2, 2), testReport("b", 2, 2)},
	}, testStart)
	c.round(testStart)
	assert.Equal(t, c.jobs["j"].state, stWaiting)
	written := record
	written.Epoch, written.Version = 2, 5
	c.apply(recordWrittenEvent{id: "j", record: written}, testStart)
	c.round(testStart.Add(time.Second))
	assert.Equal(t, c.jobs["j"].state, stReserving)
}

func TestCallsToStoppedPlacerReturn(t *testing.T) {
	p := New(Options{Zone: "z", Instance: "i-1", WorkerLease: testLease, Interval: time.Second, PlacerLease: time.Second})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	p.eventLoop(ctx)
	_, err := p.Cancel(context.Background(), "j~z")
	assert.Assert(t, api.IsKind(err, api.KindNoPlacer), "%v", err)
	_, err = p.Get(context.Background(), "j~z", time.Hour)
	assert.Assert(t, api.IsKind(err, api.KindNoPlacer), "%v", err)
	assert.Equal(t, len(p.Status(context.Background()).Zones), 0)
}

// restartReport returns a report of a worker's next incarnation without any gang.
func restartReport(worker string) reportEvent {
	report := testReport(worker, 1, 1)
	report.sentAt = testStart.Add(3 * testLease)
	report.report.Incarnation = 2
	return report
}

// lostPartReport returns a report of the same incarnation without any gang.
func lostPartReport(worker string) reportEvent {
	report := testReport(worker, 1, 1)
	report.sentAt = testStart.Add(3 * testLease)
	return report
}

// newCoreWithRunningGang returns a core with a gang that runs on a and b and has
// already crashed the given workers.
func newCoreWithRunningGang(t *testing.T, before ...string) (*core, *entry) {
	c := newTestCore(3)
	record := testRecord("j", jobstore.PhaseStarted, true)
	record.CrashedOn = before
	held := make(map[string]api.ReservationReport)
	for _, worker := range []string{"a", "b"} {
		ref := api.GangRef{Epoch: 1, Gang: "j", Attempt: 1}
		held[worker] = api.ReservationReport{GangRef: ref, Tasks: 1, Accelerators: 8, State: api.TaskRunning}
	}
	c.adopt(record, held, testStart)
	e := c.jobs["j"]
	assert.Equal(t, e.state, stRunning)
	return c, e
}

func TestGangThatCrashesWorkersIsNotRestartedForever(t *testing.T) {
	for name, test := range map[string]struct {
		before  []string
		report  reportEvent
		state   chart.State
		counted bool
	}{
		"the first crash":  {nil, restartReport("a"), stStopping, true},
		"the second crash": {[]string{"x"}, restartReport("a"), stStopping, true},
		"the third crash":  {[]string{"x", "y"}, restartReport("a"), stFailed, true},
		"a part that is missing in the same incarnation": {[]string{"x", "y"}, lostPartReport("a"), stStopping, false},
	} {
		t.Run(name, func(t *testing.T) {
			c, e := newCoreWithRunningGang(t, test.before...)
			c.apply(test.report, testStart.Add(3*testLease))
			assert.Equal(t, e.state, test.state)
			assert.Equal(t, len(e.record.CrashedOn) > len(test.before), test.counted)
		})
	}
}

func TestASoundGangIsNotFailedForWorkersThatCrashUnderIt(t *testing.T) {
	for name, test := range map[string]struct {
		// earlierS and ranS are the run times of the earlier attempts and of the current one.
		earlierS, ranS float64
		before         []string
		state          chart.State
	}{
		"it ran longer than the earlier attempts": {600, 3600, []string{"x", "y"}, stStopping},
		"an earlier attempt ran longer":           {3600, 600, []string{"x", "y"}, stStopping},
		"the third crash at about the same point": {600, 600, []string{"x", "y"}, stStopping},
		"the sixth crash at about the same point": {600, 600, []string{"v", "w", "x", "y", "z"}, stFailed},
	} {
		t.Run(name, func(t *testing.T) {
			c, e := newCoreWithRunningGang(t, test.before...)
			e.record.SurvivedS = test.earlierS
			report := e.reports["a"]
			report.runSeconds = test.ranS
			e.reports["a"] = report
			c.apply(restartReport("a"), testStart.Add(3*testLease))
			assert.Equal(t, e.state, test.state)
		})
	}
}

func TestUnresponsiveWorkerThatRestartsCountsAsCrashed(t *testing.T) {
	for name, test := range map[string]struct {
		report  reportEvent
		crashed int
	}{
		"its next incarnation": {restartReport("a"), 1},
		"the same incarnation": {lostPartReport("a"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			c, e := newCoreWithRunningGang(t)
			c.checkTimeouts(testStart.Add(2 * testLease))
			assert.Equal(t, e.state, stStopping)
			c.apply(test.report, testStart.Add(3*testLease))
			assert.Equal(t, len(e.record.CrashedOn), test.crashed)
		})
	}
}
