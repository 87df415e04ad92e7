package emulator

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/measure"
	"github.com/corianderbank/corianderbank/internal/quarantine"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// findByName returns the element of a list with the given name.
func findByName[T any](t *testing.T, list []T, err error, name string, nameOf func(T) string) *T {
	t.Helper()
	assert.NilError(t, err)
	for i := range list {
		if nameOf(list[i]) == name {
			return &list[i]
		}
	}
	t.Fatalf("no element is named %q", name)
	return nil
}

func loadDeployment(t *testing.T, name string) *Deployment {
	t.Helper()
	list, err := Deployments()
	return findByName(t, list, err, name, func(d Deployment) string { return d.Name })
}

func loadDay(t *testing.T, name string) *Day {
	t.Helper()
	list, err := Days()
	return findByName(t, list, err, name, func(d Day) string { return d.Name })
}

func TestSameSeedGivesSameFigures(t *testing.T) {
	d, day := loadDeployment(t, "klaverveld"), loadDay(t, "calm, with a burst of urgent jobs")
	first, second := simulate(d, day, dispatch.Tuning{}, 7).figures(), simulate(d, day, dispatch.Tuning{}, 7).figures()
	assert.Assert(t, reflect.DeepEqual(first, second), "%v and %v", first, second)
}

// outlastsTheDay reports whether a job is in its first run at the end of the day, and that run is
// not overdue: a gang wider than a rack runs three times as long as its work, and longer on slow
// workers.
func (t *tally) outlastsTheDay(d *Deployment, a *arrival) bool {
	longest := float64(slices.Max(a.work)) * d.RemoteFactor / slices.Min(d.Speeds)
	return t.runningAtEnd[a] && a.startedRuns == 1 && t.startedAt[a]+time.Duration(longest) > arrivalPeriod+completionPeriod
}

func TestEveryJobOfACalmDayCompletes(t *testing.T) {
	for _, name := range []string{"klaverveld", "lankapowder", "estribo"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := loadDeployment(t, name)
			tally := simulate(d, loadDay(t, "calm, with a burst of urgent jobs"), dispatch.Tuning{}, 3)
			for _, a := range tally.jobs {
				_, completed := tally.completedAt[a]
				assert.Assert(t, completed || tally.outlastsTheDay(d, a) || a.cancelAt > 0, "job %s of %s, submitted at %v", a.job.ID, a.kind.Queue, a.submitAt)
			}
		})
	}
}

// Guards against changes that reduce the value callers get on a heavy day, by class of
// job. Each bound is a few percent below the mean of these simulations.
func TestWhatCallersGetOnAHeavyDay(t *testing.T) {
	d, day := loadDeployment(t, "klaverveld"), loadDay(t, "heavy, with a burst of urgent jobs")
	minimum := map[string]float64{"urgent earned": 87, "large earned": 58, "small earned": 80}
	const seeds = 3
	means := make(map[string]float64)
	results := make(chan []measure.Figure, seeds)
	for n := range uint64(seeds) {
		go func() { results <- simulate(d, day, dispatch.Tuning{}, 5+n).figures() }()
	}
	for range seeds {
		for _, figure := range <-results {
			means[figure.Name] += figure.Value / seeds
		}
	}
	for name, bound := range minimum {
		assert.Assert(t, means[name] >= bound, "%s: %.1f, at least %.1f", name, means[name], bound)
	}
}

// No work may start in a drained zone under any leader: the second drain outlasts a
// leader change.
func TestNothingStartsInADrainedZone(t *testing.T) {
	day := loadDay(t, "a zone is drained")
	for _, name := range []string{"klaverveld", "estribo"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tally := simulate(loadDeployment(t, name), day, dispatch.Tuning{}, 5)
			assert.Equal(t, tally.drainedStarts, 0)
			assert.Assert(t, len(tally.startedAt) > 0)
		})
	}
}

// Checks that drainedStarts counts the starts in a drained zone, and no others.
func TestStartsInDrainedZonesAreCounted(t *testing.T) {
	d, day := loadDeployment(t, "klaverveld"), loadDay(t, "a zone is drained")
	random := rand.New(rand.NewPCG(1, 1))
	sim := newSimulation(d, day, dispatch.Tuning{}, random)
	a := d.drawArrival(day, &d.Kinds[0], 0, random)
	a.job.ID = "job"
	sim.accept(a)
	sim.now = seconds(day.Drains[0].From) + drainTolerance
	for n, w := range sim.workerList {
		before := sim.tally.drainedStarts
		sim.executeStart(w, workload.Order{Task: workload.TaskID{Job: "job"}, Attempt: int64(n)})
		counted := sim.tally.drainedStarts - before
		assert.Equal(t, counted == 1, w.zone == day.Drains[0].Zone, "worker of zone %d", w.zone)
	}
}

