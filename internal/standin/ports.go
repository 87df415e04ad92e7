package standin

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
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

// FreePorts returns n different TCP ports that nobody listens on at the
// loopback address at the moment.
func FreePorts(n int) ([]int, error) {
	ports := make([]int, 0, n)
	for range portTries {
		if len(ports) == n {
			return ports, nil
		}
		port := firstPort + rand.IntN(lastPort-firstPort)
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue
		}
		// It stays open until the end, so that no port is returned twice.
		defer func() { _ = listener.Close() }()
		ports = append(ports, port)
	}
	return nil, errors.New("no free ports")
}
