package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// crashBench is a bench with tasks that crash the worker that starts them. After the downtime
// another incarnation of the worker answers at its address. All other runs complete.
type crashBench struct {
	*bench
	// crashes reports whether a task crashes its worker.
	crashes func(task workload.TaskID) bool
	// restartAt maps crashed workers to the start of their next incarnation; there is none if
	// downtime is zero.
	restartAt map[string]time.Time
	downtime  time.Duration
	// keepsIDs is set if the next incarnation of a worker has the same id.
	keepsIDs bool
	// storedWorkers is the stored table of workers; only workers that keep their ids need it.
	storedWorkers map[string]workload.Worker
	// startsOf counts the starts of each task, crashesOf those that crashed a worker.
	startsOf, crashesOf map[workload.TaskID]int
	// crashDelay is the run time after which a crashing task crashes its worker.
	crashDelay time.Duration
	// runTime is the run time of tasks that crash nothing.
	runTime time.Duration
	// accepted and table are the contents of the store; storeDown makes it reject writes.
	accepted  []*workload.Job
	table     map[string]Record
	storeDown bool
	// dropAnswer reports whether a start is carried out but not answered.
	dropAnswer func(o workload.Order) bool
}

// crashAfter is how long a crashing task runs, and the length of a simulated step.
const crashAfter = 10 * time.Millisecond

func noTask(workload.TaskID) bool { return false }

// taskIs returns a crash function that matches one task of a job.
func taskIs(job string, index int) func(workload.TaskID) bool {
	return func(task workload.TaskID) bool { return task.Job == job && task.Index == index }
}

// keepIDs makes the workers restart under the ids that they have.
func (c *crashBench) keepIDs() {
	c.keepsIDs = true
	c.storedWorkers = make(map[string]workload.Worker)
	c.numberIncarnations()
}

func newCrashBench(t *testing.T, workers int, crashes func(task workload.TaskID) bool) *crashBench {
	c := &crashBench{
		bench:      newBench(t, workers, false),
		crashes:    crashes,
		restartAt:  make(map[string]time.Time),
		downtime:   3 * time.Second,
		crashDelay: crashAfter,
		startsOf:   make(map[workload.TaskID]int),
		crashesOf:  make(map[workload.TaskID]int),
		runTime:    2 * time.Second,
		table:      make(map[string]Record),
	}
	c.core.StoreStartIntents(true)
	return c
}

func (c *crashBench) add(job *workload.Job) {
	c.accepted = append(c.accepted, job)
	c.bench.add(job)
}

func (c *crashBench) advance(d time.Duration) {
	for until := c.now.Add(d); c.now.Before(until); {
		c.now, c.wallMS = c.now.Add(crashAfter), c.wallMS+crashAfter.Milliseconds()
		c.restartWorkers()
		c.endStops()
		c.runTasks()
		c.storeWorkers()
		for _, a := range c.core.Decide(c.now, c.wallMS) {
			if a.Kind == ActStart {
				c.startsOf[a.Order.Task]++
			}
			if a.Kind == ActStart && c.dropAnswer != nil && c.dropAnswer(a.Order) {
				c.startRun(c.workers[a.Order.Worker], a.Order)
				c.core.StartAnswered(a.Order, workload.OrderResult{Verdict: workload.VerdictUnknown}, c.now, c.wallMS)
				continue
			}
			c.execute(a)
		}
		if !c.storeDown {
			c.persist()
		}
	}
}

func (c *crashBench) storeWorkers() {
	list := c.core.UnstoredWorkers(len(c.workers))
	if c.keepsIDs {
		for _, w := range list {
			c.storedWorkers[w.ID] = w
		}
	}
	c.core.WorkersStored(list)
}

func (c *crashBench) persist() {
	list := c.core.UnstoredRecords(50)
	for _, u := range list {
		record, err := DecodeRecord(u.Record)
		assert.NilError(c.t, err)
		c.table[u.Job] = record
	}
	c.core.MarkRecordsStored(list, c.now, c.wallMS)
}

