// Package requestload measures the decisions of the request path in virtual
// time: the product's own packages admission, routing, retry and slots, with
// fakes of callers, backend servers and messages around them. It plays load
// patterns at the sizes of both deployments under the product's policy, under
// baselines, and with each decision switched off in turn.
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
			for _, chosen := range policies {
				if len(chosen.only) == 0 || slices.Contains(chosen.only, p.name) {
					cases = append(cases, runCase{p, d, chosen})
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

// runAll runs the cases side by side; each has a world of its own.
func runAll(cases []runCase, seed uint64) []measure.Row {
	rows := make([]measure.Row, len(cases))
	free := make(chan struct{}, runtime.GOMAXPROCS(0))
	var running sync.WaitGroup
	for i, c := range cases {
		free <- struct{}{}
		running.Go(func() {
			rows[i] = c.run(seed)
			<-free
		})
	}
	running.Wait()
	return rows
}

func (c runCase) run(seed uint64) measure.Row {
	w := newWorld(c.deployment, c.pattern, c.policy, seed)
	w.run(arrivalsOf(c.deployment, c.pattern, seed))
	return measure.Row{
		Part: "requests", Pattern: c.pattern.name, Deployment: c.deployment.name, Policy: c.policy.name, Figures: w.figures(),
	}
}
