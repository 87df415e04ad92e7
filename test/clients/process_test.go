// Package clients tests real processes against clients that do not behave: they send large
// bodies and stop before the end, headers without an end, or read no responses. Each test
// compares the memory and the open descriptors of the process with the limits of its
// settings, and sends an ordinary request. Nothing is measured in time.
package clients

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// waitTimeout limits every wait. It is far above what a busy machine needs.
	waitTimeout    = 60 * time.Second
	pollInterval   = 20 * time.Millisecond
	requestTimeout = 10 * time.Second
	mb             = 1 << 20
	logTail        = 30
)

// bin is the directory of the binaries under test.
var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "clients")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", dir, "./cmd/corianderbank", "./cmd/standin")
	build.Dir = "../.."
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v\n%s", err, out))
	}
	bin = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a child process and the ports that it listens on.
type process struct {
	pid   int
	ended chan struct{}
	ports map[string]bool
	log   string
	// result is how the process ended, after ended is closed.
	result error
}

// start runs a program until the test ends.
func start(t *testing.T, program string, args ...string) *process {
	t.Helper()
	p := &process{ended: make(chan struct{}), ports: make(map[string]bool), log: filepath.Join(t.TempDir(), "log")}
	log, err := os.Create(p.log)
	assert.NilError(t, err)
	cmd := exec.Command(filepath.Join(bin, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(t, cmd.Start())
	p.pid = cmd.Process.Pid
	go func() {
		p.result = cmd.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-p.ended
		if t.Failed() {
			data, _ := os.ReadFile(p.log)
			lines := strings.Split(strings.TrimSpace(string(data)), "\n")
			t.Logf("%s:\n%s", program, strings.Join(lines[max(0, len(lines)-logTail):], "\n"))
		}
	})
	return p
}

// startWith runs a command of the program with settings in a file.
func startWith(t *testing.T, command string, settings any) *process {
	t.Helper()
	data, err := json.Marshal(settings)
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(file, data, 0o600))
	return start(t, "corianderbank", command, "--settings", file)
}

func (p *process) listens(addrs ...string) *process {
	for _, addr := range addrs {
		_, port, _ := strings.Cut(addr, ":")
		n, _ := strconv.Atoi(port)
		p.ports[fmt.Sprintf("%04X", n)] = true
	}
	return p
}

// stops asks the process to end, and returns how it ended.
func (p *process) stops() error {
	if err := syscall.Kill(p.pid, syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.ended:
		return p.result
	case <-time.After(waitTimeout):
		return errors.New("the process does not end")
	}
}

func (p *process) lives() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// usage is what a process uses, or the most of each at any time.
type usage struct{ resident, unread, both, descriptors int }

func (u *usage) add(s usage) {
	u.resident, u.unread = max(u.resident, s.resident), max(u.unread, s.unread)
	u.both, u.descriptors = max(u.both, s.resident+s.unread), max(u.descriptors, s.descriptors)
}

func (u usage) String() string {
	return fmt.Sprintf("resident %d MB, unread %d MB, together %d MB, %d descriptors", u.resident/mb, u.unread/mb, u.both/mb, u.descriptors)
}

// sample returns what the process uses now. The resident bytes include a peak that no sample
// has seen.
func (p *process) sample() usage {
	var s usage
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	s.descriptors = len(open)
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			s.resident = kb << 10
		}
	}
	s.unread = p.unread()
	return s
}

// peak returns the most resident bytes since the start.
func (p *process) peak() int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb << 10
		}
	}
	return 0
}

// unread returns the bytes in the receive queues of the process's ports, also of connections
// that it has not accepted.
func (p *process) unread() int {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	const local, state, queues, listening = 1, 3, 4, "0A"
	total := 0
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) <= queues || fields[state] == listening {
			continue
		}
		_, port, _ := strings.Cut(fields[local], ":")
		_, received, _ := strings.Cut(fields[queues], ":")
		if n, err := strconv.ParseInt(received, 16, 64); err == nil && p.ports[port] {
			total += int(n)
		}
	}
	return total
}

// waitFor waits until a condition holds, and fails the test if it does not.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if holds() {
			return
		}
	}
	t.Errorf("no %s within %s", what, waitTimeout)
}

// ordinary sends requests, each on a connection of its own, and closes it.
var ordinary = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}

// succeeds reports whether a request is answered with 2xx. A refusal may be repeated.
func succeeds(request *http.Request, err error) bool {
	if err != nil {
		return false
	}
	response, err := ordinary.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}
