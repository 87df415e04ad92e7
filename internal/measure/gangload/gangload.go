package gangload

import (
	"runtime"

	"github.com/alitto/pond/v2"

	"github.com/corianderbank/corianderbank/internal/measure"
)

// PartGangs is the part that this package measures.
const PartGangs = "gangs"

// plays is the number of plays with different seeds for each row. A p99 over
// the few hundred jobs of one play hangs on three of them.
const plays = 3

// meanOf plays a pattern with several seeds and returns the mean figures.
func meanOf(p Pattern, d *Deployment, policy NamedPolicy, seed uint64) []measure.Figure {
	var mean []measure.Figure
	for i := range uint64(plays) {
		figures := run(p, d, policy.New(), seed+i).figures()
		if mean == nil {
			mean = make([]measure.Figure, len(figures))
		}
		for j, figure := range figures {
			mean[j].Name, mean[j].Unit = figure.Name, figure.Unit
			mean[j].Value += figure.Value / plays
		}
	}
	return mean
}

// Run plays every pattern at both deployments under every policy. The rows come
// in the order of patterns, deployments, policies. Each play is one goroutine in
// virtual time, so that the figures do not depend on how many run at once. The
// error is a play that panicked.
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
				Policy: spec.policy.Name, Figures: meanOf(spec.pattern, &spec.deployment, spec.policy, seed),
			}
		})
	}
	err := group.Wait()
	pool.StopAndWait()
	return rows, err
}
