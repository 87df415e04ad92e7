package gangload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

// horizon is the period in which jobs arrive. After it, the remaining jobs run.
const horizon = 12 * time.Hour

// arrival is one job, including the properties that are unknown to the policies.
type arrival struct {
	spec model.Job
	at   time.Duration
	// runTime is the actual run time, as opposed to the declared one.
	runTime time.Duration
	// cancelAt is the time at which the caller cancels the job, or zero.
	cancelAt time.Duration
	// alwaysFails is set for jobs that fail on every worker.
	alwaysFails bool
}

// outage removes workers from the zone, or makes them fail every task.
type outage struct {
	from, to  time.Duration
	workers   []int
	unhealthy bool
}

// Pattern is a load pattern, which determines the arrivals and the outages.
type Pattern struct {
	Name string
	// load is the offered work as a multiple of the zone's capacity.
	load      float64
	configure func(*generator)
	// ablated patterns are also simulated with each decision disabled in turn.
	ablated bool
}

// generator draws the arrivals and outages of one pattern.
type generator struct {
	random     *rand.Rand
	deployment *Deployment
	arrivals   []arrival
	outages    []outage
	// weights divides the jobs among the accounts. If it is nil, they are divided in
	// proportion to the guarantees.
	weights []float64
	// drawWork draws a shape and an actual run time.
	drawWork func(*rand.Rand) (api.Shape, time.Duration)
	// wrongDeclarations makes the declared run times wrong by a factor that depends
	// on the account and the kind of work.
	wrongDeclarations bool
	// alwaysFailingShare is the proportion of jobs that fail on every worker.
	alwaysFailingShare float64
}

// Patterns returns all load patterns.
func Patterns() []Pattern {
	oneLargeAccount := func(g *generator) { g.weights = []float64{0.85, 0.05, 0.05, 0.05} }
	unchanged := func(*generator) {}
	return []Pattern{
		{Name: "burst of small", load: 0.6, configure: burstOfSmall},
		{Name: "burst of large", load: 0.6, configure: burstOfLarge, ablated: true},
		{Name: "one account with most of the load", load: 1.2, configure: oneLargeAccount},
		{Name: "long among short", load: 0.9, configure: func(g *generator) { g.drawWork = longAmongShort }},
		{Name: "saturation 1", load: 1, configure: unchanged, ablated: true},
		{Name: "saturation 1.5", load: 1.5, configure: unchanged, ablated: true},
		{Name: "saturation 3", load: 3, configure: unchanged},
		{Name: "cancellation wave", load: 0.8, configure: cancellationWave},
		{Name: "wrong declarations", load: 1, configure: func(g *generator) { g.wrongDeclarations = true }, ablated: true},
		{Name: "workers that fail everything", load: 0.8, configure: unhealthyWorkers, ablated: true},
		{Name: "lost rack", load: 0.8, configure: lostRack},
	}
}

