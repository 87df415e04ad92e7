package inbound

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen listens on a TCP address, with receive queues of a number of bytes. Bytes that nobody has
// read yet count as memory of the process, and the kernel would otherwise take megabytes for each
// connection.
func Listen(addr string, receiveBytes int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		// A system that refuses the size serves with the one that it has.
		return conn.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)
		})
	}}
	return config.Listen(context.Background(), "tcp", addr)
}
