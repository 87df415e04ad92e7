package request

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/routing"
)

// undeclaredTransitions counts events that a chart does not declare for the
// current state.
var undeclaredTransitions = metrics.NewCounter("corianderbank_undeclared_transitions_total")

func observeAnswer(account string, outcome api.Outcome, took time.Duration) {
	name := fmt.Sprintf("corianderbank_request_duration_seconds{client_account=%q,outcome=%q}", account, string(outcome))
	metrics.GetOrCreateHistogram(name).Update(took.Seconds())
}

func observeWait(account string, waited time.Duration) {
	name := fmt.Sprintf("corianderbank_request_wait_seconds{client_account=%q}", account)
	metrics.GetOrCreateHistogram(name).Update(waited.Seconds())
}

func observeAttempt(took time.Duration, err error) {
	result := "answer"
	if err != nil {
		result = string(api.KindOf(err))
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf("corianderbank_attempt_duration_seconds{result=%q}", result)).Update(took.Seconds())
}

func countRefusal(account string, kind api.Kind) {
	metrics.GetOrCreateCounter(fmt.Sprintf("corianderbank_refusals_total{client_account=%q,error_kind=%q}", account, string(kind))).Inc()
}

func countRetry(account string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("corianderbank_retries_total{client_account=%q}", account)).Inc()
}

func countReplay(account string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("corianderbank_replays_total{client_account=%q}", account)).Inc()
}

func countSpill(zone string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("corianderbank_spilled_total{availability_zone=%q}", zone)).Inc()
}

func countTransition(change routing.Transition) {
	name := fmt.Sprintf("corianderbank_backend_transitions_total{backend_server=%q,to=%q}", change.BackendServer, string(change.To))
	metrics.GetOrCreateCounter(name).Inc()
}
