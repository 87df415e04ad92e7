package emulator

import (
	"slices"
	"time"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/measure"
	"github.com/corianderbank/corianderbank/internal/quarantine"
)

const (
	// lateFactor: a job earns its late worth until this many times its objective.
	lateFactor = 3
	// acceleratorCores is what an accelerator counts in cores.
	acceleratorCores = 8
	// window is the time over which the worst moments are looked for, worstWindows how
	// many of them count.
	window       = 2 * time.Second
	worstWindows = 2
	// drainBound is how long after a zone was drained something may still start there:
	// until the leader knows, and for orders that are under way.
	drainBound = drainHeard + time.Second
)

// tally counts what callers got.
type tally struct {
	jobs         []*arrival
	ends, starts map[*arrival]time.Duration
	// failed are the jobs that were shown as failed.
	failed map[*arrival]bool
	// crashesOf counts the workers that a job took down.
	crashesOf map[*arrival]int
	// lost is the work thrown away, in core-seconds.
	lost      float64
	preempted int
	// drainedStarts counts starts in zones that had been drained for drainBound.
	drainedStarts int
	// crashes counts the workers that went down, wronglyGivenUp the jobs that were given
	// up for it and had not taken them down.
	crashes, wronglyGivenUp int
	all                     share
	bySort                  map[sort]*share
	byZone                  map[int]*share
	byAccount               map[string]*share
	byWindow                map[int]*share
	// urgent are the times from submission to start of urgent jobs, in seconds.
	urgent []float64
	// value is what the users' weights make of it.
	value float64
}

func newTally() tally {
	return tally{
		ends: make(map[*arrival]time.Duration), starts: make(map[*arrival]time.Duration), bySort: make(map[sort]*share),
		failed: make(map[*arrival]bool), crashesOf: make(map[*arrival]int), byZone: make(map[int]*share), byAccount: make(map[string]*share), byWindow: make(map[int]*share),
	}
}

// share is what was earned of what was owed.
type share struct {
	earned, owed float64
}

func (s *share) add(earned, owed float64) {
	s.earned += earned
	s.owed += owed
}

func (s share) part() float64 {
	if s.owed == 0 {
		return 1
	}
	return s.earned / s.owed
}

func (t *tally) started(a *arrival, at time.Duration) {
	if _, known := t.starts[a]; !known {
		t.starts[a] = at
	}
}

func (t *tally) completed(a *arrival, at time.Duration) {
	if _, known := t.ends[a]; !known {
		t.ends[a] = at
	}
}

// gaveUp takes a stored record, and counts jobs that were given up because workers went down under them.
func (t *tally) gaveUp(a *arrival, record *dispatch.Record) {
	if record.Final != dispatch.FinalFailed {
		return
	}
	t.failed[a] = true
	if a.crashing {
		return
	}
	for name := range record.Crashed {
		crashes := quarantine.Crashes{Seen: len(record.Crashed[name]), Shared: len(record.Shared[name]), Unsure: len(record.Unanswered[name])}
		if crashes.Decide() == quarantine.GiveUp {
			t.wronglyGivenUp++
			return
		}
	}
}

// thrownAway counts the work of a run that did not end done, beyond what it had at its
// start, unless it is saved.
func (t *tally) thrownAway(r *run) {
	step := &r.job.job.Steps[0]
	if step.Checkpoints {
		return
	}
	need := step.Need
	cores := float64(need.MilliCPU)/1000 + acceleratorCores*float64(need.Accelerators)
	t.lost += (r.done - r.from).Seconds() * cores
	if r.gang == nil || r.gang.ended {
		return
	}
	for _, m := range r.gang.members {
		if m.run != r {
			t.lost += (m.done - m.from).Seconds() * cores
		}
	}
}

// close closes the account: every job that can end well and was not cancelled is owed
// its worth.
func (t *tally) close(d *Deployment, list []*arrival) {
	t.jobs = list
	for _, a := range list {
		if a.cancelAt > 0 || a.poison || a.crashing {
			continue
		}
		got := t.earned(a)
		t.all.add(got, a.value)
		of(t.bySort, a.kind.Sort).add(got, a.value)
		of(t.byZone, a.zone).add(got, a.value)
		of(t.byAccount, a.job.Account).add(got, a.value)
		of(t.byWindow, int(a.at/window)).add(got, a.value)
		if start, ok := t.starts[a]; ok && a.kind.Sort == urgent {
			t.urgent = append(t.urgent, (start - a.at).Seconds())
		}
	}
	slices.Sort(t.urgent)
	w := d.Weights
	sum := w.Whole*t.all.part() + w.Windows*worst(t.byWindow, worstWindows) + w.Kind*worst(t.bySort, 1) +
		w.Zone*worst(t.byZone, 1) + w.Account*worst(t.byAccount, 1)
	t.value = sum/(w.Whole+w.Windows+w.Kind+w.Zone+w.Account) - w.Waste*t.lost/1000
}

func of[K comparable](shares map[K]*share, key K) *share {
	if shares[key] == nil {
		shares[key] = &share{}
	}
	return shares[key]
}

// worst is the mean of the n worst parts.
func worst[K comparable](shares map[K]*share, n int) float64 {
	var parts []float64
	for _, s := range shares {
		parts = append(parts, s.part())
	}
	slices.Sort(parts)
	n = min(n, len(parts))
	sum := 0.0
	for _, p := range parts[:n] {
		sum += p / float64(n)
	}
	return sum
}

func (t *tally) earned(a *arrival) float64 {
	end, ok := t.ends[a]
	switch took := end - a.at; {
	case !ok || took > lateFactor*a.objective:
		return 0
	case took > a.objective:
		return a.value * a.kind.Late / a.kind.Worth
	}
	return a.value
}

// figures are the published figures of a play.
func (t *tally) figures() []measure.Figure {
	list := []measure.Figure{
		{Name: "value", Value: 100 * t.value, Unit: "%"},
		{Name: "earned", Value: 100 * t.all.part(), Unit: "%"},
		{Name: "worst windows", Value: 100 * worst(t.byWindow, worstWindows), Unit: "%"},
	}
	for _, s := range sorts() {
		list = append(list, measure.Figure{Name: string(s) + " earned", Value: 100 * of(t.bySort, s).part(), Unit: "%"})
	}
	return append(
		list,
		measure.Figure{Name: "worst zone", Value: 100 * worst(t.byZone, 1), Unit: "%"},
		measure.Figure{Name: "urgent start p95", Value: quantile(t.urgent, 0.95), Unit: "s"},
		measure.Figure{Name: "thrown away", Value: t.lost / 1000, Unit: "1000 core-s"},
		measure.Figure{Name: "preempted", Value: float64(t.preempted), Unit: "runs"},
		measure.Figure{Name: "workers crashed", Value: float64(t.crashes), Unit: "lives"},
		measure.Figure{Name: "wrongly given up", Value: float64(t.wronglyGivenUp), Unit: "jobs"},
	)
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
