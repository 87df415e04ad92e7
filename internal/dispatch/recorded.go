package dispatch

import (
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/quarantine"
)

// Recorded attempts keep crash counts across leader changes. A count held only in memory would
// restart with the next leader, and a task that crashes its workers could crash as many again.
// Before a task whose workers crashed starts, its attempt is therefore stored; a later leader
// that finds neither the run nor its completion counts the attempt as a crash.

// recordWaitLimit is how long capacity is held for a task whose attempt is being stored.
const recordWaitLimit = 150 * time.Millisecond

// beginAttempt schedules the storing of an attempt that may be in progress.
func (c *Core) beginAttempt(t *task, attempt int64) {
	t.step.job.record.beginAttempt(t.crashKey(), attempt)
	c.markChanged(t.step.job)
}

// endAttempt records that a stored attempt ended while its worker continued.
func (c *Core) endAttempt(t *task, attempt int64) {
	if t.isFinished() {
		return
	}
	t.step.job.record.endAttempt(t.crashKey(), attempt)
	c.markChanged(t.step.job)
}

// countEarlierAttempts counts as crashes the attempts that an earlier leader recorded and that no
// worker lists. Call it once all workers have answered or their leases have expired.
func (c *Core) countEarlierAttempts(j *job) {
	j.hasEarlierAttempts = false
	for _, s := range j.steps {
		for i := range s.tasks {
			t := &s.tasks[i]
			if t.crashes == nil {
				continue
			}
			for _, attempt := range t.crashes.earlierAttempts {
				// What else ran there is not known, and the limit must hold across leaders.
				c.countCrash(lostAttempt{task: t, attempt: attempt, confirmed: true, isolated: true})
			}
			t.crashes.earlierAttempts = nil
		}
	}
}

// removeEarlierAttempt removes an attempt from those that earlier leaders recorded and this one has
// not seen yet, and reports whether it was among them.
func (t *task) removeEarlierAttempt(attempt int64) bool {
	if t.crashes == nil {
		return false
	}
	at := slices.Index(t.crashes.earlierAttempts, attempt)
	if at >= 0 {
		t.crashes.earlierAttempts = slices.Delete(t.crashes.earlierAttempts, at, at+1)
	}
	return at >= 0
}

// recordLostUnsynced records that a worker was lost, or is no longer waited for, before it
// answered this epoch. Any task that an earlier leader started may have run on it, so attempts
// of jobs from earlier epochs are stored for the next leader.
func (c *Core) recordLostUnsynced(w *worker) {
	c.lostUnsynced = c.lostUnsynced || w.mayRunUnsynced()
}

// endUnsyncedWait calls recordLostUnsynced, once, for the workers that are no longer waited
// for.
func (c *Core) endUnsyncedWait() {
	if c.unsyncedWaitEnded || c.now.Before(c.definitelyStoppedAt) {
		return
	}
	c.unsyncedWaitEnded = true
	for _, w := range c.fleet {
		c.recordLostUnsynced(w)
	}
}

// awaitsAttemptRecord reports whether one of the first count tasks of a step may not start yet
// because its attempt is not stored, and schedules the write if needed.
func (c *Core) awaitsAttemptRecord(u *pendingStep, count int) bool {
	waits := false
	j := u.step.job
	for _, t := range u.tasks[:count] {
		if t.crashDecision() == quarantine.StartFreely && !(c.lostUnsynced && j.fromEarlierEpoch) {
			continue
		}
		s := t.ensureCrashes()
		if s.reservedAttempt == 0 {
			s.reservedAttempt = c.reserveAttempt(t)
			c.beginAttempt(t, s.reservedAttempt)
			s.reservedRevision, s.reservedAt = j.revision, c.now
		}
		waits = waits || j.storedRevision < s.reservedRevision
	}
	return waits
}

// reserveAttempt returns the attempt number of a task's next start; members of a gang share it.
func (c *Core) reserveAttempt(t *task) int64 {
	if t.step.spec.Gang {
		for i := range t.step.tasks {
			if s := t.step.tasks[i].crashes; s != nil && s.reservedAttempt != 0 {
				return s.reservedAttempt
			}
		}
	}
	return c.nextAttempt()
}

// nextAttemptOf returns the attempt number for the next start of the given tasks: the reserved
// one, or a new one.
func (c *Core) nextAttemptOf(tasks []*task) int64 {
	for _, t := range tasks {
		if t.crashes != nil && t.crashes.reservedAttempt != 0 {
			return t.crashes.reservedAttempt
		}
	}
	return c.nextAttempt()
}

// holdCapacityWhileRecording holds the capacity of a step whose attempt is being stored. If the
// store is slow, other work may use it.
func (c *Core) holdCapacityWhileRecording(u *pendingStep, places []*workerCapacity) {
	for _, t := range u.tasks[:len(places)] {
		if s := t.crashes; s != nil && s.reservedAttempt != 0 && c.now.Sub(s.reservedAt) > recordWaitLimit {
			return
		}
	}
	holdCapacity(u, places)
}

// consumeReservedAttempt reports whether an attempt is the one reserved for a task, and clears the
// reservation.
func (t *task) consumeReservedAttempt(attempt int64) bool {
	if t.crashes == nil || t.crashes.reservedAttempt != attempt {
		return false
	}
	t.crashes.reservedAttempt = 0
	return true
}
