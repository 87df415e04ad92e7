package standin

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// FreePorts returns ports from minPort up to, but not including, portLimit. The
// range lies below the one that the operating system uses for outgoing
// connections, so that no such connection takes a port between the probe and its
// use.
const (
	minPort   = 10_000
	portLimit = 32_000
)

// maxPortProbes bounds the number of ports that one call of FreePorts probes.
const maxPortProbes = 2000

// probeTimeout bounds the probe of one port.
const probeTimeout = time.Second

// nextPort is the port that FreePorts probes next. It starts at a random port and
// wraps around, so that a process gets the same port again only after the whole
// range.
var nextPort = struct {
	sync.Mutex
	port int
}{port: minPort + rand.IntN(portLimit-minPort)}

// FreePorts returns n different TCP ports that have no listener at the loopback
// address and that it has not returned recently.
func FreePorts(n int) ([]int, error) {
	nextPort.Lock()
	defer nextPort.Unlock()
	ports := make([]int, 0, n)
	for range maxPortProbes {
		if len(ports) == n {
			return ports, nil
		}
		port := nextPort.port
		nextPort.port++
		if nextPort.port == portLimit {
			nextPort.port = minPort
		}
		if isFree(port) {
			ports = append(ports, port)
		}
	}
	return nil, errors.New("no free ports")
}

// isFree reports whether connections to port are refused. It dials instead of
// listening, because a child process that is being forked could keep a listening
// socket open for a moment.
func isFree(port int) bool {
	conn, err := net.DialTimeout("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)), probeTimeout)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
