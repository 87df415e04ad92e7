package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

// holder is a gang of the snapshot, with its tasks given by worker index.
type holder struct {
	gang    *model.Gang
	account int
	parts   []part
	// fixed is true if the gang may not be stopped for a claim of another account.
	fixed bool
	// stopping is true if the gang is already being stopped.
	stopping bool
}

// preemptibleByUrgent reports whether urgent jobs of the same account may stop a fixed
// gang.
func (h *holder) preemptibleByUrgent() bool {
	return h.fixed && h.gang.Job.Preemptible() && !h.gang.Job.Urgent
}

// decider is the state of one decision: what is held, what is free and what has been
// decided so far.
type decider struct {
	snapshot   *Snapshot
	disabled   Disabled
	zone       *zone
	accounts   map[string]int
	guarantees []guarantee
	holders    []holder
	// held is what fixed gangs hold, including those placed by this decision.
	held *holdings
	// packed is the packing of the guarantees around held.
	packed packing
	// free is, by worker, what no gang holds and no claim waits for. releasing is what
	// stopping gangs are about to return and no claim waits for.
	free, releasing []int
	// use counts the accelerators of each account, fixedUse those of its fixed gangs,
	// guaranteed those of its guarantee.
	use, fixedUse, guaranteed []int
	// preemptibleByUrgent is the part of fixedUse that urgent jobs of the account may
	// stop.
	preemptibleByUrgent []int
	// onWorker lists, by worker, the indices of the holders that can be stopped.
	onWorker [][]int
	// placedReleases are the releases of the gangs that this decision places.
	placedReleases []release
	reserved       []reservation
	// heads are, by account, the jobs that wait for gangs of their own account.
	heads []head
	// mayStopOwn is set while an urgent claim may stop gangs of its own account.
	mayStopOwn bool
	// blocked is set once a job did not fit.
	blocked bool
	// failed contains the placements that did not fit. Free accelerators only decrease
	// during a decision, so these do not fit later in the same decision either.
	failed map[placementKey]bool
	plan   Plan
}

// placementKey identifies a class of placements that fit or fail alike.
type placementKey struct {
	account int
	// avoidingJob is the ID of a job that avoids workers, see func avoidingJob.
	avoidingJob string
	shape       api.Shape
	// preemptible jobs beyond a guarantee fail alike for every account.
	preemptible bool
	claim       bool
	urgent      bool
	// outlasted is the number of reservations that the job outlasts, which are those
	// with the earliest starts.
	outlasted int
}

// Decide returns the actions to take now, each with its reason: gangs to place,
// borrowers to stop and jobs to refuse.
func Decide(s Snapshot) Plan {
	return newDecider(&s, Disabled{}).decide()
}

func (d *decider) decide() Plan {
	q := newQueue(d)
	q.forEach(d.use, d.refuseExpired)
	d.findHeads(q)
	d.indexPreemptible()
	d.reserve(q)
	d.resumeKept(q)
	q.forEach(d.use, d.claimUrgent)
	q.forEach(d.use, d.claimGuarantee)
	q.forEach(d.use, d.borrowUrgent)
	q.forEach(d.use, d.claimOrBorrow)
	q.forEach(d.use, d.placeBeyondGuarantee)
	d.plan.AtRisk = d.atRisk()
	return d.plan
}

func newDecider(s *Snapshot, disabled Disabled) *decider {
	z := newZone(s.Workers, false)
	z.firstFit = disabled.BestFit
	d := &decider{
		snapshot: s, disabled: disabled, zone: z,
		accounts:            make(map[string]int, len(s.Accounts)),
		guarantees:          guaranteesOf(s.Zone, s.Accounts),
		held:                newHoldings(z, len(s.Accounts)),
		free:                append([]int(nil), z.capacity...),
		releasing:           z.zeroVector(),
		use:                 make([]int, len(s.Accounts)),
		fixedUse:            make([]int, len(s.Accounts)),
		preemptibleByUrgent: make([]int, len(s.Accounts)),
		guaranteed:          make([]int, len(s.Accounts)),
		onWorker:            make([][]int, len(z.workers)),
		heads:               make([]head, len(s.Accounts)),
		failed:              make(map[placementKey]bool),
	}
	for i := range s.Accounts {
		d.accounts[s.Accounts[i].Name] = i
		d.guaranteed[i] = s.Accounts[i].GuaranteedAccelerators(s.Zone)
	}
	for i := range s.Gangs {
		d.addGang(&s.Gangs[i])
	}
	for w := range d.free {
		d.free[w] = max(0, d.free[w])
	}
	if disabled.Repack {
		d.packed = z.packFixed(d.held, d.guarantees)
	} else {
		d.packed = z.pack(d.held, d.guarantees)
	}
	return d
}

