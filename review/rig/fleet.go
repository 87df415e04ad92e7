package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service = "order-desk"
	host    = "desk.example"
	account = "foundry"
	apiKey  = "d4a3hwrr6x73d3zji9n7"
	// lead is the time from the start of the machines to the first call of a client.
	lead          = 10 * time.Second
	readyTimeout  = 30 * time.Second
	runnersInRack = 8
	runnersInZone = 16
	gracePeriod   = 6 * time.Second
	// memoryMB is the memory of a machine. A process over it is killed and started again after a delay.
	memoryMB     = 284
	memoryCheck  = 50 * time.Millisecond
	restartDelay = time.Second
)

// zones are those of the site, with the number of instances in each.
var zones = []struct {
	name      string
	instances int
}{{"colombo-a", 2}, {"negombo-b", 3}, {"kalutara-c", 1}}

// instance is one process of the scheduler.
type instance struct {
	name, zone                    string
	callers, ready, peers, metric string
	settings                      string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// stopped is set once the process is not to be started again, kills counts the times that it was
	// killed for its memory.
	stopped bool
	kills   int
}

// fleet is a small deployment: the store, the runners and the processes of the scheduler.
type fleet struct {
	rec       *record
	store     *store
	runners   []*runner
	instances []*instance
	folder    string
	routes    []map[string]any
	version   int

	mu    sync.Mutex
	plans map[string]taskPlan
	calls int
}

// queue describes a route of the configuration.
func queue(name string, priority int, stretch float64, targetMS int) map[string]any {
	return map[string]any{
		"name": "r-" + name, "host": host, "prefix": prefixOf(name), "type": "non_idempotent", "timeoutMs": 3000, "targetDurationMs": targetMS,
		"priority": priority, "service": service, "attempts": 3, "stretch": stretch, "public": false,
	}
}

func prefixOf(name string) string { return "/" + name + "/" }

func newFleet(rec *record) (*fleet, error) {
	f := &fleet{rec: rec, plans: make(map[string]taskPlan)}
	f.routes = []map[string]any{queue("cert", 0, 1.5, 250), queue("quote", 1, 3, 1000), queue("match", 2, 3, 3000)}
	var err error
	if f.folder, err = os.MkdirTemp("", "review-rig-"); err != nil {
		return nil, err
	}
	if f.store, err = newStore(rec); err != nil {
		return nil, err
	}
	f.configure(f.routes)
	for z := range zones {
		for n := range runnersInZone {
			r := &runner{
				rec: rec, store: f.store, service: service, name: fmt.Sprintf("%d%02d", z+1, n), zone: zones[z].name,
				labels: []string{"a", fmt.Sprintf("r%d-%d", z+1, n/runnersInRack)}, plan: f.planOf,
			}
			if err := r.begin(); err != nil {
				return nil, err
			}
			f.runners = append(f.runners, r)
		}
	}
	return f, f.startInstances()
}

// configure writes the next version of the configuration.
func (f *fleet) configure(routes []map[string]any) {
	f.version += 2
	f.store.put(operatorTable, "config", map[string]any{
		"version": f.version, "routes": routes,
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "admissionControl": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": account, "apiKeys": []string{apiKey}, "priority": 1, "guaranteed": map[string]any{"gpu": 72}}},
	})
	names := make([]string, 0, len(routes))
	for _, r := range routes {
		names = append(names, r["name"].(string))
	}
	f.rec.add("operator", "config %d with routes %s is acknowledged", f.version, strings.Join(names, ", "))
}

func (f *fleet) planOf(task string) taskPlan {
	f.mu.Lock()
	defer f.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	return f.plans[job]
}

// instanceHost returns a loopback address of the rig's own, so that no outgoing connection takes one
// of the ports before the process listens on it.
func instanceHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x7f, pid>>8&0xff, 1+pid&0x7f)
}

// freeAddresses returns addresses that are free now. All are held until the last one is found.
func freeAddresses(count int) ([]string, error) {
	var list []string
	for range count {
		listener, err := net.Listen("tcp", instanceHost()+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }() // it was only opened for its port
		list = append(list, listener.Addr().String())
	}
	return list, nil
}

