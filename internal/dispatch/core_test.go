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

// bench drives a core against fake workers that follow their orders.
type bench struct {
	t       testing.TB
	core    *Core
	now     time.Time
	wallMS  int64
	workers map[string]*fakeWorker
	// unresponsive workers answer nothing and carry nothing out.
	unresponsive map[string]bool
	// refusing workers refuse connections and carry nothing out; their runs may continue behind
	// a network partition.
	refusing map[string]bool
	// replaced workers are over: another incarnation answers at their address.
	replaced map[string]bool
	// unlisted workers are missing from the platform's list.
	unlisted      map[string]bool
	starts, stops int
	// startHosts holds the workers of all starts in order, answered or not.
	startHosts []string
	// zones maps racks to their zones; racks without an entry have none.
	zones map[string]string
	// addrs holds the addresses of workers that do not follow from their id.
	addrs map[string]string
	// leavesIn holds the remaining time of leaving workers.
	leavesIn map[string]time.Duration
	// dropStops, if set, reports whether to leave stops unanswered and undone.
	dropStops func() bool
	// stopTakes is how long a run continues after its stop was answered.
	stopTakes time.Duration
	// advise is the placement advisor.
	advise  func(workload.AdviceRequest) workload.AdviceResponse
	tickets map[string]bool
	// reasons are the logged reasons of waiting steps.
	reasons []string
	// percentOf, if set, returns the reported progress of a run.
	percentOf func(id string, key runKey, r *fakeRun) int
	// unreadable, if set, reports whether the rows of a job cannot be read.
	unreadable func(job string) bool
	// lostRuns are the actions for lost runs.
	lostRuns []Action
	// feedLate is set while jobs of the previous leader may be unknown.
	feedLate bool
}

type fakeWorker struct {
	capacity workload.Resources
	running  map[runKey]*fakeRun
	ended    []workload.Completion
	number   int64
	closed   map[workload.TaskID]int64
	// leaseUntilMS is the time, on the worker's clock, until which its runs may continue.
	leaseUntilMS int64
	// incarnation is in all answers, listedIncarnation in the platform's list. Both are zero on a
	// platform without incarnations.
	incarnation, listedIncarnation int64
	// unnamed is set if answers to orders lack the incarnation.
	unnamed bool
	// clockZero is the time, in Unix milliseconds, at which the worker's clock was zero.
	clockZero int64
}

type fakeRun struct {
	need       workload.Resources
	startedAt  time.Time
	checkpoint string
	// stopAt is the time at which a stop takes effect; zero if none is in progress.
	stopAt time.Time
}

var testBounds = workload.Bounds{
	MaxLease: 6 * time.Second, MaxStopTime: 200 * time.Millisecond, MaxReclaimTime: 2700 * time.Millisecond,
	StatusRetention: 2 * time.Minute, RemoteFactor: 3,
}

var testStart = time.Unix(1_000_000, 0)

func newBench(t testing.TB, workers int, earlier bool) *bench {
	b := &bench{t: t, now: testStart, wallMS: 1_700_000_000_000, workers: make(map[string]*fakeWorker), unresponsive: make(map[string]bool)}
	b.leavesIn, b.tickets = make(map[string]time.Duration), make(map[string]bool)
	b.refusing, b.unlisted, b.replaced = make(map[string]bool), make(map[string]bool), make(map[string]bool)
	var earlierOrdersUntil time.Time
	if earlier {
		earlierOrdersUntil = b.now
	}
	b.core = New(testBounds, 2, b.now, earlierOrdersUntil)
	b.core.Configure(testConfig())
	for n := range workers {
		b.addWorker(fmt.Sprintf("w%02d", n))
	}
	b.listWorkers()
	return b
}

