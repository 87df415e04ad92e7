package emulator

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/measure"
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