// takeover starts the next leader from the contents of the store.
func (c *crashBench) takeover() {
	c.core = New(testBounds, c.core.epoch+1, c.now, c.now)
	c.core.Configure(testConfig())
	c.core.TrustStartIntents()
	c.core.StoreStartIntents(true)
	if stored := slices.Collect(maps.Values(c.storedWorkers)); len(stored) > 0 {
		c.core.WorkersListed(stored, c.now, c.wallMS)
		c.core.WorkersStored(stored)
	}
	c.listWorkers()
	for _, job := range c.accepted {
		c.core.AddJob(job, c.table[job.ID], false, c.now, c.wallMS)
	}
}

// runTasks completes the runs that are due, and crashes workers that run a crashing task.
func (c *crashBench) runTasks() {
	for id, w := range c.workers {
		for key, r := range w.running {
			switch {
			case c.crashes(key.task) && c.now.Sub(r.startedAt) >= c.crashDelay:
				c.crashesOf[key.task]++
				c.crash(id)
			case c.now.Sub(r.startedAt) >= c.runTime && c.gangIsComplete(key):
				c.endRun(w, key.task, key.attempt, workload.CompletionDone)
			}
		}
	}
}

// gangIsComplete reports whether all members of a run's gang are running; it is true for runs
// without a gang.
func (c *crashBench) gangIsComplete(key runKey) bool {
	step := &c.core.jobs[key.task.Job].Steps[key.task.Step]
	if !step.Gang {
		return true
	}
	members := 0
	for _, w := range c.workers {
		for other := range w.running {
			if other.task.Job == key.task.Job && other.attempt == key.attempt {
				members++
			}
		}
	}
	return members == step.Count
}

// crash ends an incarnation of a worker.
func (c *crashBench) crash(id string) {
	w := c.workers[id]
	w.running, w.ended = make(map[runKey]*fakeRun), nil
	c.refusing[id] = true
	if c.downtime > 0 {
		c.restartAt[id] = c.now.Add(c.downtime)
	}
}

// restartWorkers starts the next incarnation of workers whose downtime is over.
func (c *crashBench) restartWorkers() {
	for id, until := range c.restartAt {
		if c.now.Before(until) {
			continue
		}
		delete(c.restartAt, id)
		delete(c.refusing, id)
		if c.keepsIDs {
			c.restart(id)
			c.listWorkers()
			continue
		}
		c.replaced[id], c.unlisted[id] = true, true
		next := string(id[0]+1) + id[1:]
		c.addWorker(next)
		c.listWorkers()
	}
}

func TestATaskThatTakesDownItsWorkersIsNotStartedWithoutEnd(t *testing.T) {
	c := newCrashBench(t, 12, taskIs("crashing", 0))
	c.add(independentJob("crashing", 3))
	c.advance(40 * time.Second)
	task := workload.TaskID{Job: "crashing"}
	assert.Assert(t, c.crashesOf[task] <= 3, "%d workers crashed", c.crashesOf[task])
	assert.Equal(t, c.startsOf[task], c.crashesOf[task])
	assert.Equal(t, c.finalState("crashing"), FinalFailed)
}

// maxStartsPerTask is the number of starts allowed to a task that crashes each worker: three
// crashed workers plus two further starts.
const maxStartsPerTask = 5

