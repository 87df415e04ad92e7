package inbound

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

func TestAShutdownDoesNotWaitForClientsThatStall(t *testing.T) {
	const size = 50_000
	listener, err := Listen("127.0.0.1:0", CallerReceiveBytes)
	assert.NilError(t, err)
	pool, group := NewPool(t.Name(), size, 10, zap.NewNop()), NewGroup(t.Name(), 10, zap.NewNop())
	server := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := pool.ReadBody(w, r, size); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}), time.Minute)
	go func() { _ = server.Serve(group.Wrap(listener)) }()
	url := "http://" + listener.Addr().String()
	stalled := stall(t, url, size)
	silent, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = silent.Close() }()
	for group.open() < 2 || pool.inUse() < size {
		time.Sleep(time.Millisecond)
	}
	group.Drain()
	assert.NilError(t, server.Shutdown(t.Context()))
	answer, err := io.ReadAll(stalled)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(answer), "HTTP/1.1 503"), "%s", answer)
}
