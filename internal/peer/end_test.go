package peer

import (
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"gotest.tools/v3/assert"
)

// stallingConn accepts no more data while it is stalled, like a connection to a
// partitioned peer whose buffers are full.
type stallingConn struct {
	net.Conn
	mu       sync.Mutex
	stalled  bool
	deadline time.Time
}

func (c *stallingConn) stall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stalled = true
}

// SetWriteDeadline implements net.Conn.
func (c *stallingConn) SetWriteDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = at
	return nil
}

// Write implements net.Conn.
func (c *stallingConn) Write(data []byte) (int, error) {
	for {
		c.mu.Lock()
		stalled, deadline := c.stalled, c.deadline
		c.mu.Unlock()
		if !stalled {
			return c.Conn.Write(data)
		}
		if !deadline.IsZero() && time.Now().After(deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		time.Sleep(time.Millisecond)
	}
}

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// While a session is closing, the reader of a stream spins in a loop that does
// not block. This test checks that closing a session to a stalled peer does not
// keep the readers in that loop.
func TestASessionThatEndsTowardsASilentPeerTakesNoProcessorTime(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)

	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	client, err := yamux.Client(dialed, config)
	assert.NilError(t, err)
	defer func() { _ = client.Close() }()
	conn := &stallingConn{Conn: accepted}
	coalesced := newCoalescingConn(conn)
	session, err := yamux.Server(coalesced, config)
	assert.NilError(t, err)
	c := &connection{Session: session, conn: coalesced}

	var readers sync.WaitGroup
	for range 4 {
		clientStream, err := client.OpenStream()
		assert.NilError(t, err)
		_, err = clientStream.Write([]byte("x"))
		assert.NilError(t, err)
		serverStream, err := c.AcceptStream()
		assert.NilError(t, err)
		var first [1]byte
		_, err = serverStream.Read(first[:])
		assert.NilError(t, err)
		readers.Go(func() {
			var buffer [1]byte
			_, _ = serverStream.Read(buffer[:])
		})
		conn.stall()
		_, _ = serverStream.Write([]byte("pending"))
		conn.mu.Lock()
		conn.stalled = false
		conn.mu.Unlock()
	}
	conn.stall()
	lastStream, err := client.OpenStream()
	assert.NilError(t, err)
	serverStream, err := c.AcceptStream()
	assert.NilError(t, err)
	_, _ = serverStream.Write([]byte("never sent"))
	_ = lastStream

	before := processorTime(t)
	c.terminate()
	<-c.CloseChan()
	readers.Wait()
	used := processorTime(t) - before
	<-coalesced.done
	assert.Assert(t, used < flushTimeout/4, "%v of processor time while the last bytes wait %v", used, flushTimeout)
}
