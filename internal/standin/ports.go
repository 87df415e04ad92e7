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

// The ports that FreePorts looks at lie below the range that the system hands
// to outgoing connections, so that none of those takes a port between the look
// and its use.
const (
	firstPort = 10_000
	lastPort  = 32_000
)

// portTries bounds the ports that FreePorts looks at.
const portTries = 2000

// dialTimeout bounds the look at one port.
const dialTimeout = time.Second

// nextPort is the port that FreePorts looks at next. It begins anywhere and
// goes round, so that a process gets no port twice for a long time.
var nextPort = struct {
	sync.Mutex
	port int
}{port: firstPort + rand.IntN(lastPort-firstPort)}

// FreePorts returns n different TCP ports that nobody listens on at the
// loopback address at the moment, and that it has not returned lately.
func FreePorts(n int) ([]int, error) {
	nextPort.Lock()
	defer nextPort.Unlock()
	ports := make([]int, 0, n)
	for range portTries {
		if len(ports) == n {
			return ports, nil
		}
		port := nextPort.port
		nextPort.port++
		if nextPort.port == lastPort {
			nextPort.port = firstPort
		}
		if isFree(port) {
			ports = append(ports, port)
		}
	}
	return nil, errors.New("no free ports")
}

// isFree dials rather than listens: a listening socket that was open here could
// live on for a moment in a child process that is being forked.
func isFree(port int) bool {
	conn, err := net.DialTimeout("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)), dialTimeout)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
