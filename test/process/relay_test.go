package process

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/internal/standin"
)

// relay forwards TCP connections to a target. While it is partitioned, it
// closes every connection and refuses new ones.
type relay struct {
	t          *testing.T
	addr       string
	target     string
	goroutines sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	listener net.Listener
	conns    map[net.Conn]bool
}

func newRelay(t *testing.T, target string) *relay {
	ports, err := standin.FreePorts(1)
	assert.NilError(t, err)
	r := &relay{t: t, addr: fmt.Sprintf("127.0.0.1:%d", ports[0]), target: target, conns: make(map[net.Conn]bool)}
	r.setPartitioned(false)
	t.Cleanup(func() {
		r.setPartitioned(true)
		r.goroutines.Wait()
	})
	return r
}

// setPartitioned starts or ends the partition.
func (r *relay) setPartitioned(partitioned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !partitioned && r.listener == nil:
		listener := r.listen()
		r.listener = listener
		r.goroutines.Go(func() { r.accept(listener) })
	case partitioned && r.listener != nil:
		_ = r.listener.Close()
		r.listener = nil
		for conn := range r.conns {
			_ = conn.Close()
		}
	}
}

// listen retries until waitTimeout: a child process that is being forked may
// hold the previous socket open for a moment.
func (r *relay) listen() net.Listener {
	var listener net.Listener
	var err error
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if listener, err = net.Listen("tcp", r.addr); err == nil {
			break
		}
	}
	assert.NilError(r.t, err)
	return listener
}

func (r *relay) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.goroutines.Go(func() { r.forward(conn) })
	}
}

// register adds a connection, or closes it and returns false while the relay is
// partitioned.
func (r *relay) register(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener == nil {
		_ = conn.Close()
		return false
	}
	r.conns[conn] = true
	return true
}

func (r *relay) close(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
	_ = conn.Close()
}

func (r *relay) forward(source net.Conn) {
	if !r.register(source) {
		return
	}
	defer r.close(source)
	server, err := net.Dial("tcp", r.target)
	if err != nil || !r.register(server) {
		return
	}
	defer r.close(server)
	ended := make(chan struct{}, 2)
	copyTo := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		ended <- struct{}{}
	}
	go copyTo(server, source)
	go copyTo(source, server)
	<-ended
}