func TestACrashIsNotForgottenWithTheLeader(t *testing.T) {
	task := workload.TaskID{Job: "crashing"}
	each := func(d time.Duration) func(c *crashBench) bool {
		return func(c *crashBench) bool { return c.now.Sub(testStart)%d == 0 }
	}
	for name, test := range map[string]struct {
		takeover func(c *crashBench) bool
		downtime time.Duration
	}{
		"replaced when a recorded attempt starts": {func(c *crashBench) bool { return c.startsOf[task] > 1 && c.core.jobs["crashing"].runs > 0 }, 3 * time.Second},
		"replaced before it detects a crash": {
			func(c *crashBench) bool { return c.crashesOf[task] > 1 && len(c.restartAt) > 0 && each(time.Second)(c) }, 3 * time.Second,
		},
		"replaced every second":    {each(time.Second), 3 * time.Second},
		"replaced every 330 ms":    {each(330 * time.Millisecond), 3 * time.Second},
		"the workers never return": {each(9 * time.Second), 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashBench(t, 12, taskIs("crashing", 0))
			c.downtime = test.downtime
			c.add(independentJob("crashing", 3))
			for range 6000 {
				c.advance(crashAfter)
				if test.takeover(c) {
					c.takeover()
				}
			}
			c.advance(time.Minute)
			assert.Equal(t, c.finalState("crashing"), FinalFailed)
			assert.Assert(t, c.startsOf[task] <= maxStartsPerTask, "%d starts", c.startsOf[task])
		})
	}
}

func TestSuspectTaskStartsOnceItsAttemptIsStored(t *testing.T) {
	c := newCrashBench(t, 12, taskIs("crashing", 0))
	c.add(independentJob("crashing", 1))
	c.advance(time.Second)
	c.storeDown = true
	c.core.StoreStartIntents(false)
	c.advance(20 * time.Second)
	assert.Equal(t, c.startsOf[workload.TaskID{Job: "crashing"}], 1)
	c.add(independentJob("other", 90))
	c.advance(10 * time.Second)
	assert.Equal(t, c.finalState("other"), FinalCompleted, "no capacity is held for the suspect task meanwhile")
	c.storeDown = false
	c.advance(20 * time.Second)
	assert.Equal(t, c.finalState("crashing"), FinalFailed)
	assert.Equal(t, c.startsOf[workload.TaskID{Job: "crashing"}], 3)
}

func TestWorkersThatNeverRespondAgainCountAsCrashed(t *testing.T) {
	c := newCrashBench(t, 12, taskIs("crashing", 0))
	c.downtime = 0
	c.add(independentJob("crashing", 1))
	c.advance(2 * time.Minute)
	assert.Equal(t, c.finalState("crashing"), FinalFailed)
	assert.Assert(t, c.startsOf[workload.TaskID{Job: "crashing"}] <= maxStartsPerTask)
}

func TestWhatIsNoCrashIsNotCounted(t *testing.T) {
	for name, lose := range map[string]func(c *crashBench){
		"its worker was cut off for longer than its lease": func(c *crashBench) {
			c.unresponsive["w00"] = true
			c.advance(7500 * time.Millisecond)
			c.unresponsive["w00"] = false
		},
		"its worker had announced that it leaves": func(c *crashBench) {
			c.announceLeaving("w00", 5*time.Second)
			c.advance(500 * time.Millisecond)
			c.crash("w00")
		},
		"it ran for a long time before": func(c *crashBench) {
			c.advance(61 * time.Second)
			c.crash("w00")
		},
		"it was stopped": func(c *crashBench) {
			c.core.Cancel("job", c.now, c.wallMS)
			c.advance(500 * time.Millisecond)
			c.crash("w00")
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashBench(t, 1, noTask)
			c.runTime = time.Hour
			c.add(independentJob("job", 2))
			c.advance(time.Second)
			lose(c)
			c.advance(10 * time.Second)
			assert.Equal(t, len(c.core.jobs["job"].record.Crashed), 0)
		})
	}
}

func TestStartRefusedByTheNextIncarnationIsNoCrash(t *testing.T) {
	c := newCrashBench(t, 1, noTask)
	c.advance(100 * time.Millisecond)
	c.replaced["w00"] = true // nothing ran on it, so the replacement went unnoticed
	c.add(independentJob("job", 8))
	c.advance(10 * time.Second)
	assert.Equal(t, c.startsOf[workload.TaskID{Job: "job"}], 1)
	assert.Equal(t, len(c.core.jobs["job"].record.Crashed), 0)
}

