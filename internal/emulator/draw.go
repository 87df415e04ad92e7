package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Drawn returns deployments drawn at random around the users' own: other speeds,
// stop times, racks, mixes, objectives and guarantees. The same seed gives the same
// ones. A decision that helps only the users' own deployments is fitted to them.
func Drawn(around []Deployment, count int, seed uint64) ([]Deployment, error) {
	random := rand.New(rand.NewPCG(seed, 31))
	var list []Deployment
	for n := range count {
		d := around[random.IntN(len(around))]
		d.Name = fmt.Sprintf("drawn-%02d", n+1)
		d.vary(random)
		if err := d.prepare(); err != nil {
			return nil, err
		}
		list = append(list, d)
	}
	return list, nil
}

// factor draws a factor between one over most and most.
func factor(random *rand.Rand, most float64) float64 {
	return math.Exp((2*random.Float64() - 1) * math.Log(most))
}

func (d *Deployment) vary(random *rand.Rand) {
	shapes := [][2]int{{2, 8}, {4, 4}, {1, 16}, {2, 10}, {3, 6}}
	shape := shapes[random.IntN(len(shapes))]
	d.RacksPerZone, d.WorkersPerRack = shape[0], shape[1]
	spreads := [][]float64{{1}, {0.8, 1, 1.25}, {0.6, 1, 1.4}}
	d.Speeds = spreads[random.IntN(len(spreads))]
	d.StopMS = []int64{200, 500, 900, 1400}[random.IntN(4)]
	d.ReclaimMS = 2500 + d.StopMS
	d.LeaseMS = []int64{6000, 10_000}[random.IntN(2)]
	d.CheckpointMS = []int64{500, 1000, 2000}[random.IntN(3)]
	d.Kinds = slices.Clone(d.Kinds)
	scale := float64(d.workers()) / float64(d.Zones*16)
	for i := range d.Kinds {
		k := &d.Kinds[i]
		k.PerSecond *= scale * factor(random, 1.25)
		k.Stretch *= factor(random, 1.2)
		k.GraceMS = int64(float64(k.GraceMS) * factor(random, 2))
		k.Tasks.Mean *= factor(random, 1.2)
		k.OneRack = min(1, k.OneRack*factor(random, 1.5))
		k.Saves = min(1, k.Saves*factor(random, 2))
		k.DeclaredOff = []float64{0.2, 0.5, 0.9}[random.IntN(3)]
	}
	d.Guaranteed = slices.Clone(d.Guaranteed)
	for i := range d.Guaranteed {
		d.Guaranteed[i] *= factor(random, 1.3)
	}
}
