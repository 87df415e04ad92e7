package soak

import (
	"fmt"
	"maps"
	"sync"
	"time"
)

// run is one run of a task on a worker.
type run struct {
	runKey
	job         string
	step, index int
	worker      string
	fence       int64
	from, to    time.Time
	how         string
	noted       time.Time // when its end was acknowledged
	// late is set if the order was carried out long after it was sent.
	late       bool
	checkpoint string
	spec       string

	owner    *worker
	plan     stepPlan
	gang     *gangRun
	worksAt  time.Time // zero until it works
	stopping bool
	timer    *time.Timer
}

// gangRun are the members of one attempt of a gang. They work once all are present.
type gangRun struct {
	members map[int]*run
	working bool
}

type gangKey struct {
	job     string
	step    int
	attempt int64
}

// progress returns how much of its work a run has done, with what its checkpoint brought.
func (r *run) progress(now time.Time) time.Duration {
	var before int64
	if len(r.checkpoint) >= 8 {
		_, _ = fmt.Sscanf(r.checkpoint[:8], "%x", &before)
	}
	done := time.Duration(before) * time.Millisecond
	if !r.worksAt.IsZero() {
		done += max(0, now.Sub(r.worksAt))
	}
	return min(done, r.plan.Takes)
}

// saved returns the newest checkpoint.
func (r *run) saved(stopped bool) string {
	if !r.plan.Checkpoints {
		return ""
	}
	done := r.progress(time.Now())
	if !stopped {
		done = done.Truncate(checkpointInterval)
	}
	if done == 0 {
		return r.checkpoint
	}
	value := fmt.Sprintf("%08x%08x", done.Milliseconds(), r.attempt)
	r.owner.play.record.saved[r.unit()+value] = true
	return value
}

// unit names what shares checkpoints: the gang or the task.
func (r *run) unit() string {
	if r.plan.Gang {
		return fmt.Sprintf("%s.%d/", r.job, r.step)
	}
	return r.task + "/"
}

func (r *run) percent() int {
	if r.worksAt.IsZero() {
		return 0
	}
	return min(99, int(100*r.progress(time.Now())/max(r.plan.Takes, time.Millisecond)))
}

// finding is a broken rule.
type finding struct {
	Rule string `json:"rule"`
	Job  string `json:"job,omitempty"`
	Text string `json:"text"`
}

// record keeps what workers and callers have seen. mu guards all of it, and the workers.
type record struct {
	mu     sync.Mutex
	start  time.Time
	jobs   map[string]*job
	runs   map[string][]*run // by task
	gangs  map[gangKey]*gangRun
	saved  map[string]bool // checkpoints, by unit
	counts map[string]int
	// troubles are the times of disturbances.
	troubles []span

	findMu   sync.Mutex // guards findings
	findings []finding
}

type span struct{ from, to time.Time }

func newRecord() *record {
	return &record{
		start: time.Now(), jobs: make(map[string]*job), runs: make(map[string][]*run), gangs: make(map[gangKey]*gangRun),
		saved: make(map[string]bool), counts: make(map[string]int),
	}
}

func (c *record) find(rule, format string, args ...any) { c.findAbout("", rule, format, args...) }

func (c *record) findAbout(job, rule, format string, args ...any) {
	c.findMu.Lock()
	defer c.findMu.Unlock()
	c.findings = append(c.findings, finding{rule, job, fmt.Sprintf(format, args...)})
}

func (c *record) found() []finding {
	c.findMu.Lock()
	defer c.findMu.Unlock()
	return append([]finding{}, c.findings...)
}

// count adds to a count of the report. The caller holds mu.
func (c *record) count(what string, n int) { c.counts[what] += n }

func (c *record) disturbed(from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.troubles = append(c.troubles, span{from, to})
}

// calm reports whether nothing was disturbed from a time to another one. The caller holds mu.
func (c *record) calm(from, to time.Time) bool {
	for _, s := range c.troubles {
		if s.from.Before(to) && s.to.After(from) {
			return false
		}
	}
	return true
}

