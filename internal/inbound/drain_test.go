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

// deadlineConn records the read deadline that is in force.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// Failure: a planned stop ended with status 1 beside headers that never end, since the server set its
// deadline for headers after that of the shutdown.
func TestADeadlineOfTheServerDoesNotOutlastAShutdown(t *testing.T) {
	for name, c := range map[string]struct {
		phase   phase
		limited bool
	}{
		"between requests, or in the headers": {phaseWaiting, true},
		"in the body":                         {phaseReceiving, true},
		"the client waits for its response":   {phaseWorking, false},
		"a session between instances":         {phaseSession, false},
	} {
		t.Run(name, func(t *testing.T) {
			group, recorded := NewGroup(t.Name(), 1, zap.NewNop()), &deadlineConn{}
			conn := group.admit(recorded)
			conn.enter(c.phase)
			group.Drain()
			isLimited := func() bool {
				return !recorded.deadline.IsZero() && !recorded.deadline.After(time.Now().Add(drainTimeout))
			}
			assert.Equal(t, isLimited(), c.limited)
			for _, wanted := range []time.Time{time.Now().Add(time.Hour), {}} {
				assert.NilError(t, conn.SetReadDeadline(wanted))
				assert.Equal(t, isLimited(), c.limited)
				conn.enter(phaseWorking)
				assert.Assert(t, recorded.deadline.Equal(wanted), "the request is complete: it is not cut off")
				conn.enter(c.phase)
			}
			past := time.Unix(1, 0)
			assert.NilError(t, conn.SetReadDeadline(past))
			assert.Assert(t, recorded.deadline.Equal(past))
		})
	}
}

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
