package requestload

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/measure"
)

const seed = 1

// key names a case.
type key struct{ pattern, deployment, policy string }

// figuresOf holds the figures of every case that a test here asks for. They are
// played once, side by side.
var figuresOf = sync.OnceValue(func() map[key]map[string]float64 {
	wanted := map[key]bool{{saturation1, "klaverveld", "slot shares without owner"}: true}
	for _, d := range deployments {
		wanted[key{saturation15, d.name, "first come first served"}] = true
		wanted[key{saturation15, d.name, product}] = true
		wanted[key{saturation1, d.name, product}] = true
		wanted[key{saturation3, d.name, product}] = true
	}
	for _, p := range patterns {
		wanted[key{p.name, deployments[0].name, product}] = true
	}
	for _, w := range worth {
		wanted[key{w.pattern, w.deployment, w.off}] = true
		wanted[key{w.pattern, w.deployment, product}] = true
	}
	var cases []runCase
	for _, c := range allCases() {
		if wanted[key{c.pattern.name, c.deployment.name, c.policy.name}] {
			cases = append(cases, c)
		}
	}
	figures := make(map[key]map[string]float64, len(cases))
	for _, row := range runAll(cases, seed) {
		figures[key{row.Pattern, row.Deployment, row.Policy}] = byName(row)
	}
	return figures
})

func played(t *testing.T, patternName, deploymentName, policyName string) map[string]float64 {
	t.Helper()
	figures, ok := figuresOf()[key{patternName, deploymentName, policyName}]
	assert.Assert(t, ok, "no case %s, %s, %s", patternName, deploymentName, policyName)
	return figures
}

func byName(row measure.Row) map[string]float64 {
	figures := make(map[string]float64, len(row.Figures))
	for _, f := range row.Figures {
		figures[f.Name] = f.Value
	}
	return figures
}

func TestSameSeedSameFigures(t *testing.T) {
	var cases []runCase
	for _, c := range allCases() {
		if c.pattern.name == failingServers && c.policy.name == product {
			cases = append(cases, c)
		}
	}
	assert.Equal(t, len(cases), len(deployments))
	assert.DeepEqual(t, runAll(cases, seed), runAll(cases, seed))
}

func TestPromisesHoldInEveryPattern(t *testing.T) {
	for k, figures := range figuresOf() {
		if k.policy != product {
			continue
		}
		for _, name := range []string{figureFalse, figureOverruns, figureTwice} {
			assert.Equal(t, figures[name], 0.0, "%v: %s", k, name)
		}
	}
}

func TestOverrunsAreSeenWhereThereAreSome(t *testing.T) {
	figures := played(t, saturation1, "klaverveld", "slot shares without owner")
	assert.Assert(t, figures[figureOverruns] > 0)
}

func TestGoodputAtThreeTimesSaturation(t *testing.T) {
	for _, d := range deployments {
		at1 := played(t, saturation1, d.name, product)[figureGoodput]
		at3 := played(t, saturation3, d.name, product)[figureGoodput]
		assert.Assert(t, at3 >= 0.95*at1, "%s: %.1f%% at 3, %.1f%% at 1", d.name, at3, at1)
	}
}

// worth lists, for each decision, the pattern that it answers and the figure
// that it betters.
var worth = map[string]struct {
	pattern, deployment, off, figure string
	// less says that a smaller figure is better.
	less bool
}{
	"fair queue protects the other accounts":     {oneBigAccount, "klaverveld", "without fair queue", figureWorst, false},
	"deadline order meets more deadlines":        {saturation15, "klaverveld", "without deadline order", figureDeadlines, false},
	"shedding keeps goodput":                     {saturation3, "lankapowder", "without shedding", figureGoodput, false},
	"deadline slack sheds better than delay":     {saturation3, "lankapowder", "shedding by queue delay", figureGoodput, false},
	"ejection avoids a slow server":              {slowServer, "klaverveld", "without ejection", figureSlowdown, true},
	"ejection avoids failing servers":            {failingServers, "klaverveld", "without ejection", figureDeadlines, false},
	"ramp spares callers of a cold server":       {newServers, "klaverveld", "without ramp", figureP99, true},
	"owner's grants follow uneven load":          {unevenEntries, "klaverveld", "fixed slot shares", figureDeadlines, false},
	"retries save requests":                      {failingServers, "klaverveld", "without retries", figureDeadlines, false},
	"retry budget spares the other accounts":     {failingAccount, "klaverveld", "without retry budget", figureDeadlines, false},
	"spill uses the other zones":                 {oneHotZone, "klaverveld", "without spill", figureDeadlines, false},
	"arrivals of a key do not wait on the slots": {fewHotKeys, "klaverveld", "without coalescing", figureP50, true},
}

// TestDecisionsAreWorthTheirCode compares the product with each decision
// switched off.
func TestDecisionsAreWorthTheirCode(t *testing.T) {
	for name, c := range worth {
		t.Run(name, func(t *testing.T) {
			with := played(t, c.pattern, c.deployment, product)[c.figure]
			without := played(t, c.pattern, c.deployment, c.off)[c.figure]
			better := with > without
			if c.less {
				better = with < without
			}
			assert.Assert(t, better, "%s: %.2f with, %.2f without", c.figure, with, without)
		})
	}
}

func TestUrgentRequestsAreAnsweredAtSaturation(t *testing.T) {
	for _, d := range deployments {
		with := played(t, saturation15, d.name, product)[figureUrgent]
		baseline := played(t, saturation15, d.name, "first come first served")[figureUrgent]
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
