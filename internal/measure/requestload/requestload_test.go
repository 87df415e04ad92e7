package requestload

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/measure"
)

const seed = 1

type caseKey struct{ pattern, deployment, policy string }

// simulatedFigures returns the figures of every case that the tests use. The cases
// are simulated only once and concurrently.
var simulatedFigures = sync.OnceValue(func() map[caseKey]map[string]float64 {
	wanted := map[caseKey]bool{{saturation1, "klaverveld", "slot shares without owner"}: true}
	for _, d := range deployments {
		wanted[caseKey{saturation15, d.name, "first come first served"}] = true
		wanted[caseKey{saturation15, d.name, productPolicy}] = true
		wanted[caseKey{saturation1, d.name, productPolicy}] = true
		wanted[caseKey{saturation3, d.name, productPolicy}] = true
	}
	for _, p := range patterns {
		wanted[caseKey{p.name, deployments[0].name, productPolicy}] = true
	}
	for _, benefit := range decisionBenefits {
		wanted[caseKey{benefit.pattern, benefit.deployment, benefit.alternative}] = true
		wanted[caseKey{benefit.pattern, benefit.deployment, productPolicy}] = true
	}
	var cases []runCase
	for _, c := range allCases() {
		if wanted[caseKey{c.pattern.name, c.deployment.name, c.policy.name}] {
			cases = append(cases, c)
		}
	}
	figures := make(map[caseKey]map[string]float64, len(cases))
	for _, row := range runAll(cases, seed) {
		figures[caseKey{row.Pattern, row.Deployment, row.Policy}] = figuresByName(row)
	}
	return figures
})

func figuresFor(t *testing.T, patternName, deploymentName, policyName string) map[string]float64 {
	t.Helper()
	figures, ok := simulatedFigures()[caseKey{patternName, deploymentName, policyName}]
	assert.Assert(t, ok, "no case %s, %s, %s", patternName, deploymentName, policyName)
	return figures
}

func figuresByName(row measure.Row) map[string]float64 {
	figures := make(map[string]float64, len(row.Figures))
	for _, f := range row.Figures {
		figures[f.Name] = f.Value
	}
	return figures
}

func TestSameSeedSameFigures(t *testing.T) {
	var cases []runCase
	for _, c := range allCases() {
		if c.pattern.name == failingServers && c.policy.name == productPolicy {
			cases = append(cases, c)
		}
	}
	assert.Equal(t, len(cases), len(deployments))
	assert.DeepEqual(t, runAll(cases, seed), runAll(cases, seed))
}

func TestProductHasNoFalseRefusalsOverrunsOrSecondRuns(t *testing.T) {
	for k, figures := range simulatedFigures() {
		if k.policy != productPolicy {
			continue
		}
		for _, name := range []string{figureFalseRefusals, figureOverruns, figureRanTwice} {
			assert.Equal(t, figures[name], 0.0, "%v: %s", k, name)
		}
	}
}

func TestOverrunsAreCounted(t *testing.T) {
	figures := figuresFor(t, saturation1, "klaverveld", "slot shares without owner")
	assert.Assert(t, figures[figureOverruns] > 0)
}

func TestGoodputIsKeptAtThreeTimesSaturation(t *testing.T) {
	for _, d := range deployments {
		at1 := figuresFor(t, saturation1, d.name, productPolicy)[figureGoodput]
		at3 := figuresFor(t, saturation3, d.name, productPolicy)[figureGoodput]
		assert.Assert(t, at3 >= 0.95*at1, "%s: %.1f%% at 3, %.1f%% at 1", d.name, at3, at1)
	}
}

// decisionBenefits lists for each decision a pattern and the figure that the decision
// improves in it. The field alternative is the policy without the decision, or with
// another decision in its place.
var decisionBenefits = map[string]struct {
	pattern, deployment, alternative, figure string
	// lowerIsBetter is set if a lower figure is better.
	lowerIsBetter bool
}{
	"fair queue protects the other accounts":                   {oneBigAccount, "klaverveld", "without fair queue", figureWorstAccount, false},
	"deadline order meets more deadlines":                      {saturation15, "klaverveld", "without deadline order", figureDeadlines, false},
	"shedding keeps goodput":                                   {saturation3, "lankapowder", "without shedding", figureGoodput, false},
	"shedding by deadline slack beats shedding by queue delay": {saturation3, "lankapowder", "shedding by queue delay", figureGoodput, false},
	"ejection avoids a slow server":                            {slowServer, "klaverveld", "without ejection", figureSlowdown, true},
	"ejection avoids failing servers":                          {failingServers, "klaverveld", "without ejection", figureDeadlines, false},
	"ramp-up reduces latency with cold servers":                {newServers, "klaverveld", "without ramp", figureP99, true},
	"slot grants adapt to uneven load":                         {unevenEntries, "klaverveld", "fixed slot shares", figureDeadlines, false},
	"retries recover failed requests":                          {failingServers, "klaverveld", "without retries", figureDeadlines, false},
	"retry budget protects the other accounts":                 {failingAccount, "klaverveld", "without retry budget", figureDeadlines, false},
	"spill uses the other zones":                               {oneHotZone, "klaverveld", "without spill", figureDeadlines, false},
	"coalesced requests do not occupy slots":                   {fewHotKeys, "klaverveld", "without coalescing", figureP50, true},
}

// TestDisablingDecisionWorsensItsFigure compares the product with each alternative of
// decisionBenefits.
func TestDisablingDecisionWorsensItsFigure(t *testing.T) {
	for name, c := range decisionBenefits {
		t.Run(name, func(t *testing.T) {
			with := figuresFor(t, c.pattern, c.deployment, productPolicy)[c.figure]
			without := figuresFor(t, c.pattern, c.deployment, c.alternative)[c.figure]
			better := with > without
			if c.lowerIsBetter {
				better = with < without
			}
			assert.Assert(t, better, "%s: %.2f with, %.2f without", c.figure, with, without)
		})
	}
}

func TestUrgentRequestsMeetDeadlinesAtSaturation(t *testing.T) {
	for _, d := range deployments {
		with := figuresFor(t, saturation15, d.name, productPolicy)[figureUrgent]
		baseline := figuresFor(t, saturation15, d.name, "first come first served")[figureUrgent]
		assert.Assert(t, with > 95, "%s: %.1f%%", d.name, with)
		assert.Assert(t, baseline < with, "%s: %.1f%% first come first served", d.name, baseline)
	}
}

func BenchmarkRunOneCase(b *testing.B) {
	c := runCase{patterns[len(patterns)-1], deployments[0], policies[0]}
	for b.Loop() {
		c.run(seed)
	}
}
