package gangload

import (
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/measure"
	"github.com/corianderbank/corianderbank/internal/placement"
)

// sampleInterval is the shortest time between two samples of the fragmentation. The
// fragmentation changes slowly, and sampling it at every event would cost as much as
// the decisions.
const sampleInterval = 20 * time.Second

// integrals holds integrals over virtual time, in accelerator-seconds.
type integrals struct {
	// free integrates the free accelerators, and fragmented the part of them that
	// no waiting or guaranteed shape can use.
	free, fragmented float64
	// fragmentation is the latest sample of the fragmented share. The next sample is
	// due at nextSampleAt.
	fragmentation float64
	nextSampleAt  time.Duration
	// stranded integrates the free accelerators while at least one waiting gang needs
	// no more than their total.
	stranded float64
	// entitled and received are indexed by account. entitled integrates the part of
	// the account's demand that its guarantee covers, and received the accelerators
	// that it held of that part.
	entitled, received []float64
}

func newIntegrals(d *Deployment) integrals {
	return integrals{entitled: make([]float64, len(d.Accounts)), received: make([]float64, len(d.Accounts))}
}

// advance adds the time from now until to. Only the time in which jobs arrive
// counts, so that the idle time at the end does not dilute the figures.
func (in *integrals) advance(sim *simulation, to time.Duration) {
	seconds := (min(to, horizon) - min(sim.now, horizon)).Seconds()
	if seconds <= 0 {
		return
	}
	free := 0
	for _, n := range freeAccelerators(sim.snapshotWithoutQueue()) {
		free += n
	}
	if sim.now >= in.nextSampleAt {
		in.fragmentation = placement.Fragmentation(sim.snapshot())
		in.nextSampleAt = sim.now + sampleInterval
	}
	in.free += float64(free) * seconds
	in.fragmented += float64(free) * seconds * in.fragmentation
	if slices.ContainsFunc(sim.queue, func(job *simulatedJob) bool { return job.spec.Shape.Accelerators() <= free }) {
		in.stranded += float64(free) * seconds
	}
	in.addShares(sim, seconds)
}

func (in *integrals) addShares(sim *simulation, seconds float64) {
	used, demand := sim.demand()
	for i, account := range sim.deployment.Accounts {
		entitled := min(account.GuaranteedAccelerators(zoneName), demand[i])
		in.entitled[i] += float64(entitled) * seconds
		in.received[i] += float64(min(used[i], entitled)) * seconds
	}
}

// demand returns the accelerators that each account uses, and those that it uses
// or waits for.
func (sim *simulation) demand() (used, demand []int) {
	used, demand = make([]int, len(sim.deployment.Accounts)), make([]int, len(sim.deployment.Accounts))
	for i, account := range sim.deployment.Accounts {
		for _, job := range sim.active {
			if job.spec.Account == account.Name {
				used[i] += job.spec.Shape.Accelerators()
			}
		}
		demand[i] = used[i]
		for _, job := range sim.queue {
			if job.spec.Account == account.Name {
				demand[i] += job.spec.Shape.Accelerators()
			}
		}
	}
	return used, demand
}

// tally accumulates the outcomes of the jobs of a run.
type tally struct {
	completionTimes, slowdowns, claimWaits, urgentWaits []float64
	deadlines, met, missed                              int
	refusals, falseRefusals                             int
	refusalTimes                                        []float64
	unfinished                                          int
	usefulWork                                          float64
}

func (sim *simulation) tally() tally {
	var t tally
	for _, job := range sim.jobList {
		if job.cancelAt > 0 || job.alwaysFails {
			continue
		}
		t.addStart(job)
		if job.spec.Deadline.IsZero() {
			t.addCompletion(job)
		} else {
			t.addDeadline(job)
		}
		inTime := job.spec.Deadline.IsZero() || !simulationStart.Add(job.endedAt).After(job.spec.Deadline)
		if job.outcome == done && inTime && job.endedAt <= horizon {
			t.usefulWork += float64(job.spec.Shape.Accelerators()) * job.runTime.Seconds()
		}
	}
	return t
}