func testConfig() *workload.Configuration {
	config := &workload.Configuration{
		Version: 1,
		Queues: []workload.Queue{
			{Name: "urgent", Pool: "pool", Priority: 0, Attempts: 2, LatencyFactor: 1.5, GracePeriodMS: 250},
			{Name: "batch", Pool: "pool", Priority: 2, Attempts: 2, LatencyFactor: 3, GracePeriodMS: 3000},
		},
		Accounts: []workload.Account{{Name: "acme", Guaranteed: workload.Resources{Accelerators: 16}}, {Name: "other"}},
	}
	config.Index()
	return config
}

func (b *bench) addWorker(id string) {
	b.workers[id] = &fakeWorker{
		capacity: workload.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: 8}, running: make(map[runKey]*fakeRun),
		closed: make(map[workload.TaskID]int64),
	}
}

func (b *bench) listWorkers() {
	var list []workload.Worker
	for id, w := range b.workers {
		if b.unlisted[id] {
			continue
		}
		timeLeft, leaving := b.leavesIn[id]
		rack := "r" + id[1:len(id)-1]
		addr := id[1:]
		if b.addrs[id] != "" {
			addr = b.addrs[id]
		}
		list = append(list, workload.Worker{
			ID: id, Incarnation: w.listedIncarnation, Addr: addr, Pool: "pool", Zone: b.zones[rack], Rack: rack, Capacity: w.capacity, Leaving: leaving, LeavesInMS: timeLeft.Milliseconds(),
		})
	}
	b.core.WorkersListed(list, b.now, b.wallMS)
}

// clockOf returns the reading of a worker's clock.
func (b *bench) clockOf(w *fakeWorker) int64 { return b.now.UnixMilli() - w.clockZero }

// followFeed tells the core that it knows the previous leader's jobs, once that is so.
func (b *bench) followFeed() {
	if !b.feedLate && b.now.After(b.core.earlierOrdersUntil) {
		b.core.EarlierJobsKnown(b.now, b.wallMS)
	}
}

// round runs decisions and executes all actions immediately.
func (b *bench) round() {
	b.followFeed()
	for range 6 {
		b.core.WorkersStored(b.core.UnstoredWorkers(len(b.workers)))
		actions := b.core.Decide(b.now, b.wallMS)
		if len(actions) == 0 {
			return
		}
		for _, a := range actions {
			b.execute(a)
		}
		if list := b.core.UnstoredRecords(50); len(list) > 0 {
			b.core.MarkRecordsStored(list, b.now, b.wallMS)
		}
	}
}

func (b *bench) execute(a Action) {
	if a.Kind == ActLost {
		b.lostRuns = append(b.lostRuns, a)
		return
	}
	if a.Kind == ActWorkerSoundness || a.Kind == ActTrial || a.Kind == ActUnknownEnd {
		return
	}
	if a.Kind == ActReason {
		b.reasons = append(b.reasons, a.Reason)
		return
	}
	if a.Kind == ActAskAdvisor {
		b.core.AdviceAnswered(a.AdviceRequest, b.advise(a.AdviceRequest), b.now, b.wallMS)
		return
	}
	id := a.Order.Worker + a.Poll.Worker
	if a.Kind == ActStart {
		b.startHosts = append(b.startHosts, id)
		b.checkRunsNowhere(a.Order)
	}
	w := b.workers[id]
	if b.replaced[id] {
		b.answerWith(a, workload.VerdictOtherIncarnation)
		return
	}
	if b.refusing[id] {
		b.answerWith(a, workload.VerdictConnectionRefused)
		return
	}
	if w == nil || b.unresponsive[id] || a.Kind == ActStop && b.dropStops != nil && b.dropStops() {
		b.answerWith(a, workload.VerdictUnknown)
		return
	}
	switch a.Kind {
	case ActStart:
		b.starts++
		if a.Order.Ticket != "" {
			b.tickets[a.Order.Ticket] = true
		}
		result := b.startRun(w, a.Order)
		if w.unnamed {
			result.Incarnation = 0
		}
		b.core.StartAnswered(a.Order, result, b.now, b.wallMS)
	case ActStop:
		b.stops++
		if r := w.running[runKey{a.Order.Task, a.Order.Attempt}]; r != nil && b.stopTakes > 0 {
			r.stopAt = b.now.Add(b.stopTakes)
		} else {
			b.endRun(w, a.Order.Task, a.Order.Attempt, workload.CompletionStopped)
		}
		w.closed[a.Order.Task] = max(w.closed[a.Order.Task], a.Order.Attempt)
		b.core.StopAnswered(a.Order, workload.OrderResult{ClockMS: b.clockOf(w), Incarnation: w.incarnation}, b.now, b.wallMS)
	case ActPoll:
		b.core.PollAnswered(a, b.report(w, a.Poll), b.now, b.wallMS)
	}
}

