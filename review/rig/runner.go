package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// missedBeats is the number of heartbeats of silence after which an entry is removed.
	missedBeats = 3
	holdMax     = 6 * time.Second
	stopTime    = 100 * time.Millisecond
	leaseCheck  = 20 * time.Millisecond
	// startup is the time after which a task that lasts is at work.
	startup    = 300 * time.Millisecond
	endsListed = 500
)

// taskPlan says how a task of a job runs.
type taskPlan struct {
	time  time.Duration
	lasts bool
	cpu   int64
}

type runKey struct {
	task    string
	attempt int64
}

type run struct {
	began time.Time
	plan  taskPlan
	timer *time.Timer
}

// life is one life of a runner.
type life struct {
	id       string
	began    time.Time
	over     bool
	fence    int64
	lease    int64
	running  map[runKey]*run
	closed   map[string]int64
	ends     [][]any
	lastEnd  int64
	changed  chan struct{}
	listener net.Listener
	server   *http.Server
	seq      int64
}

// runner is a machine that runs tasks. It has one life at a time.
type runner struct {
	rec     *record
	store   *store
	service string
	name    string
	zone    string
	labels  []string
	address string
	plan    func(task string) taskPlan

	mu       sync.Mutex
	life     *life
	lives    int
	draining bool
	// cut is set while the runner is cut off: it answers nothing.
	cut bool
	// refusing is set while the runner is unhealthy and refuses starts.
	refusing bool
	// started counts the starts, and ended the ends by kind, of all lives.
	started int
	ended   map[string]int
}

func (r *runner) begin() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	address := r.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.address = listener.Addr().String()
	r.lives++
	l := &life{
		id: fmt.Sprintf("i-%s-%d", r.name, r.lives), began: time.Now(), running: make(map[runKey]*run), closed: make(map[string]int64),
		changed: make(chan struct{}), listener: listener,
	}
	if r.ended == nil {
		r.ended = make(map[string]int)
	}
	l.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(l, w, q) }), ReadHeaderTimeout: time.Minute}
	r.life = l
	go func() { _ = l.server.Serve(listener) }()
	go r.beat(l)
	go r.watchLease(l)
	r.rec.add("runner", "%s up at %s", l.id, r.address)
	return nil
}

// beat reports the runner to the store.
func (r *runner) beat(l *life) {
	for {
		r.mu.Lock()
		over := l.over
		r.mu.Unlock()
		if over {
			return
		}
		r.report(l)
		time.Sleep(heartbeat)
	}
}

func (r *runner) report(l *life) {
	r.mu.Lock()
	l.seq++
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]any{"cpu": 32000, "memMb": 65536, "gpu": 8}, "labels": r.labels, "timestampMs": l.clock(), "seq": l.seq,
	}
	if r.draining {
		entry["state"], entry["drainRemainingMs"] = "draining", drainTime.Milliseconds()
	}
	over := l.over
	r.mu.Unlock()
	if !over {
		r.store.put(runnerTable, l.id, entry)
	}
}

func (l *life) clock() int64 { return time.Since(l.began).Milliseconds() }

