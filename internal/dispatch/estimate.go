package dispatch

import (
	"math"
	"time"
)

// estimates predicts run times from declared times and from the observed run times of tasks
// with the same image or of the same queue. Declared times are far off on some queues and
// accurate on others. If they were always trusted, a declaration five times too long would make
// a gang wait five times too long for its rack; if they were never trusted, accurate
// declarations would be lost. Each source is therefore weighted by its observed variance.
type estimates struct {
	histories map[string]*history
	// observations counts observations and applied tunings: a computed duration is valid until
	// the next one. Computing it for every run in every round took a fifth of the round's time.
	observations uint64
	// trustDeclared disables the corrections.
	trustDeclared bool
}

// history holds the observations of one image or queue. recent are the newest ones, and base the
// moments without them: where workers have unequal speeds, the speed of a run's worker may be
// known only later.
type history struct {
	moments
	base   moments
	recent []runObservation
}

// runObservation is the run time of a completed run, and the workers of its gang or its own.
type runObservation struct {
	runTime, declared time.Duration
	workers           []*worker
}

// moments summarizes observed run times. Times are logarithms, because run times and errors vary
// by factors.
type moments struct {
	count float64
	// runTime and runTimeVariance are the mean and variance of the run time.
	runTime, runTimeVariance float64
	// declaredError and declaredErrorVariance are the mean and variance of the ratio of actual
	// to declared run time.
	declaredError, declaredErrorVariance float64
}

func newEstimates() estimates { return estimates{histories: make(map[string]*history)} }

const (
	// minObservationWeight is the weight of the newest observation once there are many: it
	// follows load changes within a few tasks while a single outlier has little effect.
	minObservationWeight = 0.1
	// maxLogError bounds the logarithmic error of one observation.
	maxLogError = 2.3
	// minObservations is the number of observations from which observed run times are used: a
	// mean of fewer is unreliable.
	minObservations = 4
)

func estimateKey(s *step) string {
	if s.spec.Image != "" {
		return "image " + s.spec.Image
	}
	return "queue " + s.job.Queue
}

// maxRecentRuns is the number of observations per image or queue that are corrected as speeds
// become known. Older ones have no weight left.
const maxRecentRuns = 32

// learnRunTime records the run time of a task that was observed from start to end.
func (c *Core) learnRunTime(r *run) {
	s, runTime := r.task.step, c.now.Sub(r.since)
	if s.spec.EstimateMS <= 0 || runTime <= 0 || r.initialPercent > 0 {
		return
	}
	h := c.estimates.historyOf(s)
	o := runObservation{runTime: runTime, declared: time.Duration(s.spec.EstimateMS) * time.Millisecond, workers: []*worker{r.worker}}
	if r.gang != nil {
		o.workers = o.workers[:0]
		s.eachMember(r.gang, func(member *run) { o.workers = append(o.workers, member.worker) })
	}
	h.addRecent(o, c)
	h.learn(time.Duration(float64(runTime)*c.gangSpeed(r)), o.declared)
	c.estimates.observations++
}

// historyOf returns the history that a step's run times belong to.
func (e *estimates) historyOf(s *step) *history {
	key := estimateKey(s)
	h := e.histories[key]
	if h == nil {
		h = &history{}
		e.histories[key] = h
	}
	return h
}

// addRecent keeps an observation, so that it can be corrected.
func (h *history) addRecent(o runObservation, c *Core) {
	if len(h.recent) == 0 {
		h.base = h.moments
	}
	if len(h.recent) == maxRecentRuns {
		h.base.learn(h.recent[0].usualRunTime(c), h.recent[0].declared)
		h.recent = h.recent[1:]
	}
	h.recent = append(h.recent, o)
}

// usualRunTime returns the run time on workers of the usual speed, as their speeds are known now.
func (o *runObservation) usualRunTime(c *Core) time.Duration {
	slowest := math.Inf(1)
	for _, w := range o.workers {
		slowest = min(slowest, c.speedOf(w))
	}
	return time.Duration(float64(o.runTime) * slowest)
}