// checkRunsNowhere fails the test if another attempt of a task runs on a worker that answers.
func (b *bench) checkRunsNowhere(o workload.Order) {
	for id, w := range b.workers {
		for key := range w.running {
			if key.task == o.Task && key.attempt != o.Attempt && !b.unresponsive[id] && !b.refusing[id] && !b.replaced[id] {
				assert.Assert(b.t, false, "%v is started while attempt %d runs on %s", o.Task, key.attempt, id)
			}
		}
	}
}

func (b *bench) answerWith(a Action, verdict workload.Verdict) {
	switch a.Kind {
	case ActStart:
		b.core.StartAnswered(a.Order, workload.OrderResult{Verdict: verdict}, b.now, b.wallMS)
	case ActStop:
		b.core.StopAnswered(a.Order, workload.OrderResult{Verdict: verdict}, b.now, b.wallMS)
	case ActPoll:
		b.core.PollAnswered(a, workload.Report{Verdict: verdict}, b.now, b.wallMS)
	}
}

// startRun starts a run; it fails the test if the worker lacks the capacity.
func (b *bench) startRun(w *fakeWorker, o workload.Order) workload.OrderResult {
	if o.Attempt <= w.closed[o.Task] {
		return workload.OrderResult{Verdict: workload.VerdictOld, ClockMS: b.clockOf(w), Incarnation: w.incarnation}
	}
	if o.UntilMS < b.clockOf(w) {
		return workload.OrderResult{Verdict: workload.VerdictLate, ClockMS: b.clockOf(w), Incarnation: w.incarnation}
	}
	w.leaseUntilMS = max(w.leaseUntilMS, o.UntilMS)
	need := b.core.task(o.Task).step.spec.CountedResources()
	w.running[runKey{o.Task, o.Attempt}] = &fakeRun{need: need, startedAt: b.now, checkpoint: o.Checkpoint}
	var used workload.Resources
	for _, r := range w.running {
		used = used.Add(r.need)
	}
	assert.Assert(b.t, w.capacity.Contains(used), "%s exceeds its capacity: %+v", o.Worker, used)
	return workload.OrderResult{ClockMS: b.clockOf(w), Incarnation: w.incarnation}
}

func (b *bench) endRun(w *fakeWorker, task workload.TaskID, attempt int64, kind workload.CompletionKind) {
	key := runKey{task, attempt}
	if w.running[key] == nil {
		return
	}
	delete(w.running, key)
	w.number++
	w.ended = append(w.ended, workload.Completion{Number: w.number, Task: task, Attempt: attempt, Kind: kind})
}

func (b *bench) report(w *fakeWorker, poll workload.Poll) workload.Report {
	w.leaseUntilMS = max(w.leaseUntilMS, poll.UntilMS)
	report := workload.Report{ClockMS: b.clockOf(w), Incarnation: w.incarnation}
	for _, key := range w.sortedRuns() {
		r := w.running[key]
		if b.unreadable != nil && b.unreadable(key.task.Job) {
			report.Unparsed++
			continue
		}
		running := workload.Running{Task: key.task, Attempt: key.attempt}
		if b.percentOf != nil {
			running.Percent = b.percentOf(poll.Worker, key, r)
		}
		report.Running = append(report.Running, running)
	}
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.Number > poll.Acknowledged {
			kept = append(kept, e)
		}
	}
	w.ended = kept
	for _, e := range kept {
		if !report.EndsIncomplete() {
			report.Ended = append(report.Ended, e)
		}
	}
	return report
}

