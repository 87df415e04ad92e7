package losses

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Outcome is the result of a job from its caller's point of view.
type Outcome string

// The outcomes of a job.
const (
	OutcomeOnTime    Outcome = "on time"
	OutcomeLate      Outcome = "late"
	OutcomeLost      Outcome = "lost"
	OutcomeRefused   Outcome = "refused"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeFailed    Outcome = "failed"
	// OutcomeOpen is the outcome of jobs that had not ended at the end of the logs.
	OutcomeOpen Outcome = "open"
)

// lateFactor is the multiple of its objective beyond which a late job counts as lost.
const lateFactor = 3

// Job describes a job and where its time went.
type Job struct {
	ID          string        `json:"id"`
	Queue       string        `json:"queue"`
	Priority    string        `json:"priority"`
	Account     string        `json:"client_account"`
	Zone        string        `json:"availability_zone"`
	SubmittedAt time.Time     `json:"sent"`
	Outcome     Outcome       `json:"outcome"`
	Elapsed     time.Duration `json:"took_ns"`
	Objective   time.Duration `json:"objective_ns"`
	// LeaderObjective is the objective that the leader expected at the first start, or zero.
	LeaderObjective time.Duration `json:"leader_objective_ns,omitempty"`
	// SlowestWorker is the speed of the slowest worker of the runs that counted, relative to the
	// usual one, or zero if no run counted.
	SlowestWorker float64                 `json:"slowest_worker,omitempty"`
	TimeByCause   map[Cause]time.Duration `json:"spent_ns"`
	// Cause is the cause, other than the job's own runs, that took most of its time; it is
	// CauseRun if no other cause took any.
	Cause Cause `json:"cause,omitempty"`
	// RefusalKind is the error kind of the last refusal of a job that was never accepted.
	RefusalKind string `json:"why,omitempty"`
}

// Report describes all jobs whose submission is in the logs.
type Report struct {
	Jobs []Job `json:"jobs"`
	// From is the submission time of the first job.
	From time.Time `json:"from"`
	// Unparsed counts the lines that could not be parsed.
	Unparsed int `json:"unread_lines"`
}

// DefaultSeenAfter is the time after its completion at which the caller of a job learns of it: half
// the interval at which callers ask, about half a second.
const DefaultSeenAfter = 250 * time.Millisecond

// Report evaluates the collected lines. seenAfter is the time after its completion at which a
// caller learns of it; the logs do not show when callers ask.
func (r *Reader) Report(seenAfter time.Duration) Report {
	lines := r.sortedLines()
	report := Report{Unparsed: r.unparsed}
	if len(lines) == 0 {
		return report
	}
	logEnd := lines[len(lines)-1].at
	jobs, leaderGaps := buildHistories(lines)
	speeds := estimateSpeeds(jobs)
	for _, h := range jobs {
		if !h.submittedAt.IsZero() {
			report.Jobs = append(report.Jobs, h.evaluate(leaderGaps, speeds, logEnd, seenAfter))
		}
	}
	slices.SortStableFunc(report.Jobs, func(a, b Job) int { return a.SubmittedAt.Compare(b.SubmittedAt) })
	if len(report.Jobs) > 0 {
		report.From = report.Jobs[0].SubmittedAt
	}
	return report
}

// NotOnTime returns the jobs that were late, lost, refused or still open.
func (r *Report) NotOnTime() []Job {
	return slices.DeleteFunc(slices.Clone(r.Jobs), func(j Job) bool { return !j.notOnTime() })
}

// LateForLeader counts the completed jobs that took longer than their leader expected to be
// allowed.
func (r *Report) LateForLeader() int {
	count := 0
	for _, j := range r.Jobs {
		if j.LeaderObjective > 0 && j.Elapsed > j.LeaderObjective && (j.Outcome == OutcomeOnTime || j.Outcome == OutcomeLate || j.Outcome == OutcomeLost) {
			count++
		}
	}
	return count
}

func (j *Job) notOnTime() bool {
	return j.Outcome != OutcomeOnTime && j.Outcome != OutcomeCancelled && j.Outcome != OutcomeFailed
}

