package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

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
	// waitReason is why it waits, as of waitReasonAt.
	waitReason   string
	waitReasonAt time.Time
	// length is how long a task is expected to take, as of the observations that had
	// been made then.
	length   time.Duration
	lengthAt uint64
	// claim is where an urgent gang will start, once others have ended there.
	claim *claim
	// advice is what the advisor said of workers, on queues that have one.
	advice advice
}

type task struct {
	step  *step
	index int
	done  bool
	runs  []*run
	// crashes is its crash history, nil if it has none.
	crashes *crashHistory
}

// gang is one attempt at all tasks of a step.
type gang struct {
	attempt int64
	runs    int
	// broken gangs are being stopped.
	broken bool
	done   bool
}

type job struct {
	*workload.Job
	record    Record
	steps     []*step
	cancelled bool
	// old jobs may have been started by an earlier epoch.
	old   bool
	began bool
	// beginStored says that the store has the begin, beginAsked since when it is owed.
	beginStored bool
	beginAsked  time.Time
	// changed and stored count changes of the record, and those in the store.
	changed, stored uint64
	runs            int
	// broken counts the gangs of the job that were broken, and the runs stopped for others.
	broken int
	// hasEarlier says that tasks have recorded attempts of earlier leaders.
	hasEarlier bool
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
	j := &job{Job: accepted, record: record.clone(), beginStored: record.Began, received: now}
	j.old = !c.earlier.IsZero() && !now.After(c.earlier) && (record.Began || !c.trustBegins)
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
		s.tasks[i].loadCrashes()
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

// Unpersisted is a record to be written.
type Unpersisted struct {
	Job    string
	Change uint64
	Record []byte
	Final  Final
	// Began says that the record tells of the job's begin.
	Began bool
}

// Unpersisted returns up to limit records that the store does not have yet, those that
// a start waits for first.
func (c *Core) Unpersisted(limit int) []Unpersisted {
	var list []Unpersisted
	owed := slices.SortedFunc(maps.Values(c.dirty), func(a, b *job) int {
		switch {
		case a.owesBegin() && !b.owesBegin():
			return -1
		case b.owesBegin() && !a.owesBegin():
			return 1
		}
		return cmp.Compare(a.ID, b.ID)
	})
	for _, j := range owed {
		if len(list) == limit {
			break
		}
		list = append(list, Unpersisted{Job: j.ID, Change: j.changed, Record: j.record.Encode(), Final: j.record.Final, Began: j.record.Began})
	}
	return list
}

// EndedUnpersisted returns the jobs that are final, for some time already, and whose
// record the store does not have.
func (c *Core) EndedUnpersisted(since time.Duration) []Unpersisted {
	var list []Unpersisted
	for _, j := range c.dirty {
		if j.record.Final != "" && c.wallMS-j.record.EndedMS >= since.Milliseconds() {
			list = append(list, Unpersisted{Job: j.ID, Change: j.changed, Record: j.record.Encode(), Final: j.record.Final, Began: j.record.Began})
		}
	}
	slices.SortFunc(list, func(a, b Unpersisted) int { return cmp.Compare(a.Job, b.Job) })
	return list
}

// MarkDirty has a job's record written: the store may not have it as it is.
func (c *Core) MarkDirty(id string) {
	if j := c.jobs[id]; j != nil {
		c.change(j)
	}
}

// Recorded notes that the store has the records of a list.
func (c *Core) Recorded(list []Unpersisted, now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	for _, u := range list {
		j := c.jobs[u.Job]
		if j == nil {
			continue
		}
		j.stored = max(j.stored, u.Change)
		j.beginStored = j.beginStored || u.Began
		if j.stored == j.changed {
			delete(c.dirty, j.ID)
		}
	}
	for _, w := range c.fleet {
		c.advanceAcknowledgeable(w)
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
