package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat          = 1500 * time.Millisecond
	holdMax            = 6 * time.Second
	checkpointInterval = time.Second
	// stopTakes is how long a stop takes, inside the bound of the site.
	stopTakes = 100 * time.Millisecond
	maxEnds   = 500
)

// work is what the tasks of a job do: they end after their time. Tasks for which failsFirst holds
// fail once, in their first run.
type work struct {
	takes         time.Duration
	failsFirst    func(task string) bool
	checkpointing bool
	need          need
}

// runKey identifies a run on a runner.
type runKey struct {
	task    string
	attempt int64
}

// taskRun is one run of a task on a runner.
type taskRun struct {
	attempt   int64
	work      work
	start     time.Time
	resumed   string
	stopping  bool
	endsTimer *time.Timer
}

// saved returns the checkpoint of a run: one value for each interval of work, of 16 digits.
func (r *taskRun) saved(stopped bool) string {
	if !r.work.checkpointing {
		return ""
	}
	steps := int64(time.Since(r.start) / checkpointInterval)
	if steps == 0 && !stopped {
		return r.resumed
	}
	return fmt.Sprintf("%08x%08x", r.attempt&0xffffffff, steps+1)
}

// runner is one life of a machine that runs tasks, as PROTOCOL.md describes it.
type runner struct {
	world    *deployment
	number   int
	life     int
	id       string
	zone     string
	rack     string
	address  string
	listener net.Listener
	server   *http.Server
	start    time.Time

	mu      sync.Mutex
	fence   int64
	lease   time.Time
	running map[runKey]*taskRun
	closed  map[string]int64
	ends    [][]any
	lastEnd int64
	changed chan struct{}
	seq     int64
	gone    bool
}

// newRunner starts the n-th runner on an address; life counts the lives of its machine.
func newRunner(d *deployment, n, life int, address string) (*runner, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &runner{
		world: d, number: n, life: life, id: fmt.Sprintf("i-%08x%02x", 0x5ca1ab00+n, life), zone: zones[n%len(zones)], rack: fmt.Sprintf("r%d-%d", n%len(zones)+1, n/len(zones)/8+1),
		address: listener.Addr().String(), listener: listener, start: time.Now().Add(-time.Minute), running: make(map[runKey]*taskRun),
		closed: make(map[string]int64), changed: make(chan struct{}),
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = r.server.Serve(listener) }() // returns when the runner is gone
	go r.beat()
	return r, nil
}

// beat writes the entry of the runner until it is gone, and kills what runs beyond its lease.
func (r *runner) beat() {
	next := time.Now()
	for {
		r.mu.Lock()
		if r.gone {
			r.mu.Unlock()
			return
		}
		r.lapse()
		due := !time.Now().Before(next)
		r.mu.Unlock()
		if due && !r.world.store.isSilent() {
			r.register()
			next = time.Now().Add(heartbeat)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// register writes the entry of the runner.
func (r *runner) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		return
	}
	r.seq++
	entry := map[string]any{
		"service": pool, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "seq": r.seq,
		"capacity": map[string]int64{"cpu": runnerCapacity.cpu, "memMb": runnerCapacity.memMB, "gpu": runnerCapacity.gpu}, "labels": []string{"a", r.rack},
	}
	r.world.store.put("servers", r.id, entry)
}

// crash ends the runner with everything that runs on it. Its entry goes after three beats of
// silence.
func (r *runner) crash() {
	r.end()
	r.world.record.printf("runner %s has crashed", r.id)
	time.AfterFunc(3*heartbeat, func() { r.world.store.remove("servers", r.id) })
}

// restart starts the next life of a runner that has crashed, at the same address.
func (r *runner) restart() error {
	next, err := newRunner(r.world, r.number, r.life+1, r.address)
	if err != nil {
		return err
	}
	r.world.record.printf("runner %s starts where %s was", next.id, r.id)
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	r.world.runners[r.number] = next
	return nil
}

func (r *runner) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		return
	}
	r.gone = true
	for key, t := range r.running {
		t.endsTimer.Stop()
		r.world.runEnded(key, r.id, "lost")
	}
	r.running = make(map[runKey]*taskRun)
	_ = r.server.Close()
}

// clock returns the reading of the runner's clock.
func (r *runner) clock() int64 { return time.Since(r.start).Milliseconds() }

// lapse kills everything once the lease is over. The caller holds mu.
func (r *runner) lapse() {
	if time.Now().Before(r.lease) {
		return
	}
	for key := range r.running {
		r.finish(key, "lapsed")
	}
}

// finish ends a run. The caller holds mu.
func (r *runner) finish(key runKey, how string) {
	t := r.running[key]
	if t == nil || r.gone {
		return
	}
	t.endsTimer.Stop()
	delete(r.running, key)
	r.closed[key.task] = max(r.closed[key.task], key.attempt)
	saved := ""
	if how != "done" {
		saved = t.saved(how == "stopped")
	}
	r.lastEnd++
	r.ends = append(r.ends, []any{r.lastEnd, key.task, key.attempt, how, saved})
	close(r.changed)
	r.changed = make(chan struct{})
	r.world.runEnded(key, r.id, how)
}

// begin starts a run. The caller holds mu.
func (r *runner) begin(o order) {
	key := runKey{o.Task, o.Attempt}
	w, first := r.world.runStarted(key, r.id, o)
	t := &taskRun{attempt: o.Attempt, work: w, start: time.Now(), resumed: o.Checkpoint}
	how, takes := "done", w.takes
	if first && w.failsFirst != nil && w.failsFirst(o.Task) {
		how, takes = "failed", checkpointInterval+100*time.Millisecond
	}
	t.endsTimer = time.AfterFunc(takes, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.finish(key, how)
	})
	r.running[key] = t
}

// rows returns what runs, in the order of the tasks. The caller holds mu.
func (r *runner) rows() [][]any {
	list := make([][]any, 0, len(r.running))
	for key, t := range r.running {
		percent := min(int(100*time.Since(t.start)/max(t.work.takes, time.Millisecond)), 99)
		list = append(list, []any{key.task, t.attempt, t.saved(false), percent, 100})
	}
	slices.SortFunc(list, func(a, b []any) int { return strings.Compare(a[0].(string), b[0].(string)) })
	return list
}

func (r *runner) isGone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gone
}