// addStart records the time from submission to start of a job that claims its
// guarantee, or simulationLimit if the job never started.
func (t *tally) addStart(job *simulatedJob) {
	if !job.claimsGuarantee || job.outcome == refused {
		return
	}
	wait := (job.firstStart - job.at).Seconds()
	if job.firstStart == 0 {
		wait = simulationLimit.Seconds()
	}
	t.claimWaits = append(t.claimWaits, wait)
	if job.spec.Urgent {
		t.urgentWaits = append(t.urgentWaits, wait)
	}
}

// addCompletion records a job without a deadline. These are the same jobs under
// every policy, because none of them is refused for lack of time.
func (t *tally) addCompletion(job *simulatedJob) {
	if job.outcome != done {
		t.unfinished++
		return
	}
	elapsed := (job.endedAt - job.at).Seconds()
	t.completionTimes = append(t.completionTimes, elapsed)
	t.slowdowns = append(t.slowdowns, elapsed/job.runTime.Seconds())
}

func (t *tally) addDeadline(job *simulatedJob) {
	t.deadlines++
	switch {
	case job.outcome == refused:
		t.refusals++
		t.refusalTimes = append(t.refusalTimes, (job.endedAt - job.at).Seconds())
		if job.feasible {
			t.falseRefusals++
		}
	case job.outcome == done && !simulationStart.Add(job.endedAt).After(job.spec.Deadline):
		t.met++
	default:
		t.missed++
	}
}

// figures returns the measured values of a run, in the order of the table.
func (sim *simulation) figures() []measure.Figure {
	t := sim.tally()
	in := &sim.integrals
	worstShare := 1.0
	for i := range in.entitled {
		if in.entitled[i] > 0 {
			worstShare = min(worstShare, in.received[i]/in.entitled[i])
		}
	}
	deadlines := float64(max(1, t.deadlines))
	available := float64(sim.deployment.capacity()) * horizon.Seconds()
	return []measure.Figure{
		{Name: "completion p50", Value: quantile(t.completionTimes, 0.5), Unit: "s"},
		{Name: "completion p99", Value: quantile(t.completionTimes, 0.99), Unit: "s"},
		{Name: "slowdown p99", Value: quantile(t.slowdowns, 0.99), Unit: ""},
		{Name: "deadlines met", Value: 100 * float64(t.met) / deadlines, Unit: "%"},
		{Name: "deadlines missed", Value: 100 * float64(t.missed) / deadlines, Unit: "%"},
		{Name: "refused", Value: 100 * float64(t.refusals) / deadlines, Unit: "%"},
		{Name: "refused needlessly", Value: 100 * float64(t.falseRefusals) / deadlines, Unit: "%"},
		{Name: "refused after p50", Value: quantile(t.refusalTimes, 0.5), Unit: "s"},
		{Name: "claim start p99", Value: quantile(t.claimWaits, 0.99), Unit: "s"},
		{Name: "urgent start p99", Value: quantile(t.urgentWaits, 0.99), Unit: "s"},
		{Name: "fragmentation", Value: 100 * in.fragmented / max(1, in.free), Unit: "%"},
		{Name: "fragmented", Value: in.fragmented / 3600, Unit: "accelerator-hours"},
		{Name: "stranded", Value: in.stranded / 3600, Unit: "accelerator-hours"},
		{Name: "worst share", Value: 100 * worstShare, Unit: "%"},
		{Name: "goodput", Value: 100 * t.usefulWork / available, Unit: "%"},
		{Name: "unfinished", Value: float64(t.unfinished), Unit: "jobs"},
	}
}

// quantile returns the q-quantile of the values, or 0 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(q * float64(len(sorted)))
	return sorted[min(rank, len(sorted)-1)]
}