// A job whose runs all fail must end once its attempts are used up, and must not delay
// other jobs of its kind.
func TestPoisonedJobsEndAndOthersComplete(t *testing.T) {
	d := *loadDeployment(t, "klaverveld")
	d.Kinds = append([]Kind{}, d.Kinds...)
	for i := range d.Kinds {
		d.Kinds[i].PoisonShare = 0.1
	}
	tally := simulate(&d, loadDay(t, "calm, with a burst of urgent jobs"), dispatch.Tuning{}, 3)
	poisoned := 0
	for _, a := range tally.jobs {
		if a.poison {
			poisoned++
			runs := a.startedRuns - a.preemptedRuns // a preempted run used up no attempt
			assert.Assert(t, runs <= a.kind.Attempts*a.job.Steps[0].Count, "job %s ran %d times", a.job.ID, runs)
		}
		_, completed := tally.completedAt[a]
		assert.Assert(t, completed || tally.outlastsTheDay(&d, a) || a.poison || a.cancelAt > 0, "job %s of %s, submitted at %v", a.job.ID, a.kind.Queue, a.submitAt)
	}
	assert.Assert(t, poisoned > 0)
}

// No job of this day crashes its workers. When only crashes were counted, healthy jobs
// failed permanently. Each seed below reproduced this on its deployment; for deployments
// that are not listed no such seed was found.
func TestNoHealthyJobFailsWhenPartitionedWorkersCrash(t *testing.T) {
	day := loadDay(t, "workers crash behind cuts")
	for name, seed := range map[string]uint64{"klaverveld": 0, "estribo": 0, "lankapowder": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tally := simulate(loadDeployment(t, name), day, dispatch.Tuning{}, seed)
			assert.Assert(t, tally.workerCrashes > 0)
			assert.Equal(t, tally.wronglyFailed, 0)
		})
	}
}

func TestNoJobCrashesTooManyWorkers(t *testing.T) {
	tally := simulate(loadDeployment(t, "klaverveld"), loadDay(t, "jobs take down their workers"), dispatch.Tuning{}, 3)
	failed := 0
	for a, crashes := range tally.crashesByJob {
		assert.Assert(t, crashes <= 5, "job %s crashed %d workers", a.job.ID, crashes)
		if tally.failed[a] {
			failed++
		}
	}
	assert.Assert(t, failed > 0)
}

// No task may run twice at the same time or after its acknowledged completion, no worker
// may exceed its capacity, and accepted jobs end or run, also when workers return under the ids
// that they had.
func TestWorkersThatReturnUnderTheirIDsRunNothingTwice(t *testing.T) {
	day := loadDay(t, "workers return under their ids")
	for _, name := range []string{"klaverveld", "lankapowder"} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s %d", name, seed), func(t *testing.T) {
				t.Parallel()
				tally := simulate(loadDeployment(t, name), day, dispatch.Tuning{}, seed)
				assert.Assert(t, tally.workerCrashes > 10, "%d crashes", tally.workerCrashes)
				assert.Equal(t, tally.concurrentRuns, 0)
				assert.Equal(t, tally.startsAfterCompletion, 0)
				assert.Equal(t, tally.startsOverCapacity, 0)
				for job, crashes := range tally.crashesByJob {
					assert.Assert(t, crashes <= quarantine.LossLimit, "job %s crashed %d workers", job.job.ID, crashes)
				}
				for _, a := range tally.jobs {
					_, completed := tally.completedAt[a]
					assert.Assert(t, completed || a.cancelAt > 0 || tally.failed[a] || tally.runningAtEnd[a], "job %s of %s", a.job.ID, a.kind.Queue)
				}
			})
		}
	}
}

// All instances restart in an outage of the store, and workers that list ends crash. Only what is stored
// is left.
func TestJobsThatWereShownAsCompletedDoNotRunAgainAfterARestart(t *testing.T) {
	day := loadDay(t, "all instances restart while the store is away")
	for _, name := range []string{"klaverveld", "lankapowder", "estribo"} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s %d", name, seed), func(t *testing.T) {
				t.Parallel()
				tally := simulate(loadDeployment(t, name), day, dispatch.Tuning{}, seed)
				assert.Assert(t, tally.workerCrashes > 10, "%d crashes", tally.workerCrashes)
				assert.Equal(t, tally.startsAfterShown, 0)
				assert.Equal(t, tally.startsAfterCompletion, 0)
				assert.Equal(t, tally.concurrentRuns, 0)
			})
		}
	}
}
