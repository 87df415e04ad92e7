package placer

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/chart"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/placement"
)

// gaugedStates are the states of charts/gang.json that have a gauge.
var gaugedStates = []chart.State{stWaiting, stReserving, stStarting, stRunning, stStopping, stCancelling}

// gaugedHealth are the states of charts/worker.json that have a gauge.
var gaugedHealth = []model.WorkerHealth{
	model.WorkerHealthy, model.WorkerSuspect, model.WorkerQuarantined, model.WorkerProbing, model.WorkerLeaving, model.WorkerLost,
}

func setGauge(name string, value float64) { metrics.GetOrCreateGauge(name, nil).Set(value) }

// recordRoundMetrics publishes the state after a round and its duration.
func (c *core) recordRoundMetrics(took time.Duration) {
	metrics.GetOrCreateHistogram("corianderbank_placement_round_seconds").Update(took.Seconds())
	byState := make(map[chart.State]int)
	for _, e := range c.jobs {
		byState[e.state]++
	}
	for _, state := range gaugedStates {
		setGauge(`corianderbank_gangs{state="`+string(state)+`"}`, float64(byState[state]))
	}
	byHealth := make(map[model.WorkerHealth]int)
	for _, w := range c.workers {
		byHealth[w.Health]++
	}
	for _, health := range gaugedHealth {
		setGauge(`corianderbank_workers{health="`+string(health)+`"}`, float64(byHealth[health]))
	}
	setGauge("corianderbank_placer_epoch", float64(c.activeEpoch()))
	setGauge("corianderbank_zone_load", c.load())
}

// activeEpoch returns the epoch, or 0 while this instance is not the placer.
func (c *core) activeEpoch() int64 {
	if c.checkActive() != nil {
		return 0
	}
	return c.epoch
}

// recordPlanMetrics counts the reclaims of a plan and the accounts at risk.
func recordPlanMetrics(plan placement.Plan) {
	for _, r := range plan.Reclaims {
		metrics.GetOrCreateCounter(`corianderbank_reclaims_total{method="` + string(r.Method) + `"}`).Inc()
	}
	setGauge("corianderbank_client_accounts_at_risk", float64(len(plan.AtRisk)))
}

// recordTransitionMetrics counts a gang's transition. On the job's first start it
// also records the time since submission.
func recordTransitionMetrics(e *entry, next chart.State, now time.Time) {
	metrics.GetOrCreateCounter(`corianderbank_gang_transitions_total{to="` + string(next) + `"}`).Inc()
	if next != stRunning || e.mayHaveRunBefore {
		return
	}
	urgent := "false"
	if e.record.Submission.Urgent {
		urgent = "true"
	}
	waited := now.Sub(e.record.SubmittedAt)
	metrics.GetOrCreateHistogram(`corianderbank_job_start_wait_seconds{urgent="` + urgent + `"}`).Update(waited.Seconds())
}

// recordOutcomeMetrics counts an ended job by outcome and error kind.
func recordOutcomeMetrics(outcome api.Outcome, kind api.Kind) {
	metrics.GetOrCreateCounter(`corianderbank_job_outcomes_total{outcome="` + string(outcome) + `",error_kind="` + string(kind) + `"}`).Inc()
}
