package soak

import (
	"encoding/json"
	"fmt"
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

// The instances run with the bounds and the resources of small machines in three zones.
var instanceZones = []string{"zone-1", "zone-1", "zone-2", "zone-2", "zone-2", "zone-3"}

const (
	longestLease = 6 * time.Second
	stopGrace    = 6 * time.Second
	leaderTable  = "corianderbank"
	leaderKey    = "a/leader"
)

// linkedFiles are the lines of the program that dial instances and workers. The build replaces
// linkAddress(x) for the address, so that each instance dials by links of its own; nothing else of
// the program differs.
var linkedFiles = []struct{ file, pkg, dial, linked string }{
	{"internal/peer/link.go", "peer", `dialer.DialContext(n.ctx, "tcp", addr)`, `dialer.DialContext(n.ctx, "tcp", linkAddress(addr))`},
	{"platform/connections.go", "platform", `dialer.DialContext(ctx, network, address)`, `dialer.DialContext(ctx, network, linkAddress(address))`},
}

const linkSource = `package %s

import (
	"os"
	"strings"
)

// linkAddress returns the address of this process's link to an address.
func linkAddress(address string) string {
	if from, to, ok := strings.Cut(os.Getenv("SOAK_LINK"), "="); ok && strings.HasPrefix(address, from) {
		return to + address[len(from):]
	}
	return address
}
`

// buildProgram builds the program of a source tree into a folder.
func buildProgram(tree, folder string) (string, error) {
	tree, err := filepath.Abs(tree)
	if err != nil {
		return "", err
	}
	replace := make(map[string]string)
	write := func(path, text string) error {
		file := filepath.Join(folder, fmt.Sprintf("overlay-%d.go", len(replace)))
		replace[filepath.Join(tree, path)] = file
		return os.WriteFile(file, []byte(text), 0o600)
	}
	for _, f := range linkedFiles {
		source, err := os.ReadFile(filepath.Join(tree, f.file))
		if err != nil {
			return "", err
		}
		if strings.Count(string(source), f.dial) != 1 {
			return "", fmt.Errorf("%s no longer dials by %s", f.file, f.dial)
		}
		if err := write(f.file, strings.Replace(string(source), f.dial, f.linked, 1)); err != nil {
			return "", err
		}
		if err := write(filepath.Join(filepath.Dir(f.file), "linkaddress.go"), fmt.Sprintf(linkSource, f.pkg)); err != nil {
			return "", err
		}
	}
	overlay, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	overlayFile, program := filepath.Join(folder, "overlay.json"), filepath.Join(folder, "corianderbank")
	if err := os.WriteFile(overlayFile, overlay, 0o600); err != nil {
		return "", err
	}
	build := exec.Command("go", "build", "-overlay", overlayFile, "-o", program, "./cmd/corianderbank")
	build.Dir = tree
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w\n%s", err, out)
	}
	return program, nil
}

// instance is a machine of the deployment with its process.
type instance struct {
	play *play
	host int
	name string
	zone string

	mu      sync.Mutex // guards the fields below
	cmd     *exec.Cmd
	ended   chan struct{} // closed when cmd has ended; nil before the first start
	told    bool          // cmd was told to end
	reloads int
}

func (i *instance) addr(port int) string { return i.play.net.addr(i.host, port) }

func (i *instance) file(suffix string) string { return filepath.Join(i.play.folder, i.name+suffix) }

// writeSettings writes the settings. Each reload moves the seeds, the log level and the store's
// address on.
func (i *instance) writeSettings() error {
	var seeds []string
	for k := range 3 {
		seeds = append(seeds, i.play.instances[(i.reloads+k)%len(i.play.instances)].addr(peersPort))
	}
	storePort := servicePort + i.reloads%2
	data, err := json.Marshal(map[string]any{
		"instance": i.name, "availability_zone": i.zone, "seeds": seeds, "log_level": []string{"info", "debug"}[i.reloads%2],
		"listen":    map[string]string{"callers": i.addr(callersPort), "ready": i.addr(readyPort), "peers": i.addr(peersPort)},
		"store":     i.play.net.linkAddr(pair{i.host, storeHost}, storePort),
		"processor": map[string]any{"cores": 1, "share": 0.4}, "memory_mb": 284, "descriptors": 4100, "stop_within_ms": 4500,
		"bounds": map[string]any{
			"longest_lease_ms": longestLease.Milliseconds(), "reclaim_ms": 3400, "status_kept_s": 120, "remote_factor": 3, "stop_ms": stopTimeout.Milliseconds(),
		},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(i.file(".json"), data, 0o600)
}

// start starts the process unless it runs.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.running() {
		return nil
	}
	if err := i.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(i.file(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(i.play.program, "deployment", "--settings", i.file(".json"))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), fmt.Sprintf("SOAK_LINK=127.%d.0.=127.%d.%d.", i.play.net.net, i.play.net.net, i.host))
	// Nothing is left behind when the test is interrupted.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.cmd, i.ended, i.told = cmd, ended, false
	go func() {
		err := cmd.Wait()
		i.mu.Lock()
		defer i.mu.Unlock()
		if i.cmd == cmd && !i.told {
			i.play.record.find("FAULT", "%s ended by itself: %v", i.name, err)
		}
		close(ended)
	}()
	return nil
}

// running reports whether the process runs. The caller holds mu.
func (i *instance) running() bool {
	if i.ended == nil {
		return false
	}
	select {
	case <-i.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal, and returns the channel that is closed at the end of the process.
func (i *instance) signal(s syscall.Signal) <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.running() {
		return i.ended
	}
	i.told = i.told || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = i.cmd.Process.Signal(s) // it may just have ended
	return i.ended
}

// kill ends the process and waits for its end.
func (i *instance) kill() {
	if ended := i.signal(syscall.SIGKILL); ended != nil {
		<-ended
	}
}

// stop asks the process to end, and ends it after the grace period.
func (i *instance) stop() {
	select {
	case <-i.signal(syscall.SIGTERM):
	case <-time.After(stopGrace):
		i.kill()
	}
}

// reload puts changed settings in force, unless the process is about to start and to read them.
func (i *instance) reload() {
	conn, err := net.Dial("tcp", i.addr(readyPort))
	if err != nil {
		return
	}
	_ = conn.Close()
	i.mu.Lock()
	i.reloads++
	err = i.writeSettings()
	i.mu.Unlock()
	if err == nil {
		i.signal(syscall.SIGHUP)
	}
}

func (i *instance) ready() bool {
	response, err := http.Get("http://" + i.addr(readyPort) + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// logLines returns the lines of the log that contain a text.
func (i *instance) logLines(text string) []string {
	data, _ := os.ReadFile(i.file(".log"))
	var lines []string
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}
