package losses

import (
	"strconv"
	"strings"
	"time"
)

// Cause is what a job's time went to.
type Cause string

// The causes.
const (
	// CauseAccept is the time from the first try to hand a job in until the store
	// had it.
	CauseAccept Cause = "accept"
	// CauseLeader is the time without a leader of the lease that decides.
	CauseLeader Cause = "leader"
	// CauseLease is the wait for workers that a new leader has not heard of: what
	// an earlier one started may run there.
	CauseLease Cause = "lease"
	// CauseBegin is the wait for the store to know that the job begins.
	CauseBegin Cause = "begin"
	// CauseRoom is the wait for room that nobody frees for it.
	CauseRoom Cause = "room"
	// CauseStop is the wait for others to be stopped.
	CauseStop Cause = "stop"
	// CauseStart is the wait for a start to be given although nothing was in the
	// way as far as the log tells.
	CauseStart Cause = "start"
	// CauseAgain is the time of runs that were broken, failed or were stopped.
	CauseAgain Cause = "again"
	// CauseRun is the time of the runs that counted.
	CauseRun Cause = "run"
	// CauseRecord is the time from the last end until it was stored.
	CauseRecord Cause = "record"
)

// Causes lists them in the order of a job's way.
func Causes() []Cause {
	return []Cause{CauseAccept, CauseLeader, CauseLease, CauseBegin, CauseRoom, CauseStop, CauseStart, CauseAgain, CauseRun, CauseRecord}
}

// causeOfWait gives the cause for the reason of a wait line, which ends at its
// first semicolon.
var causeOfWait = map[string]Cause{
	"room is being freed":              CauseStop,
	"others are stopped":               CauseStop,
	"workers that have not answered":   CauseLease,
	"its begin is being stored":        CauseBegin,
	"others end in time":               CauseRoom,
	"room is kept for it":              CauseRoom,
	"no room":                          CauseRoom,
	"no room where it belongs":         CauseRoom,
	"nothing may be stopped for it":    CauseRoom,
	"no worker that may run it":        CauseRoom,
	"a run of it may not be over yet":  CauseLease,
	"its queue is not in force":        CauseRoom,
	"tickets of the advisor are asked": CauseRoom,
}

// span is a stretch of time.
type span struct {
	from, to time.Time
}

func (s span) holds(at time.Time) bool { return !at.Before(s.from) && at.Before(s.to) }

// run is one run of a task.
type run struct {
	span
	// kind is how it ended; empty while it has not.
	kind string
	// task and step name what ran; all members of a gang end together.
	task, step string
	// resumes says that it went on where an earlier run was saved.
	resumes bool
}

// wait is a reason to wait from a moment on.
type wait struct {
	at    time.Time
	cause Cause
}

// history is what the lines say of one job.
type history struct {
	id, queue, account string
	priority           string
	stretch            float64
	grace              time.Duration
	sent, accepted     time.Time
	refused            string
	cancelled          bool
	ended              time.Time
	state              string
	runs               map[string]*run
	order              []*run
	waits              []wait
}

// collect sorts the lines by jobs.
func collect(lines []line) (jobs []*history, gaps []span) {
	known := make(map[string]*history)
	lease := &leaseHistory{last: make(map[string]time.Time)}
	for i := range lines {
		l := &lines[i]
		lease.take(l)
		id := l.fields["job"]
		if id == "" {
			continue
		}
		h := known[id]
		if h == nil {
			h = &history{id: id, runs: make(map[string]*run)}
			known[id] = h
			jobs = append(jobs, h)
		}
		h.take(l)
	}
	return jobs, lease.gaps
}

func (h *history) take(l *line) {
	switch l.message {
	case "submit":
		h.submit(l)
	case "cancel":
		h.cancelled = h.cancelled || l.fields["error_kind"] == ""
	case "order":
		h.ordered(l)
	case "order not carried out":
		h.refusedOrder(l)
	case "end":
		h.end(l)
	case "wait":
		reason, _, _ := strings.Cut(l.fields["reason"], ";")
		if cause, ok := causeOfWait[reason]; ok {
			h.waits = append(h.waits, wait{l.at, cause})
		}
	case "job ended", "end announced":
		if h.state == "" {
			h.ended, h.state = l.at, l.fields["state"]
		}
	}
}

func (h *history) submit(l *line) {
	if h.sent.IsZero() {
		h.sent = l.at.Add(-milliseconds(l.fields["took_ms"]))
	}
	if h.accepted.IsZero() {
		h.refused = l.fields["error_kind"]
	}
	if l.fields["error_kind"] == "" && h.accepted.IsZero() {
		h.accepted = l.at
	}
	h.queue, h.account, h.priority = l.fields["queue"], l.fields["client_account"], l.fields["priority"]
	h.stretch, _ = strconv.ParseFloat(l.fields["stretch"], 64)
	h.grace = milliseconds(l.fields["grace_ms"])
}

func milliseconds(text string) time.Duration {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// runName names one run of a task.
func runName(l *line) string {
	return strings.Join([]string{l.fields["occurrence"], l.fields["step"], l.fields["task"], l.fields["attempt"]}, ".")
}

func (h *history) ordered(l *line) {
	if l.fields["order"] != "start" || h.runs[runName(l)] != nil {
		return
	}
	step := l.fields["occurrence"] + "." + l.fields["step"]
	r := &run{span: span{from: l.at}, step: step, task: step + "." + l.fields["task"], resumes: l.fields["resumes"] == "true"}
	h.runs[runName(l)] = r
	h.order = append(h.order, r)
}

func (h *history) refusedOrder(l *line) {
	if r := h.runs[runName(l)]; r != nil && r.kind == "" && l.fields["order"] == "start" {
		r.to, r.kind = l.at, "not started"
	}
}

// end closes a run: a later line about the same run, from a leader that was told of
// the end again, changes nothing.
func (h *history) end(l *line) {
	if r := h.runs[runName(l)]; r != nil && (r.kind == "" || r.kind == "not started") {
		r.to, r.kind = l.at, l.fields["kind"]
	}
}

// leaseHistory finds the times without a leader that decides.
type leaseHistory struct {
	leader string
	since  time.Time
	// last is when each instance last wrote a line.
	last map[string]time.Time
	gaps []span
}

// take follows the lease: a leader is there from the line that says that it
// leads until it lost the lease, or, if it died, until its last line before the
// next leader won.
func (h *leaseHistory) take(l *line) {
	switch l.message {
	case "leading":
		if !h.since.IsZero() {
			h.gaps = append(h.gaps, span{h.since, l.at})
		}
		h.leader, h.since = l.instance, time.Time{}
	case "lease lost":
		if l.instance == h.leader {
			h.leader, h.since = "", l.at
		}
	case "lease won":
		if h.leader != "" && h.leader != l.instance {
			h.since = h.last[h.leader]
		} else if h.since.IsZero() {
			h.since = l.at
		}
		h.leader = ""
	}
	h.last[l.instance] = l.at
}
