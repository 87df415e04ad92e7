package dispatch

import (
	"time"
)

// This file answers takeovers while a worker is out of reach, which on thousands of
// workers is nearly every takeover. What an earlier leader started may run there, so its
// jobs wait for that worker, or for the longest lease. Without more knowledge that holds
// for each job that was accepted before, also for those that nobody has ever started:
// what was handed in while there was no leader waits on. So a leader stores that a job
// begins before the first start of its tasks, and the next one waits only for the runs of
// jobs that have begun. While the store is slow that write would hold back every start;
// the leader may then do without it, after it has stored that it does.

// TrustBegins says that the leaders before stored each job's begin before its first start:
// a job whose record does not say so was never started. Call it before the first AddJob.
func (c *Core) TrustBegins() { c.trustBegins = c.has(MechStoredBegins) }

// StoreBegins sets whether a job's begin is stored before its first start.
func (c *Core) StoreBegins(on bool) { c.storeBegins = on && c.has(MechStoredBegins) }

// awaitsBegin reports whether a job may not start yet because its begin is not stored, and
// has it stored.
func (c *Core) awaitsBegin(j *job) bool {
	if !c.storeBegins || j.beginStored {
		return false
	}
	c.recordBegin(j)
	return true
}

func (c *Core) recordBegin(j *job) {
	if !j.record.Began {
		j.record.Began = true
		j.beginAsked = c.now
		c.change(j)
	}
}

// BeginsLate reports whether the store has owed the record of a begin for longer than d.
func (c *Core) BeginsLate(d time.Duration) bool {
	for _, j := range c.dirty {
		if j.owesBegin() && c.now.Sub(j.beginAsked) > d {
			return true
		}
	}
	return false
}

// StoreAllBegins has the begin of every job stored that may have been started without.
func (c *Core) StoreAllBegins() {
	for _, j := range c.queue {
		if j.mayHaveBegun() && j.record.Final == "" {
			c.recordBegin(j)
		}
	}
}

// BeginsStored reports whether the store knows of every begin, or of the job's end.
func (c *Core) BeginsStored() bool {
	for _, j := range c.dirty {
		if j.mayHaveBegun() && !j.beginStored {
			return false
		}
	}
	for _, j := range c.queue {
		if j.mayHaveBegun() && !j.beginStored && j.record.Final == "" {
			return false
		}
	}
	return true
}

// owesBegin reports whether the store has yet to learn that the job begins.
func (j *job) owesBegin() bool { return j.record.Began && !j.beginStored }

func (j *job) mayHaveBegun() bool { return j.old || j.began }

// startOrStore starts the first tasks of a step in the rooms. Where the job's begin has
// to be stored first it keeps them for this round: the store answers within one or two.
func (c *Core) startOrStore(u *pendingStep, places []*room) {
	if c.awaitsBegin(u.step.job) {
		takeRoom(u, places)
		c.recordReason(u, "its begin is being stored")
		return
	}
	if c.awaitsAttempt(u, len(places)) {
		c.holdWhileRecording(u, places)
		c.recordReason(u, "workers went down under it, and its next attempt is being stored")
		return
	}
	c.startAt(u, places)
}
