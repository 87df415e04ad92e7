package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/soundness"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// Unsound workers fail what they are given, are free again at once and take the next work.
// Without a limit on what a doubted worker may start, one of them uses up the attempts of many
// jobs within seconds. Package soundness estimates how likely a worker is unsound; the limits
// here follow from that, and from how many attempts a task has left. Workers without failed
// runs are not affected.

const (
	// avoidedFrom is the probability of being unsound from which tasks that have failed before
	// avoid a worker, doubtedFrom that from which it gets no gangs and may have only
	// doubtedRuns runs, and closedFrom that from which it gets only probes.
	avoidedFrom = 0.1
	doubtedFrom = 0.25
	closedFrom  = 0.5
	// doubtedRuns doubles with each success in a row.
	doubtedRuns = 2
	// maxRunsShift bounds the doublings.
	maxRunsShift = 6
	// firstProbeWait and maxProbeWait bound the time from a failure on a closed worker to its
	// next probe; each failed probe doubles it.
	firstProbeWait = time.Second
	maxProbeWait   = 30 * time.Second
	// provenFor is how long a success makes a worker fit for a task's last attempt.
	provenFor = 30 * time.Second
	// lastAttemptWait is how long a task's last attempt waits for such a worker, if its pool has
	// one.
	lastAttemptWait = 5 * time.Second
	// assessInterval is the time after which a worker without new evidence is assessed again,
	// because evidence fades.
	assessInterval = time.Second
	// maxClosedDivisor limits the exclusion: at most one in this many workers of a pool is
	// closed.
	maxClosedDivisor = 2
)

// workerSoundness is the state of a worker whose runs failed.
type workerSoundness struct {
	closed bool
	// failedProbes is the number of failures since the worker was closed, successes that of the
	// successes since the last failure.
	failedProbes, successes int
	probeAt                 time.Time
	lastDone                time.Time
	// unsound is the probability of being unsound as of assessedAt.
	unsound    float64
	assessedAt time.Time
}

// doubt limits, for one round, what a worker may start.
type doubt struct {
	unsound float64
	closed  bool
	// maxRuns is the number of runs that the worker may have, or zero if there is no limit.
	maxRuns int
}

// recordEnd records the end of a run that began at the given time as evidence for or against its
// worker.
func (c *Core) recordEnd(w *worker, e workload.Completion, began time.Time) {
	w.health.recordCompletion(e, c.now)
	failed := e.Kind == workload.CompletionFailed
	if failed {
		c.recordTrialFailure(e)
	}
	if !failed && e.Kind != workload.CompletionDone {
		return
	}
	ended := soundness.Step{Job: e.Task.Job, Occurrence: e.Task.Occurrence, Step: e.Task.Step}
	if !c.soundness.Record(w.ID, ended, failed, began, c.now) {
		return
	}
	s := &w.soundness
	if !failed {
		s.successes++
		s.lastDone = c.now
		c.updateClosed(w)
		return
	}
	s.successes = 0
	if s.closed {
		s.failedProbes++
	}
	s.probeAt = c.now.Add(min(firstProbeWait<<min(s.failedProbes, maxRunsShift), maxProbeWait))
	c.updateClosed(w)
}

// updateClosed assesses a worker and closes or opens it.
func (c *Core) updateClosed(w *worker) {
	s := &w.soundness
	s.unsound, s.assessedAt = c.soundness.Unsound(w.ID, c.now), c.now
	switch {
	case !s.closed && s.unsound >= closedFrom:
		s.closed = true
		c.reportSoundness(w, "closed")
	case s.closed && s.unsound < closedFrom:
		s.closed = false
		c.reportSoundness(w, "opened")
	}
	if s.unsound < avoidedFrom {
		s.failedProbes = 0
	}
}

func (c *Core) reportSoundness(w *worker, state string) {
	if !c.enabled(MechUnhealthyWorkers) || !c.policies.weighsEvidence {
		return
	}
	c.actions = append(c.actions, Action{
		Kind: ActWorkerSoundness, Order: workload.Order{Worker: w.ID, Epoch: c.epoch}, State: state,
		Reason: fmt.Sprintf("unsound with probability %.2f, %d failed probes, %d successes since the last failure", w.soundness.unsound, w.soundness.failedProbes, w.soundness.successes),
	})
}

