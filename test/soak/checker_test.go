package soak

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// seenRun is a run of a task of the checked job, with times in seconds. Zero for to or noted means
// never.
type seenRun struct {
	task, worker    string
	attempt         int64
	from, to, noted float64
	how             string
	late            bool
	checkpoint      string
}

func TestTheCheckerFindsWhatBreaksARule(t *testing.T) {
	const id, task = "00000000000000aa", "00000000000000aa.0.0.0"
	done := seenRun{task: task, worker: "a", attempt: 1, from: 1, to: 2, noted: 3, how: "done"}
	for name, c := range map[string]struct {
		runs   []seenRun
		change func(c *record, j *job, at func(float64) time.Time)
		want   []string
	}{
		"one run": {runs: []seenRun{done}},
		"a second run after one that was lost": {
			runs: []seenRun{{task: task, worker: "a", attempt: 1, from: 1, to: 2, how: "lost"}, {task: task, worker: "b", attempt: 2, from: 2, to: 3, how: "done"}},
		},
		"a second run after an end that was never acknowledged": {
			runs: []seenRun{{task: task, worker: "a", attempt: 1, from: 1, to: 2, how: "done"}, {task: task, worker: "b", attempt: 2, from: 4, to: 5, how: "done"}},
		},
		"two runs at once": {
			runs: []seenRun{{task: task, worker: "a", attempt: 1, from: 1, to: 4, how: "lapsed"}, {task: task, worker: "b", attempt: 2, from: 3, to: 5, how: "done"}},
			want: []string{"TWICE"},
		},
		"a start after an end that is acknowledged later": {
			runs: []seenRun{{task: task, worker: "a", attempt: 1, from: 1, to: 2, noted: 9, how: "done"}, {task: task, worker: "b", attempt: 2, from: 4, to: 5, how: "done"}},
			want: []string{"TWICE"},
		},
		"a start after completed was shown": {
			runs: []seenRun{{task: task, worker: "a", attempt: 1, from: 1, to: 2, how: "done"}, {task: task, worker: "b", attempt: 2, from: 8, to: 9, how: "done"}},
			want: []string{"TWICE"},
		},
		"the same attempt on two workers": {
			runs: []seenRun{{task: task, worker: "a", attempt: 1, from: 1, to: 2, how: "lost"}, {task: task, worker: "b", attempt: 1, from: 3, to: 4, how: "done"}},
			want: []string{"ATTEMPTS"},
		},
		"a start of a job that nobody handed in": {
			runs: []seenRun{done, {task: "00000000000000bb.0.0.0", worker: "a", attempt: 1, from: 1, to: 2, how: "done"}}, want: []string{"UNASKED"},
		},
		"a checkpoint of nobody": {
			runs: []seenRun{{task: task, worker: "a", attempt: 1, from: 1, to: 2, how: "done", checkpoint: "00000bb800000001"}}, want: []string{"UNASKED"},
		},
		"a start of a refused job": {
			runs: []seenRun{done}, change: func(_ *record, j *job, _ func(float64) time.Time) {
				j.refusedOnly, j.accepted, j.final = true, time.Time{}, ""
			},
			want: []string{"REFUSED"},
		},
		"a start after the cancellation": {
			runs: []seenRun{{task: task, worker: "a", attempt: 1, from: 9, to: 10, how: "stopped"}},
			change: func(_ *record, j *job, at func(float64) time.Time) {
				j.cancelSent, j.cancelled, j.final = at(2), at(2), "cancelled"
			},
			want: []string{"UNASKED"},
		},
		"a start after the cancellation near a disturbance": {
			runs: []seenRun{{task: task, worker: "a", attempt: 1, from: 9, to: 10, how: "stopped"}},
			change: func(c *record, j *job, at func(float64) time.Time) {
				j.cancelSent, j.cancelled, j.final = at(2), at(2), "cancelled"
				c.troubles = []span{{at(4), at(7)}}
			},
		},
		"a job that doesn't end":         {change: func(_ *record, j *job, _ func(float64) time.Time) { j.final = "" }, want: []string{"LOST"}},
		"a job cancelled by nobody":      {runs: []seenRun{done}, change: func(_ *record, j *job, _ func(float64) time.Time) { j.final = "cancelled" }, want: []string{"LOST"}},
		"a job failed without failures":  {runs: []seenRun{done}, change: func(_ *record, j *job, _ func(float64) time.Time) { j.final = "failed" }, want: []string{"LOST"}},
		"a job completed without an end": {want: []string{"MIXED"}},
		"a member that stayed alone":     {runs: []seenRun{{task: task, worker: "a", attempt: 1, from: 1, to: 4, how: "alone"}, {task: task, worker: "a", attempt: 2, from: 4, to: 5, how: "done"}}, want: []string{"GANG"}},
		"a step before the one that it follows": {
			runs:   []seenRun{done, {task: id + ".0.1.0", worker: "a", attempt: 1, from: 1.5, to: 3, how: "done"}},
			change: func(_ *record, j *job, _ func(float64) time.Time) { j.Steps = append(j.Steps, j.Steps[0]) },
			want:   []string{"ORDER"},
		},
		"more accelerators than there are": {
			runs: []seenRun{done, {task: id + ".0.1.0", worker: "a", attempt: 1, from: 2, to: 3, how: "done"}, {task: id + ".0.1.1", worker: "a", attempt: 1, from: 2.5, to: 3, how: "done"}},
			change: func(_ *record, j *job, _ func(float64) time.Time) {
				j.Steps = append(j.Steps, stepPlan{Count: 2, need: need{gpu: 5}})
			},
			want: []string{"LIMIT"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			record := newRecord()
			at := func(seconds float64) time.Time {
				return record.start.Add(time.Duration(seconds * float64(time.Second)))
			}
			j := &job{ID: id, Steps: []stepPlan{{Count: 1}}, accepted: at(0.5), final: "completed", finalAt: at(6)}
			record.jobs[id] = j
			if c.change != nil {
				c.change(record, j, at)
			}
			for _, s := range c.runs {
				r := &run{runKey: runKey{s.task, s.attempt}, worker: s.worker, from: at(s.from), how: s.how, late: s.late, checkpoint: s.checkpoint, spec: j.spec()}
				if r.job, r.step, r.index = taskParts(s.task); r.job == id {
					r.plan = j.Steps[r.step]
				}
				if s.to > 0 {
					r.to = at(s.to)
				}
				if s.noted > 0 {
					r.noted = at(s.noted)
				}
				record.runs[s.task] = append(record.runs[s.task], r)
			}
			var found []string
			for _, f := range record.check() {
				found = append(found, f.Rule)
			}
			assert.DeepEqual(t, slices.Compact(found), c.want)
		})
	}
}

func TestStatesThatChangeAfterTheEndAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		state string
		near  bool // a disturbance
		want  int
	}{
		"the same state":                  {state: "completed"},
		"another final state":             {state: "cancelled", near: true, want: 1},
		"back to running":                 {state: "running", want: 1},
		"back to running, near a trouble": {state: "running", near: true},
	} {
		t.Run(name, func(t *testing.T) {
			record := newRecord()
			now := time.Now()
			j := &job{ID: "00000000000000aa", accepted: now.Add(-time.Minute), final: "completed", finalAt: now.Add(-time.Second)}
			if c.near {
				record.troubles = []span{{now.Add(-2 * time.Second), now.Add(-time.Second)}}
			}
			record.seen(j, &instance{}, now, 200, c.state)
			assert.Equal(t, len(record.found()), c.want)
		})
	}
}

func TestASeedDrawsOnePlan(t *testing.T) {
	assert.Equal(t, newPlan(7, time.Minute).String(), newPlan(7, time.Minute).String())
	assert.Assert(t, newPlan(7, time.Minute).String() != newPlan(8, time.Minute).String())
}
