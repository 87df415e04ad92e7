package peer_test

import (
	"net"
	"sync/atomic"
)

// countDials counts the connections that a node makes or takes.
func countDials(count *atomic.Int64) func(net.Conn) net.Conn {
	return func(conn net.Conn) net.Conn {
		count.Add(1)
		return conn
	}
}
