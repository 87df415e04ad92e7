package dispatch

import (
	"cmp"
	"slices"

	"github.com/corianderbank/corianderbank/internal/chart"
)

// runChart says which states a run goes through.
var runChart = chart.MustLoad("run")

// The states of charts/run.json that decisions look at, and its events.
const (
	stRunOrdered  chart.State = "ordered"
	stRunRunning  chart.State = "running"
	stRunUnclear  chart.State = "unclear"
	stRunStopping chart.State = "stopping"
	stRunStopped  chart.State = "stopped"

	runStarted      chart.Event = "started"
	runUnanswered   chart.Event = "unanswered"
	runStop         chart.Event = "stop"
	runStopAnswered chart.Event = "stop_answered"
	runGone         chart.Event = "gone"
)

// inOrder lists the runs of a worker that match, in an order of their own: the same
// events lead to the same orders.
func (w *worker) inOrder(match func(*run) bool) []*run {
	var list []*run
	for _, r := range w.runs {
		if match(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *run) int {
		x, y := a.task.id(), b.task.id()
		return cmp.Or(
			cmp.Compare(a.attempt, b.attempt),
			cmp.Compare(x.Job, y.Job),
			cmp.Compare(x.Occurrence, y.Occurrence),
			cmp.Compare(x.Step, y.Step),
			cmp.Compare(x.Index, y.Index),
		)
	})
	return list
}

func anyRun(*run) bool { return true }

// step moves a run on. A run that is over is forgotten, and nothing moves it.
func (r *run) step(event chart.Event) {
	next, err := runChart.Next(r.state, event)
	if err != nil {
		panic(err) // a test rules it out: every state answers or ignores every event
	}
	r.state = next
}

// stopping reports whether the run was told to stop: runs that are unclear were.
func (r *run) stopping() bool {
	return r.state == stRunUnclear || r.state == stRunStopping || r.state == stRunStopped
}

// frees reports whether the run will surely be gone within the time of a stop.
func (r *run) frees() bool { return r.state == stRunStopping || r.state == stRunStopped }