func TestGangWithAMemberThatCrashesWorkersFailsPermanently(t *testing.T) {
	for name, crashing := range map[string]func(workload.TaskID) bool{
		"one member":   taskIs("gang", 2),
		"every member": func(task workload.TaskID) bool { return task.Job == "gang" },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashBench(t, 24, crashing)
			c.add(gangJob("gang", "urgent", "acme", 4, 4))
			c.advance(30 * time.Second)
			assert.Equal(t, c.finalState("gang"), FinalFailed)
			for task, starts := range c.startsOf {
				assert.Assert(t, starts <= maxStartsPerTask, "%v: %d starts", task, starts)
			}
			assert.Equal(t, c.running(), 0)
		})
	}
}

func TestStepsAfterATaskThatCrashesWorkersDoNotStart(t *testing.T) {
	c := newCrashBench(t, 12, taskIs("chain", 0))
	job := independentJob("chain", 3)
	job.Steps = append(job.Steps, job.Steps[0])
	job.Steps[1].After = []int{0}
	c.add(job)
	c.advance(30 * time.Second)
	assert.Equal(t, c.finalState("chain"), FinalFailed)
	assert.Equal(t, c.startsOf[workload.TaskID{Job: "chain", Step: 1}], 0)
}

func TestTaskThatLostTwoWorkersStillRuns(t *testing.T) {
	c := newCrashBench(t, 3, noTask)
	c.add(independentJob("unlucky", 1))
	for range 2 {
		c.advance(500 * time.Millisecond)
		c.crash(c.hostOf("unlucky"))
		c.advance(4 * time.Second)
	}
	c.advance(10 * time.Second)
	assert.Equal(t, c.finalState("unlucky"), FinalCompleted)
}

func TestLostRunIsReportedWithItsCause(t *testing.T) {
	for name, c := range map[string]struct {
		lose  func(b *crashBench)
		cause LossCause
		ran   time.Duration
	}{
		"another incarnation answers":            {func(b *crashBench) { b.crash("w00") }, LossReplaced, 3 * time.Second},
		"unresponsive for longer than its lease": {func(b *crashBench) { b.unresponsive["w00"] = true }, LossUnresponsive, testBounds.MaxLease},
	} {
		t.Run(name, func(t *testing.T) {
			b := newCrashBench(t, 1, noTask)
			b.runTime = time.Minute
			b.add(independentJob("job", 2))
			b.advance(time.Second)
			c.lose(b)
			b.advance(10 * time.Second)
			assert.Equal(t, len(b.lostRuns), 2)
			for _, a := range b.lostRuns {
				assert.Equal(t, a.Order.Worker, "w00")
				assert.Equal(t, a.Lost.Cause, c.cause)
				assert.Equal(t, a.Lost.OthersLost, 1)
				assert.Assert(t, a.Lost.Ran >= c.ran, "ran %v", a.Lost.Ran)
				assert.Assert(t, a.Lost.Observed <= time.Second, "reported for %v", a.Lost.Observed)
				assert.Assert(t, a.Lost.Observed+a.Lost.Unheard >= a.Lost.Ran-100*time.Millisecond, "unheard for %v of %v", a.Lost.Unheard, a.Lost.Ran)
			}
		})
	}
}

// countedCrashes returns the attempts of a job that count as crashes of a worker.
func (c *crashBench) countedCrashes(job string) []int64 {
	var list []int64
	record := &c.core.jobs[job].record
	for _, crashes := range []map[string][]int64{record.Crashed, record.SharedCrashes, record.Unanswered} {
		list = append(list, slices.Concat(slices.Collect(maps.Values(crashes))...)...)
	}
	return list
}

