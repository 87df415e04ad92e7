package emulator

import (
	"fmt"
	"math"
	"runtime"
	"sync"

	"github.com/alitto/pond/v2"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/measure"
)

// Variant is a tuning of the scheduler to compare.
type Variant struct {
	Name   string
	Tuning dispatch.Tuning
}

// Plan describes an experiment: every day is simulated on every deployment as often as
// Simulations states, with different seeds derived from Seed.
type Plan struct {
	Deployments []Deployment
	Days        []Day
	Simulations int
	Seed        uint64
}

// Difference compares a variant with the base over the same simulations.
type Difference struct {
	// Deployment is empty for the result over all deployments.
	Deployment string
	Variant    string
	// Simulations is the number of simulations of each of the two variants.
	Simulations int
	// BaseMean and VariantMean are the mean values of the base and the variant, Change is
	// their difference and HalfWidth half the width of its confidence interval.
	BaseMean, VariantMean, Change, HalfWidth float64
}

// Significant reports whether the confidence interval excludes zero.
func (d Difference) Significant() bool { return math.Abs(d.Change) > d.HalfWidth }

// Compare simulates the base and the variants with the same seeds and returns the
// differences of each variant over all deployments and on each deployment.
func (p *Plan) Compare(base Variant, variants []Variant) []Difference {
	values := p.values(append([]Variant{base}, variants...))
	var list []Difference
	for v := range variants {
		all := compareValues(variants[v].Name, "", flatten(values[0]), flatten(values[v+1]))
		list = append(list, all)
		for d := range p.Deployments {
			list = append(list, compareValues(variants[v].Name, p.Deployments[d].Name, values[0][d], values[v+1][d]))
		}
	}
	return list
}

// values runs all simulations. The result is indexed by variant, by deployment, and by
// day and seed.
func (p *Plan) values(variants []Variant) [][][]float64 {
	workers := pond.NewPool(runtime.GOMAXPROCS(0))
	group := workers.NewGroup()
	values := make([][][]float64, len(variants))
	for v := range variants {
		values[v] = make([][]float64, len(p.Deployments))
		for d := range p.Deployments {
			values[v][d] = make([]float64, len(p.Days)*p.Simulations)
			for i := range values[v][d] {
				group.Submit(func() {
					day := &p.Days[i/p.Simulations]
					values[v][d][i] = simulate(&p.Deployments[d], day, variants[v].Tuning, p.Seed+uint64(i)).value
				})
			}
		}
	}
	if err := group.Wait(); err != nil {
		panic(err) // a simulation panicked
	}
	workers.StopAndWait()
	return values
}

func flatten(lists [][]float64) []float64 {
	var all []float64
	for _, list := range lists {
		all = append(all, list...)
	}
	return all
}

// normalQuantile times the standard error is half the width of a confidence interval of
// 19 in 20.
const normalQuantile = 1.96

func compareValues(variant, deployment string, base, other []float64) Difference {
	d := Difference{Deployment: deployment, Variant: variant, Simulations: len(base)}
	n := float64(len(base))
	for i := range base {
		d.BaseMean += base[i] / n
		d.VariantMean += other[i] / n
	}
	d.Change = d.VariantMean - d.BaseMean
	squares := 0.0
	for i := range base {
		deviation := other[i] - base[i] - d.Change
		squares += deviation * deviation
	}
	if n > 1 {
		d.HalfWidth = normalQuantile * math.Sqrt(squares/(n-1)/n)
	}
	return d
}

// PartDispatch is the measure.Row part of the rows that this package computes.
const PartDispatch = "dispatch"

// PolicyProduct names the scheduler with its default tuning.
const PolicyProduct = "corianderbank"

// simulationsPerRow is the number of simulations with different seeds for each row.
const simulationsPerRow = 8

// Rows simulates every day on each of the users' deployments and returns the mean
// figures. Each simulation runs in one goroutine in virtual time, so the figures do not
// depend on the number of concurrent simulations.
func Rows(seed uint64) ([]measure.Row, error) {
	deployments, err := Deployments()
	if err != nil {
		return nil, err
	}
	days, err := Days()
	if err != nil {
		return nil, err
	}
	rows := make([]measure.Row, len(days)*len(deployments))
	var mu sync.Mutex
	workers := pond.NewPool(runtime.GOMAXPROCS(0))
	group := workers.NewGroup()
	for i := range days {
		for j := range deployments {
			index := i*len(deployments) + j
			rows[index] = measure.Row{Part: PartDispatch, Pattern: days[i].Name, Deployment: deployments[j].Name, Policy: PolicyProduct}
			for n := range uint64(simulationsPerRow) {
				group.Submit(func() {
					figures := simulate(&deployments[j], &days[i], dispatch.Tuning{}, seed+n).figures()
					mu.Lock()
					defer mu.Unlock()
					rows[index].Figures = addFigures(rows[index].Figures, figures)
				})
			}
		}
	}
	if err := group.Wait(); err != nil {
		return nil, fmt.Errorf("simulating days: %w", err)
	}
	workers.StopAndWait()
	return rows, nil
}

// addFigures adds the contribution of one of simulationsPerRow simulations to the mean.
func addFigures(mean, figures []measure.Figure) []measure.Figure {
	if mean == nil {
		mean = make([]measure.Figure, len(figures))
		for i := range mean {
			mean[i] = measure.Figure{Name: figures[i].Name, Unit: figures[i].Unit}
		}
	}
	for i := range mean {
		mean[i].Value += figures[i].Value / simulationsPerRow
	}
	return mean
}
