// Package process shows the promises with real processes on loopback: entry
// instances, and stand-ins for the platform, backend servers and workers, which
// are killed, frozen, cut off and stopped. Tests wait for conditions with
// generous bounds and assert no times.
package process

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-resty/resty/v2"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/settings"
	"github.com/corianderbank/corianderbank/internal/standin"
	"github.com/corianderbank/corianderbank/internal/standin/drive"
)

// patience bounds every wait. It is far above what a busy machine needs.
const patience = 60 * time.Second

// pollInterval is the time between two looks at a condition.
const pollInterval = 20 * time.Millisecond

// getTimeout bounds one look at a process, which may be frozen.
const getTimeout = 5 * time.Second

// logTail is the number of lines of a process's log that a failed test prints:
// the last ones, or those from a crash on.
const logTail = 40

// bin is the directory of the binaries under test.
var bin string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "process")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir, "./cmd/corianderbank", "./cmd/standin")
	build.Dir = "../.."
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v\n%s", err, out))
	}
	bin = dir
	return m.Run()
}

// client calls the processes directly. It keeps no connections, because backend
// servers take only so many.
var client = resty.NewWithClient(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience})

// process is one child process. Its log goes to a file, whose end is printed
// when the test fails.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	log  string
	done chan error
}

func start(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, log: filepath.Join(t.TempDir(), name+".log"), done: make(chan error, 1)}
	file, err := os.Create(p.log)
	assert.NilError(t, err)
	p.cmd = exec.Command(filepath.Join(bin, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = file, file
	assert.NilError(t, p.cmd.Start())
	go func() {
		p.done <- p.cmd.Wait()
		_ = file.Close()
	}()
	t.Cleanup(p.cleanup)
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) thaw() { p.signal(syscall.SIGCONT) }

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	err := <-p.done
	p.done <- err
}

// stop asks for a graceful shutdown and returns how it ended.
func (p *process) stop() error {
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.done:
		p.done <- err
		return err
	case <-time.After(patience):
		return fmt.Errorf("%s does not stop", p.name)
	}
}

func (p *process) cleanup() {
	p.kill()
	if !p.t.Failed() {
		return
	}
	data, _ := os.ReadFile(p.log)
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	from := max(0, len(lines)-logTail)
	for i, line := range lines {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			from = i
			break
		}
	}
	p.t.Logf("log of %s, lines %d to %d of %d:\n%s", p.name, from+1, min(from+logTail, len(lines)), len(lines),
		strings.Join(lines[from:min(from+logTail, len(lines))], "\n"))
}

// node is one process with its addresses.
type node struct {
	*process
	id string
	// addr is where the process itself listens.
	addr string
	// peerAddr is where an entry instance listens for others.
	peerAddr string
	// relay carries, for an entry instance, its calls to the platform; for a
	// backend server or worker, the calls that it gets.
	relay *relay
}

// cluster is one platform and its surroundings, in one availability zone.
type cluster struct {
	// t is the test or subtest that fails, owner the test whose end ends the
	// processes.
	t, owner *testing.T
	platform string
	entries  []*node
	backends []*node
	workers  []*node
	settings []string // settings file of each entry instance
}

const testZone = "zone-1"

// size says how many processes a cluster has.
type size struct {
	entries, backends, workers int
	// configuration is applied at the start; empty for none.
	configuration string
}

// startCluster starts everything and waits until it is ready for work.
func startCluster(t *testing.T, size size) *cluster {
	t.Helper()
	c := &cluster{t: t, owner: t}
	ports, err := standin.FreePorts(1 + 2*size.entries + size.backends + size.workers)
	assert.NilError(t, err)
	next := func() string {
		port := ports[0]
		ports = ports[1:]
		return fmt.Sprintf("127.0.0.1:%d", port)
	}
	c.platform = next()
	start(t, "platform", "standin", "platform", "--listen", c.platform)
	c.waitOK(c.platform, "/healthz")
	for i := range size.backends {
		c.backends = append(c.backends, c.member("backend", i, next()))
	}
	for i := range size.workers {
		c.workers = append(c.workers, c.member("worker", i, next(), "--rack", "rack-1", "--accelerators", "8"))
	}
	c.startEntries(size.entries, next)
	if size.configuration != "" {
		assert.NilError(t, c.apply(0, 0, size.configuration))
		c.settle(size)
	}
	return c
}

// in returns the cluster for a subtest: what fails, fails the subtest.
// Processes that it starts still end with the test that made the cluster.
func (c *cluster) in(t *testing.T) *cluster {
	sub := *c
	sub.t = t
	return &sub
}

// member starts a backend server or worker behind a relay.
func (c *cluster) member(role string, i int, addr string, more ...string) *node {
	n := &node{id: fmt.Sprintf("%s-%d", role, i), addr: addr, relay: newRelay(c.owner, addr)}
	args := []string{role, "--listen", addr, "--advertise", n.relay.addr, "--id", n.id, "--zone", testZone, "--platform", c.platform}
	n.process = start(c.owner, n.id, "standin", append(args, more...)...)
	return n
}

