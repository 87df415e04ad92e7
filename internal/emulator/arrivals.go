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
	// arrivalPeriod is the time during which jobs arrive; completionPeriod is the time
	// after it in which they may still complete, three times the objective of most jobs.
	arrivalPeriod    = 40 * time.Second
	completionPeriod = 40 * time.Second
)

// arrival is a job together with properties that the scheduler cannot observe.
type arrival struct {
	kind *Kind
	// submitAt is the time at which the caller first tries to submit the job, zone the
	// caller's zone.
	submitAt time.Duration
	zone     int
	// rerouteDelay is the time after which callers of the zone are routed to another zone
	// once it is partitioned.
	rerouteDelay time.Duration
	job          *workload.Job
	// work is the run time of each task on a worker of speed one.
	work []time.Duration
	// seed determines which runs fail; startedRuns counts the starts, those of all members
	// of a gang as one.
	seed        uint64
	startedRuns int
	// preemptedRuns counts the runs that were stopped for other jobs.
	preemptedRuns int
	// poison reports whether every run fails because of the job itself.
	poison bool
	// crashing reports whether the first task crashes each worker that starts it.
	crashing bool
	// cancelAt is zero unless the caller cancels the job.
	cancelAt time.Duration
	// objective is the target for the time from submission to completion, value the value
	// of completing within it.
	objective time.Duration
	value     float64
}

// drawArrivals draws the jobs of one simulation, sorted by submission time.
func drawArrivals(d *Deployment, day *Day, random *rand.Rand) []*arrival {
	var list []*arrival
	for k := range d.Kinds {
		kind := &d.Kinds[k]
		for range kind.Initial {
			list = append(list, d.drawArrival(day, kind, 0, random))
		}
		rate := kind.PerSecond * day.Load
		for at := 0.0; ; {
			at += random.ExpFloat64() / (rate * day.arrivalFactor(kind.Class, seconds(at)))
			if seconds(at) >= arrivalPeriod {
				break
			}
			list = append(list, d.drawArrival(day, kind, seconds(at), random))
		}
	}
	slices.SortStableFunc(list, func(a, b *arrival) int { return cmp.Compare(a.submitAt, b.submitAt) })
	for i, a := range list {
		a.job.ID = fmt.Sprintf("%016x", i+1)
	}
	return list
}

// rerouteDelayRange bounds the time until callers of a partitioned zone are routed to
// other zones: the partition is detected, and the balancer misses two checks.
var rerouteDelayRange = [2]time.Duration{1600 * time.Millisecond, 2700 * time.Millisecond}

func (d *Deployment) drawArrival(day *Day, kind *Kind, at time.Duration, random *rand.Rand) *arrival {
	runTime := kind.Work.sample(random)
	step := workload.Step{
		Count:       max(1, int(math.Round(kind.Tasks.sample(random)))),
		Need:        workload.Resources{MilliCPU: kind.MilliCPU, MemoryMB: kind.MemoryMB, Accelerators: pickOne(kind.Accelerators, random)},
		EstimateMS:  int64(1000 * runTime * math.Exp(kind.DeclaredError*random.NormFloat64())),
		Gang:        random.Float64() < kind.GangShare,
		Checkpoints: random.Float64() < kind.CheckpointShare,
	}
	step.RackSensitive = step.Gang && random.Float64() < kind.OneRackShare
	if random.Float64() < kind.DataRackShare && !step.RackSensitive {
		step.DataRack = rackName(random.IntN(d.Zones), random.IntN(d.RacksPerZone))
	}
	a := &arrival{kind: kind, submitAt: at, zone: random.IntN(d.Zones), seed: random.Uint64()}
	a.rerouteDelay = rerouteDelayRange[0] + time.Duration(random.Float64()*float64(rerouteDelayRange[1]-rerouteDelayRange[0]))
	if kind.PoisonShare > 0 {
		a.poison = random.Float64() < kind.PoisonShare
	}
	if share := day.crashingShare(kind.Class, at); share > 0 {
		a.crashing = random.Float64() < share
	}
	account := d.config.Accounts[random.IntN(len(d.config.Accounts))].Name
	a.job = &workload.Job{Queue: kind.Queue, Account: account, Steps: []workload.Step{step}}
	longest := time.Duration(0)
	for range step.Count {
		work := seconds(runTime * math.Exp(kind.TaskVariation*random.NormFloat64()))
		a.work = append(a.work, work)
		longest = max(longest, work)
	}
	if random.Float64() < kind.CancelledShare+day.CancelledShare {
		a.cancelAt = at + seconds(runTime*random.Float64())
	}
	a.objective = time.Duration(kind.LatencyFactor*float64(longest)) + milliseconds(kind.GracePeriodMS)
	a.value = min(4, 0.3+0.7*float64(step.Count)*runTime/(kind.Tasks.Mean*kind.Work.Mean)) * kind.Value
	return a
}

func pickOne(list []int64, random *rand.Rand) int64 { return list[random.IntN(len(list))] }

// drawFailure returns the share of its work after which the next run fails because of
// the job itself, or zero if the run does not fail.
func (a *arrival) drawFailure() float64 {
	a.startedRuns++
	random := rand.New(rand.NewPCG(a.seed, uint64(a.startedRuns)))
	if !a.poison && random.Float64() >= a.kind.FailShare {
		return 0
	}
	return 0.1 + 0.9*random.Float64()
}