// doubtOf returns the limits of a worker.
func (c *Core) doubtOf(w *worker) doubt {
	if !c.soundness.HasFailed(w.ID) {
		return doubt{}
	}
	s := &w.soundness
	if c.soundness.Changed(w.ID) || c.now.Sub(s.assessedAt) >= assessInterval {
		c.updateClosed(w)
	}
	d := doubt{unsound: s.unsound, closed: s.closed}
	switch {
	case d.closed:
		d.maxRuns = 1 << min(s.successes, maxRunsShift)
	case d.unsound >= doubtedFrom:
		d.maxRuns = doubtedRuns << min(s.successes, maxRunsShift)
	}
	return d
}

// limitClosed treats the least doubted closed workers of a pool as doubted ones if too many are
// closed: the work has to run somewhere.
func (c *Core) limitClosed(workers []*workerCapacity) {
	var closed []*workerCapacity
	for _, r := range workers {
		if r.doubt.closed {
			closed = append(closed, r)
		}
	}
	excess := len(closed) - (len(workers)+maxClosedDivisor-1)/maxClosedDivisor
	if excess <= 0 {
		return
	}
	slices.SortStableFunc(closed, func(a, b *workerCapacity) int { return cmp.Compare(a.doubt.unsound, b.doubt.unsound) })
	for _, r := range closed[:excess] {
		r.doubt.closed, r.doubt.maxRuns = false, doubtedRuns
	}
}

// failedAttempts returns the highest number of failed attempts of the step's tasks.
func (u *pendingStep) failedAttempts() int {
	failed := u.step.job.record.Failed
	if len(failed) == 0 {
		return 0
	}
	most := 0
	for _, t := range u.tasks {
		most = max(most, len(failed[t.recordKey()]))
	}
	return most
}

// mayRisk reports whether a worker is sound enough for a step.
func (c *Core) mayRisk(u *pendingStep, r *workerCapacity) bool {
	allowed := max(u.queue.Attempts, 1)
	spare := u.failed == 0 && allowed > 1 && (!u.step.spec.Gang || u.step.spec.Count == 1)
	switch {
	case r.doubt.closed:
		return spare && u.rank.class > 0 && !c.now.Before(r.soundness.probeAt)
	case r.doubt.unsound >= doubtedFrom:
		return spare || c.restartsInClaim(u, r)
	case u.failed == 0 || !c.provenPools[u.queue.Pool] || c.now.Sub(u.step.failedAt) >= lastAttemptWait:
		return true
	case u.failed == allowed-1:
		return c.isProven(r.worker)
	}
	return r.doubt.unsound < avoidedFrom || c.restartsInClaim(u, r)
}

// restartsInClaim reports whether a gang may restart on a worker where it failed by itself.
func (c *Core) restartsInClaim(u *pendingStep, r *workerCapacity) bool {
	return u.step.claim != nil && !c.mayFailOthers(r.worker, u.step.job)
}

// isProven reports whether a run succeeded on a worker recently, and none failed since.
func (c *Core) isProven(w *worker) bool {
	return w.soundness.successes > 0 && c.now.Sub(w.soundness.lastDone) < provenFor
}

// forgetEnds keeps only what follows from the ends of a job's runs.
func (c *Core) forgetEnds(j *job) {
	for _, s := range j.steps {
		c.soundness.Forget(soundness.Step{Job: j.ID, Occurrence: s.occurrence, Step: s.number}, c.now)
	}
}

// unsoundWorkers returns the listed workers that tasks avoid, with the probability that they are
// unsound.
func (c *Core) unsoundWorkers() map[string]float64 {
	list := make(map[string]float64)
	for _, id := range c.soundness.Failed() {
		if c.workers[id] == nil {
			continue
		}
		if unsound := c.soundness.Unsound(id, c.now); unsound >= avoidedFrom {
			list[id] = unsound
		}
	}
	return list
}

// ClosedWorkers returns the number of closed workers by pool.
func (c *Core) ClosedWorkers() map[string]int {
	counts := make(map[string]int)
	for _, w := range c.fleet {
		if w.soundness.closed && w.unlistedSince.IsZero() {
			counts[w.Pool]++
		}
	}
	return counts
}
