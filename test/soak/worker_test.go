package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	workerCount        = 24
	pool               = "pool"
	heartbeat          = 1500 * time.Millisecond
	entryLife          = 3 * heartbeat
	stopTimeout        = 900 * time.Millisecond
	gangTimeout        = 3 * time.Second
	checkpointInterval = time.Second
	restoreTime        = 250 * time.Millisecond
	longestPoll        = 2 * time.Second
	drainTime          = 2 * time.Second
	maxEnds            = 500
	workerTick         = 10 * time.Millisecond
	unansweredFor      = time.Second
)

var workerCapacity = need{cpu: 32_000, memMB: 64_000, gpu: 8}

// callFault is what a worker does to calls at random.
type callFault struct {
	until time.Time
	// late leaves an order unanswered and carries it out later. Without it, orders are carried out and
	// the answers are lost.
	late bool
}

// worker is one life of a machine that runs tasks, as its published protocol describes it. The
// mutex of the play's record guards what changes.
type worker struct {
	play       *play
	number     int
	id         string
	zone, rack string
	born       time.Time // when its clock was zero
	rate       float64   // of its clock
	stops      []func()

	fence       int64
	lease       time.Time // its end
	leased      bool
	lapsed      time.Time // when a lease last ended by itself
	running     map[runKey]*run
	closed      map[string]int64
	ends        [][]any
	lastEnd     int64
	changed     chan struct{}
	seq         int64
	gone        bool
	leavesAt    time.Time
	fault       callFault
	mutedUntil  time.Time // it doesn't reach the store until then
	lastBeat    time.Time
	entryExists bool
}

type runKey struct {
	task    string
	attempt int64
}

// newWorker starts the next life of a machine.
func newWorker(p *play, number, life int) (*worker, error) {
	w := &worker{
		play: p, number: number, id: fmt.Sprintf("w-%02d-%d", number, life), zone: fmt.Sprintf("zone-%d", number%3+1),
		rack: fmt.Sprintf("r%d-1", number%3+1), born: time.Now().Add(-time.Duration(rand.IntN(60_000)) * time.Millisecond), rate: 1,
		running: make(map[runKey]*run), closed: make(map[string]int64), changed: make(chan struct{}),
	}
	if p.plan.SlowClocks[number] {
		w.rate = 0.98
	}
	for _, i := range p.instances {
		stop, err := p.net.listen(pair{i.host, firstWorker + number}, servicePort, w)
		if err != nil {
			w.closeListeners()
			return nil, err
		}
		w.stops = append(w.stops, stop)
	}
	go w.live()
	return w, nil
}

func (w *worker) closeListeners() {
	for _, stop := range w.stops {
		stop()
	}
}

// live writes the entry of the worker, and lets its lease end, until it is gone.
func (w *worker) live() {
	for ; ; time.Sleep(workerTick) {
		w.play.record.mu.Lock()
		if w.gone {
			w.play.record.mu.Unlock()
			return
		}
		w.lapse()
		now := time.Now()
		reachesStore := now.After(w.mutedUntil) && !w.play.store.unreachable()
		switch {
		case !w.leavesAt.IsZero() && now.After(w.leavesAt):
			w.end()
			w.play.store.Delete(workersTable, w.id)
		case reachesStore && now.Sub(w.lastBeat) >= heartbeat:
			w.register()
		case w.entryExists && now.Sub(w.lastBeat) >= entryLife && now.Before(w.mutedUntil):
			w.entryExists = false
			w.play.store.Delete(workersTable, w.id)
		}
		w.play.record.mu.Unlock()
	}
}

// register writes the entry. The caller holds the mutex.
func (w *worker) register() {
	w.seq++
	w.lastBeat, w.entryExists = time.Now(), true
	entry := map[string]any{
		"service": pool, "address": w.play.net.addr(firstWorker+w.number, servicePort), "zone": w.zone, "version": "v1", "slots": 8,
		"state": "ready", "coldRemainingMs": 0, "seq": w.seq, "labels": []string{"a", w.rack},
		"capacity": map[string]int64{"cpu": workerCapacity.cpu, "memMb": workerCapacity.memMB, "gpu": workerCapacity.gpu},
	}
	if !w.leavesAt.IsZero() {
		entry["state"], entry["drainRemainingMs"] = "draining", drainTime.Milliseconds()
	}
	data, _ := json.Marshal(entry) // plain values
	w.play.store.Put(workersTable, w.id, data)
}

