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

// worker is one life of a worker, as this epoch knows it.
type worker struct {
	workload.Worker
	// known workers have answered in this epoch: they refuse older epochs, and
	// all that runs there is in runs.
	known bool
	// over says that another life has answered.
	over bool
	// stored workers are in the product's table, so that a leader which never saw the
	// platform list them asks them all the same; storedLeaving is what it says there.
	stored, storedLeaving bool
	used                  workload.Resources
	runs                  map[runKey]*run
	// unknownRuns is what runs there of jobs that are over or not known: it was told
	// to stop, and takes room until the worker no longer lists it.
	unknownRuns map[runKey]workload.Resources
	// clockMS was read off the worker no later than clockAt.
	clockMS int64
	clockAt time.Time
	// leaseMS is the latest time, on the worker's clock, until which anything
	// was told to run there.
	leaseMS int64
	// heard is the last end that was taken in, noted the last one that may be
	// acknowledged, told the last one that was.
	heard, persisted, acknowledged int64
	unpersisted                    []unpersistedEnd
	// lapsed are runs that were lost with it before it was known what became of it.
	lapsed []lapsedRun
	// heardAt is when it answered last.
	heardAt  time.Time
	polling  bool
	quick    bool
	wantPoll bool
	nextPoll time.Time
	lastPoll uint64
	// unlistedSince is when the platform ceased to list the worker.
	unlistedSince time.Time
	// leavesAt is the earliest time at which a leaving worker goes.
	leavesAt time.Time
	holdOff  time.Time
	misses   int
	health   health
}

// unpersistedEnd is an end that must not be acknowledged before its job's
// record has reached a change.
type unpersistedEnd struct {
	number int64
	job    *job
	change uint64
}

const (
	// pollWait is how long a worker may wait for an end before it answers. It
	// leaves a lease most of its length when one poll is lost.
	pollWait = 1000 * time.Millisecond
	// leavingLease is the lease of a worker that leaves. Once it is gone it may as well
	// run on behind a cut, and its work waits for the end of its lease. Shorter, one poll
	// that is lost or late would end what runs there.
	leavingLease = 4 * time.Second
	// pollAgain is the pause after a poll without an answer.
	pollAgain = 300 * time.Millisecond
	// holdOffAfter is how long a worker that refused a start gets no other.
	holdOffAfter = 300 * time.Millisecond
)

