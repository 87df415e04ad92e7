package dispatch

import (
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// clockSkew is by how much a worker's clock may run slow.
const clockSkew = 0.02

// slowest is how long d may take on a clock that runs slow.
func slowest(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - clockSkew))
}

// sample notes the worker's clock as of an answer.
func (w *worker) sample(clockMS int64, now time.Time) {
	if clockMS > 0 {
		w.heardAt = now
	}
	if clockMS > w.clockMS {
		w.clockMS, w.clockAt = clockMS, now
	}
}

// clock estimates the worker's clock, at a steady rate of one.
func (w *worker) clock(now time.Time) int64 {
	return w.clockMS + now.Sub(w.clockAt).Milliseconds()
}

// lease notes that something was told to run until a time on the worker's clock.
func (w *worker) lease(untilMS int64) { w.leaseMS = max(w.leaseMS, untilMS) }

// surelyLapsed reports whether everything on the worker has been ended by its
// own lease, even if its clock runs slow and every order sent to it counted.
func (w *worker) surelyLapsed(now time.Time, slack time.Duration) bool {
	left := time.Duration(w.leaseMS-w.clockMS) * time.Millisecond
	return now.Sub(w.clockAt) > slowest(max(left, 0))+slack
}

// expireLeases ends the runs on workers that have been silent for longer than
// any lease, whatever else is known of them: a worker that is no longer listed and
// refuses connections may run on behind a cut. Then it forgets workers that are no
// longer listed and run nothing.
func (c *Core) expireLeases() {
	c.settleCrashed()
	c.endWait()
	for _, w := range slices.Clone(c.fleet) {
		if w.misses > 0 && len(w.runs)+len(w.unknownRuns) > 0 && w.surelyLapsed(c.now, c.bounds.StopTime) {
			c.lapse(w, LossSilent)
		}
		c.settleUnheard(w)
		if w.known && !w.unlistedSince.IsZero() && len(w.runs)+len(w.unknownRuns) == 0 {
			c.unstore(w)
		}
		if !w.unlistedSince.IsZero() && len(w.runs)+len(w.unknownRuns) == 0 && c.now.Sub(w.unlistedSince) > slowest(c.bounds.LongestLease) &&
			(w.known || !c.now.Before(c.surelyQuiet)) {
			c.noteUnseen(w)
			c.unstore(w)
			c.settleLapsed(w, true)
			delete(c.workers, w.ID)
			c.fleet = slices.DeleteFunc(c.fleet, func(other *worker) bool { return other == w })
		}
	}
}

// lapse ends all runs of a worker.
func (c *Core) lapse(w *worker, cause LossCause) {
	w.unknownRuns = nil
	lost := w.inOrder(anyRun)
	for _, r := range lost {
		c.recordLost(r, cause, len(lost)-1)
		c.noteLost(r, cause)
		c.ended(r, workload.EndLapsed)
	}
}

// lostWorker takes that another life of the worker answered: this one is over.
func (c *Core) lostWorker(w *worker) {
	c.noteUnseen(w)
	if !w.over && !w.Leaving {
		c.noteCrashed(w)
	}
	w.over = true
	c.settleReplaced(w)
	c.lapse(w, LossReplaced)
	w.known = true
	w.unlistedSince = c.now
	w.holdOff = c.now.Add(time.Hour)
	w.nextPoll = c.now.Add(time.Hour)
}

// Unsynced lists the workers that have not answered this epoch while what an earlier
// one started may run there; work of that time waits for them.
func (c *Core) Unsynced() []string {
	var list []string
	if !c.now.Before(c.surelyQuiet) {
		return nil
	}
	for _, w := range c.fleet {
		if w.mayRunUnsynced() {
			list = append(list, w.ID)
		}
	}
	return list
}

// mayRunUnsynced reports whether something that an earlier epoch started may run on a
// worker that has not answered this one. Nobody gives work to a worker that is not
// in the table.
func (w *worker) mayRunUnsynced() bool { return !w.known && w.stored }

// Synced reports whether no worker is waited for: each that is listed has answered, and
// what runs is known.
func (c *Core) Synced() bool {
	for _, w := range c.fleet {
		listed := w.unlistedSince.IsZero()
		if listed && !w.known || w.misses > 0 && (listed || len(w.runs) > 0) || len(w.unknownRuns) > 0 {
			return false
		}
	}
	return true
}

// mayRunUnsynced reports whether a job's tasks may still run, by an earlier
// epoch's order, on a worker that has not answered this one.
func (c *Core) mayRunUnsynced(j *job) bool { return j.old && c.unsynced.any(c) }

// unsyncedWorkers is whether any worker is unsynced, found once for each event: a new
// leader of thousands of workers has hundreds of jobs that wait for one of them, and a
// search for each job takes the processor from the polls that would end the wait.
type unsyncedWorkers struct {
	// asOf is the sequence of the event at which found was worked out.
	asOf  uint64
	found bool
}

func (u *unsyncedWorkers) any(c *Core) bool {
	if u.asOf != c.sequence {
		u.asOf = c.sequence
		u.found = c.now.Before(c.surelyQuiet) && slices.ContainsFunc(c.fleet, (*worker).mayRunUnsynced)
	}
	return u.found
}
