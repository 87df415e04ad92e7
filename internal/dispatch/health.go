package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// health tells a sick worker from a sick job: work of several jobs that fails
// one after the other blames the worker, the same job failing on several
// workers blames the job.
type health struct {
	// failedJobs are the jobs that failed here since the last success.
	failedJobs []string
	lastFailed time.Time
}

const (
	// suspectAfter failures of different jobs in a row, a worker is suspect.
	// One may be the job's own fault.
	suspectAfter = 2
	// distrustFor is how long a suspect worker gets nothing new: faults that
	// pass do so within some seconds. After it one more failure renews it.
	distrustFor = 5 * time.Second
)

func (h *health) ended(e workload.Ended, now time.Time) {
	switch e.Kind {
	case workload.EndDone:
		h.failedJobs = nil
	case workload.EndFailed:
		h.lastFailed = now
		if !slices.Contains(h.failedJobs, e.Task.Job) {
			h.failedJobs = append(h.failedJobs, e.Task.Job)
		}
	}
}

func (h *health) suspect(now time.Time) bool {
	return len(h.failedJobs) >= suspectAfter && now.Sub(h.lastFailed) < distrustFor
}

// estimates corrects declared run times by what tasks of the same image, or of
// the same queue, really took.
type estimates struct {
	// ratio is the moving mean of the logarithm of real over declared.
	ratio map[string]float64
}

func newEstimates() estimates { return estimates{ratio: make(map[string]float64)} }

// learnWeight is the weight of the newest observation. A fifth follows a change
// of load within a few tasks, and one outlier moves the estimate little.
const learnWeight = 0.2

// maxRatio bounds, as a logarithm, what one observation can say.
const maxRatio = 2.3

func estimateKey(s *step) string {
	if s.spec.Image != "" {
		return "image " + s.spec.Image
	}
	return "queue " + s.job.Queue
}

func (e *estimates) learn(s *step, took time.Duration, percentAtStart int) {
	if s.spec.EstimateMS <= 0 || took <= 0 || percentAtStart > 0 {
		return
	}
	seen := math.Log(float64(took.Milliseconds()+1) / float64(s.spec.EstimateMS))
	seen = max(-maxRatio, min(maxRatio, seen))
	key := estimateKey(s)
	e.ratio[key] += learnWeight * (seen - e.ratio[key])
}

// of is the corrected run time of a task of the step.
func (e *estimates) of(s *step) time.Duration {
	declared := max(s.spec.EstimateMS, 100)
	return time.Duration(float64(declared)*math.Exp(e.ratio[estimateKey(s)])) * time.Millisecond
}

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
