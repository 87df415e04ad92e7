package gangload

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/estimate"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/placement"
	"github.com/corianderbank/corianderbank/internal/quarantine"
)

// simulationStart is the wall-clock time of virtual time zero.
var simulationStart = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

const (
	// startDelay is the time to reserve workers for a gang and start it.
	startDelay = 300 * time.Millisecond
	// stopDelay is the time to stop a gang without a checkpoint.
	stopDelay = 500 * time.Millisecond
	// slowCheckpointShare is the proportion of checkpoints that exceed the time
	// limit.
	slowCheckpointShare = 0.05
	// checkpointInterval is the time between the periodic checkpoints of a
	// checkpointable gang.
	checkpointInterval = 10 * time.Minute
	// failureDelay is the run time of a task that fails because of an unhealthy worker
	// or a faulty job.
	failureDelay = 5 * time.Second
	// tickInterval is the longest time between two decisions.
	tickInterval = time.Minute
	// maxFailures is the number of failures after which a job is abandoned. Policies
	// without a quarantine have no other way to detect a faulty job.
	maxFailures = 5
	// simulationLimit is the longest virtual time of a simulation.
	simulationLimit = 6 * horizon
)

// jobStatus is the state of a job in the simulation.
type jobStatus int

const (
	pending jobStatus = iota
	waiting
	running
	stopping
	ended
)

// outcome is the result with which a job ended.
type outcome int

const (
	noOutcome outcome = iota
	done
	refused
	cancelled
	failed
	lost
)

// simulatedJob is one job in the simulation.
type simulatedJob struct {
	*arrival
	status   jobStatus
	outcome  outcome
	gang     model.Gang
	progress time.Duration
	failures int
	// generation changes whenever an attempt starts or stops, which invalidates the
	// scheduled events of earlier generations.
	generation int
	// claimsGuarantee is set while the job claims its account's guarantee, see
	// updateClaims.
	claimsGuarantee     bool
	firstStart, endedAt time.Duration
	// feasible is set for refused jobs that could have been started at once on free
	// accelerators and would then have met their deadline.
	feasible bool
}

// simulation is the state of one simulation of a pattern.
type simulation struct {
	deployment  *Deployment
	policy      Policy
	random      *rand.Rand
	now         time.Duration
	events      eventHeap
	seq         int
	workers     []model.Worker
	unhealthy   map[string]bool
	jobs        map[string]*simulatedJob
	jobList     []*simulatedJob
	queue       []*simulatedJob
	active      []*simulatedJob
	keptRegions []placement.KeptRegion
	history     *estimate.History
	tracker     *quarantine.Tracker
	integrals   integrals
}

// simulate runs a pattern under a policy and returns the final state.
func simulate(p Pattern, d *Deployment, policy Policy, seed uint64) *simulation {
	generated := generate(p, d, seed)
	sim := &simulation{
		deployment: d, policy: policy, random: rand.New(rand.NewPCG(seed, 11)),
		workers: slices.Clone(d.Workers), unhealthy: make(map[string]bool), jobs: make(map[string]*simulatedJob),
		history: estimate.NewHistory(), tracker: quarantine.NewTracker(), integrals: newIntegrals(d),
	}
	for i := range generated.arrivals {
		job := &simulatedJob{arrival: &generated.arrivals[i]}
		sim.jobs[job.spec.ID] = job
		sim.jobList = append(sim.jobList, job)
		sim.schedule(job.at, func() { sim.submit(job) })
		if job.cancelAt > 0 {
			sim.schedule(job.cancelAt, func() { sim.cancel(job) })
		}
	}
	for _, o := range generated.outages {
		sim.schedule(o.from, func() { sim.startOutage(o) })
		sim.schedule(o.to, func() { sim.endOutage(o) })
	}
	sim.schedule(tickInterval, sim.tick)
	sim.runEvents()
	return sim
}

// runEvents handles events in order of time, until none is left or simulationLimit
// is reached. It makes a decision after all events of the same time have been
// handled.
func (sim *simulation) runEvents() {
	for len(sim.events) > 0 && sim.now < simulationLimit {
		at := sim.events[0].at
		sim.integrals.advance(sim, at)
		sim.now = at
		for len(sim.events) > 0 && sim.events[0].at == at {
			heap.Pop(&sim.events).(*event).action()
		}
		sim.decide()
	}
}

