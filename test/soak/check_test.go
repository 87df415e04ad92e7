package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// shownSlack is how long after a job was shown as completed its tasks may still start.
	shownSlack = time.Second
	// cancelWithin is when starts cease after the acknowledgement of a cancellation.
	cancelWithin = 3 * time.Second
)

// rules are the names of the rules. FINAL: a state that ends a job stays. ATTEMPTS: they rise.
// FAULT: no process ends by itself. HARNESS: what was to be played was played. The others are the users'.
var rules = []string{"TWICE", "ATTEMPTS", "UNASKED", "REFUSED", "ORDER", "GANG", "LIMIT", "LOST", "MIXED", "FINAL", "FAULT", "HARNESS"}

// check holds what was seen against the rules. It knows nothing of the instances' state.
func (c *record) check() []finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, runs := range c.runs {
		for n, r := range runs {
			c.checkOrder(r)
			for _, later := range runs[n+1:] {
				c.checkTwice(task, r, later)
			}
		}
	}
	for _, j := range c.jobs {
		c.checkEnd(j)
	}
	c.checkCapacity()
	list := c.found()
	slices.SortFunc(list, func(a, b finding) int { return strings.Compare(a.Rule+a.Text, b.Rule+b.Text) })
	return list
}

func (c *record) describe(r *run) string {
	text := fmt.Sprintf("attempt %d on %s, epoch %d, %s, ended %s %s", r.attempt, r.worker, r.fence, c.at(r.from), r.how, c.at(r.to))
	if !r.noted.IsZero() {
		text += ", acknowledged " + c.at(r.noted)
	}
	if r.late {
		text += ", carried out late"
	}
	return text
}

// checkTwice compares two runs of a task in the order of their starts.
func (c *record) checkTwice(task string, first, second *run) {
	about := func(rule, what string) {
		c.findAbout(first.job, rule, "%s of task %s: %s; %s", what, task, c.describe(first), c.describe(second))
	}
	if first.to.IsZero() || second.from.Before(first.to) {
		about("TWICE", "two runs at once")
	}
	if first.how == "done" && !first.noted.IsZero() && !second.from.Before(first.to) {
		about("TWICE", "a start after an acknowledged end")
	}
	if !second.late && second.attempt <= first.attempt {
		about("ATTEMPTS", "attempts that don't rise")
	}
}

// checkOrder checks that a start was asked for and was due.
func (c *record) checkOrder(r *run) {
	j := c.jobs[r.job]
	if j == nil || r.step < 0 || r.step >= len(j.Steps) || r.index >= j.Steps[r.step].Count || r.spec != j.spec() {
		c.findAbout(r.job, "UNASKED", "a start that nobody asked for: task %s, %s", r.task, c.describe(r))
		return
	}
	about := func(rule, format string, args ...any) {
		c.findAbout(r.job, rule, "%s: task %s, %s", fmt.Sprintf(format, args...), r.task, c.describe(r))
	}
	if j.refusedOnly {
		about("REFUSED", "a start of a job that was never accepted")
	}
	if r.checkpoint != "" && !c.saved[r.unit()+r.checkpoint] {
		about("UNASKED", "a checkpoint that isn't the task's, %s", r.checkpoint)
	}
	if j.final == "completed" && !r.late && r.from.After(j.finalAt.Add(shownSlack)) {
		about("TWICE", "a start after the job was shown as completed %s", c.at(j.finalAt))
	}
	if late := j.cancelled.Add(cancelWithin); !j.cancelled.IsZero() && !r.late && r.from.After(late) && c.calm(r.from.Add(-contact), r.from) {
		about("UNASKED", "a start after the cancellation was acknowledged %s", c.at(j.cancelled))
	}
	if r.how == "alone" && j.cancelSent.IsZero() && !r.late && c.calm(r.from.Add(-contact-longestLease), r.to) {
		about("GANG", "a member of a gang that stayed alone")
	}
	if r.step > 0 {
		for index := range j.Steps[r.step-1].Count {
			before := fmt.Sprintf("%s.0.%d.%d", r.job, r.step-1, index)
			if !slices.ContainsFunc(c.runs[before], func(b *run) bool { return b.how == "done" && !b.to.After(r.from) }) {
				about("ORDER", "a start before %s had ended", before)
			}
		}
	}
}

// checkEnd checks that an accepted job has ended, and for a reason. Faults are long over.
func (c *record) checkEnd(j *job) {
	if j.accepted.IsZero() {
		return
	}
	switch j.final {
	case "":
		c.findAbout(j.ID, "LOST", "job %s, accepted %s, hasn't ended; last shown as %q; %s", j.ID, c.at(j.accepted), j.last, c.runsOf(j))
	case "cancelled":
		if j.cancelSent.IsZero() {
			c.findAbout(j.ID, "LOST", "job %s is shown as cancelled %s, and nobody cancelled it", j.ID, c.at(j.finalAt))
		}
	case "failed":
		if !c.hasFailed(j) {
			c.findAbout(j.ID, "LOST", "job %s is shown as failed %s without that many failed runs; %s", j.ID, c.at(j.finalAt), c.runsOf(j))
		}
	case "completed":
		for n, s := range j.Steps {
			for index := range s.Count {
				task := fmt.Sprintf("%s.0.%d.%d", j.ID, n, index)
				if !slices.ContainsFunc(c.runs[task], func(r *run) bool { return r.how == "done" && r.to.Before(j.finalAt) }) {
					c.findAbout(j.ID, "MIXED", "job %s was shown as completed %s before task %s had ended", j.ID, c.at(j.finalAt), task)
				}
			}
		}
	}
}

// hasFailed reports whether a task, or a gang, has failed as often as its queue allows.
func (c *record) hasFailed(j *job) bool {
	failed := make(map[string]int)
	for n, s := range j.Steps {
		for index := range s.Count {
			for _, r := range c.runs[fmt.Sprintf("%s.0.%d.%d", j.ID, n, index)] {
				if r.how == "failed" {
					failed[r.unit()]++
				}
			}
		}
	}
	for _, n := range failed {
		if n >= queues[j.queue].attempts {
			return true
		}
	}
	return false
}

func (c *record) runsOf(j *job) string {
	var text []string
	for task, runs := range c.runs {
		for _, r := range runs {
			if r.job == j.ID {
				text = append(text, task+" "+c.describe(r))
			}
		}
	}
	slices.Sort(text)
	return "runs: " + strings.Join(text, " | ")
}

// checkCapacity checks that no start brought a worker over its accelerators.
func (c *record) checkCapacity() {
	byWorker := make(map[string][]*run)
	for _, runs := range c.runs {
		for _, r := range runs {
			byWorker[r.worker] = append(byWorker[r.worker], r)
		}
	}
	for worker, runs := range byWorker {
		for _, r := range runs {
			var used int64
			for _, other := range runs {
				if !other.from.After(r.from) && (other.to.IsZero() || other.to.After(r.from)) {
					used += other.plan.need.gpu
				}
			}
			if used > workerCapacity.gpu {
				c.findAbout(r.job, "LIMIT", "a start brings %s to %d accelerators: task %s, %s", worker, used, r.task, c.describe(r))
			}
		}
	}
}