func (h *history) evaluate(leaderGaps []timeRange, speeds workerSpeeds, logEnd time.Time, seenAfter time.Duration) Job {
	j := Job{
		ID: h.id, Queue: h.queue, Priority: h.priority, Account: h.account, Zone: h.zone, SubmittedAt: h.submittedAt,
		TimeByCause: make(map[Cause]time.Duration), SlowestWorker: h.slowestWorker(speeds),
	}
	if !h.leaderDue.IsZero() {
		j.LeaderObjective = h.leaderDue.Sub(h.submittedAt)
	}
	ended := h.endedAt
	if ended.IsZero() {
		ended = logEnd
	}
	j.Elapsed = ended.Sub(h.submittedAt)
	j.Objective = time.Duration(h.latencyFactor*float64(h.criticalPath(speeds))) + h.gracePeriod
	switch {
	case h.cancelled:
		j.Outcome = OutcomeCancelled
		return j
	case h.acceptedAt.IsZero():
		j.Outcome, j.RefusalKind, j.Cause = OutcomeRefused, h.refusalKind, CauseAccept
		j.Elapsed, j.Objective = 0, 0
		return j
	case h.finalState == "failed":
		j.Outcome = OutcomeFailed
		return j
	case h.finalState == "":
		j.Outcome, j.Objective = OutcomeOpen, 0
	case j.Elapsed+seenAfter > lateFactor*j.Objective:
		j.Outcome = OutcomeLost
	case j.Elapsed+seenAfter > j.Objective:
		j.Outcome = OutcomeLate
	default:
		j.Outcome = OutcomeOnTime
	}
	h.attributeTime(&j, leaderGaps, speeds, ended)
	return j
}

// slowestWorker returns the speed of the slowest worker of the runs that counted, or zero if
// there were none.
func (h *history) slowestWorker(speeds workerSpeeds) float64 {
	slowest := 0.0
	for _, r := range h.runOrder {
		if speed := speeds.of(r.worker); r.completionKind == "done" && (slowest == 0 || speed < slowest) {
			slowest = speed
		}
	}
	return slowest
}

// criticalPath returns the sum of the longest task of each step, on workers of the usual
// speed. It approximates the job's longest chain of work: steps that run concurrently are
// both counted.
func (h *history) criticalPath(speeds workerSpeeds) time.Duration {
	longest := make(map[string]time.Duration)
	for _, r := range h.runOrder {
		if r.completionKind == "done" {
			longest[r.step] = max(longest[r.step], h.taskWork(r, speeds))
		}
	}
	sum := time.Duration(0)
	for _, d := range longest {
		sum += d
	}
	return sum
}

// taskWork returns the work of the task that a completed run belongs to: that run, the
// runs it resumed from, and the failed ones, whose failure may be the task's own fault.
func (h *history) taskWork(done *run, speeds workerSpeeds) time.Duration {
	sum := h.usualDuration(done, speeds)
	for _, r := range h.runOrder {
		if r == done || r.task != done.task || r.completionKind == "" {
			continue
		}
		if r.completionKind == "failed" || done.resumed && r.from.Before(done.from) && r.completionKind != "not started" {
			sum += h.usualDuration(r, speeds)
		}
	}
	return sum
}

// attributeTime divides the job's time among the causes.
func (h *history) attributeTime(j *Job, leaderGaps []timeRange, speeds workerSpeeds, ended time.Time) {
	j.TimeByCause[CauseAccept] = h.acceptedAt.Sub(h.submittedAt)
	moments := []time.Time{h.acceptedAt, ended}
	lastEnd := h.acceptedAt
	for _, r := range h.runOrder {
		if r.completionKind == "" {
			r.to = ended
		}
		moments = append(moments, r.from, r.to)
		if r.completionKind != "done" {
			continue
		}
		r.usualEnd = r.from.Add(h.usualDuration(r, speeds))
		moments = append(moments, r.usualEnd)
		if r.to.After(lastEnd) {
			lastEnd = r.to
		}
	}
	for _, g := range leaderGaps {
		moments = append(moments, g.from, g.to)
	}
	for _, w := range h.waits {
		moments = append(moments, w.at)
	}
	slices.SortFunc(moments, time.Time.Compare)
	for i := range moments[:len(moments)-1] {
		from, to := moments[i], moments[i+1]
		if from.Before(h.acceptedAt) || !from.Before(ended) {
			continue
		}
		j.TimeByCause[h.causeAt(from, lastEnd, leaderGaps)] += to.Sub(from)
	}
	j.Cause = j.mainCause()
}

