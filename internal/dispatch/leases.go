package dispatch

import (
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// maxClockSkew is the maximum fraction by which a worker's clock may run slow.
const maxClockSkew = 0.02

// maxElapsed returns the longest real time that d can take on a slow clock.
func maxElapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - maxClockSkew))
}

// sampleClock records the worker's clock from an answer.
func (w *worker) sampleClock(clockMS int64, now time.Time) {
	if clockMS > 0 {
		w.lastContact = now
	}
	if clockMS > w.clockMS {
		w.clockMS, w.clockAt = clockMS, now
	}
}

// hasAnswered reports whether the worker itself has answered this epoch.
func (w *worker) hasAnswered() bool { return !w.lastContact.IsZero() }

// estimatedClock returns the worker's estimated clock, assuming a rate of one since the last
// sample.
func (w *worker) estimatedClock(now time.Time) int64 {
	return w.clockMS + now.Sub(w.clockAt).Milliseconds()
}

// extendLease records that something may run until a time on the worker's clock.
func (w *worker) extendLease(untilMS int64) { w.leaseUntilMS = max(w.leaseUntilMS, untilMS) }

// definitelyExpired reports whether everything on the worker has been ended by its own lease,
// even if its clock runs slow and every order sent to it was received.
func (w *worker) definitelyExpired(now time.Time, slack time.Duration) bool {
	left := time.Duration(w.leaseUntilMS-w.clockMS) * time.Millisecond
	return now.Sub(w.clockAt) > maxElapsed(max(left, 0))+slack
}

// expireLeases ends the runs on workers that have not responded for longer than any lease. No
// other evidence is sufficient: an unlisted worker that refuses connections may still be
// running behind a network partition. It then removes unlisted workers that run nothing.
func (c *Core) expireLeases() {
	c.settleCrashes()
	c.endUnsyncedWait()
	for _, w := range slices.Clone(c.fleet) {
		if w.misses > 0 && w.mayRun() && w.definitelyExpired(c.now, c.bounds.MaxStopTime) {
			c.endLostRuns(w, LossUnresponsive)
		}
		c.settleUnresponsive(w)
		if w.synced && !w.unlistedSince.IsZero() && !w.mayRun() {
			c.unstore(w)
		}
		if !w.unlistedSince.IsZero() && !w.mayRun() && c.now.Sub(w.unlistedSince) > maxElapsed(c.bounds.MaxLease) &&
			(w.synced || !c.now.Before(c.definitelyStoppedAt)) {
			c.recordLostUnsynced(w)
			c.unstore(w)
			c.settleUnexplained(w)
			c.soundness.Remove(w.ID)
			delete(c.workers, w.ID)
			c.fleet = slices.DeleteFunc(c.fleet, func(other *worker) bool { return other == w })
		}
	}
}

// mayRun reports whether anything may run on the worker, or may start on it yet.
func (w *worker) mayRun() bool { return len(w.runs)+len(w.unknownRuns)+len(w.lateStarts) > 0 }

// endLostRuns ends all runs of a lost worker.
func (c *Core) endLostRuns(w *worker, cause LossCause) {
	isolated := w.runsOneJob()
	w.unknownRuns, w.lateStarts = nil, nil
	lost := w.sortedRuns(anyRun)
	for _, r := range lost {
		c.reportLostRun(r, cause, len(lost)-1)
		c.recordLostAttempt(r, cause, isolated)
		c.runEnded(r, workload.CompletionExpired)
	}
}

// otherIncarnationAnswered handles an answer that something else than the worker gave at an address.
// Only at the worker's address does it mean that the worker is over.
func (c *Core) otherIncarnationAnswered(w *worker, addr string) {
	if addr != w.Addr {
		w.recordMiss(c.now)
		return
	}
	c.workerReplaced(w)
}

// workerReplaced handles an answer from another incarnation of the worker: this one is over. Only a
// worker that was there can have crashed: an entry of another writer may name the address of a live one.
func (c *Core) workerReplaced(w *worker) {
	c.recordLostUnsynced(w)
	if !w.replaced && !w.Leaving && w.hasAnswered() {
		c.recordMachineCrash(w)
	}
	w.replaced = true
	c.settleReplaced(w)
	c.endLostRuns(w, LossReplaced)
	w.synced = true
	w.unlistedSince = c.now
	w.holdOffUntil = c.now.Add(time.Hour)
	w.nextPollAt = c.now.Add(time.Hour)
}

// Unsynced returns the workers that have not answered this epoch while they may run work of an
// earlier one; jobs from that time wait for them.
func (c *Core) Unsynced() []string {
	var list []string
	if !c.now.Before(c.definitelyStoppedAt) {
		return nil
	}
	for _, w := range c.fleet {
		if w.mayRunUnsynced() {
			list = append(list, w.ID)
		}
	}
	return list
}

// mayRunUnsynced reports whether work of an earlier epoch may run on a worker that has not
// answered this one. Workers that are not in the stored table never get work.
func (w *worker) mayRunUnsynced() bool { return !w.synced && w.stored }

// Synced reports whether no worker is waited for: every listed worker has answered this epoch and
// its last call, and all runs are known.
func (c *Core) Synced() bool {
	for _, w := range c.fleet {
		listed := w.unlistedSince.IsZero()
		if listed && !w.synced || w.misses > 0 && (listed || len(w.runs) > 0) || len(w.unknownRuns) > 0 {
			return false
		}
	}
	return true
}

// mayRunUnsynced reports whether tasks of a job, ordered by an earlier epoch, may still run on
// a worker that has not answered this one.
func (c *Core) mayRunUnsynced(j *job) bool { return j.fromEarlierEpoch && c.unsynced.any(c) }

// unsyncedWorkers caches, per event, whether any worker is unsynced. A new leader with
// thousands of workers has hundreds of jobs waiting for one of them, and a search per job would
// take processor time from the polls that end the wait.
type unsyncedWorkers struct {
	// asOf is the sequence of the event at which found was computed.
	asOf  uint64
	found bool
}

func (u *unsyncedWorkers) any(c *Core) bool {
	if u.asOf != c.sequence {
		u.asOf = c.sequence
		u.found = c.now.Before(c.definitelyStoppedAt) && slices.ContainsFunc(c.fleet, (*worker).mayRunUnsynced)
	}
	return u.found
}
