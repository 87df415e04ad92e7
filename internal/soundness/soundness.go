// Package soundness estimates how likely it is that a worker is unsound, that is, fails what
// it is given because of itself. It is pure: times are passed in.
//
// Load: a worker that fails each run at once is free again at once and takes the next work, so
// that one such worker uses up the attempts of many jobs. Without the comparison with other
// workers, a faulty job that fails everywhere would make each of its workers look unsound.
package soundness

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// priorUnsound is the share of workers that are unsound.
	priorUnsound = 0.02
	// priorFaulty is the share of jobs whose runs fail on every worker.
	priorFaulty = 0.05
	// chanceFailure is the probability that a run of a sound job fails on a sound worker.
	chanceFailure = 0.02
	// certainFailure is the probability that a run fails that fails because of its job, or on a
	// worker that fails everything, and partialFailure that on a worker that fails part.
	certainFailure = 0.95
	partialFailure = 0.5
	// halfLife is the age at which evidence counts half.
	halfLife = 5 * time.Minute
	// maxLogOdds bounds the evidence against a worker, so that some successes can outweigh it.
	maxLogOdds = 4.0
	// maxEnds bounds the ends of one kind that count, so that no likelihood underflows to zero.
	maxEnds = 100
	// maxFaultyLogOdds bounds the logarithm of the odds that a job is faulty.
	maxFaultyLogOdds = 20.0
)

// Step identifies a step of a job; its runs behave alike.
type Step struct {
	Job              string
	Occurrence, Step int
}

// ends counts the ended runs of one step on one worker. Those in outdated succeeded but began
// before the worker's last failure, so that they say nothing about what it does with new runs.
type ends struct {
	failed, done, outdated int
	at                     time.Time
}

// earlier is evidence whose runs are no longer known one by one.
type earlier struct {
	logOdds float64
	at      time.Time
}

// worker is what is known about a worker with failed runs.
type worker struct {
	// steps lists the steps with ended runs on the worker since its first failed run.
	steps      []Step
	earlier    earlier
	lastFailed time.Time
	// changed is set if ends of one of the steps were recorded since the last assessment.
	changed bool
}

// tally holds the ends of the runs of one step. The workers are listed in the order of their first
// ends, so that sums are the same for the same events.
type tally struct {
	workers  []string
	byWorker map[string]*ends
}

// Tracker collects the ends of runs. It is not safe for concurrent use.
type Tracker struct {
	steps   map[Step]*tally
	workers map[string]*worker
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{steps: make(map[Step]*tally), workers: make(map[string]*worker)}
}

// Record records the end of a run that began at the given time, and reports whether it is evidence
// for or against the worker.
func (t *Tracker) Record(id string, s Step, failed bool, began, now time.Time) bool {
	e := t.endsOf(id, s)
	w := t.workers[id]
	switch {
	case failed:
		e.failed++
		if w == nil {
			w = &worker{}
			t.workers[id] = w
		}
		w.lastFailed = now
	case w != nil && !began.After(w.lastFailed):
		e.outdated++
		return false
	default:
		e.done++
	}
	e.at = now
	if w != nil && !slices.Contains(w.steps, s) {
		w.steps = append(w.steps, s)
	}
	t.markChanged(s)
	return true
}

// markChanged marks the workers whose evidence depends on a step.
func (t *Tracker) markChanged(s Step) {
	for _, id := range t.steps[s].workers {
		if w := t.workers[id]; w != nil {
			w.changed = true
		}
	}
}

// Changed reports whether the evidence about a worker has changed since the last call.
func (t *Tracker) Changed(id string) bool {
	w := t.workers[id]
	if w == nil {
		return false
	}
	changed := w.changed
	w.changed = false
	return changed
}

// endsOf returns the ends of a step on a worker, which it adds if there are none.
func (t *Tracker) endsOf(id string, s Step) *ends {
	step := t.steps[s]
	if step == nil {
		step = &tally{byWorker: make(map[string]*ends)}
		t.steps[s] = step
	}
	e := step.byWorker[id]
	if e == nil {
		e = &ends{}
		step.byWorker[id] = e
		step.workers = append(step.workers, id)
	}
	return e
}

// Forget replaces the ends of a step's runs by the evidence that follows from them.
func (t *Tracker) Forget(s Step, now time.Time) {
	step := t.steps[s]
	if step == nil {
		return
	}
	for _, id := range step.workers {
		w := t.workers[id]
		if w == nil {
			continue
		}
		if at := slices.Index(w.steps, s); at >= 0 {
			w.add(t.evidence(id, s, now), now)
			w.steps = slices.Delete(w.steps, at, at+1)
		}
	}
	delete(t.steps, s)
}

