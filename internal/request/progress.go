package request

import (
	"github.com/corianderbank/corianderbank/internal/chart"
)

// The events of charts/request.json.
const (
	eventQueue    chart.Event = "queue"
	eventRefuse   chart.Event = "refuse"
	eventClaim    chart.Event = "claim"
	eventClaimed  chart.Event = "claimed"
	eventReplay   chart.Event = "replay"
	eventDispatch chart.Event = "dispatch"
	eventAnswer   chart.Event = "answer"
	eventRetry    chart.Event = "retry"
	eventFail     chart.Event = "fail"
	eventLose     chart.Event = "lose"
)

var requestChart = chart.MustLoad("request")

// progress is where a request is in its chart.
type progress struct{ at chart.State }

func newProgress() progress { return progress{at: requestChart.Initial} }

// step moves along the chart. An undeclared transition is counted; the chart's
// own test rules it out for declared events.
func (p *progress) step(event chart.Event) {
	next, err := requestChart.Next(p.at, event)
	if err != nil {
		undeclared.Inc()
		return
	}
	p.at = next
}

func (p *progress) steps(events ...chart.Event) {
	for _, event := range events {
		p.step(event)
	}
}

// endEvent is the event that ends a request with err.
func endEvent(err error) chart.Event {
	switch {
	case mayHaveRun(err):
		return eventLose
	}
	return eventRefuse
}
