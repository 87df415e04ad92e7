package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// Doubted workers are proven by single tasks that can afford to fail. Where only gangs wait, or only
// last attempts, no such task comes, and workers that have long been well stay unused. A step that
// has stood beside them for too long therefore tries them, with as few doubted workers as possible.
// While they fail, one step tries at a time, after a pause, so that few attempts are lost; once a
// trial has run for a while without a failure, twice as many may.

const (
	// trialTime is the time after which a trial without a failed run has passed.
	trialTime = 500 * time.Millisecond
	// firstTrialPause and maxTrialPause bound the pause after a failed trial; each one in a row
	// doubles it.
	firstTrialPause = 500 * time.Millisecond
	maxTrialPause   = 3 * time.Second
	// maxTrials bounds the trials of a pool at the same time.
	maxTrials = 64
)

// trials are the attempts of a pool's steps on doubted workers.
type trials struct {
	running []*trial
	// allowed is the number of trials at the same time, none of them before notBefore.
	allowed   int
	notBefore time.Time
	pause     time.Duration
	// spareAt is the last time at which a step that can afford a failure stood in the pool.
	spareAt time.Time
}

// trial is one attempt of a step, kept until it ends: a worker may fail its runs late.
type trial struct {
	step           *step
	attempt        int64
	since          time.Time
	passed, failed bool
}

func (c *Core) trialsOf(pool string) *trials {
	t := c.trials[pool]
	if t == nil {
		t = &trials{allowed: 1, pause: firstTrialPause}
		c.trials[pool] = t
	}
	return t
}

// startTrials starts the candidates that may try doubted workers now, those first that lose least by
// a failure and need the fewest workers.
func (c *Core) startTrials() {
	slices.SortStableFunc(c.trialCandidates, func(a, b *pendingStep) int {
		return cmp.Or(cmp.Compare(b.spareAttempts(), a.spareAttempts()), cmp.Compare(len(a.tasks), len(b.tasks)))
	})
	for _, u := range c.trialCandidates {
		if len(u.tasks[0].runs) == 0 && c.mayTry(u) {
			c.startTrial(u)
		}
	}
}

// spareAttempts returns the number of failures that a step can afford.
func (u *pendingStep) spareAttempts() int { return max(u.queue.Attempts, 1) - 1 - u.failed }

// startTrial starts a step as a trial of doubted workers, if it fits.
func (c *Core) startTrial(u *pendingStep) {
	u.trial = true
	if !c.startInFree(u, func(*workerCapacity) bool { return true }) {
		return
	}
	t := c.trialsOf(u.queue.Pool)
	started := &trial{step: u.step, attempt: u.tasks[0].runs[0].attempt, since: c.now}
	t.running = append(t.running, started)
	c.reportTrial(started, "started", fmt.Sprintf("%d doubted workers, %d failed attempts of %d, %d trials of %d", u.countDoubted(), u.failed, u.queue.Attempts, t.undecided(), t.allowed))
}

// countDoubted returns the number of doubted workers that the step has started on.
func (u *pendingStep) countDoubted() int {
	doubted := make(map[*worker]bool)
	for _, t := range u.tasks {
		for _, r := range t.runs {
			doubted[r.worker] = r.worker.soundness.unsound >= doubtedFrom
		}
	}
	count := 0
	for _, is := range doubted {
		if is {
			count++
		}
	}
	return count
}

func (c *Core) reportTrial(t *trial, state, reason string) {
	task := workload.TaskID{Job: t.step.job.ID, Occurrence: t.step.occurrence, Step: t.step.number}
	c.actions = append(c.actions, Action{Kind: ActTrial, Order: workload.Order{Task: task, Attempt: t.attempt, Epoch: c.epoch}, State: state, Reason: reason})
}

// mayTry reports whether a step may try doubted workers now. While trials fail, steps that would
// fail with their next attempt leave them to others.
func (c *Core) mayTry(u *pendingStep) bool {
	if !c.policies.weighsEvidence || !c.enabled(MechTrials) {
		return false
	}
	t := c.trialsOf(u.queue.Pool)
	if u.spareAttempts() > 0 {
		t.spareAt = c.now
	} else if t.allowed == 1 && c.now.Sub(t.spareAt) < maxTrialPause {
		return false
	}
	return t.undecided() < t.allowed && !c.now.Before(t.notBefore)
}

// undecided returns the number of trials that have neither passed nor failed.
func (t *trials) undecided() int {
	count := 0
	for _, running := range t.running {
		if !running.passed {
			count++
		}
	}
	return count
}

// recordTrialFailure marks a trial whose run has failed.
func (c *Core) recordTrialFailure(e workload.Completion) {
	for _, t := range c.trials {
		for _, running := range t.running {
			if task := c.task(e.Task); task != nil && task.step == running.step && e.Attempt == running.attempt {
				running.failed = true
			}
		}
	}
}

// settleTrials ends the trials that have failed, passed, or were stopped.
func (c *Core) settleTrials() {
	for _, pool := range slices.Sorted(maps.Keys(c.trials)) {
		t := c.trials[pool]
		kept := t.running[:0]
		for _, running := range t.running {
			if running.failed {
				c.trialFailed(t, running)
				continue
			}
			if !running.passed && c.now.Sub(running.since) >= trialTime {
				c.trialPassed(t, running)
			}
			if running.isRunning() {
				kept = append(kept, running)
			}
		}
		clear(t.running[len(kept):])
		t.running = kept
	}
}

func (c *Core) trialFailed(t *trials, failed *trial) {
	t.allowed, t.notBefore = 1, c.now.Add(t.pause)
	t.pause = min(2*t.pause, maxTrialPause)
	c.reportTrial(failed, "failed", fmt.Sprintf("next in %d ms", t.notBefore.Sub(c.now).Milliseconds()))
}

func (c *Core) trialPassed(t *trials, passed *trial) {
	passed.passed = true
	t.allowed, t.pause = min(2*t.allowed, maxTrials), firstTrialPause
	c.reportTrial(passed, "passed", fmt.Sprintf("%d at the same time from now on", t.allowed))
}

func (t *trial) isRunning() bool {
	for i := range t.step.tasks {
		for _, r := range t.step.tasks[i].runs {
			if r.attempt == t.attempt {
				return true
			}
		}
	}
	return false
}

// compareDoubt sorts the workers that are least likely to be unsound first, for a trial.
func compareDoubt(u *pendingStep, a, b *workerCapacity) int {
	if !u.trial {
		return 0
	}
	return cmp.Compare(a.doubt.unsound, b.doubt.unsound)
}
