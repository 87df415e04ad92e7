package gangload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/measure"
	"github.com/corianderbank/corianderbank/internal/reclaim"
)

const testSeed = 20261202

func patternNamed(t *testing.T, name string) Pattern {
	t.Helper()
	for _, p := range Patterns() {
		if p.Name == name {
			return p
		}
	}
	t.Fatalf("no pattern %q", name)
	return Pattern{}
}

// figuresOf plays one pattern once.
func figuresOf(t *testing.T, pattern string, d Deployment, policy Policy) measure.Row {
	t.Helper()
	return measure.Row{Figures: run(patternNamed(t, pattern), &d, policy, testSeed).figures()}
}

func value(t *testing.T, row measure.Row, name string) float64 {
	t.Helper()
	v, ok := row.Find(name)
	assert.Assert(t, ok, name)
	return v
}

func TestSameSeedSameFigures(t *testing.T) {
	d := Deployments()[0]
	assert.DeepEqual(t, figuresOf(t, "burst of large", d, &product{}), figuresOf(t, "burst of large", d, &product{}))
}

func TestTargetsAtSaturation(t *testing.T) {
	for _, d := range Deployments() {
		t.Run(d.Name, func(t *testing.T) {
			ours := figuresOf(t, "saturation 1", d, &product{})
			theirs := figuresOf(t, "saturation 1", d, &firstFit{})
			assert.Assert(t, value(t, ours, "slowdown p99") < 0.7*value(t, theirs, "slowdown p99"))
			assert.Assert(t, value(t, ours, "urgent start p99") < reclaim.UrgentStart.Seconds())
			assert.Equal(t, value(t, ours, "unfinished"), 0.0)
		})
	}
}

// TestBaselineNeitherSplitsNorOverfills checks the baseline's own placement, so
// that the comparison is fair.
func TestBaselineNeitherSplitsNorOverfills(t *testing.T) {
	d := Deployments()[0]
	free := make([]int, len(d.Workers))
	for i := range free {
		free[i] = 3
	}
	free[8], free[9] = 8, 8
	tasks := fitFirst(d.Workers, free, inRack(2, 8))
	assert.Equal(t, len(tasks), 2)
	assert.Equal(t, tasks[0].Worker, "w008")
	assert.Assert(t, fitFirst(d.Workers, free, inRack(3, 8)) == nil)
}

func TestPatternsOfferTheirLoad(t *testing.T) {
	d := Deployments()[0]
	for _, p := range Patterns() {
		work := 0.0
		for _, a := range generate(p, &d, testSeed).arrivals {
			assert.Assert(t, a.run > 0 && a.at >= 0 && a.at <= horizon && a.job.DeclaredRun > 0)
			work += float64(a.job.Shape.Accelerators()) * a.run.Seconds()
		}
		offered := work / (float64(d.capacity()) * horizon.Seconds())
		assert.Assert(t, offered >= p.load, "%s offers %v", p.Name, offered)
	}
	assert.Assert(t, horizon > time.Hour)
}
