// Package requestload measures the decisions of the request path in virtual
// time. It uses the product's packages admission, routing, retry and slots with
// fake callers, backend servers and messages. It simulates load patterns at the
// sizes of both deployments under the product's policy, under baselines, and with
// each decision disabled in turn.
package requestload

import (
	"runtime"
	"slices"
	"sync"

	"github.com/corianderbank/corianderbank/internal/measure"
)

// Run returns one row for each pattern, deployment and policy, in a fixed order.
// Equal seeds give equal figures.
func Run(seed uint64) []measure.Row { return runAll(allCases(), seed) }

func allCases() []runCase {
	var cases []runCase
	for _, p := range patterns {
		for _, d := range deployments {
			for _, pol := range policies {
				if len(pol.patterns) == 0 || slices.Contains(pol.patterns, p.name) {
					cases = append(cases, runCase{p, d, pol})
				}
			}
		}
	}
	return cases
}

type runCase struct {
	pattern    pattern
	deployment deployment
	policy     policy
}

// runAll runs the cases concurrently. Each case has a simulation of its own.
func runAll(cases []runCase, seed uint64) []measure.Row {
	rows := make([]measure.Row, len(cases))
	semaphore := make(chan struct{}, runtime.GOMAXPROCS(0))
	var group sync.WaitGroup
	for i, c := range cases {
		semaphore <- struct{}{}
		group.Go(func() {
			rows[i] = c.run(seed)
			<-semaphore
		})
	}
	group.Wait()
	return rows
}

func (c runCase) run(seed uint64) measure.Row {
	sim := newSimulation(c.deployment, c.pattern, c.policy, seed)
	sim.run(drawArrivals(c.deployment, c.pattern, seed))
	return measure.Row{
		Part: "requests", Pattern: c.pattern.name, Deployment: c.deployment.name, Policy: c.policy.name, Figures: sim.figures(),
	}
}
