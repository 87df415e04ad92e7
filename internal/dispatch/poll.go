package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

type runKey struct {
	task    workload.TaskID
	attempt int64
}

// worker is one incarnation of a worker, as seen by this epoch.
type worker struct {
	workload.Worker
	// synced is set once the worker has answered in this epoch and has listed everything: it then
	// rejects older epochs, and runs holds everything that runs on it.
	synced bool
	// replaced is set once another incarnation has answered.
	replaced bool
	// incarnation is the incarnation that answers, or 0 if it is unknown. The embedded Worker has
	// the one that the platform lists.
	incarnation int64
	// firstIncarnation is the first one that this epoch knew, from the stored table if the worker
	// was in it.
	firstIncarnation int64
	// stored is set if the worker is in the stored table, so that a leader that never saw it in
	// the platform's list still polls it; storedLeaving and storedIncarnation are those of that
	// row.
	stored, storedLeaving bool
	storedIncarnation     int64
	used                  workload.Resources
	runs                  map[runKey]*run
	// unknownRuns holds runs of finished or unknown jobs: they were ordered to stop, and
	// use capacity until the worker no longer lists them.
	unknownRuns map[runKey]workload.Resources
	// clockMS is the last sample of the worker's clock, taken no later than clockAt on this
	// instance's clock.
	clockMS int64
	clockAt time.Time
	// leaseUntilMS is the latest time, on the worker's clock, until which anything may run on
	// it.
	leaseUntilMS int64
	// lastCompletion is the number of the last completion received, acknowledgeable that of the
	// last one that may be acknowledged, and acknowledged that of the last one that was.
	lastCompletion, acknowledgeable, acknowledged int64
	unstored                                      []unstoredCompletion
	// deferred are the completions of jobs that are not known. The worker would forget one that was
	// acknowledged, and the task would run again once its job is known.
	deferred []workload.Completion
	// unstoredPollAt is the time from which the worker is polled although unstored or deferred is not
	// empty.
	unstoredPollAt time.Time
	// lostAttempts are runs that were lost with the worker and whose outcome is not known yet.
	lostAttempts []lostAttempt
	// lateStarts are attempts ordered from an earlier incarnation that this one may still start.
	lateStarts []lateStart
	// closedStarts are attempts that are closed on this incarnation, for those that follow.
	closedStarts []closedStart
	// lastContact is the time of the last answer.
	lastContact time.Time
	// polling is set while a poll is in flight, quickPolling while an additional quick poll is.
	polling          bool
	quickPolling     bool
	wantPoll         bool
	nextPollAt       time.Time
	lastPollSequence uint64
	// unlistedSince is the time at which the platform stopped listing the worker.
	unlistedSince time.Time
	// leavesAt is the earliest time at which a leaving worker terminates.
	leavesAt time.Time
	// holdOffUntil is the time until which the worker gets no new work.
	holdOffUntil time.Time
	// misses is the number of calls that failed since the last answered poll.
	misses    int
	health    health
	soundness workerSoundness
	speed     workerSpeed
}

// unstoredCompletion is a completion that must not be acknowledged before its job's record
// is stored at the given revision.
type unstoredCompletion struct {
	number   int64
	job      *job
	revision uint64
}

const (
	// longPollWait is how long a worker may wait for a completion before it answers. It leaves
	// most of a lease if one poll is lost.
	longPollWait = 1000 * time.Millisecond
	// leavingWorkerLease is the lease on a leaving worker. When the worker is gone it may
	// equally be running behind a network partition, so its work waits for the end of the
	// lease. With a shorter lease one lost or late poll would end its runs.
	leavingWorkerLease = 4 * time.Second
	// pollRetryPause is the pause after an unanswered poll.
	pollRetryPause = 300 * time.Millisecond
	// unstoredPollInterval is the interval of the polls of a worker with completions that wait for
	// the store. They extend its lease, and bring its further completions, so that one write
	// stores them all when the store answers.
	unstoredPollInterval = 500 * time.Millisecond
	// refusalHoldOff is how long a worker that refused a start gets no further starts.
	refusalHoldOff = 300 * time.Millisecond
)