// Restore gives a worker the probability of being unsound that an earlier leader found.
func (t *Tracker) Restore(id string, unsound float64, now time.Time) {
	w := &worker{}
	w.add(math.Log(unsound/(1-unsound))-priorLogOdds(), now)
	t.workers[id] = w
}

// HasFailed reports whether a run has failed on a worker.
func (t *Tracker) HasFailed(id string) bool { return t.workers[id] != nil }

// Halve halves the evidence about a worker that has restarted: its next incarnation may have
// another cause to fail, or none.
func (t *Tracker) Halve(id string, now time.Time) {
	if t.workers[id] == nil {
		return
	}
	kept := (t.logOddsOf(id, now, func(Step) bool { return true }) - priorLogOdds()) / 2
	t.workers[id] = &worker{earlier: earlier{kept, now}}
}

// Remove drops what is known about a worker that no longer exists.
func (t *Tracker) Remove(id string) { delete(t.workers, id) }

// Failed returns the workers with failed runs, sorted.
func (t *Tracker) Failed() []string { return slices.Sorted(maps.Keys(t.workers)) }

// add adds evidence that is no longer tied to a step.
func (w *worker) add(logOdds float64, now time.Time) {
	sum := w.earlier.logOdds*fade(now.Sub(w.earlier.at)) + logOdds
	w.earlier = earlier{min(max(sum, -maxLogOdds), maxLogOdds-priorLogOdds()), now}
}

func fade(age time.Duration) float64 { return math.Exp2(-max(age, 0).Seconds() / halfLife.Seconds()) }

func priorLogOdds() float64 { return math.Log(priorUnsound / (1 - priorUnsound)) }

// Unsound returns the probability that a worker is unsound.
func (t *Tracker) Unsound(id string, now time.Time) float64 {
	return t.unsound(id, now, func(Step) bool { return true })
}

// UnsoundWithout works like Unsound without the evidence of one job.
func (t *Tracker) UnsoundWithout(id, job string, now time.Time) float64 {
	return t.unsound(id, now, func(s Step) bool { return s.Job != job })
}

func (t *Tracker) unsound(id string, now time.Time, counts func(Step) bool) float64 {
	return probability(t.logOddsOf(id, now, counts))
}

// logOddsOf returns the logarithm of the odds that a worker is unsound by the matching steps.
func (t *Tracker) logOddsOf(id string, now time.Time, counts func(Step) bool) float64 {
	w := t.workers[id]
	if w == nil {
		return priorLogOdds()
	}
	sum := priorLogOdds() + w.earlier.logOdds*fade(now.Sub(w.earlier.at))
	for _, s := range w.steps {
		if counts(s) {
			sum += t.evidence(id, s, now)
		}
	}
	return min(sum, maxLogOdds)
}

func probability(logOdds float64) float64 { return 1 / (1 + math.Exp(-logOdds)) }

// evidence returns what the ends of a step's runs on a worker say about the worker, as the
// logarithm of a likelihood ratio.
func (t *Tracker) evidence(id string, s Step, now time.Time) float64 {
	here := t.steps[s].byWorker[id]
	faulty := probability(t.faultyLogOdds(id, s))
	because := faulty * likelihood(here, certainFailure)
	sound := because + (1-faulty)*likelihood(here, chanceFailure)
	unsound := because + (1-faulty)*(likelihood(here, certainFailure)+likelihood(here, partialFailure))/2
	return math.Log(unsound/sound) * fade(now.Sub(here.at))
}

// faultyLogOdds returns the logarithm of the odds that a step fails on every worker, from its
// ends on others. Failures on a worker that also failed other jobs say little about the step.
func (t *Tracker) faultyLogOdds(except string, s Step) float64 {
	sum := math.Log(priorFaulty / (1 - priorFaulty))
	step := t.steps[s]
	for _, id := range step.workers {
		if id == except {
			continue
		}
		e := step.byWorker[id]
		sum += float64(e.done+e.outdated) * math.Log((1-certainFailure)/(1-chanceFailure))
		if e.failed > 0 && !t.failedOthers(id, s) {
			sum += math.Log(certainFailure / chanceFailure)
		}
	}
	return min(max(sum, -maxFaultyLogOdds), maxFaultyLogOdds)
}

// failedOthers reports whether a worker failed other steps as well.
func (t *Tracker) failedOthers(id string, s Step) bool {
	w := t.workers[id]
	if w == nil {
		return false
	}
	if w.earlier.logOdds > 0 {
		return true
	}
	return slices.ContainsFunc(w.steps, func(other Step) bool {
		return other != s && t.steps[other].byWorker[id].failed > 0
	})
}

// likelihood returns the probability of the ends if each run fails with the given probability.
func likelihood(e *ends, failure float64) float64 {
	return math.Pow(failure, float64(min(e.failed, maxEnds))) * math.Pow(1-failure, float64(min(e.done, maxEnds)))
}
