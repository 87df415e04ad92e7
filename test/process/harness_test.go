// Package process tests the guarantees with real processes on loopback: entry
// instances, and stand-ins for the platform, backend servers and workers, which
// are killed, frozen, partitioned and stopped. Tests wait for conditions with
// generous limits and assert no durations.
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

// waitTimeout limits every wait. It is far above what a busy machine needs.
const waitTimeout = 60 * time.Second

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// getTimeout limits one query of a process, which may be frozen.
const getTimeout = 5 * time.Second

// logTail is the maximum number of log lines of a process that a failed test
// prints: the last ones, or those from a crash on.
const logTail = 40

// bin is the directory that contains the binaries under test.
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

// client calls the processes directly. It keeps no connections open, because
// backend servers accept a limited number.
var client = resty.NewWithClient(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout})

// process is a child process. Its output goes to a log file, whose end is
// printed if the test fails.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	log  string
	// done holds the result of the process once it has exited. Every reader puts
	// the result back for the next one.
	done chan error
}

// start runs one of the binaries under test until the test ends or the process
// is stopped before.
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

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	err := <-p.done
	p.done <- err
}

// stop sends SIGTERM, waits for the process to exit and returns its result.
func (p *process) stop() error {
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.done:
		p.done <- err
		return err
	case <-time.After(waitTimeout):
		return fmt.Errorf("%s did not stop within the time limit", p.name)
	}
}

func (p *process) cleanup() {
	p.kill()
	if !p.t.Failed() {
		return
	}
	data, _ := os.ReadFile(p.log)
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	first := max(0, len(lines)-logTail)
	for i, line := range lines {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			first = i
			break
		}
	}
	p.t.Logf("log of %s, lines %d to %d of %d:\n%s", p.name, first+1, min(first+logTail, len(lines)), len(lines),
		strings.Join(lines[first:min(first+logTail, len(lines))], "\n"))
}

// node is a process and its addresses.
type node struct {
	*process
	id string
	// addr is the listen address of the process itself.
	addr string
	// peerAddr is the address at which an entry instance listens for other
	// instances.
	peerAddr string
	// relay forwards the calls of an entry instance to the platform, or the
	// calls to a backend server or worker.
	relay *relay
}

// cluster is one platform with entry instances, backend servers and workers, in
// one availability zone.
type cluster struct {
	// t is the test or subtest to fail; the processes are killed when parent
	// ends.
	t, parent *testing.T
	platform  string
	entries   []*node
	backends  []*node
	workers   []*node
	settings  []string // settings file of each entry instance
}

const testZone = "zone-1"

// clusterSize is the number of processes of each role in a cluster.
type clusterSize struct {
	entries, backends, workers int
	// configuration is applied at the start; empty means none.
	configuration string
}

// startCluster starts all processes and waits until they are ready for work.
func startCluster(t *testing.T, size clusterSize) *cluster {
	t.Helper()
	c := &cluster{t: t, parent: t}
	ports, err := standin.FreePorts(1 + 2*size.entries + size.backends + size.workers)
	assert.NilError(t, err)
	nextAddr := func() string {
		port := ports[0]
		ports = ports[1:]
		return fmt.Sprintf("127.0.0.1:%d", port)
	}
	c.platform = nextAddr()
	start(t, "platform", "standin", "platform", "--listen", c.platform)
	c.waitOK(c.platform, "/healthz")
	for i := range size.backends {
		c.backends = append(c.backends, c.startMember("backend", i, nextAddr()))
	}
	for i := range size.workers {
		c.workers = append(c.workers, c.startMember("worker", i, nextAddr(), "--rack", "rack-1", "--accelerators", "8"))
	}
	c.startEntries(size.entries, nextAddr)
	if size.configuration != "" {
		assert.NilError(t, c.apply(0, 0, size.configuration))
		c.waitSettled(size)
	}
	return c
}

// forSubtest returns the cluster for use in a subtest: failures are reported to
// the subtest, while processes that it starts run until the parent test ends.
func (c *cluster) forSubtest(t *testing.T) *cluster {
	sub := *c
	sub.t = t
	return &sub
}

