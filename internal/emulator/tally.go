package emulator

import (
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/measure"
	"github.com/corianderbank/corianderbank/internal/quarantine"
	"github.com/corianderbank/corianderbank/internal/workload"
)

const (
	// lateFactor is the multiple of its objective up to which a job has its late value.
	lateFactor = 3
	// acceleratorCores is the weight of an accelerator in cores.
	acceleratorCores = 8
	// windowLength is the length of the windows by which jobs are grouped;
	// worstWindowCount is the number of worst windows whose ratios are averaged.
	windowLength     = 2 * time.Second
	worstWindowCount = 2
	// drainTolerance is the time after the drain of a zone in which starts there are
	// allowed: until the leader receives the drain, and for orders in flight.
	drainTolerance = drainLatency + time.Second
)

// tally accumulates the results of a simulation.
type tally struct {
	jobs                   []*arrival
	completedAt, startedAt map[*arrival]time.Duration
	// failed holds the jobs that failed permanently.
	failed map[*arrival]bool
	// runningAtEnd holds the jobs that run at the end of the simulation.
	runningAtEnd map[*arrival]bool
	// crashesByJob counts the workers that a job crashed.
	crashesByJob map[*arrival]int
	// wastedWork is measured in core-seconds.
	wastedWork float64
	preempted  int
	// longestStand is the longest time for which a step stood beside free capacity.
	longestStand time.Duration
	// drainedStarts counts starts in zones that had been drained for drainTolerance.
	drainedStarts int
	// acknowledged holds the tasks whose successful completion was acknowledged to the
	// worker.
	acknowledged map[workload.TaskID]bool
	// startsAfterCompletion counts starts of such tasks, startsAfterShown starts of jobs that
	// callers were shown as completed, concurrentRuns starts of tasks that were running, and
	// startsOverCapacity those that exceeded a worker's capacity.
	startsAfterCompletion, startsAfterShown, concurrentRuns, startsOverCapacity int
	// workerCrashes counts crashes of workers; wronglyFailed counts jobs that failed
	// permanently because of crashes that they had not caused.
	workerCrashes, wronglyFailed int
	overall                      score
	byClass                      map[jobClass]*score
	byZone                       map[int]*score
	byAccount                    map[string]*score
	byWindow                     map[int]*score
	// urgentWaits holds the times from submission to start of urgent jobs, in seconds.
	urgentWaits []float64
	// value is the weighted value by the deployment's Weights.
	value float64
}

func newTally() tally {
	return tally{
		completedAt: make(map[*arrival]time.Duration), startedAt: make(map[*arrival]time.Duration), byClass: make(map[jobClass]*score),
		runningAtEnd: make(map[*arrival]bool),
		acknowledged: make(map[workload.TaskID]bool),
		failed:       make(map[*arrival]bool), crashesByJob: make(map[*arrival]int), byZone: make(map[int]*score), byAccount: make(map[string]*score), byWindow: make(map[int]*score),
	}
}

// score holds the earned and the possible value of a group of jobs.
type score struct {
	earned, possible float64
}

func (s *score) add(earned, possible float64) {
	s.earned += earned
	s.possible += possible
}

func (s score) ratio() float64 {
	if s.possible == 0 {
		return 1
	}
	return s.earned / s.possible
}

func (t *tally) recordStart(a *arrival, at time.Duration) {
	if _, recorded := t.startedAt[a]; !recorded {
		t.startedAt[a] = at
	}
}

func (t *tally) recordAcknowledged(task workload.TaskID) { t.acknowledged[task] = true }

// recordCompletion records that callers are shown a job as completed from now on.
func (t *tally) recordCompletion(a *arrival, at time.Duration) {
	if _, recorded := t.completedAt[a]; !recorded {
		t.completedAt[a] = at
	}
}

// recordFailure records a job that is stored as failed, and counts it as wrongly failed
// if the reason is crashes that it did not cause.
func (t *tally) recordFailure(a *arrival, record *dispatch.Record) {
	if record.Final != dispatch.FinalFailed {
		return
	}
	t.failed[a] = true
	if a.crashing {
		return
	}
	for name := range record.Crashed {
		if record.Crashes(name).Decide() == quarantine.Abandon {
			t.wronglyFailed++
			return
		}
	}
}

