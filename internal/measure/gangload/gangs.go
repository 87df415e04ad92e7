package gangload

import (
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/placement"
)

// start starts a gang and schedules its completion or its failure.
func (sim *simulation) start(job *simulatedJob, p placement.Placement) {
	sim.queue = removeJob(sim.queue, job)
	sim.active = append(sim.active, job)
	job.status = running
	job.generation++
	at := sim.now + startDelay
	if job.firstStart == 0 {
		job.firstStart = at
	}
	job.gang = model.Gang{
		Job: job.spec, State: model.GangRunning, Placements: p.Tasks, StartedAt: simulationStart.Add(at),
		ExpectedCompletion: p.ExpectedCompletion, Borrowed: p.Borrowed,
	}
	if worker := sim.failingWorker(job); worker != "" {
		sim.scheduleForAttempt(job, at+failureDelay, func() { sim.fail(job, worker) })
		return
	}
	sim.scheduleForAttempt(job, at+job.runTime-job.progress, func() { sim.finish(job) })
}

// failingWorker returns the worker on which a gang will fail, or an empty string.
func (sim *simulation) failingWorker(job *simulatedJob) string {
	for _, p := range job.gang.Placements {
		if sim.unhealthy[p.Worker] {
			return p.Worker
		}
	}
	if job.alwaysFails {
		return job.gang.Placements[0].Worker
	}
	return ""
}

// scheduleForAttempt runs action at the time at if the job's current attempt has
// not ended or been stopped by then.
func (sim *simulation) scheduleForAttempt(job *simulatedJob, at time.Duration, action func()) {
	generation := job.generation
	sim.schedule(at, func() {
		if job.generation == generation {
			action()
		}
	})
}

func (sim *simulation) finish(job *simulatedJob) {
	sim.history.Observe(job.spec.Account, job.spec.Kind, job.spec.DeclaredRunTime, job.runTime)
	for _, p := range job.gang.Placements {
		sim.tracker.TaskSucceeded(p.Worker, job.spec.ID, sim.wallTime())
	}
	sim.endJob(job, done)
}

// fail handles a gang that failed on its own, on the given worker.
func (sim *simulation) fail(job *simulatedJob, worker string) {
	job.failures++
	abandon := job.failures >= maxFailures || !job.spec.Preemptible()
	if sim.policy.UsesQuarantine() {
		verdict := sim.tracker.TaskFailed(worker, job.spec.ID, sim.wallTime())
		abandon = abandon || verdict.FaultyJob != ""
		if verdict.UnhealthyWorker != "" {
			sim.setHealth(verdict.UnhealthyWorker, model.WorkerQuarantined)
		}
	}
	if abandon {
		sim.endJob(job, failed)
		return
	}
	sim.requeue(job)
}

// reclaim stops a borrowing gang with the method that the plan chose.
func (sim *simulation) reclaim(job *simulatedJob, r placement.Reclaim) {
	job.gang.State = model.GangStopping
	job.status = stopping
	job.generation++
	elapsed := max(0, sim.now-job.gang.StartedAt.Sub(simulationStart))
	if r.Method != placement.MethodCheckpoint {
		sim.scheduleForAttempt(job, sim.now+stopDelay, func() { sim.requeue(job) })
		return
	}
	checkpointTime := time.Duration((1 + 2*sim.random.Float64()) * float64(time.Second))
	if sim.random.Float64() < slowCheckpointShare {
		sim.scheduleForAttempt(job, sim.now+r.Timeout+stopDelay, func() { sim.requeue(job) })
		return
	}
	sim.scheduleForAttempt(job, sim.now+checkpointTime, func() {
		job.progress = min(job.progress+elapsed, job.runTime)
		sim.requeue(job)
	})
}

// startOutage removes the workers of the outage, or makes them fail every task.
func (sim *simulation) startOutage(o outage) {
	for _, i := range o.workers {
		if o.unhealthy {
			sim.unhealthy[sim.workers[i].ID] = true
			continue
		}
		sim.workers[i].Health = model.WorkerLost
	}
	if o.unhealthy {
		return
	}
	for _, job := range slices.Clone(sim.active) {
		if slices.ContainsFunc(job.gang.Placements, func(p taskPlacement) bool {
			return sim.workers[workerIndex(sim.workers, p.Worker)].Health == model.WorkerLost
		}) {
			sim.interruptGang(job)
		}
	}
}

// interruptGang stops a gang that lost a worker. If its job may be stopped, the job
// is requeued with the progress of its last periodic checkpoint, if it has
// checkpoints; otherwise the job is lost.
func (sim *simulation) interruptGang(job *simulatedJob) {
	if !job.spec.Preemptible() {
		sim.endJob(job, lost)
		return
	}
	if job.spec.Checkpointable {
		elapsed := max(0, sim.now-job.gang.StartedAt.Sub(simulationStart))
		job.progress = min(job.progress+elapsed/checkpointInterval*checkpointInterval, job.runTime)
	}
	sim.requeue(job)
}

func (sim *simulation) endOutage(o outage) {
	for _, i := range o.workers {
		if o.unhealthy {
			delete(sim.unhealthy, sim.workers[i].ID)
			continue
		}
		sim.workers[i].Health = model.WorkerHealthy
	}
}
