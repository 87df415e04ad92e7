package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// RandomDeployments returns deployments drawn at random around those of the users, with
// other speeds, stop times, racks, job mixes, objectives and guarantees. The same seed
// returns the same deployments. They reveal decisions that are overfitted to the users'
// own deployments.
func RandomDeployments(base []Deployment, count int, seed uint64) ([]Deployment, error) {
	random := rand.New(rand.NewPCG(seed, 31))
	var list []Deployment
	for n := range count {
		d := base[random.IntN(len(base))]
		d.Name = fmt.Sprintf("drawn-%02d", n+1)
		d.randomize(random)
		if err := d.prepare(); err != nil {
			return nil, err
		}
		list = append(list, d)
	}
	return list, nil
}

// randomFactor returns a random factor between 1/limit and limit.
func randomFactor(random *rand.Rand, limit float64) float64 {
	return math.Exp((2*random.Float64() - 1) * math.Log(limit))
}

func (d *Deployment) randomize(random *rand.Rand) {
	shapes := [][2]int{{2, 8}, {4, 4}, {1, 16}, {2, 10}, {3, 6}}
	shape := shapes[random.IntN(len(shapes))]
	d.RacksPerZone, d.WorkersPerRack = shape[0], shape[1]
	speedSets := [][]float64{{1}, {0.8, 1, 1.25}, {0.6, 1, 1.4}}
	d.Speeds = speedSets[random.IntN(len(speedSets))]
	d.StopMS = []int64{200, 500, 900, 1400}[random.IntN(4)]
	d.ReclaimMS = 2500 + d.StopMS
	d.LongestLeaseMS = []int64{6000, 10_000}[random.IntN(2)]
	d.CheckpointMS = []int64{500, 1000, 2000}[random.IntN(3)]
	d.Kinds = slices.Clone(d.Kinds)
	scale := float64(d.workers()) / float64(d.Zones*16)
	for i := range d.Kinds {
		k := &d.Kinds[i]
		k.PerSecond *= scale * randomFactor(random, 1.25)
		k.LatencyFactor *= randomFactor(random, 1.2)
		k.GracePeriodMS = int64(float64(k.GracePeriodMS) * randomFactor(random, 2))
		k.Tasks.Mean *= randomFactor(random, 1.2)
		k.OneRackShare = min(1, k.OneRackShare*randomFactor(random, 1.5))
		k.CheckpointShare = min(1, k.CheckpointShare*randomFactor(random, 2))
		k.DeclaredError = []float64{0.2, 0.5, 0.9}[random.IntN(3)]
	}
	d.Guaranteed = slices.Clone(d.Guaranteed)
	for i := range d.Guaranteed {
		d.Guaranteed[i] *= randomFactor(random, 1.3)
	}
}