// recordWaste counts the work of a run that did not complete and, unless its gang has
// already ended, of the other members of the gang. Work before the start of a run and
// runs of jobs that checkpoint are not counted.
func (t *tally) recordWaste(r *run) {
	step := &r.job.job.Steps[0]
	if step.Checkpoints {
		return
	}
	need := step.Need
	cores := float64(need.MilliCPU)/1000 + acceleratorCores*float64(need.Accelerators)
	t.wastedWork += (r.workDone - r.resumedWork).Seconds() * cores
	if r.gang == nil || r.gang.ended {
		return
	}
	for _, m := range r.gang.members {
		if m.run != r {
			t.wastedWork += (m.workDone - m.resumedWork).Seconds() * cores
		}
	}
}

// close computes the scores. Every job that can complete and was not cancelled counts
// with its value.
func (t *tally) close(d *Deployment, list []*arrival) {
	t.jobs = list
	for _, a := range list {
		if a.cancelAt > 0 || a.poison || a.crashing {
			continue
		}
		value := t.earnedBy(a)
		t.overall.add(value, a.value)
		scoreOf(t.byClass, a.kind.Class).add(value, a.value)
		scoreOf(t.byZone, a.zone).add(value, a.value)
		scoreOf(t.byAccount, a.job.Account).add(value, a.value)
		scoreOf(t.byWindow, int(a.submitAt/windowLength)).add(value, a.value)
		if start, ok := t.startedAt[a]; ok && a.kind.Class == classUrgent {
			t.urgentWaits = append(t.urgentWaits, (start - a.submitAt).Seconds())
		}
	}
	slices.Sort(t.urgentWaits)
	w := d.Weights
	sum := w.Overall*t.overall.ratio() + w.Windows*meanOfWorst(t.byWindow, worstWindowCount) + w.Kind*meanOfWorst(t.byClass, 1) +
		w.Zone*meanOfWorst(t.byZone, 1) + w.Account*meanOfWorst(t.byAccount, 1)
	t.value = sum/(w.Overall+w.Windows+w.Kind+w.Zone+w.Account) - w.Waste*t.wastedWork/1000
}

func scoreOf[K comparable](scores map[K]*score, key K) *score {
	if scores[key] == nil {
		scores[key] = &score{}
	}
	return scores[key]
}

// meanOfWorst returns the mean of the n lowest ratios.
func meanOfWorst[K comparable](scores map[K]*score, n int) float64 {
	var ratios []float64
	for _, s := range scores {
		ratios = append(ratios, s.ratio())
	}
	slices.Sort(ratios)
	n = min(n, len(ratios))
	sum := 0.0
	for _, r := range ratios[:n] {
		sum += r / float64(n)
	}
	return sum
}

func (t *tally) earnedBy(a *arrival) float64 {
	end, ok := t.completedAt[a]
	switch took := end - a.submitAt; {
	case !ok || took > lateFactor*a.objective:
		return 0
	case took > a.objective:
		return a.value * a.kind.LateValue / a.kind.Value
	}
	return a.value
}

// figures returns the published figures of a simulation.
func (t *tally) figures() []measure.Figure {
	list := []measure.Figure{
		{Name: "value", Value: 100 * t.value, Unit: "%"},
		{Name: "earned", Value: 100 * t.overall.ratio(), Unit: "%"},
		{Name: "worst windows", Value: 100 * meanOfWorst(t.byWindow, worstWindowCount), Unit: "%"},
	}
	for _, c := range jobClasses() {
		list = append(list, measure.Figure{Name: string(c) + " earned", Value: 100 * scoreOf(t.byClass, c).ratio(), Unit: "%"})
	}
	return append(
		list,
		measure.Figure{Name: "worst zone", Value: 100 * meanOfWorst(t.byZone, 1), Unit: "%"},
		measure.Figure{Name: "urgent start p95", Value: quantile(t.urgentWaits, 0.95), Unit: "s"},
		measure.Figure{Name: "thrown away", Value: t.wastedWork / 1000, Unit: "1000 core-s"},
		measure.Figure{Name: "preempted", Value: float64(t.preempted), Unit: "runs"},
		measure.Figure{Name: "longest stand", Value: t.longestStand.Seconds(), Unit: "s"},
		measure.Figure{Name: "workers crashed", Value: float64(t.workerCrashes), Unit: "lives"},
		measure.Figure{Name: "wrongly given up", Value: float64(t.wronglyFailed), Unit: "jobs"},
	)
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
