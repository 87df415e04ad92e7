package losses

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Cause is what a part of a job's time is attributed to.
type Cause string

// The causes of a job's time.
const (
	// CauseAccept is the time from the first try to submit a job until it was stored.
	CauseAccept Cause = "accept"
	// CauseLeader is the time without a leader.
	CauseLeader Cause = "leader"
	// CauseLease is the wait for workers that have not answered a new leader, because
	// tasks started by an earlier leader may still run there.
	CauseLease Cause = "lease"
	// CauseStartIntent is the wait until the job's start intent is stored.
	CauseStartIntent Cause = "begin"
	// CauseCapacity is the wait for capacity that is not being freed for the job. It
	// includes the wait for the placement advisor and for a queue that is not in force.
	CauseCapacity Cause = "room"
	// CausePreempt is the wait for other runs to be stopped.
	CausePreempt Cause = "stop"
	// CauseStart is the wait for a start without any cause in the log.
	CauseStart Cause = "start"
	// CauseRerun is the time of runs that were interrupted, failed or were stopped.
	CauseRerun Cause = "again"
	// CauseFailingWorker is the time of runs that failed on a worker that the leader closed, and
	// of those that were interrupted with them.
	CauseFailingWorker Cause = "failing worker"
	// CauseRun is the time of runs that completed or are still running.
	CauseRun Cause = "run"
	// CauseSlowWorker is the time that completed runs took beyond that on workers of the usual
	// speed.
	CauseSlowWorker Cause = "slow worker"
	// CauseRecord is the time from the last completion until it was stored.
	CauseRecord Cause = "record"
)

// Causes returns the causes in the order in which a job meets them.
func Causes() []Cause {
	return []Cause{CauseAccept, CauseLeader, CauseLease, CauseStartIntent, CauseCapacity, CausePreempt, CauseStart, CauseRerun, CauseFailingWorker, CauseRun, CauseSlowWorker, CauseRecord}
}

// causeOfWaitReason maps the reason of a wait line, up to its first semicolon, to a
// cause.
var causeOfWaitReason = map[string]Cause{
	"room is being freed":              CausePreempt,
	"others are stopped":               CausePreempt,
	"workers that have not answered":   CauseLease,
	"its begin is being stored":        CauseStartIntent,
	"others end in time":               CauseCapacity,
	"room is kept for it":              CauseCapacity,
	"no room":                          CauseCapacity,
	"no room where it belongs":         CauseCapacity,
	"nothing may be stopped for it":    CauseCapacity,
	"no worker that may run it":        CauseCapacity,
	"a run of it may not be over yet":  CauseLease,
	"its queue is not in force":        CauseCapacity,
	"tickets of the advisor are asked": CauseCapacity,
}

// timeRange is a period of time.
type timeRange struct {
	from, to time.Time
}

func (r timeRange) contains(at time.Time) bool { return !at.Before(r.from) && at.Before(r.to) }

// run is one run of a task.
type run struct {
	timeRange
	// completionKind is the kind of its completion, or "not started" if the order to start it was
	// not carried out; empty while it is running.
	completionKind string
	// usualEnd is the time at which a completed run would have ended on workers of the usual
	// speed.
	usualEnd time.Time
	// task and step identify what ran; all members of a gang end together.
	task, step string
	attempt    string
	worker     string
	// workerSpeed is the speed of the worker that the leader stated, or zero.
	workerSpeed float64
	// onFailingWorker is set if it failed on a worker that the leader closed, or was interrupted
	// by a member of its gang that did.
	onFailingWorker bool
	// resumed reports whether it continued from a checkpoint of an earlier run.
	resumed bool
}

// wait is a reason to wait that applies from a moment on.
type wait struct {
	at    time.Time
	cause Cause
}

// history collects what the log lines contain about one job. runs holds its runs by
// runKey, runOrder in the order of their starts.
type history struct {
	id, queue, account      string
	priority                string
	latencyFactor           float64
	gracePeriod             time.Duration
	submittedAt, acceptedAt time.Time
	refusalKind             string
	cancelled               bool
	endedAt                 time.Time
	finalState              string
	runs                    map[string]*run
	runOrder                []*run
	// gangs holds the runs that share a step and an attempt; independent tasks share none.
	gangs map[gangKey][]*run
	waits []wait
	// zone is the availability zone of the instance that received the job.
	zone string
	// leaderDue is the due time that the leader stated at the job's first start.
	leaderDue time.Time
}

// gangKey identifies one attempt at a step.
type gangKey struct{ step, attempt string }

// buildHistories groups the lines by job, and finds the times without a leader.
func buildHistories(lines []line) (jobs []*history, leaderGaps []timeRange) {
	byID := make(map[string]*history)
	lease := &leaseHistory{lastLineAt: make(map[string]time.Time)}
	closed := make(map[string]bool)
	for i := range lines {
		l := &lines[i]
		lease.apply(l)
		if l.message == "worker soundness" && l.fields["state"] == "closed" {
			closed[l.fields["worker"]] = true
		}
		id := l.fields["job"]
		if id == "" {
			continue
		}
		h := byID[id]
		if h == nil {
			h = &history{id: id, runs: make(map[string]*run), gangs: make(map[gangKey][]*run)}
			byID[id] = h
			jobs = append(jobs, h)
		}
		h.apply(l)
	}
	for _, h := range jobs {
		h.markFailingWorkers(closed)
	}
	return jobs, lease.gaps
}

