package dispatch

import (
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/quarantine"
)

// This file answers changes of the leader between a crash and its news. A count that lives
// in one leader begins anew with the next one, and a task that takes its workers down gets
// as many more. So before a task starts under which workers went down, the store knows of
// the attempt; a later leader that finds neither that run nor its end counts it as a crash.

// recordPatience is how long room is held for a task whose attempt is being stored.
const recordPatience = 150 * time.Millisecond

// beginAttempt has the store know of an attempt that may be under way.
func (c *Core) beginAttempt(t *task, attempt int64) {
	t.step.job.record.beginAttempt(t.ownName(), attempt)
	c.change(t.step.job)
}

// endAttempt takes that a recorded attempt ended, and its worker did not.
func (c *Core) endAttempt(t *task, attempt int64) {
	if t.over() {
		return
	}
	t.step.job.record.endAttempt(t.ownName(), attempt)
	c.change(t.step.job)
}

// countEarlier takes attempts that an earlier leader recorded and that nobody lists for
// crashes, once all workers have answered or their leases are over.
func (c *Core) countEarlier(j *job) {
	j.hasEarlier = false
	for _, s := range j.steps {
		for i := range s.tasks {
			t := &s.tasks[i]
			if t.crashes == nil {
				continue
			}
			for _, attempt := range t.crashes.earlier {
				c.countCrash(lapsedRun{task: t, attempt: attempt, confirmed: true})
			}
			t.crashes.earlier = nil
		}
	}
}

// takeEarlier reports whether an attempt was recorded by an earlier leader and is seen for
// the first time.
func (t *task) takeEarlier(attempt int64) bool {
	if t.crashes == nil {
		return false
	}
	at := slices.Index(t.crashes.earlier, attempt)
	if at >= 0 {
		t.crashes.earlier = slices.Delete(t.crashes.earlier, at, at+1)
	}
	return at >= 0
}

// noteUnseen takes that a worker was lost, or is no longer waited for, before it answered
// this epoch. Any task that an earlier leader started may have run there; the next leader
// is to know more than this one.
func (c *Core) noteUnseen(w *worker) {
	c.lostUnseen = c.lostUnseen || w.mayRunUnsynced()
}

// endWait does so, once, for the workers that are no longer waited for.
func (c *Core) endWait() {
	if c.waitEnded || c.now.Before(c.surelyQuiet) {
		return
	}
	c.waitEnded = true
	for _, w := range c.fleet {
		c.noteUnseen(w)
	}
}

// awaitsAttempt reports whether one of the first tasks of a step may not start yet because
// the store does not know of its attempt, and has it stored.
func (c *Core) awaitsAttempt(u *pendingStep, count int) bool {
	waits := false
	j := u.step.job
	for _, t := range u.tasks[:count] {
		if t.crashDecision() == quarantine.StartFreely && !(c.lostUnseen && j.old) {
			continue
		}
		s := t.ensureCrashes()
		if s.next == 0 {
			s.next = c.reserveAttempt(t)
			c.beginAttempt(t, s.next)
			s.nextChange, s.nextAsked = j.changed, c.now
		}
		waits = waits || j.stored < s.nextChange
	}
	return waits
}

// reserveAttempt is the number of a task's next start; members of a gang share it.
func (c *Core) reserveAttempt(t *task) int64 {
	if t.step.spec.Gang {
		for i := range t.step.tasks {
			if s := t.step.tasks[i].crashes; s != nil && s.next != 0 {
				return s.next
			}
		}
	}
	return c.nextAttempt()
}

// attemptOf is the number of the next start of a task, or of the gang that begins with it.
func (c *Core) attemptOf(tasks []*task) int64 {
	for _, t := range tasks {
		if t.crashes != nil && t.crashes.next != 0 {
			return t.crashes.next
		}
	}
	return c.nextAttempt()
}

// holdWhileRecording holds the rooms of a step whose attempt is being stored, unless the
// store is slow: others may use them then.
func (c *Core) holdWhileRecording(u *pendingStep, places []*room) {
	for _, t := range u.tasks[:len(places)] {
		if s := t.crashes; s != nil && s.next != 0 && c.now.Sub(s.nextAsked) > recordPatience {
			return
		}
	}
	takeRoom(u, places)
}

// takeReserved reports whether an attempt is the one reserved for a task, and uses it up.
func (t *task) takeReserved(attempt int64) bool {
	if t.crashes == nil || t.crashes.next != attempt {
		return false
	}
	t.crashes.next = 0
	return true
}