// countsOnly reports whether no crash of a job counts but the given ones. A longer run may have
// discarded some of them.
func (c *crashBench) countsOnly(job string, attempts []int64) bool {
	return !slices.ContainsFunc(c.countedCrashes(job), func(a int64) bool { return !slices.Contains(attempts, a) })
}

func TestRecordedAttemptSeenByTheNextLeaderIsNoCrash(t *testing.T) {
	for name, meanwhile := range map[string]func(c *crashBench, key runKey, host *fakeWorker){
		"it runs": func(*crashBench, runKey, *fakeWorker) {},
		"it ended": func(c *crashBench, key runKey, host *fakeWorker) {
			c.endRun(host, key.task, key.attempt, workload.CompletionDone)
		},
		"its lease expired": func(c *crashBench, key runKey, host *fakeWorker) {
			c.endRun(host, key.task, key.attempt, workload.CompletionExpired)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashBench(t, 3, noTask)
			c.runTime = 10 * time.Second
			c.add(independentJob("unlucky", 1))
			c.advance(500 * time.Millisecond)
			c.crash(c.hostOf("unlucky"))
			c.advance(5 * time.Second)
			assert.Equal(t, len(c.table["unlucky"].Attempts["0.0.0"]), 1)
			counted := c.countedCrashes("unlucky")
			host := c.workers[c.hostOf("unlucky")]
			for key := range host.running {
				meanwhile(c, key, host)
			}
			c.takeover()
			c.advance(time.Second)
			assert.Assert(t, c.countsOnly("unlucky", counted))
			c.advance(15 * time.Second)
			assert.Equal(t, c.finalState("unlucky"), FinalCompleted)
			assert.Assert(t, c.countsOnly("unlucky", counted))
		})
	}
}

// Several starts reach the next incarnation of a worker at once, and their answers arrive
// between those of polls.
func TestConsecutiveStartsRefusedByTheNextIncarnationAreNoCrashes(t *testing.T) {
	b := newBench(t, 1, false)
	b.advance(100 * time.Millisecond)
	b.add(independentJob("job", 3))
	var starts []Action
	for _, a := range b.core.Decide(b.now, b.wallMS) {
		if a.Kind == ActStart {
			starts = append(starts, a)
		}
	}
	assert.Equal(t, len(starts), 3)
	gone := workload.OrderResult{Verdict: workload.VerdictOtherIncarnation}
	poll := Action{Kind: ActPoll, Poll: workload.Poll{Worker: "w00"}}
	for _, a := range starts {
		b.core.StartAnswered(a.Order, gone, b.now, b.wallMS)
		b.core.PollAnswered(poll, workload.Report{Verdict: workload.VerdictOtherIncarnation}, b.now, b.wallMS)
	}
	assert.Equal(t, len(b.core.jobs["job"].record.Crashed), 0)
	assert.Equal(t, b.core.jobs["job"].runs, 0)
}

// Idle workers crash behind a network partition: starts sent to them are not answered, and then
// their next incarnations answer.
func TestStartsThatReachNobodyAreNoCrashes(t *testing.T) {
	for name, job := range map[string]*workload.Job{
		"a single task": independentJob("job", 1),
		"a gang":        gangJob("job", "urgent", "acme", 3, 8),
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashBench(t, 16, noTask)
			c.advance(200 * time.Millisecond)
			dead := []string{"w00", "w01", "w02", "w03", "w04", "w05", "w06", "w07", "w08", "w09", "w10", "w11"}
			for _, id := range dead {
				c.unresponsive[id] = true
				c.crash(id)
				c.restartAt[id] = c.now.Add(time.Hour)
			}
			c.refusing = make(map[string]bool)
			c.add(job)
			unanswered := 0
			for range 12 {
				c.advance(300 * time.Millisecond)
				unanswered = max(unanswered, len(c.core.jobs["job"].record.Unanswered))
				for id := range c.core.workers {
					if c.unresponsive[id] && len(c.core.workers[id].runs) > 0 {
						delete(c.unresponsive, id)
						c.restartAt[id] = c.now
						break
					}
				}
			}
			assert.Assert(t, unanswered > 0)
			c.advance(20 * time.Second)
			assert.Equal(t, c.finalState("job"), FinalCompleted)
			assert.Equal(t, len(c.core.jobs["job"].record.Crashed), 0)
		})
	}
}