func (c *cluster) startEntries(count int, next func() string) {
	all := make([]settings.Peer, count)
	for i := range all {
		all[i] = settings.Peer{Instance: fmt.Sprintf("entry-%d", i), AvailabilityZone: testZone, Addr: next(), PeerAddr: next()}
	}
	for i, self := range all {
		var peers []settings.Peer
		for k, peer := range all {
			if k != i {
				peers = append(peers, peer)
			}
		}
		c.addEntry(self, peers)
	}
}

// addEntry starts an entry instance whose settings name the peers.
func (c *cluster) addEntry(self settings.Peer, peers []settings.Peer) {
	n := &node{id: self.Instance, addr: self.Addr, peerAddr: self.PeerAddr, relay: newRelay(c.owner, c.platform)}
	s := settings.Default()
	s.Instance, s.AvailabilityZone, s.Listen, s.PeerListen, s.Platform = self.Instance, testZone, self.Addr, self.PeerAddr, n.relay.addr
	s.Timing.PlacerLeaseMS, s.Timing.WorkerLeaseMS, s.Timing.ListPollMS = 1500, 3000, 200
	s.Timing.ConfigPollMS, s.Timing.PeerIntervalMS, s.Timing.PlaceIntervalMS = 200, 200, 100
	s.Timing.StopWithinMS = 10_000
	s.Peers = peers
	data, err := json.Marshal(s)
	assert.NilError(c.t, err)
	file := filepath.Join(c.owner.TempDir(), "settings.json")
	assert.NilError(c.t, os.WriteFile(file, data, 0o600))
	c.settings = append(c.settings, file)
	c.entries = append(c.entries, n)
	c.startEntry(len(c.entries) - 1)
}

// startEntry starts an entry instance, or starts it again after its end.
func (c *cluster) startEntry(i int) {
	n := c.entries[i]
	n.process = start(c.owner, n.id, "corianderbank", "serve", "--settings", c.settings[i])
	c.waitOK(n.addr, "/healthz")
}

// settle waits until every entry instance is ready and knows the whole fleet,
// and the zone's placer has every worker's report.
func (c *cluster) settle(size size) {
	for _, entry := range c.entries {
		c.waitOK(entry.addr, "/readyz")
		c.wait(entry.id+" knows the fleet", func() bool {
			var status api.Status
			if get(entry.addr, "/v1/status", &status) != nil || len(status.Zones) == 0 {
				return false
			}
			zone := status.Zones[0]
			return zone.Placer != "" && zone.BackendServers == size.backends && zone.Accelerators == 8*size.workers
		})
	}
}

// placer returns the index of the entry instance that places, or -1.
func (c *cluster) placer() int {
	for i, entry := range c.entries {
		var status api.Status
		if get(entry.addr, "/v1/status", &status) != nil {
			continue
		}
		for _, instance := range status.Instances {
			if instance.ID == entry.id && instance.Placer {
				return i
			}
		}
	}
	return -1
}

// fleet returns the addresses for a driver. Records are read directly, calls
// to entry instances go to those given.
func (c *cluster) fleet(entries ...*node) drive.Fleet {
	var fleet drive.Fleet
	for _, entry := range entries {
		fleet.Entries = append(fleet.Entries, entry.addr)
	}
	for _, backend := range c.backends {
		fleet.Backends = append(fleet.Backends, backend.addr)
	}
	for _, worker := range c.workers {
		fleet.Workers = append(fleet.Workers, worker.addr)
	}
	return fleet
}

func (c *cluster) records() drive.Records {
	records, err := drive.Collect(context.Background(), c.fleet())
	assert.NilError(c.t, err)
	return records
}

// apply puts a configuration in force through an entry instance.
func (c *cluster) apply(entry int, expect int64, document string) error {
	body := api.ConfigApply{Expect: expect, Document: json.RawMessage(document)}
	response, err := client.R().SetBody(body).Post("http://" + c.entries[entry].addr + "/v1/config")
	if err != nil {
		return err
	}
	if response.IsError() {
		return fmt.Errorf("%s: %s", response.Status(), response.Body())
	}
	return nil
}

// fault tells a stand-in to play faults.
func (c *cluster) fault(addr string, faults any) {
	response, err := client.R().SetBody(faults).Post("http://" + addr + "/v1/faults")
	assert.NilError(c.t, err)
	assert.Equal(c.t, response.StatusCode(), http.StatusOK)
}

func (c *cluster) waitOK(addr, path string) {
	c.t.Helper()
	c.wait(addr+path+" answers", func() bool { return get(addr, path, nil) == nil })
}

// wait fails the test if the condition does not come true.
func (c *cluster) wait(what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("never: %s", what)
}

func get(addr, path string, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), getTimeout)
	defer cancel()
	response, err := client.R().SetContext(ctx).Get("http://" + addr + path)
	if err != nil {
		return err
	}
	if response.IsError() {
		return fmt.Errorf("%s", response.Status())
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(response.Body(), result)
}