// crash ends the life; its entry expires later.
func (w *worker) crash() {
	w.play.record.mu.Lock()
	defer w.play.record.mu.Unlock()
	if w.gone {
		return
	}
	w.end()
	time.AfterFunc(entryLife, func() { w.play.store.Delete(workersTable, w.id) })
}

// leave announces the end of the life, which follows after at least drainTime.
func (w *worker) leave(after time.Duration) {
	w.play.record.mu.Lock()
	defer w.play.record.mu.Unlock()
	if !w.gone && w.leavesAt.IsZero() {
		w.leavesAt = time.Now().Add(after)
		w.register()
	}
}

// end ends everything. The caller holds the mutex.
func (w *worker) end() {
	w.gone = true
	for _, r := range w.running {
		w.play.record.ended(r, "lost", time.Now())
	}
	w.running = nil
	go w.closeListeners()
}

// clock returns the reading of the worker's clock.
func (w *worker) clock() int64 { return int64(float64(time.Since(w.born).Milliseconds()) * w.rate) }

func (w *worker) timeOf(clockMS int64) time.Time {
	return w.born.Add(time.Duration(float64(clockMS) / w.rate * float64(time.Millisecond)))
}

// lapse ends everything once the lease has ended. The caller holds the mutex.
func (w *worker) lapse() {
	if !w.leased || time.Now().Before(w.lease) {
		return
	}
	w.leased, w.lapsed = false, w.lease
	for _, r := range w.running {
		w.finish(r, "lapsed", w.lease)
	}
}

// finish ends a run and lists its end. The caller holds the mutex.
func (w *worker) finish(r *run, how string, at time.Time) {
	if w.gone || w.running[r.runKey] != r {
		return
	}
	delete(w.running, r.runKey)
	w.closed[r.task] = max(w.closed[r.task], r.attempt)
	saved := ""
	if how != "done" {
		saved = r.saved(how == "stopped")
	}
	w.lastEnd++
	w.ends = append(w.ends, []any{w.lastEnd, r.task, r.attempt, how, saved})
	close(w.changed)
	w.changed = make(chan struct{})
	w.play.record.ended(r, how, at)
}

