package placer

import (
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/placement"
)

// snapshot returns the input of the placement decisions. Waiting jobs that must
// not be placed yet are left out.
func (c *core) snapshot(now time.Time) placement.Snapshot {
	s := placement.Snapshot{Now: now, Zone: c.zone, RunTimes: c.runTimes, KeptRegions: c.keptRegions}
	if c.config != nil {
		s.Accounts = c.config.Document.Accounts
		s.Objectives = c.config.Document.Objectives
	}
	for _, e := range c.openEntries() {
		if e.state == stWaiting {
			if e.writtenThisEpoch && !now.Before(e.notBefore) {
				s.Waiting = append(s.Waiting, e.job())
			}
			continue
		}
		s.Gangs = append(s.Gangs, e.gang())
	}
	s.Workers = c.workerList(anyIdempotent(s.Waiting))
	return s
}

// workerList returns the workers as placement input. If probe is set, a worker
// that is being probed and holds no gang counts as healthy, so that it takes one
// gang. Callers set it while idempotent jobs are waiting, because only these are
// placed on such a worker.
func (c *core) workerList(probe bool) []model.Worker {
	list := make([]model.Worker, 0, len(c.workers))
	for _, id := range sortedKeys(c.workers) {
		w := c.workers[id].Worker
		if probe && w.Health == model.WorkerProbing && !c.workerHoldsGang(id) {
			w.Health = model.WorkerHealthy
		}
		list = append(list, w)
	}
	return list
}

func anyIdempotent(jobs []model.Job) bool {
	for _, job := range jobs {
		if job.Idempotent {
			return true
		}
	}
	return false
}

// usesProbedWorker reports whether a placement includes a worker that is being
// probed.
func (c *core) usesProbedWorker(p placement.Placement) bool {
	for _, task := range p.Tasks {
		if w := c.workers[task.Worker]; w != nil && w.Health == model.WorkerProbing {
			return true
		}
	}
	return false
}

func (e *entry) job() model.Job {
	submission := e.record.Submission
	job := model.Job{
		ID: e.record.ID, Account: submission.Account, Kind: submission.Kind, Shape: submission.Shape,
		Idempotent: submission.Idempotent, Checkpointable: submission.Checkpointable, Urgent: submission.Urgent,
		SubmittedAt: e.record.SubmittedAt, DeclaredRunTime: seconds(submission.DeclaredRunS),
		Progress: seconds(e.record.ProgressS), Priority: e.record.Priority, MayBorrow: e.record.Borrow,
		MaxWait: time.Duration(e.record.MaxWaitMS) * time.Millisecond, Attempt: e.record.Attempt,
		Avoid: e.record.FailedOn,
	}
	if submission.Deadline != nil {
		job.Deadline = *submission.Deadline
	}
	if e.mayHaveRunBefore {
		// The limit applies to the wait for the first start only.
		job.MaxWait = 0
	}
	return job
}

func (e *entry) gang() model.Gang {
	gang := model.Gang{
		Job: e.job(), State: model.GangState(e.state), StartedAt: e.record.StartedAt,
		ExpectedCompletion: e.expectedCompletion, Borrowed: e.borrowed,
	}
	if e.state == stCancelling {
		gang.State = model.GangStopping
	}
	for _, p := range e.parts {
		gang.Placements = append(gang.Placements, p.task)
	}
	return gang
}

// setConfig applies the configuration in force.
func (c *core) setConfig(snapshot *config.Snapshot) {
	if snapshot == nil || (c.config != nil && c.config.Version == snapshot.Version) {
		return
	}
	c.config = snapshot
	c.planOutdated = true
	c.markBorrowers()
}

// markBorrowers marks the gangs that the guarantees no longer cover as borrowed,
// latest first, so that they can be reclaimed when another account claims its
// guarantee. Gangs that cannot be stopped are not marked.
func (c *core) markBorrowers() {
	covered := make(map[string]int)
	for _, account := range c.config.Document.Accounts {
		covered[account.Name] = account.GuaranteedAccelerators(c.zone)
	}
	for _, e := range c.open {
		if len(e.parts) == 0 || e.borrowed {
			continue
		}
		job := e.job()
		covered[job.Account] -= job.Shape.Accelerators()
		if covered[job.Account] < 0 && job.Preemptible() {
			covered[job.Account] += job.Shape.Accelerators()
			e.borrowed = true
			e.record.Borrowed = true
			c.markUnsaved(e)
		}
	}
}

