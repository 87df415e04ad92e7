package gangload

import (
	"runtime"

	"github.com/alitto/pond/v2"

	"github.com/corianderbank/corianderbank/internal/measure"
)

// PartGangs is the Part of the rows that this package measures.
const PartGangs = "gangs"

// simulationsPerRow is the number of simulations with different seeds for each
// row. The p99 of the few hundred jobs of a single simulation depends on only
// three of them.
const simulationsPerRow = 3

// meanFigures simulates a pattern with several seeds and returns the mean figures.
func meanFigures(p Pattern, d *Deployment, policy NamedPolicy, seed uint64) []measure.Figure {
	var mean []measure.Figure
	for i := range uint64(simulationsPerRow) {
		figures := simulate(p, d, policy.New(), seed+i).figures()
		if mean == nil {
			mean = make([]measure.Figure, len(figures))
		}
		for j, figure := range figures {
			mean[j].Name, mean[j].Unit = figure.Name, figure.Unit
			mean[j].Value += figure.Value / simulationsPerRow
		}
	}
	return mean
}

// Run simulates every pattern at both deployments under every policy. The rows are
// in the order of patterns, deployments and policies. Each simulation runs in a
// single goroutine and in virtual time, so that the figures do not depend on how
// many simulations run concurrently. Run returns an error if a simulation panics.
func Run(seed uint64) ([]measure.Row, error) {
	var rows []measure.Row
	pool := pond.NewPool(runtime.GOMAXPROCS(0))
	group := pool.NewGroup()
	type runSpec struct {
		pattern    Pattern
		deployment Deployment
		policy     NamedPolicy
	}
	var specs []runSpec
	for _, pattern := range Patterns() {
		for _, deployment := range Deployments() {
			for _, policy := range Policies() {
				if policy.Ablation && !pattern.ablated {
					continue
				}
				specs = append(specs, runSpec{pattern, deployment, policy})
			}
		}
	}
	rows = make([]measure.Row, len(specs))
	for i := range specs {
		spec := &specs[i]
		group.Submit(func() {
			rows[i] = measure.Row{
				Part: PartGangs, Pattern: spec.pattern.Name, Deployment: spec.deployment.Name,
				Policy: spec.policy.Name, Figures: meanFigures(spec.pattern, &spec.deployment, spec.policy, seed),
			}
		})
	}
	err := group.Wait()
	pool.StopAndWait()
	return rows, err
}