type order struct {
	Task         string `json:"task"`
	Attempt      int64  `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	Checkpoint   string `json:"checkpoint"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`
	late         bool
}

// discard is a response that nobody gets.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	target, path := r.Header.Get("Target-Instance"), r.URL.Path
	w.play.record.mu.Lock()
	fault := w.fault
	w.play.record.count("calls of workers", 1)
	w.play.record.mu.Unlock()
	if time.Now().After(fault.until) || rand.IntN(10) < 4 || (fault.late && path == "/api/hold") {
		w.answer(rw, r, target, path, body, wasHeld(r))
		return
	}
	if fault.late {
		time.AfterFunc(time.Duration(2000+rand.IntN(10_000))*time.Millisecond, func() {
			defer func() { _ = recover() }() // the worker may be gone by then
			w.answer(discard{make(http.Header)}, r, target, path, body, true)
		})
	} else {
		w.answer(discard{make(http.Header)}, r, target, path, body, false)
	}
	time.Sleep(unansweredFor)
	panic(http.ErrAbortHandler)
}

func (w *worker) answer(rw http.ResponseWriter, r *http.Request, target, path string, body []byte, late bool) {
	o := order{late: late}
	if target != "" && target != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if json.Unmarshal(body, &o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if path == "/api/hold" {
		w.hold(rw, r, o)
		return
	}
	w.play.record.mu.Lock()
	defer w.play.record.mu.Unlock()
	w.lapse()
	switch {
	case w.gone:
		panic(http.ErrAbortHandler)
	case w.isFenced(rw, o):
	case path == "/api/run-start":
		w.handleStart(rw, o)
	case path == "/api/run-stop":
		w.handleStop(rw, o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) reject(rw http.ResponseWriter, reason string) {
	rw.WriteHeader(http.StatusConflict)
	writeJSON(rw, map[string]any{"timestampMs": w.clock(), "reason": reason})
}

// isFenced rejects a lower fencing token than the highest seen, and otherwise takes token and lease.
func (w *worker) isFenced(rw http.ResponseWriter, o order) bool {
	if o.FencingToken < w.fence {
		w.reject(rw, "fence")
		return true
	}
	w.fence = o.FencingToken
	deadline := min(o.DeadlineMS, w.clock()+longestLease.Milliseconds())
	if until := w.timeOf(deadline); o.DeadlineMS > 0 && until.After(w.lease) && until.After(time.Now()) {
		w.lease, w.leased = until, true
	}
	return false
}

func (w *worker) handleStart(rw http.ResponseWriter, o order) {
	key := runKey{o.Task, o.Attempt}
	switch {
	case w.running[key] != nil:
	case o.Attempt <= w.closed[o.Task]:
		w.reject(rw, "old")
		return
	case o.DeadlineMS <= w.clock():
		w.reject(rw, "late")
		return
	default:
		w.running[key] = w.play.record.started(w, o)
	}
	writeJSON(rw, map[string]any{"timestampMs": w.clock()})
}

func (w *worker) handleStop(rw http.ResponseWriter, o order) {
	w.closed[o.Task] = max(w.closed[o.Task], o.Attempt)
	if r := w.running[runKey{o.Task, o.Attempt}]; r != nil && !r.stopping {
		r.stopping = true
		time.AfterFunc(time.Duration(20+rand.IntN(300))*time.Millisecond, func() {
			w.play.record.mu.Lock()
			defer w.play.record.mu.Unlock()
			w.lapse()
			w.finish(r, "stopped", time.Now())
		})
	}
	writeJSON(rw, map[string]any{"timestampMs": w.clock()})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	timer := time.NewTimer(min(time.Duration(o.WaitMS)*time.Millisecond, longestPoll))
	defer timer.Stop()
	for wait := o.WaitMS > 0; ; {
		answer, changed := w.poll(rw, o)
		if answer == nil {
			return
		}
		if ends := answer["finished"].([][]any); len(ends) > 0 || !wait {
			writeJSON(rw, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = false
		case <-r.Context().Done():
			return
		}
	}
}

// poll acknowledges ends and returns both lists, or nil if the call was rejected.
func (w *worker) poll(rw http.ResponseWriter, o order) (answer map[string]any, changed chan struct{}) {
	w.play.record.mu.Lock()
	defer w.play.record.mu.Unlock()
	w.lapse()
	if w.gone {
		panic(http.ErrAbortHandler)
	}
	if w.isFenced(rw, o) {
		return nil, nil
	}
	for len(w.ends) > 0 && w.ends[0][0].(int64) <= o.LastSeen {
		w.play.record.acknowledged(w, w.ends[0])
		w.ends = w.ends[1:]
	}
	rows := make([][]any, 0, len(w.running))
	for _, r := range w.running {
		rows = append(rows, []any{r.task, r.attempt, r.saved(false), r.percent(), 100})
	}
	slices.SortFunc(rows, func(a, b []any) int { return strings.Compare(a[0].(string), b[0].(string)) })
	ends := append([][]any{}, w.ends[:min(len(w.ends), maxEnds)]...)
	return map[string]any{"timestampMs": w.clock(), "running": rows, "finished": ends}, w.changed
}

func writeJSON(rw http.ResponseWriter, body any) {
	_ = json.NewEncoder(rw).Encode(body) // fails only if the caller is gone
}

// taskParts returns the job, the step and the index in a task's name, ID.K.STEP.INDEX.
func taskParts(task string) (job string, step, index int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return task, -1, -1
	}
	step, _ = strconv.Atoi(parts[2])
	index, _ = strconv.Atoi(parts[3])
	return parts[0], step, index
}