// Listed takes the platform's list of workers: all of them.
func (c *Core) Listed(list []workload.Worker, now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	seen := make(map[string]bool, len(list))
	for _, listed := range list {
		seen[listed.ID] = true
		w := c.workers[listed.ID]
		if w == nil {
			w = &worker{Worker: listed, runs: make(map[runKey]*run)}
			c.workers[listed.ID] = w
			c.fleet = append(c.fleet, w)
		}
		if listed.Leaving && listed.LeavesInMS > 0 && (!w.Leaving || w.leavesAt.IsZero() || listed.LeavesInMS != w.LeavesInMS) {
			w.leavesAt = now.Add(time.Duration(listed.LeavesInMS) * time.Millisecond)
		}
		w.Worker = listed
		w.unlistedSince = time.Time{}
	}
	slices.SortFunc(c.fleet, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	for _, w := range c.fleet {
		if !seen[w.ID] && w.unlistedSince.IsZero() {
			w.unlistedSince = now
		}
	}
}

// usable reports whether a worker may get new work.
func (w *worker) usable(now time.Time) bool {
	return w.known && w.stored && !w.Leaving && w.unlistedSince.IsZero() && !now.Before(w.holdOff) && w.misses == 0
}

func (w *worker) refused(now time.Time) { w.holdOff = now.Add(holdOffAfter) }

func (w *worker) missed(now time.Time) {
	w.misses++
	w.nextPoll = now.Add(pollAgain)
	w.wantPoll = true
}

// polls emits the polls that are due: one waits at each worker that runs
// something, and a quick one beside it settles stops.
func (c *Core) polls() {
	var due []duePoll
	for _, w := range c.fleet {
		switch {
		case w.polling:
			if (w.wantPoll || c.isSuspect(w)) && !w.quick && !c.now.Before(w.nextPoll) {
				due = append(due, duePoll{w, true})
			}
		case c.now.Before(w.nextPoll):
		case w.wantPoll || !w.known || c.isSuspect(w):
			due = append(due, duePoll{w, false})
		case len(w.unpersisted) > 0:
			// Ends are listed again until they are acknowledged, which the
			// store's answer comes before: waiting would not wait.
			w.nextPoll = c.now.Add(pollAgain)
		case len(w.runs) > 0 && !c.awaitsFirstStart(w):
			c.poll(w, pollWait, false)
		case w.persisted > w.acknowledged:
			c.poll(w, 0, false)
		}
	}
	c.sendDue(due)
}

func (c *Core) poll(w *worker, wait time.Duration, quick bool) {
	poll := workload.Poll{Worker: w.ID, Addr: w.Addr, Zone: w.Zone, Epoch: c.epoch, Acknowledged: w.persisted, Wait: wait}
	// A worker that does not answer gets no longer lease: a poll that it never
	// received would count as an extension, and its runs would never be taken for
	// lapsed.
	if w.clockMS > 0 && len(w.runs) > 0 && w.misses == 0 && !c.watching {
		poll.UntilMS = w.clock(c.now) + c.leaseOf(w).Milliseconds()
		w.lease(poll.UntilMS)
	}
	if !quick {
		w.polling = true
	}
	c.actions = append(c.actions, Action{Kind: ActPoll, Poll: poll, Sequence: c.sequence, Quick: quick})
}

// leaseOf is how long a poll extends the lease of what runs on a worker.
func (c *Core) leaseOf(w *worker) time.Duration {
	if w.Leaving {
		return min(leavingLease, c.bounds.LongestLease)
	}
	return c.bounds.LongestLease
}

// PollAnswered takes a worker's answer to a poll, sent as the action says.
func (c *Core) PollAnswered(sent Action, report workload.Report, now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	c.pollWindow.ended(sent.lane, now.Sub(sent.sent), now)
	w := c.workers[sent.Poll.Worker]
	if w == nil {
		return
	}
	if sent.Quick {
		w.quick = false
	} else {
		w.polling = false
	}
	switch report.Verdict {
	case workload.VerdictDone:
	case workload.VerdictFenced:
		c.fenced = true
		return
	case workload.VerdictGone:
		c.lostWorker(w)
		return
	default:
		c.missed(w)
		return
	}
	w.sample(report.ClockMS, now)
	if !w.known {
		// Earlier epochs may have granted the longest lease until this moment;
		// from now on the worker refuses them.
		w.lease(w.clockMS + c.bounds.LongestLease.Milliseconds())
	}
	c.settleLapsed(w, false)
	w.misses, w.nextPoll, w.known = 0, time.Time{}, true
	w.acknowledged = max(w.acknowledged, sent.Poll.Acknowledged)
	if report.Unread > 0 {
		c.pollBeforeWork(w) // its room is not known
	}
	c.takeCompletions(w, report.Ended)
	if sent.Sequence < w.lastPoll {
		return // a later poll was answered first
	}
	w.lastPoll = sent.Sequence
	c.takeRunning(w, report.Running, sent.Sequence)
}

// takeRunning brings the runs of a worker in line with what it lists.
func (c *Core) takeRunning(w *worker, list []workload.Running, sent uint64) {
	listed := make(map[runKey]bool, len(list))
	told := w.unknownRuns
	w.unknownRuns = nil
	for _, running := range list {
		key := runKey{running.Task, running.Attempt}
		listed[key] = true
		r := w.runs[key]
		if r == nil {
			r = c.adopt(w, running)
			if _, stopped := told[key]; r != nil && stopped {
				c.stop(r, "was told to stop before its job was known")
			}
		}
		if r != nil {
			c.progress(r, running)
		}
	}
	missing := w.inOrder(func(r *run) bool {
		return !listed[runKey{r.task.id(), r.attempt}] && r.settledBy != 0 && sent >= r.settledBy
	})
	for _, r := range missing {
		switch {
		case !r.stopping():
			c.unclear(r, "the worker no longer lists it")
		case r.state == stRunStopped:
			c.ended(r, workload.EndStopped)
		}
	}
}

// stopUnknown stops a run of a job that is over or that nobody knows. Its room
// is taken until the worker no longer lists it; where the job's row is gone,
// that room is unknown and the worker gets nothing new meanwhile.
func (c *Core) stopUnknown(w *worker, running workload.Running) {
	c.pollSoon(w)
	c.actions = append(c.actions, Action{Kind: ActStop, Reason: "of no job that is open", Order: workload.Order{
		Worker: w.ID, Addr: w.Addr, Zone: w.Zone, Task: running.Task, Attempt: running.Attempt, Epoch: c.epoch,
	}})
	var need workload.Resources
	j := c.jobs[running.Task.Job]
	if j == nil || running.Task.Step < 0 || running.Task.Step >= len(j.Steps) {
		c.pollBeforeWork(w)
	} else {
		need = j.Steps[running.Task.Step].Counted()
	}
	if w.unknownRuns == nil {
		w.unknownRuns = make(map[runKey]workload.Resources)
	}
	w.unknownRuns[runKey{running.Task, running.Attempt}] = need
}

// pollSoon has a worker polled again that runs what it should not.
func (c *Core) pollSoon(w *worker) {
	w.wantPoll = true
	w.nextPoll = c.now.Add(unknownAgain)
}

// pollBeforeWork does, and gives it nothing new until then: how much room it has is not
// known.
func (c *Core) pollBeforeWork(w *worker) {
	c.pollSoon(w)
	w.holdOff = c.now.Add(unknownAgain + holdOffAfter)
}

// unknownNeed is the room that unknown runs take.
func (w *worker) unknownNeed() workload.Resources {
	var sum workload.Resources
	for _, need := range w.unknownRuns {
		sum = sum.Add(need)
	}
	return sum
}

// jobsWithUnknownRuns are the jobs of which an unknown run may not have ended yet. A job
// can become known after a run of it was met, when another epoch started it in
// the moment of its acceptance: nothing of it starts until that run is gone.
func (c *Core) jobsWithUnknownRuns() map[string]bool {
	jobs := make(map[string]bool)
	for _, w := range c.fleet {
		for key := range w.unknownRuns {
			jobs[key.task.Job] = true
		}
	}
	return jobs
}

// unknownAgain is when a worker is polled again that runs what it should not.
const unknownAgain = 250 * time.Millisecond

// adopt takes over a run that an earlier epoch started. A run that must not go
// on, or that nobody knows, is stopped.
func (c *Core) adopt(w *worker, running workload.Running) *run {
	t := c.task(running.Task)
	if t == nil {
		c.stopUnknown(w, running)
		return nil
	}
	r := &run{
		task: t, worker: w, attempt: running.Attempt, state: stRunRunning, need: t.step.spec.Counted(),
		since: c.now, settledBy: c.sequence, percent: running.Percent, percentAtStart: running.Percent,
	}
	if t.step.spec.Gang {
		r.gang = c.gangOf(t.step, running.Attempt)
	}
	surplus := t.done || len(t.runs) > 0 || t.step.job.record.Final != "" || running.Attempt > c.epoch*attemptsPerEpoch
	r.recorded = t.takeEarlier(running.Attempt)
	c.attach(r)
	if surplus {
		c.stop(r, "surplus run")
	}
	return r
}

// gangOf returns the gang of an attempt that is being adopted.
func (c *Core) gangOf(s *step, attempt int64) *gang {
	if s.gang == nil || s.gang.attempt != attempt {
		g := &gang{attempt: attempt}
		if s.gang == nil {
			s.gang = g
		}
		return g
	}
	return s.gang
}

func (c *Core) progress(r *run, running workload.Running) {
	r.confirmed = true
	if r.state == stRunOrdered {
		r.step(runStarted)
		r.settledBy = c.sequence
	}
	r.percent = max(r.percent, running.Percent)
	if running.Checkpoint != "" {
		r.checkpoint = running.Checkpoint
	}
}