// endAll ends all runs on all workers.
func (b *bench) endAll(kind workload.CompletionKind) {
	for _, w := range b.workers {
		for key := range w.running {
			b.endRun(w, key.task, key.attempt, kind)
		}
	}
}

func (b *bench) advance(d time.Duration) {
	for until := b.now.Add(d); b.now.Before(until); {
		b.now = b.now.Add(50 * time.Millisecond)
		b.wallMS += 50
		b.endStops()
		b.round()
	}
}

// endStops ends the runs whose stops take effect.
func (b *bench) endStops() {
	for _, id := range slices.Sorted(maps.Keys(b.workers)) {
		w := b.workers[id]
		for _, key := range w.sortedRuns() {
			r := w.running[key]
			if !r.stopAt.IsZero() && !b.now.Before(r.stopAt) {
				b.endRun(w, key.task, key.attempt, workload.CompletionStopped)
			}
		}
	}
}

func (b *bench) add(job *workload.Job) {
	job.AcceptedMS = b.wallMS
	b.followFeed()
	b.core.AddJob(job, Record{}, false, b.now, b.wallMS)
}

func (b *bench) running() int {
	count := 0
	for _, w := range b.workers {
		count += len(w.running)
	}
	return count
}

// announceLeaving lists a worker as leaving.
func (b *bench) announceLeaving(id string, timeLeft time.Duration) {
	b.leavesIn[id] = timeLeft
	b.listWorkers()
}

// hostOf returns a worker that a job runs on.
func (b *bench) hostOf(job string) string {
	for id, w := range b.workers {
		for key := range w.running {
			if key.task.Job == job {
				return id
			}
		}
	}
	return ""
}

func gangJob(id, queue, account string, tasks int, accelerators int64) *workload.Job {
	return &workload.Job{ID: id, Queue: queue, Account: account, Steps: []workload.Step{{
		Count: tasks, Gang: true, EstimateMS: 3000, Need: workload.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: accelerators},
	}}}
}

func (b *bench) finalState(id string) Final { return b.core.jobs[id].record.Final }

func TestAGangRunsWholeAndEndsTogether(t *testing.T) {
	b := newBench(t, 3, false)
	b.add(gangJob("a", "batch", "other", 3, 8))
	b.add(gangJob("b", "batch", "other", 2, 8))
	b.advance(200 * time.Millisecond)
	assert.Equal(t, b.running(), 3, "no member of the second gang may start")
	b.endAll(workload.CompletionDone)
	b.advance(2 * time.Second)
	assert.Equal(t, b.finalState("a"), FinalCompleted)
	assert.Equal(t, b.running(), 2)
}

func TestWhatRunsOfAJobThatIsOverTakesRoomUntilItIsGone(t *testing.T) {
	b := newBench(t, 1, true)
	w := b.workers["w00"]
	cancelled := gangJob("over", "batch", "other", 1, 8)
	key := runKey{workload.TaskID{Job: "over"}, 1_000_001}
	w.running[key] = &fakeRun{need: workload.Resources{Accelerators: 8}}
	b.core.AddJob(cancelled, Record{}, true, b.now, b.wallMS)
	b.core.dropFinished() // the job is cancelled and has no run known to this epoch
	actions := b.core.Decide(b.now, b.wallMS)
	assert.Equal(t, len(actions), 1)
	b.execute(actions[0])
	b.add(gangJob("next", "batch", "other", 1, 8))
	for _, a := range b.core.Decide(b.now, b.wallMS) {
		assert.Assert(t, a.Kind != ActStart, "started while an old run was still being stopped")
		b.execute(a)
	}
	b.advance(time.Second)
	assert.Assert(t, w.running[key] == nil)
	assert.Equal(t, b.running(), 1)
}
