package losses

import (
	"cmp"
	"slices"
	"time"
)

// Outcome is what became of a job for its caller.
type Outcome string

// The outcomes.
const (
	OutcomeOnTime    Outcome = "on time"
	OutcomeLate      Outcome = "late"
	OutcomeLost      Outcome = "lost"
	OutcomeRefused   Outcome = "refused"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeFailed    Outcome = "failed"
	// OutcomeOpen jobs had not ended when the logs do.
	OutcomeOpen Outcome = "open"
)

// lateFactor: a job is lost for its caller from this many times its objective.
const lateFactor = 3

// Job is one job, and where its time went.
type Job struct {
	ID        string                  `json:"id"`
	Queue     string                  `json:"queue"`
	Priority  string                  `json:"priority"`
	Account   string                  `json:"client_account"`
	Sent      time.Time               `json:"sent"`
	Outcome   Outcome                 `json:"outcome"`
	Took      time.Duration           `json:"took_ns"`
	Objective time.Duration           `json:"objective_ns"`
	Spent     map[Cause]time.Duration `json:"spent_ns"`
	// Cause is what the job lost most to, beside its own runs.
	Cause Cause `json:"cause,omitempty"`
	// Why says why it was refused.
	Why string `json:"why,omitempty"`
}

// Report is what the lines say of all jobs.
type Report struct {
	Jobs []Job `json:"jobs"`
	// From is the time of the first job.
	From time.Time `json:"from"`
	// Unread counts lines that could not be read.
	Unread int `json:"unread_lines"`
}

// Report reads the lines that were collected.
func (r *Reader) Report() Report {
	lines := r.sorted()
	report := Report{Unread: r.unread}
	if len(lines) == 0 {
		return report
	}
	until := lines[len(lines)-1].at
	jobs, gaps := collect(lines)
	for _, h := range jobs {
		if !h.sent.IsZero() {
			report.Jobs = append(report.Jobs, h.judge(gaps, until))
		}
	}
	slices.SortStableFunc(report.Jobs, func(a, b Job) int { return a.Sent.Compare(b.Sent) })
	if len(report.Jobs) > 0 {
		report.From = report.Jobs[0].Sent
	}
	return report
}

// Lost lists the jobs that were late, lost or refused.
func (r *Report) Lost() []Job {
	return slices.DeleteFunc(slices.Clone(r.Jobs), func(j Job) bool {
		return j.Outcome == OutcomeOnTime || j.Outcome == OutcomeCancelled || j.Outcome == OutcomeFailed
	})
}

func (h *history) judge(gaps []span, until time.Time) Job {
	j := Job{ID: h.id, Queue: h.queue, Priority: h.priority, Account: h.account, Sent: h.sent, Spent: make(map[Cause]time.Duration)}
	ended := h.ended
	if ended.IsZero() {
		ended = until
	}
	j.Took = ended.Sub(h.sent)
	j.Objective = time.Duration(h.stretch*float64(h.chain())) + h.grace
	switch {
	case h.cancelled:
		j.Outcome = OutcomeCancelled
		return j
	case h.accepted.IsZero():
		j.Outcome, j.Why, j.Cause = OutcomeRefused, h.refused, CauseAccept
		j.Took, j.Objective = 0, 0
		return j
	case h.state == "failed":
		j.Outcome = OutcomeFailed
		return j
	case h.state == "":
		j.Outcome, j.Objective = OutcomeOpen, 0
	case j.Took > lateFactor*j.Objective:
		j.Outcome = OutcomeLost
	case j.Took > j.Objective:
		j.Outcome = OutcomeLate
	default:
		j.Outcome = OutcomeOnTime
	}
	h.spend(&j, gaps, ended)
	return j
}

// chain is the work of the longest task of each step, one step after the other. It
// stands in for the job's longest chain of work: steps that run beside each other
// count twice, and a slow worker's time counts as the job's.
func (h *history) chain() time.Duration {
	longest := make(map[string]time.Duration)
	for _, r := range h.order {
		if r.kind == "done" {
			longest[r.step] = max(longest[r.step], h.work(r))
		}
	}
	sum := time.Duration(0)
	for _, d := range longest {
		sum += d
	}
	return sum
}

// work is what the task of a run that ended done took: that run, those that it went
// on from, and those that failed, which may be the task's own fault.
func (h *history) work(done *run) time.Duration {
	sum := done.to.Sub(done.from)
	for _, r := range h.order {
		if r == done || r.task != done.task || r.kind == "" {
			continue
		}
		if r.kind == "failed" || done.resumes && r.from.Before(done.from) && r.kind != "not started" {
			sum += r.to.Sub(r.from)
		}
	}
	return sum
}

