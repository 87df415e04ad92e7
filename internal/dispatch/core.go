package dispatch

import (
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// attemptsPerEpoch separates the attempt numbers of two epochs: an attempt is
// the epoch times this, plus a counter. So attempts rise over all holders of
// the lease without a write.
const attemptsPerEpoch = 1_000_000

// ActionKind says what an Action is.
type ActionKind int

// The kinds of action.
const (
	ActStart ActionKind = iota
	ActStop
	ActLook
	// ActAsk asks the placement advisor.
	ActAsk
)

// Action is something for the driver to do. Its answer comes back as an event.
type Action struct {
	Kind  ActionKind
	Order workload.Order
	Look  workload.Look
	Ask   workload.Question
	// Sequence identifies a look: what was ordered before it was sent.
	Sequence uint64
	// Quick looks run beside the waiting one.
	Quick bool
	// Reason, for the log: why this, and what decided it.
	Reason string
}

// Core is the state of all work in a deployment, as the holder of the lease
// knows it. It is not safe for concurrent use.
type Core struct {
	bounds   workload.Bounds
	epoch    int64
	attempts int64
	config   *workload.Configuration
	jobs     map[string]*job
	// queue holds the jobs that are not final, in the order of acceptance.
	queue   []*job
	workers map[string]*worker
	// sequence counts events; it tells which of two things came first.
	sequence uint64
	// earlier is until when an earlier epoch may have given orders.
	earlier time.Time
	// surelyQuiet is when nothing that an earlier epoch started can run on a
	// worker that has not answered yet.
	surelyQuiet time.Time
	dirty       map[string]*job
	fenced      bool
	// urgentUse is the average number of accelerators that work of the first
	// priority used of late, by pool, as of urgentAt.
	urgentUse map[string]float64
	urgentAt  time.Time
	estimates estimates
	// asking counts the questions to the advisor under way.
	asking  int
	actions []Action
	now     time.Time
	wallMS  int64
}

// New returns the core of an epoch that begins now. earlier is until when a
// holder before may have given orders, which may even be later than now; zero if
// there was none.
func New(bounds workload.Bounds, epoch int64, now, earlier time.Time) *Core {
	c := &Core{
		bounds: bounds, epoch: epoch, jobs: make(map[string]*job), workers: make(map[string]*worker),
		dirty: make(map[string]*job), estimates: newEstimates(), now: now, urgentUse: make(map[string]float64), urgentAt: now,
	}
	if !earlier.IsZero() {
		c.earlier = earlier
		c.surelyQuiet = earlier.Add(slowest(bounds.LongestLease) + bounds.StopTime)
	}
	return c
}

// Fenced reports that a worker has seen a higher epoch: another holds the lease.
func (c *Core) Fenced() bool { return c.fenced }

// Configure puts a configuration in force.
func (c *Core) Configure(config *workload.Configuration) { c.config = config }

// step is one step of one occurrence of a job.
type step struct {
	job        *job
	occurrence int
	number     int
	spec       *workload.Step
	tasks      []task
	open       int
	gang       *gang
	// readySince is when it could first have run; zero while it could not.
	readySince time.Time
	began      bool
	// advice is what the advisor said of workers, on queues that have one.
	advice advice
}

type task struct {
	step  *step
	index int
	done  bool
	runs  []*run
}

// gang is one attempt at all tasks of a step.
type gang struct {
	attempt int64
	runs    int
	// broken gangs are being stopped.
	broken   bool
	brokenAt time.Time
	done     bool
}

type runState int

const (
	// runOrdered: the start has not been answered yet.
	runOrdered runState = iota
	runRunning
	// runUnclear: it may run, or may start yet; a stop settles it.
	runUnclear
	// runStopping: told to stop.
	runStopping
)

type run struct {
	task    *task
	worker  *worker
	attempt int64
	state   runState
	gang    *gang
	need    workload.Resources
	since   time.Time
	// settledBy is the sequence after which a look is sure to know of the
	// run's start (running) or of its stop (stopping, unclear).
	settledBy uint64
	stopAcked bool
	stopSent  time.Time
	stopping  bool
	reason    string
	percent   int
	// movedAt is when percent last grew.
	movedAt    time.Time
	startedPct int
	checkpoint string
}

type job struct {
	*workload.Job
	record    Record
	steps     []*step
	cancelled bool
	// old jobs may have been started by an earlier epoch.
	old   bool
	began bool
	// changed and stored count changes of the record, and those in the store.
	changed, stored uint64
	runs            int
	// protected jobs lie within their account's guarantee.
	protected bool
	received  time.Time
}

// AddJob adds an accepted job with its record. Adding a known job again changes
// nothing.
func (c *Core) AddJob(accepted *workload.Job, record Record, cancelled bool, now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	if c.jobs[accepted.ID] != nil {
		return
	}
	j := &job{Job: accepted, record: record.clone(), old: !c.earlier.IsZero() && !now.After(c.earlier), received: now}
	if age := wallMS - accepted.AcceptedMS; age > 0 && age < maxJobAge.Milliseconds() {
		j.received = now.Add(-time.Duration(age) * time.Millisecond)
	}
	c.jobs[accepted.ID] = j
	if record.Final != "" {
		return
	}
	for k := range accepted.Occurrences() {
		for s := range accepted.Steps {
			j.steps = append(j.steps, newStep(j, k, s))
		}
	}
	c.queue = append(c.queue, j)
	if cancelled {
		c.cancel(j)
		return
	}
	c.finishIfDone(j)
}

// maxJobAge bounds how far back an acceptance is believed: another instance's
// time of day may be off.
const maxJobAge = time.Hour

func newStep(j *job, occurrence, number int) *step {
	spec := &j.Steps[number]
	s := &step{job: j, occurrence: occurrence, number: number, spec: spec, tasks: make([]task, spec.Count)}
	for i, done := range j.record.doneBits(stepName(occurrence, number), spec.Count) {
		s.tasks[i] = task{step: s, index: i, done: done}
		if !done {
			s.open++
		}
		s.began = s.began || done
	}
	j.began = j.began || s.began
	return s
}

func (t *task) id() workload.TaskID {
	return workload.TaskID{Job: t.step.job.ID, Occurrence: t.step.occurrence, Step: t.step.number, Index: t.index}
}

// name is the task's name in the record; all members of a gang share one.
func (t *task) name() string {
	if t.step.spec.Gang {
		return stepName(t.step.occurrence, t.step.number)
	}
	return taskName(t.step.occurrence, t.step.number, t.index)
}

func (c *Core) task(id workload.TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil || j.steps == nil {
		return nil
	}
	at := id.Occurrence*len(j.Steps) + id.Step
	if id.Step < 0 || id.Step >= len(j.Steps) || id.Occurrence < 0 || at >= len(j.steps) {
		return nil
	}
	s := j.steps[at]
	if id.Index < 0 || id.Index >= len(s.tasks) {
		return nil
	}
	return &s.tasks[id.Index]
}

// Cancel notes that a job was cancelled.
func (c *Core) Cancel(id string, now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	if j := c.jobs[id]; j != nil && j.record.Final == "" {
		c.cancel(j)
	}
}

func (c *Core) cancel(j *job) {
	j.cancelled = true
	c.final(j, FinalCancelled)
}

// final ends a job: its record says so, and what runs of it is stopped.
func (c *Core) final(j *job, how Final) {
	j.record.Final = how
	j.record.EndedMS = c.wallMS
	c.change(j)
	for _, s := range j.steps {
		for i := range s.tasks {
			for _, r := range s.tasks[i].runs {
				if how != FinalCompleted || !r.task.done {
					c.stop(r, "job "+string(how))
				}
			}
		}
	}
}

// change marks a record to be written.
func (c *Core) change(j *job) {
	j.changed++
	c.dirty[j.ID] = j
}

// Unwritten is a record to be written.
type Unwritten struct {
	Job    string
	Change uint64
	Record []byte
	Final  Final
}

// Unwritten returns up to limit records that the store does not have yet.
func (c *Core) Unwritten(limit int) []Unwritten {
	var list []Unwritten
	for _, j := range c.dirty {
		if len(list) == limit {
			break
		}
		list = append(list, Unwritten{Job: j.ID, Change: j.changed, Record: j.record.Encode(), Final: j.record.Final})
	}
	return list
}

// Recorded notes that the store has the records of a list.
func (c *Core) Recorded(list []Unwritten, now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	for _, u := range list {
		j := c.jobs[u.Job]
		if j == nil {
			continue
		}
		j.stored = max(j.stored, u.Change)
		if j.stored == j.changed {
			delete(c.dirty, j.ID)
		}
	}
	for _, w := range c.workers {
		c.noteEnds(w)
	}
}

// Forget drops a final job whose row was removed from the store.
func (c *Core) Forget(id string) {
	if j := c.jobs[id]; j != nil && j.record.Final != "" && j.runs == 0 {
		delete(c.jobs, id)
	}
}

// Began lists the jobs that have begun and are not final.
func (c *Core) Began() []string {
	var ids []string
	for _, j := range c.queue {
		if j.began && j.record.Final == "" {
			ids = append(ids, j.ID)
		}
	}
	return ids
}

// tick sets the time of the event that follows.
func (c *Core) tick(now time.Time, wallMS int64) {
	c.now, c.wallMS = now, wallMS
	c.sequence++
}

// Decide returns what to do now. Call it after events, and at least every
// tenth of a second.
func (c *Core) Decide(now time.Time, wallMS int64) []Action {
	c.tick(now, wallMS)
	c.expireLeases()
	c.settle()
	if c.config != nil {
		c.place()
	}
	c.resendStops()
	c.evacuate()
	c.looks()
	actions := c.actions
	c.actions = nil
	return actions
}

// settle drops final jobs without runs from the queue.
func (c *Core) settle() {
	kept := c.queue[:0]
	for _, j := range c.queue {
		if j.record.Final == "" || j.runs > 0 {
			kept = append(kept, j)
			continue
		}
		j.steps = nil
	}
	clear(c.queue[len(kept):])
	c.queue = kept
}

// start orders a run of a task.
func (c *Core) start(t *task, w *worker, attempt int64, g *gang, reason string) {
	r := &run{
		task: t, worker: w, attempt: attempt, gang: g, need: t.step.spec.Counted(), since: c.now, movedAt: c.now,
		checkpoint: t.step.job.record.Saved[t.name()],
	}
	c.attach(r)
	until := w.clock(c.now) + startWithin.Milliseconds()
	w.lease(until)
	c.actions = append(c.actions, Action{Kind: ActStart, Reason: reason, Order: workload.Order{
		Worker: w.ID, Addr: w.Addr, Task: t.id(), Attempt: attempt, Epoch: c.epoch, UntilMS: until,
		Spec: t.step.job.Spec, Checkpoint: r.checkpoint, Ticket: t.step.advice.tickets[w.ID].ticket,
	}})
}

// startWithin bounds, on the worker's clock, when a start may be carried out. A
// start without an answer is settled after it even where the worker stays out
// of reach; it is long enough for the first look to extend the lease.
const startWithin = 1500 * time.Millisecond

func (c *Core) nextAttempt() int64 {
	c.attempts++
	return c.epoch*attemptsPerEpoch + c.attempts
}

func (c *Core) attach(r *run) {
	t := r.task
	t.runs = append(t.runs, r)
	t.step.job.runs++
	t.step.began = true
	t.step.job.began = true
	if r.gang != nil {
		r.gang.runs++
	}
	r.worker.runs[runKey{t.id(), r.attempt}] = r
	r.worker.used = r.worker.used.Add(r.need)
}

// detach forgets a run that surely neither runs nor can start any more.
func (c *Core) detach(r *run) {
	key := runKey{r.task.id(), r.attempt}
	if r.worker.runs[key] != r {
		return
	}
	delete(r.worker.runs, key)
	r.worker.used = r.worker.used.Sub(r.need)
	t := r.task
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	t.step.job.runs--
	if g := r.gang; g != nil {
		g.runs--
		if g.runs == 0 && t.step.gang == g {
			t.step.gang = nil
		}
	}
}

// stop orders a run to stop; a second call changes nothing.
func (c *Core) stop(r *run, reason string) {
	if r.stopping {
		return
	}
	r.stopping, r.reason = true, reason
	if r.state != runUnclear {
		r.state = runStopping
	}
	c.sendStop(r)
}

func (c *Core) sendStop(r *run) {
	r.stopSent = c.now
	r.stopAcked = false
	c.actions = append(c.actions, Action{Kind: ActStop, Reason: r.reason, Order: workload.Order{
		Worker: r.worker.ID, Addr: r.worker.Addr, Task: r.task.id(), Attempt: r.attempt, Epoch: c.epoch,
	}})
}

// stopAgainAfter is when a stop without an answer is sent again. It is longer
// than the time-out of the call.
const stopAgainAfter = 700 * time.Millisecond

func (c *Core) resendStops() {
	for _, w := range c.workers {
		for _, r := range w.runs {
			if r.stopping && !r.stopAcked && c.now.Sub(r.stopSent) >= stopAgainAfter {
				c.sendStop(r)
			}
		}
	}
}

// StartAnswered takes the answer to a start.
func (c *Core) StartAnswered(order workload.Order, receipt workload.Receipt, now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	w := c.workers[order.Worker]
	if w == nil {
		return
	}
	w.sample(receipt.ClockMS, now)
	r := w.runs[runKey{order.Task, order.Attempt}]
	if r == nil {
		return
	}
	switch receipt.Verdict {
	case workload.VerdictDone:
		if r.state == runOrdered {
			r.state = runRunning
		}
		r.settledBy = c.sequence
	case workload.VerdictUnknown:
		w.missed(now)
		c.unclear(r, "start without an answer")
	case workload.VerdictFenced:
		c.fenced = true
	case workload.VerdictGone:
		c.lostWorker(w)
	case workload.VerdictNoTicket:
		delete(r.task.step.advice.tickets, w.ID)
		c.rejected(r, "start rejected: "+receipt.Verdict.String())
	case workload.VerdictUnsent, workload.VerdictClosed:
		w.missed(now)
		c.rejected(r, "start not sent: "+receipt.Verdict.String())
		c.closedWorker(w, receipt.Verdict)
	default:
		w.refused(now)
		c.rejected(r, "start rejected: "+receipt.Verdict.String())
	}
}

// unclear marks a run that may have started, or may yet. Its room stays taken
// until a stop has closed the attempt.
func (c *Core) unclear(r *run, reason string) {
	r.state = runUnclear
	c.breakGang(r, reason)
	c.stop(r, reason)
}

// rejected drops a run whose start was surely not carried out.
func (c *Core) rejected(r *run, reason string) {
	c.breakGang(r, reason)
	c.detach(r)
}

// StopAnswered takes the answer to a stop.
func (c *Core) StopAnswered(order workload.Order, receipt workload.Receipt, now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	w := c.workers[order.Worker]
	if w == nil {
		return
	}
	w.sample(receipt.ClockMS, now)
	r := w.runs[runKey{order.Task, order.Attempt}]
	switch receipt.Verdict {
	case workload.VerdictDone, workload.VerdictOld:
		if r != nil {
			r.stopAcked = true
			r.settledBy = c.sequence
			w.wantLook = true
		}
	case workload.VerdictFenced:
		c.fenced = true
	case workload.VerdictGone:
		c.lostWorker(w)
	default:
		w.missed(now)
		c.closedWorker(w, receipt.Verdict)
	}
}