// WorkersListed processes the platform's complete list of workers.
func (c *Core) WorkersListed(list []workload.Worker, now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	seen := make(map[string]bool, len(list))
	inherited := false
	for _, listed := range list {
		seen[listed.ID] = true
		w := c.workers[listed.ID]
		if w == nil {
			w = &worker{Worker: listed, runs: make(map[runKey]*run), firstIncarnation: listed.Incarnation}
			c.workers[listed.ID] = w
			c.fleet = append(c.fleet, w)
			inherited = c.inheritSpeed(w) || inherited
		}
		if w.isOutdated(listed) {
			w.unlistedSince = time.Time{}
			continue
		}
		if listed.Leaving && listed.LeavesInMS > 0 && (!w.Leaving || w.leavesAt.IsZero() || listed.LeavesInMS != w.LeavesInMS) {
			w.leavesAt = now.Add(time.Duration(listed.LeavesInMS) * time.Millisecond)
		}
		w.Worker = listed
		w.unlistedSince = time.Time{}
		if w.restartUnconfirmed() {
			w.wantPoll, w.nextPollAt = true, time.Time{}
		}
	}
	slices.SortFunc(c.fleet, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	if inherited {
		c.useInheritedSpeeds()
	}
	for _, w := range c.fleet {
		if !seen[w.ID] && w.unlistedSince.IsZero() {
			w.unlistedSince = now
		}
	}
}

// usable reports whether a worker may get new work.
func (w *worker) usable(now time.Time) bool {
	return w.synced && w.stored && w.incarnationSettled() && !w.Leaving && w.unlistedSince.IsZero() && !now.Before(w.holdOffUntil) && w.misses == 0
}

func (w *worker) recordRefusal(now time.Time) { w.holdOffUntil = now.Add(refusalHoldOff) }

func (w *worker) recordMiss(now time.Time) {
	w.misses++
	w.nextPollAt = now.Add(pollRetryPause)
	w.wantPoll = true
}

// sendPolls emits the polls that are due: a long poll to each worker that runs something, and a
// quick one concurrently if an answer is needed sooner, to settle a stop or because the worker is
// suspect. Workers that run nothing get only polls that they answer immediately.
func (c *Core) sendPolls() {
	var due []duePoll
	for _, w := range c.fleet {
		switch {
		case w.polling:
			if (w.wantPoll || c.isSuspect(w)) && !w.quickPolling && !c.now.Before(w.nextPollAt) {
				due = append(due, duePoll{w, true})
			}
		case c.now.Before(w.nextPollAt):
		case w.wantPoll || !w.synced || c.isSuspect(w):
			due = append(due, duePoll{w, false})
		case len(w.unstored)+len(w.deferred) > 0:
			// Completions are listed again until they are acknowledged, which requires the
			// store's answer first: a long poll would return immediately.
			if !c.now.Before(w.unstoredPollAt) {
				c.sendPoll(w, 0, false)
			}
		case len(w.runs) > 0 && !c.awaitsFirstStart(w):
			c.sendPoll(w, longPollWait, false)
		case w.acknowledgeable > w.acknowledged:
			c.sendPoll(w, 0, false)
		}
	}
	c.sendDuePolls(due)
}

func (c *Core) sendPoll(w *worker, wait time.Duration, quick bool) {
	poll := workload.Poll{Worker: w.ID, Addr: w.Addr, Zone: w.Zone, Incarnation: w.incarnation, Epoch: c.epoch, Acknowledged: w.acknowledgeable, Received: w.lastCompletion, Wait: wait}
	// A worker that does not answer gets no longer lease: a poll that it never received would
	// count as an extension, and its runs would never expire.
	if w.clockMS > 0 && len(w.runs) > 0 && w.misses == 0 && !c.watching {
		poll.UntilMS = w.estimatedClock(c.now) + c.leaseFor(w).Milliseconds()
		w.extendLease(poll.UntilMS)
	}
	if !quick {
		w.polling = true
	}
	c.actions = append(c.actions, Action{Kind: ActPoll, Poll: poll, Sequence: c.sequence, Quick: quick})
}

// leaseFor returns by how much a poll extends the lease of the runs on a worker.
func (c *Core) leaseFor(w *worker) time.Duration {
	if w.Leaving {
		return min(leavingWorkerLease, c.bounds.MaxLease)
	}
	return c.bounds.MaxLease
}

// PollAnswered processes a worker's answer to a poll that was sent as the given action.
func (c *Core) PollAnswered(sent Action, report workload.Report, now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	c.pollWindow.callEnded(sent.class, now.Sub(sent.sentAt), now)
	w := c.workers[sent.Poll.Worker]
	if w == nil || !c.admitReport(w, sent.Poll, report) {
		return
	}
	if sent.Quick {
		w.quickPolling = false
	} else {
		w.polling = false
	}
	switch report.Verdict {
	case workload.VerdictDone:
	case workload.VerdictFenced:
		c.fenced = true
		return
	case workload.VerdictOtherIncarnation:
		c.otherIncarnationAnswered(w, sent.Poll.Addr)
		return
	default:
		c.recordMiss(w)
		return
	}
	w.sampleClock(report.ClockMS, now)
	if !w.synced {
		// Earlier epochs may have granted the longest lease until this moment; from now on the
		// worker rejects them.
		w.extendLease(w.clockMS + c.bounds.MaxLease.Milliseconds())
	}
	c.settleSurvived(w)
	w.misses, w.nextPollAt = 0, time.Time{}
	if !w.synced && (report.EndsIncomplete() || report.Unparsed > 0) {
		w.nextPollAt = now.Add(unstoredPollInterval) // or as soon as more ends may be acknowledged
	} else {
		w.synced = true
	}
	if sent.Poll.Incarnation == w.incarnation {
		w.acknowledged = max(w.acknowledged, sent.Poll.Acknowledged)
	}
	if report.Unparsed > 0 {
		c.pollBeforeWork(w) // its free capacity is unknown
	}
	c.receiveCompletions(w, report.Ended)
	w.unstoredPollAt = now.Add(unstoredPollInterval)
	if sent.Sequence < w.lastPollSequence {
		return // a later poll was answered first
	}
	w.lastPollSequence = sent.Sequence
	c.reconcileRuns(w, report, sent.Sequence)
	c.closeLateStarts(w, sent.Sequence)
}

// reconcileRuns updates the runs of a worker to match the runs that it lists.
func (c *Core) reconcileRuns(w *worker, report workload.Report, sent uint64) {
	listed := make(map[runKey]bool, len(report.Running))
	previouslyUnknown := w.unknownRuns
	w.unknownRuns = nil
	for _, running := range report.Running {
		key := runKey{running.Task, running.Attempt}
		listed[key] = true
		r := w.runs[key]
		if r == nil {
			r = c.adopt(w, running)
			if _, stopped := previouslyUnknown[key]; r != nil && stopped {
				c.stop(r, "stopped before its job was known")
			}
		}
		if r != nil {
			c.applyProgress(r, running)
			r.observeAlive(report.ClockMS)
			c.observeSurvival(r)
		}
	}
	if report.EndsIncomplete() {
		w.keepUnknownRuns(previouslyUnknown)
		return // a run that is not listed may have an end that is not listed either
	}
	missing := w.sortedRuns(func(r *run) bool {
		return !listed[runKey{r.task.id(), r.attempt}] && r.settledAfter != 0 && sent >= r.settledAfter
	})
	for _, r := range missing {
		switch {
		case !r.stopping():
			c.markUnclear(r, "the worker no longer lists it")
		case r.state == stRunStopped && (report.Unparsed == 0 || c.stopTimeOver(r)):
			c.runEnded(r, workload.CompletionStopped)
		}
	}
}

// keepUnknownRuns adds runs to the unknown ones that the worker lists.
func (w *worker) keepUnknownRuns(runs map[runKey]workload.Resources) {
	for key, need := range runs {
		if _, listed := w.unknownRuns[key]; listed || w.runs[key] != nil {
			continue
		}
		if w.unknownRuns == nil {
			w.unknownRuns = make(map[runKey]workload.Resources)
		}
		w.unknownRuns[key] = need
	}
}

// stopTimeOver reports whether a run whose stop was answered is over, whatever its worker lists: one
// of the rows that cannot be read may be its own.
func (c *Core) stopTimeOver(r *run) bool {
	return c.now.Sub(r.stopSentAt) > orderAnswerTimeout+maxElapsed(c.bounds.MaxStopTime)
}

// stopUnknownRun stops a run of a finished or unknown job. Its capacity stays in use until the
// worker no longer lists it; if the job's row is gone, the capacity is unknown and the worker
// gets no new work meanwhile.
func (c *Core) stopUnknownRun(w *worker, running workload.Running) {
	c.pollSoon(w)
	c.actions = append(c.actions, Action{Kind: ActStop, Reason: "its job is finished or unknown", Order: workload.Order{
		Worker: w.ID, Addr: w.Addr, Zone: w.Zone, Incarnation: w.incarnation, Task: running.Task, Attempt: running.Attempt, Epoch: c.epoch,
	}})
	var need workload.Resources
	j := c.jobs[running.Task.Job]
	if j == nil || running.Task.Step < 0 || running.Task.Step >= len(j.Steps) {
		c.pollBeforeWork(w)
	} else {
		need = j.Steps[running.Task.Step].CountedResources()
	}
	if w.unknownRuns == nil {
		w.unknownRuns = make(map[runKey]workload.Resources)
	}
	w.unknownRuns[runKey{running.Task, running.Attempt}] = need
}

// pollSoon schedules a poll of a worker that runs something it should not.
func (c *Core) pollSoon(w *worker) {
	w.wantPoll = true
	w.nextPollAt = c.now.Add(unknownRunPollDelay)
}

// pollBeforeWork schedules a poll of a worker whose free capacity is unknown, and withholds new
// work until shortly after it.
func (c *Core) pollBeforeWork(w *worker) {
	c.pollSoon(w)
	w.holdOffUntil = c.now.Add(unknownRunPollDelay + refusalHoldOff)
}

// unknownRunsUse returns the capacity used by unknown runs.
func (w *worker) unknownRunsUse() workload.Resources {
	var sum workload.Resources
	for _, need := range w.unknownRuns {
		sum = sum.Add(need)
	}
	return sum
}

// jobsWithUnknownRuns returns the jobs with an unknown run that may not have ended or begun. A job can
// become known after one of its runs was seen, if another epoch started it at the moment of its
// acceptance: none of its tasks start until that run is gone.
func (c *Core) jobsWithUnknownRuns() map[string]bool {
	jobs := make(map[string]bool)
	for _, w := range c.fleet {
		for key := range w.unknownRuns {
			jobs[key.task.Job] = true
		}
		for _, late := range w.lateStarts {
			jobs[late.key.task.Job] = true
		}
	}
	return jobs
}

// unknownRunPollDelay is the time after which a worker with unknown runs is polled again.
const unknownRunPollDelay = 250 * time.Millisecond

// adopt takes over a run that an earlier epoch started. A run that must not continue or whose
// job is unknown is stopped.
func (c *Core) adopt(w *worker, running workload.Running) *run {
	t := c.task(running.Task)
	if t == nil {
		c.stopUnknownRun(w, running)
		return nil
	}
	r := &run{
		task: t, worker: w, attempt: running.Attempt, state: stRunRunning, need: t.step.spec.CountedResources(),
		since: c.now, settledAfter: c.sequence, percent: running.Percent, initialPercent: running.Percent, adopted: true,
	}
	if t.step.spec.Gang {
		r.gang = c.adoptedGang(t.step, running.Attempt)
	}
	surplus := t.done || len(t.runs) > 0 || t.step.job.record.Final != "" || running.Attempt > c.epoch*attemptsPerEpoch
	r.attemptRecorded = t.removeEarlierAttempt(running.Attempt)
	c.attach(r)
	if surplus {
		c.stop(r, "surplus run")
	}
	return r
}

// adoptedGang returns the gang of an attempt that is being adopted.
func (c *Core) adoptedGang(s *step, attempt int64) *gang {
	if s.gang == nil || s.gang.attempt != attempt {
		g := &gang{attempt: attempt}
		if s.gang == nil {
			s.gang = g
		}
		return g
	}
	return s.gang
}

func (c *Core) applyProgress(r *run, running workload.Running) {
	r.confirmed = true
	r.task.step.job.begun = true
	if r.state == stRunOrdered {
		r.transition(runStarted)
		r.settledAfter = c.sequence
	}
	c.observeProgress(r, running.Percent)
	r.percent = max(r.percent, running.Percent)
	if running.Checkpoint != "" {
		r.checkpoint = running.Checkpoint
	}
}
