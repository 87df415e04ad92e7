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

// Variant is a way to decide.
type Variant struct {
	Name   string
	Tuning dispatch.Tuning
}

// Plan says what an experiment plays: every day on every deployment, with a number of
// seeds.
type Plan struct {
	Deployments []Deployment
	Days        []Day
	Plays       int
	Seed        uint64
}

// Difference is what a variant is worth against another, over the same plays.
type Difference struct {
	// Deployment is empty for all of them together.
	Deployment string
	Variant    string
	Plays      int
	// Base and Mean are the mean values, Change their difference and Interval half its
	// the usual confidence interval.
	Base, Mean, Change, Interval float64
}

// Certain reports whether the interval leaves out zero.
func (d Difference) Certain() bool { return math.Abs(d.Change) > d.Interval }

// Compare plays the base and the variants over the same plays and returns, for each
// variant, its difference on all deployments and on each.
func (p *Plan) Compare(base Variant, variants []Variant) []Difference {
	values := p.values(append([]Variant{base}, variants...))
	var list []Difference
	for v := range variants {
		all := difference(variants[v].Name, "", flatten(values[0]), flatten(values[v+1]))
		list = append(list, all)
		for d := range p.Deployments {
			list = append(list, difference(variants[v].Name, p.Deployments[d].Name, values[0][d], values[v+1][d]))
		}
	}
	return list
}

// values plays everything; the result is by variant, by deployment, then by day and
// seed.
func (p *Plan) values(variants []Variant) [][][]float64 {
	workers := pond.NewPool(runtime.GOMAXPROCS(0))
	group := workers.NewGroup()
	values := make([][][]float64, len(variants))
	for v := range variants {
		values[v] = make([][]float64, len(p.Deployments))
		for d := range p.Deployments {
			values[v][d] = make([]float64, len(p.Days)*p.Plays)
			for i := range values[v][d] {
				group.Submit(func() {
					day := &p.Days[i/p.Plays]
					values[v][d][i] = play(&p.Deployments[d], day, variants[v].Tuning, p.Seed+uint64(i)).value
				})
			}
		}
	}
	if err := group.Wait(); err != nil {
		panic(err) // a play that panics
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

// normalQuantile makes the usual confidence interval (19 in 20) of a standard error.
const normalQuantile = 1.96

func difference(variant, deployment string, base, other []float64) Difference {
	d := Difference{Deployment: deployment, Variant: variant, Plays: len(base)}
	n := float64(len(base))
	for i := range base {
		d.Base += base[i] / n
		d.Mean += other[i] / n
	}
	d.Change = d.Mean - d.Base
	squares := 0.0
	for i := range base {
		deviation := other[i] - base[i] - d.Change
		squares += deviation * deviation
	}
	if n > 1 {
		d.Interval = normalQuantile * math.Sqrt(squares/(n-1)/n)
	}
	return d
}

// PartDispatch is the part of the tables that this package fills.
const PartDispatch = "dispatch"

// PolicyProduct names the core as it is.
const PolicyProduct = "corianderbank"

// rowPlays is the number of plays with different seeds for each row of the table.
const rowPlays = 8

// Rows plays every day on each of the users' deployments and returns the mean figures.
// Each play is one goroutine in virtual time, so the figures do not depend on how many
// run at once.
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
			at := i*len(deployments) + j
			rows[at] = measure.Row{Part: PartDispatch, Pattern: days[i].Name, Deployment: deployments[j].Name, Policy: PolicyProduct}
			for n := range uint64(rowPlays) {
				group.Submit(func() {
					figures := play(&deployments[j], &days[i], dispatch.Tuning{}, seed+n).figures()
					mu.Lock()
					defer mu.Unlock()
					rows[at].Figures = addFigures(rows[at].Figures, figures)
				})
			}
		}
	}
	if err := group.Wait(); err != nil {
		return nil, fmt.Errorf("playing days: %w", err)
	}
	workers.StopAndWait()
	return rows, nil
}

// addFigures adds the share that one play has in the mean.
func addFigures(sum, figures []measure.Figure) []measure.Figure {
	if sum == nil {
		sum = make([]measure.Figure, len(figures))
		for i := range sum {
			sum[i] = measure.Figure{Name: figures[i].Name, Unit: figures[i].Unit}
		}
	}
	for i := range sum {
		sum[i].Value += figures[i].Value / rowPlays
	}
	return sum
}