// started begins a run. The caller holds mu.
func (c *record) started(w *worker, o order) *run {
	r := &run{
		runKey: runKey{o.Task, o.Attempt}, worker: w.id, fence: o.FencingToken, from: time.Now(), late: o.late, checkpoint: o.Checkpoint,
		spec: o.Spec, owner: w,
	}
	r.job, r.step, r.index = taskParts(o.Task)
	if j := c.jobs[r.job]; j != nil && r.step >= 0 && r.step < len(j.Steps) {
		r.plan = j.Steps[r.step]
	}
	c.runs[o.Task] = append(c.runs[o.Task], r)
	c.count("runs", 1)
	if r.late {
		c.count("runs carried out late", 1)
	}
	if _, epoch := w.play.store.leader(); int64(epoch) > o.FencingToken {
		c.count("runs of a replaced leader", 1)
	}
	if !r.plan.Gang {
		c.work(r)
		return r
	}
	key := gangKey{r.job, r.step, r.attempt}
	g := c.gangs[key]
	if g == nil {
		g = &gangRun{members: make(map[int]*run)}
		c.gangs[key] = g
	}
	r.gang = g
	g.members[r.index] = r
	if len(g.members) == r.plan.Count && !g.working {
		g.working = true
		for _, m := range g.members {
			c.work(m)
		}
	} else if !g.working {
		r.timer = time.AfterFunc(gangTimeout, func() { c.finishLater(r, "alone") })
	}
	return r
}

// work lets a run work until its time. The caller holds mu.
func (c *record) work(r *run) {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.worksAt = time.Now()
	if r.checkpoint != "" {
		r.worksAt = r.worksAt.Add(restoreTime)
	}
	how, takes := "done", r.plan.Takes-r.progress(r.worksAt)
	if r.plan.Fails && r.index == 0 && len(c.runs[r.task]) == 1 {
		how, takes = "failed", takes/2
	}
	if r.gang != nil && r.index != 0 {
		return // member 0 stands for all
	}
	r.timer = time.AfterFunc(time.Until(r.worksAt)+takes, func() { c.finishLater(r, how) })
}

func (c *record) finishLater(r *run, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.owner.lapse()
	if how == "alone" && r.gang.working {
		return
	}
	if how == "done" && r.gang != nil {
		for _, m := range r.gang.members {
			m.owner.lapse()
		}
		if r.gang.working { // no lease has ended
			for _, m := range maps.Clone(r.gang.members) {
				m.owner.finish(m, "done", time.Now())
			}
		}
		return
	}
	r.owner.finish(r, how, time.Now())
}

// ended notes the end of a run, and breaks off the gang that it was at work with. The caller holds mu.
func (c *record) ended(r *run, how string, at time.Time) {
	r.to, r.how = at, how
	if r.timer != nil {
		r.timer.Stop()
	}
	c.count("ended "+how, 1)
	g := r.gang
	if g == nil || g.members[r.index] != r {
		return
	}
	delete(g.members, r.index)
	if !g.working || how == "done" {
		return
	}
	g.working = false
	for _, m := range maps.Clone(g.members) {
		m.owner.finish(m, "broken", time.Now())
	}
}

// acknowledged notes that an end was taken note of, unless the worker's lease ended since. One end
// of a gang stands for all of its ends. The caller holds mu.
func (c *record) acknowledged(w *worker, end []any) {
	task, attempt := end[1].(string), end[2].(int64)
	for _, r := range c.runs[task] {
		if r.owner != w || r.attempt != attempt || r.to.IsZero() || w.lapsed.After(r.to) || !r.noted.IsZero() {
			continue
		}
		r.noted = time.Now()
		if r.gang != nil && r.how == "done" {
			c.noteGang(r)
		}
	}
}

func (c *record) noteGang(done *run) {
	for index := range done.plan.Count {
		for _, r := range c.runs[fmt.Sprintf("%s.0.%d.%d", done.job, done.step, index)] {
			if r.gang == done.gang && r.how == "done" && r.noted.IsZero() {
				r.noted = done.noted
			}
		}
	}
}
