package dispatch

import (
	"math"
	"time"
)

// estimates predicts run times from what is declared and from what tasks of the
// same image, or of the same queue, really took. Declared times are far off on
// some queues and good on others. Trusted everywhere, a declared time five times too
// long has a gang wait for its rack as long; trusting none throws away what good ones
// say. So each is weighed by how far it was off.
type estimates struct {
	seen map[string]*history
	// learned counts observations: what was worked out for a step holds until the next
	// one. Working it out for every run in every round took a fifth of a round's time.
	learned uint64
	// asDeclared trusts what is declared.
	asDeclared bool
}

// history is what was seen of one image or queue. Times are in logarithms: run
// times and errors are factors.
type history struct {
	count float64
	// took and tookSpread are mean and variance of the run time.
	took, tookSpread float64
	// off and offSpread are mean and variance of the run time over what was
	// declared.
	off, offSpread float64
}

func newEstimates() estimates { return estimates{seen: make(map[string]*history)} }

const (
	// learnWeight is the weight of the newest observation once there are many: it
	// follows a change of load within some tasks, and one outlier moves little.
	learnWeight = 0.1
	// maxOff bounds, as a logarithm, what one observation can say.
	maxOff = 2.3
	// trustAfter observations, the queue's own run times count: a mean of fewer
	// says little.
	trustAfter = 4
)

func estimateKey(s *step) string {
	if s.spec.Image != "" {
		return "image " + s.spec.Image
	}
	return "queue " + s.job.Queue
}

// learn takes in how long a task took that ran from its start to its end.
func (e *estimates) learn(s *step, took time.Duration, percentAtStart int) {
	if s.spec.EstimateMS <= 0 || took <= 0 || percentAtStart > 0 {
		return
	}
	key := estimateKey(s)
	h := e.seen[key]
	if h == nil {
		h = &history{}
		e.seen[key] = h
	}
	h.count++
	e.learned++
	weight := max(learnWeight, 1/h.count)
	logTook := math.Log(float64(took.Milliseconds() + 1))
	observe(&h.took, &h.tookSpread, logTook, weight)
	off := logTook - math.Log(float64(s.spec.EstimateMS))
	observe(&h.off, &h.offSpread, max(-maxOff, min(maxOff, off)), weight)
}

// observe moves a mean and its variance towards a value.
func observe(mean, spread *float64, value, weight float64) {
	difference := value - *mean
	*mean += weight * difference
	*spread = (1 - weight) * (*spread + weight*difference*difference)
}

// of is the expected run time of a task of the step: the declared time, corrected
// by what it was off so far, and the usual run time, each the more the less it
// strayed.
func (e *estimates) of(s *step) time.Duration {
	if s.length == 0 || s.lengthAt != e.learned {
		s.length, s.lengthAt = e.workOut(s), e.learned
	}
	return s.length
}

func (e *estimates) workOut(s *step) time.Duration {
	declared := math.Log(float64(max(s.spec.EstimateMS, 100)))
	h := e.seen[estimateKey(s)]
	if h == nil || e.asDeclared {
		return fromLog(declared)
	}
	corrected := declared + h.off
	if total := h.tookSpread + h.offSpread; h.count >= trustAfter && total > 0 {
		trust := h.tookSpread / total
		corrected = trust*corrected + (1-trust)*h.took
	}
	return fromLog(corrected)
}

func fromLog(ms float64) time.Duration { return time.Duration(math.Exp(ms)) * time.Millisecond }

// left is how long a run will take yet.
func (e *estimates) left(r *run, now time.Time) time.Duration {
	ran := now.Sub(r.since)
	if done := r.percent - r.percentAtStart; done >= minProgress {
		return time.Duration(float64(ran) * float64(100-r.percent) / float64(done))
	}
	return max(e.of(r.task.step)-ran, minLeft)
}

const (
	// minProgress is the percent from which a run's own pace is believed.
	minProgress = 10
	// minLeft is assumed of a run that has outlasted its estimate.
	minLeft = 300 * time.Millisecond
)