// round makes a plan and carries it out. Both happen in the same iteration of the
// event loop, which owns the state, so only placements that cannot be undone are
// checked again. The workers are authoritative and check each part when it is
// reserved.
func (c *core) round(now time.Time) {
	c.checkTimeouts(now)
	c.writeUnsaved(now)
	if !c.holdsLease || !c.recovered {
		return
	}
	if !c.planOutdated && now.Sub(c.plannedAt) < maxPlanInterval {
		return
	}
	c.planOutdated, c.plannedAt = false, now
	plan := placement.Decide(c.snapshot(now))
	recordPlanMetrics(plan)
	for _, d := range plan.Decisions {
		if e, ok := c.jobs[d.Subject]; ok && d.Rule == "" {
			d.Rule = e.record.Rule
		}
		c.recorder.Record(d)
	}
	for _, refusal := range plan.Refusals {
		c.refuseWaiting(refusal, now)
	}
	c.keptRegions = nil
	if !c.mayPlace {
		return
	}
	c.keptRegions = plan.KeptRegions
	for _, r := range plan.Reclaims {
		if e, ok := c.jobs[r.JobID]; ok {
			c.reclaimGang(e, r, now)
		}
	}
	for _, p := range plan.Placements {
		c.place(p, now)
	}
}

func (c *core) refuseWaiting(r placement.Refusal, now time.Time) {
	e, ok := c.jobs[r.JobID]
	if !ok || e.state != stWaiting {
		return
	}
	e.refusalKind = r.Kind
	c.transition(e, evRefuse, r.Reason, now)
}

func (c *core) place(p placement.Placement, now time.Time) {
	e, ok := c.jobs[p.JobID]
	if !ok || e.state != stWaiting {
		return
	}
	if !e.record.Submission.Idempotent && !c.platformReachable {
		c.decide(now, e, "wait", "waiting", "the platform is needed to record the start of work that is not idempotent", "")
		return
	}
	if !e.record.Submission.Idempotent && c.usesProbedWorker(p) {
		c.decide(now, e, "wait", "waiting", "a worker of the placement is being probed", "")
		return
	}
	if err := c.recheck(e, p, now); err != nil {
		c.decide(now, e, "recheck", "waiting", err.Error(), "")
		return
	}
	c.reserveGang(e, p, now)
}

// recheck checks the placement of a gang that cannot be stopped against the state
// left by the placements before it. A wrong placement would keep another account
// from its guarantee until the gang ends.
func (c *core) recheck(e *entry, p placement.Placement, now time.Time) error {
	if e.job().Preemptible() {
		return nil
	}
	return placement.Recheck(c.snapshot(now), p)
}

// answer returns the answer of a job as callers see it.
func (c *core) answer(e *entry) api.JobAnswer {
	r := e.record
	shape := r.Submission.Shape
	answer := api.JobAnswer{
		ID: r.ID, Outcome: api.OutcomeAccepted, Rule: r.Rule, State: string(e.state), AvailabilityZone: r.Zone,
		Attempt: r.Attempt, Account: r.Submission.Account, Kind: r.Submission.Kind, Shape: &shape,
		SubmittedAt: timeOrNil(r.SubmittedAt), StartedAt: timeOrNil(r.StartedAt), EndedAt: timeOrNil(r.EndedAt),
	}
	if c.outcomeVisible(e) {
		answer.Outcome, answer.ErrorKind, answer.Message = r.Outcome, r.ErrorKind, r.Message
		answer.RetryAfterS = api.DefaultRetryAfterS(r.ErrorKind)
		return answer
	}
	if c.gangChart.Final(e.state) {
		answer.State, answer.EndedAt = string(e.stateBeforeEnd), nil
	}
	answer.EstimatedFinish = timeOrNil(e.expectedCompletion)
	for _, p := range e.parts {
		answer.Placements = append(answer.Placements, p.task)
	}
	return answer
}

func timeOrNil(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	return &t
}

// load returns the ratio of accelerators that open jobs hold or request to those
// of workers that accept work, or 0 while this instance is not the placer.
func (c *core) load() float64 {
	if c.checkActive() != nil {
		return 0
	}
	capacity, wanted := 0, 0
	for _, w := range c.workers {
		if w.AcceptsTasks() {
			capacity += w.Accelerators
		}
	}
	for _, e := range c.jobs {
		if !c.gangChart.Final(e.state) {
			wanted += e.record.Submission.Shape.Accelerators()
		}
	}
	return float64(wanted) / float64(max(capacity, 1))
}

// status returns the state of the zone in this placer's memory.
func (c *core) status(now time.Time) api.Status {
	s := c.snapshot(now)
	zone := api.ZoneStatus{AvailabilityZone: c.zone, Placer: c.instance, Epoch: c.epoch, PlatformReach: c.platformReachable}
	free := make(map[string]int)
	for _, w := range s.Workers {
		zone.Workers++
		if !w.AcceptsTasks() {
			zone.WorkersSick++
			continue
		}
		zone.Accelerators += w.Accelerators
		free[w.ID] = w.Accelerators
	}
	for _, gang := range s.Gangs {
		zone.Running++
		for _, task := range gang.Placements {
			free[task.Worker] -= task.Accelerators
		}
	}
	for _, n := range free {
		zone.Free += max(n, 0)
	}
	zone.Waiting = len(s.Waiting)
	zone.Fragmentation = placement.Fragmentation(s)
	return api.Status{Instance: c.instance, Zones: []api.ZoneStatus{zone}, Accounts: placement.Accounts(s)}
}
