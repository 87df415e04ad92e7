package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// crashes is a bench with tasks that take down the worker that starts them. Another life
// of the worker answers at its address after a while. All other runs end done.
type crashes struct {
	*bench
	// crashing tasks take their worker down.
	crashing func(task workload.TaskID) bool
	// down are the workers that have crashed, by when their next life begins; it never
	// does if downFor is zero.
	down    map[string]time.Time
	downFor time.Duration
	// startsOf counts the starts of each task, crashesOf those that took a worker down.
	startsOf, crashesOf map[workload.TaskID]int
	// runTime is how long a task takes that harms nobody.
	runTime time.Duration
	// jobs and table are what the store has; storeAway says that it takes nothing.
	jobs      []*workload.Job
	table     map[string]Record
	storeAway bool
	// loseAnswer says which starts are carried out and not answered.
	loseAnswer func(o workload.Order) bool
}

// crashAfter is how long a crashing task runs.
const crashAfter = 10 * time.Millisecond

func nobody(workload.TaskID) bool { return false }

// taskOf is crashing for one task of a job.
func taskOf(job string, index int) func(workload.TaskID) bool {
	return func(task workload.TaskID) bool { return task.Job == job && task.Index == index }
}

func newCrashes(t *testing.T, workers int, crashing func(task workload.TaskID) bool) *crashes {
	c := &crashes{
		bench:     newBench(t, workers, false),
		crashing:  crashing,
		down:      make(map[string]time.Time),
		downFor:   3 * time.Second,
		startsOf:  make(map[workload.TaskID]int),
		crashesOf: make(map[workload.TaskID]int),
		runTime:   2 * time.Second,
		table:     make(map[string]Record),
	}
	c.core.StoreBegins(true)
	return c
}

func (c *crashes) add(job *workload.Job) {
	c.jobs = append(c.jobs, job)
	c.bench.add(job)
}

func (c *crashes) pass(d time.Duration) {
	for until := c.now.Add(d); c.now.Before(until); {
		c.now, c.wallMS = c.now.Add(crashAfter), c.wallMS+crashAfter.Milliseconds()
		c.revive()
		c.endStops()
		c.work()
		c.core.Stored(c.core.Unstored(len(c.workers)))
		for _, a := range c.core.Decide(c.now, c.wallMS) {
			if a.Kind == ActStart {
				c.startsOf[a.Order.Task]++
			}
			if a.Kind == ActStart && c.loseAnswer != nil && c.loseAnswer(a.Order) {
				c.begin(c.workers[a.Order.Worker], a.Order)
				c.core.StartAnswered(a.Order, workload.Receipt{Verdict: workload.VerdictUnknown}, c.now, c.wallMS)
				continue
			}
			c.carryOut(a)
		}
		if !c.storeAway {
			c.store()
		}
	}
}

func (c *crashes) store() {
	list := c.core.Unpersisted(50)
	for _, u := range list {
		record, err := DecodeRecord(u.Record)
		assert.NilError(c.t, err)
		c.table[u.Job] = record
	}
	c.core.Recorded(list, c.now, c.wallMS)
}

// takeover has the next leader begin with what the store has.
func (c *crashes) takeover() {
	c.core = New(testBounds, c.core.epoch+1, c.now, c.now)
	c.core.Configure(testConfig())
	c.core.TrustBegins()
	c.core.StoreBegins(true)
	c.list()
	for _, job := range c.jobs {
		c.core.AddJob(job, c.table[job.ID], false, c.now, c.wallMS)
	}
}

// work ends what is due, and takes workers down that run a crashing task.
func (c *crashes) work() {
	for id, w := range c.workers {
		for key, r := range w.running {
			switch {
			case c.crashing(key.task) && c.now.Sub(r.began) >= crashAfter:
				c.crashesOf[key.task]++
				c.crash(id)
			case c.now.Sub(r.began) >= c.runTime && c.whole(key):
				c.end(w, key.task, key.attempt, workload.EndDone)
			}
		}
	}
}