// generate draws the arrivals and outages of a pattern at a deployment.
func generate(p Pattern, d *Deployment, seed uint64) *generator {
	g := &generator{random: rand.New(rand.NewPCG(seed, 7)), deployment: d, drawWork: defaultMix}
	p.configure(g)
	remainingWork := p.load * float64(d.capacity()) * horizon.Seconds()
	for remainingWork > 0 {
		at := time.Duration(g.random.Float64() * float64(horizon))
		shape, runTime := g.drawWork(g.random)
		g.addJob(at, shape, runTime, g.drawAccount())
		remainingWork -= float64(shape.Accelerators()) * runTime.Seconds()
	}
	slices.SortStableFunc(g.arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	for i := range g.arrivals {
		g.arrivals[i].spec.ID = fmt.Sprintf("j%05d", i)
	}
	return g
}

// defaultMix draws from the default mix: many small gangs, some of whole workers
// and few of half a rack. Run times are log-normal around 15 minutes.
func defaultMix(random *rand.Rand) (api.Shape, time.Duration) {
	runTime := time.Duration(900 * math.Exp(random.NormFloat64()) * float64(time.Second))
	return drawShape(random), min(max(runTime, time.Minute), 6*time.Hour)
}

func drawShape(random *rand.Rand) api.Shape {
	switch p := random.Float64(); {
	case p < 0.35:
		return sameRackShape(1, 1)
	case p < 0.50:
		return sameRackShape(1, 2)
	case p < 0.65:
		return sameRackShape(1, 4)
	case p < 0.85:
		return sameRackShape(1, 8)
	case p < 0.95:
		return sameRackShape(2, 8)
	default:
		return sameRackShape(4, 8)
	}
}

func longAmongShort(random *rand.Rand) (api.Shape, time.Duration) {
	if random.Float64() < 0.02 {
		return drawShape(random), time.Duration((4 + 4*random.Float64()) * float64(time.Hour))
	}
	return drawShape(random), time.Duration((2 + 6*random.Float64()) * float64(time.Minute))
}

func burstOfSmall(g *generator) {
	for range 600 {
		runTime := time.Duration((5 + 10*g.random.Float64()) * float64(time.Minute))
		g.addJob(3*time.Hour, sameRackShape(1, 1<<g.random.IntN(3)), runTime, 0)
	}
}

func burstOfLarge(g *generator) {
	for range 24 {
		runTime := time.Duration((20 + 40*g.random.Float64()) * float64(time.Minute))
		g.addJob(3*time.Hour, sameRackShape(4, 8), runTime, g.drawAccount())
	}
}

func cancellationWave(g *generator) {
	for range 3000 {
		runTime := time.Duration((5 + 10*g.random.Float64()) * float64(time.Minute))
		g.addJob(3*time.Hour, sameRackShape(1, 1), runTime, 0)
		g.arrivals[len(g.arrivals)-1].cancelAt = 3*time.Hour + 30*time.Minute
	}
}

func unhealthyWorkers(g *generator) {
	g.outages = []outage{{from: time.Hour, to: 9 * time.Hour, workers: []int{1, 10}, unhealthy: true}}
	g.alwaysFailingShare = 0.02
}

func lostRack(g *generator) {
	g.outages = []outage{{from: 3 * time.Hour, to: 6 * time.Hour, workers: []int{0, 1, 2, 3, 4, 5, 6, 7}}}
}

// drawAccount draws the index of an account with probability proportional to its
// weight.
func (g *generator) drawAccount() int {
	total := 0.0
	for i := range g.deployment.Accounts {
		total += g.weightOf(i)
	}
	remaining := g.random.Float64() * total
	for i := range g.deployment.Accounts {
		if remaining -= g.weightOf(i); remaining < 0 {
			return i
		}
	}
	return 0
}

func (g *generator) weightOf(account int) float64 {
	if g.weights != nil {
		return g.weights[account]
	}
	return float64(g.deployment.Accounts[account].GuaranteedAccelerators(zoneName))
}

// addJob adds a job with random properties.
func (g *generator) addJob(at time.Duration, shape api.Shape, runTime time.Duration, account int) {
	kind := g.random.IntN(3)
	draw := g.random.Float64()
	spec := model.Job{
		Account: g.deployment.Accounts[account].Name, Kind: fmt.Sprintf("kind-%d", kind), Shape: shape,
		Idempotent: draw < 0.9, Checkpointable: draw < 0.6, Urgent: g.random.Float64() < 0.1,
		SubmittedAt: simulationStart.Add(at), MayBorrow: true,
		DeclaredRunTime: time.Duration(float64(runTime) / g.drawRunTimeRatio(account, kind)),
	}
	if g.random.Float64() < 0.4 {
		slack := time.Duration((1.5 + 4.5*g.random.Float64()) * float64(runTime))
		spec.Deadline = spec.SubmittedAt.Add(slack + time.Minute)
	}
	alwaysFails := g.random.Float64() < g.alwaysFailingShare
	g.arrivals = append(g.arrivals, arrival{spec: spec, at: at, runTime: runTime, alwaysFails: alwaysFails})
}

// drawRunTimeRatio draws the ratio of actual to declared run time. With wrong
// declarations, it is multiplied by a factor from 0.1 to 10 that is fixed for each
// account and kind.
func (g *generator) drawRunTimeRatio(account, kind int) float64 {
	noise := math.Exp(0.2 * g.random.NormFloat64())
	if !g.wrongDeclarations {
		return noise
	}
	factors := []float64{0.1, 0.3, 1, 3, 10}
	return noise * factors[(account*3+kind)%len(factors)]
}
