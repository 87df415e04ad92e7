package requestload

import (
	"math"
	"slices"

	"github.com/corianderbank/corianderbank/internal/measure"
)

// The names of the figures, in the order of the table. Goodput is the service time
// of the requests answered in time, divided by the total time of all slots. It is
// not a count of answers, because shedding changes the mix of the answered
// requests, so that a count does not reflect the completed work.
const (
	figureP50           = "completion p50"
	figureP99           = "completion p99"
	figureSlowdown      = "slowdown p99"
	figureDeadlines     = "deadlines met"
	figureUrgent        = "urgent deadlines met"
	figureGoodput       = "goodput"
	figureAnswers       = "answers in time"
	figureRefused       = "truthful refusals"
	figureFalseRefusals = "false refusals"
	figureUnknown       = "unknown"
	figureRefusalP99    = "refusal p99"
	figureWorstAccount  = "worst account"
	figureOverruns      = "over slots"
	figureRanTwice      = "ran twice"
)

const measuredTime = measureTo - measureFrom

// tally accumulates the outcomes of the requests of one run.
type tally struct {
	completionTimes, slowdowns, refusalTimes     []float64
	requests, met, usefulTime, urgent, urgentMet float64
	refused, falseRefusals, unknown              int
	offered, received                            map[string]float64
	countedKeys                                  map[string]bool
	capacity                                     float64
}

func (sim *simulation) figures() []measure.Figure {
	t := sim.tally()
	total := max(1, t.requests)
	return []measure.Figure{
		{Name: figureP50, Value: 1000 * quantile(t.completionTimes, 0.5), Unit: "ms"},
		{Name: figureP99, Value: 1000 * quantile(t.completionTimes, 0.99), Unit: "ms"},
		{Name: figureSlowdown, Value: quantile(t.slowdowns, 0.99), Unit: "x"},
		{Name: figureDeadlines, Value: 100 * t.met / total, Unit: "%"},
		{Name: figureUrgent, Value: 100 * t.urgentMet / max(1, t.urgent), Unit: "%"},
		{Name: figureGoodput, Value: 100 * t.usefulTime / t.capacity, Unit: "%"},
		{Name: figureAnswers, Value: t.met / measuredTime.Seconds(), Unit: "/s"},
		{Name: figureRefused, Value: 100 * float64(t.refused) / total, Unit: "%"},
		{Name: figureFalseRefusals, Value: float64(t.falseRefusals), Unit: ""},
		{Name: figureUnknown, Value: 100 * float64(t.unknown) / total, Unit: "%"},
		{Name: figureRefusalP99, Value: 1000 * quantile(t.refusalTimes, 0.99), Unit: "ms"},
		{Name: figureWorstAccount, Value: 100 * sim.worstAccount(t), Unit: "%"},
		{Name: figureOverruns, Value: float64(sim.overruns), Unit: ""},
		{Name: figureRanTwice, Value: float64(sim.ranTwice), Unit: ""},
	}
}

func (sim *simulation) tally() *tally {
	t := &tally{
		offered: make(map[string]float64), received: make(map[string]float64), countedKeys: make(map[string]bool),
		capacity: float64(sim.deployment.slots()) * measuredTime.Seconds(),
	}
	for _, r := range sim.requests {
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
	elapsed := r.outcome.at - r.at
	switch r.outcome.kind {
	case outcomeDone:
		t.completionTimes = append(t.completionTimes, elapsed.Seconds())
		ideal := r.service + 2*intraZoneLatency
		t.slowdowns = append(t.slowdowns, float64(elapsed)/float64(ideal))
		if r.outcome.at <= r.deadline {
			t.met++
			if r.kind.priority > 0 {
				t.urgentMet++
			}
			if first {
				t.usefulTime += r.service.Seconds()
				t.received[r.account] += r.service.Seconds()
			}
		}
	case outcomeNotRun:
		t.refused++
		t.refusalTimes = append(t.refusalTimes, elapsed.Seconds())
		if r.ran {
			t.falseRefusals++
		}
	default:
		t.unknown++
	}
	if r.key != "" {
		t.countedKeys[r.key] = true
	}
}

// worstAccount returns the smallest share that an account received of its
// entitlement, which is its weighted max-min fair share of the slot time, up to its
// demand.
func (sim *simulation) worstAccount(t *tally) float64 {
	entitled := sim.entitlements(t)
	worst := 1.0
	for _, a := range sim.deployment.accounts {
		if entitled[a.name] > 0 {
			worst = min(worst, t.received[a.name]/entitled[a.name])
		}
	}
	return worst
}

func (sim *simulation) entitlements(t *tally) map[string]float64 {
	entitled := make(map[string]float64)
	remaining, unsettled := t.capacity, slices.Clone(sim.deployment.accounts)
	for len(unsettled) > 0 {
		weights := 0
		for _, a := range unsettled {
			weights += a.weight
		}
		share := remaining / float64(weights)
		aboveShare := slices.DeleteFunc(slices.Clone(unsettled), func(a account) bool { return t.offered[a.name] <= share*float64(a.weight) })
		if len(aboveShare) == len(unsettled) {
			for _, a := range unsettled {
				entitled[a.name] = share * float64(a.weight)
			}
			return entitled
		}
		for _, a := range unsettled {
			if t.offered[a.name] <= share*float64(a.weight) {
				entitled[a.name] = t.offered[a.name]
				remaining -= t.offered[a.name]
			}
		}
		unsettled = aboveShare
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
