package gangload

import (
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/placement"
)

// start runs a gang until it finishes or fails.
func (pl *player) start(job *play, p placement.Placement) {
	pl.queue = without(pl.queue, job)
	pl.held = append(pl.held, job)
	job.status = running
	job.turn++
	at := pl.now + startDelay
	if job.firstStart == 0 {
		job.firstStart = at
	}
	job.gang = model.Gang{
		Job: job.job, State: model.GangRunning, Placements: p.Tasks, StartedAt: epoch.Add(at),
		ExpectedEnd: p.ExpectedEnd, Borrowed: p.Borrowed,
	}
	if worker := pl.failingWorker(job); worker != "" {
		pl.later(job, at+failsAfter, func() { pl.fail(job, worker) })
		return
	}
	pl.later(job, at+job.run-job.progress, func() { pl.finish(job) })
}

// failingWorker names the worker on which a gang will fail, or "".
func (pl *player) failingWorker(job *play) string {
	for _, p := range job.gang.Placements {
		if pl.sick[p.Worker] {
			return p.Worker
		}
	}
	if job.doomed {
		return job.gang.Placements[0].Worker
	}
	return ""
}

// later does something for the present attempt of a job.
func (pl *player) later(job *play, at time.Duration, do func()) {
	turn := job.turn
	pl.at(at, func() {
		if job.turn == turn {
			do()
		}
	})
}

func (pl *player) finish(job *play) {
	pl.history.Observe(job.job.Account, job.job.Kind, job.job.DeclaredRun, job.run)
	for _, p := range job.gang.Placements {
		pl.tracker.TaskSucceeded(p.Worker, job.job.ID, pl.wall())
	}
	pl.end(job, done)
}

// fail handles a gang that failed by itself.
func (pl *player) fail(job *play, worker string) {
	job.failures++
	giveUp := job.failures >= maxFailures || !job.job.Stoppable()
	if pl.policy.Quarantines() {
		verdict := pl.tracker.TaskFailed(worker, job.job.ID, pl.wall())
		giveUp = giveUp || verdict.SickJob != ""
		if verdict.SickWorker != "" {
			pl.setHealth(verdict.SickWorker, model.WorkerQuarantined)
		}
	}
	if giveUp {
		pl.end(job, failed)
		return
	}
	pl.requeue(job)
}

// reclaim stops a borrowing gang by the method of the plan.
func (pl *player) reclaim(job *play, r placement.Reclaim) {
	job.gang.State = model.GangStopping
	job.status = stopping
	job.turn++
	ran := max(0, pl.now-job.gang.StartedAt.Sub(epoch))
	if r.Method != placement.MethodCheckpoint {
		pl.later(job, pl.now+stopDelay, func() { pl.requeue(job) })
		return
	}
	took := time.Duration((1 + 2*pl.random.Float64()) * float64(time.Second))
	if pl.random.Float64() < slowCheckpoints {
		pl.later(job, pl.now+r.Within+stopDelay, func() { pl.requeue(job) })
		return
	}
	pl.later(job, pl.now+took, func() {
		job.progress = min(job.progress+ran, job.run)
		pl.requeue(job)
	})
}

// outageStarts takes workers away, or makes them fail what they start.
func (pl *player) outageStarts(o outage) {
	for _, i := range o.workers {
		if o.sick {
			pl.sick[pl.workers[i].ID] = true
			continue
		}
		pl.workers[i].Health = model.WorkerLost
	}
	if o.sick {
		return
	}
	for _, job := range slices.Clone(pl.held) {
		if slices.ContainsFunc(job.gang.Placements, func(p taskPlacement) bool {
			return pl.workers[indexOf(pl.workers, p.Worker)].Health == model.WorkerLost
		}) {
			pl.loseGang(job)
		}
	}
}

// loseGang stops a gang that lost a worker: it restarts from its last own
// checkpoint if it may.
func (pl *player) loseGang(job *play) {
	if !job.job.Stoppable() {
		pl.end(job, lost)
		return
	}
	if job.job.Checkpointable {
		ran := max(0, pl.now-job.gang.StartedAt.Sub(epoch))
		job.progress = min(job.progress+ran/checkpointEvery*checkpointEvery, job.run)
	}
	pl.requeue(job)
}

func (pl *player) outageEnds(o outage) {
	for _, i := range o.workers {
		if o.sick {
			delete(pl.sick, pl.workers[i].ID)
			continue
		}
		pl.workers[i].Health = model.WorkerHealthy
	}
}