// The answers to starts are lost as well: a task that crashes its workers must still fail
// permanently before the platform's limit.
func TestCrashingTaskWithUnansweredStartsFailsWithinTheLimit(t *testing.T) {
	c := newCrashBench(t, 12, taskIs("crashing", 0))
	c.add(independentJob("crashing", 1))
	task := workload.TaskID{Job: "crashing"}
	starts := 0
	c.dropAnswer = func(o workload.Order) bool {
		starts++
		return o.Task == task && starts%2 == 0
	}
	c.advance(time.Minute)
	assert.Equal(t, c.finalState("crashing"), FinalFailed)
	assert.Assert(t, c.startsOf[task] <= maxStartsPerTask, "%d starts", c.startsOf[task])
	assert.Assert(t, len(c.core.jobs["crashing"].record.Unanswered) > 0)
}

// Outages of racks, zones and switches take many workers and their runs down at once.
func TestWorkHitByThreeOutagesStillRuns(t *testing.T) {
	c := newCrashBench(t, 20, noTask)
	c.runTime = 10 * time.Second
	for n := range 10 {
		c.add(gangJob(fmt.Sprintf("other%d", n), "batch", "other", 1, 8))
	}
	c.add(gangJob("unlucky", "batch", "other", 1, 8))
	for range 3 {
		c.advance(time.Second)
		c.crash(c.hostOf("unlucky"))
		for id, w := range c.workers {
			if len(w.running) > 0 && len(c.restartAt) < 8 && id != c.hostOf("unlucky") {
				c.crash(id)
			}
		}
		c.advance(5 * time.Second)
	}
	assert.Assert(t, c.finalState("unlucky") != FinalFailed)
	c.advance(time.Minute)
	assert.Equal(t, c.finalState("unlucky"), FinalCompleted)
}

// Jobs that crash their workers simultaneously look like outages to each other.
func TestJobsThatCrashTheirWorkersSimultaneouslyFailWithinTheLimit(t *testing.T) {
	c := newCrashBench(t, 40, func(task workload.TaskID) bool { return task.Job != "healthy" })
	for n := range 8 {
		c.add(gangJob(fmt.Sprintf("crashing%d", n), "batch", "other", 1, 8))
	}
	c.advance(time.Minute)
	for task, starts := range c.startsOf {
		assert.Assert(t, starts <= maxStartsPerTask, "%s: %d starts", task.Job, starts)
		assert.Equal(t, c.finalState(task.Job), FinalFailed)
	}
	assert.Equal(t, len(c.startsOf), 8)
}