// addressesOfInstance is the number of addresses that an instance listens on.
const addressesOfInstance = 4

func (f *fleet) startInstances() error {
	var seeds []string
	total := 0
	for _, zone := range zones {
		total += zone.instances
	}
	free, err := freeAddresses(total * addressesOfInstance)
	if err != nil {
		return err
	}
	for _, zone := range zones {
		for n := range zone.instances {
			i := &instance{name: fmt.Sprintf("edge-%s-%d", zone.name, n+1), zone: zone.name}
			i.callers, i.ready, i.peers, i.metric = free[0], free[1], free[2], free[3]
			free = free[addressesOfInstance:]
			if n == 0 {
				seeds = append(seeds, i.peers)
			}
			f.instances = append(f.instances, i)
		}
	}
	for _, i := range f.instances {
		if err := f.startInstance(i, seeds); err != nil {
			return err
		}
	}
	return nil
}

// startInstance starts a process with settings as the template of the deploy file gives for the site.
func (f *fleet) startInstance(i *instance, seeds []string) error {
	settings, err := json.MarshalIndent(map[string]any{
		"instance": i.name, "availability_zone": i.zone,
		"listen": map[string]any{"callers": i.callers, "ready": i.ready, "peers": i.peers, "metrics": i.metric},
		"seeds":  seeds, "store": f.store.address, "advisor": "",
		"processor": map[string]any{"cores": 1, "share": 0.4}, "memory_mb": memoryMB, "row_bytes": 65536, "descriptors": 4100,
		"bounds":         map[string]any{"longest_lease_ms": 6000, "reclaim_ms": 3400, "status_kept_s": 120, "remote_factor": 3, "stop_ms": 900},
		"stop_within_ms": 4500,
	}, "", "  ")
	if err != nil {
		return err
	}
	i.settings = filepath.Join(f.folder, i.name+".json")
	if err := os.WriteFile(i.settings, settings, 0o600); err != nil {
		return err
	}
	if err := f.launch(i); err != nil {
		return err
	}
	go f.watchMemory(i)
	return nil
}

// launch starts the process of an instance with the command of the deploy file.
func (f *fleet) launch(i *instance) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.stopped {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(f.folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process, exited := exec.Command("target/corianderbank", "deployment", "--settings", i.settings), make(chan struct{})
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	go func() {
		_ = process.Wait() // how it ended shows nothing
		_ = log.Close()
		close(exited)
	}()
	i.process, i.exited = process, exited
	f.rec.add("platform", "starts %s", i.name)
	return nil
}

// residentMB returns the resident memory of the instance's process.
func (i *instance) residentMB() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", i.process.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	_, _ = fmt.Sscan(string(data), &size, &resident) // of a process that has ended there is nothing to read
	return resident * int64(os.Getpagesize()) >> 20
}

// watchMemory kills the process of an instance when it exceeds the memory of its machine, and starts it
// again after a delay.
func (f *fleet) watchMemory(i *instance) {
	for {
		time.Sleep(memoryCheck)
		mb := i.residentMB()
		i.mu.Lock()
		stopped, process, exited := i.stopped, i.process, i.exited
		over := mb > memoryMB && !stopped
		if over {
			i.kills++
		}
		i.mu.Unlock()
		if stopped {
			return
		}
		if !over {
			continue
		}
		f.rec.add("platform", "kills %s, which uses %d MB of %d", i.name, mb, memoryMB)
		_ = process.Process.Kill() // it may have ended
		<-exited
		time.Sleep(restartDelay)
		if err := f.launch(i); err != nil {
			f.rec.add("platform", "%s does not start: %v", i.name, err)
			return
		}
	}
}

// memoryKills returns how often processes were killed for their memory, and how many of them three
// times or more.
func (f *fleet) memoryKills() (kills, often int) {
	const many = 3
	for _, i := range f.instances {
		i.mu.Lock()
		kills += i.kills
		if i.kills >= many {
			often++
		}
		i.mu.Unlock()
	}
	return kills, often
}

