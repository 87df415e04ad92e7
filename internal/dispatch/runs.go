package dispatch

import (
	"cmp"
	"slices"

	"github.com/corianderbank/corianderbank/internal/chart"
)

// runChart is the state chart of a run.
var runChart = chart.MustLoad("run")

// The states of charts/run.json that decisions depend on, and its events.
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

// sortedRuns returns the matching runs of a worker in a deterministic order, so that the same
// events lead to the same orders.
func (w *worker) sortedRuns(match func(*run) bool) []*run {
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

// runsOneJob reports whether all runs on the worker belong to one job.
func (w *worker) runsOneJob() bool {
	var only *job
	for _, r := range w.runs {
		if only != nil && only != r.task.step.job {
			return false
		}
		only = r.task.step.job
	}
	return len(w.unknownRuns) == 0
}

func anyRun(*run) bool { return true }

// transition applies an event to a run's state. A run that is over is removed and receives no
// further events.
func (r *run) transition(event chart.Event) {
	next, err := runChart.Next(r.state, event)
	if err != nil {
		panic(err) // a test ensures that every state handles or ignores every event
	}
	r.state = next
}

// stopping reports whether the run was ordered to stop, which includes unclear runs.
func (r *run) stopping() bool {
	return r.state == stRunUnclear || r.state == stRunStopping || r.state == stRunStopped
}

// freesSoon reports whether the run will definitely be gone within the stop time.
func (r *run) freesSoon() bool { return r.state == stRunStopping || r.state == stRunStopped }
