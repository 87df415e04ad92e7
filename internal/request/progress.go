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

// progress is the state of a request in its chart.
type progress struct{ state chart.State }

func newProgress() progress { return progress{state: requestChart.Initial} }

// transition applies an event according to the chart. An undeclared transition
// only increments a counter. It cannot happen with the events declared in the
// chart, as chart.Check requires every state to handle or ignore each of them.
func (p *progress) transition(event chart.Event) {
	next, err := requestChart.Next(p.state, event)
	if err != nil {
		undeclaredTransitions.Inc()
		return
	}
	p.state = next
}

func (p *progress) transitions(events ...chart.Event) {
	for _, event := range events {
		p.transition(event)
	}
}

// endEvent returns the event that ends a request with err.
func endEvent(err error) chart.Event {
	switch {
	case mayHaveRun(err):
		return eventLose
	}
	return eventRefuse
}