// stop ends all processes that were started.
func (f *fleet) stop() {
	for _, i := range f.instances {
		i.mu.Lock()
		i.stopped = true
		if i.process != nil {
			_ = i.process.Process.Signal(syscall.SIGTERM) // it may have ended
		}
		i.mu.Unlock()
	}
	deadline := time.After(gracePeriod)
	for _, i := range f.instances {
		if i.process == nil {
			continue
		}
		select {
		case <-i.exited:
		case <-deadline:
			_ = i.process.Process.Kill() // it may have ended
			<-i.exited
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.folder) // only temporary files
	} else {
		fmt.Println("logs in", f.folder)
	}
}

// awaitReady waits until every instance is ready and the lead is over.
func (f *fleet) awaitReady() error {
	begin := time.Now()
	for _, i := range f.instances {
		for {
			response, err := http.Get("http://" + i.ready + "/api/ready")
			if err == nil {
				_ = response.Body.Close() // it is empty
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Since(begin) > readyTimeout {
				return fmt.Errorf("%s is not ready after %v", i.name, readyTimeout)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(lead - time.Since(begin))
	return nil
}

// answer is a node's answer to a client.
type answer struct {
	status int
	body   map[string]any
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d %v", a.status, a.body)
}

// state returns the shown state of a job, or an empty string.
func (a answer) state() string {
	state, _ := a.body["state"].(string)
	return state
}

var errLeft = errors.New("the client left")

// call makes a client's call to one instance. A client waits for the given time and then leaves.
func (f *fleet) call(i *instance, method, path string, body any, wait time.Duration) answer {
	data := []byte{}
	if body != nil {
		data, _ = json.Marshal(body) // maps of plain values always encode
	}
	request, err := http.NewRequest(method, "http://"+i.callers+path, bytes.NewReader(data))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", "3000")
	f.rec.add("client", "%s %s to %s", method, path, i.name)
	client := http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	a := f.receive(client.Do(request))
	f.rec.add("client", "%s %s at %s: %v", method, path, i.name, a)
	return a
}

func (f *fleet) receive(response *http.Response, err error) answer {
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			err = errLeft
		}
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }() // all of it was read
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: response.StatusCode}
	_ = json.Unmarshal(data, &a.body) // a body that cannot be read says nothing
	return a
}

const callWait = 3 * time.Second

// submit hands in a job whose tasks run as planned, with tries at other instances as long as it gets
// no 2xx.
func (f *fleet) submit(queue, id string, plan taskPlan, steps ...map[string]any) error {
	f.expect(id, plan)
	body := map[string]any{"spec": "case of the review", "steps": steps}
	var last answer
	for n := range 5 {
		last = f.call(f.instances[n%len(f.instances)], http.MethodPost, prefixOf(queue)+id, body, callWait)
		if last.status/100 == 2 {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("job %s was not accepted: %v", id, last)
}

// turn returns a number that rises with each call, so that clients use all instances.
func (f *fleet) turn() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	return f.calls
}

func (f *fleet) expect(id string, plan taskPlan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plans[id] = plan
}

func (f *fleet) get(queue, id string, n int) answer {
	return f.call(f.instances[n%len(f.instances)], http.MethodGet, prefixOf(queue)+id, nil, callWait)
}

// running returns the runners that run a task of a job, and how many runs they have.
func (f *fleet) running(id string) (at []*runner, runs int) {
	for _, r := range f.runners {
		if n := r.count(func(task string) bool { return strings.HasPrefix(task, id+".") }); n > 0 {
			at = append(at, r)
			runs += n
		}
	}
	return at, runs
}

// runnerOf returns the runner that runs a task, or nil.
func (f *fleet) runnerOf(task string) *runner {
	for _, r := range f.runners {
		if r.count(func(running string) bool { return running == task }) > 0 {
			return r
		}
	}
	return nil
}

// ends returns the number of ends of a kind that runners have listed.
func (f *fleet) ends(how string) int {
	n := 0
	for _, r := range f.runners {
		n += r.endsOf(how)
	}
	return n
}

// await waits until a condition holds; it reports false if it does not in time.
func await(limit time.Duration, condition func() bool) bool {
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
