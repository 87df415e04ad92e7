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

// simulatePattern simulates a pattern once and returns its figures.
func simulatePattern(t *testing.T, pattern string, d Deployment, policy Policy) measure.Row {
	t.Helper()
	return measure.Row{Figures: simulate(patternNamed(t, pattern), &d, policy, testSeed).figures()}
}

func figureValue(t *testing.T, row measure.Row, name string) float64 {
	t.Helper()
	v, ok := row.Find(name)
	assert.Assert(t, ok, name)
	return v
}

func TestSameSeedSameFigures(t *testing.T) {
	d := Deployments()[0]
	assert.DeepEqual(t, simulatePattern(t, "burst of large", d, &product{}), simulatePattern(t, "burst of large", d, &product{}))
}

func TestProductMeetsTargetsAtSaturation(t *testing.T) {
	for _, d := range Deployments() {
		t.Run(d.Name, func(t *testing.T) {
			productRow := simulatePattern(t, "saturation 1", d, &product{})
			baselineRow := simulatePattern(t, "saturation 1", d, &firstFit{})
			assert.Assert(t, figureValue(t, productRow, "slowdown p99") < 0.7*figureValue(t, baselineRow, "slowdown p99"))
			assert.Assert(t, figureValue(t, productRow, "urgent start p99") < reclaim.UrgentStartLimit.Seconds())
			assert.Equal(t, figureValue(t, productRow, "unfinished"), 0.0)
		})
	}
}

// TestFirstFitKeepsGangInOneRackWithinCapacity checks the placement of the
// baseline, because an incorrect baseline would make the comparison unfair.
func TestFirstFitKeepsGangInOneRackWithinCapacity(t *testing.T) {
	d := Deployments()[0]
	free := make([]int, len(d.Workers))
	for i := range free {
		free[i] = 3
	}
	free[8], free[9] = 8, 8
	tasks := placeFirstFit(d.Workers, free, sameRackShape(2, 8))
	assert.Equal(t, len(tasks), 2)
	assert.Equal(t, tasks[0].Worker, "w008")
	assert.Assert(t, placeFirstFit(d.Workers, free, sameRackShape(3, 8)) == nil)
}

func TestPatternsOfferAtLeastTheirLoad(t *testing.T) {
	d := Deployments()[0]
	for _, p := range Patterns() {
		work := 0.0
		for _, a := range generate(p, &d, testSeed).arrivals {
			assert.Assert(t, a.runTime > 0 && a.at >= 0 && a.at <= horizon && a.spec.DeclaredRunTime > 0)
			work += float64(a.spec.Shape.Accelerators()) * a.runTime.Seconds()
		}
		offered := work / (float64(d.capacity()) * horizon.Seconds())
		assert.Assert(t, offered >= p.load, "%s offers %v", p.Name, offered)
	}
	assert.Assert(t, horizon > time.Hour)
}
