package gangload

import (
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/measure"
	"github.com/corianderbank/corianderbank/internal/placement"
)

// sampleEvery is how often the fragmentation is taken. It changes slowly, and
// taking it at every event would cost as much as the decisions.
const sampleEvery = 20 * time.Second

// integrals sums over virtual time, in accelerator-seconds.
type integrals struct {
	// free is over the time with something free, fragmented the part of it that
	// no wanted shape can use.
	free, fragmented float64
	// fragmentation is the latest sample of the share; the next is due at sampleAt.
	fragmentation float64
	sampleAt      time.Duration
	// stranded is free while a gang that would fit the sum waits.
	stranded float64
	// entitled and got are by account: what its guarantee promises of its
	// demand, and what it had of that.
	entitled, got []float64
}

func newIntegrals(d *Deployment) integrals {
	return integrals{entitled: make([]float64, len(d.Accounts)), got: make([]float64, len(d.Accounts))}
}

// advance adds the time from now to a later instant. Only the time in which
// jobs arrive counts, so that an empty tail does not dilute the figures.
func (in *integrals) advance(pl *player, to time.Duration) {
	seconds := (min(to, horizon) - min(pl.now, horizon)).Seconds()
	if seconds <= 0 {
		return
	}
	free := 0
	for _, n := range freeOf(pl.holdings()) {
		free += n
	}
	if pl.now >= in.sampleAt {
		in.fragmentation = placement.Fragmentation(pl.snapshot())
		in.sampleAt = pl.now + sampleEvery
	}
	in.free += float64(free) * seconds
	in.fragmented += float64(free) * seconds * in.fragmentation
	if slices.ContainsFunc(pl.queue, func(job *play) bool { return job.job.Shape.Accelerators() <= free }) {
		in.stranded += float64(free) * seconds
	}
	in.addShares(pl, seconds)
}

func (in *integrals) addShares(pl *player, seconds float64) {
	used, demand := pl.demand()
	for i, account := range pl.deployment.Accounts {
		entitled := min(account.GuaranteedAccelerators(zoneName), demand[i])
		in.entitled[i] += float64(entitled) * seconds
		in.got[i] += float64(min(used[i], entitled)) * seconds
	}
}

// demand counts what each account uses, and what it uses and waits for.
func (pl *player) demand() (used, demand []int) {
	used, demand = make([]int, len(pl.deployment.Accounts)), make([]int, len(pl.deployment.Accounts))
	for i, account := range pl.deployment.Accounts {
		for _, job := range pl.held {
			if job.job.Account == account.Name {
				used[i] += job.job.Shape.Accelerators()
			}
		}
		demand[i] = used[i]
		for _, job := range pl.queue {
			if job.job.Account == account.Name {
				demand[i] += job.job.Shape.Accelerators()
			}
		}
	}
	return used, demand
}

// tally counts the endings of a run.
type tally struct {
	completion, slowdown, claims, urgent []float64
	deadlines, met, late                 int
	refusals, falseRefusals              int
	refusedAfter                         []float64
	unfinished                           int
	useful                               float64
}

func (pl *player) tally() tally {
	var t tally
	for _, job := range pl.order {
		if job.cancelAt > 0 || job.doomed {
			continue
		}
		t.addStart(job)
		if job.job.Deadline.IsZero() {
			t.addCompletion(job)
		} else {
			t.addDeadline(job)
		}
		inTime := job.job.Deadline.IsZero() || !epoch.Add(job.endAt).After(job.job.Deadline)
		if job.ending == done && inTime && job.endAt <= horizon {
			t.useful += float64(job.job.Shape.Accelerators()) * job.run.Seconds()
		}
	}
	return t
}

// addStart counts how long a claim of a guarantee took to start.
func (t *tally) addStart(job *play) {
	if !job.claims || job.ending == refused {
		return
	}
	wait := (job.firstStart - job.at).Seconds()
	if job.firstStart == 0 {
		wait = drainLimit.Seconds()
	}
	t.claims = append(t.claims, wait)
	if job.job.Urgent {
		t.urgent = append(t.urgent, wait)
	}
}

// addCompletion counts a job without a deadline: the same jobs under every
// policy, since none of them is refused for time.
func (t *tally) addCompletion(job *play) {
	if job.ending != done {
		t.unfinished++
		return
	}
	took := (job.endAt - job.at).Seconds()
	t.completion = append(t.completion, took)
	t.slowdown = append(t.slowdown, took/job.run.Seconds())
}

func (t *tally) addDeadline(job *play) {
	t.deadlines++
	switch {
	case job.ending == refused:
		t.refusals++
		t.refusedAfter = append(t.refusedAfter, (job.endAt - job.at).Seconds())
		if job.feasible {
			t.falseRefusals++
		}
	case job.ending == done && !epoch.Add(job.endAt).After(job.job.Deadline):
		t.met++
	default:
		t.late++
	}
}

// figures are the measured values of a run, in the order of the table.
func (pl *player) figures() []measure.Figure {
	t := pl.tally()
	in := &pl.integrals
	worst := 1.0
	for i := range in.entitled {
		if in.entitled[i] > 0 {
			worst = min(worst, in.got[i]/in.entitled[i])
		}
	}
	deadlines := float64(max(1, t.deadlines))
	offered := float64(pl.deployment.capacity()) * horizon.Seconds()
	return []measure.Figure{
		{Name: "completion p50", Value: quantile(t.completion, 0.5), Unit: "s"},
		{Name: "completion p99", Value: quantile(t.completion, 0.99), Unit: "s"},
		{Name: "slowdown p99", Value: quantile(t.slowdown, 0.99), Unit: ""},
		{Name: "deadlines met", Value: 100 * float64(t.met) / deadlines, Unit: "%"},
		{Name: "deadlines missed", Value: 100 * float64(t.late) / deadlines, Unit: "%"},
		{Name: "refused", Value: 100 * float64(t.refusals) / deadlines, Unit: "%"},
		{Name: "refused needlessly", Value: 100 * float64(t.falseRefusals) / deadlines, Unit: "%"},
		{Name: "refused after p50", Value: quantile(t.refusedAfter, 0.5), Unit: "s"},
		{Name: "claim start p99", Value: quantile(t.claims, 0.99), Unit: "s"},
		{Name: "urgent start p99", Value: quantile(t.urgent, 0.99), Unit: "s"},
		{Name: "fragmentation", Value: 100 * in.fragmented / max(1, in.free), Unit: "%"},
		{Name: "fragmented", Value: in.fragmented / 3600, Unit: "accelerator-hours"},
		{Name: "stranded", Value: in.stranded / 3600, Unit: "accelerator-hours"},
		{Name: "worst share", Value: 100 * worst, Unit: "%"},
		{Name: "goodput", Value: 100 * t.useful / offered, Unit: "%"},
		{Name: "unfinished", Value: float64(t.unfinished), Unit: "jobs"},
	}
}

// quantile returns the smallest value that at least the share q does not
// exceed, or 0 without values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(q * float64(len(sorted)))
	return sorted[min(rank, len(sorted)-1)]
}