// tick is a periodic event, so that decisions are made at least every
// tickInterval. It also probes quarantined workers whose cooldown is over.
func (sim *simulation) tick() {
	for _, worker := range sim.tracker.StartProbes(sim.wallTime()) {
		ok := !sim.unhealthy[worker]
		sim.tracker.Probed(worker, ok, sim.wallTime())
		if ok {
			sim.setHealth(worker, model.WorkerHealthy)
		}
	}
	if len(sim.queue)+len(sim.active) > 0 || sim.now < horizon {
		sim.schedule(sim.now+tickInterval, sim.tick)
	}
}

func (sim *simulation) submit(job *simulatedJob) {
	if refusal := sim.policy.Admit(sim.snapshotWithoutQueue(), job.spec); refusal != nil {
		sim.refuse(job)
		return
	}
	job.status = waiting
	sim.queue = append(sim.queue, job)
	sim.updateClaims(job)
}

func (sim *simulation) refuse(job *simulatedJob) {
	if !job.spec.Deadline.IsZero() {
		inTime := sim.wallTime().Add(startDelay + job.runTime - job.progress).Before(job.spec.Deadline)
		job.feasible = inTime && placeFirstFit(sim.workers, freeAccelerators(sim.snapshotWithoutQueue()), job.spec.Shape) != nil
	}
	sim.endJob(job, refused)
}

func (sim *simulation) cancel(job *simulatedJob) {
	if job.status != ended {
		sim.endJob(job, cancelled)
	}
}

// endJob ends a job and removes it from the queue and from its workers.
func (sim *simulation) endJob(job *simulatedJob, result outcome) {
	sim.queue = removeJob(sim.queue, job)
	sim.active = removeJob(sim.active, job)
	job.status, job.outcome, job.endedAt = ended, result, sim.now
	job.generation++
}

func removeJob(jobs []*simulatedJob, job *simulatedJob) []*simulatedJob {
	if i := slices.Index(jobs, job); i >= 0 {
		return slices.Delete(jobs, i, i+1)
	}
	return jobs
}

// requeue returns a stopped job to the queue, which is ordered by arrival.
func (sim *simulation) requeue(job *simulatedJob) {
	sim.active = removeJob(sim.active, job)
	job.status = waiting
	job.generation++
	job.spec.Progress = job.progress
	job.spec.Attempt++
	i, _ := slices.BinarySearchFunc(sim.queue, job, func(a, b *simulatedJob) int { return int(a.at - b.at) })
	sim.queue = slices.Insert(sim.queue, i, job)
}

func (sim *simulation) wallTime() time.Time { return simulationStart.Add(sim.now) }

func (sim *simulation) setHealth(id string, health model.WorkerHealth) {
	sim.workers[workerIndex(sim.workers, id)].Health = health
}

// snapshot returns the state of the zone that a policy decides on.
func (sim *simulation) snapshot() placement.Snapshot {
	s := sim.snapshotWithoutQueue()
	s.Waiting = make([]model.Job, len(sim.queue))
	for i, job := range sim.queue {
		s.Waiting[i] = job.spec
	}
	return s
}

// snapshotWithoutQueue returns a snapshot without the waiting jobs, which admission
// does not use.
func (sim *simulation) snapshotWithoutQueue() placement.Snapshot {
	s := placement.Snapshot{
		Now: sim.wallTime(), Zone: zoneName, Workers: sim.workers, Accounts: sim.deployment.Accounts,
		Objectives: sim.deployment.Objectives, RunTimes: sim.history, KeptRegions: sim.keptRegions, Gangs: make([]model.Gang, len(sim.active)),
	}
	for i, job := range sim.active {
		s.Gangs[i] = job.gang
	}
	return s
}

// decide applies the plan of the policy. It does nothing while no job waits.
func (sim *simulation) decide() {
	if len(sim.queue) == 0 {
		return
	}
	plan := sim.policy.Decide(sim.snapshot())
	sim.keptRegions = plan.KeptRegions
	for _, r := range plan.Refusals {
		sim.refuse(sim.jobs[r.JobID])
	}
	for _, r := range plan.Reclaims {
		sim.reclaim(sim.jobs[r.JobID], r)
	}
	for _, p := range plan.Placements {
		sim.start(sim.jobs[p.JobID], p)
	}
}