// whole reports whether all members of a run's gang are there; any other run is whole.
func (c *crashes) whole(key runKey) bool {
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

// crash ends a life of a worker.
func (c *crashes) crash(id string) {
	w := c.workers[id]
	w.running, w.ended = make(map[runKey]*fakeRun), nil
	c.refusing[id] = true
	if c.downFor > 0 {
		c.down[id] = c.now.Add(c.downFor)
	}
}

// revive lets the next life begin of workers that were down for long enough.
func (c *crashes) revive() {
	for id, until := range c.down {
		if c.now.Before(until) {
			continue
		}
		delete(c.down, id)
		delete(c.refusing, id)
		c.replaced[id], c.unlisted[id] = true, true
		next := string(id[0]+1) + id[1:]
		c.addWorker(next)
		c.list()
	}
}

func TestATaskThatTakesDownItsWorkersIsNotStartedWithoutEnd(t *testing.T) {
	c := newCrashes(t, 12, taskOf("crashing", 0))
	c.add(looseJob("crashing", 3))
	c.pass(40 * time.Second)
	task := workload.TaskID{Job: "crashing"}
	assert.Assert(t, c.crashesOf[task] <= 3, "%d workers were taken down", c.crashesOf[task])
	assert.Equal(t, c.startsOf[task], c.crashesOf[task])
	assert.Equal(t, c.state("crashing"), FinalFailed)
}

// platformLimit is how often a task may start that takes each worker down: three workers,
// and two starts more.
const platformLimit = 5

func TestACrashIsNotForgottenWithTheLeader(t *testing.T) {
	task := workload.TaskID{Job: "crashing"}
	each := func(d time.Duration) func(c *crashes) bool {
		return func(c *crashes) bool { return c.now.Sub(epochStart)%d == 0 }
	}
	for name, test := range map[string]struct {
		takeover func(c *crashes) bool
		downFor  time.Duration
	}{
		"replaced as a recorded attempt begins": {func(c *crashes) bool { return c.startsOf[task] > 1 && c.core.jobs["crashing"].runs > 0 }, 3 * time.Second},
		"replaced before it hears of a crash": {
			func(c *crashes) bool { return c.crashesOf[task] > 1 && len(c.down) > 0 && each(time.Second)(c) }, 3 * time.Second,
		},
		"replaced each second":            {each(time.Second), 3 * time.Second},
		"replaced each third of a second": {each(330 * time.Millisecond), 3 * time.Second},
		"the workers never come back":     {each(9 * time.Second), 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashes(t, 12, taskOf("crashing", 0))
			c.downFor = test.downFor
			c.add(looseJob("crashing", 3))
			for range 6000 {
				c.pass(crashAfter)
				if test.takeover(c) {
					c.takeover()
				}
			}
			c.pass(time.Minute)
			assert.Equal(t, c.state("crashing"), FinalFailed)
			assert.Assert(t, c.startsOf[task] <= platformLimit, "%d starts", c.startsOf[task])
		})
	}
}

func TestASuspectTaskStartsOnceTheStoreKnowsOfIt(t *testing.T) {
	c := newCrashes(t, 12, taskOf("crashing", 0))
	c.add(looseJob("crashing", 1))
	c.pass(time.Second)
	c.storeAway = true
	c.core.StoreBegins(false)
	c.pass(20 * time.Second)
	assert.Equal(t, c.startsOf[workload.TaskID{Job: "crashing"}], 1)
	c.add(looseJob("other", 90))
	c.pass(10 * time.Second)
	assert.Equal(t, c.state("other"), FinalCompleted, "the room is not held for it meanwhile")
	c.storeAway = false
	c.pass(20 * time.Second)
	assert.Equal(t, c.state("crashing"), FinalFailed)
	assert.Equal(t, c.startsOf[workload.TaskID{Job: "crashing"}], 3)
}

func TestWorkersThatAreNeverHeardOfAgainCountAsCrashed(t *testing.T) {
	c := newCrashes(t, 12, taskOf("crashing", 0))
	c.downFor = 0
	c.add(looseJob("crashing", 1))
	c.pass(2 * time.Minute)
	assert.Equal(t, c.state("crashing"), FinalFailed)
	assert.Assert(t, c.startsOf[workload.TaskID{Job: "crashing"}] <= platformLimit)
}

func TestWhatIsNoCrashIsNotCounted(t *testing.T) {
	for name, lose := range map[string]func(c *crashes){
		"its worker was cut off for longer than its lease": func(c *crashes) {
			c.silent["w00"] = true
			c.pass(7500 * time.Millisecond)
			c.silent["w00"] = false
		},
		"its worker had said that it would leave": func(c *crashes) {
			c.leave("w00", 5*time.Second)
			c.pass(500 * time.Millisecond)
			c.crash("w00")
		},
		"it ran for long before": func(c *crashes) {
			c.pass(61 * time.Second)
			c.crash("w00")
		},
		"it was stopped": func(c *crashes) {
			c.core.Cancel("job", c.now, c.wallMS)
			c.pass(500 * time.Millisecond)
			c.crash("w00")
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashes(t, 1, nobody)
			c.runTime = time.Hour
			c.add(looseJob("job", 2))
			c.pass(time.Second)
			lose(c)
			c.pass(10 * time.Second)
			assert.Equal(t, len(c.core.jobs["job"].record.Crashed), 0)
		})
	}
}

