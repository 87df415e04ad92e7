package requestload

import (
	"math"
	"slices"

	"github.com/corianderbank/corianderbank/internal/measure"
)

// The names of the figures, in order. Goodput is the service time of the answers
// that came in time, over the time of all slots: shedding changes the mix of what
// is answered, so that a count of answers says little about the work done.
const (
	figureP50        = "completion p50"
	figureP99        = "completion p99"
	figureSlowdown   = "slowdown p99"
	figureDeadlines  = "deadlines met"
	figureUrgent     = "urgent deadlines met"
	figureGoodput    = "goodput"
	figureAnswers    = "answers in time"
	figureRefused    = "truthful refusals"
	figureFalse      = "false refusals"
	figureUnknown    = "unknown"
	figureRefusedP99 = "refusal p99"
	figureWorst      = "worst account"
	figureOverruns   = "over slots"
	figureTwice      = "ran twice"
)

const measured = measureTo - measureFrom

// tally adds up the outcomes of one run.
type tally struct {
	completions, slowdowns, refusals         []float64
	requests, met, useful, urgent, urgentMet float64
	refused, refusedFalsely, unknown         int
	offered, got                             map[string]float64
	countedKeys                              map[string]bool
	capacity                                 float64
}

func (w *world) figures() []measure.Figure {
	t := w.tally()
	all := max(1, t.requests)
	return []measure.Figure{
		{Name: figureP50, Value: 1000 * quantile(t.completions, 0.5), Unit: "ms"},
		{Name: figureP99, Value: 1000 * quantile(t.completions, 0.99), Unit: "ms"},
		{Name: figureSlowdown, Value: quantile(t.slowdowns, 0.99), Unit: "x"},
		{Name: figureDeadlines, Value: 100 * t.met / all, Unit: "%"},
		{Name: figureUrgent, Value: 100 * t.urgentMet / max(1, t.urgent), Unit: "%"},
		{Name: figureGoodput, Value: 100 * t.useful / t.capacity, Unit: "%"},
		{Name: figureAnswers, Value: t.met / measured.Seconds(), Unit: "/s"},
		{Name: figureRefused, Value: 100 * float64(t.refused) / all, Unit: "%"},
		{Name: figureFalse, Value: float64(t.refusedFalsely), Unit: ""},
		{Name: figureUnknown, Value: 100 * float64(t.unknown) / all, Unit: "%"},
		{Name: figureRefusedP99, Value: 1000 * quantile(t.refusals, 0.99), Unit: "ms"},
		{Name: figureWorst, Value: 100 * w.worstAccount(t), Unit: "%"},
		{Name: figureOverruns, Value: float64(w.overruns), Unit: ""},
		{Name: figureTwice, Value: float64(w.ranTwice), Unit: ""},
	}
}

func (w *world) tally() *tally {
	t := &tally{
		offered: make(map[string]float64), got: make(map[string]float64), countedKeys: make(map[string]bool),
		capacity: float64(w.deployment.slots()) * measured.Seconds(),
	}
	for _, r := range w.requests {
		if r.at >= measureFrom && r.at < measureTo {
			t.add(r)
		}
	}
	return t
}

func (t *tally) add(r *request) {
	t.requests++
	if r.kind.priority > 0 {
		t.urgent++
	}
	first := r.key == "" || !t.countedKeys[r.key]
	if first {
		t.offered[r.account] += r.service.Seconds()
	}
	took := r.outcome.at - r.at
	switch r.outcome.kind {
	case outcomeDone:
		t.completions = append(t.completions, took.Seconds())
		ideal := r.service + 2*withinZone
		t.slowdowns = append(t.slowdowns, float64(took)/float64(ideal))
		if r.outcome.at <= r.deadline {
			t.met++
			if r.kind.priority > 0 {
				t.urgentMet++
			}
			if first {
				t.useful += r.service.Seconds()
				t.got[r.account] += r.service.Seconds()
			}
		}
	case outcomeNotRun:
		t.refused++
		t.refusals = append(t.refusals, took.Seconds())
		if r.ran {
			t.refusedFalsely++
		}
	default:
		t.unknown++
	}
	if r.key != "" {
		t.countedKeys[r.key] = true
	}
}

// worstAccount is the smallest part that an account got of what its weight
// entitles it to: max-min shares of the slots' time by weight, up to its demand.
func (w *world) worstAccount(t *tally) float64 {
	entitled := w.entitled(t)
	worst := 1.0
	for _, a := range w.deployment.accounts {
		if entitled[a.name] > 0 {
			worst = min(worst, t.got[a.name]/entitled[a.name])
		}
	}
	return worst
}

func (w *world) entitled(t *tally) map[string]float64 {
	entitled := make(map[string]float64)
	left, open := t.capacity, slices.Clone(w.deployment.accounts)
	for len(open) > 0 {
		weights := 0
		for _, a := range open {
			weights += a.weight
		}
		share := left / float64(weights)
		rest := slices.DeleteFunc(slices.Clone(open), func(a account) bool { return t.offered[a.name] <= share*float64(a.weight) })
		if len(rest) == len(open) {
			for _, a := range open {
				entitled[a.name] = share * float64(a.weight)
			}
			return entitled
		}
		for _, a := range open {
			if t.offered[a.name] <= share*float64(a.weight) {
				entitled[a.name] = t.offered[a.name]
				left -= t.offered[a.name]
			}
		}
		open = rest
	}
	return entitled
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(math.Ceil(q*float64(len(sorted))))-1]
}
