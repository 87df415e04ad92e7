package main

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// The deployment is that of the site lpce-grid.
const (
	runnerCount = 48
	contact     = 3 * time.Second // contactMs
)

// zones are the zones of the runners, instanceZones those of the instances.
var (
	zones         = []string{"colombo-a", "negombo-b", "kalutara-c"}
	instanceZones = []string{"colombo-a", "colombo-a", "negombo-b", "negombo-b", "negombo-b", "kalutara-c"}
)

// taskStart is a start that a runner has begun.
type taskStart struct {
	at     time.Time
	run    runKey
	runner string
}

// deployment is a small deployment: the platform's store, runners, instances and clients.
type deployment struct {
	record       *record
	binary       string
	folder       string
	store        *store
	storeAddress string
	storeServer  *http.Server
	runners      []*runner
	instances    []*instance

	mu     sync.Mutex
	works  map[string]work
	starts map[string][]taskStart // by task
	ends   map[string]int         // by how they ended
	noted  int
	done   map[string]bool // by task
	// running counts the runs by job, and used is what they occupy by runner.
	running map[string]int
	used    map[string]need
	quiet   map[string]bool // jobs whose runs aren't written to the record one by one
}

func newDeployment(binary, recordFile string) (*deployment, error) {
	r, err := newRecord(recordFile)
	if err != nil {
		return nil, err
	}
	if binary, err = filepath.Abs(binary); err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		record: r, binary: binary, folder: folder, store: newStore(r), storeAddress: listener.Addr().String(),
		works: make(map[string]work), starts: make(map[string][]taskStart), ends: make(map[string]int), quiet: make(map[string]bool),
		done: make(map[string]bool), running: make(map[string]int), used: make(map[string]need),
	}
	d.storeServer = &http.Server{Handler: d.store, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = d.storeServer.Serve(listener) }() // returns at close
	return d, d.fill()
}

// fill starts the runners and the instances, and waits until all are ready.
func (d *deployment) fill() error {
	d.store.put("op", "config", configuration())
	for n := range runnerCount {
		r, err := newRunner(d, n, 1, "127.0.0.1:0")
		if err != nil {
			return err
		}
		d.runners = append(d.runners, r)
	}
	var seeds []string
	for n, zone := range instanceZones {
		i, err := newInstance(d, n+1, zone)
		if err != nil {
			return err
		}
		d.instances = append(d.instances, i)
		if len(seeds) < 3 {
			seeds = append(seeds, i.addr(peersPort))
		}
	}
	for _, i := range d.instances {
		if err := i.writeSettings(seeds); err != nil {
			return err
		}
		if err := i.start(); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	if !d.awaitReady(10 * time.Second) {
		return fmt.Errorf("the instances don't become ready")
	}
	return nil
}

// awaitReady waits until all instances are ready.
func (d *deployment) awaitReady(limit time.Duration) bool {
	for start := time.Now(); time.Since(start) < limit; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, i := range d.instances {
			response, err := httpClient.Get("http://" + i.addr(readyPort) + "/api/ready")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.instances) {
			return true
		}
	}
	return false
}

// close ends all processes that were started, and removes the temporary folder.
func (d *deployment) close() {
	for _, i := range d.instances {
		i.kill()
		_ = i.logFile.Close()
	}
	for _, r := range d.allRunners() {
		r.end()
	}
	_ = d.storeServer.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
	d.record.close()
}

// jobOf returns the job of a task's name.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (d *deployment) setWork(id string, w work) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.works[id] = w
}

// runStarted notes a start, and returns the task's work and whether it is its first run.
func (d *deployment) runStarted(key runKey, runner string, o order) (w work, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first = len(d.starts[key.task]) == 0
	d.starts[key.task] = append(d.starts[key.task], taskStart{time.Now(), key, runner})
	d.running[jobOf(key.task)]++
	d.used[runner] = d.used[runner].plus(d.works[jobOf(key.task)].need, 1)
	if !d.quiet[jobOf(key.task)] {
		d.record.printf("runner %s starts %s, run %d, fence %d", runner, key.task, key.attempt, o.FencingToken)
	}
	return d.works[jobOf(key.task)], first
}

func (d *deployment) runEnded(key runKey, runner, how string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ends[how]++
	d.running[jobOf(key.task)]--
	d.used[runner] = d.used[runner].plus(d.works[jobOf(key.task)].need, -1)
	d.done[key.task] = d.done[key.task] || how == "done"
	if !d.quiet[jobOf(key.task)] {
		d.record.printf("runner %s ends %s, run %d: %s", runner, key.task, key.attempt, how)
	}
}

// endNoted notes that an end was taken note of.
func (d *deployment) endNoted(end []any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noted++
	if task, _ := end[1].(string); !d.quiet[jobOf(task)] {
		d.record.printf("end of %s, run %d: taken note of", task, end[2])
	}
}

// endCounts returns how many runs have ended, by how they ended, and of how many ends the system
// has taken note.
func (d *deployment) endCounts() (ends map[string]int, noted int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.ends), d.noted
}

// startsOf returns the starts of the tasks of a job since a time.
func (d *deployment) startsOf(id string, since time.Time) []taskStart {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []taskStart
	for task, starts := range d.starts {
		for _, s := range starts {
			if jobOf(task) == id && s.at.After(since) {
				list = append(list, s)
			}
		}
	}
	return list
}

// allRunners returns the newest lives of all runners.
func (d *deployment) allRunners() []*runner {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.runners)
}

// runnersOf returns the runners on which tasks of a job have started.
func (d *deployment) runnersOf(id string) []*runner {
	ids := make(map[string]bool)
	for _, s := range d.startsOf(id, time.Time{}) {
		ids[s.runner] = true
	}
	var list []*runner
	for _, r := range d.allRunners() {
		if ids[r.id] {
			list = append(list, r)
		}
	}
	return list
}

// checkTwice reports a start of a task more than a second after its job was shown as completed,
// if all machines had been in touch for contactMs: since the given time nothing has disturbed them
// or the store.
func (d *deployment) checkTwice(jobs []*job, calmSince time.Time) error {
	found := 0
	for _, j := range jobs {
		if j.shownAt.IsZero() {
			continue
		}
		for _, s := range d.startsOf(j.id, j.shownAt.Add(time.Second)) {
			inTouch := s.at.Sub(calmSince) > contact
			d.record.printf("%s, run %d, starts on %s %.1f s after its job was shown as completed; machines in touch: %t",
				s.run.task, s.run.attempt, s.runner, s.at.Sub(j.shownAt).Seconds(), inTouch)
			if inTouch {
				found++
			}
		}
	}
	if found > 0 {
		d.record.say("TWICE: %d starts by machines in touch of tasks whose job had been shown as completed", found)
		return errBroken
	}
	return nil
}