// addGang adds a gang of the snapshot to the state.
func (d *decider) addGang(gang *model.Gang) {
	if gang.State == model.GangWaiting {
		return
	}
	account, known := d.accounts[gang.Job.Account]
	if !known {
		account = -1
	}
	h := holder{gang: gang, account: account, parts: d.zone.partsOf(gang.Placements)}
	h.stopping = gang.State == model.GangStopping
	h.fixed = !h.stopping && (!gang.Borrowed || !gang.Job.Preemptible())
	perTask := gang.Job.Shape.AcceleratorsPerTask
	addParts(d.free, h.parts, -perTask)
	if h.stopping {
		addParts(d.releasing, h.parts, perTask)
	}
	if h.fixed {
		d.held.add(account, h.parts, perTask)
	}
	if known && !h.stopping {
		d.use[account] += gang.Job.Shape.Accelerators()
	}
	if known && h.fixed {
		d.fixedUse[account] += gang.Job.Shape.Accelerators()
	}
	if known && h.preemptibleByUrgent() {
		d.preemptibleByUrgent[account] += gang.Job.Shape.Accelerators()
	}
	d.holders = append(d.holders, h)
}

// indexPreemptible fills onWorker with the gangs that can be stopped.
func (d *decider) indexPreemptible() {
	for i := range d.holders {
		h := &d.holders[i]
		if h.stopping || !h.gang.Job.Preemptible() {
			continue
		}
		for _, p := range h.parts {
			d.onWorker[p.worker] = append(d.onWorker[p.worker], i)
		}
	}
}

// placeBeyondGuarantee places a job that the guarantee of its account does not cover:
// as a borrower if it can be stopped, otherwise where it leaves every guaranteed shape
// intact.
func (d *decider) placeBeyondGuarantee(e *entry) {
	if d.confinedToGuarantee(e) {
		return
	}
	preemptible := e.job.Preemptible()
	key := placementKey{account: e.account, avoidingJob: avoidingJob(e.job), shape: e.job.Shape, preemptible: preemptible, outlasted: d.countOutlasted(e)}
	if preemptible {
		key.account = -1
	}
	if d.failed[key] || (d.disabled.Backfill && d.blocked) {
		return
	}
	parts := d.fit(e, d.available(e), nil)
	switch {
	case parts != nil && preemptible:
		d.place(e, parts, true, "borrows free accelerators")
	case parts != nil && d.addFixed(e.account, e.job, parts, false):
		d.place(e, parts, false, "fits beside every guarantee")
	default:
		d.failed[key] = true
		d.blocked = true
	}
}

// confinedToGuarantee reports whether a job may not exceed the guarantee of its
// account.
func (d *decider) confinedToGuarantee(e *entry) bool {
	return d.overLimit(e) || (e.job.Preemptible() && !e.job.MayBorrow)
}

// overLimit reports whether the job would take its account over its MaxAccelerators.
func (d *decider) overLimit(e *entry) bool {
	limit := d.snapshot.Accounts[e.account].MaxAccelerators
	return limit > 0 && d.use[e.account]+e.job.Shape.Accelerators() > limit
}

// place adds a placement to the plan.
func (d *decider) place(e *entry, parts []part, borrowed bool, reason string) {
	perTask := e.job.Shape.AcceleratorsPerTask
	second := d.secondBest(e, parts)
	addParts(d.free, parts, -perTask)
	for i := range d.reserved {
		if d.outlasts(e, i) {
			addParts(d.reserved[i].spare, parts, -perTask)
		}
	}
	d.placedReleases = append(d.placedReleases, release{at: d.snapshot.Now.Add(e.runTime), parts: parts, perTask: perTask})
	d.use[e.account] += e.job.Shape.Accelerators()
	e.done = true
	d.plan.Placements = append(d.plan.Placements, Placement{
		JobID:              e.job.ID,
		Tasks:              d.zone.placements(parts, e.job.Shape),
		Borrowed:           borrowed,
		ExpectedCompletion: d.snapshot.Now.Add(e.runTime),
	})
	d.decided("place", e.job, d.zone.describe(parts), reason)
	d.plan.Decisions[len(d.plan.Decisions)-1].SecondBest = second
}