// causeAt returns the cause that the job's time at a moment is attributed to.
func (h *history) causeAt(at, lastEnd time.Time, leaderGaps []timeRange) Cause {
	slowRun, wastedRun, failingWorker := false, false, false
	for _, r := range h.runOrder {
		switch {
		case !r.contains(at):
		case r.completionKind == "" || r.completionKind == "done" && at.Before(r.usualEnd):
			return CauseRun
		case r.completionKind == "done":
			slowRun = true
		case r.onFailingWorker:
			failingWorker = true
		default:
			wastedRun = true
		}
	}
	switch {
	case slowRun:
		return CauseSlowWorker
	case failingWorker:
		return CauseFailingWorker
	case wastedRun:
		return CauseRerun
	}
	for _, g := range leaderGaps {
		if g.contains(at) {
			return CauseLeader
		}
	}
	if h.finalState != "" && !at.Before(lastEnd) && lastEnd.After(h.acceptedAt) {
		return CauseRecord
	}
	return h.waitCauseAt(at)
}

// waitCauseAt returns the cause given by the last wait line at or before a moment, among
// those since the job last ran. If there is none, the first wait line after the moment
// and before the next run counts, because a wait line is written some time after the
// wait began. Without any wait line, the cause is CauseStart.
func (h *history) waitCauseAt(at time.Time) Cause {
	next := at.Add(time.Hour)
	since := h.acceptedAt
	for _, r := range h.runOrder {
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

// mainCause returns the cause that took most of the time, other than the job's own
// runs, or CauseRun if no other cause took any.
func (j *Job) mainCause() Cause {
	cause := CauseRun
	longest := time.Duration(0)
	for _, c := range Causes() {
		if spent := j.TimeByCause[c]; c != CauseRun && spent > longest {
			cause, longest = c, spent
		}
	}
	return cause
}

// Summary sums up a group of jobs that were not on time.
type Summary struct {
	// Name identifies the group: a cause or the start of a time interval.
	Name string `json:"name"`
	// Jobs counts the jobs by priority, AllJobs those on time as well.
	Jobs    map[string]int `json:"jobs"`
	AllJobs map[string]int `json:"all_jobs"`
	// TimeByCause is the total time of the jobs by cause.
	TimeByCause map[Cause]time.Duration `json:"spent_ns"`
	order       int
}

// ByCause groups the jobs that were not on time by their main cause.
func (r *Report) ByCause() []Summary {
	return r.summarize(func(j Job) (string, int) { return string(j.Cause), slices.Index(Causes(), j.Cause) })
}

// ByTime groups the jobs that were not on time by the interval of their submission.
func (r *Report) ByTime(interval time.Duration) []Summary {
	return r.summarize(func(j Job) (string, int) {
		offset := j.SubmittedAt.Sub(r.From).Truncate(interval)
		return offset.String(), int(offset / interval)
	})
}

// ByAccount groups the jobs that were not on time by their client account.
func (r *Report) ByAccount() []Summary {
	return r.summarize(func(j Job) (string, int) { return j.Account, 0 })
}

// ByZone groups them by the availability zone that received them.
func (r *Report) ByZone() []Summary {
	return r.summarize(func(j Job) (string, int) { return j.Zone, 0 })
}

// BySpeed groups them by the speed of the slowest worker of the runs that counted, in tenths.
func (r *Report) BySpeed() []Summary {
	return r.summarize(func(j Job) (string, int) {
		tenths := int(math.Round(10 * j.SlowestWorker))
		if tenths == 0 {
			return "none", 0
		}
		return fmt.Sprintf("%.1f", float64(tenths)/10), tenths
	})
}

func (r *Report) summarize(group func(Job) (string, int)) []Summary {
	var list []Summary
	for _, j := range r.Jobs {
		name, order := group(j)
		i := slices.IndexFunc(list, func(s Summary) bool { return s.Name == name })
		if i < 0 {
			i = len(list)
			list = append(list, Summary{Name: name, Jobs: make(map[string]int), AllJobs: make(map[string]int), TimeByCause: make(map[Cause]time.Duration), order: order})
		}
		list[i].AllJobs[j.Priority]++
		if !j.notOnTime() {
			continue
		}
		list[i].Jobs[j.Priority]++
		for cause, spent := range j.TimeByCause {
			list[i].TimeByCause[cause] += spent
		}
	}
	list = slices.DeleteFunc(list, func(s Summary) bool { return len(s.Jobs) == 0 })
	slices.SortFunc(list, func(a, b Summary) int { return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.Name, b.Name)) })
	return list
}
