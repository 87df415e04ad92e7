package emulator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/workload"
)

const (
	// horizon is how long jobs arrive; drain is how long their ends are waited for,
	// three times the objective of most.
	horizon = 40 * time.Second
	drain   = 40 * time.Second
)

// arrival is one job with what only a clairvoyant knows.
type arrival struct {
	kind *Kind
	// at is when its caller first sends it, from a zone.
	at   time.Duration
	zone int
	// reroute is how long a cut of that zone has to last before callers there are led
	// elsewhere.
	reroute time.Duration
	job     *workload.Job
	// work is, by task, the run time on a worker of speed one.
	work []time.Duration
	// seed draws which of its runs fail; runs counts them.
	seed uint64
	runs int
	// poison: every run of it fails by its own fault.
	poison bool
	// crashing: its first task takes down each worker that starts it.
	crashing bool
	// cancelAt is zero unless the caller cancels.
	cancelAt time.Duration
	// objective is how long it may take, value what it earns in time.
	objective time.Duration
	value     float64
}

// arrivals draws the jobs of one play, in the order of their times.
func arrivals(d *Deployment, day *Day, random *rand.Rand) []*arrival {
	var list []*arrival
	for k := range d.Kinds {
		of := &d.Kinds[k]
		for range of.Initial {
			list = append(list, d.draw(day, of, 0, random))
		}
		rate := of.PerSecond * day.Load
		for at := 0.0; ; {
			at += random.ExpFloat64() / (rate * day.times(of.Sort, seconds(at)))
			if seconds(at) >= horizon {
				break
			}
			list = append(list, d.draw(day, of, seconds(at), random))
		}
	}
	slices.SortStableFunc(list, func(a, b *arrival) int { return cmp.Compare(a.at, b.at) })
	for i, a := range list {
		a.job.ID = fmt.Sprintf("%016x", i+1)
	}
	return list
}

// rerouted is how long it takes until callers of a zone that is cut off are led to
// other zones: the cut is noticed, and the balancer misses two checks.
var rerouted = [2]time.Duration{1600 * time.Millisecond, 2700 * time.Millisecond}

func (d *Deployment) draw(day *Day, of *Kind, at time.Duration, random *rand.Rand) *arrival {
	run := of.Work.draw(random)
	step := workload.Step{
		Count:       max(1, int(math.Round(of.Tasks.draw(random)))),
		Need:        workload.Resources{MilliCPU: of.MilliCPU, MemoryMB: of.MemoryMB, Accelerators: pickOne(of.Accelerators, random)},
		EstimateMS:  int64(1000 * run * math.Exp(of.DeclaredOff*random.NormFloat64())),
		Gang:        random.Float64() < of.Gangs,
		Checkpoints: random.Float64() < of.Saves,
	}
	step.OneRack = step.Gang && random.Float64() < of.OneRack
	if random.Float64() < of.Near && !step.OneRack {
		step.DataRack = rackName(random.IntN(d.Zones), random.IntN(d.RacksPerZone))
	}
	a := &arrival{kind: of, at: at, zone: random.IntN(d.Zones), seed: random.Uint64()}
	a.reroute = rerouted[0] + time.Duration(random.Float64()*float64(rerouted[1]-rerouted[0]))
	if of.Poison > 0 {
		a.poison = random.Float64() < of.Poison
	}
	if share := day.crashes(of.Sort, at); share > 0 {
		a.crashing = random.Float64() < share
	}
	account := d.config.Accounts[random.IntN(len(d.config.Accounts))].Name
	a.job = &workload.Job{Queue: of.Queue, Account: account, Steps: []workload.Step{step}}
	longest := time.Duration(0)
	for range step.Count {
		work := seconds(run * math.Exp(of.Uneven*random.NormFloat64()))
		a.work = append(a.work, work)
		longest = max(longest, work)
	}
	if random.Float64() < of.Cancelled+day.Cancelled {
		a.cancelAt = at + seconds(run*random.Float64())
	}
	a.objective = time.Duration(of.Stretch*float64(longest)) + milliseconds(of.GraceMS)
	a.value = min(4, 0.3+0.7*float64(step.Count)*run/(of.Tasks.Mean*of.Work.Mean)) * of.Worth
	return a
}

func pickOne(list []int64, random *rand.Rand) int64 { return list[random.IntN(len(list))] }

// failsAfter draws whether the next run of the job fails by its own fault, and after
// which share of its work; zero if it does not.
func (a *arrival) failsAfter() float64 {
	a.runs++
	random := rand.New(rand.NewPCG(a.seed, uint64(a.runs)))
	if !a.poison && random.Float64() >= a.kind.Fails {
		return 0
	}
	return 0.1 + 0.9*random.Float64()
}