func TestASoundJobIsNotFailedForWorkersThatCrashUnderIt(t *testing.T) {
	for name, test := range map[string]struct {
		job *workload.Job
		// ran are the run times after which the worker of the job's first task crashes.
		ran []time.Duration
		// cutOff is set if the worker can no longer be reached instead.
		cutOff   bool
		takeover bool
	}{
		"a task that works for seconds each time": {job: independentJob("sound", 1), ran: []time.Duration{2300, 1800, 1600, 2100, 2600}},
		"a task that gets further and further":    {job: independentJob("sound", 1), ran: []time.Duration{700, 2000, 3800, 4100, 4500}},
		"a task that once worked for seconds":     {job: independentJob("sound", 1), ran: []time.Duration{2300, 1200, 100, 100, 100, 100}},
		"a gang":                                  {job: gangJob("sound", "urgent", "acme", 2, 8), ran: []time.Duration{3200, 2700, 2900, 3600}},
		"workers that can no longer be reached":   {job: independentJob("sound", 1), ran: []time.Duration{2300, 1800, 1600, 2100, 2600}, cutOff: true},
		"the leader changes after each crash":     {job: independentJob("sound", 1), ran: []time.Duration{2300, 1800, 1600, 2100, 2600}, takeover: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashBench(t, 6, noTask)
			c.runTime = 5 * time.Second
			c.add(test.job)
			for _, ran := range test.ran {
				host := c.hostAfter(workload.TaskID{Job: "sound"}, ran*time.Millisecond)
				if test.cutOff {
					c.unresponsive[host] = true
					c.advance(maxElapsed(testBounds.MaxLease))
				} else if host != "" {
					c.crash(host)
				}
				if test.takeover {
					c.advance(4500 * time.Millisecond)
					c.takeover()
				}
			}
			c.advance(time.Minute)
			assert.Equal(t, c.finalState("sound"), FinalCompleted)
		})
	}
}

// hostAfter waits until a task has run for a while, and returns its worker.
func (c *crashBench) hostAfter(task workload.TaskID, ran time.Duration) string {
	for range 3000 {
		for id, w := range c.workers {
			for key, r := range w.running {
				if key.task == task && c.now.Sub(r.startedAt) >= ran {
					return id
				}
			}
		}
		c.advance(crashAfter)
	}
	return ""
}

func TestAJobThatCrashesItsWorkersAfterSecondsOfWorkStillEnds(t *testing.T) {
	for _, delay := range []time.Duration{300, 1200, 2000, 4500} {
		for _, takeovers := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d ms, leaders change: %t", delay, takeovers), func(t *testing.T) {
				c := newCrashBench(t, 12, taskIs("crashing", 0))
				c.crashDelay, c.runTime = delay*time.Millisecond, 10*time.Second
				c.add(independentJob("crashing", 1))
				for range 60 {
					c.advance(5 * time.Second)
					if takeovers {
						c.takeover()
					}
				}
				assert.Equal(t, c.finalState("crashing"), FinalFailed)
			})
		}
	}
}

// Failure: a job that lasts was shown as failed after three crashes of the workers of one task.
func TestCrashesOfWorkersFailNoJobThatLasts(t *testing.T) {
	const crashes = 12
	for name, c := range map[string]struct {
		takeover bool
		crashing func(workload.TaskID) bool
	}{
		"workers crash under it":                            {false, noTask},
		"workers crash under it while leaders change":       {true, noTask},
		"its task crashes its workers":                      {false, taskIs("lasting", 0)},
		"its task crashes its workers while leaders change": {true, taskIs("lasting", 0)},
	} {
		t.Run(name, func(t *testing.T) {
			b := newCrashBench(t, 12, c.crashing)
			b.runTime = time.Hour
			b.crashDelay = 900 * time.Millisecond
			job := independentJob("lasting", 3)
			job.Steps[0].LongRunning = true
			b.add(job)
			first := workload.TaskID{Job: "lasting"}
			for n := range crashes {
				b.advance(time.Second)
				if host := b.hostOfTask(first); host != "" && !c.crashing(first) {
					b.crash(host)
				}
				if c.takeover && n%3 == 1 {
					b.takeover()
				}
				b.advance(6 * time.Second)
				assert.Equal(t, b.finalState("lasting"), Final(""))
				assert.Assert(t, b.startsOf[first] >= n+2, "%d starts after %d crashes", b.startsOf[first], n+1)
			}
			record := b.table["lasting"]
			assert.Assert(t, len(record.Encode()) < 1000, "%s", record.Encode())
		})
	}
}

// hostOfTask returns the worker that runs a task, or an empty string.
func (c *crashBench) hostOfTask(task workload.TaskID) string {
	for id, w := range c.workers {
		for key := range w.running {
			if key.task == task {
				return id
			}
		}
	}
	return ""
}