// secondBest describes where the job would be placed without the workers of its
// placement. It is recorded with the decision.
func (d *decider) secondBest(e *entry, parts []part) string {
	usable := append([]int(nil), d.free...)
	for _, p := range parts {
		usable[p.worker] = 0
	}
	if other := d.fit(e, usable, nil); other != nil {
		return d.zone.describe(other)
	}
	return "nowhere else now"
}

// describe returns the ID of the first worker of a placement and the number of the
// other workers.
func (z *zone) describe(parts []part) string {
	first := z.workers[parts[0].worker].ID
	switch len(parts) {
	case 1:
		return first
	case 2:
		return first + " and 1 more worker"
	}
	return fmt.Sprintf("%s and %d more workers", first, len(parts)-1)
}

// addFixed adds the parts of a job to the fixed holdings of its account and reports
// whether it did. It does so only if the guarantees still pack, with no account
// missing more shapes than before. With inside, the job must also lie inside its own
// account's shapes.
func (d *decider) addFixed(account int, job *model.Job, parts []part, inside bool) bool {
	perTask := job.Shape.AcceleratorsPerTask
	if !d.addFixedInside(account, parts, perTask) && !d.addFixedRepacked(account, parts, perTask, inside) {
		return false
	}
	d.fixedUse[account] += job.Shape.Accelerators()
	return true
}

// addFixedRepacked packs the guarantees again around the parts. On failure it changes
// nothing.
func (d *decider) addFixedRepacked(account int, parts []part, perTask int, inside bool) bool {
	if d.disabled.Repack {
		return !inside && d.addFixedOutside(account, parts, perTask)
	}
	d.held.add(account, parts, perTask)
	repacked := d.zone.pack(d.held, d.guarantees)
	if !repacked.noWorseThan(&d.packed) || (inside && repacked.outside[account] > d.packed.outside[account]) {
		d.held.add(account, parts, -perTask)
		return false
	}
	d.packed = repacked
	return true
}

// addFixedInside adds parts that lie inside the account's shapes as currently packed,
// so that the packing remains valid.
func (d *decider) addFixedInside(account int, parts []part, perTask int) bool {
	cells := d.packed.cells[account]
	if slices.ContainsFunc(parts, func(p part) bool { return cells[p.worker] < p.tasks*perTask }) {
		return false
	}
	addParts(cells, parts, -perTask)
	for _, p := range parts {
		takeFrom(d.packed.partlyUsedCells[account], p.worker, p.tasks*perTask)
	}
	d.held.add(account, parts, perTask)
	return true
}

// atRisk maps each account whose guarantee cannot be provided to the reason.
func (d *decider) atRisk() map[string]string {
	risks := make(map[string]string)
	for i, missing := range d.packed.missing {
		if missing > 0 {
			risks[d.snapshot.Accounts[i].Name] = fmt.Sprintf(
				"%d of its guaranteed shapes do not pack into the workers that take tasks", missing)
		}
	}
	return risks
}

// decided records one decision.
func (d *decider) decided(step string, job *model.Job, choice, reason string) {
	d.plan.Decisions = append(d.plan.Decisions, api.Decision{
		At: d.snapshot.Now, Step: step, Subject: job.ID, Account: job.Account, Choice: choice, Reason: reason,
	})
}

// refuse adds a refusal to the plan.
func (d *decider) refuse(e *entry, kind api.Kind, reason string) {
	e.done = true
	after := time.Duration(api.AnswerFor(kind).RetryAfterS * float64(time.Second))
	d.plan.Refusals = append(d.plan.Refusals, Refusal{JobID: e.job.ID, Kind: kind, Reason: reason, RetryAfter: after})
	d.decided("refuse", e.job, string(kind), reason)
}