// watchLease kills everything once the lease is over.
func (r *runner) watchLease(l *life) {
	for {
		time.Sleep(leaseCheck)
		r.mu.Lock()
		if l.over {
			r.mu.Unlock()
			return
		}
		if l.clock() > l.lease {
			for key := range l.running {
				r.end(l, key, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

// end ends a run. The caller holds mu.
func (r *runner) end(l *life, key runKey, how string) {
	running := l.running[key]
	if running == nil || l.over {
		return
	}
	running.timer.Stop()
	delete(l.running, key)
	l.closed[key.task] = max(l.closed[key.task], key.attempt)
	l.lastEnd++
	l.ends = append(l.ends, []any{l.lastEnd, key.task, key.attempt, how, ""})
	r.ended[how]++
	r.rec.add("runner", "%s: %s attempt %d ended %s", l.id, key.task, key.attempt, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

// crashBehindCut cuts the runner off for a time, in which it crashes and starts again: nothing is
// answered meanwhile, and afterwards another life is there. The old entry stays until it has been
// silent for long enough.
func (r *runner) crashBehindCut(cut time.Duration) {
	r.mu.Lock()
	l := r.life
	r.cut, l.over = true, true
	for key, running := range l.running {
		running.timer.Stop()
		r.rec.add("runner", "%s is cut off for %v and crashes under %s attempt %d", l.id, cut, key.task, key.attempt)
	}
	clear(l.running)
	r.mu.Unlock()
	time.AfterFunc(missedBeats*heartbeat, func() { r.store.remove(runnerTable, l.id) })
	time.AfterFunc(cut, func() {
		_ = l.server.Close() // its listener and connections
		r.mu.Lock()
		r.cut, r.life = false, nil
		r.mu.Unlock()
		if err := r.begin(); err != nil {
			r.rec.add("runner", "%s does not come back: %v", r.name, err)
		}
	})
}

// drainTime is the time for which a draining runner serves on.
const drainTime = 2 * time.Second

// leave drains the runner and takes it away.
func (r *runner) leave() {
	r.mu.Lock()
	l := r.life
	r.draining = true
	r.mu.Unlock()
	r.rec.add("runner", "%s is draining", l.id)
	r.report(l)
	time.Sleep(drainTime + drainTime)
	r.mu.Lock()
	l.over = true
	for _, running := range l.running {
		running.timer.Stop()
	}
	r.life = nil
	r.mu.Unlock()
	_ = l.server.Close() // its listener and connections
	r.store.remove(runnerTable, l.id)
	r.rec.add("runner", "%s has left", l.id)
}

type runnerCall struct {
	Task         string `json:"task"`
	Attempt      int64  `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`
}

func (r *runner) serve(l *life, w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	cut := r.cut
	r.mu.Unlock()
	if cut {
		_, _ = io.Copy(io.Discard, q.Body) // the end of the connection is seen once the body is read
		<-q.Context().Done()
		return
	}
	if target := q.Header.Get("Target-Instance"); target != "" && target != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var c runnerCall
	if json.NewDecoder(q.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch q.URL.Path {
	case "/api/run-start":
		status, reason := r.start(l, c)
		r.reply(l, w, status, reason, nil)
	case "/api/run-stop":
		status, reason := r.stop(l, c)
		r.reply(l, w, status, reason, nil)
	case "/api/hold":
		r.hold(l, w, q, c)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (r *runner) reply(l *life, w http.ResponseWriter, status int, reason string, body map[string]any) {
	if body == nil {
		body = make(map[string]any)
	}
	if reason != "" {
		body["reason"] = reason
	}
	r.mu.Lock()
	body["timestampMs"] = l.clock()
	r.mu.Unlock()
	writeJSON(w, status, body)
}

// admit checks the fence number and takes the lease time. The caller holds mu.
func (l *life) admit(c runnerCall) bool {
	if c.FencingToken < l.fence {
		return false
	}
	l.fence = c.FencingToken
	l.lease = max(l.lease, min(c.DeadlineMS, l.clock()+holdMax.Milliseconds()))
	return true
}

func (r *runner) start(l *life, c runnerCall) (status int, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := runKey{c.Task, c.Attempt}
	switch {
	case r.refusing:
		r.rec.add("runner", "%s is unhealthy and refuses %s attempt %d", l.id, c.Task, c.Attempt)
		return http.StatusServiceUnavailable, ""
	case !l.admit(c):
		return http.StatusConflict, "fence"
	case c.DeadlineMS < l.clock():
		return http.StatusConflict, "late"
	case l.running[key] != nil:
		return http.StatusOK, ""
	case c.Attempt <= l.closed[c.Task]:
		return http.StatusConflict, "old"
	}
	plan := r.plan(c.Task)
	started := &run{began: time.Now(), plan: plan, timer: time.NewTimer(time.Hour)}
	if !plan.lasts {
		started.timer = time.AfterFunc(plan.time, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.end(l, key, "done")
		})
	}
	l.running[key] = started
	r.started++
	r.rec.add("runner", "%s starts %s attempt %d under fence %d", l.id, c.Task, c.Attempt, c.FencingToken)
	return http.StatusOK, ""
}

func (r *runner) stop(l *life, c runnerCall) (status int, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !l.admit(c) {
		return http.StatusConflict, "fence"
	}
	l.closed[c.Task] = max(l.closed[c.Task], c.Attempt)
	time.AfterFunc(stopTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.end(l, runKey{c.Task, c.Attempt}, "stopped")
	})
	return http.StatusOK, ""
}

func (r *runner) hold(l *life, w http.ResponseWriter, q *http.Request, c runnerCall) {
	timer := time.After(time.Duration(c.WaitMS) * time.Millisecond)
	r.mu.Lock()
	admitted := l.admit(c)
	r.mu.Unlock()
	for over := c.WaitMS == 0; ; {
		r.mu.Lock()
		if !admitted || c.FencingToken < l.fence {
			r.mu.Unlock()
			r.reply(l, w, http.StatusConflict, "fence", nil)
			return
		}
		for len(l.ends) > 0 && l.ends[0][0].(int64) <= c.LastSeen {
			r.rec.add("runner", "%s: the end of %v attempt %v is taken note of", l.id, l.ends[0][1], l.ends[0][2])
			l.ends = l.ends[1:]
		}
		body := map[string]any{"running": l.list(), "finished": append([][]any{}, l.ends[:min(len(l.ends), endsListed)]...)}
		found, changed, cut := len(l.ends) > 0, l.changed, r.cut
		r.mu.Unlock()
		if cut {
			<-q.Context().Done()
			return
		}
		if found || over {
			r.reply(l, w, http.StatusOK, "", body)
			return
		}
		select {
		case <-changed:
		case <-timer:
			over = true
		case <-q.Context().Done():
			return
		}
	}
}

// list returns what runs. The caller holds mu.
func (l *life) list() [][]any {
	rows := [][]any{}
	for key, running := range l.running {
		percent := 100
		if ran := time.Since(running.began); running.plan.lasts && ran < startup {
			percent = 0
		} else if !running.plan.lasts {
			percent = min(int(100*ran/running.plan.time), 99)
		}
		rows = append(rows, []any{key.task, key.attempt, "", percent, running.plan.cpu})
	}
	return rows
}

// count returns how many runs of matching tasks are under way.
func (r *runner) count(match func(task string) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life == nil {
		return 0
	}
	n := 0
	for key := range r.life.running {
		if match(key.task) {
			n++
		}
	}
	return n
}

func (r *runner) setRefusing(refusing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusing = refusing
}

func (r *runner) endsOf(how string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended[how]
}
