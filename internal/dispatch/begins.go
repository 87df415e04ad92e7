package dispatch

import (
	"time"
)

// Start intents limit how long work waits after a takeover while a worker is unreachable, which
// with thousands of workers is nearly every takeover. Runs that an earlier leader started may
// still be on that worker, so the jobs concerned wait for the worker or for the longest lease.
// Without further information this applies to every job accepted before the takeover, including
// jobs that were submitted while there was no leader and never started. A leader therefore
// stores a start intent for a job before the first start of its tasks, and the next leader
// waits only for jobs that have one. While the store is slow that write would delay every
// start; the leader may then start jobs without it, after storing that it does so.

// TrustStartIntents records that earlier leaders stored a start intent for each job before its first
// start, so that a job without one was never started. Call it before the first AddJob.
func (c *Core) TrustStartIntents() { c.trustStartIntents = c.enabled(MechStoredStartIntents) }

// JobsRead records that all jobs of the first read of the table were added. A start intent that a job
// brings later is not this leader's: it stores its own, which the store refuses if it was replaced.
func (c *Core) JobsRead() { c.jobsRead = true }

// StoreStartIntents sets whether a job's start intent is stored before its first start.
func (c *Core) StoreStartIntents(on bool) {
	c.storeStartIntents = on && c.enabled(MechStoredStartIntents)
}

// awaitsStartIntent reports whether a job may not start yet because its start intent is not
// stored, and schedules the write if needed.
func (c *Core) awaitsStartIntent(j *job) bool {
	if !c.storeStartIntents || j.startIntentStored {
		return false
	}
	c.recordStartIntent(j)
	return true
}

func (c *Core) recordStartIntent(j *job) {
	if !j.record.StartIntent {
		j.record.StartIntent = true
		j.startIntentRequestedAt = c.now
		c.markChanged(j)
	}
}

// StartIntentsLate reports whether a start intent has been waiting for the store for longer than d.
func (c *Core) StartIntentsLate(d time.Duration) bool {
	for _, j := range c.dirty {
		if j.refusal.pause == 0 && j.owesStartIntent() && c.now.Sub(j.startIntentRequestedAt) > d {
			return true
		}
	}
	return false
}

// StoreAllStartIntents schedules the start intents of all jobs that may have been started without
// one.
func (c *Core) StoreAllStartIntents() {
	for _, j := range c.queue {
		if j.mayHaveStarted() && j.record.Final == "" {
			c.recordStartIntent(j)
		}
	}
}

// OwedStartIntents returns the jobs whose start intent has been waiting for the store for longer than
// d, in the order of acceptance.
func (c *Core) OwedStartIntents(d time.Duration) []string {
	var ids []string
	for _, j := range c.queue {
		if j.owesStartIntent() && c.now.Sub(j.startIntentRequestedAt) > d {
			ids = append(ids, j.ID)
		}
	}
	return ids
}

// MarkStartIntentStored records that the store has a job's start intent apart from its record.
func (c *Core) MarkStartIntentStored(id string, now time.Time, wallMS int64) {
	c.tick(now, wallMS)
	if j := c.jobs[id]; j != nil {
		j.startIntentStored = true
	}
}

// StartIntentsStored reports whether the store has the start intent or the final state of every job
// that may have been started.
func (c *Core) StartIntentsStored() bool {
	if !c.earlierJobsKnown {
		return false
	}
	for _, j := range c.dirty {
		if j.mayHaveStarted() && !j.startIntentStored {
			return false
		}
	}
	for _, j := range c.queue {
		if j.mayHaveStarted() && !j.startIntentStored && j.record.Final == "" {
			return false
		}
	}
	return true
}

// owesStartIntent reports whether the job's start intent is recorded but not yet stored.
func (j *job) owesStartIntent() bool { return j.record.StartIntent && !j.startIntentStored }

func (j *job) mayHaveStarted() bool { return j.fromEarlierEpoch || j.started }

// startOrStore starts the first tasks of a step on the given workers. If the job's start intent or
// a task's attempt has to be stored first, the capacity is held for this round instead: the store
// usually answers within one or two rounds.
func (c *Core) startOrStore(u *pendingStep, places []*workerCapacity) {
	if c.awaitsStartIntent(u.step.job) {
		holdCapacity(u, places)
		c.recordReason(u, "its begin is being stored")
		return
	}
	if c.awaitsAttemptRecord(u, len(places)) {
		c.holdCapacityWhileRecording(u, places)
		c.recordReason(u, "its workers crashed, and its next attempt is being stored")
		return
	}
	c.startAt(u, places)
}