// startMember starts a backend server or worker behind a relay.
func (c *cluster) startMember(role string, i int, addr string, extraArgs ...string) *node {
	n := &node{id: fmt.Sprintf("%s-%d", role, i), addr: addr, relay: newRelay(c.parent, addr)}
	args := []string{role, "--listen", addr, "--advertise", n.relay.addr, "--id", n.id, "--zone", testZone, "--platform", c.platform}
	n.process = start(c.parent, n.id, "standin", append(args, extraArgs...)...)
	return n
}

func (c *cluster) startEntries(count int, nextAddr func() string) {
	entries := make([]settings.Peer, count)
	for i := range entries {
		entries[i] = settings.Peer{Instance: fmt.Sprintf("entry-%d", i), AvailabilityZone: testZone, Addr: nextAddr(), PeerAddr: nextAddr()}
	}
	for i, self := range entries {
		var peers []settings.Peer
		for k, peer := range entries {
			if k != i {
				peers = append(peers, peer)
			}
		}
		c.addEntry(self, peers)
	}
}

// addEntry starts an entry instance whose settings list the peers.
func (c *cluster) addEntry(self settings.Peer, peers []settings.Peer) {
	n := &node{id: self.Instance, addr: self.Addr, peerAddr: self.PeerAddr, relay: newRelay(c.parent, c.platform)}
	s := settings.Default()
	s.Instance, s.AvailabilityZone, s.Listen, s.PeerListen, s.Platform = self.Instance, testZone, self.Addr, self.PeerAddr, n.relay.addr
	s.Timing.PlacerLeaseMS, s.Timing.WorkerLeaseMS, s.Timing.ListPollMS = 1500, 3000, 200
	s.Timing.ConfigPollMS, s.Timing.PeerIntervalMS, s.Timing.PlaceIntervalMS = 200, 200, 100
	s.Timing.StopWithinMS = 10_000
	s.Peers = peers
	data, err := json.Marshal(s)
	assert.NilError(c.t, err)
	file := filepath.Join(c.parent.TempDir(), "settings.json")
	assert.NilError(c.t, os.WriteFile(file, data, 0o600))
	c.settings = append(c.settings, file)
	c.entries = append(c.entries, n)
	c.startEntry(len(c.entries) - 1)
}

// startEntry starts an entry instance, also again after it has exited.
func (c *cluster) startEntry(i int) {
	n := c.entries[i]
	n.process = start(c.parent, n.id, "corianderbank", "serve", "--settings", c.settings[i])
	c.waitOK(n.addr, "/healthz")
}

// waitSettled waits until every entry instance is ready and lists the whole
// fleet, and the zone's placer has every worker's report.
func (c *cluster) waitSettled(size clusterSize) {
	for _, entry := range c.entries {
		c.waitOK(entry.addr, "/readyz")
		c.waitFor(entry.id+" lists the whole fleet", func() bool {
			var status api.Status
			if get(entry.addr, "/v1/status", &status) != nil || len(status.Zones) == 0 {
				return false
			}
			zone := status.Zones[0]
			return zone.Placer != "" && zone.BackendServers == size.backends && zone.Accelerators == 8*size.workers
		})
	}
}

// placer returns the index of the first entry instance that reports itself as
// the zone's placer, or -1.
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

// fleet returns the addresses for a driver: those of the given entry instances,
// which receive the calls, and of all backend servers and workers, whose
// records are read directly.
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

func (c *cluster) collectRecords() drive.Records {
	records, err := drive.Collect(context.Background(), c.fleet())
	assert.NilError(c.t, err)
	return records
}

// apply submits a configuration through an entry instance.
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

// injectFaults sets the faults that a stand-in injects from now on.
func (c *cluster) injectFaults(addr string, faults any) {
	response, err := client.R().SetBody(faults).Post("http://" + addr + "/v1/faults")
	assert.NilError(c.t, err)
	assert.Equal(c.t, response.StatusCode(), http.StatusOK)
}

func (c *cluster) waitOK(addr, path string) {
	c.t.Helper()
	c.waitFor(addr+path+" answers", func() bool { return get(addr, path, nil) == nil })
}

// waitFor polls the condition and fails the test if it is not met within
// waitTimeout.
func (c *cluster) waitFor(description string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("timed out waiting until %s", description)
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
