package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of an instance at its address, as in the examples of DEPLOY.md.
const (
	callersPort = "8521"
	readyPort   = "8523"
	peersPort   = "8526"
	metricsPort = "7001"
)

const (
	memoryMB     = 284
	restartDelay = 300 * time.Millisecond
)

// instance is a machine of the system with its process.
type instance struct {
	world    *deployment
	name     string
	host     string
	zone     string
	settings string
	logFile  *os.File

	mu sync.Mutex
	// cmd is the running process, ended is closed when it has ended.
	cmd   *exec.Cmd
	ended chan struct{}
	// memoryKills counts how often the process was over its memory.
	memoryKills  int
	peakMemoryMB int
}

// freeHost returns a loopback address on which all ports of an instance are free.
func freeHost(n int) (string, error) {
	for try := range 50 {
		host := fmt.Sprintf("127.%d.%d.%d", 64+(os.Getpid()+try)%128, 1+os.Getpid()/128%250, 10+n)
		if portsFree(host) {
			return host, nil
		}
	}
	return "", fmt.Errorf("no free address for instance %d", n)
}

func portsFree(host string) bool {
	for _, port := range []string{callersPort, readyPort, peersPort, metricsPort} {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

func newInstance(d *deployment, n int, zone string) (*instance, error) {
	host, err := freeHost(n)
	if err != nil {
		return nil, err
	}
	i := &instance{world: d, name: fmt.Sprintf("edge-%s-%d", zone, n), host: host, zone: zone}
	i.settings = filepath.Join(d.folder, i.name+".json")
	i.logFile, err = os.Create(filepath.Join(d.folder, i.name+".log"))
	return i, err
}

func (i *instance) addr(port string) string { return net.JoinHostPort(i.host, port) }

// writeSettings writes the settings as the template of the deploy file fills them in for the site
// lpce-grid.
func (i *instance) writeSettings(seeds []string) error {
	data, err := json.MarshalIndent(map[string]any{
		"instance": i.name, "availability_zone": i.zone,
		"listen":    map[string]string{"callers": i.addr(callersPort), "ready": i.addr(readyPort), "peers": i.addr(peersPort), "metrics": i.addr(metricsPort)},
		"seeds":     seeds,
		"store":     i.world.storeAddress,
		"advisor":   "",
		"processor": map[string]any{"cores": 1, "share": 0.4},
		"memory_mb": memoryMB, "descriptors": 4100,
		"bounds":         map[string]any{"longest_lease_ms": 6000, "reclaim_ms": 3400, "status_kept_s": 120, "remote_factor": 3, "stop_ms": 900},
		"stop_within_ms": 4500,
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(i.settings, data, 0o600)
}

// start starts the process with the command of the deploy file.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	cmd := exec.Command(i.world.binary, "deployment", "--settings", i.settings)
	cmd.Stdout, cmd.Stderr = i.logFile, i.logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait() // how it ended doesn't matter
		close(ended)
	}()
	i.cmd, i.ended = cmd, ended
	i.world.record.printf("process %s starts, pid %d", i.name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the process and returns the channel that is closed at its end.
func (i *instance) signal(s syscall.Signal) <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		i.world.record.printf("process %s gets %s", i.name, s)
		_ = i.cmd.Process.Signal(s) // it may have ended
	}
	return i.ended
}

// kill kills the process and waits for its end.
func (i *instance) kill() {
	if ended := i.signal(syscall.SIGKILL); ended != nil {
		<-ended
	}
}

// memory returns the resident memory of the process in megabytes.
func (i *instance) memory() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", i.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	used := pages * os.Getpagesize() >> 20
	i.peakMemoryMB = max(i.peakMemoryMB, used)
	if used > memoryMB {
		i.memoryKills++
	}
	return used
}

// memoryUse returns how often the process was over its memory, and its most.
func (i *instance) memoryUse() (over, mostMB int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.memoryKills, i.peakMemoryMB
}