// markFailingWorkers marks the runs that were lost to workers that the leader closed.
func (h *history) markFailingWorkers(closed map[string]bool) {
	for _, members := range h.gangs {
		failed := slices.ContainsFunc(members, func(r *run) bool { return r.completionKind == "failed" && closed[r.worker] })
		for _, r := range members {
			r.onFailingWorker = failed && r.completionKind != "done"
		}
	}
}

func (h *history) apply(l *line) {
	switch l.message {
	case "submit":
		h.applySubmit(l)
	case "cancel":
		h.cancelled = h.cancelled || l.fields["error_kind"] == ""
	case "order":
		h.applyOrder(l)
	case "order not carried out":
		h.applyRefusedOrder(l)
	case "end":
		h.applyEnd(l)
	case "wait":
		reason, _, _ := strings.Cut(l.fields["reason"], ";")
		if cause, ok := causeOfWaitReason[reason]; ok {
			h.waits = append(h.waits, wait{l.at, cause})
		}
	case "job ended", "end announced":
		if h.finalState == "" {
			h.endedAt, h.finalState = l.at, l.fields["state"]
		}
	}
}

func (h *history) applySubmit(l *line) {
	if h.submittedAt.IsZero() {
		h.submittedAt = l.at.Add(-parseMilliseconds(l.fields["took_ms"]))
	}
	if h.acceptedAt.IsZero() {
		h.refusalKind = l.fields["error_kind"]
	}
	if l.fields["error_kind"] == "" && h.acceptedAt.IsZero() {
		h.acceptedAt = l.at
	}
	h.queue, h.account, h.priority = l.fields["queue"], l.fields["client_account"], l.fields["priority"]
	h.zone = l.fields["availability_zone"]
	h.latencyFactor, _ = strconv.ParseFloat(l.fields["stretch"], 64)
	h.gracePeriod = parseMilliseconds(l.fields["grace_ms"])
}

func parseMilliseconds(text string) time.Duration {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// runKey identifies one run of a task.
func runKey(l *line) string {
	return strings.Join([]string{l.fields["occurrence"], l.fields["step"], l.fields["task"], l.fields["attempt"]}, ".")
}

func (h *history) applyOrder(l *line) {
	if l.fields["order"] != "start" || h.runs[runKey(l)] != nil {
		return
	}
	step := l.fields["occurrence"] + "." + l.fields["step"]
	r := &run{
		timeRange: timeRange{from: l.at}, step: step, task: step + "." + l.fields["task"],
		attempt: l.fields["attempt"], worker: l.fields["worker"], resumed: l.fields["resumes"] == "true",
	}
	r.workerSpeed, _ = strconv.ParseFloat(l.fields["worker_speed"], 64)
	h.runs[runKey(l)] = r
	h.runOrder = append(h.runOrder, r)
	key := gangKey{r.step, r.attempt}
	h.gangs[key] = append(h.gangs[key], r)
	if due, stated := statedDue(l); stated && h.leaderDue.IsZero() {
		h.leaderDue = due
	}
}

// dueReason precedes the time that a start has left, in the reason of its line.
const dueReason = "due in "

// statedDue returns the due time that the line of a start states.
func statedDue(l *line) (time.Time, bool) {
	_, after, found := strings.Cut(l.fields["reason"], dueReason)
	text, _, _ := strings.Cut(after, " ms")
	ms, err := strconv.ParseInt(text, 10, 64)
	if !found || err != nil {
		return time.Time{}, false
	}
	return l.at.Add(time.Duration(ms) * time.Millisecond), true
}

func (h *history) applyRefusedOrder(l *line) {
	if r := h.runs[runKey(l)]; r != nil && r.completionKind == "" && l.fields["order"] == "start" {
		r.to, r.completionKind = l.at, "not started"
	}
}

// applyEnd ends a run. Later lines about the same run, from a leader that received the
// completion again, are ignored.
func (h *history) applyEnd(l *line) {
	if r := h.runs[runKey(l)]; r != nil && (r.completionKind == "" || r.completionKind == "not started") {
		r.to, r.completionKind = l.at, l.fields["kind"]
	}
}

// leaseHistory finds the times without a leader.
type leaseHistory struct {
	leader          string
	leaderlessSince time.Time
	// lastLineAt holds the time of the last line of each instance.
	lastLineAt map[string]time.Time
	gaps       []timeRange
}

// apply tracks the leader: an instance leads from its "leading" line until it lost the
// lease or, if it crashed, until its last line before the next leader won the lease.
func (h *leaseHistory) apply(l *line) {
	switch l.message {
	case "leading":
		if !h.leaderlessSince.IsZero() {
			h.gaps = append(h.gaps, timeRange{h.leaderlessSince, l.at})
		}
		h.leader, h.leaderlessSince = l.instance, time.Time{}
	case "lease lost":
		if l.instance == h.leader {
			h.leader, h.leaderlessSince = "", l.at
		}
	case "lease won":
		if h.leader != "" && h.leader != l.instance {
			h.leaderlessSince = h.lastLineAt[h.leader]
		} else if h.leaderlessSince.IsZero() {
			h.leaderlessSince = l.at
		}
		h.leader = ""
	}
	h.lastLineAt[l.instance] = l.at
}
