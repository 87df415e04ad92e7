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
	openTasks  int
	gang       *gang
	// readySince is the time from which the step could run, or zero while it cannot.
	readySince time.Time
	started    bool
	// failedAt is the time of the last failed attempt of one of the tasks.
	failedAt time.Time
	// stood is the time for which the step has waited beside free capacity, as of standSeenAt, and
	// stoodBesideSound that for which sound workers had it.
	stood, stoodBesideSound time.Duration
	standSeenAt             time.Time
	// consideredAt is the last time at which the step was looked at behind many blocked ones.
	consideredAt time.Time
	// loggedCause is the cause of the step's wait that was last logged, at loggedCauseAt.
	loggedCause   string
	loggedCauseAt time.Time
	// duration is the expected run time of a task, valid while estimates.observations equals
	// durationAsOf.
	duration     time.Duration
	durationAsOf uint64
	// rate is the rate of progress of the tasks, or nil before any is known.
	rate *stepRate
	// claim is where an urgent gang will start once the runs there have ended.
	claim *claim
	// spare is the number of tasks that may be made unavailable, as of the event spareAsOf.
	spare     int
	spareAsOf uint64
	// advice holds the advisor's answers, on queues that have an advisor.
	advice advice
}

type task struct {
	step  *step
	index int
	done  bool
	runs  []*run
	// survived is the longest time for which a run of the task has been observed.
	survived time.Duration
	// crashes is the task's crash history, or nil.
	crashes *crashHistory
}

// gang is one attempt at all tasks of a step.
type gang struct {
	attempt int64
	runs    int
	// interrupted is set once the gang's remaining members are being stopped, done once one of
	// its members has completed.
	interrupted bool
	done        bool
	// slowest is the speed of the slowest member's worker, as of the pass speedPass and with
	// speedRuns members. remaining is the longest remaining time of a member, as of the event
	// remainingAsOf.
	slowest              float64
	speedPass, speedRuns int
	remaining            time.Duration
	remainingAsOf        uint64
}

type job struct {
	*workload.Job
	record    Record
	steps     []*step
	cancelled bool
	// finalSince is the time from which this leader has had the job's final state.
	finalSince time.Time
	// fromEarlierEpoch is set if an earlier epoch may have started the job.
	fromEarlierEpoch bool
	// started is set once a start was sent: a task may have started.
	started bool
	// begun is set once a task is known to have started: its worker said so, or has listed it.
	begun bool
	// startIntentStored is set once the store has the start intent, which was requested at
	// startIntentRequestedAt.
	startIntentStored      bool
	startIntentRequestedAt time.Time
	// revision counts changes of the record, storedRevision those that the store has.
	revision, storedRevision uint64
	parts                    recordParts
	// refusal is set while the store refuses the record.
	refusal recordRefusal
	runs    int
	// interruptions counts the job's interrupted gangs and its preempted runs.
	interruptions int
	// queue is what queueOf returned last.
	queue *workload.Queue
	// hasEarlierAttempts is set if tasks have recorded attempts of earlier leaders.
	hasEarlierAttempts bool
	// guaranteed is set if the job lies within its account's guarantee.
	guaranteed bool
	// acceptedAt is the time of acceptance on this instance's clock, or the time at which this
	// epoch received the job if its acceptance time is not trusted.
	acceptedAt time.Time
}

// AddJob adds an accepted job with its record, and reports whether it is new to the core and an
// earlier epoch may have started it. Adding a known job again changes nothing.
func (c *Core) AddJob(accepted *workload.Job, record Record, cancelled bool, now time.Time, wallMS int64) (fromEarlierEpoch bool) {
	c.tick(now, wallMS)
	if c.jobs[accepted.ID] != nil {
		return false
	}
	j := &job{Job: accepted, record: record.clone(), startIntentStored: record.StartIntent && !c.jobsRead, acceptedAt: now}
	j.record.StartIntent = j.startIntentStored
	j.begun = len(record.Failed)+len(record.Checkpoints)+len(record.SurvivedMS) > 0
	j.parts = recordParts{count: record.Parts, headCount: record.Parts, stored: make([]uint64, record.Parts)}
	j.fromEarlierEpoch = !c.earlierJobsKnown && (record.StartIntent || !c.trustStartIntents)
	if age := wallMS - accepted.AcceptedMS; age > 0 && age < maxJobAge.Milliseconds() {
		j.acceptedAt = now.Add(-time.Duration(age) * time.Millisecond)
	}
	c.jobs[accepted.ID] = j
	if record.Final != "" {
		j.finalSince = now
		c.receiveDeferred(j)
		return false
	}
	for k := range accepted.Occurrences() {
		for s := range accepted.Steps {
			j.steps = append(j.steps, newStep(j, k, s))
		}
	}
	c.queue = append(c.queue, j)
	if cancelled {
		c.cancel(j)
		c.receiveDeferred(j)
		return j.fromEarlierEpoch
	}
	c.finishIfDone(j)
	c.failExhausted(j)
	c.receiveDeferred(j)
	if j.fromEarlierEpoch && j.record.Final == "" {
		c.awaitsStartIntent(j) // the promise of start intents must not wait until the job starts
	}
	return j.fromEarlierEpoch
}