// correctRunTimes computes the observed run times anew from the speeds that are known now. Without
// it the runs on slow workers that end before their speed is known make all objectives of their
// queue longer, and urgent work starts late as if it were in time.
func (c *Core) correctRunTimes() {
	if !c.speeds.unequal || !c.enabled(MechCorrectedRunTimes) {
		return
	}
	for _, h := range c.estimates.histories {
		if len(h.recent) == 0 {
			continue
		}
		h.moments = h.base
		for i := range h.recent {
			h.learn(h.recent[i].usualRunTime(c), h.recent[i].declared)
		}
	}
}

// learn adds a run time and the declared one.
func (m *moments) learn(runTime, declared time.Duration) {
	m.count++
	weight := max(minObservationWeight, 1/m.count)
	logRunTime := math.Log(float64(runTime.Milliseconds() + 1))
	updateMoments(&m.runTime, &m.runTimeVariance, logRunTime, weight)
	declaredError := logRunTime - math.Log(float64(declared.Milliseconds()))
	updateMoments(&m.declaredError, &m.declaredErrorVariance, max(-maxLogError, min(maxLogError, declaredError)), weight)
}

// updateMoments moves an exponentially weighted mean and variance towards a value.
func updateMoments(mean, variance *float64, value, weight float64) {
	difference := value - *mean
	*mean += weight * difference
	*variance = (1 - weight) * (*variance + weight*difference*difference)
}

// taskDuration returns the expected run time of a task of the step: a weighted mean of the
// declared time, corrected by its average error, and of the usual run time. The source with the
// lower variance has the higher weight.
func (e *estimates) taskDuration(s *step) time.Duration {
	if s.duration == 0 || s.durationAsOf != e.observations {
		s.duration, s.durationAsOf = e.compute(s), e.observations
	}
	return s.duration
}

func (e *estimates) compute(s *step) time.Duration {
	declared := math.Log(float64(max(s.spec.EstimateMS, 100)))
	h := e.histories[estimateKey(s)]
	if h == nil || e.trustDeclared {
		return fromLog(declared)
	}
	corrected := declared + h.declaredError
	if total := h.runTimeVariance + h.declaredErrorVariance; h.count >= minObservations && total > 0 {
		trust := h.runTimeVariance / total
		corrected = trust*corrected + (1-trust)*h.runTime
	}
	return fromLog(corrected)
}

func fromLog(ms float64) time.Duration { return time.Duration(math.Exp(ms)) * time.Millisecond }

// runDuration returns the expected run time of a run from its start, at the speed of its worker or
// of its gang.
func (c *Core) runDuration(r *run) time.Duration {
	return time.Duration(float64(c.estimates.taskDuration(r.task.step)) / c.gangSpeed(r))
}

// remaining returns the expected remaining time of a run. Where workers have unequal speeds, the
// members of a gang wait for the slowest one.
func (c *Core) remaining(r *run) time.Duration {
	g := r.gang
	if g == nil || !c.speeds.unequal {
		return c.remainingAlone(r)
	}
	if g.remainingAsOf != c.sequence {
		g.remaining, g.remainingAsOf = 0, c.sequence
		r.task.step.eachMember(g, func(member *run) { g.remaining = max(g.remaining, c.remainingAlone(member)) })
	}
	return g.remaining
}

// remainingAlone returns the expected remaining time of a run regardless of its gang.
func (c *Core) remainingAlone(r *run) time.Duration {
	ran := c.now.Sub(r.since)
	if done := r.percent - r.initialPercent; done >= minProgress {
		return time.Duration(float64(ran) * float64(100-r.percent) / float64(done))
	}
	return max(c.runDuration(r)-ran, minRemaining)
}

const (
	// minProgress is the progress in percent from which a run's own rate is used.
	minProgress = 10
	// minRemaining is the remaining time assumed for a run that has exceeded its estimate.
	minRemaining = 300 * time.Millisecond
)