func TestAStartThatTheNextLifeRefusesIsNoCrash(t *testing.T) {
	c := newCrashes(t, 1, nobody)
	c.pass(100 * time.Millisecond)
	c.replaced["w00"] = true // nothing ran there, so nobody noticed
	c.add(looseJob("job", 8))
	c.pass(10 * time.Second)
	assert.Equal(t, c.startsOf[workload.TaskID{Job: "job"}], 1)
	assert.Equal(t, len(c.core.jobs["job"].record.Crashed), 0)
}

func TestAGangOfWhichAMemberTakesItsWorkersDownIsGivenUp(t *testing.T) {
	for name, crashing := range map[string]func(workload.TaskID) bool{
		"one member":   taskOf("gang", 2),
		"every member": func(task workload.TaskID) bool { return task.Job == "gang" },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashes(t, 24, crashing)
			c.add(gangJob("gang", "urgent", "acme", 4, 4))
			c.pass(30 * time.Second)
			assert.Equal(t, c.state("gang"), FinalFailed)
			for task, starts := range c.startsOf {
				assert.Assert(t, starts <= platformLimit, "%v: %d starts", task, starts)
			}
			assert.Equal(t, c.running(), 0)
		})
	}
}

func TestWhatHangsOnATaskThatTakesItsWorkersDownDoesNotStart(t *testing.T) {
	c := newCrashes(t, 12, taskOf("chain", 0))
	job := looseJob("chain", 3)
	job.Steps = append(job.Steps, job.Steps[0])
	job.Steps[1].After = []int{0}
	c.add(job)
	c.pass(30 * time.Second)
	assert.Equal(t, c.state("chain"), FinalFailed)
	assert.Equal(t, c.startsOf[workload.TaskID{Job: "chain", Step: 1}], 0)
}

func TestATaskThatTwoWorkersWentDownUnderStillRuns(t *testing.T) {
	c := newCrashes(t, 3, nobody)
	c.add(looseJob("unlucky", 1))
	for range 2 {
		c.pass(500 * time.Millisecond)
		c.crash(c.hostOf("unlucky"))
		c.pass(4 * time.Second)
	}
	c.pass(10 * time.Second)
	assert.Equal(t, c.state("unlucky"), FinalCompleted)
}

func TestALostRunIsSaidWithItsCause(t *testing.T) {
	for name, c := range map[string]struct {
		lose  func(b *crashes)
		cause LossCause
		ran   time.Duration
	}{
		"another life answers":         {func(b *crashes) { b.crash("w00") }, LossReplaced, 3 * time.Second},
		"silent longer than its lease": {func(b *crashes) { b.silent["w00"] = true }, LossSilent, testBounds.LongestLease},
	} {
		t.Run(name, func(t *testing.T) {
			b := newCrashes(t, 1, nobody)
			b.runTime = time.Minute
			b.add(looseJob("job", 2))
			b.pass(time.Second)
			c.lose(b)
			b.pass(10 * time.Second)
			assert.Equal(t, len(b.lost), 2)
			for _, a := range b.lost {
				assert.Equal(t, a.Order.Worker, "w00")
				assert.Equal(t, a.Lost.Cause, c.cause)
				assert.Equal(t, a.Lost.Beside, 1)
				assert.Assert(t, a.Lost.Ran >= c.ran, "ran %v", a.Lost.Ran)
			}
		})
	}
}

func TestARecordedAttemptOfWhichTheNextLeaderSeesMoreIsNoCrash(t *testing.T) {
	for name, meanwhile := range map[string]func(c *crashes, key runKey, host *fakeWorker){
		"it runs":           func(*crashes, runKey, *fakeWorker) {},
		"it ended":          func(c *crashes, key runKey, host *fakeWorker) { c.end(host, key.task, key.attempt, workload.EndDone) },
		"its lease ran out": func(c *crashes, key runKey, host *fakeWorker) { c.end(host, key.task, key.attempt, workload.EndLapsed) },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashes(t, 3, nobody)
			c.runTime = 10 * time.Second
			c.add(looseJob("unlucky", 1))
			c.pass(500 * time.Millisecond)
			c.crash(c.hostOf("unlucky"))
			c.pass(5 * time.Second)
			assert.Equal(t, len(c.table["unlucky"].Attempts["0.0.0"]), 1)
			host := c.workers[c.hostOf("unlucky")]
			for key := range host.running {
				meanwhile(c, key, host)
			}
			c.takeover()
			c.pass(time.Second)
			assert.Equal(t, len(c.core.jobs["unlucky"].record.Crashed["0.0.0"]), 1)
			c.pass(15 * time.Second)
			assert.Equal(t, c.state("unlucky"), FinalCompleted)
			assert.Equal(t, len(c.core.jobs["unlucky"].record.Crashed["0.0.0"]), 1)
		})
	}
}

