package emulator

import (
	"math/rand/v2"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/measure"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// the finds the one of a list that has a name.
func the[T any](t *testing.T, list []T, err error, name string, nameOf func(T) string) *T {
	t.Helper()
	assert.NilError(t, err)
	for i := range list {
		if nameOf(list[i]) == name {
			return &list[i]
		}
	}
	t.Fatalf("none is named %q", name)
	return nil
}

func deployment(t *testing.T, name string) *Deployment {
	t.Helper()
	list, err := Deployments()
	return the(t, list, err, name, func(d Deployment) string { return d.Name })
}

func day(t *testing.T, name string) *Day {
	t.Helper()
	list, err := Days()
	return the(t, list, err, name, func(d Day) string { return d.Name })
}

func TestTheSameSeedGivesTheSameFigures(t *testing.T) {
	d, p := deployment(t, "klaverveld"), day(t, "calm, with a burst of urgent jobs")
	first, second := play(d, p, dispatch.Tuning{}, 7).figures(), play(d, p, dispatch.Tuning{}, 7).figures()
	assert.Assert(t, reflect.DeepEqual(first, second), "%v and %v", first, second)
}

func TestEveryJobOfACalmDayEnds(t *testing.T) {
	for _, name := range []string{"klaverveld", "lankapowder", "estribo"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tally := play(deployment(t, name), day(t, "calm, with a burst of urgent jobs"), dispatch.Tuning{}, 3)
			for _, a := range tally.jobs {
				_, ended := tally.ends[a]
				assert.Assert(t, ended || a.cancelAt > 0, "job %s of %s, submitted at %v", a.job.ID, a.kind.Queue, a.at)
			}
		})
	}
}

// What callers get of their worth on a heavy day, by kind of job. The bounds are
// some percent below the mean of these plays.
func TestWhatCallersGetOnAHeavyDay(t *testing.T) {
	d, p := deployment(t, "klaverveld"), day(t, "heavy, with a burst of urgent jobs")
	least := map[string]float64{"urgent earned": 87, "large earned": 58, "small earned": 80}
	const seeds = 3
	means := make(map[string]float64)
	results := make(chan []measure.Figure, seeds)
	for n := range uint64(seeds) {
		go func() { results <- play(d, p, dispatch.Tuning{}, 5+n).figures() }()
	}
	for range seeds {
		for _, figure := range <-results {
			means[figure.Name] += figure.Value / seeds
		}
	}
	for name, bound := range least {
		assert.Assert(t, means[name] >= bound, "%s: %.1f, at least %.1f", name, means[name], bound)
	}
}

// A drained zone gets nothing new, whoever leads: the second drain outlasts a change of
// leaders.
func TestNothingStartsInADrainedZone(t *testing.T) {
	p := day(t, "a zone is drained")
	for _, name := range []string{"klaverveld", "estribo"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tally := play(deployment(t, name), p, dispatch.Tuning{}, 5)
			assert.Equal(t, tally.drainedStarts, 0)
			assert.Assert(t, len(tally.starts) > 0)
		})
	}
}

// The count above sees a start in a drained zone, and only there.
func TestTheCountOfStartsInDrainedZonesSeesThem(t *testing.T) {
	d, p := deployment(t, "klaverveld"), day(t, "a zone is drained")
	random := rand.New(rand.NewPCG(1, 1))
	pl := newPlayer(d, p, dispatch.Tuning{}, random)
	a := d.draw(p, &d.Kinds[0], 0, random)
	a.job.ID = "job"
	pl.accept(a)
	pl.now = seconds(p.Drains[0].From) + drainBound
	for n, w := range pl.order {
		before := pl.tally.drainedStarts
		pl.start(w, workload.Order{Task: workload.TaskID{Job: "job"}, Attempt: int64(n)})
		counted := pl.tally.drainedStarts - before
		assert.Equal(t, counted == 1, w.zone == p.Drains[0].Zone, "worker of zone %d", w.zone)
	}
}

// A job of which every run fails ends once its attempts are used up, and others of its
// kind are not held up by it.
func TestAPoisonedJobEndsAndOthersGoOn(t *testing.T) {
	d := *deployment(t, "klaverveld")
	d.Kinds = append([]Kind{}, d.Kinds...)
	for i := range d.Kinds {
		d.Kinds[i].Poison = 0.1
	}
	tally := play(&d, day(t, "calm, with a burst of urgent jobs"), dispatch.Tuning{}, 3)
	poisoned := 0
	for _, a := range tally.jobs {
		if a.poison {
			poisoned++
			assert.Assert(t, a.runs <= a.kind.Attempts*a.job.Steps[0].Count, "job %s ran %d times", a.job.ID, a.runs)
		}
		_, ended := tally.ends[a]
		assert.Assert(t, ended || a.poison || a.cancelAt > 0, "job %s of %s, submitted at %v", a.job.ID, a.kind.Queue, a.at)
	}
	assert.Assert(t, poisoned > 0)
}

// Nobody takes its worker down on this day. On each deployment the seed is one on which
// counting alone gave healthy jobs up, where there was one.
func TestNoHealthyJobIsGivenUpAsWorkersCrashBehindCuts(t *testing.T) {
	p := day(t, "workers crash behind cuts")
	for name, seed := range map[string]uint64{"klaverveld": 0, "estribo": 0, "lankapowder": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tally := play(deployment(t, name), p, dispatch.Tuning{}, seed)
			assert.Assert(t, tally.crashes > 0)
			assert.Equal(t, tally.wronglyGivenUp, 0)
		})
	}
}

func TestNoJobCrashesMoreWorkersThanItMay(t *testing.T) {
	tally := play(deployment(t, "klaverveld"), day(t, "jobs take down their workers"), dispatch.Tuning{}, 3)
	failed := 0
	for a, crashes := range tally.crashesOf {
		assert.Assert(t, crashes <= 5, "job %s crashed %d workers", a.job.ID, crashes)
		if tally.failed[a] {
			failed++
		}
	}
	assert.Assert(t, failed > 0)
}
