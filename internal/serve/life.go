package serve

import (
	"sync"

	"github.com/corianderbank/corianderbank/internal/chart"
)

// The events of charts/instance.json.
const (
	lifeConfigured chart.Event = "configured"
	lifeStop       chart.Event = "stop"
	lifeDrained    chart.Event = "drained"
)

// life follows charts/instance.json. It is safe for concurrent use.
type life struct {
	chart *chart.Chart

	mu    sync.Mutex
	state chart.State
}

func newLife() *life {
	loaded := chart.MustLoad("instance")
	return &life{chart: loaded, state: loaded.Initial}
}

// step applies an event; one that the chart does not answer changes nothing.
func (l *life) step(event chart.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if next, err := l.chart.Next(l.state, event); err == nil {
		l.state = next
	}
}

func (l *life) draining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state != "starting" && l.state != "ready"
}