// Several starts reach the next life of a worker at once, and their answers come back
// among those of polls.
func TestStartsThatTheNextLifeRefusesOneAfterTheOtherAreNoCrashes(t *testing.T) {
	b := newBench(t, 1, false)
	b.pass(100 * time.Millisecond)
	b.add(looseJob("job", 3))
	var starts []Action
	for _, a := range b.core.Decide(b.now, b.wallMS) {
		if a.Kind == ActStart {
			starts = append(starts, a)
		}
	}
	assert.Equal(t, len(starts), 3)
	gone := workload.Receipt{Verdict: workload.VerdictGone}
	poll := Action{Kind: ActPoll, Poll: workload.Poll{Worker: "w00"}}
	for _, a := range starts {
		b.core.StartAnswered(a.Order, gone, b.now, b.wallMS)
		b.core.PollAnswered(poll, workload.Report{Verdict: workload.VerdictGone}, b.now, b.wallMS)
	}
	assert.Equal(t, len(b.core.jobs["job"].record.Crashed), 0)
	assert.Equal(t, b.core.jobs["job"].runs, 0)
}

// Idle workers go down behind a cut: starts that are sent to them get no answer, and then
// their next lives answer.
func TestStartsThatReachNobodyAreNoCrashes(t *testing.T) {
	for name, job := range map[string]*workload.Job{
		"a single task": looseJob("job", 1),
		"a gang":        gangJob("job", "urgent", "acme", 3, 8),
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashes(t, 16, nobody)
			c.pass(200 * time.Millisecond)
			dead := []string{"w00", "w01", "w02", "w03", "w04", "w05", "w06", "w07", "w08", "w09", "w10", "w11"}
			for _, id := range dead {
				c.silent[id] = true
				c.crash(id)
				c.down[id] = c.now.Add(time.Hour)
			}
			c.refusing = make(map[string]bool)
			c.add(job)
			for range 12 {
				c.pass(300 * time.Millisecond)
				for id := range c.core.workers {
					if c.silent[id] && len(c.core.workers[id].runs) > 0 {
						delete(c.silent, id)
						c.down[id] = c.now
						break
					}
				}
			}
			c.pass(20 * time.Second)
			assert.Equal(t, c.state("job"), FinalCompleted)
			assert.Equal(t, len(c.core.jobs["job"].record.Crashed), 0)
			assert.Assert(t, len(c.core.jobs["job"].record.Unanswered) > 0)
		})
	}
}

// The answers to starts get lost as well: a task that takes its workers down is given up
// before the platform's limit all the same.
func TestATaskWhoseStartsAreNotAnsweredIsGivenUpInTime(t *testing.T) {
	c := newCrashes(t, 12, taskOf("crashing", 0))
	c.add(looseJob("crashing", 1))
	task := workload.TaskID{Job: "crashing"}
	lost := 0
	c.loseAnswer = func(o workload.Order) bool {
		lost++
		return o.Task == task && lost%2 == 0
	}
	c.pass(time.Minute)
	assert.Equal(t, c.state("crashing"), FinalFailed)
	assert.Assert(t, c.startsOf[task] <= platformLimit, "%d starts", c.startsOf[task])
	assert.Assert(t, len(c.core.jobs["crashing"].record.Unanswered) > 0)
}

// Racks, zones and switches take many workers down at once, and what ran there with them.
func TestWorkThatIsHitByThreeOutagesStillRuns(t *testing.T) {
	c := newCrashes(t, 20, nobody)
	c.runTime = 10 * time.Second
	for n := range 10 {
		c.add(gangJob(fmt.Sprintf("other%d", n), "batch", "other", 1, 8))
	}
	c.add(gangJob("unlucky", "batch", "other", 1, 8))
	for range 3 {
		c.pass(time.Second)
		c.crash(c.hostOf("unlucky"))
		for id, w := range c.workers {
			if len(w.running) > 0 && len(c.down) < 8 && id != c.hostOf("unlucky") {
				c.crash(id)
			}
		}
		c.pass(5 * time.Second)
	}
	assert.Assert(t, c.state("unlucky") != FinalFailed)
	c.pass(time.Minute)
	assert.Equal(t, c.state("unlucky"), FinalCompleted)
}

// Jobs that crash their workers in the same moment each time look like outages to each other.
func TestJobsThatCrashTheirWorkersTogetherAreGivenUpInTime(t *testing.T) {
	c := newCrashes(t, 40, func(task workload.TaskID) bool { return task.Job != "healthy" })
	for n := range 8 {
		c.add(gangJob(fmt.Sprintf("crashing%d", n), "batch", "other", 1, 8))
	}
	c.pass(time.Minute)
	for task, starts := range c.startsOf {
		assert.Assert(t, starts <= platformLimit, "%s: %d starts", task.Job, starts)
		assert.Equal(t, c.state(task.Job), FinalFailed)
	}
	assert.Equal(t, len(c.startsOf), 8)
}