// spend shares the job's time among the causes, moment by moment.
func (h *history) spend(j *Job, gaps []span, ended time.Time) {
	j.Spent[CauseAccept] = h.accepted.Sub(h.sent)
	moments := []time.Time{h.accepted, ended}
	lastEnd := h.accepted
	for _, r := range h.order {
		if r.kind == "" {
			r.to = ended
		}
		moments = append(moments, r.from, r.to)
		if r.kind == "done" && r.to.After(lastEnd) {
			lastEnd = r.to
		}
	}
	for _, g := range gaps {
		moments = append(moments, g.from, g.to)
	}
	for _, w := range h.waits {
		moments = append(moments, w.at)
	}
	slices.SortFunc(moments, time.Time.Compare)
	for i := range moments[:len(moments)-1] {
		from, to := moments[i], moments[i+1]
		if from.Before(h.accepted) || !from.Before(ended) {
			continue
		}
		j.Spent[h.causeAt(from, lastEnd, gaps)] += to.Sub(from)
	}
	j.Cause = j.worst()
}

// causeAt is what the job's time went to at a moment.
func (h *history) causeAt(at, lastEnd time.Time, gaps []span) Cause {
	wasted := false
	for _, r := range h.order {
		if !r.holds(at) {
			continue
		}
		if r.kind == "done" || r.kind == "" {
			return CauseRun
		}
		wasted = true
	}
	if wasted {
		return CauseAgain
	}
	for _, g := range gaps {
		if g.holds(at) {
			return CauseLeader
		}
	}
	if h.state != "" && !at.Before(lastEnd) && lastEnd.After(h.accepted) {
		return CauseRecord
	}
	return h.waitAt(at)
}

// waitAt is what the wait line that came next, or else the last one since the job
// last ran, says: a line is written a while after the wait begins.
func (h *history) waitAt(at time.Time) Cause {
	next := at.Add(time.Hour)
	since := h.accepted
	for _, r := range h.order {
		if r.from.After(at) && r.from.Before(next) {
			next = r.from
		}
		if !r.to.After(at) && r.to.After(since) {
			since = r.to
		}
	}
	cause := CauseStart
	for _, w := range h.waits {
		if w.at.Before(since) || !w.at.Before(next) {
			continue
		}
		if cause == CauseStart || !w.at.After(at) {
			cause = w.cause
		}
	}
	return cause
}

// worst is the cause that took most of the time, of those that are not the job's
// own runs.
func (j *Job) worst() Cause {
	worst := CauseRun
	most := time.Duration(0)
	for _, cause := range Causes() {
		if spent := j.Spent[cause]; cause != CauseRun && spent > most {
			worst, most = cause, spent
		}
	}
	return worst
}

// Sum is what one group of jobs lost.
type Sum struct {
	// Name is the group: a cause, or a stretch of time.
	Name string `json:"name"`
	// Jobs counts them by priority.
	Jobs map[string]int `json:"jobs"`
	// Spent is their time by cause.
	Spent map[Cause]time.Duration `json:"spent_ns"`
	order int
}

// ByCause sums the jobs that were not on time by what they lost most to.
func (r *Report) ByCause() []Sum {
	return r.sums(func(j Job) (string, int) { return string(j.Cause), slices.Index(Causes(), j.Cause) })
}

// ByMoment sums them by when they were handed in, a row for each stretch.
func (r *Report) ByMoment(stretch time.Duration) []Sum {
	return r.sums(func(j Job) (string, int) {
		at := j.Sent.Sub(r.From).Truncate(stretch)
		return at.String(), int(at / stretch)
	})
}

func (r *Report) sums(group func(Job) (string, int)) []Sum {
	var list []Sum
	for _, j := range r.Lost() {
		name, order := group(j)
		i := slices.IndexFunc(list, func(s Sum) bool { return s.Name == name })
		if i < 0 {
			i = len(list)
			list = append(list, Sum{Name: name, Jobs: make(map[string]int), Spent: make(map[Cause]time.Duration), order: order})
		}
		list[i].Jobs[j.Priority]++
		for cause, spent := range j.Spent {
			list[i].Spent[cause] += spent
		}
	}
	slices.SortFunc(list, func(a, b Sum) int { return cmp.Compare(a.order, b.order) })
	return list
}
