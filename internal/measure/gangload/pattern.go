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

// horizon is how long jobs arrive; afterwards the zone runs empty.
const horizon = 12 * time.Hour

// arrival is one job with what only a clairvoyant knows.
type arrival struct {
	job model.Job
	at  time.Duration
	// run is the real run time.
	run time.Duration
	// cancelAt is zero unless the caller cancels.
	cancelAt time.Duration
	// doomed jobs fail on every worker.
	doomed bool
}

// outage takes a rack's workers away, or makes workers fail every task.
type outage struct {
	from, to time.Duration
	workers  []int
	sick     bool
}

// Pattern is a load pattern.
type Pattern struct {
	Name string
	// load is the offered work as a multiple of what the zone can run.
	load  float64
	build func(*generator)
	// ablated patterns are played with each decision switched off in turn too.
	ablated bool
}

// generator draws the arrivals of one pattern.
type generator struct {
	random     *rand.Rand
	deployment *Deployment
	arrivals   []arrival
	outages    []outage
	// weights shares the jobs between the accounts; nil is by guarantee.
	weights []float64
	// mix draws a shape and a real run time.
	mix func(*rand.Rand) (api.Shape, time.Duration)
	// error draws real over declared run time for a kind of work.
	wrong bool
	// doomedShare is the share of jobs that fail on every worker.
	doomedShare float64
}

// Patterns returns all load patterns.
func Patterns() []Pattern {
	oneHot := func(g *generator) { g.weights = []float64{0.85, 0.05, 0.05, 0.05} }
	asIs := func(*generator) {}
	return []Pattern{
		{Name: "burst of small", load: 0.6, build: burstOfSmall},
		{Name: "burst of large", load: 0.6, build: burstOfLarge, ablated: true},
		{Name: "one account with most of the load", load: 1.2, build: oneHot},
		{Name: "long among short", load: 0.9, build: func(g *generator) { g.mix = longAmongShort }},
		{Name: "saturation 1", load: 1, build: asIs, ablated: true},
		{Name: "saturation 1.5", load: 1.5, build: asIs, ablated: true},
		{Name: "saturation 3", load: 3, build: asIs},
		{Name: "cancellation wave", load: 0.8, build: cancellationWave},
		{Name: "wrong declarations", load: 1, build: func(g *generator) { g.wrong = true }, ablated: true},
		{Name: "workers that fail everything", load: 0.8, build: sickWorkers, ablated: true},
		{Name: "lost rack", load: 0.8, build: lostRack},
	}
}

// generate draws the arrivals of a pattern at a deployment.
func generate(p Pattern, d *Deployment, seed uint64) *generator {
	g := &generator{random: rand.New(rand.NewPCG(seed, 7)), deployment: d, mix: mixed}
	p.build(g)
	work := p.load * float64(d.capacity()) * horizon.Seconds()
	for work > 0 {
		at := time.Duration(g.random.Float64() * float64(horizon))
		shape, run := g.mix(g.random)
		g.add(at, shape, run, g.drawAccount())
		work -= float64(shape.Accelerators()) * run.Seconds()
	}
	slices.SortStableFunc(g.arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	for i := range g.arrivals {
		g.arrivals[i].job.ID = fmt.Sprintf("j%05d", i)
	}
	return g
}

// mixed is the everyday mix: many small gangs, some of whole workers, few of
// half a rack; run times are log-normal around 15 minutes.
func mixed(random *rand.Rand) (api.Shape, time.Duration) {
	run := time.Duration(900 * math.Exp(random.NormFloat64()) * float64(time.Second))
	return drawShape(random), min(max(run, time.Minute), 6*time.Hour)
}

func drawShape(random *rand.Rand) api.Shape {
	switch p := random.Float64(); {
	case p < 0.35:
		return inRack(1, 1)
	case p < 0.50:
		return inRack(1, 2)
	case p < 0.65:
		return inRack(1, 4)
	case p < 0.85:
		return inRack(1, 8)
	case p < 0.95:
		return inRack(2, 8)
	default:
		return inRack(4, 8)
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
		run := time.Duration((5 + 10*g.random.Float64()) * float64(time.Minute))
		g.add(3*time.Hour, inRack(1, 1<<g.random.IntN(3)), run, 0)
	}
}

func burstOfLarge(g *generator) {
	for range 24 {
		run := time.Duration((20 + 40*g.random.Float64()) * float64(time.Minute))
		g.add(3*time.Hour, inRack(4, 8), run, g.drawAccount())
	}
}

func cancellationWave(g *generator) {
	for range 3000 {
		run := time.Duration((5 + 10*g.random.Float64()) * float64(time.Minute))
		g.add(3*time.Hour, inRack(1, 1), run, 0)
		g.arrivals[len(g.arrivals)-1].cancelAt = 3*time.Hour + 30*time.Minute
	}
}

func sickWorkers(g *generator) {
	g.outages = []outage{{from: time.Hour, to: 9 * time.Hour, workers: []int{1, 10}, sick: true}}
	g.doomedShare = 0.02
}

func lostRack(g *generator) {
	g.outages = []outage{{from: 3 * time.Hour, to: 6 * time.Hour, workers: []int{0, 1, 2, 3, 4, 5, 6, 7}}}
}

// drawAccount draws an account by its weight.
func (g *generator) drawAccount() int {
	total := 0.0
	for i := range g.deployment.Accounts {
		total += g.weight(i)
	}
	left := g.random.Float64() * total
	for i := range g.deployment.Accounts {
		if left -= g.weight(i); left < 0 {
			return i
		}
	}
	return 0
}

func (g *generator) weight(account int) float64 {
	if g.weights != nil {
		return g.weights[account]
	}
	return float64(g.deployment.Accounts[account].GuaranteedAccelerators(zoneName))
}

// add adds one job with drawn traits.
func (g *generator) add(at time.Duration, shape api.Shape, run time.Duration, account int) {
	kind := g.random.IntN(3)
	traits := g.random.Float64()
	job := model.Job{
		Account: g.deployment.Accounts[account].Name, Kind: fmt.Sprintf("kind-%d", kind), Shape: shape,
		Idempotent: traits < 0.9, Checkpointable: traits < 0.6, Urgent: g.random.Float64() < 0.1,
		SubmittedAt: epoch.Add(at), MayBorrow: true,
		DeclaredRun: time.Duration(float64(run) / g.ratio(account, kind)),
	}
	if g.random.Float64() < 0.4 {
		slack := time.Duration((1.5 + 4.5*g.random.Float64()) * float64(run))
		job.Deadline = job.SubmittedAt.Add(slack + time.Minute)
	}
	doomed := g.random.Float64() < g.doomedShare
	g.arrivals = append(g.arrivals, arrival{job: job, at: at, run: run, doomed: doomed})
}

// ratio draws real over declared run time. With wrong declarations each account
// and kind has its own factor from 0.1 to 10.
func (g *generator) ratio(account, kind int) float64 {
	noise := math.Exp(0.2 * g.random.NormFloat64())
	if !g.wrong {
		return noise
	}
	factors := []float64{0.1, 0.3, 1, 3, 10}
	return noise * factors[(account*3+kind)%len(factors)]
}
