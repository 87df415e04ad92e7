package losses

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Where workers have unequal speeds, the run time on a slow worker is not the work of the
// job: taken for it, a late job seems to have had more time than it had. The tasks of a step
// are alike, so the run times of independent tasks are compared within their step; over a
// whole log that determines the speed of a worker better than a leader could at the time.

const (
	// minComparedRuns is the number of completed runs from which a step's tasks are compared.
	minComparedRuns = 4
	// minSpeedRuns is the number of compared runs from which the speed of a worker counts.
	minSpeedRuns = 2
	// speedPasses is the number of passes: the speeds and the rates of the steps depend on
	// each other.
	speedPasses = 8
	// minSpeedSpread is the standard deviation of the speeds, as logarithms, from which
	// workers count as unequal. The tasks of a step differ by less.
	minSpeedSpread = 0.2
	// usualSpeedRange is the deviation up to which a speed counts as the usual one.
	usualSpeedRange = 0.15
)

// workerSpeeds holds how many times faster than usual the workers are; missing ones have the
// usual speed. It is empty if the workers are equal.
type workerSpeeds map[string]float64

func (s workerSpeeds) of(worker string) float64 {
	if speed, known := s[worker]; known {
		return speed
	}
	return 1
}

// timedRun is a completed run of an independent task.
type timedRun struct {
	worker string
	// duration is the logarithm of the run time.
	duration float64
}

// estimateSpeeds estimates the speeds of the workers from all jobs.
func estimateSpeeds(jobs []*history) workerSpeeds {
	var steps [][]timedRun
	for _, h := range jobs {
		steps = append(steps, h.comparableSteps()...)
	}
	logSpeeds := make(map[string]float64)
	counts := make(map[string]int)
	for range speedPasses {
		observed := make(map[string][]float64)
		for _, runs := range steps {
			work := make([]float64, len(runs))
			for i, r := range runs {
				work[i] = r.duration + logSpeeds[r.worker]
			}
			usual := median(work)
			for _, r := range runs {
				observed[r.worker] = append(observed[r.worker], usual-r.duration)
			}
		}
		for worker, list := range observed {
			counts[worker] = len(list)
			logSpeeds[worker] = median(list)
		}
		center(logSpeeds, counts)
	}
	maps.Copy(logSpeeds, statedSpeeds(jobs, counts))
	return significantSpeeds(logSpeeds, counts)
}

// statedSpeeds returns the logarithms of the speeds that leaders stated with their starts, the
// last one for each worker, and counts them: gangs show their speed too, by their progress, which
// is not in the logs.
func statedSpeeds(jobs []*history, counts map[string]int) map[string]float64 {
	logSpeeds, statedAt := make(map[string]float64), make(map[string]time.Time)
	for _, h := range jobs {
		for _, r := range h.runOrder {
			if r.workerSpeed > 0 && !r.from.Before(statedAt[r.worker]) {
				logSpeeds[r.worker], statedAt[r.worker] = math.Log(r.workerSpeed), r.from
				counts[r.worker] = max(counts[r.worker], minSpeedRuns)
			}
		}
	}
	return logSpeeds
}

// center makes the median speed of the workers with enough runs the usual one: comparisons
// determine only differences.
func center(logSpeeds map[string]float64, counts map[string]int) {
	var observed []float64
	for worker, speed := range logSpeeds {
		if counts[worker] >= minSpeedRuns {
			observed = append(observed, speed)
		}
	}
	if len(observed) == 0 {
		return
	}
	usual := median(observed)
	for worker := range logSpeeds {
		logSpeeds[worker] -= usual
	}
}

// kindWidth is the width, as a logarithm, of the range of speeds in which workers count as of one
// kind; kindPasses is the number of passes in which speeds move towards that of their kind.
const (
	kindWidth  = 0.12
	kindPasses = 10
)

// joinKinds moves each speed towards those of workers of about the same speed. Workers come in a
// few kinds, and the speed of a kind is known better than that of a worker with a few runs.
func joinKinds(logSpeeds map[string]float64) {
	observed := slices.Collect(maps.Values(logSpeeds))
	for worker, speed := range logSpeeds {
		for range kindPasses {
			sum, weights := 0.0, 0.0
			for _, other := range observed {
				difference := (other - speed) / kindWidth
				weight := math.Exp(-difference * difference / 2)
				sum, weights = sum+weight*other, weights+weight
			}
			speed = sum / weights
		}
		logSpeeds[worker] = speed
	}
}

// significantSpeeds returns the speeds that differ from the usual one, or none if the speeds
// spread no more than the tasks of a step do.
func significantSpeeds(logSpeeds map[string]float64, counts map[string]int) workerSpeeds {
	maps.DeleteFunc(logSpeeds, func(worker string, _ float64) bool { return counts[worker] < minSpeedRuns })
	joinKinds(logSpeeds)
	squares, n := 0.0, 0.0
	speeds := make(workerSpeeds)
	for worker, speed := range logSpeeds {
		squares, n = squares+speed*speed, n+1
		if math.Abs(speed) > usualSpeedRange {
			speeds[worker] = math.Exp(speed)
		}
	}
	if n == 0 || math.Sqrt(squares/n) < minSpeedSpread {
		return make(workerSpeeds)
	}
	return speeds
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// comparableSteps returns the completed first runs of the job's independent tasks, by step.
// Members of a gang end together, whatever their speed.
func (h *history) comparableSteps() [][]timedRun {
	byStep := make(map[string][]timedRun)
	var order []string
	for _, r := range h.runOrder {
		if r.completionKind != "done" || r.resumed || h.gangSize(r) > 1 || r.to.Sub(r.from) <= 0 {
			continue
		}
		if byStep[r.step] == nil {
			order = append(order, r.step)
		}
		byStep[r.step] = append(byStep[r.step], timedRun{r.worker, math.Log(r.to.Sub(r.from).Seconds())})
	}
	var steps [][]timedRun
	for _, step := range order {
		if len(byStep[step]) >= minComparedRuns {
			steps = append(steps, byStep[step])
		}
	}
	return steps
}

// gangSize returns the number of runs that share a run's step and attempt.
func (h *history) gangSize(r *run) int { return len(h.gangs[gangKey{r.step, r.attempt}]) }

// speedOf returns the speed of a run's worker, or that of the slowest member of its gang.
func (h *history) speedOf(r *run, speeds workerSpeeds) float64 {
	slowest := speeds.of(r.worker)
	for _, member := range h.gangs[gangKey{r.step, r.attempt}] {
		slowest = min(slowest, speeds.of(member.worker))
	}
	return slowest
}

// usualDuration returns the time that a run would have taken on workers of the usual speed.
func (h *history) usualDuration(r *run, speeds workerSpeeds) time.Duration {
	return time.Duration(float64(r.to.Sub(r.from)) * h.speedOf(r, speeds))
}