// Knows reports whether a job was added.
func (c *Core) Knows(id string) bool { return c.jobs[id] != nil }

// maxJobAge limits how far back an acceptance time is trusted: the wall clock of another
// instance may be off.
const maxJobAge = time.Hour

func newStep(j *job, occurrence, number int) *step {
	spec := &j.Steps[number]
	s := &step{job: j, occurrence: occurrence, number: number, spec: spec, tasks: make([]task, spec.Count)}
	for i, done := range j.record.doneBits(stepKey(occurrence, number), spec.Count) {
		s.tasks[i] = task{step: s, index: i, done: done}
		if !done {
			s.openTasks++
		}
		s.started = s.started || done
		j.begun = j.begun || done
		s.tasks[i].loadCrashes()
	}
	j.started = j.started || s.started
	return s
}

func (t *task) id() workload.TaskID {
	return workload.TaskID{Job: t.step.job.ID, Occurrence: t.step.occurrence, Step: t.step.number, Index: t.index}
}

// recordKey returns the key of the task's failures and checkpoints in the record; all members of
// a gang share one.
func (t *task) recordKey() string {
	if t.step.spec.Gang {
		return stepKey(t.step.occurrence, t.step.number)
	}
	return taskKey(t.step.occurrence, t.step.number, t.index)
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

// Cancel cancels a job.
func (c *Core) Cancel(id string, now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	if j := c.jobs[id]; j != nil && j.record.Final == "" {
		c.cancel(j)
	}
}

func (c *Core) cancel(j *job) {
	j.cancelled = true
	c.finish(j, FinalCancelled)
}

// finish sets a job's final state and stops its runs.
func (c *Core) finish(j *job, state Final) {
	j.record.Final = state
	j.record.EndedMS, j.finalSince = c.wallMS, c.now
	c.markChanged(j)
	for _, s := range j.steps {
		for i := range s.tasks {
			for _, r := range s.tasks[i].runs {
				if state != FinalCompleted || !r.task.done {
					c.stop(r, "job "+string(state))
				}
			}
		}
	}
}

// markChanged marks a job's record for writing.
func (c *Core) markChanged(j *job) {
	j.revision++
	c.dirty[j.ID] = j
}

// UnstoredRecord is a job record that is not stored yet.
type UnstoredRecord struct {
	Job string
	// Revision is the revision of the record.
	Revision uint64
	Record   []byte
	// PartCount is the number of parts of the record, zero if Record is all of it.
	PartCount int
	// Parts are the parts of the record that the store may not have.
	Parts []RecordPart
	// Obsolete are parts that no reader needs once Record is stored, and
	// ObsoleteRows how many of them are to be removed with it.
	Obsolete     ObsoleteParts
	ObsoleteRows int
	// Incomplete is set if further parts follow in later writes, and Record is not to be written yet.
	Incomplete bool
	Final      Final
	// StartIntent reports whether the record contains the job's start intent.
	StartIntent bool
}

// UnstoredRecords returns up to limit records that are not stored yet, except those that the store
// refuses: each of these is returned alone once it has changed and its pause is over. It starts with those that a
// start waits for.
func (c *Core) UnstoredRecords(limit int) []UnstoredRecord {
	var list []UnstoredRecord
	room := writeRoom{limits: c.writeLimits}
	changed := slices.SortedFunc(maps.Values(c.dirty), func(a, b *job) int {
		switch {
		case a.refusal.isDue(a.revision, c.now) != b.refusal.isDue(b.revision, c.now):
			if a.refusal.isDue(a.revision, c.now) {
				return -1
			}
			return 1
		case a.owesStartIntent() && !b.owesStartIntent():
			return -1
		case b.owesStartIntent() && !a.owesStartIntent():
			return 1
		}
		return cmp.Compare(a.ID, b.ID)
	})
	for _, j := range changed {
		if len(list) == limit {
			break
		}
		if j.refusal.holds(j.revision, c.now) {
			continue
		}
		u := c.unstored(j)
		if !room.take(&u, len(list) == 0) {
			break
		}
		j.parts.sent(u.Parts)
		list = append(list, u)
		if j.refusal.pause > 0 {
			break // it is sent alone: with others, it would keep them from being stored
		}
	}
	return list
}

// UnstoredRecordCount returns the number of records that are not stored yet, except those that the
// store refuses.
func (c *Core) UnstoredRecordCount() int {
	count := 0
	for _, j := range c.dirty {
		if !j.refusal.holds(j.revision, c.now) {
			count++
		}
	}
	return count
}

func (c *Core) unstored(j *job) UnstoredRecord {
	head, parts := c.encode(j)
	obsolete := j.parts.obsoleteWithHead()
	return UnstoredRecord{
		Job: j.ID, Revision: j.revision, Record: head, PartCount: j.parts.count, Parts: parts, Obsolete: obsolete, ObsoleteRows: obsolete.left(),
		Final: j.record.Final, StartIntent: j.record.StartIntent,
	}
}

// writeRoom is what is left of the bounds of a write.
type writeRoom struct {
	limits         workload.WriteLimits
	bytes, entries int
}

const (
	// entriesPerRow are the entries of a row whose version is expected.
	entriesPerRow = 2
	// reservedEntries are left for the epoch and for rows of workers.
	reservedEntries = 1
)

// take takes the room for a record; it reports false if there is too little. The first record of a
// write is shortened to the parts that fit.
func (w *writeRoom) take(u *UnstoredRecord, first bool) bool {
	if w.limits.Entries == 0 {
		return true
	}
	if first {
		w.shorten(u)
	}
	bytes, entries := len(u.Record), entriesPerRow+entriesPerRow*len(u.Parts)+u.ObsoleteRows
	for _, p := range u.Parts {
		bytes += len(p.Data)
	}
	if !first && (w.bytes+bytes > w.limits.Bytes || w.entries+entries > w.limits.Entries-reservedEntries) {
		return false
	}
	w.bytes += bytes
	w.entries += entries
	return true
}

// shorten drops the parts that do not fit into one write, and the rows to remove if there is no room
// for them.
func (w *writeRoom) shorten(u *UnstoredRecord) {
	bytes, entries := len(u.Record), entriesPerRow+reservedEntries
	for n, p := range u.Parts {
		bytes += len(p.Data)
		entries += entriesPerRow
		if n > 0 && (bytes > w.limits.Bytes || entries > w.limits.Entries) {
			u.Parts, u.Incomplete, u.ObsoleteRows = u.Parts[:n], true, 0
			return
		}
	}
	u.ObsoleteRows = min(u.ObsoleteRows, w.limits.Entries-entries)
}

// UnstoredFinalRecords returns the records, not stored yet, of jobs that have been final for at
// least minAge.
func (c *Core) UnstoredFinalRecords(minAge time.Duration) []UnstoredRecord {
	var list []UnstoredRecord
	for _, j := range c.dirty {
		if j.record.Final != "" && c.now.Sub(j.finalSince) >= minAge {
			record := j.record
			if j.parts.count > 0 {
				record = j.record.head(j.parts.count) // nobody needs the rest of an ended job
			}
			list = append(list, UnstoredRecord{Job: j.ID, Revision: j.revision, Record: record.Encode(), Final: j.record.Final, StartIntent: j.record.StartIntent})
		}
	}
	slices.SortFunc(list, func(a, b UnstoredRecord) int { return cmp.Compare(a.Job, b.Job) })
	return list
}

// MarkDirty schedules a job's record for writing because the store may not have its current
// state.
func (c *Core) MarkDirty(id string) {
	if j := c.jobs[id]; j != nil {
		c.markChanged(j)
	}
}

// MarkRecordsStored marks the given records as stored.
func (c *Core) MarkRecordsStored(list []UnstoredRecord, now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	for _, u := range list {
		j := c.jobs[u.Job]
		if j == nil {
			continue
		}
		j.parts.storedIn(u.Parts)
		j.refusal = recordRefusal{}
		if u.Incomplete {
			continue
		}
		j.parts.headStored(u.PartCount, u.Obsolete, u.ObsoleteRows)
		j.storedRevision = max(j.storedRevision, u.Revision)
		j.startIntentStored = j.startIntentStored || u.StartIntent
		if j.storedRevision == j.revision {
			delete(c.dirty, j.ID)
		}
	}
	for _, w := range c.fleet {
		c.advanceAcknowledgeable(w)
	}
}

// RemoveJob drops a final job whose row was removed from the store. A job with a record to be written
// stays: the write would bring the record back, which is then removed with the job later.
func (c *Core) RemoveJob(id string) {
	if j := c.jobs[id]; j != nil && j.record.Final != "" && j.runs == 0 && c.dirty[id] == nil {
		delete(c.jobs, id)
	}
}

// StartedJobs returns the ids of the jobs of which a task has started and that are not final. A start
// that was refused, or may yet be, does not count: callers are told that the job waits.
func (c *Core) StartedJobs() []string {
	var ids []string
	for _, j := range c.queue {
		if j.begun && j.record.Final == "" {
			ids = append(ids, j.ID)
		}
	}
	return ids
}
